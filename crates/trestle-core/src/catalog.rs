//! The part of the active configuration that decisions depend on.

use crate::{
    candidates,
    keep::KeepPrice,
    names::{DomainName, EndpointName, ModelName},
    window::{CivilTime, Window},
};
use std::collections::BTreeMap;

/// The part of the active configuration that decisions depend on.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Models that may be placed.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Idle accelerator time that one unit of waiting for a cold model is worth.
    pub idle_per_wait: u64,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub full_speed_loads: usize,
    /// Engines at which models may be placed.
    pub engines: BTreeMap<EndpointName, EngineSpec>,
    /// Engines at which each model may be placed, best first; set by [`Catalog::at_version`].
    pub candidates: BTreeMap<ModelName, Vec<EndpointName>>,
}

/// Properties of a model that decisions depend on.
#[trestle_macros::plain]
pub struct ModelSpec {
    /// Memory that the model occupies while it is loaded.
    pub memory_bytes: u64,
    /// Maximum number of replicas.
    pub max_replicas: usize,
    /// Average time of a load.
    pub load_ms: u64,
    /// Average time of a request.
    pub service_ms: u64,
    /// Time without a request after which the model is unloaded, until enough gaps between its
    /// requests are known.
    pub keep_ms: u64,
    /// Recurring times at which the model is kept loaded.
    pub windows: Vec<Window>,
}

/// Properties of an engine that decisions depend on.
#[trestle_macros::plain]
pub struct EngineSpec {
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Memory for models.
    pub memory_bytes: u64,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// How the engine treats fencing numbers.
    pub fencing: Fencing,
}

/// How an engine treats fencing numbers.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Fencing {
    /// The engine refuses orders with an old number.
    Checked,
    /// The engine ignores the numbers.
    Ignored,
}

impl Catalog {
    /// Sets the version and the candidates of the catalog.
    ///
    /// The candidates of a model are copied from `before`, unless the engines or the model have
    /// changed.
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

    /// Returns the engines at which the model may be placed, best first.
    pub fn candidates(&self, model: &ModelName) -> &[EndpointName] {
        self.candidates.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the costs from which the keep time of the model at the engine follows.
    pub fn keep_price(&self, model: &ModelSpec, engine: &EngineSpec) -> KeepPrice {
        KeepPrice {
            load_ms: model.load_ms,
            idle_per_wait: self.idle_per_wait,
            share_percent: model.memory_bytes * 100 / engine.memory_bytes.max(1),
            declared_keep_ms: model.keep_ms,
        }
    }

    /// Returns the models with a window that is open at the time, or about to open.
    pub fn expected_at(&self, time: CivilTime) -> impl Iterator<Item = &ModelName> {
        let is_expected = move |spec: &ModelSpec| spec.windows.iter().any(|w| w.is_open(time));
        self.models.iter().filter(move |(_, spec)| is_expected(spec)).map(|(name, _)| name)
    }
}

/// Upper bound of the memory of all placements on an engine that checks fencing numbers, as a
/// multiple of the engine's memory.
const PLACED_PER_MEMORY: u64 = 4;

impl EngineSpec {
    /// Returns the memory that all placements at the engine may occupy together.
    ///
    /// At an engine that ignores fencing numbers, all placements have to fit at once, so that no
    /// delayed order can ever overcommit its memory.
    pub fn placeable_bytes(&self) -> u64 {
        match self.fencing {
            Fencing::Checked => self.memory_bytes * PLACED_PER_MEMORY,
            Fencing::Ignored => self.memory_bytes,
        }
    }
}
