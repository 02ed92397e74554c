//! How many daemons share budgets, as a leader counts those that ask it.
//!
//! Each daemon takes an equal part of a fixed number of further sends, so a count that is too
//! low gives too much away. The load that this answers: half of 295 daemons start anew at once,
//! and their leader with them. It has heard of few of them yet, and if each of these took a
//! part by that count, they would spend the budget several times over. So a leader goes by the
//! count in the lease that it took over until its own has had the time to be complete.

use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time for which a daemon counts after it last told something.
const COUNTED_MS: u64 = 30_000;
/// Time in which all daemons find a new leader where there was none before.
const COMPLETE_MS: u64 = 2_000;

/// Daemons that ask one leader.
#[derive(Debug, Default)]
pub struct MemberCount {
    told_ms: BTreeMap<VmName, u64>,
    began_ms: u64,
    before: usize,
}

impl MemberCount {
    /// Begins to count; the leases that were taken over say this number.
    pub fn begin(&mut self, before: usize, now_ms: u64) {
        *self = Self { told_ms: BTreeMap::new(), began_ms: now_ms, before };
    }

    /// Notes that a daemon has told something.
    pub fn report_received(&mut self, daemon: VmName, now_ms: u64) {
        self.told_ms.insert(daemon, now_ms);
    }

    /// Daemons that told something lately; 0 while that cannot be complete.
    pub fn count(&mut self, now_ms: u64) -> usize {
        self.told_ms.retain(|_, told_ms| now_ms < *told_ms + COUNTED_MS);
        let before = if now_ms < self.began_ms + COUNTED_MS { self.before } else { 0 };
        if before == 0 && now_ms < self.began_ms + COMPLETE_MS {
            return 0;
        }
        self.told_ms.len().max(before)
    }

    /// Daemons that ask now, complete or not.
    pub fn current(&self) -> usize {
        self.told_ms.len()
    }
}
