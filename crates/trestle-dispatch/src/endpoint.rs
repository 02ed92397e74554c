//! What is known of one live endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use trestle_core::names::{AdapterName, DomainName, EndpointName, ModelName, ServiceName};

/// Models that an engine holds, with their adapters.
pub type Held = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// One start of an endpoint: a server that starts again may keep its name, and knows nothing of
/// what it did before.
#[trestle_macros::key]
pub struct Incarnation {
    /// The endpoint.
    pub name: EndpointName,
    /// When it started, in Unix milliseconds on its own clock; 0 if it does not say. The clock
    /// may be set back, so this only tells starts apart.
    pub started_unix_ms: u64,
}

/// One live endpoint: one start of an engine, or of a server of a plain service.
#[trestle_macros::plain]
pub struct Endpoint {
    /// Its name, which no other server has.
    pub name: EndpointName,
    /// When it started, in Unix milliseconds on its own clock; 0 if it does not say.
    pub started_unix_ms: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub is_draining: bool,
    /// Number of the message by which it entered this; later ones are higher.
    pub entry_number: u64,
    /// Models that it holds, with their adapters.
    pub held: Held,
    /// Models with a copy in the memory of its host, which load fastest.
    pub in_memory: BTreeSet<ModelName>,
    /// Models with a copy on its disk.
    pub on_disk: BTreeSet<ModelName>,
}

impl Endpoint {
    /// This start of it.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.name.clone(), started_unix_ms: self.started_unix_ms }
    }

    /// Whether it says when it started.
    pub fn has_start_time(&self) -> bool {
        self.started_unix_ms != 0
    }

    /// Whether two identities differ in nothing but the numbers of their messages.
    pub fn differs_only_in_number(&self, other: &Self) -> bool {
        let renumbered = Self { entry_number: other.entry_number, ..self.clone() };
        renumbered == *other
    }

    /// The same without what it holds and has copies of.
    pub fn identity(&self) -> Self {
        Self {
            name: self.name.clone(),
            started_unix_ms: self.started_unix_ms,
            service: self.service.clone(),
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

/// What an engine says of itself when it is asked; some hundred ms old.
#[trestle_macros::plain]
pub struct EngineReport {
    /// When the engine started, by its own clock; 0 if it does not say.
    pub started_unix_ms: u64,
    /// Models that it holds, with their adapters.
    pub held: Held,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub order_count: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

impl EngineReport {
    /// Whether it is of this start of an engine, as far as both say when that was.
    pub fn is_from(&self, endpoint: &Endpoint) -> bool {
        self.started_unix_ms == endpoint.started_unix_ms
            || self.started_unix_ms == 0
            || endpoint.started_unix_ms == 0
    }
}
