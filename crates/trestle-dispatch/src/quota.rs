//! How a team's limit is kept by leaders that lend and daemons that spend.
//!
//! What all daemons pass on in any window stays within what is agreed on, by construction:
//! - A leader earns one part of the limit for each group whose lease it holds, into a bucket that
//!   starts empty when it takes the lease. A lease has one holder at a time, so all leaders
//!   together earn the limit at most, whoever leads, dies or is cut off.
//! - What a leader lends it takes from its bucket first, and the borrower must spend it soon. So
//!   what is spent in a window was earned in that window, lay in buckets before, or was lent
//!   shortly before.
//! - Leaders give each other what they have, never what they will earn.
//!
//! Beyond the limit itself, what is agreed on allows some excess. That is shared out here: half
//! of it fills buckets, a quarter covers what was lent just before a window, the rest is left for
//! requests that are on their way.

use crate::team::TeamLimit;

/// Part of the agreed excess by which buckets are larger than the team's burst.
const BUCKET_PART: f64 = 0.5;
/// Part of it that may have been lent before a window and be spent in it.
const LENT_PART: f64 = 0.25;
/// Longest time for which something lent can be spent; a daemon that is cut off lives on it.
const MOST_VALID_MS: f64 = 1_000.0;

/// What is agreed on for all teams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window over which requests are counted.
    pub window_ms: u64,
    /// Part by which a limit may be exceeded.
    pub excess: f64,
    /// Units beyond that.
    pub fixed: f64,
}

/// What the leader of one group has of a team's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPlan {
    /// What the leader of one group earns.
    pub units_per_ms: f64,
    /// Most that lies in the bucket of one group.
    pub most_units: f64,
}

impl Default for QuotaBounds {
    /// What limits are kept to where nothing is agreed on.
    fn default() -> Self {
        Self { window_ms: 10_000, excess: 0.1, fixed: 0.0 }
    }
}

impl QuotaBounds {
    /// Units in a window beyond what a limit allows by itself.
    fn excess_units(&self, limit: &TeamLimit) -> f64 {
        let allowed = limit.units_per_ms() * self.window_ms as f64 + limit.burst as f64;
        allowed * self.excess + self.fixed
    }

    /// Time for which something lent of a limit can be spent, from when it was asked for.
    pub fn valid_ms(&self, limit: &TeamLimit) -> u64 {
        let lent_units = self.excess_units(limit) * LENT_PART;
        (lent_units / limit.units_per_ms()).min(MOST_VALID_MS) as u64
    }
}

impl QuotaPlan {
    /// The plan for a limit that the leaders of so many groups share.
    pub fn new(limit: &TeamLimit, bounds: &QuotaBounds, groups: usize) -> Self {
        let groups = groups.max(1) as f64;
        let most_units = limit.burst as f64 + bounds.excess_units(limit) * BUCKET_PART;
        Self { units_per_ms: limit.units_per_ms() / groups, most_units: most_units / groups }
    }
}
