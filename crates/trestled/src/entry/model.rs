//! Completion requests to models and adapters.

use super::{
    Failure, InFlight, body,
    call::Call,
    endpoint_search,
    engine_call::{self, SendOutcome},
};
use crate::{daemon::Daemon, permit_client::Permit};
use serde_json::Value;
use std::{collections::BTreeSet, sync::Arc, time::Instant};
use trestle_config::Target;
use trestle_wire::headers;
use trillium::{Body, Conn};

/// Maximum number of attempts to run a request at an engine.
const MAX_ATTEMPTS: u32 = 3;
/// Retry delay after all attempts at engines failed.
const FAILED_RETRY_MS: u64 = 1_000;

/// A completion request as it is sent to an engine.
#[derive(Clone)]
pub(crate) struct Completion {
    pub(crate) path: String,
    pub(crate) target: Target,
    pub(crate) body: Value,
    pub(crate) is_stream: bool,
}

/// An answer for the caller.
pub(crate) struct Answer {
    content_type: String,
    body: Body,
    waited_ms: u64,
    is_cold: bool,
}

/// Answers a completion request.
pub(crate) async fn complete(daemon: &Arc<Daemon>, call: &Call, mut conn: Conn) -> Conn {
    let (completion, _body) = match read_completion(daemon, call, &mut conn).await {
        Ok(read) => read,
        Err(failure) => return answer_failure(daemon, call, conn, failure),
    };
    let answered = conn.cancel_on_disconnect(serve(daemon, call, &completion)).await;
    match answered {
        Some(Ok(answer)) => conn
            .with_response_header("content-type", answer.content_type)
            .with_response_header(headers::REQUEST_ID, call.request_id.clone())
            .with_response_header(headers::OUTCOME, "done")
            .with_response_header(headers::WAITED_MS, answer.waited_ms.to_string())
            .with_response_header(headers::COLD, answer.is_cold.to_string())
            .ok(answer.body),
        Some(Err(failure)) => answer_failure(daemon, call, conn, failure),
        None => {
            tracing::debug!("entry: The caller of request {} has disconnected.", call.request_id);
            conn
        }
    }
}

fn answer_failure(daemon: &Daemon, call: &Call, conn: Conn, failure: Failure) -> Conn {
    daemon.metrics.record_refusal(call.tenant.as_str(), failure.code);
    failure.into_answer(conn, &call.request_id)
}

/// Reads and parses the body of a request.
///
/// The body is returned along with the completion, because it counts against the limit on all
/// bodies as long as it exists. Fails if the body cannot be read, is not JSON or names an unknown
/// model.
async fn read_completion(
    daemon: &Arc<Daemon>,
    call: &Call,
    conn: &mut Conn,
) -> Result<(Completion, body::Body), Failure> {
    let body = body::read(daemon, conn).await?;
    let mut content: Value = serde_json::from_slice(&body.content).map_err(|error| {
        let message = format!("the body is not JSON: {error}");
        Failure::not_run(400, "bad_json", message)
    })?;
    let name = content["model"].as_str().unwrap_or("").to_owned();
    let Some(target) = call.config.target(&name) else {
        let message = format!("model `{name}` is not declared; `GET /v1/models` lists all");
        return Err(Failure::not_run(404, "unknown_model", message));
    };
    let is_stream = content["stream"].as_bool().unwrap_or(false);
    content["model"] = target.model.as_str().into();
    let completion = Completion { path: conn.path().to_owned(), target, body: content, is_stream };
    Ok((completion, body))
}

async fn serve(
    daemon: &Arc<Daemon>,
    call: &Call,
    completion: &Completion,
) -> Result<Answer, Failure> {
    daemon.traffic().retries.deposit();
    let mut excluded = BTreeSet::new();
    let mut last = Failure::not_run(503, "engine_failed", "the engine could not serve");
    for attempt in 1..=MAX_ATTEMPTS {
        if attempt > 1 && !try_withdraw_retry(daemon) {
            break;
        }
        let requested = Instant::now();
        let permit =
            endpoint_search::acquire_permit(daemon, call, &completion.target.model, &excluded)
                .await?;
        let waited = requested.elapsed();
        let is_cold = permit.is_cold;
        let endpoint = permit.endpoint.clone();
        let tenant = call.tenant.as_str();
        daemon.metrics.record_wait(tenant, &call.class, is_cold, waited.as_secs_f64() * 1e3);
        let (content_type, body) = match send(daemon, call, completion, permit).await {
            Ok(answer) => answer,
            Err(AttemptError::Final(failure)) => return Err(failure),
            Err(AttemptError::Retryable(failure)) => {
                tracing::warn!(
                    "entry: An attempt at endpoint {endpoint} failed: {}.",
                    failure.message
                );
                excluded.insert(endpoint);
                last = failure;
                continue;
            }
        };
        let waited_ms = waited.as_millis() as u64;
        return Ok(Answer { content_type, body, waited_ms, is_cold });
    }
    Err(last.with_retry_after_ms(FAILED_RETRY_MS))
}

fn try_withdraw_retry(daemon: &Daemon) -> bool {
    let is_withdrawn = daemon.traffic().retries.try_withdraw();
    if is_withdrawn {
        daemon.metrics.record_retry();
    }
    is_withdrawn
}

/// The error of an attempt that returned no answer.
enum AttemptError {
    /// Another attempt is allowed.
    Retryable(Failure),
    /// Another attempt is not allowed.
    Final(Failure),
}

async fn send(
    daemon: &Arc<Daemon>,
    call: &Call,
    completion: &Completion,
    permit: Permit,
) -> Result<(String, Body), AttemptError> {
    let endpoint = permit.endpoint.clone();
    let in_flight = InFlight::new(daemon);
    let outcome = engine_call::send(daemon, call, completion, permit, in_flight).await;
    let now_ms = daemon.now_ms();
    let mut traffic = daemon.traffic();
    let health = traffic.health.entry(endpoint.clone()).or_default();
    match outcome {
        SendOutcome::Complete { content_type, body } => {
            health.record_success();
            Ok((content_type, Body::new_static(body)))
        }
        SendOutcome::Stream(body) => {
            health.record_success();
            Ok(("text/event-stream".to_owned(), body))
        }
        SendOutcome::NotRun(message) => {
            Err(AttemptError::Retryable(Failure::not_run(503, "engine_not_ready", message)))
        }
        SendOutcome::Failed(message) => {
            health.record_failure(now_ms);
            Err(AttemptError::Retryable(Failure::unknown(502, "engine_failed", message)))
        }
        SendOutcome::Rejected { status, message } => {
            Err(AttemptError::Final(Failure::not_run(status, "engine_rejected", message)))
        }
        SendOutcome::DeadlinePassed => {
            health.record_failure(now_ms);
            let message = "no whole answer came by the deadline; the request may have run";
            Err(AttemptError::Final(Failure::unknown(504, "deadline_passed", message)))
        }
    }
}
