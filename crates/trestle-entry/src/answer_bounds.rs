//! Answers of endpoints that pass a bound: what is logged and counted, and calls that record it.

use crate::{
    daemon::Daemon,
    net::exchange::{Answer, CallClient, Error},
    wire::Call,
};
use trestle_dispatch::{endpoint::Endpoint, read_budget::AnswerBound};

/// Records that an answer of an endpoint passed a bound.
pub(crate) fn record_passed(daemon: &Daemon, endpoint: &Endpoint, bound: AnswerBound) {
    let bound = bound.name();
    daemon.metrics.record_passed_bound(endpoint.name.as_str(), bound);
    tracing::warn!(endpoint = %endpoint.name, bound, "endpoint: Its bytes passed a bound; the connection is closed.");
}

/// Makes a call of the daemon's own to an endpoint.
///
/// # Errors
///
/// Fails as [`CallClient::exchange`] does.
pub(crate) async fn exchange(
    daemon: &Daemon,
    endpoint: &Endpoint,
    client: &CallClient,
    call: Call,
    timeout_ms: u64,
) -> Result<Answer, Error> {
    let answer = client.exchange(call, timeout_ms).await;
    if let Err(Error::PassedBound { bound, .. }) = &answer {
        record_passed(daemon, endpoint, *bound);
    }
    answer
}
