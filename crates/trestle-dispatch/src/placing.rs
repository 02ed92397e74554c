//! Which engine loads which model, and what makes way for it.
//!
//! Places are scarce and loads from an engine's own disk are quick, so a model
//! that someone waits for is brought in where it arrives soonest and displaces
//! what will be missed least. A busy model gets further replicas only where
//! little is displaced.

mod adapters;
mod eviction;
mod prefetch;

use crate::{
    catalog::{EngineSpec, ModelSpec},
    change::Change,
    demand::Demand,
    endpoint::{Endpoint, Held},
    usage::Usage,
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, ModelName};

/// Part of an engine's slots that one busy model fills before it is worth a
/// further replica: at an eighth, steps are hardly slower than alone.
const REPLICA_FILL_PART: u32 = 8;
/// The same before it is worth a load from the weight store, which takes 6 s while demand
/// moves on in some 10 s.
const FAR_REPLICA_FILL_PART: u32 = 4;
/// Loads from the weight store that further replicas leave to models that somebody waits for.
const REMOTE_LOADS_LEFT: usize = 2;
/// What a fully loaded engine counts against one that is idle.
const FULL_ENGINE_MS: f64 = 800.0;
/// Most that a displaced model may count for the sake of a further replica.
const FURTHER_REPLICA_MS: f64 = 900.0;
/// Loads from the weight store at once that keep their full speed.
pub const REMOTE_LOADS_AT_ONCE: usize = 4;
/// Time of an unload with nothing running, as engines show it.
const UNLOAD_MS: u64 = 150;

/// What the leader knows of one engine.
#[derive(Debug)]
pub struct EngineState<'a> {
    /// Its entry.
    pub endpoint: &'a Endpoint,
    /// What it holds once everything accepted is carried out.
    pub held: &'a Held,
    /// When models have arrived there.
    pub arrived_ms: &'a BTreeMap<ModelName, u64>,
    /// The change that is under way.
    pub change: Option<&'a Change>,
    /// Whether a change may begin there now.
    pub may_change: bool,
}

impl EngineState<'_> {
    /// Models that it holds and will go on holding, or that are on their way.
    fn kept(&self) -> BTreeSet<&ModelName> {
        let goes =
            |model: &&ModelName| self.change.is_some_and(|change| change.evicted.contains(*model));
        let comes = self.change.filter(|change| change.adapter.is_none());
        let held = self.held.keys().filter(|model| !goes(model));
        held.chain(comes.map(|change| &change.model)).collect()
    }
}

/// What to change now, and when models that are waited for will be ready.
#[derive(Debug, Default)]
pub struct Plan {
    /// Changes to begin.
    pub changes: Vec<Change>,
    /// Time until a model that is waited for should be ready.
    pub ready_in_ms: BTreeMap<ModelName, u64>,
}

