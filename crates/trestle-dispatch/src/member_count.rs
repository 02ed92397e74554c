//! Counts the daemons that share budgets, as one leader's clients.
//!
//! Each daemon uses an equal part of a fixed number of further sends, so a count that is too low
//! allows too many. The load that this answers: half of 295 daemons restart at once, and their
//! leader with them. It has received reports of few of them yet, and if each of these took a part
//! by that count, they would spend the budget several times over. So a leader uses the count in the
//! lease that it took over until its own count has had the time to be complete.

use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time after its last report for which a daemon counts.
const COUNTED_MS: u64 = 30_000;
/// Time in which all daemons find a new leader if there was none before.
const COMPLETE_MS: u64 = 2_000;

/// The daemons that sync with one leader.
#[derive(Debug, Default)]
pub struct MemberCount {
    last_report_ms: BTreeMap<VmName, u64>,
    began_ms: u64,
    previous: usize,
}

impl MemberCount {
    /// Starts counting; `previous` is the count in the leases that were taken over.
    pub fn begin(&mut self, previous: usize, now_ms: u64) {
        *self = Self { last_report_ms: BTreeMap::new(), began_ms: now_ms, previous };
    }

    /// Records a report of a daemon.
    pub fn report_received(&mut self, daemon: VmName, now_ms: u64) {
        self.last_report_ms.insert(daemon, now_ms);
    }

    /// Returns the number of daemons that have reported lately; 0 while the count may be
    /// incomplete.
    pub fn count(&mut self, now_ms: u64) -> usize {
        self.last_report_ms.retain(|_, last_report_ms| now_ms < *last_report_ms + COUNTED_MS);
        let previous = if now_ms < self.began_ms + COUNTED_MS { self.previous } else { 0 };
        if previous == 0 && now_ms < self.began_ms + COMPLETE_MS {
            return 0;
        }
        self.last_report_ms.len().max(previous)
    }

    /// Returns the number of daemons counted so far, complete or not.
    pub fn current(&self) -> usize {
        self.last_report_ms.len()
    }
}
