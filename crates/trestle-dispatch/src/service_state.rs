//! The leader's view of one service's engines.

use crate::{
    catalog::EngineSpec,
    change::Change,
    demand::Demand,
    directory::Directory,
    endpoint::{Endpoint, Held, Incarnation},
    load::model_work::ModelWork,
    loadable::{self, Loadable},
    observed_times::ObservedTimes,
    orders::OrderChain,
    placing::{EngineState, PlanInputs, Planner},
    policy::Policy,
    replicas::{EngineSummary, ReplicaView},
    sharing::{EngineView, Sharing},
    usage::Usage,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ModelName, ServiceName};

/// Time for which an engine gets no orders after a change there failed.
const FAILED_PAUSE_MS: u64 = 1_000;

/// Time for which an engine that does not answer orders counts as gone; the entry of a crashed one
/// is removed by then.
const SILENT_MS: u64 = 4_000;
/// Time for which no further replicas are planned after none found room. To look for room at each plan
/// took a fifth of a leader's time.
const LACKS_ROOM_MS: u64 = 300;
/// Time after a change within which an engine's entry may still show the state before it.
const ENTRY_AGE_MS: u64 = 3_000;

/// The leader's view of one service's engines.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// The demand of the callers of all daemons.
    pub demand: Demand,
    /// What other leaders are responsible for.
    pub sharing: Sharing,
    engines: BTreeMap<EndpointName, EngineRecord>,
    /// The reading that requests cause, as far as this leader schedules prompts.
    work: ModelWork,
    /// Engines that have reported a limit. What they hold counts as absent, since they reject
    /// callers.
    limited: BTreeSet<EndpointName>,
    ready_in_ms: BTreeMap<Loadable, u64>,
    /// Until when no further replicas are planned, since none found room.
    lacks_room_until_ms: u64,
    planned_ms: u64,
    observed_times: ObservedTimes,
    /// Number of changes so far of which daemons should learn at once.
    revision: u64,
}

/// A change that begins, with its engine and its orders.
pub type StartedChange = (Arc<Endpoint>, Change, OrderChain);

/// One incarnation of an engine.
#[derive(Debug, Default)]
struct EngineRecord {
    started_unix_ms: u64,
    held: Held,
    /// Number of orders that the engine has accepted; `None` if that is not certain.
    order_count: Option<u64>,
    /// Number of the last entry seen.
    entry_number: u64,
    /// When the last change of the engine ended.
    changed_ms: Option<u64>,
    loaded_at_ms: BTreeMap<ModelName, u64>,
    change: Option<Change>,
    paused_until_ms: u64,
    /// Until when the engine counts as gone because it did not answer; a new entry ends this
    /// sooner.
    silent_until_ms: u64,
}

impl ServiceState {
    /// Sets the engines that have reported a limit.
    pub fn set_limited(&mut self, limited: BTreeSet<EndpointName>) {
        self.limited = limited;
    }

    /// Sets the reading that requests cause.
    pub fn set_work(&mut self, work: ModelWork) {
        self.work = work;
    }

    /// Plans, and returns the changes that begin now.
    ///
    /// Orders may be given from `orders_in_ms` on. Until then no change begins, and the expected
    /// ready times are later by this much.
    pub fn plan(
        &mut self,
        spec: &Arc<EngineSpec>,
        policy: &Policy,
        directory: &BTreeMap<EndpointName, Arc<Endpoint>>,
        orders_in_ms: u64,
        may_order_at: impl Fn(&EndpointName) -> bool,
        now_ms: u64,
    ) -> Vec<StartedChange> {
        self.demand.drop_lapsed(now_ms);
        self.apply_entries(directory, now_ms);
        self.assign_groups(spec, directory, now_ms);
        let unlimited = self.engines.iter().filter(|(name, _)| !self.limited.contains(*name));
        let own = unlimited.flat_map(|(_, record)| record.held.keys());
        let elsewhere = self.sharing.engines().flat_map(|foreign| foreign.holds.keys());
        let held = own.chain(elsewhere).cloned().collect();
        let is_planned = |loadable: &Loadable| self.sharing.is_planned(loadable, now_ms);
        self.demand.record_plan(&held, is_planned, now_ms);
        let engines = &self.engines;
        let states = directory.values().filter_map(|endpoint| {
            let record = engines.get(&endpoint.name)?;
            let can_change = now_ms >= record.paused_until_ms
                && now_ms >= record.silent_until_ms
                && !self.limited.contains(&endpoint.name);
            can_change.then_some(EngineState {
                endpoint,
                held: &record.held,
                loaded_at_ms: &record.loaded_at_ms,
                change: record.change.as_ref(),
                may_change: may_order_at(&endpoint.name),
            })
        });
        let inputs = PlanInputs {
            spec,
            demand: &self.demand,
            work: &self.work,
            observed_times: &self.observed_times,
            policy,
            sharing: &self.sharing,
            plans_further: now_ms >= self.lacks_room_until_ms,
            now_ms,
        };
        let plan = Planner::new(inputs, states).plan();
        if plan.lacks_room {
            self.lacks_room_until_ms = now_ms + LACKS_ROOM_MS;
        }
        self.ready_in_ms = plan.ready_in_ms;
        self.planned_ms = now_ms;
        if orders_in_ms > 0 {
            let delayed = self.ready_in_ms.values_mut().filter(|ready_in_ms| **ready_in_ms > 0);
            delayed.for_each(|ready_in_ms| *ready_in_ms += orders_in_ms);
            return Vec::new();
        }
        if !plan.changes.is_empty() {
            self.revision += 1;
        }
        let changes = plan.changes.into_iter();
        changes.filter_map(|change| self.start_change(spec, change, directory)).collect()
    }

