//! What is asked for, as all daemons tell the leader.

use crate::{
    rates::{PastArrivals, Rates},
    usage::Usage,
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, EndpointName, ModelName, VmName};

/// What a request counts against one that is more urgent by a step. Operators of the
/// deployments credit their most urgent class with 7 to 9 times the next, and the classes
/// below it about alike.
const URGENCY_STEP: f64 = 0.3;
/// Time after which a daemon that tells nothing no longer counts.
const SILENT_MS: u64 = 2_000;
/// Time for which a daemon counts among those that share budgets.
const COUNTED_MS: u64 = 30_000;

/// What one daemon tells of one service.
#[trestle_macros::plain]
#[derive(Default)]
pub struct DemandDigest {
    /// Requests that arrived since the last digest.
    pub arrivals: BTreeMap<ModelName, u32>,
    /// All that arrived until now, for a leader that has not heard of it.
    pub past: Option<Vec<PastArrivals>>,
    /// Requests that wait for a model.
    pub waiting: Vec<Waiting>,
    /// Requests that run, by engine and model.
    pub running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// Requests that run, by engine and adapter.
    pub adapters_in_use: BTreeMap<EndpointName, Vec<(ModelName, AdapterName)>>,
}

/// Requests of one daemon that wait for the same thing, or will be back for it.
#[trestle_macros::key]
pub struct Waiting {
    /// Urgency of the most urgent; 0 goes first.
    pub priority: u8,
    /// Time until the first of them is no longer on time.
    pub due_in_ms: u64,
    /// The model.
    pub model: ModelName,
    /// The adapter, if it is one that is missing.
    pub adapter: Option<AdapterName>,
    /// How many.
    pub count: u32,
}

/// What a want counts for.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The adapter, if it is one that is missing.
    pub adapter: Option<&'a AdapterName>,
    /// Urgency of the most urgent request; 0 goes first.
    pub priority: u8,
    /// Time until the first of them is no longer on time.
    pub due_in_ms: u64,
    /// Requests that wait for it, each by its urgency.
    pub value: f64,
}

impl<'a> Want<'a> {
    fn nothing_of(waiting: &'a Waiting) -> Self {
        Self {
            model: &waiting.model,
            adapter: waiting.adapter.as_ref(),
            priority: waiting.priority,
            due_in_ms: waiting.due_in_ms,
            value: 0.0,
        }
    }

    fn add(&mut self, waiting: &Waiting) {
        self.priority = self.priority.min(waiting.priority);
        self.due_in_ms = self.due_in_ms.min(waiting.due_in_ms);
        let urgency = URGENCY_STEP.powi(i32::from(waiting.priority));
        self.value += f64::from(waiting.count) * urgency;
    }
}

/// What all daemons ask for, of one service.
#[derive(Debug, Default)]
pub struct Demand {
    daemons: BTreeMap<VmName, Told>,
    rates: Rates,
}

#[derive(Debug)]
struct Told {
    at_ms: u64,
    /// Whether it has told what it remembers.
    has_remembered: bool,
    digest: DemandDigest,
}

impl Demand {
    /// Takes what a daemon tells.
    pub fn told(&mut self, daemon: VmName, digest: DemandDigest, now_ms: u64) {
        let before = self.daemons.get(&daemon).is_some_and(|told| told.has_remembered);
        match &digest.past {
            Some(past) if !before => self.rates.remembered(past, now_ms),
            _ => {
                for (model, count) in &digest.arrivals {
                    self.rates.arrived(model, *count, now_ms);
                }
            }
        }
        let has_remembered = before || digest.past.is_some();
        self.daemons.insert(daemon, Told { at_ms: now_ms, has_remembered, digest });
    }

    /// Forgets daemons that have been silent for long.
    pub fn tick(&mut self, now_ms: u64) {
        self.daemons.retain(|_, told| now_ms < told.at_ms + COUNTED_MS);
        self.rates.forget(now_ms);
    }

    /// Daemons that told something lately.
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// How often models are asked for.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Everything that waits, added up over all daemons, the most urgent first.
    pub fn wants(&self, now_ms: u64) -> Vec<Want<'_>> {
        let mut wants: BTreeMap<_, Want<'_>> = BTreeMap::new();
        for waiting in self.live(now_ms).flat_map(|digest| &digest.waiting) {
            let want = wants
                .entry((&waiting.model, waiting.adapter.as_ref()))
                .or_insert_with(|| Want::nothing_of(waiting));
            want.add(waiting);
        }
        let mut wants: Vec<Want<'_>> = wants.into_values().collect();
        wants.sort_by_key(|want| (want.priority, want.due_in_ms));
        wants
    }

    /// Requests that run now.
    pub fn usage(&self, now_ms: u64) -> Usage<'_> {
        let mut usage = Usage::default();
        for digest in self.live(now_ms) {
            for (endpoint, running) in &digest.running {
                for (model, count) in running {
                    usage.add(endpoint, model, *count);
                }
            }
        }
        usage
    }

    /// Whether a request with an adapter runs at an engine.
    pub fn uses_adapter(
        &self,
        endpoint: &EndpointName,
        adapter: &(ModelName, AdapterName),
        now_ms: u64,
    ) -> bool {
        let mut of_engine = self.live(now_ms).filter_map(|told| told.adapters_in_use.get(endpoint));
        of_engine.any(|adapters| adapters.contains(adapter))
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = &DemandDigest> {
        let is_live = move |told: &&Told| now_ms < told.at_ms + SILENT_MS;
        self.daemons.values().filter(is_live).map(|told| &told.digest)
    }
}
