//! HTTP interface of the simulated platform.

use crate::{
    faults::consume_one,
    http::{json_response, read_json, sleep_ms},
    simulation::Simulation,
};
use std::{net::SocketAddr, sync::Arc};
use trestle_wire::table::{CommitRequest, ReadRequest};
use trillium::{Conn, Method, Status};

/// Delay before a platform that is down rejects a request.
const DOWN_DELAY_MS: u64 = 20;

pub(crate) async fn handle(simulation: Arc<Simulation>, address: SocketAddr, conn: Conn) -> Conn {
    let faults = simulation.lock().faults.platform.clone();
    if faults.down || faults.cut.contains(&address) {
        sleep_ms(DOWN_DELAY_MS).await;
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    if faults.slow_ms > 0 {
        sleep_ms(faults.slow_ms).await;
    }
    match (conn.method(), conn.path()) {
        (Method::Post, "/table/read") => read_rows(&simulation, conn).await,
        (Method::Post, "/table/commit") => commit_rows(&simulation, conn).await,
        (Method::Get, "/vms") => json_response(conn, Status::Ok, &simulation.lock().platform.vms()),
        (Method::Get, path) => match path.strip_prefix("/objects/").map(str::to_owned) {
            Some(name) => get_object(&simulation, &name, conn),
            None => conn.with_status(Status::NotFound).halt(),
        },
        (Method::Put, path) => match path.strip_prefix("/objects/").map(str::to_owned) {
            Some(name) => put_object(&simulation, &name, conn).await,
            None => conn.with_status(Status::NotFound).halt(),
        },
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

async fn read_rows(simulation: &Simulation, mut conn: Conn) -> Conn {
    let Some(request) = read_json::<ReadRequest>(&mut conn).await else { return reject(conn) };
    let mut state = simulation.lock();
    state.counts.table_reads += 1;
    let response = state.platform.read(&request);
    drop(state);
    json_response(conn, Status::Ok, &response)
}

async fn commit_rows(simulation: &Simulation, mut conn: Conn) -> Conn {
    let Some(request) = read_json::<CommitRequest>(&mut conn).await else { return reject(conn) };
    let mut state = simulation.lock();
    if state.faults.platform.writes_down {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    state.counts.table_writes += 1;
    let response = state.platform.commit(request);
    let is_lost = consume_one(&mut state.faults.platform.lose_answers);
    drop(state);
    if is_lost {
        return conn.with_status(Status::GatewayTimeout).halt();
    }
    json_response(conn, Status::Ok, &response)
}

fn get_object(simulation: &Simulation, name: &str, conn: Conn) -> Conn {
    match simulation.lock().platform.object(name) {
        Some(content) => conn.ok(content.clone()),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

async fn put_object(simulation: &Simulation, name: &str, mut conn: Conn) -> Conn {
    let Ok(content) = conn.request_body().await.read_bytes().await else { return reject(conn) };
    simulation.lock().platform.put_object(name, content);
    conn.ok("")
}

/// Answers with status 400.
fn reject(conn: Conn) -> Conn {
    conn.with_status(Status::BadRequest).halt()
}
