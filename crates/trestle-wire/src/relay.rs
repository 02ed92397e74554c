//! What the leader passes on of the store, so that others need not follow it.

use crate::placements::WirePosition;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_dispatch::{endpoint::Endpoint, mirror::News};

/// What a daemon already has of the store.
#[trestle_macros::wire]
pub struct WireHave {
    /// The version of its list of endpoints; 0 if it has none.
    pub endpoints: u64,
    /// The configuration that it has in force; 0 if none is.
    pub config: u64,
    /// How much it has of the leader's logs, by service.
    pub placements: BTreeMap<String, WirePosition>,
}

/// What has changed since.
#[trestle_macros::wire]
pub struct WireRelay {
    /// Changes of the list of endpoints.
    pub endpoints: WireNews,
    /// The configuration as the store holds it, if it is newer.
    pub config: Option<Vec<u8>>,
    /// Time since the store last answered the sender about both.
    pub age_ms: u64,
}

/// Changes of the list of endpoints.
#[trestle_macros::wire]
pub struct WireNews {
    /// Whether what is not named does not exist.
    pub is_whole: bool,
    /// Entries that were written, with their versions.
    pub written: Vec<(WireEndpoint, u64)>,
    /// Entries that were removed, with the versions of their removal.
    pub removed: Vec<(String, u64)>,
    /// The version that this leads up to.
    pub version: u64,
}

/// One live endpoint, without what it holds and the copies of weights near it: leaders read
/// those from the store, and tell where models are by their logs.
#[trestle_macros::wire]
pub struct WireEndpoint {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

impl From<News<Endpoint>> for WireNews {
    fn from(news: News<Endpoint>) -> Self {
        let written = news.written.into_iter().map(|(_, row, at)| (WireEndpoint::from(row), at));
        Self {
            is_whole: news.is_whole,
            written: written.collect(),
            removed: news.removed,
            version: news.version,
        }
    }
}

impl From<WireNews> for News<Endpoint> {
    fn from(wire: WireNews) -> Self {
        let written = wire
            .written
            .into_iter()
            .map(|(endpoint, at)| (endpoint.name.clone(), Endpoint::from(endpoint), at));
        Self {
            is_whole: wire.is_whole,
            written: written.collect(),
            removed: wire.removed,
            version: wire.version,
        }
    }
}

impl From<Endpoint> for WireEndpoint {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            name: endpoint.name.to_string(),
            service: endpoint.service.to_string(),
            address: endpoint.address,
            domain: endpoint.domain.to_string(),
            slots: endpoint.slots,
            is_leaving: endpoint.is_leaving,
        }
    }
}

impl From<WireEndpoint> for Endpoint {
    fn from(wire: WireEndpoint) -> Self {
        Self {
            name: wire.name.into(),
            service: wire.service.into(),
            address: wire.address,
            domain: wire.domain.into(),
            slots: wire.slots,
            is_leaving: wire.is_leaving,
            entry_number: 0,
            held: Default::default(),
            in_memory: Default::default(),
            on_disk: Default::default(),
        }
    }
}
