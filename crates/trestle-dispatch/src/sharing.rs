//! Which of several leaders is responsible for pending demand.
//!
//! The load that this answers: engines of several failure domains, each with its own leader, and
//! models of which three copies are local to engines anywhere. A caller's daemon syncs with the
//! leader of its own domain, so two leaders may receive demand for the same model. If each loaded
//! it, the second replica would take the room of a model that then no engine holds. So all leaders
//! compute, by the same rule over nearly the same knowledge, one group of engines whose leader
//! loads the model, and report the demand to that leader. If two disagree for a moment, the model
//! gets one replica too many, and a later plan evicts it.
//!
//! Any leader may evict a model at its own engines. It counts the replicas at other leaders'
//! engines, so what it takes for the last replica is the last one of all.

use crate::{
    catalog::{EngineSpec, ModelSpec},
    endpoint::{Endpoint, Held},
    loadable::Loadable,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ModelName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which pending demand stays assigned to a group: a load from disk takes about a third of
/// it, and a second group would begin a load of its own.
const ASSIGNED_MS: u64 = 2_000;
/// The same time if the model was loaded or loading there, since it may be evicted meanwhile.
const PRESENT_ASSIGNED_MS: u64 = 200;
/// Time after which a leader that has not planned with assigned demand no longer keeps its callers
/// waiting for an answer.
const MAX_PLAN_DELAY_MS: u64 = 400;
/// Time without demand for a model after which the next demand counts as new, so that the leader
/// responsible for it has yet to learn of it; plans follow each other within 100 ms.
const DEMAND_GAP_MS: u64 = 300;
/// Time without demand after which its assignment is dropped.
const RETENTION_MS: u64 = 5_000;
/// Cost, as load time, of each quarter of an engine's slots in use. Two leaders count different
/// loads of an engine by the requests in flight between them; the steps hide that.
const FILL_STEP_MS: u64 = 200;
/// Number of steps from an idle engine to a full one.
const FILL_STEPS: u64 = 4;

/// One engine, as a leader sees it.
#[derive(Debug, Clone, Copy)]
pub struct EngineView<'a> {
    /// The engine's entry.
    pub endpoint: &'a Endpoint,
    /// What the engine can run.
    pub holds: &'a Held,
    /// Number of requests that run there.
    pub running: u32,
}

/// An engine that another leader orders.
#[derive(Debug, Clone)]
pub struct ForeignEngine {
    /// The engine's entry.
    pub endpoint: Arc<Endpoint>,
    /// What the engine can run.
    pub holds: Held,
    /// Number of requests that run there.
    pub running: u32,
}

/// What a leader knows of the engines of other leaders.
#[derive(Debug, Default)]
pub struct Sharing {
    own_groups: BTreeSet<DomainName>,
    /// Groups with a leader that responds, including this one's.
    live_groups: BTreeSet<DomainName>,
    other_leader_count: usize,
    engines: BTreeMap<EndpointName, ForeignEngine>,
    /// Models that another leader is loading, with its group.
    loading: BTreeMap<ModelName, DomainName>,
    /// Pending demand of this leader's daemons with which other leaders have planned.
    planned: BTreeSet<Loadable>,
    assignments: BTreeMap<Loadable, Assignment>,
}

#[derive(Debug, Clone)]
struct Assignment {
    group: DomainName,
    /// Since when there has been demand.
    since_ms: u64,
    /// When there was demand last.
    last_demand_ms: u64,
    /// Until when the assignment is not computed again.
    until_ms: u64,
}

/// What a leader has received from the other leaders.
#[derive(Debug, Default)]
pub struct OtherLeaders {
    /// Groups that this leader orders.
    pub own_groups: BTreeSet<DomainName>,
    /// Groups of other leaders that respond.
    pub live_groups: BTreeSet<DomainName>,
    /// Number of other leaders.
    pub other_leader_count: usize,
    /// Engines of all other groups.
    pub engines: BTreeMap<EndpointName, ForeignEngine>,
    /// Models that other leaders are loading, with their groups.
    pub loading: BTreeMap<ModelName, DomainName>,
    /// Pending demand of this leader's daemons with which other leaders have planned.
    pub planned: BTreeSet<Loadable>,
}

