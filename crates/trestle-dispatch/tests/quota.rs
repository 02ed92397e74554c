//! Limits of teams: what leaders allocate and daemons spend stays within the agreed bounds, and
//! requests within the limit are served.

use std::collections::BTreeMap;
use trestle_core::names::{DomainName, TeamName};
use trestle_dispatch::{
    allowance::Allowances,
    quota::{QuotaBounds, QuotaPlan},
    quota_allocator::{Allocation, HeldLease, QuotaAllocator},
    team::{LimitUnit, TeamLimit},
};

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

const BOUNDS: QuotaBounds = QuotaBounds { window_ms: 8_000, excess: 0.1, fixed: 17_000.0 };
/// Number of groups that share a limit.
const GROUPS: usize = 3;
/// Units of a typical request.
const TYPICAL_UNITS: u64 = 1_000;

fn limit(per_s: u64) -> TeamLimit {
    TeamLimit { unit: LimitUnit::Tokens { default_tokens: 200 }, per_s, burst: per_s }
}

fn plan(per_s: u64) -> QuotaPlan {
    QuotaPlan::new(&limit(per_s), &BOUNDS, GROUPS)
}

/// Returns leases on `count` groups that do not run out.
fn leases(count: usize) -> BTreeMap<DomainName, HeldLease> {
    let lease = HeldLease { token: 1, until_ms: u64::MAX };
    (0..count).map(|group| (format!("z{group}").into(), lease)).collect()
}

fn team() -> TeamName {
    "red".into()
}

/// Leaders and daemons of one team in virtual time, with random histories.
struct Simulation {
    plan: QuotaPlan,
    /// Time for which allocated units can be spent.
    valid_ms: u64,
    now_ms: u64,
    /// For each group the daemon that leads it.
    leaders: [usize; GROUPS],
    /// For each group the previous leader, which some daemons still query.
    former: [usize; GROUPS],
    /// For each group the fencing token of its lease.
    tokens: [u64; GROUPS],
    quota_allocators: Vec<QuotaAllocator>,
    allowances: Vec<Allowances>,
    spent: Vec<(u64, u64)>,
    refused: u64,
    /// Whether leaders change and answers get lost.
    has_faults: bool,
    random: fastrand::Rng,
}

const DAEMONS: usize = 12;

impl Simulation {
    fn new(per_s: u64, has_faults: bool, seed: u64) -> Self {
        let mut simulation = Self {
            plan: plan(per_s),
            valid_ms: BOUNDS.valid_ms(&limit(per_s)),
            now_ms: 1_000,
            leaders: [0, 1, 2],
            former: [0, 1, 2],
            tokens: [1; GROUPS],
            quota_allocators: (0..DAEMONS).map(|_| QuotaAllocator::default()).collect(),
            allowances: (0..DAEMONS).map(|_| Allowances::default()).collect(),
            spent: Vec::new(),
            refused: 0,
            has_faults,
            random: fastrand::Rng::with_seed(seed),
        };
        simulation.set_groups();
        simulation
    }

    fn set_groups(&mut self) {
        for (daemon, quota_allocator) in self.quota_allocators.iter_mut().enumerate() {
            let leases_held = (0..GROUPS).filter(|group| self.leaders[*group] == daemon);
            let leases_held = leases_held.map(|group| {
                let lease = HeldLease { token: self.tokens[group], until_ms: u64::MAX };
                (format!("z{group}").into(), lease)
            });
            quota_allocator.set_leases(&leases_held.collect(), self.now_ms);
        }
    }

    /// Gives a group another leader; a previous one may restart and lose its state.
    fn change_leader(&mut self) {
        let group = self.random.usize(..GROUPS);
        let leader = self.random.usize(..DAEMONS);
        if self.random.bool() {
            self.quota_allocators[self.leaders[group]] = QuotaAllocator::default();
        }
        self.former[group] = self.leaders[group];
        self.leaders[group] = leader;
        self.tokens[group] += 1;
        self.set_groups();
    }

