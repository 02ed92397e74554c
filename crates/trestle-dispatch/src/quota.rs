//! Enforcement of a team's limit by leaders that allocate units and daemons that spend them.
//!
//! The number of units that all daemons spend in any window is bounded by construction:
//! - A leader earns one part of the limit for each group whose lease it holds, into a bucket that
//!   starts empty when it acquires the lease. A lease has one holder at a time, so all leaders
//!   together earn at most the limit, also when leaders change, crash or are cut off.
//! - A leader deducts units from its bucket before it allocates them, and the daemon must spend
//!   them soon. So the units that are spent in a window were earned in that window, were in buckets
//!   before, or were allocated shortly before.
//! - Leaders transfer to each other units that they have, never units that they will earn.
//!
//! The agreed bounds allow some excess beyond the limit itself. It is divided here: half of it
//! enlarges the buckets, a quarter covers units that were allocated just before a window, and the
//! rest is left for requests in transit.

use crate::team::TeamLimit;

/// Part of the agreed excess by which buckets are larger than the team's burst.
const BUCKET_PART: f64 = 0.5;
/// Part of the agreed excess that may be allocated before a window and be spent in it.
const ALLOCATED_PART: f64 = 0.25;
/// Longest time for which allocated units can be spent. A daemon that is cut off from leaders
/// uses them up in this time.
const MAX_VALID_MS: f64 = 1_000.0;

/// The agreed bounds on how far teams may exceed their limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window over which requests are counted.
    pub window_ms: u64,
    /// Part of a limit by which it may be exceeded in a window.
    pub excess: f64,
    /// Units by which a limit may be exceeded in addition.
    pub fixed: f64,
}

/// The share of one group's leader in a team's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPlan {
    /// Units that the leader of one group earns per millisecond.
    pub units_per_ms: f64,
    /// Largest number of units in the bucket of one group.
    pub most_units: f64,
}

impl Default for QuotaBounds {
    /// Returns the bounds that apply where none are agreed.
    fn default() -> Self {
        Self { window_ms: 10_000, excess: 0.1, fixed: 0.0 }
    }
}

impl QuotaBounds {
    /// Returns the units in a window that the bounds allow beyond the limit.
    fn excess_units(&self, limit: &TeamLimit) -> f64 {
        let allowed = limit.units_per_ms() * self.window_ms as f64 + limit.burst as f64;
        allowed * self.excess + self.fixed
    }

    /// Returns the time for which allocated units of a limit can be spent, from when they were
    /// requested.
    pub fn valid_ms(&self, limit: &TeamLimit) -> u64 {
        let allocated_units = self.excess_units(limit) * ALLOCATED_PART;
        (allocated_units / limit.units_per_ms()).min(MAX_VALID_MS) as u64
    }
}

impl QuotaPlan {
    /// Returns the plan for a limit that the leaders of `groups` groups share.
    pub fn new(limit: &TeamLimit, bounds: &QuotaBounds, groups: usize) -> Self {
        let groups = groups.max(1) as f64;
        let most_units = limit.burst as f64 + bounds.excess_units(limit) * BUCKET_PART;
        Self { units_per_ms: limit.units_per_ms() / groups, most_units: most_units / groups }
    }
}
