//! This daemon's shares of the retry budgets of all services, and by how many daemons these are
//! divided.

use crate::{
    member_count::COUNTED_MS,
    retry_share::{RetryBounds, RetryShare, RetryUsage},
};
use std::collections::BTreeMap;
use trestle_core::names::ServiceName;

/// Time for which the largest number of daemons that a leader counted is used. A new leader, or
/// one that lost contact with another leader, counts too few daemons for some seconds.
const COUNT_VALID_MS: u64 = 30_000;
/// Time without an answer of a leader for which this daemon assumes that leaders still count it. It
/// is shorter than the time for which they do.
const COUNTED_WITHOUT_LEADER_MS: u64 = COUNTED_MS - 5_000;

/// This daemon's shares of the retry budgets.
#[derive(Debug)]
pub struct RetryBudgets {
    /// The bounds of each service's budget.
    pub bounds: RetryBounds,
    /// Number of daemons that share budgets; 0 until a leader has counted them.
    pub daemons: usize,
    /// When `daemons` was last set or confirmed.
    confirmed_ms: u64,
    /// When a leader last told a number.
    received_ms: u64,
    by_service: BTreeMap<ServiceName, RetryShare>,
}

impl RetryBudgets {
    /// Returns shares that are empty, of budgets that nobody is known to share.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, daemons: 0, confirmed_ms: 0, received_ms: 0, by_service: BTreeMap::new() }
    }

    /// Records the number of daemons that a leader has counted.
    pub fn record_count(&mut self, daemons: usize, now_ms: u64) {
        self.received_ms = now_ms;
        if daemons >= self.daemons || now_ms > self.confirmed_ms + COUNT_VALID_MS {
            self.daemons = daemons;
            self.confirmed_ms = now_ms;
        }
    }

    /// Records that a caller's request for a service arrived.
    pub fn request_arrived(&mut self, service: &ServiceName, now_ms: u64) {
        self.with_share(service, now_ms, RetryShare::record_request);
    }

    /// Spends one retry of a service's budget. Returns whether the budget allowed it.
    pub fn spend(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        self.with_share(service, now_ms, RetryShare::spend)
    }

    /// Returns a retry to a service's budget that was spent and not made.
    pub fn return_unused(&mut self, service: &ServiceName) {
        self.by_service.entry(service.clone()).or_default().return_unused();
    }

    /// Returns whether a service's budget is certain to allow a retry.
    pub fn has_room(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        self.with_share(service, now_ms, RetryShare::has_room)
    }

    /// Returns what of the daemon's share of a service's budget is used.
    pub fn usage(&mut self, service: &ServiceName, now_ms: u64) -> RetryUsage {
        self.with_share(service, now_ms, RetryShare::usage)
    }

    /// Returns what of the daemon's shares is used, by service.
    pub fn usages(&mut self, now_ms: u64) -> BTreeMap<ServiceName, RetryUsage> {
        let daemons = self.counted_daemons(now_ms);
        let shares = self.by_service.iter_mut();
        shares
            .map(|(service, share)| (service.clone(), share.usage(now_ms, &self.bounds, daemons)))
            .collect()
    }

    fn with_share<R>(
        &mut self,
        service: &ServiceName,
        now_ms: u64,
        f: impl FnOnce(&mut RetryShare, u64, &RetryBounds, usize) -> R,
    ) -> R {
        let daemons = self.counted_daemons(now_ms);
        let share = self.by_service.entry(service.clone()).or_default();
        f(share, now_ms, &self.bounds, daemons)
    }

    /// Returns the number of daemons that share the budgets; 0 while it is not known.
    ///
    /// No leader counts a daemon that has not reported for some time, and the others then divide the
    /// budgets by fewer. So a daemon that is cut off from all leaders stops using its part before.
    fn counted_daemons(&self, now_ms: u64) -> usize {
        let is_counted = now_ms < self.received_ms + COUNTED_WITHOUT_LEADER_MS;
        if is_counted { self.daemons } else { 0 }
    }
}
