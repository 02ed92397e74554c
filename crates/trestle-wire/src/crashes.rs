//! Requests under which endpoints crashed, as daemons report them to each other.

use std::iter;
use trestle_dispatch::{
    crashes::{CrashReport, ReportedCrash},
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    suspicions::{IncarnationDigest, ReportedSuspicion, SuspicionEvidence},
};

/// Endpoint name of the entry in [`WireCrashReport::ends`] that holds the age of the last complete
/// answer. Daemons that do not know this entry take it for a crash, but count no crash of a request
/// that is reported as served.
const ANSWER_ENTRY: &str = "";
/// Endpoint name of the entries in [`WireCrashReport::ends`] that hold suspicions, after that of the
/// answer: each has a digest of the incarnation in place of its start time. Daemons that do not know
/// these entries read the first entry with this name, if the request was served, and skip the others.
const SUSPICION_ENTRY: &str = ANSWER_ENTRY;
/// Bit of the age in such an entry if the incarnation has survived the attempts until then.
const SURVIVED_BIT: u64 = 1 << 63;

/// Crashes of endpoints under one request.
#[trestle_macros::wire]
pub struct WireCrashReport {
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Last crashes of endpoints under the request, the entry [`ANSWER_ENTRY`] after a complete
    /// answer, and the entries [`SUSPICION_ENTRY`]. A second entry of the same incarnation holds the
    /// time since the request was last sent there, if that was before the crash; daemons that do not
    /// know it skip it.
    pub ends: Vec<WireEndpointCrash>,
    /// Whether the request had a complete answer. It clears the crashes of endpoints to which the
    /// request was sent before the answer.
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

/// Reports on requests under which endpoints crashed, sent to a daemon that lacks some of them.
#[trestle_macros::wire]
pub struct WireRestrictedRequests {
    /// Reports on the requests.
    pub crashes: Vec<WireCrashReport>,
    /// Number of the last change, which the daemon sends with its next sync request.
    pub number: u64,
}

impl From<CrashReport> for WireCrashReport {
    fn from(report: CrashReport) -> Self {
        let crashes = report.crashes.iter().flat_map(|crash| {
            let sent_ago_ms = Some(crash.sent_ago_ms).filter(|ago_ms| *ago_ms != crash.ago_ms);
            let ages_ms = iter::once(crash.ago_ms).chain(sent_ago_ms);
            ages_ms.map(|age_ms| WireEndpointCrash {
                endpoint: crash.endpoint.name.to_string(),
                born_ms: crash.endpoint.started_unix_ms,
                age_ms,
            })
        });
        let answer = report.answered_ago_ms.map(|age_ms| WireEndpointCrash {
            endpoint: ANSWER_ENTRY.to_owned(),
            born_ms: 0,
            age_ms,
        });
        let suspicions = report.suspicions.iter().map(|suspicion| WireEndpointCrash {
            endpoint: SUSPICION_ENTRY.to_owned(),
            born_ms: suspicion.endpoint.number(),
            age_ms: match suspicion.evidence {
                SuspicionEvidence::Silent { sent_ago_ms } => sent_ago_ms,
                SuspicionEvidence::Survived { until_ago_ms } => until_ago_ms | SURVIVED_BIT,
            },
        });
        Self {
            request: *report.request.as_bytes(),
            is_served: answer.is_some(),
            ends: crashes.chain(answer).chain(suspicions).collect(),
        }
    }
}

impl From<WireCrashReport> for CrashReport {
    fn from(wire: WireCrashReport) -> Self {
        let (unnamed, entries): (Vec<WireEndpointCrash>, Vec<WireEndpointCrash>) =
            wire.ends.into_iter().partition(|entry| entry.endpoint == ANSWER_ENTRY);
        let crashes = crashes_from(entries);
        let answer =
            unnamed.iter().find(|entry| IncarnationDigest::from_number(entry.born_ms).is_none());
        let answered_ago_ms = answer.map(|answer| answer.age_ms);
        let suspicions = unnamed.iter().filter_map(|entry| {
            let endpoint = IncarnationDigest::from_number(entry.born_ms)?;
            let ago_ms = entry.age_ms & !SURVIVED_BIT;
            let evidence = match entry.age_ms & SURVIVED_BIT {
                0 => SuspicionEvidence::Silent { sent_ago_ms: ago_ms },
                _ => SuspicionEvidence::Survived { until_ago_ms: ago_ms },
            };
            Some(ReportedSuspicion { endpoint, evidence })
        });
        let suspicions = suspicions.collect();
        // A daemon that reports no time of the answer means an answer after all its crashes.
        let last_sent_ago_ms = || crashes.iter().map(|crash| crash.sent_ago_ms).min();
        let answered_ago_ms =
            if wire.is_served { answered_ago_ms.or_else(last_sent_ago_ms) } else { None };
        let request = Fingerprint::from_bytes(wire.request);
        Self { request, crashes, suspicions, answered_ago_ms }
    }
}

/// Joins the entries of each incarnation.
fn crashes_from(entries: Vec<WireEndpointCrash>) -> Vec<ReportedCrash> {
    let mut crashes: Vec<ReportedCrash> = Vec::new();
    for entry in entries {
        let endpoint = Incarnation { name: entry.endpoint.into(), started_unix_ms: entry.born_ms };
        match crashes.iter_mut().find(|crash| crash.endpoint == endpoint) {
            Some(crash) => crash.sent_ago_ms = entry.age_ms,
            None => crashes.push(ReportedCrash {
                endpoint,
                ago_ms: entry.age_ms,
                sent_ago_ms: entry.age_ms,
            }),
        }
    }
    crashes
}
