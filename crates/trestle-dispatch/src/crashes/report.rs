//! What daemons report to each other about requests under which endpoints crashed.

use super::{MAX_CRASHES, MAX_PART_CRASHES};
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
    /// Returns whether the request, or requests with the part, are rejected at first.
    pub fn is_rejected(&self) -> bool {
        let max_crashes = if self.request.is_part() { MAX_PART_CRASHES } else { MAX_CRASHES };
        self.counted() >= max_crashes
    }

    /// Returns the number of crashes that count: those that no answer has cleared, and of a part only
    /// those under attempts that were sent after the one before.
    pub fn counted(&self) -> usize {
        let latest_ms = self.crashes.iter().map(|crash| crash.sent_ago_ms.max(crash.ago_ms)).max();
        let latest_ms = latest_ms.unwrap_or_default();
        let uncleared = self.crashes.iter().filter(|crash| self.counts(crash));
        let sent_and_at_ms =
            uncleared.map(|crash| (latest_ms - crash.sent_ago_ms, latest_ms - crash.ago_ms));
        counted_ms(sent_and_at_ms.collect(), self.request.is_part()).len()
    }

    /// Returns whether no answer has cleared a crash of this report.
    pub(super) fn counts(&self, crash: &ReportedCrash) -> bool {
        self.answered_ago_ms.is_none_or(|answered_ago_ms| crash.sent_ago_ms < answered_ago_ms)
    }
}

/// Returns the times of the crashes that count, in their order, of those with these times: when the
/// last attempt was sent, and when the crash was observed.
pub(super) fn counted_ms(mut sent_and_at_ms: Vec<(u64, u64)>, is_part: bool) -> Vec<u64> {
    sent_and_at_ms.sort_unstable_by_key(|(_, at_ms)| *at_ms);
    let mut counted: Vec<u64> = Vec::new();
    for (sent_ms, at_ms) in sent_and_at_ms {
        let is_later = counted.last().is_none_or(|last_ms| sent_ms >= *last_ms);
        if is_later || !is_part {
            counted.push(at_ms);
        }
    }
    counted
}
