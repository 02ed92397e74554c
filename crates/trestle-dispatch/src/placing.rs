//! Which engine loads which model, and what makes way for it.
//!
//! Places are scarce and loads from an engine's own disk are quick, so a model
//! that someone waits for is brought in where it arrives soonest and displaces
//! what will be missed least. A busy model gets further replicas only where
//! little is displaced.

use crate::{
    catalog::{EngineSpec, ModelSpec},
    demand::Demand,
    endpoint::Endpoint,
    orders::{Held, Order},
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName};
use xxhash_rust::xxh3::xxh3_64;

/// Part of an engine's slots that one busy model fills before it is worth a
/// further replica: at an eighth, steps are hardly slower than alone.
const REPLICA_FILL_PART: u32 = 8;
/// Time that an unload waits for each model that has requests running; the mean
/// of what streams of the deployments take.
const RUN_WAIT_MS: f64 = 2_800.0;
/// What losing a replica counts, in ms of delay, for each request a second.
const MISS_MS_PER_RATE: f64 = 4_000.0;
/// What a fully loaded engine counts against one that is idle.
const FULL_ENGINE_MS: f64 = 800.0;
/// Most that a displaced model may count for the sake of a further replica.
const FURTHER_REPLICA_MS: f64 = 900.0;
/// Loads from the weight store at once that keep their full speed.
pub const REMOTE_LOADS_AT_ONCE: usize = 4;
/// Time of an unload with nothing running, as engines show it.
const UNLOAD_MS: u64 = 150;
/// Time for which a model stays once it has arrived, for those it was loaded for.
const SETTLE_MS: u64 = 1_500;

/// What the giver of orders knows of one engine.
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
}

/// One change at one engine.
#[trestle_macros::plain]
pub struct Change {
    /// The engine.
    pub endpoint: EndpointName,
    /// Models that go.
    pub evicted: Vec<ModelName>,
    /// The model that comes, or whose adapter comes.
    pub model: ModelName,
    /// The adapter that comes.
    pub adapter: Option<AdapterName>,
    /// The adapter that goes.
    pub evicted_adapter: Option<(ModelName, AdapterName)>,
    /// Whether the weights come from the weight store.
    pub is_remote: bool,
    /// Time that the load itself should take.
    pub load_ms: u64,
    /// When it should be done.
    pub done_at_ms: u64,
}

impl Change {
    /// The orders that make the change.
    pub fn orders(&self) -> Vec<Order> {
        let mut orders: Vec<Order> =
            self.evicted.iter().map(|model| Order::UnloadModel(model.clone())).collect();
        if let Some((model, adapter)) = &self.evicted_adapter {
            orders.push(Order::UnloadAdapter(model.clone(), adapter.clone()));
        }
        orders.push(match &self.adapter {
            Some(adapter) => Order::LoadAdapter(self.model.clone(), adapter.clone()),
            None => Order::LoadModel(self.model.clone()),
        });
        orders
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
    engines: BTreeMap<&'a EndpointName, EngineState<'a>>,
    now_ms: u64,
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
        let engines = engines.into_iter().map(|state| (&state.endpoint.name, state)).collect();
        Self { spec, demand, engines, now_ms, plan: Plan::default() }
    }

    /// Plans.
    pub fn plan(mut self) -> Plan {
        let waiting = self.demand.waiting(self.now_ms);
        let waited_for: BTreeSet<&ModelName> =
            waiting.iter().map(|waiting| &waiting.model).collect();
        for waiting in &waiting {
            match &waiting.adapter {
                Some(adapter) => self.want_adapter(&waiting.model, adapter),
                None => self.want_model(&waiting.model, &waited_for),
            }
        }
        self.want_further_replicas(&waited_for);
        self.plan
    }

