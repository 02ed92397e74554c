//! The log of placements and its copies at daemons.

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

fn mirrored(mirror: &PlacementMirror) -> BTreeMap<EndpointName, Held> {
    mirror.engines().map(|(name, holds)| (name.clone(), holds.clone())).collect()
}

fn expected(engines: &[Endpoint]) -> BTreeMap<EndpointName, Held> {
    engines.iter().map(|engine| (engine.name.clone(), engine.held.clone())).collect()
}

fn pick<'a>(rng: &mut fastrand::Rng, names: &[&'a str]) -> &'a str {
    names[rng.usize(0..names.len())]
}

/// Returns some of six engines, each with random models of five and adapters.
fn engines(rng: &mut fastrand::Rng) -> Vec<Endpoint> {
    let mut all = Vec::new();
    for name in ["u", "v", "w", "x", "y", "z"] {
        if rng.u8(0..10) == 0 {
            continue;
        }
        let mut engine = endpoint(name, "d", &[]);
        for _ in 0..rng.usize(0..4) {
            let model = pick(rng, &["a", "b", "c", "d", "e"]);
            let adapters: &[&str] = if rng.bool() { &["n"] } else { &["m", "n"] };
            engine = with_adapters(engine, model, &adapters[..rng.usize(0..=adapters.len())]);
        }
        all.push(engine);
    }
    all
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    mirrors_match_the_log_after_each_sync => {
        for seed in 0..40 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut log = PlacementLog::new(7);
            let mut mirrors: Vec<PlacementMirror> =
                (0..3).map(|_| PlacementMirror::default()).collect();
            for _ in 0..200 {
                let current = engines(&mut rng);
                update(&mut log, &current);
                let client = rng.usize(0..3);
                let mirror = &mut mirrors[client];
                mirror.apply_delta(log.delta(mirror.position()));
                assert_eq!(mirrored(mirror), expected(&current), "seed {seed}");
                let order: Vec<&EndpointName> = log.engines().collect();
                assert!(order.into_iter().eq(mirror.engines().map(|(name, _)| name)));
            }
        }
    }

    // The answer to a sync that timed out is lost.
    lost_delta_is_sent_again => {
        let mut log = PlacementLog::new(7);
        let mut mirror = PlacementMirror::default();
        update(&mut log, &[endpoint("x", "d", &["a"])]);
        mirror.apply_delta(log.delta(mirror.position()));
        let before = mirror.position();
        update(&mut log, &[endpoint("x", "d", &["a", "b"])]);
        log.delta(before);
        update(&mut log, &[endpoint("x", "d", &["b"]), endpoint("y", "d", &["c"])]);
        mirror.apply_delta(log.delta(mirror.position()));
        assert_eq!(mirrored(&mirror), expected(&[endpoint("x", "d", &["b"]), endpoint("y", "d", &["c"])]));
    }

    log_of_another_leader_is_sent_in_full => {
        let (mut one, mut other) = (PlacementLog::new(7), PlacementLog::new(8));
        let mut mirror = PlacementMirror::default();
        update(&mut one, &[endpoint("x", "d", &["a"]), endpoint("y", "d", &["b"])]);
        update(&mut other, &[endpoint("y", "d", &["c"])]);
        mirror.apply_delta(one.delta(mirror.position()));
        let delta = other.delta(mirror.position());
        assert!(delta.is_whole);
        mirror.apply_delta(delta);
        assert_eq!(mirrored(&mirror), expected(&[endpoint("y", "d", &["c"])]));
    }

    mirror_too_far_behind_gets_a_full_report => {
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

    // Full reports took 13 KB per daemon and second, while a small VM's link has 2.5 MB for all.
    one_second_of_changes_in_a_large_fleet_takes_few_bytes => {
        let mut rng = fastrand::Rng::with_seed(1);
        let names: Vec<String> = (0..256).map(|number| format!("i-{number:010}")).collect();
        let models: Vec<String> = (0..1_375).map(|number| format!("daka{number:06}")).collect();
        let mut fleet: Vec<Endpoint> = names
            .iter()
            .map(|name| {
                let held: Vec<&str> =
                    (0..3).map(|_| models[rng.usize(0..models.len())].as_str()).collect();
                endpoint(name, "d", &held)
            })
            .collect();
        let mut log = PlacementLog::new(7);
        update(&mut log, &fleet);
        let mut mirror = PlacementMirror::default();
        mirror.apply_delta(log.delta(mirror.position()));
        let mut change_count = 0;
        let mut names = 0;
        for _ in 0..180 {
            let engine = &mut fleet[rng.usize(0..256)];
            engine.held.pop_first();
            engine.held.insert(models[rng.usize(0..models.len())].as_str().into(), [].into());
            update(&mut log, &fleet);
            let delta = log.delta(mirror.position());
            change_count += delta.changes.len();
            names += delta.names.len();
            mirror.apply_delta(delta);
        }
        // A change takes 5 bytes on the wire and a new name 12; names are new in the first seconds
        // only.
        assert!(change_count * 5 + names * 12 < 5_000, "{change_count} changes, {names} names");
        assert_eq!(mirrored(&mirror), expected(&fleet));
    }
}
