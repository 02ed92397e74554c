//! The HTTP interface for callers.
//!
//! - `POST /v1/chat/completions` and `POST /v1/completions`: models and adapters.
//! - `GET /v1/models`: the names that are valid as `model`.
//! - `/services/NAME/...`: plain services.
//!
//! Every request ends with exactly one outcome: its own complete answer, or a failure that states
//! whether the request was run and, where a retry makes sense, after which delay to retry.

mod body;
mod call;
mod endpoint_search;
mod engine_call;
mod failure;
mod model;
mod models_list;
pub(crate) mod server_selection;
mod service;
pub(crate) mod service_call;
mod sse;

use crate::daemon::Daemon;
use call::Call;
pub(crate) use failure::Failure;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};
use trestle_wire::headers;
use trillium::{Conn, Method};

/// Answers a caller's request.
pub(crate) async fn handle(daemon: Arc<Daemon>, conn: Conn) -> Conn {
    let in_flight = InFlight::new(&daemon);
    let started = Instant::now();
    let (call, conn) = match Call::new(&daemon, &conn, started) {
        Ok(call) => {
            let conn = dispatch(&daemon, &call, conn).await;
            (Some(call), conn)
        }
        Err(failure) => {
            daemon.metrics.record_refusal("", failure.code);
            (None, failure.into_answer(conn, ""))
        }
    };
    if let Some(call) = call {
        let outcome = outcome_label(&conn);
        let time_ms = started.elapsed().as_secs_f64() * 1e3;
        daemon.metrics.record_request(call.tenant.as_str(), &call.class, outcome, time_ms);
    }
    drop(in_flight);
    if daemon.is_stopping.load(Ordering::Relaxed) {
        return conn.with_response_header("connection", "close");
    }
    conn
}

async fn dispatch(daemon: &Arc<Daemon>, call: &Call, conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            model::complete(daemon, call, conn).await
        }
        (Method::Get, "/v1/models") => models_list::answer(daemon, conn),
        (_, path) => match path.strip_prefix("/services/") {
            Some(rest) => service::answer(daemon, call, conn, rest).await,
            None => {
                let message = format!("there is nothing at {path}; see /v1/models");
                Failure::not_run(404, "unknown_path", message).into_answer(conn, &call.request_id)
            }
        },
    }
}

fn outcome_label(conn: &Conn) -> &'static str {
    match conn.response_headers().get_str(headers::OUTCOME) {
        Some("not_run") => "not_run",
        Some("unknown") => "unknown",
        _ => "done",
    }
}

/// A request or a background task that counts as in flight until the value is dropped.
pub(crate) struct InFlight(Arc<Daemon>);

impl InFlight {
    pub(crate) fn new(daemon: &Arc<Daemon>) -> Self {
        daemon.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(daemon))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
