//! What a daemon that was told to stop still takes.

use std::sync::atomic::{AtomicU64, Ordering};
use trestle_config::entry_settings::Bounds;

/// Time in which the balancer notices: it asks once a second and believes the second
/// answer.
pub(crate) const NOTICE_MS: u64 = 2_600;
/// Time that is kept for requests that have been sent: most streams end within it.
const RUN_MS: u64 = 2_500;
/// Part of the time for a stop that is left unused, so that the end comes by itself.
const SPARE_MS: u64 = 300;

/// Whether and since when the daemon is stopping.
#[derive(Debug)]
pub(crate) struct Stopping {
    /// 0 before.
    since_ms: AtomicU64,
    limit_ms: AtomicU64,
}

impl Stopping {
    /// The daemon has not been told to stop.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self { since_ms: AtomicU64::new(0), limit_ms: AtomicU64::new(limit_ms(bounds)) }
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.limit_ms.store(limit_ms(bounds), Ordering::SeqCst);
    }

    /// Notes that the daemon was told to stop.
    pub(crate) fn begin(&self, now_ms: u64) {
        self.since_ms.store(now_ms.max(1), Ordering::SeqCst);
    }

    /// Whether the daemon was told to stop.
    pub(crate) fn has_begun(&self) -> bool {
        self.since_ms() > 0
    }

    /// Time from the signal until the daemon ends, whatever is left.
    pub(crate) fn limit_ms(&self) -> u64 {
        self.limit_ms.load(Ordering::SeqCst)
    }

    /// Whether a request that may take so long can still be taken.
    ///
    /// Everything is taken while the balancer has not noticed; what comes later must
    /// be over before the stop is.
    pub(crate) fn can_take(&self, now_ms: u64, allowed_ms: u64) -> bool {
        let since_ms = self.since_ms();
        let is_noticed = since_ms > 0 && now_ms > since_ms + NOTICE_MS;
        !is_noticed || now_ms + allowed_ms < since_ms + self.limit_ms()
    }

    /// Whether a request that has not been sent to an endpoint can still be.
    pub(crate) fn can_begin(&self, now_ms: u64) -> bool {
        let since_ms = self.since_ms();
        since_ms == 0 || now_ms < since_ms + self.limit_ms().saturating_sub(RUN_MS)
    }

    fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::SeqCst)
    }
}

fn limit_ms(bounds: &Bounds) -> u64 {
    (bounds.stop_s * 1_000).saturating_sub(SPARE_MS)
}
