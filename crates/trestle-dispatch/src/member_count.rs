//! Counts the daemons that share budgets: one leader's clients, and those of all leaders.
//!
//! Each daemon uses an equal part of a fixed number of further sends, so a count that is too low
//! allows too many. The load that this answers: half of 295 daemons restart at once, and their
//! leader with them. It has received reports of few of them yet, and if each of these took a part
//! by that count, they would spend the budget several times over. So a leader uses the counts in the
//! lease rows of the holders before it until its own count has had the time to be complete. It takes
//! over groups one after the other, and may not have heard of other leaders yet, so the rows of all
//! groups count from the first one on.

use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time after its last report for which a daemon counts.
pub const COUNTED_MS: u64 = 30_000;
/// Time in which all daemons find a new leader if there was none before.
const COMPLETE_MS: u64 = 2_000;

/// The number of daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DaemonCount {
    /// Daemons that sync with this leader.
    pub members: usize,
    /// Daemons that sync with any leader; those share budgets.
    pub all: usize,
}

/// The daemons that sync with one leader.
#[derive(Debug, Default)]
pub struct MemberCount {
    last_report_ms: BTreeMap<VmName, u64>,
    began_ms: u64,
}

impl MemberCount {
    /// Starts counting.
    pub fn begin(&mut self, now_ms: u64) {
        *self = Self { last_report_ms: BTreeMap::new(), began_ms: now_ms };
    }

    /// Records a report of a daemon.
    pub fn report_received(&mut self, daemon: VmName, now_ms: u64) {
        self.last_report_ms.insert(daemon, now_ms);
    }

    /// Returns the number of daemons that have reported lately; 0 while the count may be
    /// incomplete.
    ///
    /// `others` is the number that sync with the other leaders that are known. `previous` are the
    /// numbers that the holders before counted: those of the groups that this leader holds, and
    /// those of all groups; `None` while not all their rows have been read.
    pub fn count(
        &mut self,
        others: usize,
        previous: Option<DaemonCount>,
        now_ms: u64,
    ) -> DaemonCount {
        self.last_report_ms.retain(|_, last_report_ms| now_ms < *last_report_ms + COUNTED_MS);
        let is_recent = now_ms < self.began_ms + COUNTED_MS;
        let previous = previous.filter(|_| is_recent).unwrap_or_default();
        if previous.members == 0 && !self.is_complete(now_ms) {
            return DaemonCount::default();
        }
        let members = self.last_report_ms.len().max(previous.members);
        let all = if members == 0 { 0 } else { (members + others).max(previous.all) };
        DaemonCount { members, all }
    }

    /// Returns whether all daemons have had the time to report to this leader.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        now_ms >= self.began_ms + COMPLETE_MS
    }

    /// Returns the number of daemons counted so far, complete or not.
    pub fn current(&self) -> usize {
        self.last_report_ms.len()
    }
}
