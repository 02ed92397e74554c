//! Orders to engines, and the engine states that answer them.

use std::collections::BTreeMap;
use trestle_core::order::{ModelReport, Order, OrderKind, Phase, Report};

/// Order to an engine, as JSON.
#[trestle_macros::wire]
pub struct WireOrder {
    /// Fencing number of the order.
    pub fence: u64,
    /// Action that the engine carries out.
    #[serde(flatten)]
    pub kind: WireOrderKind,
}

/// Action of an order.
#[trestle_macros::wire]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum WireOrderKind {
    /// Records the fencing number, so that orders with a smaller one are refused.
    Claim,
    /// Loads a model.
    Load {
        /// Name of the model.
        model: String,
        /// Memory that the model occupies while it is loaded.
        memory_bytes: u64,
    },
    /// Unloads a model.
    Unload {
        /// Name of the model.
        model: String,
    },
}

/// Answer of an engine to an order.
#[trestle_macros::wire]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum WireOrderAnswer {
    /// The engine has accepted the order.
    Accepted {
        /// State of the engine right after it accepted the order.
        report: WireReport,
    },
    /// The engine has refused the order because its fencing number is too small.
    Refused {
        /// Largest fencing number that the engine has accepted.
        fence: u64,
    },
    /// The engine cannot carry out the order in its present state.
    Impossible {
        /// State of the engine that prevents the order.
        report: WireReport,
        /// Reason, for people.
        message: String,
    },
}

/// State of an engine.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WireReport {
    /// Models that occupy memory, by name.
    pub models: BTreeMap<String, WireModelReport>,
}

/// State of one model at an engine.
#[trestle_macros::wire]
pub struct WireModelReport {
    /// Phase of the model.
    pub phase: WirePhase,
    /// Memory that the model occupies.
    pub memory_bytes: u64,
    /// Number of requests that run on the model.
    pub running: usize,
}

/// Phase of a model at an engine.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WirePhase {
    /// The model occupies memory and serves no requests yet.
    Loading,
    /// The model serves requests.
    Ready,
    /// The model serves no requests any more and still occupies memory.
    Unloading,
}

impl From<&Order> for WireOrder {
    fn from(order: &Order) -> Self {
        let kind = match &order.kind {
            OrderKind::Claim => WireOrderKind::Claim,
            OrderKind::Load { model, memory_bytes } => {
                WireOrderKind::Load { model: model.to_string(), memory_bytes: *memory_bytes }
            }
            OrderKind::Unload { model } => WireOrderKind::Unload { model: model.to_string() },
        };
        Self { fence: order.fence.as_u64(), kind }
    }
}

impl From<WireReport> for Report {
    fn from(wire: WireReport) -> Self {
        let models = wire.models.into_iter().map(|(model, state)| (model.into(), state.into()));
        Self { models: models.collect() }
    }
}

impl From<WireModelReport> for ModelReport {
    fn from(wire: WireModelReport) -> Self {
        let phase = match wire.phase {
            WirePhase::Loading => Phase::Loading,
            WirePhase::Ready => Phase::Ready,
            WirePhase::Unloading => Phase::Unloading,
        };
        Self { phase, memory_bytes: wire.memory_bytes, running: wire.running }
    }
}
