//! Configuration after its check.

use crate::{
    file::{
        ClassEntry, ConfigFile, EngineEntry, FencingEntry, ModelEntry, ServiceEntry, TenantEntry,
    },
    window,
};
use std::collections::BTreeMap;
use trestle_core::{
    catalog::{Catalog, EngineSpec, Fencing, ModelSpec},
    names::{DomainName, EndpointName, ModelName, TeamName},
};

/// Configuration that was checked.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Config {
    /// Models and engines.
    pub catalog: Catalog,
    /// URL of each engine, such as `http://ip:port`.
    pub engine_urls: BTreeMap<EndpointName, String>,
    /// Offset of the operators' local time from UTC, in minutes.
    pub utc_offset_minutes: i32,
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// Tenants, by name.
    pub tenants: BTreeMap<TeamName, Tenant>,
    /// Tenant of each token, by the token's SHA-256 in lowercase hexadecimal.
    pub tokens: BTreeMap<String, TeamName>,
    /// Adapters, by name.
    pub adapters: BTreeMap<String, Adapter>,
    /// Plain services, by name.
    pub services: BTreeMap<String, Service>,
}

/// Class of requests.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Class {
    /// Urgency of the class; 0 is the most urgent.
    pub urgency: u8,
    /// Time until the complete answer is due if a request names no deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Tenant: a group of callers with limits of its own.
#[trestle_macros::plain]
pub struct Tenant {
    /// Classes that the tenant's callers may name; the first applies if they name none.
    pub classes: Vec<String>,
    /// Maximum number of the tenant's requests that one daemon handles at once.
    pub max_concurrent: usize,
}

/// Adapter of a model.
#[trestle_macros::plain]
pub struct Adapter {
    /// Name of the model that the adapter belongs to.
    pub base: ModelName,
}

/// Plain service.
#[trestle_macros::plain]
pub struct Service {
    /// Servers of the service, by name.
    pub endpoints: BTreeMap<EndpointName, ServiceEndpoint>,
    /// HTTP methods of calls that may run twice.
    pub repeatable_methods: Vec<String>,
    /// Name of the header that holds the idempotency key of a call that must not run twice.
    pub idempotency_header: String,
    /// Maximum number of calls that run at one server at once.
    pub slots: usize,
}

/// Server of a plain service.
#[trestle_macros::plain]
pub struct ServiceEndpoint {
    /// Failure domain of the server.
    pub domain: DomainName,
    /// URL of the server, such as `http://ip:port`.
    pub url: String,
}

/// Model and adapter that a caller's `model` field names.
#[trestle_macros::plain]
pub struct Target {
    /// Model that has to be loaded.
    pub model: ModelName,
    /// Adapter to apply to the model; `None` if the caller named the model itself.
    pub adapter: Option<String>,
}

impl Config {
    /// Returns what the name in a caller's `model` field stands for, a model or an adapter; `None`
    /// if there is neither.
    pub fn target(&self, name: &str) -> Option<Target> {
        if let Some(adapter) = self.adapters.get(name) {
            return Some(Target { model: adapter.base.clone(), adapter: Some(name.to_owned()) });
        }
        let (model, _) = self.catalog.models.get_key_value(name)?;
        Some(Target { model: model.clone(), adapter: None })
    }

    /// Returns the configuration with its version set; `before` is the configuration that was in
    /// force until now.
    #[must_use]
    pub fn at_version(mut self, version: u64, before: &Self) -> Self {
        self.catalog = self.catalog.at_version(version, &before.catalog);
        self
    }
}

impl From<ConfigFile> for Config {
    fn from(file: ConfigFile) -> Self {
        let engine_urls =
            file.engines.iter().map(|(name, engine)| (name.as_str().into(), engine.url.clone()));
        let tokens = file.tenants.iter().flat_map(|(name, tenant)| {
            let digests = tenant.token_sha256.iter();
            digests.map(|digest| (digest.to_lowercase(), TeamName::from(name.as_str())))
        });
        Self {
            engine_urls: engine_urls.collect(),
            utc_offset_minutes: file.utc_offset_minutes,
            tokens: tokens.collect(),
            catalog: Catalog {
                idle_per_wait: file.idle_per_wait,
                full_speed_loads: file.weight_store.full_speed_loads,
                models: convert(file.models),
                engines: convert(file.engines),
                ..Catalog::default()
            },
            classes: convert(file.classes),
            tenants: convert(file.tenants),
            adapters: file
                .adapters
                .into_iter()
                .map(|(name, adapter)| (name, Adapter { base: adapter.base.into() }))
                .collect(),
            services: convert(file.services),
        }
    }
}

fn convert<K, V, W>(entries: BTreeMap<String, W>) -> BTreeMap<K, V>
where
    K: From<String> + Ord,
    V: From<W>,
{
    entries.into_iter().map(|(name, entry)| (name.into(), entry.into())).collect()
}

impl From<ClassEntry> for Class {
    fn from(entry: ClassEntry) -> Self {
        Self { urgency: entry.urgency, deadline_ms: entry.deadline_ms }
    }
}

impl From<TenantEntry> for Tenant {
    fn from(entry: TenantEntry) -> Self {
        Self { classes: entry.classes, max_concurrent: entry.max_concurrent }
    }
}

impl From<EngineEntry> for EngineSpec {
    fn from(entry: EngineEntry) -> Self {
        Self {
            domain: entry.domain.into(),
            memory_bytes: entry.memory_bytes,
            slots: entry.slots,
            fencing: match entry.fencing {
                FencingEntry::Checked => Fencing::Checked,
                FencingEntry::Ignored => Fencing::Ignored,
            },
        }
    }
}

impl From<ModelEntry> for ModelSpec {
    fn from(entry: ModelEntry) -> Self {
        Self {
            memory_bytes: entry.memory_bytes,
            max_replicas: entry.max_replicas,
            load_ms: entry.load_ms,
            service_ms: entry.service_ms,
            keep_ms: entry.keep_ms,
            windows: entry.windows.iter().filter_map(|window| window::parse(window).ok()).collect(),
        }
    }
}

impl From<ServiceEntry> for Service {
    fn from(entry: ServiceEntry) -> Self {
        let endpoints = entry.endpoints.into_iter().map(|(name, endpoint)| {
            let server = ServiceEndpoint { domain: endpoint.domain.into(), url: endpoint.url };
            (name.into(), server)
        });
        Self {
            endpoints: endpoints.collect(),
            repeatable_methods: entry.repeatable_methods,
            idempotency_header: entry.idempotency_header,
            slots: entry.slots,
        }
    }
}
