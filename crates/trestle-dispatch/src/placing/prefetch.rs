//! Room that is free is filled before anybody waits.
//!
//! The load that this answers: engines that have just started hold nothing. While engines
//! are replaced one after the other, the replicas of a busy model go one by one until none is
//! left; so what gains most comes back first.

use super::{EngineState, Planner, REMOTE_LOADS_AT_ONCE, load_time};
use crate::change::Change;
use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName};

/// Loads from the weight store that are left to models that somebody waits for.
const REMOTE_LOADS_KEPT: usize = 1;

impl Planner<'_> {
    /// Begins loads of models that one more replica helps, at engines with room for them.
    pub(super) fn fill_free_room(&mut self) {
        let least_mb = self.spec.models.values().map(|spec| spec.weights_mb).min();
        let mut rooms = self.rooms(least_mb.unwrap_or(u64::MAX));
        if rooms.is_empty() {
            return;
        }
        let asked = self.demand.rates().iter(self.now_ms).map(|(model, _)| model);
        let gains = asked.map(|model| (model, self.gain_of_further_ms(model)));
        let mut lacking: Vec<(&ModelName, f64)> = gains.filter(|(_, gain)| *gain > 0.0).collect();
        lacking.sort_by(|one, other| other.1.total_cmp(&one.1));
        for (model, _) in lacking {
            let Some(change) = self.load_into_free_room(model, &rooms) else { continue };
            rooms.remove(&change.endpoint);
            self.begin(change);
            if rooms.is_empty() {
                return;
            }
        }
    }

    fn load_into_free_room(
        &self,
        model: &ModelName,
        rooms: &BTreeMap<EndpointName, u64>,
    ) -> Option<Change> {
        let spec = self.spec.models.get(model)?;
        let may_be_remote = self.remote_loads + REMOTE_LOADS_KEPT < REMOTE_LOADS_AT_ONCE;
        let with_room = rooms.iter().filter(|(_, free_mb)| **free_mb >= spec.weights_mb);
        let states = with_room.filter_map(|(name, _)| self.engines.get(name));
        let lacking = states.filter(|state| !state.held.contains_key(model));
        let loads = lacking.map(|state| (load_time(spec, state.endpoint, model), state.endpoint));
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

    /// Engines with nothing under way, and what room they have, if it is so much at least.
    fn rooms(&self, least_mb: u64) -> BTreeMap<EndpointName, u64> {
        let is_free = |state: &&EngineState<'_>| {
            state.may_change
                && state.change.is_none()
                && self.planned_at(&state.endpoint.name).is_none()
        };
        let free = self.engines.values().filter(is_free).map(|state| {
            let free_mb = self.spec.memory_mb.saturating_sub(self.spec.held_mb(state.held));
            (state.endpoint.name.clone(), free_mb)
        });
        free.filter(|(_, free_mb)| *free_mb >= least_mb).collect()
    }
}
