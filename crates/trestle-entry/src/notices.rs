//! Takes what endpoints say of themselves in the heads of their answers.

use crate::daemon::Daemon;
use http::{HeaderMap, StatusCode};
use trestle_dispatch::{backpressure::Heard, endpoint::Endpoint};

/// Takes what an answer of an endpoint says of it. `id` is that of the request that it answers.
pub(crate) fn hear(
    daemon: &Daemon,
    endpoint: &Endpoint,
    status: StatusCode,
    headers: &HeaderMap,
    id: &str,
) {
    let notice = (daemon.wire.head.read_notice)(status, headers);
    let now_ms = daemon.knowledge.now_ms();
    let life = endpoint.life();
    let heard = daemon.knowledge.with(|beliefs| beliefs.backpressure.hear(&life, &notice, now_ms));
    for news in heard {
        log(endpoint, &news, id);
    }
}

fn log(endpoint: &Endpoint, news: &Heard, id: &str) {
    let (endpoint, born_ms) = (&endpoint.name, endpoint.born_ms);
    match news {
        Heard::Limit { per_ks } => {
            let limit_per_s = *per_ks as f64 / 1e3;
            tracing::info!(%endpoint, born_ms, limit_per_s, heard_in = id, "endpoint: It names a limit.");
        }
        Heard::Leaves => {
            tracing::info!(%endpoint, born_ms, heard_in = id, "endpoint: It says that it leaves.");
        }
        Heard::Rest { for_ms } => {
            tracing::info!(%endpoint, born_ms, for_ms, heard_in = id, "endpoint: It asks for rest.");
        }
        Heard::Unreadable { what, text } => {
            tracing::warn!(
                %endpoint, born_ms, what, text, heard_in = id,
                "endpoint: What it says cannot be read, and counts for nothing."
            );
        }
    }
}
