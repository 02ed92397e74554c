//! The lease on giving orders, with several daemons, freezes, outages, lost answers
//! and late writes in virtual time.

use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    lease::{Identity, Lease, LeaseRow, LeaseTiming, LeaseWrite, Resignation},
    order_log::OrderLog,
};

const TIMING: LeaseTiming =
    LeaseTiming { renew_ms: 600, hold_ms: 2_000, quiet_ms: 3_000, in_flight_ms: FLIGHT_MS };
const STEP_MS: u64 = 20;
/// Time that an order may be on its way; none leaves when no more is left of a lease.
const FLIGHT_MS: u64 = 500;
/// Engines that may get orders.
const ENGINES: [&str; 3] = ["x", "y", "z"];

fn lease(machine: &str, incarnation: u64) -> Lease {
    let address: SocketAddr = "127.0.0.1:7000".parse().expect("an address");
    Lease::new(Identity { vm: machine.to_owned(), address, millicores: 500, incarnation }, TIMING)
}

/// The store's row, changed only under a condition.
#[derive(Default)]
struct Store {
    row: Option<LeaseRow>,
    version: u64,
    late: Vec<(u64, LeaseWrite)>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> Option<u64> {
        if write.expected != self.version {
            return None;
        }
        self.row = Some(write.row.clone());
        // Versions grow unevenly: other rows of the store have them too.
        self.version += 3;
        Some(self.version)
    }

    fn carry_out_late(&mut self, now_ms: u64) {
        let due: Vec<_> = self.late.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, write) in due {
            self.write(&write);
        }
    }
}

struct World {
    lots: fastrand::Rng,
    store: Store,
    daemons: Vec<Daemon>,
    orders: Vec<(u64, usize, u64)>,
    /// The same, by engine.
    engine_orders: BTreeMap<&'static str, Vec<(u64, usize)>>,
    told: Vec<Told>,
    now_ms: u64,
    store_down_until_ms: u64,
    /// What VMs that are suspended know of it.
    clock: Clock,
}

/// How daemons' clocks take a time in which their VM is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Clock {
    /// It counts.
    Passes,
    /// They stand still, as the monotonic clock does.
    Stands,
}

/// What a holder that stepped down tells another, on its way.
struct Told {
    at_ms: u64,
    to: usize,
    resignation: Resignation,
    engines: BTreeMap<EndpointName, u64>,
}

