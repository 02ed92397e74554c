//! Limits of teams: what leaders lend and daemons spend stays within what is agreed on, and what
//! is within the limit is lent.

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
/// Groups that share a limit.
const GROUPS: usize = 3;
/// Units of most requests.
const USUAL: u64 = 1_000;

fn limit(per_s: u64) -> TeamLimit {
    TeamLimit { unit: LimitUnit::Tokens { default_tokens: 200 }, per_s, burst: per_s }
}

fn plan(per_s: u64) -> QuotaPlan {
    QuotaPlan::new(&limit(per_s), &BOUNDS, GROUPS)
}

/// Leases on so many groups that do not run out.
fn leases(count: usize) -> BTreeMap<DomainName, HeldLease> {
    let lease = HeldLease { token: 1, until_ms: u64::MAX };
    (0..count).map(|group| (format!("z{group}").into(), lease)).collect()
}

fn team() -> TeamName {
    "red".into()
}

/// Leaders and daemons of one team in virtual time, under random histories.
struct World {
    plan: QuotaPlan,
    /// Time for which something lent can be spent.
    valid_ms: u64,
    now_ms: u64,
    /// For each group the daemon that leads it.
    leaders: [usize; GROUPS],
    /// The daemons that led before, which some others still ask.
    former: [usize; GROUPS],
    /// The tokens of their leases.
    tokens: [u64; GROUPS],
    lenders: Vec<QuotaAllocator>,
    allowances: Vec<Allowances>,
    spent: Vec<(u64, u64)>,
    refused: u64,
    /// Whether leaders change and their answers get lost.
    is_troubled: bool,
    random: fastrand::Rng,
}

const DAEMONS: usize = 12;

impl World {
    fn new(per_s: u64, is_troubled: bool, seed: u64) -> Self {
        let mut world = Self {
            plan: plan(per_s),
            valid_ms: BOUNDS.valid_ms(&limit(per_s)),
            now_ms: 1_000,
            leaders: [0, 1, 2],
            former: [0, 1, 2],
            tokens: [1; GROUPS],
            lenders: (0..DAEMONS).map(|_| QuotaAllocator::default()).collect(),
            allowances: (0..DAEMONS).map(|_| Allowances::default()).collect(),
            spent: Vec::new(),
            refused: 0,
            is_troubled,
            random: fastrand::Rng::with_seed(seed),
        };
        world.set_groups();
        world
    }

    fn set_groups(&mut self) {
        for (daemon, quota_allocator) in self.lenders.iter_mut().enumerate() {
            let led = (0..GROUPS).filter(|group| self.leaders[*group] == daemon);
            let led = led.map(|group| {
                let lease = HeldLease { token: self.tokens[group], until_ms: u64::MAX };
                (format!("z{group}").into(), lease)
            });
            quota_allocator.set_leases(&led.collect(), self.now_ms);
        }
    }

    /// A group gets another leader; one that starts anew has forgotten everything.
    fn change_leader(&mut self) {
        let group = self.random.usize(..GROUPS);
        let leader = self.random.usize(..DAEMONS);
        if self.random.bool() {
            self.lenders[self.leaders[group]] = QuotaAllocator::default();
        }
        self.former[group] = self.leaders[group];
        self.leaders[group] = leader;
        self.tokens[group] += 1;
        self.set_groups();
    }

