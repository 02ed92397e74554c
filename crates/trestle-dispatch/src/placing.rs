//! Plans which engine loads which model and what it evicts for it.
//!
//! The load that this answers: more models than room, a few in demand all the time and many now and
//! then, and demand that shifts within seconds. Loads from an engine's own disk are quick, so a
//! model in demand is loaded where it will be ready soonest and evicts the models of least value.
//! It never evicts models of more value ([`value`]), or the rare models would evict the busy ones
//! one by one. Loads from the weight store are few and long, so they go to the models with the
//! largest demand ([`remote`]). Free room is left for future demand: an engine that loads a model
//! ahead of demand carries out no other order meanwhile, for 6 s if the weights come from the
//! store.

mod adapters;
mod eviction;
mod remote;
mod value;

use crate::{
    catalog::{EngineSpec, ModelSpec},
    change::Change,
    demand::{AggregateDemand, Demand},
    endpoint::{Endpoint, Held},
    load::model_work::ModelWork,
    loadable::Loadable,
    observed_times::ObservedTimes,
    policy::{Mechanism, Policy},
    sharing::{EngineView, Sharing},
    usage::Usage,
};
use eviction::EvictionCandidates;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// Number of models considered for a further replica, in the order of their gain, if there are
/// several leaders: some of the models belong at other leaders' engines.
const MAX_FURTHER_CONSIDERED: usize = 4;
/// Cost of a fully loaded engine compared with an idle one, as time.
const FULL_ENGINE_MS: f64 = 800.0;
/// Time of an unload while no request runs.
const UNLOAD_MS: u64 = 150;

/// The leader's view of one engine.
#[derive(Debug)]
pub struct EngineState<'a> {
    /// The engine's entry.
    pub endpoint: &'a Endpoint,
    /// What the engine holds once all accepted orders are carried out.
    pub held: &'a Held,
    /// When models were loaded there.
    pub loaded_at_ms: &'a BTreeMap<ModelName, u64>,
    /// The change in progress, if any.
    pub change: Option<&'a Change>,
    /// Whether a change may begin there now.
    pub may_change: bool,
}

impl EngineState<'_> {
    /// Returns the models that the engine holds and is not about to evict.
    fn kept(&self) -> impl Iterator<Item = &ModelName> {
        let loading = self.loading();
        self.held.keys().filter(move |model| !self.evicts(model) && Some(*model) != loading)
    }

    /// Returns the model that the engine is loading.
    fn loading(&self) -> Option<&ModelName> {
        self.change.filter(|change| change.adapter.is_none()).map(|change| &change.model)
    }

    /// Returns whether the change in progress evicts a model.
    fn evicts(&self, model: &ModelName) -> bool {
        self.change.is_some_and(|change| change.evicted.contains(model))
    }
}

/// The result of planning.
#[derive(Debug, Default)]
pub struct Plan {
    /// Changes to begin now.
    pub changes: Vec<Change>,
    /// Expected time until each model or adapter in demand is ready.
    pub ready_in_ms: BTreeMap<Loadable, u64>,
    /// Whether models would gain by further replicas, and none finds room.
    pub lacks_room: bool,
}

/// The inputs of planning other than the engines.
#[derive(Debug, Clone, Copy)]
pub struct PlanInputs<'a> {
    /// What engines of the service can hold.
    pub spec: &'a EngineSpec,
    /// The demand of all callers.
    pub demand: &'a Demand,
    /// The reading that their requests cause, as far as this leader schedules prompts.
    pub work: &'a ModelWork,
    /// Times observed in earlier changes.
    pub observed_times: &'a ObservedTimes,
    /// The mechanisms in use.
    pub policy: &'a Policy,
    /// What other leaders are responsible for.
    pub sharing: &'a Sharing,
    /// Whether further replicas are planned now.
    pub plans_further: bool,
    /// Time on the monotonic clock.
    pub now_ms: u64,
}

