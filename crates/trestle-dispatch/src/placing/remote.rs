//! Plans loads from the weight store.
//!
//! The load that this answers: many models without a local copy at any engine, for example after
//! engines were replaced by empty ones. The store serves few loads at once at full speed, and more
//! only slow each other down. So loads go to the models with the largest demand, weighted by
//! priority and by the time for which the model has been missing, or rarely requested models would
//! never be loaded. Requests whose model must wait for its turn get the time until then.

use super::{Planner, Reach, UNLOAD_MS};
use crate::{demand::AggregateDemand, policy::Mechanism};
use std::{cmp::Reverse, collections::BinaryHeap};
use trestle_core::names::ModelName;

/// Number of simultaneous loads that the weight store serves at full speed.
const REMOTE_LOADS_AT_ONCE: usize = 4;
/// Time without a replica after which the demand for a model counts twice: about one load.
const PATIENCE_MS: f64 = 6_000.0;
/// Time after which room can be made where there is none now: about as long as a loaded model is
/// kept.
const BLOCKED_MS: u64 = 1_000;
/// Time without a replica for which a model with a local copy is not loaded from the weight store.
const BLOCKED_FOR_MS: u64 = 4_000;
/// A model is worth a further replica from the weight store if its requests fill more than the
/// slots of its replicas divided by this. Such a load takes 6 s, while demand shifts in some 10 s.
const FAR_REPLICA_FILL_PART: f64 = 4.0;
/// Largest number of simultaneous loads from the weight store for further replicas. These gain more
/// than loads of rare models, which would otherwise never be loaded.
const FURTHER_LOADS: usize = 3;

impl<'a> Planner<'a> {
    /// Returns the number of simultaneous loads from the weight store that this leader may start;
    /// the leaders share what the store serves at full speed.
    pub(super) fn most_remote_loads(&self) -> usize {
        (REMOTE_LOADS_AT_ONCE / self.sharing.leader_count()).max(1)
    }

    /// Plans for models that no engine can load from a local copy.
    pub(super) fn want_far(&mut self, mut far: Vec<&AggregateDemand<'a>>) {
        if self.policy.has(Mechanism::FarLoadsByValue) {
            far.sort_by(|one, other| self.far_value(other).total_cmp(&self.far_value(one)));
        }
        let (blocked, mut far): (Vec<&AggregateDemand<'a>>, Vec<&AggregateDemand<'a>>) =
            far.into_iter().partition(|want| self.is_only_blocked(want));
        far.retain(|want| !self.want_model(want, Reach::Far));
        self.note_turns(&far);
        for want in blocked {
            let disk_load_ms = self.spec.models.get(want.model).map_or(0, |spec| spec.disk_load_ms);
            self.note_ready(want, BLOCKED_MS + disk_load_ms);
        }
    }

    /// Returns whether a model has a local copy at an engine that cannot make room at the moment,
    /// because what it holds was loaded just now or is itself in demand. That passes soon, while
    /// the weight store takes several times as long and is needed for other models.
    fn is_only_blocked(&self, want: &AggregateDemand<'_>) -> bool {
        self.policy.has(Mechanism::WaitForNearCopies)
            && self.demand.missing_ms(want.model, self.now_ms) < BLOCKED_FOR_MS
            && self.near.contains_key(want.model)
    }

    /// Returns whether a model is so busy that a further replica may be loaded from the weight
    /// store.
    pub(super) fn is_worth_a_far_load(&self, model: &ModelName) -> bool {
        let filled = self.running(model) * FAR_REPLICA_FILL_PART;
        let slots = f64::from(self.replicas(model) * self.spec.slots);
        let under_way = self.engines.values().filter_map(|state| state.change);
        let further =
            under_way.filter(|change| change.is_remote && self.present(&change.model) > 0);
        filled > slots && further.count() < FURTHER_LOADS
    }

    fn far_value(&self, want: &AggregateDemand<'_>) -> f64 {
        let missing_ms = self.demand.missing_ms(want.model, self.now_ms) as f64;
        want.value * (1.0 + missing_ms / PATIENCE_MS)
    }

    /// Records when models whose turn has not come will be ready.
    fn note_turns(&mut self, left: &[&AggregateDemand<'a>]) {
        let mut ends: BinaryHeap<Reverse<u64>> = self.remote_ends_ms().map(Reverse).collect();
        // A load that could begin but does not has no room for now.
        while ends.len() < self.most_remote_loads() {
            ends.push(Reverse(BLOCKED_MS));
        }
        for want in left {
            let Some(spec) = self.spec.models.get(want.model) else { continue };
            let Some(Reverse(begin_ms)) = ends.pop() else { return };
            let end_ms = begin_ms + UNLOAD_MS + spec.remote_load_ms;
            ends.push(Reverse(end_ms));
            self.note_ready(want, end_ms);
        }
    }

    /// Returns the times until the loads from the weight store in progress end.
    fn remote_ends_ms(&self) -> impl Iterator<Item = u64> {
        let under_way = self.engines.values().filter_map(|state| state.change);
        let remote = under_way.chain(&self.plan.changes).filter(|change| change.is_remote);
        remote.map(|change| change.remaining_ms(self.now_ms))
    }
}
