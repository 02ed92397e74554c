//! Where streams began, as daemons tell and ask each other.

use std::collections::{BTreeMap, BTreeSet};
use trestle_dispatch::{
    endpoint::Incarnation,
    software_versions::ServiceVersions,
    stream_origins::{StreamKnowledge, StreamOrigin},
};

/// Incarnation of an endpoint.
#[trestle_macros::wire]
pub struct WireIncarnation {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which the incarnation started, in Unix milliseconds on the endpoint's own clock; 0 if
    /// it does not report one.
    pub born_ms: u64,
}

/// Version of the software that began a stream.
#[trestle_macros::wire]
pub struct WireStreamOrigin {
    /// Id of the caller's attempt that brought the first event.
    pub id: String,
    /// Service of the stream.
    pub service: String,
    /// Version that began the stream.
    pub version: String,
    /// Time for which the stream can still be continued, in milliseconds.
    pub valid_for_ms: u64,
}

/// Question where a stream began.
#[trestle_macros::wire]
pub struct WireStreamQuestion {
    /// Id of the caller's attempt that brought the first event.
    pub id: String,
    /// Service of the stream.
    pub service: String,
}

/// Answer to the question where a stream began.
#[trestle_macros::wire]
pub struct WireStreamKnowledge {
    /// Version that began the stream; `None` if the daemon has no record of it.
    pub version: Option<String>,
    /// The only version that streams of the service can have begun at; `None` if there are several
    /// or the daemon does not know.
    pub only_version: Option<String>,
}

impl From<Incarnation> for WireIncarnation {
    fn from(incarnation: Incarnation) -> Self {
        let Incarnation { name, started_unix_ms } = incarnation;
        Self { endpoint: name.to_string(), born_ms: started_unix_ms }
    }
}

impl From<WireIncarnation> for Incarnation {
    fn from(wire: WireIncarnation) -> Self {
        Self { name: wire.endpoint.into(), started_unix_ms: wire.born_ms }
    }
}

impl From<StreamOrigin> for WireStreamOrigin {
    fn from(origin: StreamOrigin) -> Self {
        Self {
            id: origin.id,
            service: origin.service.to_string(),
            version: origin.version.to_string(),
            valid_for_ms: origin.valid_for_ms,
        }
    }
}

impl From<WireStreamOrigin> for StreamOrigin {
    fn from(wire: WireStreamOrigin) -> Self {
        Self {
            id: wire.id,
            service: wire.service.into(),
            version: wire.version.into(),
            valid_for_ms: wire.valid_for_ms,
        }
    }
}

impl From<StreamKnowledge> for WireStreamKnowledge {
    fn from(knowledge: StreamKnowledge) -> Self {
        Self {
            version: knowledge.version.map(|version| version.to_string()),
            only_version: knowledge.only_version.map(|version| version.to_string()),
        }
    }
}

impl From<WireStreamKnowledge> for StreamKnowledge {
    fn from(wire: WireStreamKnowledge) -> Self {
        Self {
            version: wire.version.map(Into::into),
            only_version: wire.only_version.map(Into::into),
        }
    }
}

/// Row of the store that says which versions of its software each service may have streams of.
#[trestle_macros::wire]
pub struct WireVersionsRow {
    /// Era of the store in which the row was written.
    pub era: u64,
    /// Versions by service.
    pub services: BTreeMap<String, BTreeSet<String>>,
}

impl WireVersionsRow {
    /// Creates the row in an era of the store.
    pub fn new(era: u64, versions: &ServiceVersions) -> Self {
        let services = versions.iter().map(|(service, versions)| {
            (service.to_string(), versions.iter().map(ToString::to_string).collect())
        });
        Self { era, services: services.collect() }
    }

    /// Returns the versions by service.
    pub fn into_versions(self) -> ServiceVersions {
        let services = self.services.into_iter().map(|(service, versions)| {
            (service.into(), versions.into_iter().map(Into::into).collect())
        });
        services.collect()
    }
}
