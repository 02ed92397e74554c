//! The status of the daemon, for operators.

use crate::daemon::Daemon;
use std::collections::BTreeMap;
use trestle_core::{
    chain_position::{ChainPosition, Role},
    control_state::ControlState,
    names::DomainName,
    order::Phase,
};
use trestle_wire::admin::{EndpointStatus, Status};

/// Builds the status of the daemon.
pub(crate) fn build(
    daemon: &Daemon,
    own_domain: &DomainName,
    states: &BTreeMap<DomainName, ControlState>,
) -> Status {
    let row =
        states.get(own_domain).map(|state| state.membership().row().clone()).unwrap_or_default();
    let members = row.members.iter().map(|(vm, member)| (vm.to_string(), member.address.clone()));
    let positions = states
        .values()
        .flat_map(ControlState::chain_positions)
        .map(|(endpoint, position)| (endpoint.to_string(), endpoint_status(position)));
    Status {
        vm: daemon.own_vm.to_string(),
        domain: daemon.settings.domain.clone(),
        ready: daemon.is_ready(),
        config_version: daemon.routing().config.catalog.version,
        platform_silent_ms: Some(daemon.platform_silent_ms()),
        epoch: row.epoch,
        members: members.collect(),
        endpoints: positions.collect(),
    }
}

fn endpoint_status(position: &ChainPosition) -> EndpointStatus {
    let owned = position.owned_endpoint();
    let (role, fence) = match &position.role {
        Role::Owner(owned) => ("owner", owned.fence().as_u64()),
        Role::Standby => ("standby", 0),
        Role::SteppedDown(fence) => ("stepped_down", fence.as_u64()),
    };
    let held: BTreeMap<String, String> = owned
        .into_iter()
        .flat_map(|owned| owned.phases())
        .map(|(model, phase)| (model.to_string(), phase_name(phase).to_owned()))
        .collect();
    EndpointStatus {
        role: role.to_owned(),
        rank: position.rank,
        fence,
        confirmed: owned.is_some_and(|owned| owned.is_confirmed()),
        silent: owned.is_some_and(|owned| owned.is_silent()),
        placed: placement_states(position),
        held,
        permits_out: owned.map_or(0, |owned| owned.permits_out()),
        waiting: owned.map_or(0, |owned| owned.waiting()),
    }
}

fn placement_states(position: &ChainPosition) -> BTreeMap<String, String> {
    let placed = position.row.placed.iter().map(|(model, placement)| {
        let state = match &placement.retiring {
            None => "active".to_owned(),
            Some(retiring) => {
                let vms: Vec<&str> = retiring.waiting_for.iter().map(AsRef::as_ref).collect();
                format!("retiring since epoch {}, seen by {}", retiring.epoch, vms.join(", "))
            }
        };
        (model.to_string(), state)
    });
    placed.collect()
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Loading => "loading",
        Phase::Ready => "ready",
        Phase::Unloading => "unloading",
    }
}
