//! The operators' configuration in the form that decisions use.

use crate::{
    endpoint::{Endpoint, Held},
    route::RouteTable,
    team::Teams,
};
use std::{collections::BTreeMap, sync::Arc};
use trestle_core::names::{ModelName, ServiceName};

/// One version of the configuration.
#[trestle_macros::plain]
pub struct Catalog {
    /// Version number; it grows with each change, possibly by more than one.
    pub version: u64,
    /// All routes.
    pub routes: RouteTable,
    /// All services, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// The teams that may send requests; empty if no key is needed.
    pub teams: Teams,
}

/// Limits on requests and connections of callers.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct CallerLimits {
    /// Largest size of a request's head in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body in bytes.
    pub body_bytes: usize,
    /// Longest time in which a caller may send a request's head.
    pub header_ms: u64,
    /// Longest time for which a connection may be idle.
    pub idle_ms: u64,
}

/// One service.
#[trestle_macros::plain]
pub struct Service {
    /// Number of connections that each endpoint of the service accepts from all callers together.
    pub max_connections: u32,
    /// Path at which an endpoint of the service reports its identity, if there is one.
    pub health_path: Option<String>,
    /// Capacity and models of its engines; `None` for a plain service.
    pub engine: Option<Arc<EngineSpec>>,
}

/// Capacity and models of the engines of one service.
#[trestle_macros::plain]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory of an engine for weights and adapters.
    pub memory_mb: u64,
    /// Number of adapters that an engine can hold.
    pub adapter_slots: u32,
    /// Tokens that an engine's KV cache holds; `None` if the configuration does not tell.
    pub cache_tokens: Option<u64>,
    /// The models of the service.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

/// One model.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ModelSpec {
    /// Memory for the weights, rounded up.
    pub weights_mb: u64,
    /// Memory for one adapter, rounded up.
    pub adapter_mb: u64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Time of a load from the weight store.
    pub remote_load_ms: u64,
    /// Time of a load from the disk of the engine's host.
    pub disk_load_ms: u64,
    /// Time of a load from the memory of the engine's host.
    pub memory_load_ms: u64,
}

impl ModelSpec {
    /// Returns the time of a load at an engine, and whether the load reads from the weight store.
    pub fn load_ms(&self, endpoint: &Endpoint, model: &ModelName) -> (u64, bool) {
        if endpoint.in_memory.contains(model) {
            (self.memory_load_ms, false)
        } else if endpoint.on_disk.contains(model) {
            (self.disk_load_ms, false)
        } else {
            (self.remote_load_ms, true)
        }
    }
}

impl EngineSpec {
    /// Returns the memory for the weights of a model.
    ///
    /// A model that is no longer configured counts as if it filled an engine, so that nothing is
    /// loaded beside it.
    pub fn weights_mb(&self, model: &ModelName) -> u64 {
        self.models.get(model).map_or(self.memory_mb, |spec| spec.weights_mb)
    }

    /// Returns the memory for one adapter of a model.
    pub fn adapter_mb(&self, model: &ModelName) -> u64 {
        self.models.get(model).map_or(0, |spec| spec.adapter_mb)
    }

    /// Returns the memory for all models and adapters in `held`.
    pub fn held_mb(&self, held: &Held) -> u64 {
        let each = held.iter().map(|(model, adapters)| {
            self.weights_mb(model) + adapters.len() as u64 * self.adapter_mb(model)
        });
        each.sum()
    }
}
