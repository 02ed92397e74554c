//! The operators' configuration file, as it is written.

use std::collections::BTreeMap;

/// A whole configuration file.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, ClassEntry>,
    /// Tenants, by name.
    pub tenants: BTreeMap<String, TenantEntry>,
    /// Model engines, by name.
    pub engines: BTreeMap<String, EngineEntry>,
    /// Models, by name.
    pub models: BTreeMap<String, ModelEntry>,
    /// Adapters, by name.
    #[serde(default)]
    pub adapters: BTreeMap<String, AdapterEntry>,
    /// Plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceEntry>,
}

/// A class of requests.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// 0 for the most urgent.
    pub urgency: u8,
    /// Time until the whole answer is due, where a request names none.
    pub deadline_ms: u64,
}

/// A tenant.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// SHA-256 of each token of its callers, in hexadecimal.
    pub token_sha256: Vec<String>,
    /// Classes its callers may name; the first where they name none.
    pub classes: Vec<String>,
    /// Requests of its callers that one daemon handles at once.
    pub max_concurrent: usize,
}

/// A model engine.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Its failure domain.
    pub domain: String,
    /// Where it is reached, as `http://ip:port`.
    pub url: String,
    /// Memory for models.
    pub memory_bytes: u64,
    /// Requests that run at once.
    pub slots: usize,
    /// `checked` if it refuses old fencing numbers, `ignored` if not.
    pub fencing: FencingEntry,
}

/// How an engine treats fencing numbers.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum FencingEntry {
    /// Orders with an old number are refused.
    Checked,
    /// Numbers are ignored.
    Ignored,
}

/// A model.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Memory it takes while it is loaded, adapters included.
    pub memory_bytes: u64,
    /// Replicas at most.
    pub max_replicas: usize,
    /// Time a load takes on average.
    pub load_ms: u64,
    /// Time a request takes on average.
    pub service_ms: u64,
    /// Time without a request after which it is unloaded.
    pub keep_ms: u64,
}

/// An adapter of a model.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The model it adapts.
    pub base: String,
}

/// A plain service.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its servers, by name.
    pub endpoints: BTreeMap<String, ServiceEndpointEntry>,
    /// HTTP methods of calls that may be repeated.
    pub repeatable_methods: Vec<String>,
    /// The header that carries the idempotency key of a call that may not.
    pub idempotency_header: String,
    /// Calls that run at one server at once.
    pub slots: usize,
}

/// A server of a plain service.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceEndpointEntry {
    /// Its failure domain.
    pub domain: String,
    /// Where it is reached, as `http://ip:port`.
    pub url: String,
}
