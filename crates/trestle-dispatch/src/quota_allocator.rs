//! What a leader has of each limit that all daemons share, to lend to them: those of teams, and
//! those that endpoints name.
//!
//! The load that this answers: callers of a team who sit unevenly, half of them perhaps at one
//! daemon, beside a team that sends many times its limit. Who asks first gets it, a request at a
//! time, so nothing lies at daemons that do not need it; a team without any left costs others
//! nothing but the question.

use crate::{
    quota::{QuotaBounds, QuotaPlan},
    team::TeamLimit,
};
use std::collections::BTreeMap;
use trestle_core::names::{DomainName, TeamName};

/// Time over which what was refused counts against those that ask next: they stand in line
/// behind it.
const REFUSED_COUNTS_MS: f64 = 1_000.0;
/// Part of a bucket that another leader gets at most.
const MOST_GIVEN: f64 = 0.5;
/// Time for which other leaders are not asked again that had nothing to give.
const NOTHING_GIVEN_MS: u64 = 150;

/// Time after which a lease that has run out leaves nothing behind.
const FORGOTTEN_MS: u64 = 10_000;

/// What a leader has of each limit, by whose it is.
#[derive(Debug)]
pub struct QuotaAllocator<K = TeamName> {
    by_key: BTreeMap<K, Bucket>,
    /// Leases that are held, or were lately, by group.
    leases: BTreeMap<DomainName, GroupLease>,
    /// When they last changed.
    since_ms: u64,
    /// Groups whose leaders share each limit.
    sharing: usize,
}