    /// A request at a daemon, whose lender may ask the others.
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
        let asks_former = self.random.u32(..4) == 0;
        let asked = if asks_former { &self.former } else { &self.leaders };
        let leader = asked[daemon % GROUPS];
        let mut loan = self.lenders[leader].allocate(&team, units, &plan, now_ms);
        if matches!(loan, Allocation::Refused { .. })
            && let Some(wanted) = self.lenders[leader].units_to_request(&team, units, &plan, now_ms)
        {
            let others: Vec<usize> =
                self.leaders.iter().copied().filter(|l| *l != leader).collect();
            let given: u64 = others
                .iter()
                .map(|o| self.lenders[*o].transfer_out(&team, wanted, &plan, now_ms))
                .sum();
            if given == 0 {
                self.lenders[leader].record_empty_transfer(&team, now_ms);
            }
            // Some answers are lost, and what they gave with them.
            if !self.is_troubled || self.random.u32(..10) > 0 {
                self.lenders[leader].transfer_in(&team, given, &plan, now_ms);
            }
            loan = self.lenders[leader].allocate(&team, units, &plan, now_ms);
        }
        match loan {
            Allocation::Lent(lent) => {
                // What was lent is spent at once, or at any time until it no longer can be.
                let late_ms = if self.random.bool() { self.random.u64(..self.valid_ms) } else { 0 };
                self.spent.push((now_ms + late_ms, lent));
                true
            }
            Allocation::NotLending => {
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

    /// The most that was spent in any window.
    fn most_in_window(&mut self) -> u64 {
        self.spent.sort_unstable();
        let (mut most, mut sum, mut first) = (0, 0, 0);
        for index in 0..self.spent.len() {
            sum += self.spent[index].1;
            while self.spent[first].0 + BOUNDS.window_ms <= self.spent[index].0 {
                sum -= self.spent[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

fn allowed(per_s: u64) -> u64 {
    let units = per_s as f64 * BOUNDS.window_ms as f64 / 1e3 + per_s as f64;
    (units * (1.0 + BOUNDS.excess) + BOUNDS.fixed) as u64
}

/// Plays 40 s in which a team asks for a multiple of its limit; `uneven` is the part of it that
/// comes to one daemon.
fn play(per_s: u64, demand: f64, uneven: f64, is_troubled: bool, seed: u64) -> World {
    let mut world = World::new(per_s, is_troubled, seed);
    let gap_ms = USUAL as f64 * 1e3 / (per_s as f64 * demand);
    let mut due_ms = 1_000.0;
    // Buckets are full when callers begin.
    world.now_ms = 14_000;
    while due_ms < 40_000.0 {
        due_ms += gap_ms * world.random.f64() * 2.0;
        world.now_ms = 14_000 + due_ms as u64;
        if is_troubled && world.random.u32(..40) == 0 {
            world.change_leader();
        }
        let at_one = world.random.f64() < uneven;
        let daemon = if at_one { 4 } else { world.random.usize(..DAEMONS) };
        let units = world.random.u64(USUAL / 2..USUAL * 3 / 2);
        world.request(daemon, units);
    }
    world
}

cases! {
    no_history_spends_more_in_a_window_than_is_agreed_on => {
        for seed in 0..60 {
            for per_s in [4_200, 30_000, 273_068] {
                let mut world = play(per_s, 8.0, 0.5, true, seed);
                let most = world.most_in_window();
                assert!(most <= allowed(per_s), "seed {seed}: {most} of {}", allowed(per_s));
            }
        }
    }

    a_calm_team_is_refused_next_to_nothing_however_uneven_it_sits => {
        for per_s in [4_200, 30_000, 273_068] {
            let (mut refused, mut asked) = (0, 0);
            for seed in 0..20 {
                let world = play(per_s, 0.55, 0.5, false, seed);
                refused += world.refused;
                asked += world.refused + world.spent.iter().map(|(_, units)| units).sum::<u64>();
            }
            assert!(refused * 200 <= asked, "{per_s}: {refused} of {asked}");
        }
    }

    a_team_beyond_its_limit_gets_nearly_all_of_it => {
        for per_s in [4_200, 30_000, 273_068] {
            let world = play(per_s, 6.0, 0.5, false, 1);
            let spent: u64 = world.spent.iter().map(|(_, units)| units).sum();
            let owed = per_s * 40;
            assert!(spent * 50 >= owed * 49, "{per_s}: {spent} of {owed}");
        }
    }

    a_leader_starts_with_nothing => {
        let (plan, mut quota_allocator) = (plan(30_000), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(1), 10_000);
        assert!(matches!(quota_allocator.allocate(&team(), USUAL, &plan, 10_000), Allocation::Refused { .. }));
        assert_eq!(quota_allocator.allocate(&team(), USUAL, &plan, 10_200), Allocation::Lent(USUAL));
    }

    // The entries of all endpoints of a failure domain lapsed, and the leader of all earned a
    // half for each of three.
    a_leader_of_more_groups_than_are_listed_earns_the_limit_at_most => {
        let mut quota_allocator: QuotaAllocator = QuotaAllocator::default();
        quota_allocator.set_group_count(2);
        quota_allocator.set_leases(&leases(3), 0);
        let (limit, bounds) = (limit(4_200), QuotaBounds { fixed: 0.0, ..BOUNDS });
        let plan = quota_allocator.plan(&limit, &bounds);
        let mut lent = 0;
        for now_ms in 10_000..18_000 {
            while let Allocation::Lent(units) = quota_allocator.allocate(&team(), 1, &plan, now_ms) {
                lent += units;
            }
        }
        assert!(lent <= 8 * 4_200 + 2 * 4_200, "{lent}");
    }

    // The store is away: nobody renews, and nobody can follow.
    a_leader_whose_lease_ran_out_lends_what_it_had_for_a_while => {
        let (plan, mut quota_allocator) = (plan(30_000), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(1), 0);
        assert_eq!(quota_allocator.allocate(&team(), 1, &plan, 9_000), Allocation::Lent(1));
        quota_allocator.set_leases(&BTreeMap::new(), 9_000);
        assert_eq!(quota_allocator.allocate(&team(), USUAL, &plan, 9_500), Allocation::Lent(USUAL));
        assert_eq!(quota_allocator.transfer_out(&team(), USUAL, &plan, 9_500), 0);
        let emptied_ms = 9_000 + (plan.most_units / plan.units_per_ms) as u64;
        assert_eq!(quota_allocator.allocate(&team(), USUAL, &plan, emptied_ms), Allocation::NotLending);
    }

    what_is_told_a_refused_caller_comes_true => {
        let (plan, mut quota_allocator) = (plan(4_200), QuotaAllocator::default());
        quota_allocator.set_leases(&leases(GROUPS), 0);
        let Allocation::Refused { in_ms } = quota_allocator.allocate(&team(), USUAL, &plan, 0) else { panic!("lent") };
        assert!((200..300).contains(&in_ms), "{in_ms}");
        assert_eq!(quota_allocator.allocate(&team(), USUAL, &plan, in_ms), Allocation::Lent(USUAL));
    }

    a_limit_that_is_lowered_empties_its_bucket => {
        let mut quota_allocator = QuotaAllocator::default();
        quota_allocator.set_leases(&leases(1), 0);
        assert_eq!(quota_allocator.allocate(&team(), USUAL, &plan(273_068), 9_000), Allocation::Lent(USUAL));
        let low = plan(600);
        let mut lent = 0;
        while let Allocation::Lent(units) = quota_allocator.allocate(&team(), 100, &low, 9_000) {
            lent += units;
        }
        assert!(lent as f64 <= low.most_units);
    }

    what_is_lent_cannot_be_spent_later => {
        let mut allowances = Allowances::default();
        allowances.add(&team(), USUAL, 1_400);
        assert_eq!(allowances.spend(&team(), USUAL, 1_400), None);
        allowances.add(&team(), USUAL, 1_800);
        assert_eq!(allowances.spend(&team(), USUAL, 1_700), Some(1_800));
        assert_eq!(allowances.spend(&team(), 1, 1_700), None);
    }

    a_daemon_does_not_ask_again_while_nothing_is_left => {
        let mut allowances = Allowances::default();
        allowances.refused(&team(), 300, 1_000);
        assert_eq!(allowances.exhausted_for_ms(&team(), 1_100), Some(200));
        assert_eq!(allowances.exhausted_for_ms(&team(), 1_300), None);
        allowances.refused(&team(), 60_000, 2_000);
        assert_eq!(allowances.exhausted_for_ms(&team(), 2_000), Some(500));
    }
}
