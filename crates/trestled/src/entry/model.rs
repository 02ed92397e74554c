//! Requests to models.

use super::{
    Failure, InFlight, body,
    call::Call,
    engine_call::{self, Sent},
    permits,
};
use crate::{asking::Permit, daemon::Daemon};
use serde_json::Value;
use std::{collections::BTreeSet, sync::Arc, time::Instant};
use trestle_config::Target;
use trestle_wire::headers;
use trillium::{Body, Conn};

/// Times one request is sent to an engine at most.
const MAX_TRIES: u32 = 3;
/// When to come back after engines have failed.
const FAILED_RETRY_MS: u64 = 1_000;

/// What a request asks an engine for.
#[derive(Clone)]
pub(crate) struct Completion {
    pub(crate) path: String,
    pub(crate) target: Target,
    pub(crate) body: Value,
    pub(crate) is_stream: bool,
}

/// An answer on its way to the caller.
pub(crate) struct Answer {
    content_type: String,
    body: Body,
    waited_ms: u64,
    cold: bool,
}

/// Answers a completion request.
pub(crate) async fn complete(daemon: &Arc<Daemon>, call: &Call, mut conn: Conn) -> Conn {
    let (completion, _body) = match read(daemon, call, &mut conn).await {
        Ok(read) => read,
        Err(failure) => return refuse(daemon, call, conn, failure),
    };
    let answered = conn.cancel_on_disconnect(serve(daemon, call, &completion)).await;
    match answered {
        Some(Ok(answer)) => conn
            .with_response_header("content-type", answer.content_type)
            .with_response_header(headers::REQUEST_ID, call.request_id.clone())
            .with_response_header(headers::OUTCOME, "done")
            .with_response_header(headers::WAITED_MS, answer.waited_ms.to_string())
            .with_response_header(headers::COLD, answer.cold.to_string())
            .ok(answer.body),
        Some(Err(failure)) => refuse(daemon, call, conn, failure),
        None => {
            tracing::debug!("entry: Caller of request {} has gone.", call.request_id);
            conn
        }
    }
}

fn refuse(daemon: &Daemon, call: &Call, conn: Conn, failure: Failure) -> Conn {
    daemon.metrics.refused(call.tenant.as_str(), failure.code);
    failure.into_answer(conn, &call.request_id)
}

/// Reads the request; its body counts among all bodies as long as it is kept.
async fn read(
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
    for try_number in 1..=MAX_TRIES {
        if try_number > 1 && !may_retry(daemon) {
            break;
        }
        let asked = Instant::now();
        let permit = permits::acquire(daemon, call, &completion.target.model, &excluded).await?;
        let waited = asked.elapsed();
        let cold = permit.cold;
        let endpoint = permit.endpoint.clone();
        let tenant = call.tenant.as_str();
        daemon.metrics.wait(tenant, &call.class, cold, waited.as_secs_f64() * 1e3);
        let (content_type, body) = match send(daemon, call, completion, permit).await {
            Ok(answer) => answer,
            Err(Tried::Final(failure)) => return Err(failure),
            Err(Tried::Again(failure)) => {
                tracing::warn!("entry: {endpoint} failed: {}.", failure.message);
                excluded.insert(endpoint);
                last = failure;
                continue;
            }
        };
        let waited_ms = waited.as_millis() as u64;
        return Ok(Answer { content_type, body, waited_ms, cold });
    }
    Err(last.after_ms(FAILED_RETRY_MS))
}

fn may_retry(daemon: &Daemon) -> bool {
    let is_allowed = daemon.traffic().retries.try_withdraw();
    if is_allowed {
        daemon.metrics.retry();
    }
    is_allowed
}

/// A try that gave no answer.
enum Tried {
    /// Another one may.
    Again(Failure),
    /// Another one must not.
    Final(Failure),
}

async fn send(
    daemon: &Arc<Daemon>,
    call: &Call,
    completion: &Completion,
    permit: Permit,
) -> Result<(String, Body), Tried> {
    let endpoint = permit.endpoint.clone();
    let in_flight = InFlight::new(daemon);
    let sent = engine_call::send(daemon, call, completion, permit, in_flight).await;
    let now_ms = daemon.now_ms();
    let mut traffic = daemon.traffic();
    let health = traffic.health.entry(endpoint.clone()).or_default();
    match sent {
        Sent::Whole { content_type, body } => {
            health.record_success();
            Ok((content_type, Body::new_static(body)))
        }
        Sent::Stream(body) => {
            health.record_success();
            Ok(("text/event-stream".to_owned(), body))
        }
        Sent::NotRun(message) => {
            Err(Tried::Again(Failure::not_run(503, "engine_not_ready", message)))
        }
        Sent::Failed(message) => {
            health.record_failure(now_ms);
            Err(Tried::Again(Failure::unknown(502, "engine_failed", message)))
        }
        Sent::Rejected { status, message } => {
            Err(Tried::Final(Failure::not_run(status, "engine_rejected", message)))
        }
        Sent::Late => {
            health.record_failure(now_ms);
            let message = "no whole answer came by the deadline; the request may have run";
            Err(Tried::Final(Failure::unknown(504, "deadline_passed", message)))
        }
    }
}
