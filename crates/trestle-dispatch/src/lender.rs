//! What a leader has of each team's limit, to lend to daemons.
//!
//! The load that this answers: callers of a team who sit unevenly, half of them perhaps at one
//! daemon, beside a team that sends many times its limit. Who asks first gets it, a request at a
//! time, so nothing lies at daemons that do not need it; a team without any left costs others
//! nothing but the question.

use crate::quota::QuotaPlan;
use std::collections::BTreeMap;
use trestle_core::names::{DomainName, TeamName};

/// Time over which what was refused counts against those that ask next: they stand in line
/// behind it.
const REFUSED_COUNTS_MS: f64 = 1_000.0;
/// Part of a bucket that another leader gets at most.
const MOST_GIVEN: f64 = 0.5;
/// Time for which other leaders are not asked again that had nothing to give.
const NOTHING_GIVEN_MS: u64 = 150;

/// What a leader has of each team's limit.
#[derive(Debug, Default)]
pub struct Lender {
    by_team: BTreeMap<TeamName, Bucket>,
    /// Groups whose parts are earned, with the tokens of their leases.
    groups: BTreeMap<DomainName, u64>,
    /// Since when.
    since_ms: u64,
}

#[derive(Debug)]
struct Bucket {
    units: f64,
    at_ms: u64,
    /// What was refused lately, fading.
    refused: f64,
    /// When other leaders may be asked again.
    ask_others_ms: u64,
}

/// What becomes of a question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loan {
    /// So many units may be spent.
    Lent(u64),
    /// There are too few.
    Refused {
        /// Time until there will be enough, for whoever asked.
        in_ms: u64,
    },
}

impl Lender {
    /// Sets which groups this daemon leads, with the tokens of their leases. What is earned for
    /// a further group starts at nothing; with a group that is lost goes what lay in its bucket.
    pub fn set_groups(&mut self, groups: BTreeMap<DomainName, u64>, now_ms: u64) {
        if groups == self.groups {
            return;
        }
        let is_kept = |(group, token): (&DomainName, &u64)| groups.get(group) == Some(token);
        let before = self.groups.len();
        let kept = self.groups.iter().filter(|held| is_kept(*held)).count();
        for bucket in self.by_team.values_mut() {
            bucket.units *= kept as f64 / before.max(1) as f64;
            // What is not settled yet is given up: it may have been earned by another.
            bucket.at_ms = now_ms;
        }
        self.groups = groups;
        self.since_ms = now_ms;
    }

    /// Whether this daemon lends.
    pub fn lends(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Lends a team's daemon some units.
    pub fn lend(&mut self, team: &TeamName, units: u64, plan: &QuotaPlan, now_ms: u64) -> Loan {
        let groups = self.groups.len();
        let bucket = self.settled(team, plan, now_ms);
        let wanted = units as f64;
        if bucket.units >= wanted {
            bucket.units -= wanted;
            return Loan::Lent(units);
        }
        let earned = plan.units_per_ms * groups as f64;
        let missing = wanted - bucket.units + bucket.refused;
        bucket.refused += wanted;
        Loan::Refused { in_ms: (missing / earned.max(f64::MIN_POSITIVE)).ceil() as u64 }
    }

    /// Takes that a refused question was met after all, by what another leader gave.
    pub fn met(&mut self, team: &TeamName, units: u64) {
        if let Some(bucket) = self.by_team.get_mut(team) {
            bucket.refused = (bucket.refused - units as f64).max(0.0);
        }
    }

    /// What another leader gets that has too little.
    pub fn give(&mut self, team: &TeamName, units: u64, plan: &QuotaPlan, now_ms: u64) -> u64 {
        let bucket = self.settled(team, plan, now_ms);
        let given = (bucket.units * MOST_GIVEN).min(units as f64).floor();
        bucket.units -= given;
        given as u64
    }

    /// Takes what another leader gave.
    pub fn receive(&mut self, team: &TeamName, units: u64, plan: &QuotaPlan, now_ms: u64) {
        self.settled(team, plan, now_ms).units += units as f64;
    }

    /// How much to ask of other leaders for somebody who wants so much, if they may be asked:
    /// what is missing, and as much again for the next.
    pub fn to_ask_others(
        &mut self,
        team: &TeamName,
        units: u64,
        plan: &QuotaPlan,
        now_ms: u64,
    ) -> Option<u64> {
        let bucket = self.settled(team, plan, now_ms);
        (now_ms >= bucket.ask_others_ms).then_some(2 * units)
    }

    /// Notes that other leaders had nothing to give.
    pub fn nothing_given(&mut self, team: &TeamName, now_ms: u64) {
        if let Some(bucket) = self.by_team.get_mut(team) {
            bucket.ask_others_ms = now_ms + NOTHING_GIVEN_MS;
        }
    }

    /// A team's bucket with everything in it that was earned until now.
    fn settled(&mut self, team: &TeamName, plan: &QuotaPlan, now_ms: u64) -> &mut Bucket {
        let (groups, since_ms) = (self.groups.len() as f64, self.since_ms);
        let new = || Bucket { units: 0.0, at_ms: since_ms, refused: 0.0, ask_others_ms: 0 };
        let bucket = self.by_team.entry(team.clone()).or_insert_with(new);
        let passed_ms = now_ms.saturating_sub(bucket.at_ms) as f64;
        let earned = plan.units_per_ms * groups * passed_ms;
        bucket.units = (bucket.units + earned).min(plan.most_units * groups);
        bucket.refused *= (-passed_ms / REFUSED_COUNTS_MS).exp();
        bucket.at_ms = now_ms;
        bucket
    }
}
