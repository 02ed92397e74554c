//! What the leader passes on of the store, so that others need not follow it.

use crate::{departures::WireDeparture, placements::WirePosition};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use trestle_dispatch::{
    compressed_text::CompressedText,
    config_texts::{CompressedPiece, ConfigUpdate},
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry},
};

/// What a daemon already has of the store.
#[trestle_macros::wire]
pub struct WireHave {
    /// The version of its list of endpoints; 0 if it has none.
    pub endpoints: u64,
    /// The configuration that it has in force; 0 if none is.
    pub config: u64,
    /// Number of the last change that it has heard of requests that are refused, from this leader.
    pub refused: u64,
    /// Whether it has heard from this leader of endpoints that left or are gone.
    pub departures: bool,
    /// How much it has of the leader's logs, by service.
    pub placements: BTreeMap<String, WirePosition>,
}

/// What has changed since.
#[trestle_macros::wire]
pub struct WireRelay {
    /// Changes of the list of endpoints.
    pub endpoints: WireNews,
    /// Endpoints that left or are gone, for a daemon that asks for the first time.
    pub departures: Vec<WireDeparture>,
    /// The configuration, if it is newer.
    pub config: Option<WireConfig>,
    /// Time since the store last answered the sender about both.
    pub age_ms: u64,
    /// Time since the sender asked the question by whose answer its configuration was the
    /// newest, where teams' keys depend on it.
    pub config_age_ms: Option<u64>,
}

/// What a daemon is told of the configuration.
#[trestle_macros::wire]
pub enum WireConfig {
    /// Its text, packed.
    Whole(Vec<u8>),
    /// What has changed since a version.
    Changes {
        /// That version.
        from: u64,
        /// What makes the new text out of it.
        pieces: Vec<WirePiece>,
    },
}

/// One part of a text.
#[trestle_macros::wire]
pub enum WirePiece {
    /// Bytes of the old text: where they begin, and how many.
    Kept(usize, usize),
    /// Bytes that are new, packed.
    New(Vec<u8>),
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
    /// When it started, by its own clock.
    pub born_ms: u64,
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
    /// Number of the message by which it entered this.
    pub entry_number: u64,
}

impl From<ConfigUpdate> for WireConfig {
    fn from(news: ConfigUpdate) -> Self {
        match news {
            ConfigUpdate::Whole(text) => Self::Whole(text.as_bytes().to_vec()),
            ConfigUpdate::Changes { from, pieces } => {
                let pieces = pieces.iter().cloned().map(WirePiece::from).collect();
                Self::Changes { from, pieces }
            }
        }
    }
}

impl From<WireConfig> for ConfigUpdate {
    fn from(wire: WireConfig) -> Self {
        match wire {
            WireConfig::Whole(text) => Self::Whole(CompressedText::from_bytes(text)),
            WireConfig::Changes { from, pieces } => {
                let pieces = pieces.into_iter().map(CompressedPiece::from).collect();
                Self::Changes { from, pieces: Arc::new(pieces) }
            }
        }
    }
}

impl From<CompressedPiece> for WirePiece {
    fn from(piece: CompressedPiece) -> Self {
        match piece {
            CompressedPiece::Kept(from, length) => Self::Kept(from, length),
            CompressedPiece::New(packed) => Self::New(packed.as_bytes().to_vec()),
        }
    }
}

impl From<WirePiece> for CompressedPiece {
    fn from(wire: WirePiece) -> Self {
        match wire {
            WirePiece::Kept(from, length) => Self::Kept(from, length),
            WirePiece::New(bytes) => Self::New(CompressedText::from_bytes(bytes)),
        }
    }
}

impl From<ListUpdate> for WireNews {
    fn from(news: ListUpdate) -> Self {
        let written = news.written.into_iter();
        let written = written.map(|entry| (WireEndpoint::from(entry.endpoint), entry.version));
        Self {
            is_whole: news.is_whole,
            written: written.collect(),
            removed: news.removed,
            version: news.version,
        }
    }
}

impl From<WireNews> for ListUpdate {
    fn from(wire: WireNews) -> Self {
        let written = wire.written.into_iter().map(|(endpoint, version)| ListedEntry {
            key: endpoint.name.clone(),
            endpoint: Endpoint::from(endpoint),
            version,
        });
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
            born_ms: endpoint.started_unix_ms,
            service: endpoint.service.to_string(),
            address: endpoint.address,
            domain: endpoint.domain.to_string(),
            slots: endpoint.slots,
            is_leaving: endpoint.is_draining,
            entry_number: endpoint.entry_number,
        }
    }
}

impl From<WireEndpoint> for Endpoint {
    fn from(wire: WireEndpoint) -> Self {
        Self {
            name: wire.name.into(),
            started_unix_ms: wire.born_ms,
            service: wire.service.into(),
            address: wire.address,
            domain: wire.domain.into(),
            slots: wire.slots,
            is_draining: wire.is_leaving,
            entry_number: wire.entry_number,
            held: Default::default(),
            in_memory: Default::default(),
            on_disk: Default::default(),
        }
    }
}
