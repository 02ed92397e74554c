//! Requests under which endpoints crashed, as daemons report them to each other.

use trestle_dispatch::{crashes::CrashReport, endpoint::Incarnation, fingerprint::Fingerprint};

/// Crashes of endpoints under one request.
#[trestle_macros::wire]
pub struct WireCrashReport {
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Last crashes of endpoints under the request.
    pub ends: Vec<WireEndpointCrash>,
    /// Whether the request had a complete answer, which shows that it crashes no endpoint.
    pub is_served: bool,
}

/// Crash of one incarnation of an endpoint.
#[trestle_macros::wire]
pub struct WireEndpointCrash {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which the incarnation started, in Unix milliseconds on the endpoint's own clock.
    pub born_ms: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// All restricted requests, which are rejected or run one attempt at a time; sent to a daemon that
/// lacks some of them.
#[trestle_macros::wire]
pub struct WireRestrictedRequests {
    /// Reports on the requests.
    pub crashes: Vec<WireCrashReport>,
    /// Number of the last change, which the daemon sends with its next sync request.
    pub number: u64,
}

impl From<CrashReport> for WireCrashReport {
    fn from(report: CrashReport) -> Self {
        let crashes = report.crashes.into_iter().map(|(incarnation, age_ms)| WireEndpointCrash {
            endpoint: incarnation.name.to_string(),
            born_ms: incarnation.started_unix_ms,
            age_ms,
        });
        Self {
            request: *report.request.as_bytes(),
            ends: crashes.collect(),
            is_served: report.is_served,
        }
    }
}

impl From<WireCrashReport> for CrashReport {
    fn from(wire: WireCrashReport) -> Self {
        let crashes = wire.ends.into_iter().map(|crash| {
            (
                Incarnation { name: crash.endpoint.into(), started_unix_ms: crash.born_ms },
                crash.age_ms,
            )
        });
        Self {
            request: Fingerprint::from_bytes(wire.request),
            crashes: crashes.collect(),
            is_served: wire.is_served,
        }
    }
}
