//! The state of one simulated engine.

use std::collections::BTreeMap;
use trestle_core::{
    catalog::{EngineSpec, Fencing},
    names::ModelName,
};
use trestle_wire::order::{
    WireModelReport, WireOrder, WireOrderAnswer, WireOrderKind, WirePhase, WireReport,
};

/// The state of one simulated engine.
pub(crate) struct Engine {
    spec: EngineSpec,
    fence: u64,
    pub(crate) models: BTreeMap<ModelName, WireModelReport>,
}

/// The outcome of one order: the answer, the change it started, and the breach it caused.
pub(crate) struct OrderOutcome {
    pub(crate) answer: WireOrderAnswer,
    pub(crate) started_change: Option<StartedChange>,
    pub(crate) breach: Option<String>,
}

/// A change that an accepted order started and that completes later.
pub(crate) enum StartedChange {
    Load(ModelName),
    Unload(ModelName),
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self { spec, fence: 0, models: BTreeMap::new() }
    }

    /// Returns how many requests run at full speed at once.
    pub(crate) fn slots(&self) -> usize {
        self.spec.slots
    }

    /// Executes an order.
    ///
    /// Rejects the order if this engine checks fences and the order's fence is lower than that of
    /// an earlier order, or if the model needs more memory than is free.
    pub(crate) fn execute_order(&mut self, order: WireOrder) -> OrderOutcome {
        if self.spec.fencing == Fencing::Checked {
            if order.fence < self.fence {
                let answer = WireOrderAnswer::Refused { fence: self.fence };
                return OrderOutcome { answer, started_change: None, breach: None };
            }
            self.fence = order.fence;
        }
        match order.kind {
            WireOrderKind::Claim => self.accepted(None, None),
            WireOrderKind::Load { model, memory_bytes } => {
                self.start_load(model.into(), memory_bytes)
            }
            WireOrderKind::Unload { model } => self.start_unload(model.into()),
        }
    }

    /// Reports the phase, memory and running requests of every model.
    pub(crate) fn report(&self) -> WireReport {
        let models = self.models.iter().map(|(model, state)| (model.to_string(), state.clone()));
        WireReport { models: models.collect() }
    }

    fn start_load(&mut self, model: ModelName, memory_bytes: u64) -> OrderOutcome {
        if self.models.contains_key(&model) {
            return self.accepted(None, None);
        }
        let used_bytes: u64 = self.models.values().map(|state| state.memory_bytes).sum();
        if used_bytes + memory_bytes > self.spec.memory_bytes {
            let message = format!("loading {model} needs more memory than there is");
            let answer =
                WireOrderAnswer::Impossible { report: self.report(), message: message.clone() };
            return OrderOutcome { answer, started_change: None, breach: Some(message) };
        }
        let state = WireModelReport { phase: WirePhase::Loading, memory_bytes, running: 0 };
        self.models.insert(model.clone(), state);
        self.accepted(Some(StartedChange::Load(model)), None)
    }

    fn start_unload(&mut self, model: ModelName) -> OrderOutcome {
        let Some(state) = self.models.get_mut(&model) else { return self.accepted(None, None) };
        if state.phase != WirePhase::Ready {
            return self.accepted(None, None);
        }
        let running = state.running;
        state.phase = WirePhase::Unloading;
        let breach = (running > 0).then(|| format!("unloading {model} cut {running} requests"));
        self.accepted(Some(StartedChange::Unload(model)), breach)
    }

    fn accepted(
        &self,
        started_change: Option<StartedChange>,
        breach: Option<String>,
    ) -> OrderOutcome {
        let answer = WireOrderAnswer::Accepted { report: self.report() };
        OrderOutcome { answer, started_change, breach }
    }
}
