//! A plain service over HTTP.

use crate::{
    faults::take_one,
    http::{json, sleep_ms},
    world::World,
};
use serde_json::json;
use std::sync::Arc;
use trestle_wire::headers;
use trillium::{Conn, Status};

pub(crate) async fn handle(
    world: Arc<World>,
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
    let slow_ms = world.lock().faults.services.slow_ms;
    let run = count_run(&world, &service, key.as_deref());
    sleep_ms(slow_ms).await;
    let conn = conn.with_response_header(headers::REQUEST_ID, request_id);
    if take_one(&mut world.lock().faults.services.cut_after_run) {
        // A length that the body never reaches: the caller sees a broken answer.
        let body = trillium::Body::new_streaming(futures_lite::io::empty(), Some(1));
        return conn.with_status(Status::Ok).with_body(body).halt();
    }
    let answer = json!({
        "service": service, "method": method, "path": path, "echo": body, "key": key, "run": run,
    });
    json(conn, Status::Ok, &answer)
}

fn count_run(world: &World, service: &str, key: Option<&str>) -> u64 {
    let mut state = world.lock();
    state.counts.service_runs += 1;
    if let Some(key) = key {
        let name = format!("{service}/{key}");
        let runs = state.runs_by_key.entry(name.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 {
            state.breach(format!("call {name} ran {runs} times"));
        }
    }
    state.counts.service_runs
}