    /// Assigns pending demand of the daemons that has no current assignment to a group of engines.
    pub fn assign_groups(
        &mut self,
        spec: &EngineSpec,
        directory: &BTreeMap<EndpointName, Arc<Endpoint>>,
        now_ms: u64,
    ) {
        self.sharing.drop_lapsed(now_ms);
        if self.sharing.is_alone() {
            return;
        }
        let pending = self.demand.pending_loadables(now_ms);
        let (settled, unsettled): (Vec<Loadable>, Vec<Loadable>) =
            pending.into_iter().partition(|loadable| self.sharing.is_settled(loadable, now_ms));
        self.sharing.renew(&settled, now_ms);
        if unsettled.is_empty() {
            return;
        }
        let usage = self.demand.usage(now_ms);
        let engines = &self.engines;
        let own = directory.values().filter_map(|endpoint| {
            let record = engines.get(&endpoint.name)?;
            Some(EngineView { endpoint, holds: &record.held, running: usage.at(&endpoint.name) })
        });
        let own: Vec<EngineView<'_>> = own.collect();
        self.sharing.assign(unsettled.into_iter(), spec, &own, now_ms);
    }

    /// Returns the groups of other leaders that are responsible for pending demand and have not yet
    /// planned with it.
    pub fn groups_to_plan(&self, now_ms: u64) -> BTreeSet<DomainName> {
        if self.sharing.is_alone() {
            return BTreeSet::new();
        }
        let pending = self.demand.pending_loadables(now_ms);
        let unplanned =
            pending.iter().filter(|loadable| !self.sharing.is_planned(loadable, now_ms));
        unplanned.filter_map(|loadable| self.sharing.assigned_group(loadable).cloned()).collect()
    }

    /// Records the end of a change; does nothing if the engine has restarted meanwhile.
    pub fn finish_change(&mut self, engine: &Incarnation, chain: &OrderChain, now_ms: u64) {
        let record = self.engines.get_mut(&engine.name);
        let Some(record) = record.filter(|record| record.started_unix_ms == engine.started_unix_ms)
        else {
            return;
        };
        let Some(change) = record.change.take() else { return };
        self.revision += 1;
        if let Some(waited_ms) = chain.run_wait_ms() {
            self.observed_times.record_run_wait(waited_ms);
        }
        if chain.is_silent() {
            record.silent_until_ms = now_ms + SILENT_MS;
        }
        record.held.clone_from(chain.held());
        record.order_count = chain.order_count();
        record.changed_ms = Some(now_ms);
        record.loaded_at_ms.retain(|model, _| chain.held().contains_key(model));
        if chain.is_done() {
            record.loaded_at_ms.insert(change.model, now_ms);
        } else if record.order_count.is_none() {
            record.paused_until_ms = now_ms + FAILED_PAUSE_MS;
        }
    }

