//! The platform over HTTP.

use crate::{
    faults::take_one,
    http::{body_of, json, sleep_ms},
    world::World,
};
use std::{net::SocketAddr, sync::Arc};
use trestle_wire::table::{CommitRequest, ReadRequest};
use trillium::{Conn, Method, Status};

/// Time that a request to a platform that is down hangs.
const DOWN_MS: u64 = 20;

pub(crate) async fn handle(world: Arc<World>, address: SocketAddr, conn: Conn) -> Conn {
    let faults = world.lock().faults.platform.clone();
    if faults.down || faults.cut.contains(&address) {
        sleep_ms(DOWN_MS).await;
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    if faults.slow_ms > 0 {
        sleep_ms(faults.slow_ms).await;
    }
    match (conn.method(), conn.path()) {
        (Method::Post, "/table/read") => read(&world, conn).await,
        (Method::Post, "/table/commit") => commit(&world, conn).await,
        (Method::Get, "/vms") => json(conn, Status::Ok, &world.lock().platform.vms()),
        (Method::Get, path) => match path.strip_prefix("/objects/").map(str::to_owned) {
            Some(name) => get_object(&world, &name, conn),
            None => conn.with_status(Status::NotFound).halt(),
        },
        (Method::Put, path) => match path.strip_prefix("/objects/").map(str::to_owned) {
            Some(name) => put_object(&world, &name, conn).await,
            None => conn.with_status(Status::NotFound).halt(),
        },
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

async fn read(world: &World, mut conn: Conn) -> Conn {
    let Some(request) = body_of::<ReadRequest>(&mut conn).await else { return bad(conn) };
    let mut state = world.lock();
    state.counts.table_reads += 1;
    let response = state.platform.read(&request);
    drop(state);
    json(conn, Status::Ok, &response)
}

async fn commit(world: &World, mut conn: Conn) -> Conn {
    let Some(request) = body_of::<CommitRequest>(&mut conn).await else { return bad(conn) };
    let mut state = world.lock();
    if state.faults.platform.writes_down {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    state.counts.table_writes += 1;
    let response = state.platform.commit(request);
    let is_lost = take_one(&mut state.faults.platform.lose_answers);
    drop(state);
    if is_lost {
        return conn.with_status(Status::GatewayTimeout).halt();
    }
    json(conn, Status::Ok, &response)
}

fn get_object(world: &World, name: &str, conn: Conn) -> Conn {
    match world.lock().platform.object(name) {
        Some(content) => conn.ok(content.clone()),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

async fn put_object(world: &World, name: &str, mut conn: Conn) -> Conn {
    let Ok(content) = conn.request_body().await.read_bytes().await else { return bad(conn) };
    world.lock().platform.put_object(name, content);
    conn.ok("")
}

fn bad(conn: Conn) -> Conn {
    conn.with_status(Status::BadRequest).halt()
}