    fn want_model(&mut self, model: &ModelName, waited_for: &BTreeSet<&ModelName>) {
        if self.plan.ready_in_ms.contains_key(model) {
            return;
        }
        if let Some(ready_in_ms) = self.ready_in_ms(model) {
            self.plan.ready_in_ms.insert(model.clone(), ready_in_ms);
            return;
        }
        let Some(offer) = self.best_offer(model, waited_for) else { return };
        self.plan.ready_in_ms.insert(model.clone(), offer.ready_in_ms);
        if let Some(change) = offer.change {
            self.plan.changes.push(change);
        }
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
        if state.held.contains_key(model) {
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
        let fill = f64::from(self.demand.running_at(&endpoint.name, self.now_ms))
            / f64::from(self.spec.slots.max(1));
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
        Some(Offer { change, ready_in_ms, cost_ms, miss_ms: eviction.miss_ms })
    }

    /// The models whose going makes room and is missed least.
    fn eviction(
        &self,
        needed_mb: u64,
        state: &EngineState<'_>,
        waited_for: &BTreeSet<&ModelName>,
    ) -> Option<Eviction> {
        let mut free_mb = self.spec.memory_mb.saturating_sub(self.spec.held_mb(state.held));
        let mut candidates: Vec<(f64, f64, &ModelName)> = state
            .held
            .keys()
            .filter_map(|model| {
                let (miss_ms, run_wait_ms) = self.loss(model, state, waited_for)?;
                Some((miss_ms, run_wait_ms, model))
            })
            .collect();
        candidates.sort_by(|one, other| (one.0 + one.1).total_cmp(&(other.0 + other.1)));
        let mut eviction = Eviction { models: Vec::new(), miss_ms: 0.0, run_wait_ms: 0.0 };
        for (miss_ms, run_wait_ms, model) in candidates {
            if free_mb >= needed_mb {
                break;
            }
            free_mb += self.model_mb(model, state);
            eviction.models.push(model.clone());
            eviction.miss_ms += miss_ms;
            eviction.run_wait_ms = eviction.run_wait_ms.max(run_wait_ms);
        }
        (free_mb >= needed_mb).then_some(eviction)
    }

    /// What the going of a model from an engine costs; `None` if it must stay.
    fn loss(
        &self,
        model: &ModelName,
        state: &EngineState<'_>,
        waited_for: &BTreeSet<&ModelName>,
    ) -> Option<(f64, f64)> {
        let is_new =
            state.arrived_ms.get(model).is_some_and(|at_ms| self.now_ms < at_ms + SETTLE_MS);
        let others = self.replicas(model).saturating_sub(1);
        if others == 0 && (is_new || waited_for.contains(model)) {
            return None;
        }
        let running = self.demand.running(&state.endpoint.name, model, self.now_ms);
        let run_wait_ms = if running > 0 { RUN_WAIT_MS } else { 0.0 };
        let rate = self.demand.rate_per_s(model, self.now_ms);
        let is_surplus = others >= self.needed_replicas(model);
        // What was asked for longest ago goes first among equals.
        let age_ms = self
            .demand
            .last_arrival_ms(model)
            .map_or(u64::MAX, |at_ms| self.now_ms.saturating_sub(at_ms));
        let recency = 50.0 / (1.0 + age_ms as f64 / 1e3);
        let miss_ms = if is_surplus { 0.0 } else { rate * MISS_MS_PER_RATE + recency };
        Some((miss_ms, run_wait_ms))
    }

    fn model_mb(&self, model: &ModelName, state: &EngineState<'_>) -> u64 {
        let adapters = state.held.get(model).map_or(0, BTreeSet::len) as u64;
        self.spec.weights_mb(model) + adapters * self.spec.adapter_mb(model)
    }

    fn remote_loads(&self) -> usize {
        let under_way = self.engines.values().filter_map(|state| state.change);
        under_way.chain(&self.plan.changes).filter(|change| change.is_remote).count()
    }

    /// Engines that hold the model and will go on holding it, or are about to.
    fn replicas(&self, model: &ModelName) -> u32 {
        let has = |state: &&EngineState<'_>| {
            let planned =
                self.plan.changes.iter().find(|change| change.endpoint == state.endpoint.name);
            let changes = || state.change.into_iter().chain(planned);
            let comes = changes().any(|change| change.model == *model && change.adapter.is_none());
            let goes = changes().any(|change| change.evicted.contains(model));
            comes || (state.held.contains_key(model) && !goes)
        };
        self.engines.values().filter(has).count() as u32
    }

