//! Orders to engines, and what engines report.

use crate::{fence::Fence, names::ModelName};
use std::collections::BTreeMap;

/// An order to an engine.
#[trestle_macros::plain]
pub struct Order {
    /// Its fencing number.
    pub fence: Fence,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[trestle_macros::plain]
pub enum OrderKind {
    /// Nothing but to take note of the fencing number.
    Claim,
    /// To load a model.
    Load {
        /// The model.
        model: ModelName,
        /// Memory it takes.
        memory_bytes: u64,
    },
    /// To unload a model.
    Unload {
        /// The model.
        model: ModelName,
    },
}

impl OrderKind {
    /// The model that the order concerns.
    pub fn model(&self) -> Option<&ModelName> {
        match self {
            Self::Claim => None,
            Self::Load { model, .. } | Self::Unload { model } => Some(model),
        }
    }
}

/// What is known of an order after it was sent.
#[trestle_macros::plain]
pub enum OrderOutcome {
    /// Accepted, with the state of the engine right after.
    Accepted(Report),
    /// Refused: the engine has accepted an order with the larger number given.
    Refused(Fence),
    /// The engine cannot carry it out, with the state that stands against it.
    Impossible(Report),
    /// The answer was lost; it may have been accepted, or may be yet.
    Unknown,
}

/// The state of an engine at one moment.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Report {
    /// Models that take memory.
    pub models: BTreeMap<ModelName, ModelReport>,
}

/// The state of one model at an engine.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ModelReport {
    /// How far the model is.
    pub phase: Phase,
    /// Memory it takes.
    pub memory_bytes: u64,
    /// Requests that run on it.
    pub running: usize,
}

/// How far a model is at an engine.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Phase {
    /// Takes memory, serves nothing yet.
    Loading,
    /// Serves.
    Ready,
    /// Still takes memory, serves nothing any more.
    Unloading,
}

impl Report {
    /// Requests that run at the engine.
    pub fn running(&self) -> usize {
        self.models.values().map(|model| model.running).sum()
    }
}
