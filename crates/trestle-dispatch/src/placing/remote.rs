//! Plans loads from the weight store.
//!
//! The load that this answers: many models without a local copy at any engine, for example after
//! engines were replaced by empty ones. The store serves few loads at once at full speed, and more
//! only slow each other down. So loads go to the models with the largest demand, weighted by
//! priority and by the time for which the model has been missing, or rarely requested models would
//! never be loaded. Requests whose model must wait for its turn get the time until then.

use super::{Planner, Source, UNLOAD_MS};
use crate::{demand::AggregateDemand, policy::Mechanism};
use std::{cmp::Reverse, collections::BinaryHeap};
use trestle_core::names::ModelName;

/// Number of simultaneous loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: usize = 4;
/// Time without a replica after which the demand for a model counts twice: about the duration of
/// one load.
const MISSING_DOUBLES_MS: f64 = 6_000.0;
/// Time after which room can be made where there is none now: about as long as a loaded model is
/// kept.
const MAKE_ROOM_MS: u64 = 1_000;
/// Time without a replica for which a model with a local copy is not loaded from the weight store.
const LOCAL_COPY_WAIT_MS: u64 = 4_000;
/// A model is worth a further replica from the weight store if its requests take more than the slots or
/// the time of its replicas divided by this. Such a load takes 6 s, while demand shifts in some 10 s.
const REMOTE_REPLICA_FILL_PART: f64 = 4.0;
/// Largest number of simultaneous loads from the weight store for further replicas. These gain more
/// than loads of rare models, which would otherwise never be loaded.
const MAX_FURTHER_LOADS: usize = 3;

impl<'a> Planner<'a> {
    /// Returns the number of simultaneous loads from the weight store that this leader may start;
    /// the leaders share what the store serves at full speed.
    pub(super) fn max_remote_loads(&self) -> usize {
        (FULL_SPEED_LOADS / self.sharing.leader_count()).max(1)
    }

    /// Plans for models that no engine can load from a local copy.
    pub(super) fn plan_remote(&mut self, mut remote_only: Vec<&AggregateDemand<'a>>) {
        if self.policy.has(Mechanism::FarLoadsByValue) {
            remote_only
                .sort_by(|one, other| self.remote_value(other).total_cmp(&self.remote_value(one)));
        }
        let (blocked, mut remote_only): (Vec<&AggregateDemand<'a>>, Vec<&AggregateDemand<'a>>) =
            remote_only.into_iter().partition(|demand| self.is_briefly_blocked(demand));
        remote_only.retain(|demand| !self.plan_model(demand, Source::Remote));
        self.record_turns(&remote_only);
        for demand in blocked {
            let disk_load_ms =
                self.spec.models.get(demand.model).map_or(0, |spec| spec.disk_load_ms);
            self.record_ready(demand, MAKE_ROOM_MS + disk_load_ms);
        }
    }

    /// Returns whether a model has a local copy at an engine that cannot make room at the moment,
    /// because what it holds was loaded just now or is itself in demand. That passes soon, while
    /// the weight store takes several times as long and is needed for other models.
    fn is_briefly_blocked(&self, demand: &AggregateDemand<'_>) -> bool {
        self.policy.has(Mechanism::WaitForNearCopies)
            && self.demand.missing_ms(demand.model, self.now_ms) < LOCAL_COPY_WAIT_MS
            && self.local_copies.contains_key(demand.model)
    }

    /// Returns whether a model is so busy that a further replica may be loaded from the weight
    /// store.
    pub(super) fn is_worth_remote_load(&self, model: &ModelName) -> bool {
        let replicas = f64::from(self.replicas(model));
        let by_slots = self.running(model) / f64::from(self.spec.slots.max(1));
        let filled = by_slots.max(self.reading_engines(model)) * REMOTE_REPLICA_FILL_PART;
        let in_progress = self.engines.values().filter_map(|state| state.change);
        let further =
            in_progress.filter(|change| change.is_remote && self.present(&change.model) > 0);
        filled > replicas && further.count() < MAX_FURTHER_LOADS
    }

    fn remote_value(&self, demand: &AggregateDemand<'_>) -> f64 {
        let missing_ms = self.demand.missing_ms(demand.model, self.now_ms) as f64;
        demand.value * (1.0 + missing_ms / MISSING_DOUBLES_MS)
    }

    /// Records when models whose turn has not come will be ready.
    fn record_turns(&mut self, waiting: &[&AggregateDemand<'a>]) {
        let mut ends: BinaryHeap<Reverse<u64>> = self.remote_ends_ms().map(Reverse).collect();
        // If fewer loads are in progress than this leader may start, no engine has room for a
        // further one now.
        while ends.len() < self.max_remote_loads() {
            ends.push(Reverse(MAKE_ROOM_MS));
        }
        for demand in waiting {
            let Some(spec) = self.spec.models.get(demand.model) else { continue };
            let Some(Reverse(begin_ms)) = ends.pop() else { return };
            let end_ms = begin_ms + UNLOAD_MS + spec.remote_load_ms;
            ends.push(Reverse(end_ms));
            self.record_ready(demand, end_ms);
        }
    }

    /// Returns the times until the loads from the weight store in progress end.
    fn remote_ends_ms(&self) -> impl Iterator<Item = u64> {
        let in_progress = self.engines.values().filter_map(|state| state.change);
        let remote = in_progress.chain(&self.plan.changes).filter(|change| change.is_remote);
        remote.map(|change| change.remaining_ms(self.now_ms))
    }
}
