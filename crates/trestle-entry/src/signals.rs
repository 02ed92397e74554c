//! Processes the signals that endpoints put into the headers of their answers.

use crate::{daemon::Daemon, net::exchange};
use http::{Response, StatusCode};
use trestle_dispatch::{
    backpressure::{Answer, SignalChange},
    brittle::BrittleChange,
    endpoint::Endpoint,
};

/// The value that log lines hold instead of a request id if the answer is to an order or a report
/// request.
const ORDER_ID: &str = "order";

/// Processes the signals in the answer to a request, which was sent at `sent_ms`.
pub(crate) fn process<B>(
    daemon: &Daemon,
    endpoint: &Endpoint,
    response: &Response<B>,
    id: &str,
    sent_ms: u64,
) {
    let (status, headers) = (response.status(), response.headers());
    let signals = (daemon.wire.head.read_signals)(status, headers);
    let is_success = status.is_success();
    let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE
        && (daemon.wire.head.read_answer)(headers).is_not_run;
    let now_ms = daemon.shared_view.now_ms();
    let change = daemon.shared_view.with(|local_view| {
        let max_rejections = &signals.max_rejections;
        local_view.apply_brittle(endpoint, max_rejections, is_rejection, sent_ms, now_ms)
    });
    log_brittle(endpoint, change, id);
    apply(daemon, endpoint, Answer { signals: &signals, is_success, id, sent_ms });
}

/// Processes the signals in the answer to an order or a report request. The absence of signals
/// there has no meaning, since no request was served.
pub(crate) fn process_call(daemon: &Daemon, endpoint: &Endpoint, answer: &exchange::Answer) {
    let Ok(status) = StatusCode::from_u16(answer.status) else { return };
    let signals = (daemon.wire.head.read_signals)(status, &answer.headers);
    let answer_signals = Answer { signals: &signals, is_success: false, id: ORDER_ID, sent_ms: 0 };
    apply(daemon, endpoint, answer_signals);
}

fn apply(daemon: &Daemon, endpoint: &Endpoint, answer: Answer<'_>) {
    let now_ms = daemon.shared_view.now_ms();
    let incarnation = endpoint.incarnation();
    let changes =
        daemon.shared_view.with(|local_view| local_view.apply_answer(&incarnation, answer, now_ms));
    for change in &changes {
        log(endpoint, change, answer.id);
    }
    if !changes.is_empty() {
        daemon.shared_view.notify_changed();
    }
}

fn log_brittle(endpoint: &Endpoint, change: Option<BrittleChange>, id: &str) {
    let service = &endpoint.service;
    match change {
        Some(BrittleChange::Begins { max_rejections }) => {
            tracing::info!(%service, endpoint = %endpoint.name, max_rejections, heard_in = id, "endpoint: The endpoints of the service are brittle; requests go there in lent slots.");
        }
        Some(BrittleChange::Ends) => {
            tracing::info!(%service, endpoint = %endpoint.name, heard_in = id, "endpoint: The endpoints of the service are no longer brittle.");
        }
        None => {}
    }
}

fn log(endpoint: &Endpoint, change: &SignalChange, id: &str) {
    let (endpoint, started_unix_ms) = (&endpoint.name, endpoint.started_unix_ms);
    match change {
        SignalChange::Limit { per_ks } => {
            let limit_per_s = *per_ks as f64 / 1e3;
            tracing::info!(%endpoint, born_ms = started_unix_ms, limit_per_s, heard_in = id, "endpoint: The endpoint names a limit.");
        }
        SignalChange::Draining => {
            tracing::info!(%endpoint, born_ms = started_unix_ms, heard_in = id, "endpoint: The endpoint says that it leaves.");
        }
        SignalChange::Backoff { for_ms } => {
            tracing::info!(%endpoint, born_ms = started_unix_ms, for_ms, heard_in = id, "endpoint: The endpoint asks for rest: it wants no requests of this daemon for a time.");
        }
        SignalChange::Unreadable { what, text } => {
            tracing::warn!(
                %endpoint, born_ms = started_unix_ms, what, text, heard_in = id,
                "endpoint: A signal in an answer cannot be read; it is ignored."
            );
        }
    }
}