    /// Replicas that the present use of a model is worth.
    fn needed_replicas(&self, model: &ModelName) -> u32 {
        let running = self.demand.running_everywhere(model, self.now_ms);
        let per_replica = (self.spec.slots / REPLICA_FILL_PART).max(1);
        let by_use = running.div_ceil(per_replica);
        let is_wanted = self.demand.rate_per_s(model, self.now_ms) > 0.0;
        by_use.max(u32::from(is_wanted))
    }

    /// Brings in one more replica of the busiest model that has too few.
    fn want_further_replicas(&mut self, waited_for: &BTreeSet<&ModelName>) {
        let lacking = self.spec.models.keys().filter_map(|model| {
            let (needed, there) = (self.needed_replicas(model), self.replicas(model));
            let missing = needed.saturating_sub(there);
            (there > 0 && missing > 0).then_some((missing, model))
        });
        let Some((_, model)) = lacking.max() else { return };
        let Some(offer) = self.best_offer(model, waited_for) else { return };
        let is_cheap = offer.miss_ms <= FURTHER_REPLICA_MS;
        if let Some(change) = offer.change
            && is_cheap
            && !change.is_remote
        {
            self.plan.changes.push(change);
        }
    }

    /// Brings an adapter in at one of its model's replicas, the same one each time.
    fn want_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        let Some(spec) = self.spec.models.get(model) else { return };
        let key = (model.clone(), adapter.clone());
        let under_way = self.engines.values().filter_map(|state| state.change);
        let mut changes = under_way.chain(&self.plan.changes);
        let comes = changes
            .any(|change| change.model == *model && change.adapter.as_ref() == Some(adapter));
        let is_there = self.engines.values().any(|state| {
            state.held.get(model).is_some_and(|adapters| adapters.contains(adapter))
                && !state.change.is_some_and(|change| change.evicted.contains(model))
        });
        if comes || is_there {
            return;
        }
        let hosts = self.engines.values().filter(|state| {
            let is_free = state.change.is_none()
                && !self.plan.changes.iter().any(|change| change.endpoint == state.endpoint.name);
            is_free && state.held.contains_key(model)
        });
        let ranked = hosts.max_by_key(|state| {
            let text = format!("{model}/{adapter}@{}", state.endpoint.name);
            xxh3_64(text.as_bytes())
        });
        let Some(state) = ranked else { return };
        let loaded: usize = state.held.values().map(BTreeSet::len).sum();
        let is_full = loaded as u64 >= u64::from(self.spec.adapter_slots);
        let used_mb = self.spec.held_mb(state.held);
        let is_tight = used_mb + spec.adapter_mb > self.spec.memory_mb;
        let evicted_adapter =
            if is_full || is_tight { self.idle_adapter(state, &key) } else { None };
        if (is_full || is_tight) && evicted_adapter.is_none() {
            return;
        }
        let change = Change {
            endpoint: state.endpoint.name.clone(),
            evicted: Vec::new(),
            model: model.clone(),
            adapter: Some(adapter.clone()),
            evicted_adapter,
            is_remote: false,
            load_ms: 0,
            done_at_ms: self.now_ms + UNLOAD_MS,
        };
        self.plan.changes.push(change);
    }

    /// An adapter at an engine that nobody uses.
    fn idle_adapter(
        &self,
        state: &EngineState<'_>,
        wanted: &(ModelName, AdapterName),
    ) -> Option<(ModelName, AdapterName)> {
        let loaded = state.held.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |adapter| (model.clone(), adapter.clone()))
        });
        let idle = loaded.filter(|key| {
            key != wanted && !self.demand.uses_adapter(&state.endpoint.name, key, self.now_ms)
        });
        idle.min_by(|one, other| {
            let rate = |key: &(ModelName, AdapterName)| self.demand.rate_per_s(&key.0, self.now_ms);
            rate(one).total_cmp(&rate(other)).then_with(|| one.cmp(other))
        })
    }
}

/// What it would take to bring a model in at one engine.
struct Offer {
    /// The change; none while another is under way there.
    change: Option<Change>,
    ready_in_ms: u64,
    cost_ms: f64,
    miss_ms: f64,
}

struct Eviction {
    models: Vec<ModelName>,
    miss_ms: f64,
    run_wait_ms: f64,
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
