//! Orders to engines, and the states that engines report.

use crate::{fence::Fence, names::ModelName};
use std::collections::BTreeMap;

/// An order to an engine.
#[trestle_macros::plain]
pub struct Order {
    /// Fencing number of the order.
    pub fence: Fence,
    /// Requested change.
    pub kind: OrderKind,
}

/// Change that an order requests.
#[trestle_macros::plain]
pub enum OrderKind {
    /// No change; the engine only records the fencing number. Serves as a status probe.
    Claim,
    /// To load a model.
    Load {
        /// Model to load.
        model: ModelName,
        /// Memory that the model occupies.
        memory_bytes: u64,
    },
    /// To unload a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
}

impl OrderKind {
    /// Returns the model that the order loads or unloads; `None` for a claim.
    pub fn model(&self) -> Option<&ModelName> {
        match self {
            Self::Claim => None,
            Self::Load { model, .. } | Self::Unload { model } => Some(model),
        }
    }
}

/// Outcome of an order, as far as the sender knows it.
#[trestle_macros::plain]
pub enum OrderOutcome {
    /// The engine accepted the order and reported its state right after it.
    Accepted(Report),
    /// The engine refused the order, because it had accepted one with the larger number given.
    Refused(Fence),
    /// The engine cannot carry out the order because of the state that it reported.
    Impossible(Report),
    /// The answer was lost; the engine may have accepted the order or may still do so.
    Unknown,
}

/// State of an engine at one moment.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Report {
    /// Models that occupy memory.
    pub models: BTreeMap<ModelName, ModelReport>,
}

/// State of one model at an engine.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ModelReport {
    /// Phase of the model.
    pub phase: Phase,
    /// Memory that the model occupies.
    pub memory_bytes: u64,
    /// Number of requests that run on the model.
    pub running: usize,
}

/// Phase of a model at an engine.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Phase {
    /// The model occupies memory and serves no requests yet.
    Loading,
    /// The model serves requests.
    Ready,
    /// The model still occupies memory and serves no more requests.
    Unloading,
}

impl Report {
    /// Returns the number of requests that run at the engine.
    pub fn running(&self) -> usize {
        self.models.values().map(|model| model.running).sum()
    }
}
