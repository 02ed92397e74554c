//! Orders to engines, and the state that answers them.

use std::collections::BTreeMap;
use trestle_core::order::{ModelReport, Order, OrderKind, Phase, Report};

/// An order to an engine.
#[trestle_macros::wire]
pub struct WireOrder {
    /// Its fencing number.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: WireOrderKind,
}

/// What an order asks for.
#[trestle_macros::wire]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum WireOrderKind {
    /// To take note of the fencing number.
    Claim,
    /// To load a model.
    Load {
        /// The model.
        model: String,
        /// Memory it takes.
        memory_bytes: u64,
    },
    /// To unload a model.
    Unload {
        /// The model.
        model: String,
    },
}

/// An engine's answer to an order.
#[trestle_macros::wire]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum WireOrderAnswer {
    /// Accepted.
    Accepted {
        /// The state right after.
        report: WireReport,
    },
    /// Refused for its fencing number.
    Refused {
        /// The largest number accepted so far.
        fence: u64,
    },
    /// Cannot be carried out.
    Impossible {
        /// The state that stands against it.
        report: WireReport,
        /// Why not.
        message: String,
    },
}

/// The state of an engine.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WireReport {
    /// Models that take memory.
    pub models: BTreeMap<String, WireModelReport>,
}

/// The state of one model.
#[trestle_macros::wire]
pub struct WireModelReport {
    /// How far it is.
    pub phase: WirePhase,
    /// Memory it takes.
    pub memory_bytes: u64,
    /// Requests that run on it.
    pub running: usize,
}

/// How far a model is.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WirePhase {
    /// Takes memory, serves nothing yet.
    Loading,
    /// Serves.
    Ready,
    /// Still takes memory, serves nothing any more.
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