    /// Simulates a request at a daemon, whose leader may request units from the other leaders.
    /// Returns whether the request was served.
    fn request(&mut self, daemon: usize, units: u64) -> bool {
        let (team, plan, now_ms) = (team(), self.plan, self.now_ms);
        if self.allowances[daemon].spend(&team, units, now_ms).is_some() {
            self.spent.push((now_ms, units));
            return true;
        }
        if self.allowances[daemon].exhausted_for_ms(&team, now_ms).is_some() {
            self.refused += units;
            return false;
        }
        let uses_former = self.random.u32(..4) == 0;
        let leaders = if uses_former { &self.former } else { &self.leaders };
        let leader = leaders[daemon % GROUPS];
        let mut allocation = self.quota_allocators[leader].allocate(&team, units, &plan, now_ms);
        if matches!(allocation, Allocation::Refused { .. })
            && let Some(requested) =
                self.quota_allocators[leader].units_to_request(&team, units, &plan, now_ms)
        {
            let others: Vec<usize> =
                self.leaders.iter().copied().filter(|l| *l != leader).collect();
            let transferred: u64 = others
                .iter()
                .map(|o| self.quota_allocators[*o].transfer_out(&team, requested, &plan, now_ms))
                .sum();
            if transferred == 0 {
                self.quota_allocators[leader].record_empty_transfer(&team, now_ms);
            }
            // Some answers get lost, and the transferred units with them.
            if !self.has_faults || self.random.u32(..10) > 0 {
                self.quota_allocators[leader].transfer_in(&team, transferred, &plan, now_ms);
            }
            allocation = self.quota_allocators[leader].allocate(&team, units, &plan, now_ms);
        }
        match allocation {
            Allocation::Granted(allocated) => {
                // Allocated units are spent at once, or at any time until they expire.
                let delay_ms =
                    if self.random.bool() { self.random.u64(..self.valid_ms) } else { 0 };
                self.spent.push((now_ms + delay_ms, allocated));
                true
            }
            Allocation::NotLeading => {
                self.refused += units;
                false
            }
            Allocation::Refused { in_ms } => {
                self.allowances[daemon].refused(&team, in_ms, now_ms);
                self.refused += units;
                false
            }
        }
    }

    /// Returns the most units that were spent in any window.
    fn max_in_window(&mut self) -> u64 {
        self.spent.sort_unstable();
        let (mut largest, mut sum, mut first) = (0, 0, 0);
        for index in 0..self.spent.len() {
            sum += self.spent[index].1;
            while self.spent[first].0 + BOUNDS.window_ms <= self.spent[index].0 {
                sum -= self.spent[first].1;
                first += 1;
            }
            largest = largest.max(sum);
        }
        largest
    }
}

fn allowed(per_s: u64) -> u64 {
    let units = per_s as f64 * BOUNDS.window_ms as f64 / 1e3 + per_s as f64;
    (units * (1.0 + BOUNDS.excess) + BOUNDS.fixed) as u64
}

/// Simulates 40 s in which a team requests a multiple of its limit; `uneven` is the part of the
/// requests that arrives at one daemon.
fn simulate(per_s: u64, demand: f64, uneven: f64, has_faults: bool, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(per_s, has_faults, seed);
    let gap_ms = TYPICAL_UNITS as f64 * 1e3 / (per_s as f64 * demand);
    let mut due_ms = 1_000.0;
    // Buckets are full when callers start.
    simulation.now_ms = 14_000;
    while due_ms < 40_000.0 {
        due_ms += gap_ms * simulation.random.f64() * 2.0;
        simulation.now_ms = 14_000 + due_ms as u64;
        if has_faults && simulation.random.u32(..40) == 0 {
            simulation.change_leader();
        }
        let at_one = simulation.random.f64() < uneven;
        let daemon = if at_one { 4 } else { simulation.random.usize(..DAEMONS) };
        let units = simulation.random.u64(TYPICAL_UNITS / 2..TYPICAL_UNITS * 3 / 2);
        simulation.request(daemon, units);
    }
    simulation
}

