//! The daemon's clock: time that has passed, also while its VM was suspended.
//!
//! The monotonic clock stands still meanwhile. A leader that was suspended for longer than its
//! lease would wake believing that it still leads, and whatever it knows would look fresh. So
//! leases, ages, waiting and deadlines all go by this clock, which no setting of the time of
//! day moves.

use rustix::time::{ClockId, clock_gettime};

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// Time since this was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { started_ms: since_boot_ms() }
    }

    /// Time since its start.
    pub(crate) fn now_ms(&self) -> u64 {
        since_boot_ms().saturating_sub(self.started_ms)
    }
}

fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MS_PER_S + now.tv_nsec as u64 / NS_PER_MS
}
