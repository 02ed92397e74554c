//! Loads from the weight store.
//!
//! The load that this answers: many models without a copy near any engine, as after engines
//! were replaced by empty ones. The store serves few loads at once at full speed, and more of
//! them only make each slower. So its loads go to what most wait for, by urgency and by how
//! long the model has been missing, or what is asked for rarely would never come; and those
//! that must wait for their turn are told the time that this takes.

use super::{Planner, Reach, UNLOAD_MS};
use crate::{demand::AggregateDemand, policy::Mechanism};
use std::{cmp::Reverse, collections::BinaryHeap};
use trestle_core::names::ModelName;

/// Loads from the weight store at once that keep their full speed.
const REMOTE_LOADS_AT_ONCE: usize = 4;
/// Time for which a model is missing until those who wait for it count twice: about one load.
const PATIENCE_MS: f64 = 6_000.0;
/// Time after which room can be made where there is none at the moment: what has just arrived
/// stays for about as long.
const BLOCKED_MS: u64 = 1_000;
/// Time for which a model with a near copy is not asked of the weight store.
const BLOCKED_FOR_MS: u64 = 4_000;
/// Part of an engine's slots that one busy model fills before it is worth a further replica
/// from the weight store, whose load takes 6 s while demand moves on in some 10 s.
const FAR_REPLICA_FILL_PART: f64 = 4.0;
/// Loads from the weight store at once that further replicas may take. They gain more than
/// those of rare models, which would otherwise never come.
const FURTHER_LOADS: usize = 3;

impl<'a> Planner<'a> {
    /// Loads from the weight store that this leader may have under way; leaders share what it
    /// serves at full speed.
    pub(super) fn most_remote_loads(&self) -> usize {
        (REMOTE_LOADS_AT_ONCE / self.sharing.leader_count()).max(1)
    }

    /// Sees to models that can only come from the weight store.
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

    /// Whether a model has a copy near an engine that just now can make no room: what is there
    /// has only just arrived, or is waited for itself. That is over in a moment, where the
    /// weight store takes several times as long and is needed for others.
    fn is_only_blocked(&self, want: &AggregateDemand<'_>) -> bool {
        self.policy.has(Mechanism::WaitForNearCopies)
            && self.demand.missing_ms(want.model, self.now_ms) < BLOCKED_FOR_MS
            && self.near.contains_key(want.model)
    }

    /// Whether a model is so busy that a further replica may come from the weight store.
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

    /// Notes when models whose turn has not come will be ready.
    fn note_turns(&mut self, left: &[&AggregateDemand<'a>]) {
        let mut ends: BinaryHeap<Reverse<u64>> = self.remote_ends_ms().map(Reverse).collect();
        // A load that could begin and does not has no room for now.
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

    /// When loads from the weight store end, from now.
    fn remote_ends_ms(&self) -> impl Iterator<Item = u64> {
        let under_way = self.engines.values().filter_map(|state| state.change);
        let remote = under_way.chain(&self.plan.changes).filter(|change| change.is_remote);
        remote.map(|change| change.remaining_ms(self.now_ms))
    }
}
