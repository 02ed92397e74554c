//! Interleavings that are too rare for a random search to find. Each is the shortest sequence of
//! events that would violate an invariant if one particular check were missing.

mod simulation;

use simulation::Simulation;
use std::collections::BTreeMap;
use trestle_core::{
    catalog::{Catalog, EngineSpec, Fencing, ModelSpec},
    event::VmState,
    names::{EndpointName, VmName},
};

const DAEMONS: [(&str, &str); 3] = [("a-1", "a"), ("a-2", "a"), ("a-3", "a")];

/// Returns a catalog of two engines and one model that may have one replica.
fn two_engines(fencing: Fencing) -> Catalog {
    let engine = || EngineSpec { domain: "a".into(), memory_bytes: 100, slots: 4, fencing };
    let model = ModelSpec {
        memory_bytes: 60,
        max_replicas: 1,
        load_ms: 1_500,
        service_ms: 300,
        keep_ms: 60_000,
        windows: Vec::new(),
    };
    let catalog = Catalog {
        idle_per_wait: 1,
        full_speed_loads: 4,
        engines: BTreeMap::from([("x".into(), engine()), ("y".into(), engine())]),
        models: BTreeMap::from([("m".into(), model)]),
        ..Catalog::default()
    };
    catalog.at_version(1, &Catalog::default())
}

/// Returns the engine where the model is placed, and the other one.
fn placed(simulation: &Simulation) -> (&'static str, &'static str) {
    let is_at_x = simulation.table.recorded_models(&EndpointName::from("x")).contains("m");
    if is_at_x { ("x", "y") } else { ("y", "x") }
}

/// Returns the owner of an engine and its first successor.
fn owner_and_successor(simulation: &Simulation, engine: &str) -> (VmName, VmName) {
    let owner = simulation.owner_of(engine).expect("the engine has an owner");
    let chain = simulation.chain(&owner, engine);
    (chain[0].clone(), chain[1].clone())
}

/// Requests a permit from every daemon but one; only the owner of the engine grants it.
fn request_from_all_but(simulation: &mut Simulation, vm: &VmName, engine: &str) {
    for (name, _) in DAEMONS.iter().filter(|(name, _)| *name != vm.as_str()) {
        simulation.request_permit(name, engine, "m", 0);
    }
}

/// Guards against a load at a superseded epoch: a successor that cannot reach the platform has
/// not read that a placement is retiring, and takes over at the old epoch.
#[test]
fn successor_cut_off_cannot_load_a_retired_model() {
    let mut simulation = Simulation::new(1, two_engines(Fencing::Checked), &DAEMONS);
    simulation.run_for(8_000);
    let (old, new) = placed(&simulation);
    let (owner, stale) = owner_and_successor(&simulation, old);
    simulation.faults.platform_cut.insert(stale.clone());
    simulation.faults.peers_cut.insert((owner, stale.clone()));
    simulation.set_listed(old, Some(VmState::Draining));
    simulation.run_for(8_000);
    assert_eq!(placed(&simulation).0, new, "the replica has not moved to the other engine");
    request_from_all_but(&mut simulation, &stale, new);
    simulation.run_for(3_000);
    simulation.request_permit(stale.as_str(), old, "m", 1);
    simulation.run_for(5_000);
    assert_eq!(simulation.loads, 1);
}

/// Guards against an early release of a replica: until the engine has accepted the new epoch, an
/// owner at the old one could still load the model there.
#[test]
fn replica_counts_until_the_engine_accepts_the_new_epoch() {
    let mut simulation = Simulation::new(2, two_engines(Fencing::Checked), &DAEMONS);
    simulation.run_for(8_000);
    let (old, new) = placed(&simulation);
    let (owner, stale) = owner_and_successor(&simulation, old);
    simulation.faults.platform_cut.insert(stale.clone());
    simulation.faults.peers_cut.insert((owner.clone(), stale.clone()));
    simulation.faults.engine_cut.insert((owner, old.into()));
    simulation.set_listed(old, Some(VmState::Draining));
    simulation.run_for(8_000);
    request_from_all_but(&mut simulation, &stale, new);
    simulation.run_for(3_000);
    simulation.request_permit(stale.as_str(), old, "m", 1);
    simulation.run_for(5_000);
    assert!(simulation.loads <= 1);
}

/// Two daemons that both reach an engine, but not each other, take over once each at most.
#[test]
fn daemons_cut_from_each_other_do_not_thrash() {
    let mut simulation = Simulation::new(3, two_engines(Fencing::Checked), &DAEMONS);
    simulation.run_for(8_000);
    let (engine, _) = placed(&simulation);
    let (owner, other) = owner_and_successor(&simulation, engine);
    simulation.faults.peers_cut.insert((owner.clone(), other.clone()));
    simulation.faults.platform_down = true;
    for _ in 0..40 {
        simulation.request_permit(owner.as_str(), engine, "m", 0);
        simulation.request_permit(other.as_str(), engine, "m", 1);
        simulation.run_for(500);
    }
    assert_eq!(simulation.loads, 1, "the model was loaded again");
    let refused = simulation.engines[&EndpointName::from(engine)].refused_orders;
    assert!(refused <= 2, "{refused} orders were refused");
}

