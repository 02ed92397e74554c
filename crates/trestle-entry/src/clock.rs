//! The daemon's clock: elapsed time that includes times in which its VM was suspended.
//!
//! The monotonic clock stands still during a suspension. A leader that was suspended for longer
//! than its lease would resume believing that it still leads, and all its information would look
//! recent. So leases, ages, waits and deadlines use this clock, which no change of the time of day
//! affects.

use rustix::time::{ClockId, clock_gettime};

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// Time since the creation of this clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_ms: u64,
}

impl Clock {
    /// Returns a clock that starts now.
    pub(crate) fn start() -> Self {
        Self { started_ms: since_boot_ms() }
    }

    /// Returns the time since the start, in ms.
    pub(crate) fn now_ms(&self) -> u64 {
        since_boot_ms().saturating_sub(self.started_ms)
    }
}

fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MS_PER_S + now.tv_nsec as u64 / NS_PER_MS
}
