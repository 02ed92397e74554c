//! The operators' configuration, as decisions use it.

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
    /// Grows with each change, not by one.
    pub version: u64,
    /// All routes.
    pub routes: RouteTable,
    /// All services.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may do.
    pub limits: CallerLimits,
    /// Who may ask; empty where anybody may.
    pub teams: Teams,
}

/// Limits towards callers.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct CallerLimits {
    /// Size of the head of a request.
    pub header_bytes: usize,
    /// Size of the body of a request.
    pub body_bytes: usize,
    /// Time for sending a request's head.
    pub header_ms: u64,
    /// Time for which a connection may be idle.
    pub idle_ms: u64,
}

/// One service.
#[trestle_macros::plain]
pub struct Service {
    /// Connections that each of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// Where an endpoint of it says who it is.
    pub health_path: Option<String>,
    /// What its engines can hold; none for a plain service.
    pub engine: Option<Arc<EngineSpec>>,
}

/// What each engine of a service can hold.
#[trestle_macros::plain]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Memory for weights and adapters.
    pub memory_mb: u64,
    /// Adapters that an engine can hold.
    pub adapter_slots: u32,
    /// The models of the service.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

/// One model.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ModelSpec {
    /// Memory for its weights, rounded up.
    pub weights_mb: u64,
    /// Memory for one of its adapters, rounded up.
    pub adapter_mb: u64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Time of a load from the weight store.
    pub remote_load_ms: u64,
    /// Time of a load from the engine's disk.
    pub disk_load_ms: u64,
    /// Time of a load from the engine's memory.
    pub memory_load_ms: u64,
}

impl ModelSpec {
    /// Time of a load at an engine, and whether it comes from the weight store.
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
    /// Memory for the weights of a model.
    ///
    /// A model that left the configuration counts as if it filled an engine, so that
    /// nothing is loaded beside it.
    pub fn weights_mb(&self, model: &ModelName) -> u64 {
        self.models.get(model).map_or(self.memory_mb, |spec| spec.weights_mb)
    }

    /// Memory for one adapter of a model.
    pub fn adapter_mb(&self, model: &ModelName) -> u64 {
        self.models.get(model).map_or(0, |spec| spec.adapter_mb)
    }

    /// Memory for everything that an engine holds.
    pub fn held_mb(&self, held: &Held) -> u64 {
        let each = held.iter().map(|(model, adapters)| {
            self.weights_mb(model) + adapters.len() as u64 * self.adapter_mb(model)
        });
        each.sum()
    }
}
