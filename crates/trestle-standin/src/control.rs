//! Faults, counts and breaches over HTTP.

use crate::{
    faults::Faults,
    http::{body_of, json},
    world::World,
};
use serde_json::json;
use std::{collections::BTreeMap, sync::Arc};
use trestle_wire::table::WireVmState;
use trillium::{Conn, Method, Status};

pub(crate) async fn handle(world: Arc<World>, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/breaches") => json(conn, Status::Ok, &world.lock().breaches),
        (Method::Get, "/counts") => json(conn, Status::Ok, &world.lock().counts),
        (Method::Get, "/keys") => json(conn, Status::Ok, &world.lock().runs_by_key),
        (Method::Get, "/faults") => json(conn, Status::Ok, &world.lock().faults),
        (Method::Post, "/faults") => match body_of::<Faults>(&mut conn).await {
            Some(faults) => {
                world.lock().faults = faults;
                json(conn, Status::Ok, &json!({}))
            }
            None => json(conn, Status::BadRequest, &json!({"error": "not a set of faults"})),
        },
        (Method::Post, "/vms") => {
            match body_of::<BTreeMap<String, Option<WireVmState>>>(&mut conn).await {
                Some(changes) => {
                    set_vms(&world, &changes);
                    json(conn, Status::Ok, &json!({}))
                }
                None => json(conn, Status::BadRequest, &json!({"error": "not states of VMs"})),
            }
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn set_vms(world: &World, changes: &BTreeMap<String, Option<WireVmState>>) {
    let now_ms = world.now_ms();
    let mut state = world.lock();
    for (name, vm) in changes {
        state.set_vm(name, *vm, now_ms);
    }
}
