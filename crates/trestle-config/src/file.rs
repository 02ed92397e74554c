//! Entries of the operators' configuration file, as they are written.

use std::collections::BTreeMap;

/// Content of a configuration file.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, ClassEntry>,
    /// Tenants, by name.
    pub tenants: BTreeMap<String, TenantEntry>,
    /// Idle accelerator time that one unit of waiting for a cold model is worth.
    ///
    /// With a larger number, models stay loaded longer without requests: fewer requests wait for a
    /// cold start, and accelerators are idle for more hours.
    #[serde(default = "default_idle_per_wait")]
    pub idle_per_wait: u64,
    /// Offset of the operators' local time from UTC, in minutes.
    #[serde(default)]
    pub utc_offset_minutes: i32,
    /// Properties of the weight store.
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

/// Entry of a class of requests.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Urgency of the class; 0 is the most urgent.
    pub urgency: u8,
    /// Time until the complete answer is due if a request names no deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Entry of a tenant.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct TenantEntry {
    /// SHA-256 of each token of the tenant's callers, in hexadecimal.
    pub token_sha256: Vec<String>,
    /// Classes that the tenant's callers may name; the first applies if they name none.
    pub classes: Vec<String>,
    /// Maximum number of the tenant's requests that one daemon handles at once.
    pub max_concurrent: usize,
}

/// Entry of the weight store.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WeightStoreEntry {
    /// Number of concurrent loads that the weight store serves at full speed.
    pub full_speed_loads: usize,
}

impl Default for WeightStoreEntry {
    fn default() -> Self {
        Self { full_speed_loads: 4 }
    }
}

/// Entry of a model engine.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Failure domain of the engine.
    pub domain: String,
    /// URL of the engine, such as `http://ip:port`.
    pub url: String,
    /// Memory for models.
    pub memory_bytes: u64,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// How the engine treats fencing numbers: `checked` if it refuses orders with old ones,
    /// `ignored` if not.
    pub fencing: FencingEntry,
}

/// How an engine treats fencing numbers.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum FencingEntry {
    /// The engine refuses orders with an old number.
    Checked,
    /// The engine ignores the numbers.
    Ignored,
}

/// Entry of a model.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Memory that the model and its adapters occupy while it is loaded.
    pub memory_bytes: u64,
    /// Maximum number of replicas.
    pub max_replicas: usize,
    /// Average time of a load, in milliseconds.
    pub load_ms: u64,
    /// Average time of a request, in milliseconds.
    pub service_ms: u64,
    /// Time without a request after which the model is unloaded, in milliseconds. It applies until
    /// enough gaps between the model's requests are known.
    pub keep_ms: u64,
    /// Recurring times at which the model is expected to be needed and kept loaded.
    #[serde(default)]
    pub windows: Vec<WindowEntry>,
}

/// Entry of a recurring time window.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WindowEntry {
    /// Days of the week, such as `mon`; empty for all days.
    #[serde(default)]
    pub weekdays: Vec<String>,
    /// Months, from 1 to 12; empty for all months.
    #[serde(default)]
    pub months: Vec<u8>,
    /// Time of day at which the window opens, such as `06:30`.
    pub from: String,
    /// Time of day at which the window closes, such as `09:30` or `24:00`.
    pub to: String,
}

/// Entry of an adapter.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Name of the model that the adapter belongs to.
    pub base: String,
}

/// Entry of a plain service.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Servers of the service, by name.
    pub endpoints: BTreeMap<String, ServiceEndpointEntry>,
    /// HTTP methods of calls that may run twice.
    pub repeatable_methods: Vec<String>,
    /// Name of the header that holds the idempotency key of a call that must not run twice.
    pub idempotency_header: String,
    /// Maximum number of calls that run at one server at once.
    pub slots: usize,
}

/// Entry of a server of a plain service.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceEndpointEntry {
    /// Failure domain of the server.
    pub domain: String,
    /// URL of the server, such as `http://ip:port`.
    pub url: String,
}
