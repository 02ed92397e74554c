//! The units of teams' limits that were allocated to one daemon and that it can still spend.
//!
//! The load that this answers: a team that sends many times its limit. After its leader has
//! refused units, this daemon rejects the team's requests without asking the leader again, until
//! units may be available.

use std::collections::{BTreeMap, VecDeque};
use trestle_core::names::TeamName;

/// Longest time for which a daemon does not request units again after a refusal: other daemons may
/// not have used theirs, and the limit may be raised.
const MAX_EXHAUSTED_MS: u64 = 500;

/// The units that one daemon may spend, by team.
#[derive(Debug, Default)]
pub struct Allowances {
    by_team: BTreeMap<TeamName, Allowance>,
}

#[derive(Debug, Default)]
struct Allowance {
    parts: VecDeque<Part>,
    /// Time until which the leader allocates nothing more.
    exhausted_until_ms: u64,
}

/// Units that may be spent until a time.
#[derive(Debug, Clone, Copy)]
struct Part {
    units: u64,
    until_ms: u64,
}

impl Allowances {
    /// Spends units. Returns the time until which the request must have been sent, or `None` if
    /// too few units are available.
    pub fn spend(&mut self, team: &TeamName, units: u64, now_ms: u64) -> Option<u64> {
        let allowance = self.by_team.get_mut(team)?;
        allowance.parts.retain(|part| now_ms < part.until_ms);
        let available: u64 = allowance.parts.iter().map(|part| part.units).sum();
        if available < units {
            return None;
        }
        let (mut left, mut until_ms) = (units, u64::MAX);
        while left > 0 {
            let part = allowance.parts.front_mut()?;
            let spent = part.units.min(left);
            part.units -= spent;
            left -= spent;
            until_ms = until_ms.min(part.until_ms);
            if part.units == 0 {
                allowance.parts.pop_front();
            }
        }
        Some(until_ms)
    }

    /// Adds units that were allocated, or that were reserved for a request and not needed.
    pub fn add(&mut self, team: &TeamName, units: u64, until_ms: u64) {
        let allowance = self.by_team.entry(team.clone()).or_default();
        allowance.parts.push_back(Part { units, until_ms });
    }

    /// Records that the leader refused units, and the time after which it may have units again.
    pub fn refused(&mut self, team: &TeamName, in_ms: u64, now_ms: u64) {
        let allowance = self.by_team.entry(team.clone()).or_default();
        allowance.exhausted_until_ms = now_ms + in_ms.min(MAX_EXHAUSTED_MS);
    }

    /// Returns the time for which nothing more is allocated to a team, if it has no units left.
    pub fn exhausted_for_ms(&self, team: &TeamName, now_ms: u64) -> Option<u64> {
        let allowance = self.by_team.get(team)?;
        let has_some = allowance.parts.iter().any(|part| now_ms < part.until_ms);
        let for_ms = allowance.exhausted_until_ms.saturating_sub(now_ms);
        (!has_some && for_ms > 0).then_some(for_ms)
    }
}
