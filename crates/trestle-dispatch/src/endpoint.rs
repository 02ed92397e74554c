//! What is known of one live endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use trestle_core::names::{AdapterName, DomainName, EndpointName, ModelName, ServiceName};

/// Models that an engine holds, with their adapters.
pub type Held = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// One live endpoint: one start of an engine, or of a server of a plain service.
///
/// A restart is a new endpoint with a new name, also at the same address.
#[trestle_macros::plain]
pub struct Endpoint {
    /// Its name, which appears nowhere else and is never used again.
    pub name: EndpointName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
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
    /// The same without what it holds and has copies of.
    pub fn identity(&self) -> Self {
        Self {
            name: self.name.clone(),
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            is_leaving: self.is_leaving,
            entry_number: 0,
            held: Held::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
        }
    }
}

/// What an engine says of itself when it is asked; some hundred ms old.
#[trestle_macros::plain]
pub struct EngineReport {
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
