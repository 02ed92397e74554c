//! Endpoints, their incarnations, and what an engine reports of itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use trestle_core::names::{
    AdapterName, DomainName, EndpointName, ModelName, ServiceName, SoftwareVersion,
};

/// Models in an engine's memory, each with its loaded adapters.
pub type Held = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// Identifies one start of an endpoint. A server that restarts may keep its name, but has lost
/// all state of its earlier incarnation.
#[trestle_macros::key]
pub struct Incarnation {
    /// The endpoint's name.
    pub name: EndpointName,
    /// Start time in Unix milliseconds by the endpoint's own clock; 0 if the endpoint does not
    /// report it. The clock may be set back, so this value only distinguishes incarnations and
    /// does not order them.
    pub started_unix_ms: u64,
}

/// One live endpoint: one incarnation of an engine, or of a server of a plain service.
#[trestle_macros::plain]
pub struct Endpoint {
    /// Name of the endpoint; unique among servers.
    pub name: EndpointName,
    /// Start time in Unix milliseconds by the endpoint's own clock; 0 if it does not report it.
    pub started_unix_ms: u64,
    /// The service to which the endpoint belongs.
    pub service: ServiceName,
    /// Version of the endpoint's software; `None` while this daemon does not know it.
    pub software_version: Option<SoftwareVersion>,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: DomainName,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and must not receive new requests.
    pub is_draining: bool,
    /// Number of the message with which the endpoint wrote this entry; later messages have higher
    /// numbers.
    pub entry_number: u64,
    /// Models in the endpoint's memory, with their adapters.
    pub held: Held,
    /// Models with a copy in the memory of the endpoint's host; these load fastest.
    pub in_memory: BTreeSet<ModelName>,
    /// Models with a copy on the endpoint's disk.
    pub on_disk: BTreeSet<ModelName>,
}

impl Endpoint {
    /// Returns the incarnation that this entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.name.clone(), started_unix_ms: self.started_unix_ms }
    }

    /// Returns whether the endpoint reports its start time.
    pub fn has_start_time(&self) -> bool {
        self.started_unix_ms != 0
    }

    /// Returns whether two entries are equal apart from their message numbers.
    pub fn differs_only_in_number(&self, other: &Self) -> bool {
        let renumbered = Self { entry_number: other.entry_number, ..self.clone() };
        renumbered == *other
    }

    /// Returns a copy of the entry without loaded models and local copies.
    pub fn identity(&self) -> Self {
        Self {
            name: self.name.clone(),
            started_unix_ms: self.started_unix_ms,
            service: self.service.clone(),
            software_version: self.software_version.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            is_draining: self.is_draining,
            entry_number: self.entry_number,
            held: Held::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
        }
    }
}

/// The answer of an engine to a status probe; some hundred milliseconds old when it is used.
#[trestle_macros::plain]
pub struct EngineReport {
    /// Start time of the engine in Unix milliseconds by its own clock; 0 if it does not report
    /// it.
    pub started_unix_ms: u64,
    /// Models in the engine's memory, with their adapters.
    pub held: Held,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Number of orders that the engine has accepted since it started.
    pub order_count: u64,
    /// Number of requests that wait at the engine.
    pub waiting: u32,
    /// Number of requests that run at the engine.
    pub running: u32,
}

impl EngineReport {
    /// Returns whether the report is from this incarnation of an engine, as far as both have
    /// start times.
    pub fn is_from(&self, endpoint: &Endpoint) -> bool {
        self.started_unix_ms == endpoint.started_unix_ms
            || self.started_unix_ms == 0
            || endpoint.started_unix_ms == 0
    }
}