/// The state of one planning run.
#[derive(Debug)]
pub struct Planner<'a> {
    spec: &'a EngineSpec,
    demand: &'a Demand,
    work: &'a ModelWork,
    observed_times: &'a ObservedTimes,
    policy: &'a Policy,
    sharing: &'a Sharing,
    usage: Usage<'a>,
    engines: BTreeMap<&'a EndpointName, EngineState<'a>>,
    now_ms: u64,
    /// Number of engines, by model, that hold it and are not about to evict it, or are loading it;
    /// includes engines of other leaders.
    replicas: BTreeMap<ModelName, u32>,
    /// Number of engines, by model, that hold it now and are not about to evict it; includes
    /// engines of other leaders.
    present: BTreeMap<ModelName, u32>,
    /// Models that engines of other leaders can run.
    elsewhere: BTreeSet<&'a ModelName>,
    /// Engines with a local copy of each model's weights.
    local_copies: BTreeMap<&'a ModelName, Vec<&'a EndpointName>>,
    /// Models in demand.
    models_in_demand: BTreeSet<&'a ModelName>,
    /// Adapters in demand.
    adapters_in_demand: BTreeSet<(&'a ModelName, &'a AdapterName)>,
    /// What each engine could evict. Many models are tried at the same engines, so this is computed
    /// again only where it has changed.
    candidates: Option<BTreeMap<&'a EndpointName, EvictionCandidates>>,
    remote_loads: usize,
    plans_further: bool,
    plan: Plan,
}

impl<'a> Planner<'a> {
    /// Creates the planner of one service.
    pub fn new(inputs: PlanInputs<'a>, engines: impl IntoIterator<Item = EngineState<'a>>) -> Self {
        let PlanInputs {
            spec,
            demand,
            work,
            observed_times,
            policy,
            sharing,
            plans_further,
            now_ms,
        } = inputs;
        let engines: BTreeMap<_, _> =
            engines.into_iter().map(|state| (&state.endpoint.name, state)).collect();
        let kept = || {
            let elsewhere = sharing.engines().flat_map(|foreign| foreign.holds.keys());
            engines.values().flat_map(EngineState::kept).chain(elsewhere)
        };
        let present = count(kept());
        let loading = engines.values().filter_map(EngineState::loading);
        let replicas = count(kept().chain(loading));
        let elsewhere = sharing.engines().flat_map(|foreign| foreign.holds.keys()).collect();
        let local_copies = local_copies(engines.values().map(|state| state.endpoint));
        let in_progress = engines.values().filter_map(|state| state.change);
        let remote_loads = in_progress.filter(|change| change.is_remote).count();
        Self {
            spec,
            demand,
            work,
            observed_times,
            policy,
            sharing,
            usage: demand.usage(now_ms),
            engines,
            now_ms,
            replicas,
            present,
            elsewhere,
            local_copies,
            models_in_demand: BTreeSet::new(),
            adapters_in_demand: BTreeSet::new(),
            candidates: None,
            remote_loads,
            plans_further,
            plan: Plan::default(),
        }
    }

    /// Returns the plan.
    pub fn plan(mut self) -> Plan {
        let demands = self.demand.aggregate(self.now_ms);
        self.models_in_demand = demands.iter().map(|demand| demand.model).collect();
        let adapters = demands.iter().filter_map(|demand| Some((demand.model, demand.adapter?)));
        self.adapters_in_demand = adapters.collect();
        let sharing = self.sharing;
        let assigned =
            self.demand.aggregate_where(self.now_ms, |loadable| sharing.is_assigned_here(loadable));
        let mut remote_only = Vec::new();
        for demand in &assigned {
            match demand.adapter {
                Some(adapter) if self.replicas(demand.model) > 0 => {
                    self.plan_adapter(demand.model, adapter);
                }
                _ if self.plan_model(demand, Source::Local) => {}
                _ => remote_only.push(demand),
            }
        }
        self.plan_further_replica();
        self.plan_remote(remote_only);
        self.plan
    }

    /// Plans for a model in demand; returns whether it is ready, loading or going to be loaded.
    fn plan_model(&mut self, demand: &AggregateDemand<'a>, source: Source) -> bool {
        let model = demand.model;
        if self.plan.ready_in_ms.contains_key(&Loadable::model(model)) {
            return true;
        }
        if let Some(ready_in_ms) = self.ready_in_ms(model) {
            self.record_ready(demand, ready_in_ms);
            return true;
        }
        let gain_ms = self.gain_of_first_ms(demand);
        let Some(option) = self.best_option(model, gain_ms, source) else { return false };
        self.record_ready(demand, option.ready_in_ms);
        if let Some(change) = option.change {
            self.begin(change);
        }
        true
    }

    /// Records when a model, and the adapter in demand with it, will be ready.
    fn record_ready(&mut self, demand: &AggregateDemand<'_>, ready_in_ms: u64) {
        self.plan.ready_in_ms.insert(Loadable::model(demand.model), ready_in_ms);
        if let Some(adapter) = demand.adapter {
            let with_adapter = Loadable::new(demand.model, Some(adapter));
            let ready_in_ms = ready_in_ms + adapters::LOAD_MS;
            self.plan.ready_in_ms.insert(with_adapter, ready_in_ms);
        }
    }

