//! Row that holds the placements at an endpoint.

use crate::names::{ModelName, VmName};
use std::collections::{BTreeMap, BTreeSet};

/// Placements at an endpoint.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EndpointRow {
    /// Placements by model; a model without one is not loaded at the endpoint.
    pub placed: BTreeMap<ModelName, Placement>,
}

/// Permission to load one model at an endpoint.
#[trestle_macros::plain]
pub struct Placement {
    /// Memory that the model occupies while it is loaded.
    pub memory_bytes: u64,
    /// Retirement of the placement; `None` while the placement is active.
    pub retiring: Option<Retiring>,
}

/// Retirement of a placement, the first of the two steps of its removal.
#[trestle_macros::plain]
pub struct Retiring {
    /// Epoch of the domain from which on no owner may load the model at the endpoint.
    pub epoch: u64,
    /// VMs that could still act on the placement when it was marked as retiring.
    pub waiting_for: BTreeSet<VmName>,
}

impl EndpointRow {
    /// Returns the memory of all placements, including retiring ones.
    pub fn memory_bytes(&self) -> u64 {
        self.placed.values().map(|placement| placement.memory_bytes).sum()
    }

    /// Returns whether the model is placed and not retiring.
    pub fn is_active(&self, model: &ModelName) -> bool {
        self.placed.get(model).is_some_and(|placement| placement.retiring.is_none())
    }
}
