//! A fake engine that fails the run at every breach.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::{
    catalog::{EngineSpec, Fencing},
    fence::Fence,
    names::ModelName,
    order::{ModelReport, Order, OrderKind, OrderOutcome, Phase, Report},
};

/// A fake engine.
pub(crate) struct Engine {
    pub(crate) refused_orders: u64,
    spec: EngineSpec,
    fence: Fence,
    models: BTreeMap<ModelName, ModelReport>,
}

/// What an order has led to.
pub(crate) struct Taken {
    pub(crate) outcome: OrderOutcome,
    pub(crate) loading: Option<ModelName>,
    pub(crate) unloading: Option<ModelName>,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self { refused_orders: 0, spec, fence: Fence::ZERO, models: BTreeMap::new() }
    }

    pub(crate) fn take(
        &mut self,
        order: Order,
        decided: &BTreeSet<ModelName>,
        now_ms: u64,
        name: &str,
    ) -> Taken {
        let mut taken = Taken { outcome: OrderOutcome::Unknown, loading: None, unloading: None };
        if self.spec.fencing == Fencing::Checked && order.fence < self.fence {
            self.refused_orders += 1;
            taken.outcome = OrderOutcome::Refused(self.fence);
            return taken;
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            OrderKind::Claim => {}
            OrderKind::Load { model, memory_bytes } if !self.models.contains_key(&model) => {
                let used: u64 = self.models.values().map(|state| state.memory_bytes).sum();
                assert!(
                    used + memory_bytes <= self.spec.memory_bytes,
                    "overcommit at {name} at {now_ms} ms: {model} beside {:?}",
                    self.models
                );
                assert!(
                    decided.contains(&model),
                    "surplus replica at {name} at {now_ms} ms: {model} is not decided there"
                );
                let state = ModelReport { phase: Phase::Loading, memory_bytes, running: 0 };
                self.models.insert(model.clone(), state);
                taken.loading = Some(model);
            }
            OrderKind::Load { .. } => {}
            OrderKind::Unload { model } => {
                if let Some(state) = self.models.get_mut(&model)
                    && state.phase == Phase::Ready
                {
                    assert_eq!(state.running, 0, "unload of {model} at {name} cuts requests");
                    state.phase = Phase::Unloading;
                    taken.unloading = Some(model);
                }
            }
        }
        taken.outcome = OrderOutcome::Accepted(self.report());
        taken
    }

    pub(crate) fn loaded(&mut self, model: &ModelName) {
        if let Some(state) = self.models.get_mut(model) {
            state.phase = Phase::Ready;
        }
    }

    pub(crate) fn unloaded(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Begins a request, if the model is ready.
    pub(crate) fn begin(&mut self, model: &ModelName) -> bool {
        let Some(state) = self.models.get_mut(model) else { return false };
        if state.phase != Phase::Ready {
            return false;
        }
        state.running += 1;
        true
    }

    /// Models that take memory.
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
