//! How often daemons tell the leader what callers ask for.
//!
//! The leader may run on the smallest VM, and an answer takes it some 0.1 ms of a
//! core. So that it answers some 300 times a second at most, the times grow with
//! the number of daemons.

/// Time between two tellings while requests wait for a model, for few daemons.
const WAITING_MS: u64 = 60;
/// The same while nothing waits.
const CALM_MS: u64 = 300;
/// Shortest time between two tellings, for few daemons.
const LEAST_MS: u64 = 20;
/// What each daemon adds to the time while requests wait.
const DAEMON_WAITING_MS: u64 = 3;
/// What each daemon adds while nothing waits.
const DAEMON_CALM_MS: u64 = 5;
/// What each two daemons add to the shortest time. Questions that come so soon have a request
/// that waits, and a daemon in sixty gets one a second.
const TWO_DAEMONS_LEAST_MS: u64 = 1;

/// Part of the shortest bound on what must be known within which a daemon asks, however many
/// there are: what the leader passes on must come in time, also after one question failed.
const BOUND_PART: u64 = 2;

/// How often daemons tell the leader what callers ask for.
#[derive(Debug, Clone, Copy)]
pub struct SyncIntervals {
    daemons: u64,
    bound_ms: u64,
}

impl SyncIntervals {
    /// The pace of so many daemons that must know everything within a bound.
    pub fn new(daemons: usize, bound_ms: u64) -> Self {
        Self { daemons: daemons as u64, bound_ms }
    }

    /// Shortest time between two tellings, also after one that failed.
    pub fn min_ms(self) -> u64 {
        LEAST_MS.max(self.daemons / 2 * TWO_DAEMONS_LEAST_MS).min(self.longest_ms())
    }

    /// Time until the next telling while requests wait for a model.
    pub fn waiting_ms(self) -> u64 {
        WAITING_MS.max(self.daemons * DAEMON_WAITING_MS).min(self.longest_ms())
    }

    /// Time until the next telling while nothing waits.
    pub fn idle_ms(self) -> u64 {
        CALM_MS.max(self.daemons * DAEMON_CALM_MS).min(self.longest_ms())
    }

    fn longest_ms(self) -> u64 {
        self.bound_ms / BOUND_PART
    }
}