    fn begin(&mut self, change: Change) {
        for model in &change.evicted {
            for counts in [&mut self.replicas, &mut self.present] {
                if let Some(count) = counts.get_mut(model) {
                    *count = count.saturating_sub(1);
                }
            }
        }
        if change.adapter.is_none() {
            *self.replicas.entry(change.model.clone()).or_default() += 1;
        }
        self.refresh_candidates(&change);
        self.remote_loads += usize::from(change.is_remote);
        self.plan.changes.push(change);
    }

    /// Computes again what can be evicted at the engines that hold a model evicted by this change.
    fn refresh_candidates(&mut self, change: &Change) {
        let Some(mut candidates) = self.candidates.take() else { return };
        let loses = |state: &EngineState<'_>| {
            change.evicted.iter().any(|model| state.held.contains_key(model))
        };
        let stale = self.engines.iter().filter(|(_, state)| loses(state));
        let refreshed: Vec<_> =
            stale.map(|(name, state)| (*name, self.candidates_at(state))).collect();
        candidates.extend(refreshed);
        self.candidates = Some(candidates);
    }

    /// Returns the time until a model is ready anywhere, from what is loaded or loading.
    fn ready_in_ms(&self, model: &ModelName) -> Option<u64> {
        if self.elsewhere.contains(model) {
            return Some(0);
        }
        let ready = self.engines.values().filter_map(|state| match state.change {
            Some(change) if change.evicted.contains(model) => None,
            Some(change) if change.model == *model && change.adapter.is_none() => {
                Some(change.remaining_ms(self.now_ms))
            }
            _ => state.held.contains_key(model).then_some(0),
        });
        let planned = self.plan.changes.iter().filter(|change| change.model == *model);
        let planned = planned.map(|change| change.remaining_ms(self.now_ms));
        ready.chain(planned).min()
    }

    /// Returns the cheapest way to load a model that evicts less value than `gain_ms`.
    ///
    /// The weight store is considered only if no engine with a local copy can load the model:
    /// considering every engine for every demand took two thirds of the time of a plan.
    fn best_option(
        &mut self,
        model: &ModelName,
        gain_ms: f64,
        source: Source,
    ) -> Option<LoadOption> {
        let spec = self.spec.models.get(model)?;
        let candidates = self.candidates.take().unwrap_or_else(|| self.candidates());
        let local_copies = self.local_copies.get(model).into_iter().flatten().copied();
        let mut option = self.best_option_among(model, spec, local_copies, &candidates, gain_ms);
        if option.is_none() && source == Source::Remote {
            let all = self.engines.keys().copied();
            option = self.best_option_among(model, spec, all, &candidates, gain_ms);
        }
        self.candidates = Some(candidates);
        option
    }

    fn best_option_among(
        &self,
        model: &ModelName,
        spec: &ModelSpec,
        engines: impl Iterator<Item = &'a EndpointName>,
        candidates: &BTreeMap<&'a EndpointName, EvictionCandidates>,
        gain_ms: f64,
    ) -> Option<LoadOption> {
        let engines = engines.filter_map(|name| self.engines.get(name).zip(candidates.get(name)));
        let options = engines
            .filter_map(|(state, candidates)| self.option(model, spec, state, candidates, gain_ms));
        let is_guarded = self.policy.has(Mechanism::GuardedEviction);
        let options = options.filter(|option| !is_guarded || option.lost_ms <= gain_ms);
        options.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
    }

    /// Returns the cost and the outcome of loading a model at one engine; `None` if that is not
    /// possible.
    fn option(
        &self,
        model: &ModelName,
        spec: &ModelSpec,
        state: &EngineState<'_>,
        candidates: &EvictionCandidates,
        gain_ms: f64,
    ) -> Option<LoadOption> {
        let endpoint = state.endpoint;
        if state.held.contains_key(model) || !state.may_change {
            return None;
        }
        let in_progress = state.change.or_else(|| self.planned_at(&endpoint.name));
        let busy_ms = in_progress.map_or(0, |change| change.remaining_ms(self.now_ms));
        let (load_ms, is_remote) = spec.load_ms(endpoint, model);
        if is_remote && self.remote_loads >= self.max_remote_loads() {
            return None;
        }
        let eviction = candidates.make_room(spec.weights_mb)?;
        let unload_ms = if eviction.models.is_empty() { 0 } else { UNLOAD_MS };
        let ready_in_ms = busy_ms + unload_ms + eviction.run_wait_ms as u64 + load_ms;
        let fill = self.fill_of(&endpoint.name);
        let late_ms = gain_ms * value::late_share(fill);
        let cost_ms = ready_in_ms as f64 + eviction.lost_ms + fill * FULL_ENGINE_MS + late_ms;
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
        let change = in_progress.is_none().then_some(change);
        Some(LoadOption { change, ready_in_ms, cost_ms, lost_ms: eviction.lost_ms })
    }

    /// Returns the change that this plan begins at an engine.
    fn planned_at(&self, endpoint: &EndpointName) -> Option<&Change> {
        self.plan.changes.iter().find(|change| change.endpoint == *endpoint)
    }

    /// Returns the number of engines that hold a model and are not about to evict it, or are
    /// loading it.
    fn replicas(&self, model: &ModelName) -> u32 {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of engines that hold a model now and are not about to evict it.
    fn present(&self, model: &ModelName) -> u32 {
        self.present.get(model).copied().unwrap_or_default()
    }

    /// Loads a further replica of the model that gains most by it, if that evicts less value.
    fn plan_further_replica(&mut self) {
        if !self.policy.has(Mechanism::FurtherReplicas) || !self.plans_further {
            return;
        }
        let loaded = self.replicas.iter().filter(|(_, count)| **count > 0);
        let loaded = loaded.filter(|(model, _)| self.may_gain(model));
        let gains = loaded.map(|(model, _)| {
            let gain_ms = self.gain_of_further_ms(model) - value::SWAP_MS;
            (gain_ms, model)
        });
        let mut gains: Vec<_> = gains.filter(|(gain_ms, _)| *gain_ms > 0.0).collect();
        gains.sort_by(|one, other| other.0.total_cmp(&one.0));
        let is_by_work = !self.work.is_empty() && self.policy.has(Mechanism::ReplicasByWork);
        let limit = match self.sharing.is_alone() && !is_by_work {
            true => 1,
            false => MAX_FURTHER_CONSIDERED,
        };
        let considered = gains.into_iter().take(limit);
        let mut considered: Vec<(f64, ModelName)> = considered
            .filter(|(_, model)| self.is_next_replica_here(model))
            .map(|(gain_ms, model)| (gain_ms, model.clone()))
            .collect();
        if !is_by_work {
            considered.truncate(1);
        }
        // Several models read all the time; that one of them finds no room keeps none of the others
        // from a replica.
        let has_begun = considered.iter().any(|(gain_ms, model)| self.add_replica(model, *gain_ms));
        self.plan.lacks_room = is_by_work && !has_begun && !considered.is_empty();
    }

    /// Loads a further replica of a model if that evicts less value than `gain_ms`. Returns whether a
    /// change begins.
    fn add_replica(&mut self, model: &ModelName, gain_ms: f64) -> bool {
        let source = if self.is_worth_remote_load(model) { Source::Remote } else { Source::Local };
        let option = self.best_option(model, gain_ms, source);
        let change = option.and_then(|option| option.change);
        let has_change = change.is_some();
        if let Some(change) = change {
            self.begin(change);
        }
        has_change
    }
}

