//! Where models are, told by change.

mod common;

use common::{endpoint, with_adapters};
use std::collections::BTreeMap;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::{Endpoint, Held},
    placement_log::{PlacementLog, PlacementMirror},
};

fn update(log: &mut PlacementLog, engines: &[Endpoint]) {
    log.update(engines.iter().map(|engine| (&engine.name, &engine.held)));
}

fn known(mirror: &PlacementMirror) -> BTreeMap<EndpointName, Held> {
    mirror.engines().map(|(name, holds)| (name.clone(), holds.clone())).collect()
}

fn truth(engines: &[Endpoint]) -> BTreeMap<EndpointName, Held> {
    engines.iter().map(|engine| (engine.name.clone(), engine.held.clone())).collect()
}

fn pick<'a>(lots: &mut fastrand::Rng, names: &[&'a str]) -> &'a str {
    names[lots.usize(0..names.len())]
}

/// Random engines of six, holding some of five models, with adapters.
fn engines(lots: &mut fastrand::Rng) -> Vec<Endpoint> {
    let mut all = Vec::new();
    for name in ["u", "v", "w", "x", "y", "z"] {
        if lots.u8(0..10) == 0 {
            continue;
        }
        let mut engine = endpoint(name, "d", &[]);
        for _ in 0..lots.usize(0..4) {
            let model = pick(lots, &["a", "b", "c", "d", "e"]);
            let adapters: &[&str] = if lots.bool() { &["n"] } else { &["m", "n"] };
            engine = with_adapters(engine, model, &adapters[..lots.usize(0..=adapters.len())]);
        }
        all.push(engine);
    }
    all
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    copies_are_as_the_log_whenever_they_ask => {
        for seed in 0..40 {
            let mut lots = fastrand::Rng::with_seed(seed);
            let mut log = PlacementLog::new(7);
            let mut mirrors: Vec<PlacementMirror> =
                (0..3).map(|_| PlacementMirror::default()).collect();
            for _ in 0..200 {
                let now = engines(&mut lots);
                update(&mut log, &now);
                let asker = lots.usize(0..3);
                let mirror = &mut mirrors[asker];
                mirror.apply_delta(log.delta(mirror.position()));
                assert_eq!(known(mirror), truth(&now), "seed {seed}");
                let order: Vec<&EndpointName> = log.engines().collect();
                assert!(order.into_iter().eq(mirror.engines().map(|(name, _)| name)));
            }
        }
    }

    // The answer to a question that was given up on is lost.
    an_answer_that_is_lost_is_told_again => {
        let mut log = PlacementLog::new(7);
        let mut mirror = PlacementMirror::default();
        update(&mut log, &[endpoint("x", "d", &["a"])]);
        mirror.apply_delta(log.delta(mirror.position()));
        let before = mirror.position();
        update(&mut log, &[endpoint("x", "d", &["a", "b"])]);
        log.delta(before);
        update(&mut log, &[endpoint("x", "d", &["b"]), endpoint("y", "d", &["c"])]);
        mirror.apply_delta(log.delta(mirror.position()));
        assert_eq!(known(&mirror), truth(&[endpoint("x", "d", &["b"]), endpoint("y", "d", &["c"])]));
    }

    another_leaders_log_is_taken_whole => {
        let (mut one, mut other) = (PlacementLog::new(7), PlacementLog::new(8));
        let mut mirror = PlacementMirror::default();
        update(&mut one, &[endpoint("x", "d", &["a"]), endpoint("y", "d", &["b"])]);
        update(&mut other, &[endpoint("y", "d", &["c"])]);
        mirror.apply_delta(one.delta(mirror.position()));
        let delta = other.delta(mirror.position());
        assert!(delta.is_whole);
        mirror.apply_delta(delta);
        assert_eq!(known(&mirror), truth(&[endpoint("y", "d", &["c"])]));
    }

    whoever_missed_too_much_is_told_everything => {
        let mut log = PlacementLog::new(7);
        let mut mirror = PlacementMirror::default();
        update(&mut log, &[endpoint("x", "d", &["a"])]);
        mirror.apply_delta(log.delta(mirror.position()));
        let before = mirror.position();
        for number in 0..6_000 {
            let model = if number % 2 == 0 { "b" } else { "a" };
            update(&mut log, &[endpoint("x", "d", &[model])]);
        }
        let delta = log.delta(before);
        assert!(delta.is_whole && delta.changes.len() == 2, "{}", delta.changes.len());
    }

    // 13 KB a daemon and second were told before, of which a small VM's link has 2.5 MB for all.
    a_large_fleets_second_of_changes_is_told_in_few_bytes => {
        let mut lots = fastrand::Rng::with_seed(1);
        let names: Vec<String> = (0..256).map(|number| format!("i-{number:010}")).collect();
        let models: Vec<String> = (0..1_375).map(|number| format!("daka{number:06}")).collect();
        let mut fleet: Vec<Endpoint> = names
            .iter()
            .map(|name| {
                let held: Vec<&str> =
                    (0..3).map(|_| models[lots.usize(0..models.len())].as_str()).collect();
                endpoint(name, "d", &held)
            })
            .collect();
        let mut log = PlacementLog::new(7);
        update(&mut log, &fleet);
        let mut mirror = PlacementMirror::default();
        mirror.apply_delta(log.delta(mirror.position()));
        let mut told = 0;
        let mut names = 0;
        for _ in 0..180 {
            let engine = &mut fleet[lots.usize(0..256)];
            engine.held.pop_first();
            engine.held.insert(models[lots.usize(0..models.len())].as_str().into(), [].into());
            update(&mut log, &fleet);
            let delta = log.delta(mirror.position());
            told += delta.changes.len();
            names += delta.names.len();
            mirror.apply_delta(delta);
        }
        // A change takes 5 bytes on the wire and a new name 12; some names are new in the first
        // seconds only.
        assert!(told * 5 + names * 12 < 5_000, "{told} changes, {names} names");
        assert_eq!(known(&mirror), truth(&fleet));
    }
}