/// Guards against a delayed order: an owner decides on a load, is suspended, and sends the order
/// long after it was replaced, to an engine that ignores fencing numbers.
#[test]
fn suspended_owner_with_an_unsent_load_causes_no_surplus_replica() {
    let mut simulation = Simulation::new(6, two_engines(Fencing::Ignored), &DAEMONS);
    simulation.run_for(8_000);
    let (old, new) = placed(&simulation);
    let (owner, _) = owner_and_successor(&simulation, old);
    let resumes_ms = simulation.now_ms + 60_000;
    simulation.faults.orders_delayed_until_ms.insert(owner.clone(), resumes_ms);
    simulation.request_permit(owner.as_str(), old, "m", 0);
    simulation.run_for(400);
    simulation.freeze(owner.as_str(), resumes_ms - simulation.now_ms);
    simulation.set_listed(old, Some(VmState::Draining));
    simulation.run_for(40_000);
    request_from_all_but(&mut simulation, &owner, new);
    simulation.run_for(40_000);
    simulation.faults.orders_delayed_until_ms.clear();
    simulation.run_for(60_000);
    assert_eq!(placed(&simulation).0, new, "the replica is not at the other engine at the end");
}

/// While the platform is down, a successor takes over and loads a model.
#[test]
fn cold_start_succeeds_during_an_outage_after_the_owner_crashed() {
    let mut simulation = Simulation::new(4, two_engines(Fencing::Checked), &DAEMONS);
    simulation.run_for(8_000);
    let (engine, _) = placed(&simulation);
    let (owner, other) = owner_and_successor(&simulation, engine);
    simulation.faults.platform_down = true;
    simulation.kill(owner.as_str());
    let writes = simulation.table.writes;
    simulation.request_permit(other.as_str(), engine, "m", 1);
    simulation.run_for(4_000);
    assert_eq!((simulation.granted, simulation.loads), (1, 1));
    assert_eq!(simulation.table.writes, writes, "a cold start wrote to the table");
}

/// An outage of the platform changes no epoch, however long it lasts.
#[test]
fn platform_outage_expels_no_member() {
    let mut simulation = Simulation::new(5, two_engines(Fencing::Checked), &DAEMONS);
    simulation.run_for(8_000);
    let epoch = simulation.epoch("a-1");
    simulation.faults.platform_down = true;
    simulation.run_for(600_000);
    simulation.faults.platform_down = false;
    simulation.faults.writes_down = true;
    simulation.run_for(600_000);
    simulation.faults.writes_down = false;
    simulation.run_for(20_000);
    assert_eq!(simulation.epoch("a-1"), epoch);
}

/// Returns a catalog of one engine with room for one of two models.
fn one_engine() -> Catalog {
    let mut catalog = two_engines(Fencing::Checked);
    catalog.engines.remove("y");
    let model = catalog.models["m"].clone();
    catalog.models.insert("n".into(), model);
    catalog.at_version(1, &Catalog::default())
}

/// Loads the model and waits until it has served a request and is idle.
fn warm_up(simulation: &mut Simulation, owner: &VmName) {
    simulation.run_for(8_000);
    simulation.request_permit(owner.as_str(), "x", "m", 0);
    simulation.run_for(9_000);
}

/// Guards against a permit of a replaced owner: a suspended owner finds a request when it resumes,
/// and must not let it run while its successor sends orders.
#[test]
fn owner_resumed_after_its_replacement_grants_no_permit() {
    for seed in 0..8 {
        for delay_ms in (0..800).step_by(40) {
            let mut simulation = Simulation::new(seed, one_engine(), &DAEMONS);
            simulation.run_for(2_000);
            let (owner, other) = owner_and_successor(&simulation, "x");
            warm_up(&mut simulation, &owner);
            simulation.freeze(owner.as_str(), 12_000);
            simulation.request_permit(owner.as_str(), "x", "m", 0);
            simulation.run_for(12_000 - 400 + delay_ms);
            simulation.request_permit(other.as_str(), "x", "n", 0);
            simulation.run_for(6_000);
        }
    }
}

/// Guards against an unload that aborts a request: an owner crashes right after it granted a
/// permit, the permit is used late, and the successor meanwhile evicts the model for another one.
#[test]
fn successor_waits_for_unused_permits_of_the_previous_owner() {
    for seed in 0..8 {
        for use_ms in (50..900).step_by(25) {
            let mut simulation = Simulation::new(seed, one_engine(), &DAEMONS);
            simulation.run_for(2_000);
            let (owner, other) = owner_and_successor(&simulation, "x");
            warm_up(&mut simulation, &owner);
            simulation.faults.permit_use_ms = use_ms;
            simulation.request_permit(owner.as_str(), "x", "m", 0);
            simulation.run_for(60);
            simulation.kill(owner.as_str());
            simulation.request_permit(other.as_str(), "x", "n", 1);
            simulation.run_for(8_000);
        }
    }
}

/// Guards against outdated rows: a successor reads the placements just before one is retired, and
/// receives the answer after it has read the new epoch.
#[test]
fn rows_read_before_an_epoch_are_not_applied_at_it() {
    for delay_ms in (250..1_000).step_by(25) {
        let mut simulation = Simulation::new(7, two_engines(Fencing::Checked), &DAEMONS);
        simulation.run_for(8_000);
        let (old, new) = placed(&simulation);
        let (owner, stale) = owner_and_successor(&simulation, old);
        simulation.faults.late_placements_ms.insert(stale.clone(), 3_000);
        simulation.faults.stale_list.insert(stale.clone());
        simulation.row_changed(&stale, old);
        simulation.run_for(delay_ms);
        simulation.set_listed(old, Some(VmState::Draining));
        simulation.run_for(4_000);
        simulation.faults.platform_cut.insert(stale.clone());
        simulation.faults.peers_cut.insert((owner, stale.clone()));
        simulation.request_permit(stale.as_str(), old, "m", 1);
        simulation.run_for(2_000);
        request_from_all_but(&mut simulation, &stale, new);
        simulation.run_for(4_000);
        assert!(simulation.loads <= 1);
    }
}
