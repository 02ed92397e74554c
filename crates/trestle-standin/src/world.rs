//! All state of the stand-in.

use crate::{args::Args, engine::Engine, faults::Faults, platform::Platform, weights::Weights};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use trestle_config::Config;
use trestle_core::{
    catalog::ModelSpec,
    names::{EndpointName, ModelName},
};
use trestle_wire::table::WireVmState;

/// Time after which a leaving endpoint must get no new work.
const LEAVING_GRACE_MS: u64 = 5_000;

/// All state of the stand-in.
pub(crate) struct World {
    state: Mutex<State>,
    started: Instant,
    pub(crate) models: BTreeMap<ModelName, ModelSpec>,
    pub(crate) weights: Weights,
    speed: f64,
}

/// What changes.
pub(crate) struct State {
    pub(crate) platform: Platform,
    pub(crate) engines: BTreeMap<EndpointName, Engine>,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) leaving_since_ms: BTreeMap<String, u64>,
    pub(crate) runs_by_key: BTreeMap<String, u32>,
    pub(crate) breaches: Vec<String>,
}

/// What happened so far.
#[trestle_macros::wire]
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) table_reads: u64,
    pub(crate) table_writes: u64,
    pub(crate) loads: BTreeMap<String, u32>,
    pub(crate) load_order: Vec<String>,
    pub(crate) unloads: u32,
    pub(crate) refused_orders: u32,
    pub(crate) orders: u32,
    pub(crate) engine_runs: u64,
    pub(crate) service_runs: u64,
    pub(crate) most_replicas: BTreeMap<String, usize>,
}

impl World {
    pub(crate) fn new(config: &Config, args: &Args) -> Self {
        let engines = config.catalog.engines.iter();
        let engines: BTreeMap<_, _> =
            engines.map(|(name, spec)| (name.clone(), Engine::new(spec.clone()))).collect();
        let state = State {
            platform: Platform::new(engines.keys().map(ToString::to_string)),
            engines,
            faults: Faults::default(),
            counts: Counts::default(),
            leaving_since_ms: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
            breaches: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            started: Instant::now(),
            models: config.catalog.models.clone(),
            weights: Weights::new(args.loads_per_s * args.speed, args.full_speed_loads),
            speed: args.speed,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A declared time at the speed of this run.
    pub(crate) fn scaled_ms(&self, declared_ms: u64) -> u64 {
        (declared_ms as f64 / self.speed).ceil() as u64
    }
}

impl State {
    /// Notes that something happened which must never happen.
    pub(crate) fn breach(&mut self, text: String) {
        eprintln!("standin: breach: {text}");
        self.breaches.push(text);
    }

    /// Changes the state of a VM in the platform's list.
    pub(crate) fn set_vm(&mut self, name: &str, state: Option<WireVmState>, now_ms: u64) {
        match state {
            Some(WireVmState::Leaving) => {
                self.leaving_since_ms.entry(name.to_owned()).or_insert(now_ms);
            }
            Some(WireVmState::Live) | None => {
                self.leaving_since_ms.remove(name);
            }
        }
        self.platform.set_vm(name, state);
    }

    /// Checks that new work at an endpoint did not come long after it began to leave.
    pub(crate) fn check_leaving(&mut self, endpoint: &EndpointName, what: &str, now_ms: u64) {
        let since_ms = self.leaving_since_ms.get(endpoint.as_str());
        if since_ms.is_some_and(|since_ms| now_ms > since_ms + LEAVING_GRACE_MS) {
            self.breach(format!("{what} at leaving endpoint {endpoint}"));
        }
    }

    /// Checks that a model takes memory at no more endpoints than were decided.
    pub(crate) fn check_replicas(&mut self, model: &ModelName, max_replicas: usize) {
        let holds = |engine: &&Engine| engine.models.contains_key(model);
        let replicas = self.engines.values().filter(holds).count();
        let most = self.counts.most_replicas.entry(model.to_string()).or_default();
        *most = replicas.max(*most);
        if replicas > max_replicas {
            self.breach(format!("model {model} has {replicas} replicas, {max_replicas} decided"));
        }
    }
}
