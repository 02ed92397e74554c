//! Takes what endpoints say of themselves in the heads of their answers.

use crate::daemon::Daemon;
use http::Response;
use trestle_dispatch::{
    backpressure::{Answer, Heard},
    endpoint::Endpoint,
};

/// Takes what an answer of an endpoint says of it. `id` is that of the request that it answers,
/// which left at `sent_ms`.
pub(crate) fn hear<B>(
    daemon: &Daemon,
    endpoint: &Endpoint,
    response: &Response<B>,
    id: &str,
    sent_ms: u64,
) {
    let notice = (daemon.wire.head.read_notice)(response.status(), response.headers());
    let is_success = response.status().is_success();
    let answer = Answer { notice: &notice, is_success, id, sent_ms };
    let now_ms = daemon.knowledge.now_ms();
    let life = endpoint.life();
    let heard = daemon.knowledge.with(|beliefs| beliefs.backpressure.hear(&life, answer, now_ms));
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
