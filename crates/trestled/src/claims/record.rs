//! Reads claims and records the outcomes of calls.

use crate::{daemon::Daemon, entry::service_call::ServiceAnswer};
use smol::Timer;
use std::time::Duration;
use trestle_core::row::CommitOutcome;
use trestle_wire::claim::{WireAnswerBody, WireClaim, WireClaimState, WireKeptAnswer};

/// Time between two tries to record an outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of tries to record an outcome.
const MAX_TRIES: u32 = 1_200;

/// Reads a row and returns its version and its claim; version 0 and `None` if there is no such row.
/// Fails if the platform cannot be read.
pub(crate) async fn read(
    daemon: &Daemon,
    row: &str,
) -> trestle_client::Result<(u64, Option<WireClaim>)> {
    let response = daemon.platform.read_raw(vec![row.to_owned()]).await?;
    daemon.record_platform_answer();
    let Some(found) = response.rows.get(row) else { return Ok((0, None)) };
    let claim = found.value.clone().and_then(|value| serde_json::from_value(value).ok());
    Ok((found.version, claim))
}

/// Returns the answer stored for a claim; `None` if its body cannot be read at the moment.
pub(crate) async fn load_answer(daemon: &Daemon, stored: WireKeptAnswer) -> Option<ServiceAnswer> {
    let body = match stored.body {
        WireAnswerBody::Here { hex } => hex::decode(hex).ok()?,
        WireAnswerBody::Object { name } => daemon.platform.get_object(&name).await.ok()?,
    };
    Some(ServiceAnswer { status: stored.status, content_type: stored.content_type, body })
}

/// Records the outcome of a call in its row: the answer if there is one, or otherwise that the call
/// was not run. Retries until the row is written, up to [`MAX_TRIES`] times.
pub(crate) async fn write_with_retries(
    daemon: &Daemon,
    row: &str,
    mut claim: WireClaim,
    answer: Option<ServiceAnswer>,
) {
    for _ in 0..MAX_TRIES {
        if let Some(answer) = &answer {
            match store_answer(daemon, &claim.attempt, answer).await {
                Some(answer) => claim.state = WireClaimState::Answered { answer },
                None => {
                    Timer::after(RETRY_INTERVAL).await;
                    continue;
                }
            }
        }
        if write(daemon, row, &claim).await {
            return;
        }
        Timer::after(RETRY_INTERVAL).await;
    }
    tracing::error!("claim: The outcome of the call in row {row} could not be recorded.");
}

async fn store_answer(
    daemon: &Daemon,
    attempt: &str,
    answer: &ServiceAnswer,
) -> Option<WireKeptAnswer> {
    let body = if answer.body.len() <= daemon.settings.limits.kept_answer_bytes {
        WireAnswerBody::Here { hex: hex::encode(&answer.body) }
    } else {
        let name = format!("claim-answer-{attempt}");
        daemon.platform.put_object(&name, &answer.body).await.ok()?;
        WireAnswerBody::Object { name }
    };
    let content_type = answer.content_type.clone();
    Some(WireKeptAnswer { status: answer.status, content_type, body })
}

/// Overwrites the attempt's own claim or a row without a claim. Returns whether no further write is
/// needed: the row was written, holds this outcome already, or holds the claim of another attempt.
///
/// If the outcome of an earlier write of the claim is unknown, that write may still take effect
/// later. Writing to the row while it has no claim changes its version, which prevents that.
async fn write(daemon: &Daemon, row: &str, claim: &WireClaim) -> bool {
    let Ok((version, found)) = read(daemon, row).await else { return false };
    if found.is_some_and(|found| found.attempt != claim.attempt || found.state == claim.state) {
        return true;
    }
    daemon.claim_writer.write(row, version, claim).await == CommitOutcome::Committed
}