/// Everything that planning looks at.
#[derive(Debug)]
pub struct Planner<'a> {
    spec: &'a EngineSpec,
    demand: &'a Demand,
    usage: Usage<'a>,
    engines: BTreeMap<&'a EndpointName, EngineState<'a>>,
    now_ms: u64,
    /// Engines that hold a model and will go on holding it, or are about to.
    replicas: BTreeMap<ModelName, u32>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    /// Planning for one service.
    pub fn new(
        spec: &'a EngineSpec,
        demand: &'a Demand,
        engines: impl IntoIterator<Item = EngineState<'a>>,
        now_ms: u64,
    ) -> Self {
        let engines: BTreeMap<_, _> =
            engines.into_iter().map(|state| (&state.endpoint.name, state)).collect();
        let mut replicas = BTreeMap::new();
        for model in engines.values().flat_map(EngineState::kept) {
            *replicas.entry(model.clone()).or_default() += 1;
        }
        let usage = demand.usage(now_ms);
        Self { spec, demand, usage, engines, now_ms, replicas, plan: Plan::default() }
    }

    /// Plans.
    pub fn plan(mut self) -> Plan {
        let wants = self.demand.wants(self.now_ms);
        let waited_for: BTreeSet<&ModelName> = wants.iter().map(|want| want.model).collect();
        let mut far = Vec::new();
        for want in &wants {
            match want.adapter {
                Some(adapter) => self.want_adapter(want.model, adapter),
                None if self.want_model(want.model, &waited_for, Reach::Near) => {}
                None => far.push(want),
            }
        }
        // Few loads of the weight store go on at once, and each takes long: they go to
        // what most wait for.
        far.sort_by(|one, other| other.value.total_cmp(&one.value));
        for want in far {
            self.want_model(want.model, &waited_for, Reach::Far);
        }
        self.want_further_replicas(&waited_for);
        self.fill_free_room();
        self.plan
    }

    /// Sees to a model that somebody waits for; returns whether that was possible.
    fn want_model(
        &mut self,
        model: &ModelName,
        waited_for: &BTreeSet<&ModelName>,
        reach: Reach,
    ) -> bool {
        if self.plan.ready_in_ms.contains_key(model) {
            return true;
        }
        if let Some(ready_in_ms) = self.ready_in_ms(model) {
            self.plan.ready_in_ms.insert(model.clone(), ready_in_ms);
            return true;
        }
        let Some(offer) = self.best_offer(model, waited_for) else { return false };
        if offer.is_remote && reach == Reach::Near {
            return false;
        }
        self.plan.ready_in_ms.insert(model.clone(), offer.ready_in_ms);
        if let Some(change) = offer.change {
            self.begin(change);
        }
        true
    }

    fn begin(&mut self, change: Change) {
        for model in &change.evicted {
            if let Some(count) = self.replicas.get_mut(model) {
                *count = count.saturating_sub(1);
            }
        }
        if change.adapter.is_none() {
            *self.replicas.entry(change.model.clone()).or_default() += 1;
        }
        self.plan.changes.push(change);
    }

    /// Time until the model is ready somewhere by what is there or under way.
    fn ready_in_ms(&self, model: &ModelName) -> Option<u64> {
        let ready = self.engines.values().filter_map(|state| {
            if let Some(change) = state.change
                && change.evicted.contains(model)
            {
                return None;
            }
            match state.change {
                Some(change) if change.model == *model && change.adapter.is_none() => {
                    Some(change.done_at_ms.saturating_sub(self.now_ms))
                }
                _ => state.held.contains_key(model).then_some(0),
            }
        });
        let planned = self.plan.changes.iter().filter(|change| change.model == *model);
        let planned = planned.map(|change| change.done_at_ms.saturating_sub(self.now_ms));
        ready.chain(planned).min()
    }

    fn best_offer(&self, model: &ModelName, waited_for: &BTreeSet<&ModelName>) -> Option<Offer> {
        let spec = self.spec.models.get(model)?;
        let offers =
            self.engines.values().filter_map(|state| self.offer(model, spec, state, waited_for));
        offers.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
    }

    /// What it would take to bring a model in at an engine.
    fn offer(
        &self,
        model: &ModelName,
        spec: &ModelSpec,
        state: &EngineState<'_>,
        waited_for: &BTreeSet<&ModelName>,
    ) -> Option<Offer> {
        let endpoint = state.endpoint;
        if state.held.contains_key(model) || !state.may_change {
            return None;
        }
        let planned = self.plan.changes.iter().find(|change| change.endpoint == endpoint.name);
        let under_way = state.change.or(planned);
        let busy_ms = under_way.map_or(0, |change| change.done_at_ms.saturating_sub(self.now_ms));
        let (load_ms, is_remote) = load_time(spec, endpoint, model);
        if is_remote && self.remote_loads() >= REMOTE_LOADS_AT_ONCE {
            return None;
        }
        let eviction = self.eviction(spec.weights_mb, state, waited_for)?;
        let unload_ms = if eviction.models.is_empty() { 0 } else { UNLOAD_MS };
        let ready_in_ms = busy_ms + unload_ms + eviction.run_wait_ms as u64 + load_ms;
        let fill = f64::from(self.usage.at(&endpoint.name)) / f64::from(self.spec.slots.max(1));
        let cost_ms = ready_in_ms as f64 + eviction.miss_ms + fill * FULL_ENGINE_MS;
        let change = Change {
            endpoint: endpoint.name.clone(),
            evicted: eviction.models,
            model: model.clone(),
            adapter: None,
            evicted_adapter: None,
            is_remote,
            load_ms,
            done_at_ms: self.now_ms + ready_in_ms,
        };
        let change = under_way.is_none().then_some(change);
        Some(Offer { is_remote, change, ready_in_ms, cost_ms, miss_ms: eviction.miss_ms })
    }

    fn remote_loads(&self) -> usize {
        let under_way = self.engines.values().filter_map(|state| state.change);
        under_way.chain(&self.plan.changes).filter(|change| change.is_remote).count()
    }

    /// Engines that hold the model and will go on holding it, or are about to.
    fn replicas(&self, model: &ModelName) -> u32 {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Replicas that the present use of a model is worth.
    fn needed_replicas(&self, model: &ModelName) -> u32 {
        let running = self.usage.of_model(model);
        let per_replica = (self.spec.slots / REPLICA_FILL_PART).max(1);
        let by_use = running.div_ceil(per_replica);
        let is_wanted = self.demand.rates().per_s(model, self.now_ms) > 0.0;
        by_use.max(u32::from(is_wanted))
    }

    /// Brings in one more replica of the busiest model that has too few.
    fn want_further_replicas(&mut self, waited_for: &BTreeSet<&ModelName>) {
        let lacking = self.usage.models().filter_map(|model| {
            let (needed, there) = (self.needed_replicas(model), self.replicas(model));
            let missing = needed.saturating_sub(there);
            (there > 0 && missing > 0).then_some((missing, model))
        });
        let Some((_, model)) = lacking.max() else { return };
        let Some(offer) = self.best_offer(model, waited_for) else { return };
        let is_cheap = offer.miss_ms <= FURTHER_REPLICA_MS;
        if let Some(change) = offer.change
            && is_cheap
            && (!change.is_remote || self.is_worth_a_far_load(model))
        {
            self.begin(change);
        }
    }

    /// Whether a model is so busy that a further replica may come from the weight store.
    fn is_worth_a_far_load(&self, model: &ModelName) -> bool {
        let filled = self.usage.of_model(model) * FAR_REPLICA_FILL_PART;
        let slots = self.replicas(model) * self.spec.slots;
        filled > slots && self.remote_loads() + REMOTE_LOADS_LEFT < REMOTE_LOADS_AT_ONCE
    }
}

/// From where weights may come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// From a copy near the engine.
    Near,
    /// Also from the weight store.
    Far,
}

/// What it would take to bring a model in at one engine.
struct Offer {
    is_remote: bool,
    /// The change; none while another is under way there.
    change: Option<Change>,
    ready_in_ms: u64,
    cost_ms: f64,
    miss_ms: f64,
}

/// Time of a load, and whether it comes from the weight store.
fn load_time(spec: &ModelSpec, endpoint: &Endpoint, model: &ModelName) -> (u64, bool) {
    if endpoint.in_memory.contains(model) {
        (spec.memory_load_ms, false)
    } else if endpoint.on_disk.contains(model) {
        (spec.disk_load_ms, false)
    } else {
        (spec.remote_load_ms, true)
    }
}
