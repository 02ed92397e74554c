//! What daemons tell each other of requests under which endpoints ended.

use trestle_dispatch::{crashes::CrashReport, endpoint::Incarnation, fingerprint::Fingerprint};

/// What is known of one request.
#[trestle_macros::wire]
pub struct WireCrash {
    /// The digest of the request.
    pub request: [u8; 16],
    /// The last endpoints that ended under it.
    pub ends: Vec<WireEnd>,
    /// Whether it had a whole answer.
    pub is_served: bool,
}

/// The end of one start of an endpoint.
#[trestle_macros::wire]
pub struct WireEnd {
    /// The endpoint.
    pub endpoint: String,
    /// When it had started, by its own clock.
    pub born_ms: u64,
    /// Time since it ended.
    pub age_ms: u64,
}

/// All requests that are refused, as the answer to a daemon that lacks some.
#[trestle_macros::wire]
pub struct WireRefused {
    /// The requests.
    pub crashes: Vec<WireCrash>,
    /// Number of the last change, to be told when asking again.
    pub number: u64,
}

impl From<CrashReport> for WireCrash {
    fn from(report: CrashReport) -> Self {
        let ends = report.crashes.into_iter().map(|(incarnation, age_ms)| WireEnd {
            endpoint: incarnation.name.to_string(),
            born_ms: incarnation.started_unix_ms,
            age_ms,
        });
        Self {
            request: *report.request.as_bytes(),
            ends: ends.collect(),
            is_served: report.is_served,
        }
    }
}

impl From<WireCrash> for CrashReport {
    fn from(wire: WireCrash) -> Self {
        let ends = wire.ends.into_iter().map(|end| {
            (Incarnation { name: end.endpoint.into(), started_unix_ms: end.born_ms }, end.age_ms)
        });
        Self {
            request: Fingerprint::from_bytes(wire.request),
            crashes: ends.collect(),
            is_served: wire.is_served,
        }
    }
}
