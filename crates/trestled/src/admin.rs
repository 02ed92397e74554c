//! The HTTP interface for operators and the balancer.

use crate::{daemon::Daemon, message::Message};
use std::sync::Arc;
use trillium::{Conn, Method, Status};

/// Answers a request of an operator or the balancer.
pub(crate) async fn handle(daemon: Arc<Daemon>, conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/health") => conn.ok("alive\n"),
        (Method::Get, "/ready") => ready(&daemon, conn),
        (Method::Get, "/metrics") => {
            let conn = conn.with_response_header("content-type", "text/plain; version=0.0.4");
            conn.ok(daemon.metrics.to_text())
        }
        (Method::Get, "/status") if is_allowed(&daemon, &conn) => status(&daemon, conn).await,
        (Method::Get, "/status") => conn.with_status(Status::Unauthorized).halt(),
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn ready(daemon: &Daemon, conn: Conn) -> Conn {
    if daemon.is_ready() {
        return conn.ok("ready\n");
    }
    conn.with_status(Status::ServiceUnavailable).with_body("not ready\n").halt()
}

async fn status(daemon: &Daemon, conn: Conn) -> Conn {
    let (reply, answer) = async_channel::bounded(1);
    daemon.send(Message::StatusQuery(reply));
    let status = answer.recv().await.ok().and_then(|status| serde_json::to_string(&status).ok());
    match status {
        Some(text) => conn.with_response_header("content-type", "application/json").ok(text),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

fn is_allowed(daemon: &Daemon, conn: &Conn) -> bool {
    let Some(expected) = &daemon.settings.admin_token_sha256 else { return true };
    let header = conn.request_headers().get_str("authorization").unwrap_or("");
    let token = header.strip_prefix("Bearer ").unwrap_or("");
    trestle_config::digest(token) == expected.to_lowercase()
}
