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
/// What each two daemons add to the shortest time.
const TWO_DAEMONS_LEAST_MS: u64 = 3;

/// How often daemons tell the leader what callers ask for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    daemons: u64,
}

impl Pace {
    /// The pace of so many daemons.
    pub(crate) fn of(daemons: usize) -> Self {
        Self { daemons: daemons as u64 }
    }

    /// Shortest time between two tellings.
    pub(crate) fn least_ms(self) -> u64 {
        LEAST_MS.max(self.daemons / 2 * TWO_DAEMONS_LEAST_MS)
    }

    /// Time until the next telling while requests wait for a model.
    pub(crate) fn waiting_ms(self) -> u64 {
        WAITING_MS.max(self.daemons * DAEMON_WAITING_MS)
    }

    /// Time until the next telling while nothing waits.
    pub(crate) fn calm_ms(self) -> u64 {
        CALM_MS.max(self.daemons * DAEMON_CALM_MS)
    }
}
