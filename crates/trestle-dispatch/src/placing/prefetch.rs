//! Room that is free is filled before anybody waits.
//!
//! The load that this answers: engines that have just started hold nothing. While engines
//! are replaced one after the other, the replicas of a busy model go one by one until none is
//! left; so what gains most comes back first.

use super::{EngineState, Planner, REMOTE_LOADS_AT_ONCE, load_time};
use crate::change::Change;
use trestle_core::names::ModelName;

/// Loads from the weight store that are left to models that somebody waits for.
const REMOTE_LOADS_KEPT: usize = 1;

impl Planner<'_> {
    /// Begins loads of models that one more replica helps, at engines with room for them.
    pub(super) fn fill_free_room(&mut self) {
        let least_mb = self.spec.models.values().map(|spec| spec.weights_mb).min();
        let least_mb = least_mb.unwrap_or(u64::MAX);
        if !self.engines.values().any(|state| self.has_room(state, least_mb)) {
            return;
        }
        let asked = self.demand.rates().iter(self.now_ms).map(|(model, _)| model);
        let gains = asked.map(|model| (model, self.gain_of_further_ms(model)));
        let mut lacking: Vec<(&ModelName, f64)> = gains.filter(|(_, gain)| *gain > 0.0).collect();
        lacking.sort_by(|one, other| other.1.total_cmp(&one.1));
        for (model, _) in lacking {
            if let Some(change) = self.load_into_free_room(model) {
                self.begin(change);
            }
        }
    }

    fn load_into_free_room(&self, model: &ModelName) -> Option<Change> {
        let spec = self.spec.models.get(model)?;
        let may_be_remote = self.remote_loads() + REMOTE_LOADS_KEPT < REMOTE_LOADS_AT_ONCE;
        let with_room = self.engines.values().filter(|state| {
            self.has_room(state, spec.weights_mb) && !state.held.contains_key(model)
        });
        let loads = with_room.map(|state| (load_time(spec, state.endpoint, model), state.endpoint));
        let allowed = loads.filter(|((_, is_remote), _)| may_be_remote || !is_remote);
        let ((load_ms, is_remote), endpoint) = allowed.min_by_key(|((load_ms, _), _)| *load_ms)?;
        Some(Change {
            endpoint: endpoint.name.clone(),
            evicted: Vec::new(),
            model: model.clone(),
            adapter: None,
            evicted_adapter: None,
            is_remote,
            load_ms,
            done_at_ms: self.now_ms + load_ms,
        })
    }

    /// Whether an engine has nothing under way, and so much room beside what it holds.
    fn has_room(&self, state: &EngineState<'_>, needed_mb: u64) -> bool {
        let is_free = state.may_change
            && state.change.is_none()
            && self.planned_at(&state.endpoint.name).is_none();
        let used_mb = self.spec.held_mb(state.held);
        is_free && used_mb.saturating_add(needed_mb) <= self.spec.memory_mb
    }
}