cases! {
    no_history_exceeds_the_agreed_bounds_in_a_window => {
        for seed in 0..60 {
            for per_s in [4_200, 30_000, 273_068] {
                let mut simulation = simulate(per_s, 8.0, 0.5, true, seed);
                let largest = simulation.max_in_window();
                assert!(largest <= allowed(per_s), "seed {seed}: {largest} of {}", allowed(per_s));
            }
        }
    }

    a_team_below_its_limit_is_hardly_refused_even_if_unevenly_spread => {
        for per_s in [4_200, 30_000, 273_068] {
            let (mut refused, mut requested_units) = (0, 0);
            for seed in 0..20 {
                let simulation = simulate(per_s, 0.55, 0.5, false, seed);
                refused += simulation.refused;
                requested_units += simulation.refused + simulation.spent.iter().map(|(_, units)| units).sum::<u64>();
            }
            assert!(refused * 200 <= requested_units, "{per_s}: {refused} of {requested_units}");
        }
    }

    a_team_above_its_limit_gets_nearly_all_of_it => {
        for per_s in [4_200, 30_000, 273_068] {
            let simulation = simulate(per_s, 6.0, 0.5, false, 1);
            let spent: u64 = simulation.spent.iter().map(|(_, units)| units).sum();
            let expected = per_s * 40;
            assert!(spent * 50 >= expected * 49, "{per_s}: {spent} of {expected}");
        }
    }

    a_new_leader_starts_with_an_empty_bucket => {
        let (plan, mut quota_allocator) = (plan(30_000), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(1), 10_000);
        assert!(matches!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, 10_000), Allocation::Refused { .. }));
        assert_eq!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, 10_200), Allocation::Granted(TYPICAL_UNITS));
    }

    // The entries of all endpoints of a failure domain lapsed, so the leader of three groups
    // earned half of the limit for each of them.
    a_leader_of_unlisted_groups_earns_at_most_the_limit => {
        let mut quota_allocator: QuotaAllocator = QuotaAllocator::default();
        quota_allocator.set_group_count(2);
        quota_allocator.set_leases(&leases(3), 0);
        let (limit, bounds) = (limit(4_200), QuotaBounds { fixed: 0.0, ..BOUNDS });
        let plan = quota_allocator.plan(&limit, &bounds);
        let mut allocated = 0;
        for now_ms in 10_000..18_000 {
            while let Allocation::Granted(units) = quota_allocator.allocate(&team(), 1, &plan, now_ms) {
                allocated += units;
            }
        }
        assert!(allocated <= 8 * 4_200 + 2 * 4_200, "{allocated}");
    }

    // The store is unavailable: no lease is renewed, and no other leader can follow.
    a_leader_whose_lease_ran_out_allocates_its_remaining_units_for_a_while => {
        let (plan, mut quota_allocator) = (plan(30_000), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(1), 0);
        assert_eq!(quota_allocator.allocate(&team(), 1, &plan, 9_000), Allocation::Granted(1));
        quota_allocator.set_leases(&BTreeMap::new(), 9_000);
        assert_eq!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, 9_500), Allocation::Granted(TYPICAL_UNITS));
        assert_eq!(quota_allocator.transfer_out(&team(), TYPICAL_UNITS, &plan, 9_500), 0);
        let emptied_ms = 9_000 + (plan.most_units / plan.units_per_ms) as u64;
        assert_eq!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, emptied_ms), Allocation::NotLeading);
    }

    a_refusal_names_the_time_after_which_units_are_allocated => {
        let (plan, mut quota_allocator) = (plan(4_200), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(GROUPS), 0);
        let Allocation::Refused { in_ms } = quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, 0) else { panic!("units were allocated") };
        assert!((200..300).contains(&in_ms), "{in_ms}");
        assert_eq!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan, in_ms), Allocation::Granted(TYPICAL_UNITS));
    }

    a_lowered_limit_shrinks_its_bucket => {
        let mut quota_allocator = QuotaAllocator::default();
        quota_allocator.set_leases(&leases(1), 0);
        assert_eq!(quota_allocator.allocate(&team(), TYPICAL_UNITS, &plan(273_068), 9_000), Allocation::Granted(TYPICAL_UNITS));
        let low = plan(600);
        let mut allocated = 0;
        while let Allocation::Granted(units) = quota_allocator.allocate(&team(), 100, &low, 9_000) {
            allocated += units;
        }
        assert!(allocated as f64 <= low.most_units);
    }

    allocated_units_expire => {
        let mut allowances = Allowances::default();
        allowances.add(&team(), TYPICAL_UNITS, 1_400);
        assert_eq!(allowances.spend(&team(), TYPICAL_UNITS, 1_400), None);
        allowances.add(&team(), TYPICAL_UNITS, 1_800);
        assert_eq!(allowances.spend(&team(), TYPICAL_UNITS, 1_700), Some(1_800));
        assert_eq!(allowances.spend(&team(), 1, 1_700), None);
    }

    a_daemon_sends_no_requests_for_units_while_units_are_exhausted => {
        let mut allowances = Allowances::default();
        allowances.refused(&team(), 300, 1_000);
        assert_eq!(allowances.exhausted_for_ms(&team(), 1_100), Some(200));
        assert_eq!(allowances.exhausted_for_ms(&team(), 1_300), None);
        allowances.refused(&team(), 60_000, 2_000);
        assert_eq!(allowances.exhausted_for_ms(&team(), 2_000), Some(500));
    }
}
