//! Simulated engine that fails the test when an order violates an invariant.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::{
    catalog::{EngineSpec, Fencing},
    fence::Fence,
    names::ModelName,
    order::{ModelReport, Order, OrderKind, OrderOutcome, Phase, Report},
};

/// Simulated engine.
pub(crate) struct Engine {
    pub(crate) refused_orders: u64,
    spec: EngineSpec,
    fence: Fence,
    models: BTreeMap<ModelName, ModelReport>,
}

/// Effect of an order on an engine: the answer, and the load or unload that it started.
pub(crate) struct OrderEffect {
    pub(crate) outcome: OrderOutcome,
    pub(crate) loading: Option<ModelName>,
    pub(crate) unloading: Option<ModelName>,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self { refused_orders: 0, spec, fence: Fence::ZERO, models: BTreeMap::new() }
    }

    pub(crate) fn apply(
        &mut self,
        order: Order,
        recorded: &BTreeSet<ModelName>,
        now_ms: u64,
        name: &str,
    ) -> OrderEffect {
        let mut effect =
            OrderEffect { outcome: OrderOutcome::Unknown, loading: None, unloading: None };
        if self.spec.fencing == Fencing::Checked && order.fence < self.fence {
            self.refused_orders += 1;
            effect.outcome = OrderOutcome::Refused(self.fence);
            return effect;
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            OrderKind::Claim => {}
            OrderKind::Load { model, memory_bytes } if !self.models.contains_key(&model) => {
                let used: u64 = self.models.values().map(|state| state.memory_bytes).sum();
                assert!(
                    used + memory_bytes <= self.spec.memory_bytes,
                    "overcommit at {name} at {now_ms} ms: {model} does not fit beside {:?}",
                    self.models
                );
                assert!(
                    recorded.contains(&model),
                    "surplus replica at {name} at {now_ms} ms: {model} is not recorded"
                );
                let state = ModelReport { phase: Phase::Loading, memory_bytes, running: 0 };
                self.models.insert(model.clone(), state);
                effect.loading = Some(model);
            }
            OrderKind::Load { .. } => {}
            OrderKind::Unload { model } => {
                if let Some(state) = self.models.get_mut(&model)
                    && state.phase == Phase::Ready
                {
                    assert_eq!(state.running, 0, "unload of {model} at {name} aborts requests");
                    state.phase = Phase::Unloading;
                    effect.unloading = Some(model);
                }
            }
        }
        effect.outcome = OrderOutcome::Accepted(self.report());
        effect
    }

    pub(crate) fn loaded(&mut self, model: &ModelName) {
        if let Some(state) = self.models.get_mut(model) {
            state.phase = Phase::Ready;
        }
    }

    pub(crate) fn unloaded(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Starts a request if the model is ready, and returns whether it did.
    pub(crate) fn begin(&mut self, model: &ModelName) -> bool {
        let Some(state) = self.models.get_mut(model) else { return false };
        if state.phase != Phase::Ready {
            return false;
        }
        state.running += 1;
        true
    }

    /// Returns the models that occupy memory.
    pub(crate) fn held(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    pub(crate) fn end(&mut self, model: &ModelName) {
        if let Some(state) = self.models.get_mut(model) {
            state.running -= 1;
        }
    }

    fn report(&self) -> Report {
        Report { models: self.models.clone() }
    }
}