impl Planner<'_> {
    /// Returns whether the next replica of a model belongs at this leader's engines.
    fn is_next_replica_here(&self, model: &ModelName) -> bool {
        if self.sharing.is_alone() {
            return true;
        }
        let Some(spec) = self.spec.models.get(model) else { return false };
        let own = self.engines.values().map(|state| EngineView {
            endpoint: state.endpoint,
            holds: state.held,
            running: self.usage.at(&state.endpoint.name),
        });
        let own: Vec<EngineView<'_>> = own.collect();
        self.sharing.is_next_replica_here(model, spec, &own)
    }
}

/// Returns the engines with a local copy of each model's weights.
fn local_copies<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
) -> BTreeMap<&'a ModelName, Vec<&'a EndpointName>> {
    let mut local_copies: BTreeMap<&ModelName, Vec<&EndpointName>> = BTreeMap::new();
    for endpoint in endpoints {
        for model in endpoint.on_disk.union(&endpoint.in_memory) {
            local_copies.entry(model).or_default().push(&endpoint.name);
        }
    }
    local_copies
}

/// Where weights may be loaded from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From a copy in the engine's memory or on its disk.
    Local,
    /// Also from the weight store.
    Remote,
}

/// One way to load a model, at one engine.
struct LoadOption {
    /// The change; `None` while another one is in progress there.
    change: Option<Change>,
    ready_in_ms: u64,
    cost_ms: f64,
    lost_ms: f64,
}

/// Counts the occurrences of each model.
fn count<'a>(models: impl Iterator<Item = &'a ModelName>) -> BTreeMap<ModelName, u32> {
    let mut counts = BTreeMap::new();
    for model in models {
        *counts.entry(model.clone()).or_default() += 1;
    }
    counts
}
