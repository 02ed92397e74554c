//! Which requests a daemon still accepts after a stop signal.

use std::sync::atomic::{AtomicU64, Ordering};
use trestle_config::entry_settings::Bounds;

/// Time in which the balancer notices that the daemon is not ready: it asks once a second and acts
/// on the second answer.
pub(crate) const BALANCER_NOTICE_MS: u64 = 2_600;
/// Time reserved for requests that have been sent to an endpoint; most streams end within it.
const SENT_REQUESTS_MS: u64 = 2_500;
/// Unused part of the time for a stop, so that the process terminates on its own.
const RESERVE_MS: u64 = 300;

/// Whether the daemon is stopping, and since when.
#[derive(Debug)]
pub(crate) struct Stopping {
    /// The time of the stop signal; 0 before it.
    since_ms: AtomicU64,
    limit_ms: AtomicU64,
}

impl Stopping {
    /// Returns the state before a stop signal.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self { since_ms: AtomicU64::new(0), limit_ms: AtomicU64::new(limit_ms(bounds)) }
    }

    /// Applies changed bounds from the settings.
    pub(crate) fn apply_bounds(&self, bounds: &Bounds) {
        self.limit_ms.store(limit_ms(bounds), Ordering::SeqCst);
    }

    /// Records a stop signal.
    pub(crate) fn begin(&self, now_ms: u64) {
        self.since_ms.store(now_ms.max(1), Ordering::SeqCst);
    }

    /// Returns whether there was a stop signal.
    pub(crate) fn has_begun(&self) -> bool {
        self.since_ms() > 0
    }

    /// Returns the time from the signal until the daemon terminates, even with open requests.
    pub(crate) fn limit_ms(&self) -> u64 {
        self.limit_ms.load(Ordering::SeqCst)
    }

    /// Returns whether a request can be accepted that may take up to `allowed_ms`.
    ///
    /// Every request is accepted until the balancer has noticed the stop; a later one must end
    /// before the daemon terminates.
    pub(crate) fn can_accept(&self, now_ms: u64, allowed_ms: u64) -> bool {
        let since_ms = self.since_ms();
        let has_balancer_noticed = since_ms > 0 && now_ms > since_ms + BALANCER_NOTICE_MS;
        !has_balancer_noticed || now_ms + allowed_ms < since_ms + self.limit_ms()
    }

    /// Returns whether a request that has not been sent to an endpoint can still be sent.
    pub(crate) fn can_send(&self, now_ms: u64) -> bool {
        let since_ms = self.since_ms();
        since_ms == 0 || now_ms < since_ms + self.limit_ms().saturating_sub(SENT_REQUESTS_MS)
    }

    fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::SeqCst)
    }
}

fn limit_ms(bounds: &Bounds) -> u64 {
    bounds.stop_s.saturating_mul(1_000).saturating_sub(RESERVE_MS)
}
