//! HTTP interface of a simulated plain service.

use crate::{
    faults::consume_one,
    http::{json_response, sleep_ms},
    simulation::Simulation,
};
use serde_json::json;
use std::sync::Arc;
use trestle_wire::headers;
use trillium::{Conn, Status};

pub(crate) async fn handle(
    simulation: Arc<Simulation>,
    service: String,
    idempotency_header: String,
    mut conn: Conn,
) -> Conn {
    let key = conn.request_headers().get_str(idempotency_header.as_str()).map(str::to_owned);
    let request_id = conn.request_headers().get_str(headers::REQUEST_ID).unwrap_or("").to_owned();
    let method = conn.method().to_string();
    let path = conn.path().to_owned();
    let Ok(body) = conn.request_body_string().await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let slow_ms = simulation.lock().faults.services.slow_ms;
    let run = record_run(&simulation, &service, key.as_deref());
    sleep_ms(slow_ms).await;
    let conn = conn.with_response_header(headers::REQUEST_ID, request_id);
    if consume_one(&mut simulation.lock().faults.services.cut_after_run) {
        // The body is shorter than its announced length, so the caller sees a truncated answer.
        let body = trillium::Body::new_streaming(futures_lite::io::empty(), Some(1));
        return conn.with_status(Status::Ok).with_body(body).halt();
    }
    let answer = json!({
        "service": service, "method": method, "path": path, "echo": body, "key": key, "run": run,
    });
    json_response(conn, Status::Ok, &answer)
}

fn record_run(simulation: &Simulation, service: &str, key: Option<&str>) -> u64 {
    let mut state = simulation.lock();
    state.counts.service_runs += 1;
    if let Some(key) = key {
        let name = format!("{service}/{key}");
        let runs = state.runs_by_key.entry(name.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 {
            state.record_breach(format!("call {name} ran {runs} times"));
        }
    }
    state.counts.service_runs
}
