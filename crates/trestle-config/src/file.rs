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
    /// Idle accelerator time that one unit of waiting for a cold model is worth.
    ///
    /// The larger the number, the longer models are kept: it weighs tail
    /// cold-start time against idle accelerator hours.
    #[serde(default = "default_idle_per_wait")]
    pub idle_per_wait: u64,
    /// Difference of the operators' clocks to UTC.
    #[serde(default)]
    pub utc_offset_minutes: i32,
    /// The weight store.
    #[serde(default)]
    pub weight_store: WeightStoreEntry,
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

fn default_idle_per_wait() -> u64 {
    60
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

/// The weight store.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WeightStoreEntry {
    /// Loads that it serves at full speed at once.
    pub full_speed_loads: usize,
}

impl Default for WeightStoreEntry {
    fn default() -> Self {
        Self { full_speed_loads: 4 }
    }
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
    /// Time without a request after which it is unloaded, until its gaps are known.
    pub keep_ms: u64,
    /// Times at which it is expected to be needed, and kept loaded.
    #[serde(default)]
    pub windows: Vec<WindowEntry>,
}

/// A time that comes again.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WindowEntry {
    /// Days of the week, as `mon`; all where none is named.
    #[serde(default)]
    pub weekdays: Vec<String>,
    /// Months, 1 to 12; all where none is named.
    #[serde(default)]
    pub months: Vec<u8>,
    /// When it opens, as `06:30`.
    pub from: String,
    /// When it closes, as `09:30`, or `24:00`.
    pub to: String,
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
