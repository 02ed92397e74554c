//! Endpoints, engines and routes that several tests use.

#![allow(dead_code)] // Each test file uses its own part.

use std::{collections::BTreeSet, sync::Arc};
use trestle_core::names::{AdapterName, ModelName};
use trestle_dispatch::{
    catalog::{EngineSpec, ModelSpec},
    endpoint::Endpoint,
    route::{Route, RouteKind, Target},
};

/// Returns an endpoint of service `s` in a failure domain that holds models.
pub(crate) fn endpoint(name: &str, domain: &str, models: &[&str]) -> Endpoint {
    let held = models.iter().map(|model| (ModelName::from(*model), BTreeSet::new()));
    Endpoint {
        name: name.into(),
        service: "s".into(),
        software_version: None,
        address: "127.0.0.1:9000".parse().expect("an address"),
        domain: domain.into(),
        slots: 8,
        is_draining: false,
        started_unix_ms: 0,
        entry_number: 1,
        held: held.collect(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// Returns the endpoint with copies of models on its disk.
pub(crate) fn with_disk(mut endpoint: Endpoint, models: &[&str]) -> Endpoint {
    endpoint.on_disk = models.iter().map(|model| ModelName::from(*model)).collect();
    endpoint
}

/// Returns the endpoint with adapters of a model loaded.
pub(crate) fn with_adapters(mut endpoint: Endpoint, model: &str, adapters: &[&str]) -> Endpoint {
    let adapters = adapters.iter().map(|adapter| AdapterName::from(*adapter)).collect();
    endpoint.held.insert(model.into(), adapters);
    endpoint
}

/// Returns the capacity of engines that hold three of ten models and two adapters.
pub(crate) fn spec() -> Arc<EngineSpec> {
    let model = ModelSpec {
        weights_mb: 70,
        adapter_mb: 1,
        adapters: 4,
        remote_load_ms: 6_000,
        disk_load_ms: 800,
        memory_load_ms: 400,
    };
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"].map(ModelName::from);
    Arc::new(EngineSpec {
        slots: 8,
        memory_mb: 220,
        adapter_slots: 2,
        cache_tokens: None,
        models: names.into_iter().map(|name| (name, model)).collect(),
    })
}

/// Returns a route of host `h` to service `s`.
pub(crate) fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: 15_000,
        objective_ms: 2_500,
        pause_ms: 300,
        attempts: 2,
        priority: 1,
        is_public: false,
        targets: vec![Target { service: "s".into(), weight: 1 }],
    }
}
