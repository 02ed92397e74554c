//! Contents of the store that leaders relay to daemons, so that these need not follow the store
//! themselves.

use crate::{
    departures::WireDeparture,
    placements::WirePlacementPosition,
    store_version::{NoEra, WireStoreVersion},
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use trestle_dispatch::{
    compressed_text::CompressedText,
    config_texts::{CompressedPiece, ConfigUpdate},
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry},
    store_version::StoreVersion,
};

/// Contents of the store and of a leader that a daemon has already.
#[trestle_macros::wire]
pub struct WireSyncPosition {
    /// Version of the daemon's list of endpoints; its number is 0 if it has none.
    pub endpoints: WireStoreVersion,
    /// Version of the configuration in force at the daemon; 0 if none is.
    pub config: u64,
    /// Number of the last change of restricted requests that the daemon has received from this
    /// leader.
    pub refused: u64,
    /// Whether the daemon has received the departures of endpoints from this leader.
    pub departures: bool,
    /// Positions of the daemon in the leader's placement logs, by service.
    pub placements: BTreeMap<String, WirePlacementPosition>,
}

/// Changes of the store since the position that a daemon has reported.
#[trestle_macros::wire]
pub struct WireRelay {
    /// Changes of the list of endpoints.
    pub endpoints: WireListUpdate,
    /// Endpoints that are draining or gone; empty unless the daemon syncs with this leader for the
    /// first time.
    pub departures: Vec<WireDeparture>,
    /// Configuration; `None` if the daemon has the newest.
    pub config: Option<WireConfigUpdate>,
    /// Time since the store last answered the sender about both the list and the configuration, in
    /// milliseconds.
    pub age_ms: u64,
    /// Time since the sender sent the query whose answer proved its configuration to be the newest,
    /// in milliseconds; `None` if the configuration has no teams, whose keys depend on this proof.
    pub config_age_ms: Option<u64>,
}

/// Newer configuration, complete or as changes.
#[trestle_macros::wire]
pub enum WireConfigUpdate {
    /// Complete text, compressed.
    Whole(Vec<u8>),
    /// Changes since a version that the daemon has.
    Changes {
        /// Version that the changes apply to.
        from: u64,
        /// Pieces that make up the new text, in their order.
        pieces: Vec<WireConfigPiece>,
    },
}

/// Piece of a new text.
#[trestle_macros::wire]
pub enum WireConfigPiece {
    /// Bytes copied from the old text: their offset and their number.
    Kept(usize, usize),
    /// New bytes, compressed.
    New(Vec<u8>),
}

/// Update of the list of endpoints.
#[trestle_macros::wire]
pub struct WireListUpdate {
    /// Whether this is the complete list, so that endpoints not named in it do not exist.
    pub is_whole: bool,
    /// Entries that were written, each with its version.
    pub written: Vec<(WireListedEndpoint, WireStoreVersion)>,
    /// Keys of the entries that were removed, each with the version of its removal.
    pub removed: Vec<(String, WireStoreVersion)>,
    /// Version of the list after this update.
    pub version: WireStoreVersion,
}

/// Live endpoint without its models, the copies of weights on its host, and the version of its
/// software. Leaders read those from the store, and report where models are by their placement logs.
#[trestle_macros::wire]
pub struct WireListedEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Time at which the endpoint started, in Unix milliseconds on its own clock; 0 if it does not
    /// report one.
    pub born_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Maximum number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint is draining.
    pub is_leaving: bool,
    /// Number of the endpoint's message that reported this entry; later messages have higher
    /// numbers.
    pub entry_number: u64,
}

impl From<ConfigUpdate> for WireConfigUpdate {
    fn from(update: ConfigUpdate) -> Self {
        match update {
            ConfigUpdate::Whole(text) => Self::Whole(text.as_bytes().to_vec()),
            ConfigUpdate::Changes { from, pieces } => {
                let pieces = pieces.iter().cloned().map(WireConfigPiece::from).collect();
                Self::Changes { from, pieces }
            }
        }
    }
}

impl From<WireConfigUpdate> for ConfigUpdate {
    fn from(wire: WireConfigUpdate) -> Self {
        match wire {
            WireConfigUpdate::Whole(text) => Self::Whole(CompressedText::from_bytes(text)),
            WireConfigUpdate::Changes { from, pieces } => {
                let pieces = pieces.into_iter().map(CompressedPiece::from).collect();
                Self::Changes { from, pieces: Arc::new(pieces) }
            }
        }
    }
}

impl From<CompressedPiece> for WireConfigPiece {
    fn from(piece: CompressedPiece) -> Self {
        match piece {
            CompressedPiece::Kept(from, length) => Self::Kept(from, length),
            CompressedPiece::New(compressed) => Self::New(compressed.as_bytes().to_vec()),
        }
    }
}

impl From<WireConfigPiece> for CompressedPiece {
    fn from(wire: WireConfigPiece) -> Self {
        match wire {
            WireConfigPiece::Kept(from, length) => Self::Kept(from, length),
            WireConfigPiece::New(bytes) => Self::New(CompressedText::from_bytes(bytes)),
        }
    }
}

impl WireListUpdate {
    /// Creates the wire form of an update for a daemon of an earlier release.
    pub fn without_eras(update: ListUpdate) -> Self {
        Self::new(update, WireStoreVersion::without_era)
    }

    fn new(update: ListUpdate, to_wire: impl Fn(StoreVersion) -> WireStoreVersion) -> Self {
        let written = update.written.into_iter();
        let written =
            written.map(|entry| (WireListedEndpoint::from(entry.endpoint), to_wire(entry.version)));
        let removed = update.removed.into_iter().map(|(key, version)| (key, to_wire(version)));
        Self {
            is_whole: update.is_whole,
            written: written.collect(),
            removed: removed.collect(),
            version: to_wire(update.version),
        }
    }
}

impl From<ListUpdate> for WireListUpdate {
    fn from(update: ListUpdate) -> Self {
        Self::new(update, WireStoreVersion::from)
    }
}

impl TryFrom<WireListUpdate> for ListUpdate {
    type Error = NoEra;

    fn try_from(wire: WireListUpdate) -> Result<Self, NoEra> {
        let written = wire.written.into_iter().map(|(endpoint, version)| {
            Ok(ListedEntry {
                key: endpoint.name.clone(),
                endpoint: Endpoint::from(endpoint),
                version: version.try_into()?,
            })
        });
        let removed = wire.removed.into_iter().map(|(key, version)| Ok((key, version.try_into()?)));
        Ok(Self {
            is_whole: wire.is_whole,
            written: written.collect::<Result<_, NoEra>>()?,
            removed: removed.collect::<Result<_, NoEra>>()?,
            version: wire.version.try_into()?,
        })
    }
}

impl From<Endpoint> for WireListedEndpoint {
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

impl From<WireListedEndpoint> for Endpoint {
    fn from(wire: WireListedEndpoint) -> Self {
        Self {
            name: wire.name.into(),
            started_unix_ms: wire.born_ms,
            service: wire.service.into(),
            software_version: None,
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
