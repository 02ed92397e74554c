//! What makes way at an engine.

use super::{EngineState, Planner};
use std::collections::BTreeSet;
use trestle_core::names::ModelName;

/// Time for which a model stays once it has arrived, for those it was loaded for.
const SETTLE_MS: u64 = 1_500;

/// Models that make way together.
pub(super) struct Eviction {
    pub(super) models: Vec<ModelName>,
    /// What their going loses.
    pub(super) miss_ms: f64,
    /// Time until the last of their requests has ended.
    pub(super) run_wait_ms: f64,
}

impl Planner<'_> {
    /// The models whose going makes room and is missed least.
    pub(super) fn eviction(&self, needed_mb: u64, state: &EngineState<'_>) -> Option<Eviction> {
        let mut free_mb = self.spec.memory_mb.saturating_sub(self.spec.held_mb(state.held));
        let mut candidates: Vec<(f64, f64, &ModelName)> = state
            .held
            .keys()
            .filter_map(|model| {
                let (miss_ms, run_wait_ms) = self.loss(model, state)?;
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

    /// What the going of a model from an engine loses, and the time until its requests there
    /// have ended; `None` if it must stay.
    fn loss(&self, model: &ModelName, state: &EngineState<'_>) -> Option<(f64, f64)> {
        let is_new =
            state.arrived_ms.get(model).is_some_and(|at_ms| self.now_ms < at_ms + SETTLE_MS);
        let is_last = self.present(model) <= 1;
        if is_last && (is_new || self.waited_for.contains(model)) {
            return None;
        }
        let running = self.usage.of_model_at(&state.endpoint.name, model);
        let run_wait_ms = if running > 0 { self.learnt.run_wait_ms(self.policy) } else { 0.0 };
        Some((self.loss_of_one_ms(model), run_wait_ms))
    }

    fn model_mb(&self, model: &ModelName, state: &EngineState<'_>) -> u64 {
        let adapters = state.held.get(model).map_or(0, BTreeSet::len) as u64;
        self.spec.weights_mb(model) + adapters * self.spec.adapter_mb(model)
    }
}
