//! The leader's share of each limit that all daemons have in common, and its allocation to
//! daemons: limits of teams, and limits that endpoints announce.
//!
//! The load that this answers: callers of a team who are spread unevenly, perhaps half of them at
//! one daemon, beside a team that sends many times its limit. Units are allocated one request at
//! a time in the order of the daemons' requests, so none lie unused at daemons that do not need
//! them; a team that has none left costs others only the handling of its requests for units.

use crate::{
    quota::{QuotaBounds, QuotaPlan},
    team::TeamLimit,
};
use std::collections::BTreeMap;
use trestle_core::names::{DomainName, TeamName};

/// Time constant with which refused requests for units fade. While they count, later requesters
/// are told to wait behind them.
const REFUSED_DECAY_MS: f64 = 1_000.0;
/// Largest part of a bucket that is transferred to another leader.
const MAX_TRANSFER_PART: f64 = 0.5;
/// Time for which no units are requested from other leaders again after they had none to transfer.
const EMPTY_TRANSFER_MS: u64 = 150;
/// Time after which a lease that ran out has no effect any more.
const LAPSED_EXPIRY_MS: u64 = 10_000;

/// A leader's buckets, one for each limit.
#[derive(Debug)]
pub struct QuotaAllocator<K = TeamName> {
    by_key: BTreeMap<K, Bucket>,
    /// Leases that this daemon holds or held recently, by group.
    leases: BTreeMap<DomainName, GroupLease>,
    /// When the leases last changed.
    changed_ms: u64,
    /// Number of groups whose leaders share each limit.
    group_count: usize,
}

/// The parts of a lease that matter for allocation.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct HeldLease {
    /// The fencing token of the lease.
    pub token: u64,
    /// Time until which the lease is certainly held.
    pub until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct GroupLease {
    held: HeldLease,
    /// Since when the lease is no longer held; `None` while it is.
    lapsed_ms: Option<u64>,
}

#[derive(Debug)]
struct Bucket {
    units: f64,
    credited_ms: u64,
    /// Units that were refused recently, with exponential decay.
    refused: f64,
    /// When units may be requested from other leaders again.
    next_transfer_ms: u64,
}

/// The answer to a daemon's request for units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Allocation {
    /// This number of units may be spent.
    Granted(u64),
    /// Too few units are available.
    Refused {
        /// Time until the requester can expect enough units.
        in_ms: u64,
    },
    /// Too few units are available, and this daemon is no leader.
    NotLeading,
}

impl<K> Default for QuotaAllocator<K> {
    fn default() -> Self {
        Self { by_key: BTreeMap::new(), leases: BTreeMap::new(), changed_ms: 0, group_count: 0 }
    }
}

impl<K: Ord + Clone> QuotaAllocator<K> {
    /// Sets the number of groups whose leaders share each limit.
    pub fn set_group_count(&mut self, groups: usize) {
        self.group_count = groups;
    }

    /// Returns the plan for a limit at this leader. The leases that this daemon holds share the
    /// limit too, also those of groups whose endpoints are not listed at the moment.
    pub fn plan(&self, limit: &TeamLimit, bounds: &QuotaBounds) -> QuotaPlan {
        QuotaPlan::new(limit, bounds, self.group_count.max(self.leases.len()))
    }

    /// Sets the leases that this daemon holds now. Earning for a further group starts at zero.
    /// What was earned under a lease that ran out is still allocated as long as nobody else can
    /// have earned as much since: while the store is unavailable, no other leader follows.
    pub fn set_leases(&mut self, held: &BTreeMap<DomainName, HeldLease>, now_ms: u64) {
        let mut has_changed = false;
        for (group, lease) in held {
            let known = self.leases.get(group).copied();
            let is_held = known
                .is_some_and(|known| known.lapsed_ms.is_none() && known.held.token == lease.token);
            // Another daemon may have held the lease in between, and have earned for the group.
            if !is_held && known.is_some_and(|known| known.held.token + 1 != lease.token) {
                self.drop_group_units();
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
            lease.lapsed_ms.is_none_or(|lapsed_ms| now_ms < lapsed_ms + LAPSED_EXPIRY_MS)
        });
        if has_changed {
            // Units not yet credited are dropped: another leader may have earned them.
            self.by_key.values_mut().for_each(|bucket| bucket.credited_ms = now_ms);
            self.changed_ms = now_ms;
        }
    }