impl Sharing {
    /// Replaces what is known of the other leaders.
    pub fn update(&mut self, other_leaders: OtherLeaders) {
        let OtherLeaders {
            own_groups,
            mut live_groups,
            other_leader_count,
            engines,
            loading,
            planned,
        } = other_leaders;
        live_groups.extend(own_groups.iter().cloned());
        self.own_groups = own_groups;
        self.live_groups = live_groups;
        self.other_leader_count = other_leader_count;
        self.engines = engines;
        self.loading = loading;
        self.planned = planned;
    }

    /// Returns whether no other leader orders engines.
    pub fn is_alone(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the number of leaders that share the weight store, including this one.
    pub fn leader_count(&self) -> usize {
        self.other_leader_count + 1
    }

    /// Returns the engines that other leaders order.
    pub fn engines(&self) -> impl Iterator<Item = &ForeignEngine> {
        self.engines.values()
    }

    /// Returns whether this leader is responsible for a demand of its own daemons. It is if no
    /// group is assigned.
    pub fn is_assigned_here(&self, demand: &Loadable) -> bool {
        self.assigned_group(demand).is_none_or(|group| self.own_groups.contains(group))
    }

    /// Returns the group whose leader is responsible for a demand; `None` if none is assigned.
    pub fn assigned_group(&self, demand: &Loadable) -> Option<&DomainName> {
        self.assignments.get(demand).map(|assignment| &assignment.group)
    }

    /// Returns whether the leader responsible for a demand has planned with it or had the time to.
    /// Demand without an assigned group counts as planned.
    pub fn is_planned(&self, demand: &Loadable, now_ms: u64) -> bool {
        let Some(assignment) = self.assignments.get(demand) else { return true };
        self.own_groups.contains(&assignment.group)
            || self.planned.contains(demand)
            || now_ms >= assignment.since_ms + MAX_PLAN_DELAY_MS
    }

    /// Assigns each pending demand of this leader's daemons to a group. `own` are the engines that
    /// this leader orders.
    pub fn assign(
        &mut self,
        demands: impl Iterator<Item = Loadable>,
        spec: &EngineSpec,
        own: &[EngineView<'_>],
        now_ms: u64,
    ) {
        let index = EngineIndex::new(self.live_engines(own));
        let assigned: Vec<(Loadable, Assignment)> =
            demands.filter_map(|demand| self.assignment(demand, spec, &index, now_ms)).collect();
        self.assignments.extend(assigned);
    }

    /// Returns whether the assignment of a demand is current and its group has a leader.
    pub fn is_settled(&self, demand: &Loadable, now_ms: u64) -> bool {
        let assignment = self.assignments.get(demand);
        assignment.is_some_and(|assignment| {
            now_ms < assignment.until_ms && self.live_groups.contains(&assignment.group)
        })
    }

    /// Records that there is still demand for each of `demands`.
    pub fn renew(&mut self, demands: &[Loadable], now_ms: u64) {
        for demand in demands {
            if let Some(assignment) = self.assignments.get_mut(demand) {
                if now_ms >= assignment.last_demand_ms + DEMAND_GAP_MS {
                    assignment.since_ms = now_ms;
                }
                assignment.last_demand_ms = now_ms;
            }
        }
    }

    fn assignment(
        &self,
        demand: Loadable,
        spec: &EngineSpec,
        index: &EngineIndex<'_>,
        now_ms: u64,
    ) -> Option<(Loadable, Assignment)> {
        let before = self.assignments.get(&demand);
        let recent = before.filter(|assignment| now_ms < assignment.last_demand_ms + DEMAND_GAP_MS);
        let since_ms = recent.map_or(now_ms, |assignment| assignment.since_ms);
        let (group, until_ms) = self.compute_group(&demand, spec, index, now_ms)?;
        Some((demand, Assignment { group, since_ms, last_demand_ms: now_ms, until_ms }))
    }

    /// Computes the group responsible for a demand, and until when it stays responsible.
    ///
    /// An adapter is loaded at one replica of its model, whoever needs it: replicas hold few
    /// adapters, and 254 adapters of one model would otherwise each take room in every domain.
    fn compute_group(
        &self,
        demand: &Loadable,
        spec: &EngineSpec,
        index: &EngineIndex<'_>,
        now_ms: u64,
    ) -> Option<(DomainName, u64)> {
        let model = &demand.model;
        let holders = index.holders.get(model).into_iter().flatten();
        if let Some(holder) = holders.min_by_key(|engine| rank(demand, engine.endpoint)) {
            return Some((holder.endpoint.domain.clone(), now_ms + PRESENT_ASSIGNED_MS));
        }
        if let Some(group) =
            self.loading.get(model).filter(|group| self.live_groups.contains(*group))
        {
            return Some((group.clone(), now_ms + PRESENT_ASSIGNED_MS));
        }
        let spec = spec.models.get(model)?;
        let group = fastest_group(model, spec, index.all.iter().copied())?;
        Some((group.clone(), now_ms + ASSIGNED_MS))
    }

    /// Returns whether the next replica of a model should be loaded at this leader's engines.
    pub fn is_next_replica_here(
        &self,
        model: &ModelName,
        spec: &ModelSpec,
        own: &[EngineView<'_>],
    ) -> bool {
        let is_loading_elsewhere = self.loading.contains_key(model);
        let engines = self.live_engines(own).into_iter();
        let group =
            fastest_group(model, spec, engines.filter(|engine| !engine.holds.contains_key(model)));
        !is_loading_elsewhere && group.is_some_and(|group| self.own_groups.contains(group))
    }

    /// Drops assignments for which there has been no demand for some time.
    pub fn drop_lapsed(&mut self, now_ms: u64) {
        self.assignments.retain(|_, assignment| now_ms < assignment.last_demand_ms + RETENTION_MS);
    }

    /// Returns all engines of groups with a leader that responds.
    fn live_engines<'a>(&'a self, own: &[EngineView<'a>]) -> Vec<EngineView<'a>> {
        let foreign = self.engines.values().map(|foreign| EngineView {
            endpoint: &foreign.endpoint,
            holds: &foreign.holds,
            running: foreign.running,
        });
        let engines = own.iter().copied().chain(foreign);
        engines.filter(|engine| self.live_groups.contains(&engine.endpoint.domain)).collect()
    }
}

/// Engines, also indexed by the models that they hold; built once per plan.
struct EngineIndex<'a> {
    all: Vec<EngineView<'a>>,
    holders: BTreeMap<&'a ModelName, Vec<EngineView<'a>>>,
}

impl<'a> EngineIndex<'a> {
    fn new(all: Vec<EngineView<'a>>) -> Self {
        let mut holders: BTreeMap<&ModelName, Vec<EngineView<'_>>> = BTreeMap::new();
        for engine in &all {
            for model in engine.holds.keys() {
                holders.entry(model).or_default().push(*engine);
            }
        }
        Self { all, holders }
    }
}

/// Returns the group of the engine that can load a model soonest.
fn fastest_group<'a>(
    model: &ModelName,
    spec: &ModelSpec,
    engines: impl Iterator<Item = EngineView<'a>>,
) -> Option<&'a DomainName> {
    let ranked = engines.map(|engine| {
        let endpoint = engine.endpoint;
        let slots = u64::from(endpoint.slots.max(1));
        let steps = (u64::from(engine.running) * FILL_STEPS / slots).min(FILL_STEPS);
        let cost_ms = spec.load_ms(endpoint, model).0 + steps * FILL_STEP_MS;
        (cost_ms, rank(&Loadable::model(model), endpoint), &endpoint.domain)
    });
    ranked.min().map(|(.., group)| group)
}

/// Breaks ties between engines; all leaders compute the same rank.
fn rank(demand: &Loadable, endpoint: &Endpoint) -> u64 {
    let seed = xxh3_64_with_seed(demand.model.as_str().as_bytes(), 0);
    let adapter = demand.adapter.as_ref().map_or("", AsRef::as_ref);
    let seed = xxh3_64_with_seed(adapter.as_bytes(), seed);
    xxh3_64_with_seed(endpoint.name.as_str().as_bytes(), seed)
}
