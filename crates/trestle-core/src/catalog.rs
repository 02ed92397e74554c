//! The part of the configuration in force that decisions need.

use crate::{
    candidates,
    keep::KeepPrice,
    names::{DomainName, EndpointName, ModelName},
    window::{CivilTime, Window},
};
use std::collections::BTreeMap;

/// The part of the configuration in force that decisions need.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Models that may be placed.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Idle accelerator time that one unit of waiting for a cold model is worth.
    pub idle_per_wait: u64,
    /// LoadLimiter that the weight store serves at full speed at once.
    pub full_speed_loads: usize,
    /// Engines that models may be placed at.
    pub engines: BTreeMap<EndpointName, EngineSpec>,
    /// Candidates of each model, set by [`Catalog::at_version`].
    pub candidates: BTreeMap<ModelName, Vec<EndpointName>>,
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
    /// Time without a request after which the model is unloaded, until its gaps are known.
    pub keep_ms: u64,
    /// Times at which the model is kept loaded.
    pub windows: Vec<Window>,
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

impl Catalog {
    /// The catalog of a new version, whose candidates are taken over from the one
    /// before as far as neither the engines nor the model have changed.
    #[must_use]
    pub fn at_version(mut self, version: u64, before: &Self) -> Self {
        self.version = version;
        let same_engines = self.engines == before.engines;
        let known = |name: &ModelName| {
            let is_same = same_engines && self.models.get(name) == before.models.get(name);
            before.candidates.get(name).filter(|_| is_same).cloned()
        };
        let names = self.models.keys();
        let all = names.map(|name| {
            let ranked = known(name).unwrap_or_else(|| candidates::ranked(&self, name));
            (name.clone(), ranked)
        });
        self.candidates = all.collect();
        self
    }

    /// Engines that the model may be placed at, best first.
    pub fn candidates(&self, model: &ModelName) -> &[EndpointName] {
        self.candidates.get(model).map_or(&[], Vec::as_slice)
    }

    /// What decides how long a model is kept at an engine.
    pub fn keep_price(&self, model: &ModelSpec, engine: &EngineSpec) -> KeepPrice {
        KeepPrice {
            load_ms: model.load_ms,
            idle_per_wait: self.idle_per_wait,
            share_percent: model.memory_bytes * 100 / engine.memory_bytes.max(1),
            declared_keep_ms: model.keep_ms,
        }
    }

    /// Models that are expected to be needed at a time.
    pub fn expected_at(&self, time: CivilTime) -> impl Iterator<Item = &ModelName> {
        let is_expected = move |spec: &ModelSpec| spec.windows.iter().any(|w| w.is_open(time));
        self.models.iter().filter(move |(_, spec)| is_expected(spec)).map(|(name, _)| name)
    }
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
