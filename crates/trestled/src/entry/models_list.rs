//! The list of names that callers may send as `model`.

use crate::daemon::Daemon;
use serde_json::json;
use trillium::Conn;

/// Responds with all models and adapters.
pub(crate) fn answer(daemon: &Daemon, conn: Conn) -> Conn {
    let config = &daemon.routing().config;
    let models = config.catalog.models.keys().map(|name| (name.as_str(), None));
    let adapters = config.adapters.iter();
    let adapters = adapters.map(|(name, adapter)| (name.as_str(), Some(adapter.base.as_str())));
    let data: Vec<_> = models
        .chain(adapters)
        .map(|(id, parent)| json!({"id": id, "object": "model", "parent": parent}))
        .collect();
    let body = json!({"object": "list", "data": data}).to_string();
    conn.with_response_header("content-type", "application/json").ok(body)
}