    /// Removes what the buckets may hold for one of the groups.
    fn drop_group_units(&mut self) {
        let groups = self.leases.len().max(1) as f64;
        self.by_key.values_mut().for_each(|bucket| bucket.units *= (groups - 1.0) / groups);
    }

    /// Drops the buckets of limits that no longer exist.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.by_key.retain(|key, _| is_kept(key));
    }

    /// Returns the number of groups for which this daemon earns units.
    fn earning_groups(&self) -> usize {
        self.leases.values().filter(|lease| lease.lapsed_ms.is_none()).count()
    }

    /// Returns the current capacity of a bucket.
    fn most_units(&self, plan: &QuotaPlan, now_ms: u64) -> f64 {
        let capacities = self.leases.values().map(|lease| {
            let lapsed_ms = lease.lapsed_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
            (plan.most_units - plan.units_per_ms * lapsed_ms as f64).max(0.0)
        });
        capacities.sum()
    }

    /// Allocates units of a limit to a daemon, or refuses them.
    pub fn allocate(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) -> Allocation {
        let groups = self.earning_groups();
        let bucket = self.credited(key, plan, now_ms);
        let requested = units as f64;
        if bucket.units >= requested {
            bucket.units -= requested;
            return Allocation::Granted(units);
        }
        if groups == 0 {
            return Allocation::NotLeading;
        }
        let earned = plan.units_per_ms * groups as f64;
        let lacking = requested - bucket.units + bucket.refused;
        bucket.refused += requested;
        Allocation::Refused { in_ms: (lacking / earned).ceil() as u64 }
    }

    /// Records that a refused request was satisfied by a transfer from another leader after all.
    pub fn settle_refusal(&mut self, key: &K, units: u64) {
        if let Some(bucket) = self.by_key.get_mut(key) {
            bucket.refused = (bucket.refused - units as f64).max(0.0);
        }
    }

    /// Takes units out of a bucket for another leader that has too few. Returns their number.
    pub fn transfer_out(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) -> u64 {
        if self.earning_groups() == 0 {
            return 0;
        }
        let bucket = self.credited(key, plan, now_ms);
        let transferred = (bucket.units * MAX_TRANSFER_PART).min(units as f64).floor();
        bucket.units -= transferred;
        transferred as u64
    }

    /// Adds units that another leader transferred.
    pub fn transfer_in(&mut self, key: &K, units: u64, plan: &QuotaPlan, now_ms: u64) {
        self.credited(key, plan, now_ms).units += units as f64;
    }

    /// Returns the number of units to request from other leaders for a requester that needs
    /// `units`: these, and as many again for the next one. Returns `None` while nothing may be
    /// requested from other leaders.
    pub fn units_to_request(
        &mut self,
        key: &K,
        units: u64,
        plan: &QuotaPlan,
        now_ms: u64,
    ) -> Option<u64> {
        let bucket = self.credited(key, plan, now_ms);
        (now_ms >= bucket.next_transfer_ms).then_some(2 * units)
    }

    /// Records that other leaders had no units to transfer.
    pub fn record_empty_transfer(&mut self, key: &K, now_ms: u64) {
        if let Some(bucket) = self.by_key.get_mut(key) {
            bucket.next_transfer_ms = now_ms + EMPTY_TRANSFER_MS;
        }
    }

    /// Returns the bucket of a limit, credited with everything that was earned until now.
    fn credited(&mut self, key: &K, plan: &QuotaPlan, now_ms: u64) -> &mut Bucket {
        let (groups, changed_ms) = (self.earning_groups() as f64, self.changed_ms);
        let most_units = self.most_units(plan, now_ms);
        let new =
            || Bucket { units: 0.0, credited_ms: changed_ms, refused: 0.0, next_transfer_ms: 0 };
        let bucket = self.by_key.entry(key.clone()).or_insert_with(new);
        let passed_ms = now_ms.saturating_sub(bucket.credited_ms) as f64;
        let earned = plan.units_per_ms * groups * passed_ms;
        bucket.units = (bucket.units + earned).min(most_units);
        bucket.refused *= (-passed_ms / REFUSED_DECAY_MS).exp();
        bucket.credited_ms = now_ms;
        bucket
    }
}
