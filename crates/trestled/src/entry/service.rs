//! Calls of callers to plain services.

use super::{
    Failure, body,
    call::Call,
    server_selection,
    service_call::{self, CallOutcome, ServiceAnswer, ServiceCall},
};
use crate::{
    claims::{self, ClaimOutcome, ClaimedCall},
    daemon::Daemon,
};
use std::sync::Arc;
use trestle_config::Service;
use trestle_wire::{claim::claim_key, headers};
use trillium::{Conn, Status};

/// Maximum number of attempts to send a repeatable call.
const MAX_ATTEMPTS: usize = 3;
/// Retry delay after a call could not be sent, failed, or has an unknown outcome.
const FAILED_RETRY_MS: u64 = 1_000;
/// Retry delay while the platform does not answer.
const PLATFORM_RETRY_MS: u64 = 3_000;
/// Maximum length of an idempotency key.
const MAX_KEY_CHARS: usize = 128;

/// Answers a call to a plain service.
pub(crate) async fn answer(daemon: &Arc<Daemon>, call: &Call, mut conn: Conn, rest: &str) -> Conn {
    let answered = serve(daemon, call, &mut conn, rest).await;
    match answered {
        Ok(answer) => {
            let status = Status::try_from(answer.status).unwrap_or(Status::BadGateway);
            conn.with_status(status)
                .with_response_header("content-type", answer.content_type)
                .with_response_header(headers::REQUEST_ID, call.request_id.clone())
                .with_response_header(headers::OUTCOME, "done")
                .with_body(answer.body)
                .halt()
        }
        Err(failure) => {
            daemon.metrics.record_refusal(call.tenant.as_str(), failure.code);
            failure.into_answer(conn, &call.request_id)
        }
    }
}

async fn serve(
    daemon: &Arc<Daemon>,
    call: &Call,
    conn: &mut Conn,
    rest: &str,
) -> Result<ServiceAnswer, Failure> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let Some(service) = call.config.services.get(name) else {
        let message = format!("service `{name}` is not declared");
        return Err(Failure::not_run(404, "unknown_service", message));
    };
    let method = conn.method();
    let is_repeatable = service.repeatable_methods.iter().any(|m| m == method.as_str());
    let query = conn.querystring();
    let path = if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") };
    let repeated = conn.request_headers().get_str(headers::REPEATED);
    let is_repeated = repeated.is_some_and(|text| text == "true");
    let key = if is_repeatable { None } else { Some(idempotency_key_of(service, conn)?) };
    let content_type = conn.request_headers().get_str("content-type").map(str::to_owned);
    let body = body::read(daemon, conn).await?;
    let service_call = ServiceCall {
        method,
        path,
        content_type,
        body: body.content.clone(),
        request_id: call.request_id.clone(),
        key,
    };
    match &service_call.key {
        None => send_repeatable(daemon, call, service, &service_call).await,
        Some((_, key)) => {
            let row = claim_key(name, call.tenant.as_str(), key);
            send_once(daemon, call, service, service_call.clone(), row, is_repeated).await
        }
    }
}

fn idempotency_key_of(service: &Service, conn: &Conn) -> Result<(String, String), Failure> {
    let header = service.idempotency_header.as_str();
    let key = conn.request_headers().get_str(header).unwrap_or("");
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if (1..=MAX_KEY_CHARS).contains(&key.len()) && key.chars().all(is_allowed) {
        return Ok((header.to_owned(), key.to_owned()));
    }
    let message = format!(
        "this call may not be repeated; send `{header}` with a key of its own, \
         1 to {MAX_KEY_CHARS} letters, digits, `-`, `_`, `.` or `:`",
    );
    Err(Failure::not_run(400, "idempotency_key_missing", message))
}

async fn send_repeatable(
    daemon: &Arc<Daemon>,
    call: &Call,
    service: &Service,
    service_call: &ServiceCall,
) -> Result<ServiceAnswer, Failure> {
    daemon.traffic().retries.deposit();
    let mut last = busy();
    for (index, endpoint) in
        server_selection::ranked(daemon, service).into_iter().take(MAX_ATTEMPTS).enumerate()
    {
        let Some(slot) = server_selection::acquire(daemon, service, &endpoint) else { continue };
        if index > 0 && !daemon.traffic().retries.try_withdraw() {
            break;
        }
        let limit = call.time_left();
        last = match service_call::send(&daemon.service_client, &slot, service_call, limit).await {
            CallOutcome::Answered(answer) => return Ok(answer),
            CallOutcome::NotSent(message) => Failure::not_run(503, "service_unreachable", message),
            CallOutcome::AnswerLost(message) => Failure::unknown(502, "service_failed", message),
        };
        if call.time_left().is_zero() {
            break;
        }
    }
    Err(last.with_retry_after_ms(FAILED_RETRY_MS))
}

fn busy() -> Failure {
    let message = "every server of the service has as many calls as it takes";
    Failure::not_run(503, "service_busy", message)
}

async fn send_once(
    daemon: &Arc<Daemon>,
    call: &Call,
    service: &Service,
    service_call: ServiceCall,
    row: String,
    is_repeated: bool,
) -> Result<ServiceAnswer, Failure> {
    let claimed = ClaimedCall {
        row,
        service: service.clone(),
        call: service_call,
        deadline: call.deadline,
        is_repeated,
    };
    match claims::run(daemon, claimed).await {
        ClaimOutcome::Answered(answer) => Ok(answer),
        ClaimOutcome::NotRun if daemon.platform_is_down() => {
            let message = "the platform does not answer, so the call was not claimed and not \
                           sent; if the key was sent before, that may have run";
            Err(Failure::not_run(503, "platform_down", message)
                .with_retry_after_ms(PLATFORM_RETRY_MS))
        }
        ClaimOutcome::NotRun => {
            let message = "the call was not sent; send it again with the same key";
            Err(Failure::not_run(503, "not_sent", message).with_retry_after_ms(FAILED_RETRY_MS))
        }
        ClaimOutcome::Unknown => {
            let message = "the call may have run; ask again with the same key, \
                           which never runs it a second time";
            Err(Failure::unknown(504, "outcome_unknown", message)
                .with_retry_after_ms(FAILED_RETRY_MS))
        }
        ClaimOutcome::OtherCall => {
            let message = "the key stands for a call with another method, path or body; \
                           give each call a key of its own";
            Err(Failure::not_run(409, "idempotency_key_reused", message))
        }
    }
}