/// One lease, as far as lending depends on it.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct HeldLease {
    /// Its token.
    pub token: u64,
    /// Until when it is held for certain.
    pub until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct GroupLease {
    held: HeldLease,
    /// Since when it is no longer held.
    lapsed_ms: Option<u64>,
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
pub enum Allocation {
    /// So many units may be spent.
    Lent(u64),
    /// There are too few.
    Refused {
        /// Time until there will be enough, for whoever asked.
        in_ms: u64,
    },
    /// There are too few, and this daemon does not lead.
    NotLending,
}

impl<K> Default for QuotaAllocator<K> {
    fn default() -> Self {
        Self { by_key: BTreeMap::new(), leases: BTreeMap::new(), since_ms: 0, sharing: 0 }
    }
}

impl<K: Ord + Clone> QuotaAllocator<K> {
    /// Sets how many groups there may be, whose leaders share each limit.
    pub fn set_group_count(&mut self, groups: usize) {
        self.sharing = groups;
    }

    /// How a limit is kept here. The leases that this daemon holds share it, also those of groups
    /// whose endpoints are not listed at the moment.
    pub fn plan(&self, limit: &TeamLimit, bounds: &QuotaBounds) -> QuotaPlan {
        QuotaPlan::new(limit, bounds, self.sharing.max(self.leases.len()))
    }

    /// Sets which leases this daemon holds now. What is earned for a further group starts at
    /// nothing. What was earned under a lease that has run out is still lent, as long as nobody
    /// else can have earned as much since: with the store away no other leader follows.
    pub fn set_leases(&mut self, held: &BTreeMap<DomainName, HeldLease>, now_ms: u64) {
        let mut has_changed = false;
        for (group, lease) in held {
            let known = self.leases.get(group).copied();
            let is_held = known
                .is_some_and(|known| known.lapsed_ms.is_none() && known.held.token == lease.token);
            // Another one may have held it since, and have earned for it.
            if !is_held && known.is_some_and(|known| known.held.token + 1 != lease.token) {
                self.drop_part();
            }
            has_changed |= !is_held;
            self.leases.insert(group.clone(), GroupLease { held: *lease, lapsed_ms: None });
        }
        for (group, lease) in &mut self.leases {
            if lease.lapsed_ms.is_none() && !held.contains_key(group) {
                lease.lapsed_ms = Some(lease.held.until_ms.min(now_ms));
                has_changed = true;
            }
        }
        self.leases.retain(|_, lease| {
            lease.lapsed_ms.is_none_or(|lapsed_ms| now_ms < lapsed_ms + FORGOTTEN_MS)
        });
        if has_changed {
            // What is not settled yet is given up: it may have been earned by another.
            self.by_key.values_mut().for_each(|bucket| bucket.at_ms = now_ms);
            self.since_ms = now_ms;
        }
    }

    /// Gives up what may lie in buckets for one of the groups.
    fn drop_part(&mut self) {
        let groups = self.leases.len().max(1) as f64;
        self.by_key.values_mut().for_each(|bucket| bucket.units *= (groups - 1.0) / groups);
    }

    /// Forgets limits that are no longer kept.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.by_key.retain(|key, _| is_kept(key));
    }

    /// Groups for which this daemon earns.
    fn earning(&self) -> usize {
        self.leases.values().filter(|lease| lease.lapsed_ms.is_none()).count()
    }

    /// Most that may lie in a bucket now.
    fn most_units(&self, plan: &QuotaPlan, now_ms: u64) -> f64 {
        let each = self.leases.values().map(|lease| {
            let lapsed_ms = lease.lapsed_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
            (plan.most_units - plan.units_per_ms * lapsed_ms as f64).max(0.0)
        });
        each.sum()
    }

    /// Lends a daemon some units of a limit.
    pub fn allocate(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) -> Allocation {
        let groups = self.earning();
        let bucket = self.settled(key, plan, now_ms);
        let wanted = units as f64;
        if bucket.units >= wanted {
            bucket.units -= wanted;
            return Allocation::Lent(units);
        }
        if groups == 0 {
            return Allocation::NotLending;
        }
        let earned = plan.units_per_ms * groups as f64;
        let missing = wanted - bucket.units + bucket.refused;
        bucket.refused += wanted;
        Allocation::Refused { in_ms: (missing / earned).ceil() as u64 }
    }

    /// Takes that a refused question was met after all, by what another leader gave.
    pub fn settle_refusal(&mut self, key: &K, units: u64) {
        if let Some(bucket) = self.by_key.get_mut(key) {
            bucket.refused = (bucket.refused - units as f64).max(0.0);
        }
    }

    /// What another leader gets that has too little.
    pub fn transfer_out(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) -> u64 {
        if self.earning() == 0 {
            return 0;
        }
        let bucket = self.settled(key, plan, now_ms);
        let given = (bucket.units * MOST_GIVEN).min(units as f64).floor();
        bucket.units -= given;
        given as u64
    }

    /// Takes what another leader gave.
    pub fn transfer_in(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) {
        self.settled(key, plan, now_ms).units += units as f64;
    }

    /// How much to ask of other leaders for somebody who wants so much, if they may be asked:
    /// what is missing, and as much again for the next.
    pub fn units_to_request(
        &mut self,
        key: &K,
        units: u64,
        plan: &QuotaPlan,
        now_ms: u64,
    ) -> Option<u64> {
        let bucket = self.settled(key, plan, now_ms);
        (now_ms >= bucket.ask_others_ms).then_some(2 * units)
    }

    /// Notes that other leaders had nothing to give.
    pub fn record_empty_transfer(&mut self, key: &K, now_ms: u64) {
        if let Some(bucket) = self.by_key.get_mut(key) {
            bucket.ask_others_ms = now_ms + NOTHING_GIVEN_MS;
        }
    }

    /// A limit's bucket with everything in it that was earned until now.
    fn settled(&mut self, key: &K, plan: &QuotaPlan, now_ms: u64) -> &mut Bucket {
        let (groups, since_ms) = (self.earning() as f64, self.since_ms);
        let most_units = self.most_units(plan, now_ms);
        let new = || Bucket { units: 0.0, at_ms: since_ms, refused: 0.0, ask_others_ms: 0 };
        let bucket = self.by_key.entry(key.clone()).or_insert_with(new);
        let passed_ms = now_ms.saturating_sub(bucket.at_ms) as f64;
        let earned = plan.units_per_ms * groups * passed_ms;
        bucket.units = (bucket.units + earned).min(most_units);
        bucket.refused *= (-passed_ms / REFUSED_COUNTS_MS).exp();
        bucket.at_ms = now_ms;
        bucket
    }
}
