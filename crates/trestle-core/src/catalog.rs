//! The part of the configuration in force that decisions need.

use crate::names::{DomainName, EndpointName, ModelName};
use std::collections::BTreeMap;

/// The part of the configuration in force that decisions need.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Models that may be placed.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Engines that models may be placed at.
    pub engines: BTreeMap<EndpointName, EngineSpec>,
}

/// What decisions need to know of a model.
#[trestle_macros::plain]
pub struct ModelSpec {
    /// Memory the model takes while it is loaded.
    pub memory_bytes: u64,
    /// Replicas that may be placed at most.
    pub max_replicas: usize,
    /// Time a load takes on average.
    pub load_ms: u64,
    /// Time a request takes on average.
    pub service_ms: u64,
    /// Time without a request after which the model is unloaded.
    pub keep_ms: u64,
}

/// What decisions need to know of an engine.
#[trestle_macros::plain]
pub struct EngineSpec {
    /// Its failure domain.
    pub domain: DomainName,
    /// Memory for models.
    pub memory_bytes: u64,
    /// Requests that run at once.
    pub slots: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: Fencing,
}

/// How an engine treats fencing numbers.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Fencing {
    /// Orders with an old number are refused.
    Checked,
    /// Numbers are ignored.
    Ignored,
}

/// Placed memory on a checking engine, as a multiple of its memory.
const PLACED_PER_MEMORY: u64 = 4;

impl EngineSpec {
    /// Memory that placements may take together.
    ///
    /// Where the engine ignores fencing numbers, everything placed has to fit
    /// at once, so that no order can ever overcommit it.
    pub fn placeable_bytes(&self) -> u64 {
        match self.fencing {
            Fencing::Checked => self.memory_bytes * PLACED_PER_MEMORY,
            Fencing::Ignored => self.memory_bytes,
        }
    }
}
