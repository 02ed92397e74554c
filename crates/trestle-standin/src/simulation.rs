//! The simulated state that all servers of the stand-in share.

use crate::{
    args::Args, engine::Engine, faults::Faults, platform::Platform, weight_store::WeightStore,
};
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

/// Time after the start of draining from which new work at an endpoint is a breach.
const DRAINING_GRACE_MS: u64 = 5_000;

/// The simulated state that all servers of the stand-in share.
pub(crate) struct Simulation {
    state: Mutex<State>,
    started: Instant,
    pub(crate) models: BTreeMap<ModelName, ModelSpec>,
    pub(crate) weight_store: WeightStore,
    speed: f64,
}

/// The part of the simulation that changes at run time.
pub(crate) struct State {
    pub(crate) platform: Platform,
    pub(crate) engines: BTreeMap<EndpointName, Engine>,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) draining_since_ms: BTreeMap<String, u64>,
    pub(crate) runs_by_key: BTreeMap<String, u32>,
    pub(crate) breaches: Vec<String>,
}

/// Counts of events since the start.
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

impl Simulation {
    pub(crate) fn new(config: &Config, args: &Args) -> Self {
        let engines = config.catalog.engines.iter();
        let engines: BTreeMap<_, _> =
            engines.map(|(name, spec)| (name.clone(), Engine::new(spec.clone()))).collect();
        let state = State {
            platform: Platform::new(engines.keys().map(ToString::to_string)),
            engines,
            faults: Faults::default(),
            counts: Counts::default(),
            draining_since_ms: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
            breaches: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            started: Instant::now(),
            models: config.catalog.models.clone(),
            weight_store: WeightStore::new(args.loads_per_s * args.speed, args.full_speed_loads),
            speed: args.speed,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Divides a declared time by the speed of this run, rounded up.
    pub(crate) fn scaled_ms(&self, declared_ms: u64) -> u64 {
        (declared_ms as f64 / self.speed).ceil() as u64
    }
}

impl State {
    /// Records and prints a breach: a violated invariant.
    pub(crate) fn record_breach(&mut self, text: String) {
        eprintln!("standin: breach: {text}");
        self.breaches.push(text);
    }

    /// Sets the state of a VM in the platform's list; `None` removes it.
    pub(crate) fn set_vm(&mut self, name: &str, state: Option<WireVmState>, now_ms: u64) {
        match state {
            Some(WireVmState::Leaving) => {
                self.draining_since_ms.entry(name.to_owned()).or_insert(now_ms);
            }
            Some(WireVmState::Live) | None => {
                self.draining_since_ms.remove(name);
            }
        }
        self.platform.set_vm(name, state);
    }

    /// Records a breach if an endpoint gets new work more than [`DRAINING_GRACE_MS`] after it
    /// began to drain.
    pub(crate) fn check_draining(&mut self, endpoint: &EndpointName, what: &str, now_ms: u64) {
        let since_ms = self.draining_since_ms.get(endpoint.as_str());
        if since_ms.is_some_and(|since_ms| now_ms > since_ms + DRAINING_GRACE_MS) {
            self.record_breach(format!("{what} at leaving endpoint {endpoint}"));
        }
    }

    /// Records a breach if more engines hold a model than its configured number of replicas.
    pub(crate) fn check_replicas(&mut self, model: &ModelName, max_replicas: usize) {
        let holds = |engine: &&Engine| engine.models.contains_key(model);
        let replicas = self.engines.values().filter(holds).count();
        let max_seen = self.counts.most_replicas.entry(model.to_string()).or_default();
        *max_seen = replicas.max(*max_seen);
        if replicas > max_replicas {
            self.record_breach(format!(
                "model {model} has {replicas} replicas, {max_replicas} decided"
            ));
        }
    }
}
