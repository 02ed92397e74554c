//! How often daemons sync with the leader.
//!
//! The leader may run on the smallest VM, and each answer takes some 0.1 ms of a core. The
//! intervals grow with the number of daemons, so that it sends some 300 answers a second at most.

/// Interval between two syncs while requests wait for a model, for few daemons.
const WAITING_MS: u64 = 60;
/// Interval between two syncs while no request waits, for few daemons.
const IDLE_MS: u64 = 300;
/// Shortest interval between two syncs, for few daemons.
const MIN_MS: u64 = 20;
/// Interval while requests wait, per daemon, for many daemons.
const DAEMON_WAITING_MS: u64 = 3;
/// Interval while no request waits, per daemon, for many daemons.
const DAEMON_IDLE_MS: u64 = 5;
/// Shortest interval, per two daemons, for many daemons. A sync that comes so soon is caused by a
/// request that begins to wait, and one daemon in sixty has one such request a second.
const TWO_DAEMONS_MIN_MS: u64 = 1;

/// Whatever the number of daemons, a daemon syncs within the shortest bound on the age of what it
/// must know divided by this, so that the leader's relayed data is in time even if one sync fails.
const BOUND_PART: u64 = 2;

/// How often daemons sync with the leader.
#[derive(Debug, Clone, Copy)]
pub struct SyncIntervals {
    daemons: u64,
    bound_ms: u64,
}

impl SyncIntervals {
    /// Creates the intervals for a number of daemons whose data must not be older than a bound.
    pub fn new(daemons: usize, bound_ms: u64) -> Self {
        Self { daemons: daemons as u64, bound_ms }
    }

    /// Returns the shortest interval between two syncs, also after one that failed.
    pub fn min_ms(self) -> u64 {
        MIN_MS.max(self.daemons / 2 * TWO_DAEMONS_MIN_MS).min(self.max_ms())
    }

    /// Returns the time until the next sync while requests wait for a model.
    pub fn waiting_ms(self) -> u64 {
        WAITING_MS.max(self.daemons * DAEMON_WAITING_MS).min(self.max_ms())
    }

    /// Returns the time until the next sync while no request waits.
    pub fn idle_ms(self) -> u64 {
        IDLE_MS.max(self.daemons * DAEMON_IDLE_MS).min(self.max_ms())
    }

    fn max_ms(self) -> u64 {
        self.bound_ms / BOUND_PART
    }
}
