//! What is placed at an endpoint.

use crate::names::{ModelName, VmName};
use std::collections::{BTreeMap, BTreeSet};

/// What is placed at an endpoint.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EndpointRow {
    /// Models that may be loaded there.
    pub placed: BTreeMap<ModelName, Placement>,
}

/// One model's place at an endpoint.
#[trestle_macros::plain]
pub struct Placement {
    /// Memory the model takes while it is loaded.
    pub memory_bytes: u64,
    /// Set once the placement is on its way out.
    pub retiring: Option<Retiring>,
}

/// A placement on its way out.
#[trestle_macros::plain]
pub struct Retiring {
    /// The domain's epoch from which no owner may load the model there.
    pub epoch: u64,
    /// Members that could still act on the placement when it was marked.
    pub waiting_for: BTreeSet<VmName>,
}

impl EndpointRow {
    /// Memory of everything placed, also of what is on its way out.
    pub fn memory_bytes(&self) -> u64 {
        self.placed.values().map(|placement| placement.memory_bytes).sum()
    }

    /// Whether the model may be loaded.
    pub fn is_active(&self, model: &ModelName) -> bool {
        self.placed.get(model).is_some_and(|placement| placement.retiring.is_none())
    }
}
