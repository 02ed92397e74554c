//! What makes way at an engine.

use super::{EngineState, Planner};
use std::collections::BTreeSet;
use trestle_core::names::ModelName;

/// Time that an unload waits for each model that has requests running; the mean
/// of what streams of the deployments take.
const RUN_WAIT_MS: f64 = 2_800.0;
/// What losing a replica counts, in ms of delay, for each request a second.
const MISS_MS_PER_RATE: f64 = 4_000.0;
/// Time for which a model stays once it has arrived, for those it was loaded for.
const SETTLE_MS: u64 = 1_500;

/// Models that make way together.
pub(super) struct Eviction {
    pub(super) models: Vec<ModelName>,
    /// What their going counts, in ms of delay.
    pub(super) miss_ms: f64,
    /// Time until the last of their requests has ended.
    pub(super) run_wait_ms: f64,
}

impl Planner<'_> {
    /// The models whose going makes room and is missed least.
    pub(super) fn eviction(
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
        let running = self.usage.of_model_at(&state.endpoint.name, model);
        let run_wait_ms = if running > 0 { RUN_WAIT_MS } else { 0.0 };
        let rate = self.demand.rates().per_s(model, self.now_ms);
        let is_surplus = others >= self.needed_replicas(model);
        // What was asked for longest ago goes first among equals.
        let age_ms = self
            .demand
            .rates()
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
}
