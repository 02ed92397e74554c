//! Measures one plan of a leader of 51 of 256 engines, with 1,375 models and 100 models in demand.
//!
//! `cargo run --release -p trestle-dispatch --example plan_time`

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};
use trestle_core::names::{EndpointName, ModelName};
use trestle_dispatch::{
    catalog::{EngineSpec, ModelSpec},
    demand::{DemandReport, Waiting},
    endpoint::Endpoint,
    policy::Policy,
    service_state::ServiceState,
    sharing::{ForeignEngine, OtherLeaders},
};

const ENGINES: usize = 256;
const DOMAINS: usize = 5;
const MODELS: usize = 1_375;
const DAEMONS: usize = 59;
const PLANS: u64 = 200;

fn model(rng: &mut fastrand::Rng) -> ModelName {
    format!("daka{:06}", rng.usize(0..MODELS)).into()
}

fn engine(number: usize, rng: &mut fastrand::Rng) -> Endpoint {
    let held = (0..3).map(|_| (model(rng), BTreeSet::new())).collect();
    let in_memory = (0..6).map(|_| model(rng)).collect();
    let on_disk = (0..18).map(|_| model(rng)).collect();
    Endpoint {
        name: format!("i-{number:010}").into(),
        service: "s".into(),
        software_version: None,
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: format!("d{}", number % DOMAINS).into(),
        slots: 12,
        is_draining: false,
        started_unix_ms: 0,
        entry_number: 1,
        held,
        in_memory,
        on_disk,
    }
}

fn spec() -> Arc<EngineSpec> {
    let model = ModelSpec {
        weights_mb: 72_700,
        adapter_mb: 66,
        adapters: 4,
        remote_load_ms: 13_200,
        disk_load_ms: 640,
        memory_load_ms: 470,
    };
    let models = (0..MODELS).map(|number| (format!("daka{number:06}").into(), model));
    Arc::new(EngineSpec {
        slots: 12,
        memory_mb: 230_000,
        adapter_slots: 8,
        cache_tokens: None,
        models: models.collect(),
    })
}

fn report(
    number: u64,
    demands: &[ModelName],
    engines: &[Endpoint],
    rng: &mut fastrand::Rng,
) -> DemandReport {
    let waiting = demands.iter().map(|model| Waiting {
        priority: 2,
        due_in_ms: 1_500,
        model: model.clone(),
        adapter: None,
        count: 1,
    });
    let waiting = waiting.collect();
    let mut running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>> = BTreeMap::new();
    for _ in 0..10 {
        let engine = &engines[rng.usize(0..engines.len())];
        if let Some(model) = engine.held.keys().next() {
            running.entry(engine.name.clone()).or_default().insert(model.clone(), 1);
        }
    }
    let arrivals = (0..2).map(|_| (model(rng), 1)).collect();
    DemandReport { number, arrivals, waiting, running, ..DemandReport::default() }
}

fn main() {
    let mut rng = fastrand::Rng::with_seed(1);
    let engines: Vec<Endpoint> = (0..ENGINES).map(|number| engine(number, &mut rng)).collect();
    let (spec, policy) = (spec(), Policy::default());
    let mut state = ServiceState::default();
    let own: BTreeMap<EndpointName, Arc<Endpoint>> = engines
        .iter()
        .filter(|engine| engine.domain.as_str() == "d0")
        .map(|engine| (engine.name.clone(), Arc::new(engine.clone())))
        .collect();
    let mut demands: Vec<[ModelName; 2]> =
        (0..DAEMONS).map(|_| [model(&mut rng), model(&mut rng)]).collect();
    let mut planning_us = 0;
    for number in 1..=PLANS {
        let now_ms = 10_000 + number * 100;
        // Callers wait for about a second, and plans are made within 100 ms of each other.
        for _ in 0..DAEMONS / 10 {
            demands[rng.usize(0..DAEMONS)] = [model(&mut rng), model(&mut rng)];
        }
        for (daemon, demands) in demands.iter().enumerate() {
            let report = report(number, demands, &engines, &mut rng);
            state.demand.report_received(format!("v{daemon}").into(), report, now_ms);
        }
        let foreign = engines.iter().filter(|engine| engine.domain.as_str() != "d0");
        let foreign = foreign.map(|endpoint| {
            let (holds, running) = (endpoint.held.clone(), 4);
            (
                endpoint.name.clone(),
                ForeignEngine { endpoint: Arc::new(endpoint.clone()), holds, running },
            )
        });
        let foreign = foreign.collect();
        state.sharing.update(OtherLeaders {
            own_groups: ["d0".into()].into(),
            live_groups: ["d1", "d2", "d3", "d4"].map(Into::into).into(),
            other_leader_count: 4,
            engines: foreign,
            ..OtherLeaders::default()
        });
        let began = Instant::now();
        let started = state.plan(&spec, &policy, &own, 0, |_| true, now_ms);
        planning_us += began.elapsed().as_micros() as u64;
        for (endpoint, change, mut chain) in started {
            chain.apply_report(None, now_ms);
            let _ = change;
            state.finish_change(&endpoint.incarnation(), &chain, now_ms);
        }
    }
    println!("{} us a plan", planning_us / PLANS);
}
