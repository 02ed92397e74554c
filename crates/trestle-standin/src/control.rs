//! HTTP interface of the control address: sets faults, and serves counts and breaches.

use crate::{
    faults::Faults,
    http::{json_response, read_json},
    simulation::Simulation,
};
use serde_json::json;
use std::{collections::BTreeMap, sync::Arc};
use trestle_wire::table::WireVmState;
use trillium::{Conn, Method, Status};

pub(crate) async fn handle(simulation: Arc<Simulation>, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/breaches") => json_response(conn, Status::Ok, &simulation.lock().breaches),
        (Method::Get, "/counts") => json_response(conn, Status::Ok, &simulation.lock().counts),
        (Method::Get, "/keys") => json_response(conn, Status::Ok, &simulation.lock().runs_by_key),
        (Method::Get, "/faults") => json_response(conn, Status::Ok, &simulation.lock().faults),
        (Method::Post, "/faults") => match read_json::<Faults>(&mut conn).await {
            Some(faults) => {
                simulation.lock().faults = faults;
                json_response(conn, Status::Ok, &json!({}))
            }
            None => {
                json_response(conn, Status::BadRequest, &json!({"error": "not a set of faults"}))
            }
        },
        (Method::Post, "/vms") => {
            match read_json::<BTreeMap<String, Option<WireVmState>>>(&mut conn).await {
                Some(changes) => {
                    update_vms(&simulation, &changes);
                    json_response(conn, Status::Ok, &json!({}))
                }
                None => {
                    json_response(conn, Status::BadRequest, &json!({"error": "not states of VMs"}))
                }
            }
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn update_vms(simulation: &Simulation, changes: &BTreeMap<String, Option<WireVmState>>) {
    let now_ms = simulation.now_ms();
    let mut state = simulation.lock();
    for (name, vm) in changes {
        state.set_vm(name, *vm, now_ms);
    }
}