struct Daemon {
    lease: Lease,
    log: OrderLog,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    next_read_ms: u64,
    incarnation: u64,
    /// Time by which its clock is behind.
    behind_ms: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let daemons = (0..4).map(|number| Daemon {
            lease: lease(&format!("vm-{number}"), 1),
            log: OrderLog::default(),
            frozen_until_ms: 0,
            cut_until_ms: 0,
            next_read_ms: 0,
            incarnation: 1,
            behind_ms: 0,
        });
        Self {
            lots: fastrand::Rng::with_seed(seed),
            store: Store::default(),
            daemons: daemons.collect(),
            orders: Vec::new(),
            engine_orders: BTreeMap::new(),
            told: Vec::new(),
            now_ms: 100,
            store_down_until_ms: 0,
            clock: Clock::Passes,
        }
    }

    /// Suspends a daemon's VM for a time.
    fn suspend(&mut self, number: usize, for_ms: u64) {
        let daemon = &mut self.daemons[number];
        daemon.frozen_until_ms = self.now_ms + for_ms;
        // What it reads after it has woken takes as long as ever.
        daemon.next_read_ms = daemon.frozen_until_ms + self.lots.u64(300..1_500);
        if self.clock == Clock::Stands {
            daemon.behind_ms += for_ms;
        }
    }

    /// Runs for a minute in which the holder is suspended again and again, for 0.5 to 30 s.
    fn run_suspending(&mut self) {
        let end_ms = self.now_ms + 60_000;
        while self.now_ms < end_ms {
            self.run(self.lots.clone().u64(100..9_000), false);
            let for_ms = self.lots.u64(500..30_000);
            let holder = self.orders.last().map_or(0, |(_, holder, _)| *holder);
            if self.now_ms >= self.daemons[holder].frozen_until_ms {
                self.suspend(holder, for_ms);
            }
        }
    }

    /// The shortest time between orders of two machines to one engine.
    fn shortest_turn_ms(&mut self) -> Option<u64> {
        let mut shortest_ms = None;
        for orders in self.engine_orders.values_mut() {
            orders.sort_unstable();
            for pair in orders.windows(2) {
                let ((before_ms, leader), (at_ms, next)) = (pair[0], pair[1]);
                if leader != next {
                    let gap_ms = at_ms - before_ms;
                    shortest_ms = Some(shortest_ms.map_or(gap_ms, |least: u64| least.min(gap_ms)));
                }
            }
        }
        shortest_ms
    }

    fn run(&mut self, for_ms: u64, has_trouble: bool) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.store.carry_out_late(self.now_ms);
            self.deliver();
            if has_trouble {
                self.trouble();
            }
            for number in 0..self.daemons.len() {
                self.step(number);
            }
        }
    }

    fn trouble(&mut self) {
        let number = self.lots.usize(0..self.daemons.len());
        let until_ms = self.now_ms + self.lots.u64(500..9_000);
        match self.lots.u32(0..1_200) {
            0 => self.daemons[number].frozen_until_ms = until_ms,
            1 => self.daemons[number].cut_until_ms = until_ms,
            2 => self.store_down_until_ms = until_ms,
            3 => {
                let daemon = &mut self.daemons[number];
                daemon.incarnation += 1;
                daemon.lease = lease(&format!("vm-{number}"), daemon.incarnation);
                daemon.log = OrderLog::default();
                daemon.next_read_ms = 0;
            }
            _ => {}
        }
    }

    /// Delivers what daemons that do not stand still were told.
    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for told in self.told.extract_if(.., |told| told.at_ms <= now_ms) {
            let daemon = &mut self.daemons[told.to];
            if now_ms >= daemon.frozen_until_ms {
                let own_ms = now_ms - daemon.behind_ms;
                daemon.log.quiet_times_received(&told.engines, own_ms);
                daemon.lease.resignation_received(told.resignation, own_ms);
            }
        }
    }

    /// Steps down where that is due, and tells the others now and then.
    fn step_down(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[number];
        let own_ms = now_ms - daemon.behind_ms;
        if daemon.lease.has_run_out(own_ms) {
            daemon.lease.resign(own_ms);
        }
        let engines = daemon.log.quiet_for_ms(TIMING.quiet_ms, own_ms);
        let settled_for_ms = engines.values().copied().max().unwrap_or_default();
        let Some(resignation) = daemon.lease.resignation(settled_for_ms, own_ms) else { return };
        for to in 0..self.daemons.len() {
            if to != number && self.lots.u32(0..10) == 0 {
                let at_ms = now_ms + self.lots.u64(1..400);
                self.told.push(Told { at_ms, to, resignation, engines: engines.clone() });
            }
        }
    }

    fn order(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let engine = ENGINES[self.lots.usize(0..ENGINES.len())];
        let daemon = &mut self.daemons[number];
        // Now and then, so that some engines got none lately.
        if self.lots.u32(0..8) > 0
            || !daemon.log.may_order(&engine.into(), now_ms - daemon.behind_ms)
        {
            return;
        }
        let arrives_ms = now_ms + self.lots.u64(0..FLIGHT_MS);
        daemon.log.record_send(&engine.into(), now_ms - daemon.behind_ms + FLIGHT_MS);
        self.engine_orders.entry(engine).or_default().push((arrives_ms, number));
    }

    fn step(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[number];
        if now_ms < daemon.frozen_until_ms {
            return;
        }
        let own_ms = now_ms - daemon.behind_ms;
        let reaches_store = now_ms >= daemon.cut_until_ms && now_ms >= self.store_down_until_ms;
        if reaches_store && now_ms >= daemon.next_read_ms {
            daemon.next_read_ms = now_ms + self.lots.u64(300..1_500);
            daemon.lease.observed(self.store.row.clone(), self.store.version, own_ms);
        }
        if let Some(write) = daemon.lease.due_write(own_ms) {
            let sent_ms = own_ms;
            let version = match self.lots.u32(0..20) {
                _ if !reaches_store => None,
                0 => {
                    // Carried out now, and the answer is lost.
                    self.store.write(&write);
                    None
                }
                1 => {
                    let at_ms = now_ms + self.lots.u64(500..6_000);
                    self.store.late.push((at_ms, write.clone()));
                    None
                }
                _ => self.store.write(&write),
            };
            daemon.lease.write_finished(write, version, sent_ms, own_ms);
        }
        let may_order = daemon.lease.may_order(own_ms);
        if let Some(token) = may_order {
            self.orders.push((now_ms, number, token));
        }
        // No order leaves in the last time of a lease.
        let is_in_time = own_ms + FLIGHT_MS < daemon.lease.order_window().1;
        if may_order.is_some() && is_in_time {
            self.order(number);
        }
        self.step_down(number);
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    one_daemon_begins_at_once_where_there_is_no_row => {
        let mut world = World::new(1);
        world.run(1_000, false);
        assert!(world.orders.iter().any(|(at_ms, ..)| *at_ms < 300));
        let leaders: std::collections::BTreeSet<usize> =
            world.orders.iter().map(|(_, leader, _)| *leader).collect();
        assert_eq!(leaders.len(), 1);
    }

    a_frozen_holder_is_replaced_and_gives_no_order_when_it_wakes => {
        let mut world = World::new(2);
        world.run(2_000, false);
        let (_, holder, _) = *world.orders.last().expect("somebody holds it");
        world.daemons[holder].frozen_until_ms = world.now_ms + 12_000;
        world.run(20_000, false);
        let (_, next, token) = *world.orders.last().expect("somebody holds it");
        assert_ne!(next, holder);
        assert_eq!(token, 2);
        let woken = world.orders.iter().filter(|(at_ms, leader, _)| *at_ms > 14_000 && *leader == holder);
        assert_eq!(woken.count(), 0);
    }

    a_released_lease_is_taken_before_it_would_run_out => {
        let mut world = World::new(3);
        world.run(2_000, false);
        let (left_ms, holder, _) = *world.orders.last().expect("somebody holds it");
        world.daemons[holder].lease.release();
        world.run(8_000, false);
        assert!(world.daemons[holder].lease.is_release_done());
        let first = world.orders.iter().find(|(_, leader, _)| *leader != holder);
        let (first_ms, ..) = *first.expect("another takes it");
        assert!(first_ms >= left_ms + TIMING.quiet_ms);
        assert!(first_ms < left_ms + TIMING.quiet_ms + 2_000, "{first_ms} after {left_ms}");
    }

    an_outage_of_the_store_stops_orders_and_replaces_nobody => {
        let mut world = World::new(4);
        world.run(2_000, false);
        let (_, holder, token) = *world.orders.last().expect("somebody holds it");
        world.store_down_until_ms = world.now_ms + 5_000;
        world.run(12_000, false);
        let (_, after, token_after) = *world.orders.last().expect("somebody holds it");
        assert!(token_after == token && after == holder || token_after == token + 1);
    }

    // Two machines never give orders within the quiet time of each other to one engine, and
    // fencing numbers never fall, whatever freezes, is cut, is lost or comes late.
    no_two_machines_take_turns => {
        let (mut turns, mut quick) = (0, 0);
        for seed in (0..400).chain([1_196]) {
            let mut world = World::new(seed);
            world.run(60_000, true);
            for pair in world.orders.windows(2) {
                let ((before_ms, leader, token), (at_ms, next, next_token)) = (pair[0], pair[1]);
                assert!(next_token >= token, "seed {seed}: token {token} then {next_token}");
                if leader != next {
                    assert!(next_token > token, "seed {seed}: one token, two machines");
                    turns += 1;
                    quick += u32::from(at_ms - before_ms < TIMING.quiet_ms);
                }
            }
            for (engine, orders) in &mut world.engine_orders {
                orders.sort_unstable();
                for pair in orders.windows(2) {
                    let ((before_ms, leader), (at_ms, next)) = (pair[0], pair[1]);
                    let gap_ms = at_ms - before_ms;
                    let is_quiet = leader == next || gap_ms >= TIMING.quiet_ms;
                    assert!(is_quiet, "seed {seed}: {gap_ms} ms at {engine}, {at_ms}");
                }
            }
        }
        assert!(turns > 100 && quick > 20, "{turns} turns, {quick} of them quick");
    }

    // The holder is suspended for 0.5 to 30 s, again and again.
    no_two_machines_take_turns_while_vms_are_suspended => {
        let mut turns = 0;
        for seed in 0..200 {
            let mut world = World::new(seed);
            world.run_suspending();
            let shortest_ms = world.shortest_turn_ms();
            turns += u32::from(shortest_ms.is_some());
            assert!(shortest_ms.is_none_or(|ms| ms >= TIMING.quiet_ms), "seed {seed}: {shortest_ms:?}");
        }
        assert!(turns > 150, "{turns}");
    }

    // What the check above is for: with a clock that stands still meanwhile, a leader wakes
    // and goes on ordering under a lease that another one has taken.
    with_a_clock_that_stands_while_suspended_two_machines_take_turns => {
        let worlds = (0..200).map(|seed| World { clock: Clock::Stands, ..World::new(seed) });
        let too_soon = worlds.filter_map(|mut world| {
            world.run_suspending();
            world.shortest_turn_ms().filter(|ms| *ms < TIMING.quiet_ms)
        });
        assert!(too_soon.count() > 20);
    }

    // Wrong once: a holder that lost the store kept all engines without orders for 5.3 s.
    one_that_steps_down_is_followed_before_its_lease_would_have_run_out => {
        let mut world = World::new(5);
        world.run(4_000, false);
        let (_, holder, _) = *world.orders.last().expect("somebody holds it");
        let cut_ms = world.now_ms;
        world.daemons[holder].cut_until_ms = cut_ms + 20_000;
        world.run(6_000, false);
        let first = world.orders.iter().find(|(_, leader, _)| *leader != holder);
        let (first_ms, ..) = *first.expect("another takes it");
        assert!(first_ms < cut_ms + TIMING.hold_ms + 1_500, "{first_ms} after {cut_ms}");
    }

    orders_go_on_once_trouble_is_over => {
        for seed in 0..100 {
            let mut world = World::new(seed);
            world.run(20_000, true);
            world.run(25_000, false);
            let (last_ms, ..) = *world.orders.last().expect("somebody holds it");
            assert!(last_ms + 1_000 > world.now_ms, "seed {seed}: the last order was at {last_ms}");
        }
    }
}
