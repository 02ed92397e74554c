//! Takes what endpoints say of themselves in the heads of their answers.

use crate::{daemon::Daemon, net::exchange};
use http::{Response, StatusCode};
use trestle_dispatch::{
    backpressure::{Answer, SignalChange},
    endpoint::Endpoint,
};

/// Stands in logs for the id of a request where an order or a report was answered.
const ORDER_ID: &str = "order";

/// Takes what the answer to a request says of its endpoint. The request left at `sent_ms`.
pub(crate) fn hear<B>(
    daemon: &Daemon,
    endpoint: &Endpoint,
    response: &Response<B>,
    id: &str,
    sent_ms: u64,
) {
    let (status, headers) = (response.status(), response.headers());
    let notice = (daemon.wire.head.read_notice)(status, headers);
    let is_success = status.is_success();
    take(daemon, endpoint, Answer { signals: &notice, is_success, id, sent_ms });
}

/// Takes what the answer to a call of control says of its endpoint. That it says nothing means
/// nothing: it is no request.
pub(crate) fn hear_call(daemon: &Daemon, endpoint: &Endpoint, answer: &exchange::Answer) {
    let Ok(status) = StatusCode::from_u16(answer.status) else { return };
    let notice = (daemon.wire.head.read_notice)(status, &answer.headers);
    let said = Answer { signals: &notice, is_success: false, id: ORDER_ID, sent_ms: 0 };
    take(daemon, endpoint, said);
}

fn take(daemon: &Daemon, endpoint: &Endpoint, answer: Answer<'_>) {
    let now_ms = daemon.knowledge.now_ms();
    let incarnation = endpoint.incarnation();
    let heard =
        daemon.knowledge.with(|local_view| local_view.apply_answer(&incarnation, answer, now_ms));
    for news in &heard {
        log(endpoint, news, answer.id);
    }
    if !heard.is_empty() {
        daemon.knowledge.say_changed();
    }
}

fn log(endpoint: &Endpoint, news: &SignalChange, id: &str) {
    let (endpoint, born_ms) = (&endpoint.name, endpoint.started_unix_ms);
    match news {
        SignalChange::Limit { per_ks } => {
            let limit_per_s = *per_ks as f64 / 1e3;
            tracing::info!(%endpoint, born_ms, limit_per_s, heard_in = id, "endpoint: It names a limit.");
        }
        SignalChange::Draining => {
            tracing::info!(%endpoint, born_ms, heard_in = id, "endpoint: It says that it leaves.");
        }
        SignalChange::Backoff { for_ms } => {
            tracing::info!(%endpoint, born_ms, for_ms, heard_in = id, "endpoint: It asks for rest.");
        }
        SignalChange::Unreadable { what, text } => {
            tracing::warn!(
                %endpoint, born_ms, what, text, heard_in = id,
                "endpoint: What it says cannot be read, and counts for nothing."
            );
        }
    }
}
