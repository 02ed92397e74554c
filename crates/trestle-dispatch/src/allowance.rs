//! What one daemon may spend of a team's limit: what was lent to it and can still be spent.
//!
//! The load that this answers: a team that sends many times its limit. Once its leader has
//! refused, requests are turned away here at once, without another question, until there may be
//! something again.

use std::collections::{BTreeMap, VecDeque};
use trestle_core::names::TeamName;

/// Longest time for which a daemon does not ask again after a refusal: others may have left
/// something, and a limit may be raised.
const MOST_SPENT_OUT_MS: u64 = 500;

/// What one daemon may spend of all teams' limits.
#[derive(Debug, Default)]
pub struct Allowances {
    by_team: BTreeMap<TeamName, Allowance>,
}

#[derive(Debug, Default)]
struct Allowance {
    loans: VecDeque<Part>,
    /// Until when nothing more is lent.
    spent_out_ms: u64,
}

/// Units that can be spent until a time.
#[derive(Debug, Clone, Copy)]
struct Part {
    units: u64,
    until_ms: u64,
}

impl Allowances {
    /// Spends units that are at hand; returns until when the request must have been sent.
    pub fn spend(&mut self, team: &TeamName, units: u64, now_ms: u64) -> Option<u64> {
        let allowance = self.by_team.get_mut(team)?;
        allowance.loans.retain(|part| now_ms < part.until_ms);
        let has: u64 = allowance.loans.iter().map(|part| part.units).sum();
        if has < units {
            return None;
        }
        let (mut left, mut until_ms) = (units, u64::MAX);
        while left > 0 {
            let part = allowance.loans.front_mut()?;
            let taken = part.units.min(left);
            part.units -= taken;
            left -= taken;
            until_ms = until_ms.min(part.until_ms);
            if part.units == 0 {
                allowance.loans.pop_front();
            }
        }
        Some(until_ms)
    }

    /// Takes units that were lent, or not needed after all.
    pub fn add(&mut self, team: &TeamName, units: u64, until_ms: u64) {
        let allowance = self.by_team.entry(team.clone()).or_default();
        allowance.loans.push_back(Part { units, until_ms });
    }

    /// Notes that nothing was lent, and when there may be something again.
    pub fn refused(&mut self, team: &TeamName, in_ms: u64, now_ms: u64) {
        let allowance = self.by_team.entry(team.clone()).or_default();
        allowance.spent_out_ms = now_ms + in_ms.min(MOST_SPENT_OUT_MS);
    }

    /// Time for which nothing more is lent to a team, if it has nothing at hand.
    pub fn exhausted_for_ms(&self, team: &TeamName, now_ms: u64) -> Option<u64> {
        let allowance = self.by_team.get(team)?;
        let has_some = allowance.loans.iter().any(|part| now_ms < part.until_ms);
        let for_ms = allowance.spent_out_ms.saturating_sub(now_ms);
        (!has_some && for_ms > 0).then_some(for_ms)
    }
}
