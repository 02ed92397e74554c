//! What daemons report to each other about requests under which endpoints crashed.

use crate::{endpoint::Incarnation, fingerprint::Fingerprint, suspicions::ReportedSuspicion};

/// What one daemon reports to another about the crash of an endpoint under a request.
#[trestle_macros::plain]
pub struct ReportedCrash {
    /// The incarnation that crashed.
    pub endpoint: Incarnation,
    /// Time since the crash was observed, in milliseconds.
    pub ago_ms: u64,
    /// Time since the request was last sent there, in milliseconds.
    pub sent_ago_ms: u64,
}

/// What one daemon reports to another about one request.
#[trestle_macros::plain]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The most recent incarnations that crashed under the request.
    pub crashes: Vec<ReportedCrash>,
    /// Attempts that ended without an answer at endpoints which have given no sign of life since.
    pub suspicions: Vec<ReportedSuspicion>,
    /// How many milliseconds ago the request was last answered completely; `None` if it was not.
    pub answered_ago_ms: Option<u64>,
}

impl CrashReport {
    /// Returns the number of crashes that no answer has cleared.
    pub fn counted(&self) -> usize {
        self.crashes.iter().filter(|crash| self.counts(crash)).count()
    }

    /// Returns whether no answer has cleared a crash of this report.
    pub(super) fn counts(&self, crash: &ReportedCrash) -> bool {
        self.answered_ago_ms.is_none_or(|answered_ago_ms| crash.sent_ago_ms < answered_ago_ms)
    }
}