    /// Returns the number of changes so far of which daemons should learn at once.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the report on the service for daemons.
    pub fn view(&self, service: &ServiceName, directory: &Directory, now_ms: u64) -> ReplicaView {
        let usage = self.demand.usage(now_ms);
        let engines = directory.usable(service).filter_map(|endpoint| {
            let record = self.engines.get(&endpoint.name)?;
            let summary = summarize(endpoint, record, &usage, now_ms);
            Some((endpoint.name.clone(), summary))
        });
        ReplicaView {
            engines: engines.collect(),
            ready_in_ms: self.ready_in_ms(now_ms),
            daemons: self.demand.daemons(),
            leader_clients: self.demand.daemons(),
        }
    }

    /// Returns the models that engines are loading.
    pub fn loading_models(&self) -> impl Iterator<Item = &ModelName> {
        let changes = self.engines.values().filter_map(|record| record.change.as_ref());
        changes.filter(|change| change.adapter.is_none()).map(|change| &change.model)
    }

    /// Returns the ready times of pending demand by the last plan, and the age of that plan in ms.
    pub fn last_plan(&self, now_ms: u64) -> (&BTreeMap<Loadable, u64>, u64) {
        (&self.ready_in_ms, now_ms.saturating_sub(self.planned_ms))
    }

    /// Returns the ready times of pending demand by the last plan, as of now.
    fn ready_in_ms(&self, now_ms: u64) -> BTreeMap<Loadable, u64> {
        let age_ms = now_ms.saturating_sub(self.planned_ms);
        let ready = self.ready_in_ms.iter();
        ready
            .map(|(loadable, ms)| (loadable.clone(), loadable::remaining_ms(*ms, age_ms)))
            .collect()
    }

    /// Applies the engines' own entries unless something newer is known.
    fn apply_entries(&mut self, directory: &BTreeMap<EndpointName, Arc<Endpoint>>, now_ms: u64) {
        self.engines.retain(|name, _| directory.contains_key(name));
        for endpoint in directory.values() {
            let record = self.engines.entry(endpoint.name.clone()).or_default();
            if record.started_unix_ms != endpoint.started_unix_ms {
                // A new incarnation holds nothing, has no order in flight and counts its orders
                // from the start.
                *record = EngineRecord {
                    started_unix_ms: endpoint.started_unix_ms,
                    ..EngineRecord::default()
                };
            }
            if endpoint.entry_number > record.entry_number {
                record.entry_number = endpoint.entry_number;
                record.silent_until_ms = 0;
            }
            if record.change.is_none() && record.should_apply(endpoint, now_ms) {
                record.held.clone_from(&endpoint.held);
                record.order_count = None;
            }
        }
    }

    fn start_change(
        &mut self,
        spec: &Arc<EngineSpec>,
        change: Change,
        directory: &BTreeMap<EndpointName, Arc<Endpoint>>,
    ) -> Option<StartedChange> {
        let endpoint = directory.get(&change.endpoint)?.clone();
        let record = self.engines.get_mut(&change.endpoint)?;
        let chain = OrderChain::new(
            Arc::clone(spec),
            change.orders(),
            record.held.clone(),
            record.order_count,
            change.load_ms,
        );
        record.change = Some(change.clone());
        Some((endpoint, change, chain))
    }
}

impl EngineRecord {
    /// Returns whether the engine's entry is newer than this record.
    fn should_apply(&self, endpoint: &Endpoint, now_ms: u64) -> bool {
        match self.changed_ms {
            None => endpoint.held != self.held,
            Some(changed_ms) => now_ms > changed_ms + ENTRY_AGE_MS && endpoint.held != self.held,
        }
    }
}

/// Returns what an engine can run, by the leader's knowledge, and how many requests run there.
fn summarize(
    endpoint: &Endpoint,
    record: &EngineRecord,
    usage: &Usage<'_>,
    now_ms: u64,
) -> EngineSummary {
    let running = usage.at(&endpoint.name);
    if now_ms < record.silent_until_ms {
        return EngineSummary { holds: Held::new(), running };
    }
    let mut holds = record.held.clone();
    if let Some(change) = &record.change {
        for evicted in &change.evicted {
            holds.remove(evicted);
        }
        match &change.adapter {
            None => _ = holds.remove(&change.model),
            Some(adapter) => {
                if let Some(adapters) = holds.get_mut(&change.model) {
                    adapters.remove(adapter);
                }
            }
        }
        if let Some((model, adapter)) = &change.evicted_adapter
            && let Some(adapters) = holds.get_mut(model)
        {
            adapters.remove(adapter);
        }
    }
    EngineSummary { holds, running }
}
