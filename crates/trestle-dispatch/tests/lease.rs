//! The lease on giving orders: several daemons with freezes, outages, lost answers, late writes and a
//! store that is restored from copies, in virtual time.

use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    lease::{Identity, Lease, LeaseRow, LeaseTiming, LeaseWrite, Resignation},
    order_log::OrderLog,
    store_version::StoreVersion,
};

const TIMING: LeaseTiming =
    LeaseTiming { renew_ms: 600, hold_ms: 2_000, quiet_ms: 3_000, in_flight_ms: FLIGHT_MS };
const STEP_MS: u64 = 20;
/// Time for which an order may be in flight; none is sent if less than this is left of a lease.
const FLIGHT_MS: u64 = 500;
/// Engines that may get orders.
const ENGINES: [&str; 3] = ["x", "y", "z"];

fn lease(vm: &str, incarnation: u64) -> Lease {
    let address: SocketAddr = "127.0.0.1:7000".parse().expect("an address");
    Lease::new(Identity { vm: vm.to_owned(), address, millicores: 500, incarnation }, TIMING)
}

/// The store's row, written only conditionally.
#[derive(Default)]
struct Store {
    row: Option<LeaseRow>,
    version: StoreVersion,
    late: Vec<(u64, LeaseWrite)>,
    /// Earlier rows with their versions, and since when the store had each of them.
    copies: Vec<(u64, Option<LeaseRow>, StoreVersion)>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> Option<StoreVersion> {
        if write.expected.number != self.version.number {
            return None;
        }
        self.row = Some(write.row.clone());
        // Versions grow by more than one, since other rows of the store share them.
        self.version.number += 3;
        Some(self.version)
    }

    /// Keeps a copy of the row if it has changed.
    fn keep_copy(&mut self, now_ms: u64) {
        if self.copies.last().is_none_or(|(_, _, version)| *version != self.version) {
            self.copies.push((now_ms, self.row.clone(), self.version));
        }
    }

    /// Goes back to the row of an earlier time. Versions are given out again from there.
    fn restore(&mut self, as_of_ms: u64) {
        let copy = self.copies.iter().rfind(|(since_ms, ..)| *since_ms <= as_of_ms);
        let (row, number) =
            copy.map_or((None, 0), |(_, row, version)| (row.clone(), version.number));
        let era = self.version.era + 1;
        (self.row, self.version) = (row, StoreVersion { era, number });
    }

    fn apply_late(&mut self, now_ms: u64) {
        let due: Vec<_> = self.late.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, write) in due {
            self.write(&write);
        }
    }
}

struct Simulation {
    rng: fastrand::Rng,
    store: Store,
    daemons: Vec<Daemon>,
    orders: Vec<(u64, usize, u64)>,
    /// Arrival times of orders and their senders, by engine.
    engine_orders: BTreeMap<&'static str, Vec<(u64, usize)>>,
    sent: Vec<SentResignation>,
    now_ms: u64,
    store_down_until_ms: u64,
    /// When the store is restored, and to the row of which time.
    restore_due: Option<(u64, u64)>,
    restores: u32,
    /// When two daemons held the lease first, if they ever did.
    two_holders_ms: Option<u64>,
    /// Whether the clocks of suspended VMs continue.
    clock: Clock,
    /// Whether daemons are stopped and started again.
    has_stops: bool,
}

/// Behaviour of a daemon's clock while its VM is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Clock {
    /// The clock continues.
    Continues,
    /// The clock stops, as the monotonic clock does.
    Stops,
}

/// A resignation in flight to another daemon.
struct SentResignation {
    at_ms: u64,
    to: usize,
    resignation: Resignation,
    engines: BTreeMap<EndpointName, u64>,
}

struct Daemon {
    lease: Lease,
    log: OrderLog,
    frozen_until_ms: u64,
    cut_off_until_ms: u64,
    next_read_ms: u64,
    incarnation: u64,
    /// Time by which its clock is behind.
    behind_ms: u64,
    /// When the daemon that is being stopped terminates.
    terminates_ms: Option<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let daemons = (0..4).map(|number| Daemon {
            lease: lease(&format!("vm-{number}"), 1),
            log: OrderLog::default(),
            frozen_until_ms: 0,
            cut_off_until_ms: 0,
            next_read_ms: 0,
            incarnation: 1,
            behind_ms: 0,
            terminates_ms: None,
        });
        Self {
            rng: fastrand::Rng::with_seed(seed),
            store: Store::default(),
            daemons: daemons.collect(),
            orders: Vec::new(),
            engine_orders: BTreeMap::new(),
            sent: Vec::new(),
            now_ms: 100,
            store_down_until_ms: 0,
            restore_due: None,
            restores: 0,
            two_holders_ms: None,
            clock: Clock::Continues,
            has_stops: false,
        }
    }

    /// Suspends a daemon's VM for a time.
    fn suspend(&mut self, number: usize, for_ms: u64) {
        let daemon = &mut self.daemons[number];
        daemon.frozen_until_ms = self.now_ms + for_ms;
        // A read after the VM resumes takes as long as any other.
        daemon.next_read_ms = daemon.frozen_until_ms + self.rng.u64(300..1_500);
        if self.clock == Clock::Stops {
            daemon.behind_ms += for_ms;
        }
    }

    /// Runs for a minute in which the holder is suspended repeatedly, for 0.5 to 30 s each time.
    fn run_suspending(&mut self) {
        let end_ms = self.now_ms + 60_000;
        while self.now_ms < end_ms {
            self.run(self.rng.clone().u64(100..9_000), false);
            let for_ms = self.rng.u64(500..30_000);
            let holder = self.orders.last().map_or(0, |(_, holder, _)| *holder);
            if self.now_ms >= self.daemons[holder].frozen_until_ms {
                self.suspend(holder, for_ms);
            }
        }
    }

    /// Returns the shortest time between orders of two VMs to one engine.
    fn shortest_handover_ms(&mut self) -> Option<u64> {
        let mut shortest_ms = None;
        for orders in self.engine_orders.values_mut() {
            orders.sort_unstable();
            for pair in orders.windows(2) {
                let ((before_ms, leader), (at_ms, next)) = (pair[0], pair[1]);
                if leader != next {
                    let gap_ms = at_ms - before_ms;
                    shortest_ms =
                        Some(shortest_ms.map_or(gap_ms, |shortest: u64| shortest.min(gap_ms)));
                }
            }
        }
        shortest_ms
    }

    fn run(&mut self, for_ms: u64, has_faults: bool) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.restore_if_due();
            self.store.apply_late(self.now_ms);
            self.store.keep_copy(self.now_ms);
            self.deliver();
            if has_faults {
                self.inject_fault();
            }
            for number in 0..self.daemons.len() {
                self.step(number);
            }
            if self.holders() > 1 {
                self.two_holders_ms.get_or_insert(self.now_ms);
            }
        }
    }

    /// Returns the number of daemons that hold the lease by their own clocks.
    fn holders(&self) -> usize {
        let is_holder =
            |daemon: &&Daemon| daemon.lease.is_holder(self.now_ms.saturating_sub(daemon.behind_ms));
        self.daemons.iter().filter(is_holder).count()
    }

    /// Takes the store away for up to 3 s, after which it has lost up to 6 s.
    fn lose_writes(&mut self) {
        let back_ms = self.now_ms + self.rng.u64(100..3_000);
        self.store_down_until_ms = back_ms;
        self.restore_due = Some((back_ms, self.now_ms.saturating_sub(self.rng.u64(0..6_000))));
    }

    fn restore_if_due(&mut self) {
        let now_ms = self.now_ms;
        if let Some((_, as_of_ms)) = self.restore_due.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.store.restore(as_of_ms);
            self.restores += 1;
        }
    }

    /// Runs for a minute with faults, in which the store is restored several times.
    fn run_restoring(&mut self) {
        for _ in 0..6 {
            let for_ms = self.rng.u64(2_000..10_000);
            self.run(for_ms, true);
            self.lose_writes();
        }
        self.run(10_000, true);
    }

    /// Checks that fencing tokens never decrease, that no two daemons share one or hold the lease at
    /// the same time, and that orders of two daemons to one engine keep the quiet time.
    fn check_orders(&mut self, seed: u64) {
        for pair in self.orders.windows(2) {
            let ((_, leader, token), (_, next, next_token)) = (pair[0], pair[1]);
            assert!(next_token >= token, "seed {seed}: token {token} then {next_token}");
            assert!(leader == next || next_token > token, "seed {seed}: one token, two VMs");
        }
        assert_eq!(self.two_holders_ms, None, "seed {seed}: two holders");
        let shortest_ms = self.shortest_handover_ms();
        assert!(
            shortest_ms.is_none_or(|ms| ms >= TIMING.quiet_ms),
            "seed {seed}: {shortest_ms:?} between orders of two VMs"
        );
    }

    fn inject_fault(&mut self) {
        let number = self.rng.usize(0..self.daemons.len());
        let until_ms = self.now_ms + self.rng.u64(500..9_000);
        match self.rng.u32(0..1_200) {
            0 => self.daemons[number].frozen_until_ms = until_ms,
            1 => self.daemons[number].cut_off_until_ms = until_ms,
            2 => self.store_down_until_ms = until_ms,
            3 => self.start_again(number),
            4..8 if self.has_stops => self.stop(number),
            _ => {}
        }
    }

    fn start_again(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.incarnation += 1;
        daemon.lease = lease(&format!("vm-{number}"), daemon.incarnation);
        daemon.log = OrderLog::default();
        daemon.next_read_ms = 0;
        daemon.terminates_ms = None;
    }

    /// Has a daemon release its lease. Open streams keep it alive for a time after that.
    fn stop(&mut self, number: usize) {
        let terminates_ms = self.now_ms + self.rng.u64(1_500..3_000);
        let daemon = &mut self.daemons[number];
        daemon.lease.release();
        daemon.terminates_ms.get_or_insert(terminates_ms);
    }

    /// Delivers the resignations that are due, except to frozen daemons.
    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for sent in self.sent.extract_if(.., |sent| sent.at_ms <= now_ms) {
            let daemon = &mut self.daemons[sent.to];
            if now_ms >= daemon.frozen_until_ms {
                let own_ms = now_ms - daemon.behind_ms;
                daemon.log.quiet_times_received(&sent.engines, own_ms);
                daemon.lease.resignation_received(sent.resignation, own_ms);
            }
        }
    }

    /// Steps down if that is due, and sends the resignation to the others from time to time.
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
            if to != number && self.rng.u32(0..10) == 0 {
                let at_ms = now_ms + self.rng.u64(1..400);
                self.sent.push(SentResignation {
                    at_ms,
                    to,
                    resignation,
                    engines: engines.clone(),
                });
            }
        }
    }

    fn order(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let engine = ENGINES[self.rng.usize(0..ENGINES.len())];
        let daemon = &mut self.daemons[number];
        // Orders are rare, so that some engines have had none lately.
        if self.rng.u32(0..8) > 0
            || !daemon.log.may_order(&engine.into(), now_ms - daemon.behind_ms)
        {
            return;
        }
        let arrives_ms = now_ms + self.rng.u64(0..FLIGHT_MS);
        daemon.log.record_send(&engine.into(), now_ms - daemon.behind_ms + FLIGHT_MS);
        self.engine_orders.entry(engine).or_default().push((arrives_ms, number));
    }

    fn step(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[number];
        if now_ms < daemon.frozen_until_ms {
            return;
        }
        if daemon.terminates_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            return self.start_again(number);
        }
        let own_ms = now_ms - daemon.behind_ms;
        let reaches_store = now_ms >= daemon.cut_off_until_ms && now_ms >= self.store_down_until_ms;
        if reaches_store && now_ms >= daemon.next_read_ms {
            daemon.next_read_ms = now_ms + self.rng.u64(300..1_500);
            daemon.lease.observed(self.store.row.clone(), self.store.version, own_ms);
        }
        daemon.lease.set_orders_in_flight(daemon.log.has_in_flight(own_ms));
        if let Some(write) = daemon.lease.due_write(own_ms) {
            let sent_ms = own_ms;
            let version = match self.rng.u32(0..20) {
                _ if !reaches_store => None,
                0 => {
                    // The write succeeds and its answer is lost.
                    self.store.write(&write);
                    None
                }
                1 => {
                    let at_ms = now_ms + self.rng.u64(500..6_000);
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
        // No order is sent shortly before the lease expires.
        if daemon.lease.order_window().contains(own_ms) {
            self.order(number);
        }
        self.step_down(number);
    }
}

/// Returns the row with which another daemon acquires the lease that a row holds.
fn other_row(row: &LeaseRow) -> LeaseRow {
    LeaseRow { holder: "vm-1".to_owned(), incarnation: 2, token: row.token + 1, ..row.clone() }
}

/// Has a daemon read the store's row and acquire the free lease.
fn acquire(lease: &mut Lease, store: &mut Store, now_ms: u64) {
    lease.observed(store.row.clone(), store.version, now_ms);
    let write = lease.due_write(now_ms).expect("the lease is free");
    let version = store.write(&write);
    lease.write_finished(write, version, now_ms, now_ms);
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    one_daemon_leads_at_once_if_there_is_no_row => {
        let mut simulation = Simulation::new(1);
        simulation.run(1_000, false);
        assert!(simulation.orders.iter().any(|(at_ms, ..)| *at_ms < 300));
        let leaders: std::collections::BTreeSet<usize> =
            simulation.orders.iter().map(|(_, leader, _)| *leader).collect();
        assert_eq!(leaders.len(), 1);
    }

    frozen_holder_is_replaced_and_gives_no_order_when_it_resumes => {
        let mut simulation = Simulation::new(2);
        simulation.run(2_000, false);
        let (_, holder, _) = *simulation.orders.last().expect("a daemon holds the lease");
        simulation.daemons[holder].frozen_until_ms = simulation.now_ms + 12_000;
        simulation.run(20_000, false);
        let (_, next, token) = *simulation.orders.last().expect("a daemon holds the lease");
        assert_ne!(next, holder);
        assert_eq!(token, 2);
        let orders_after_resuming = simulation.orders.iter().filter(|(at_ms, leader, _)| *at_ms > 14_000 && *leader == holder);
        assert_eq!(orders_after_resuming.count(), 0);
    }

    released_lease_is_acquired_before_it_would_expire => {
        let mut simulation = Simulation::new(3);
        simulation.run(2_000, false);
        let (released_ms, holder, _) = *simulation.orders.last().expect("a daemon holds the lease");
        simulation.daemons[holder].lease.release();
        simulation.run(8_000, false);
        assert!(simulation.daemons[holder].lease.is_release_done());
        let first = simulation.orders.iter().find(|(_, leader, _)| *leader != holder);
        let (first_ms, ..) = *first.expect("another daemon acquires it");
        assert!(first_ms >= released_ms + TIMING.quiet_ms);
        assert!(first_ms < released_ms + TIMING.quiet_ms + 2_000, "{first_ms} after {released_ms}");
    }

    store_outage_stops_orders_and_replaces_no_holder => {
        let mut simulation = Simulation::new(4);
        simulation.run(2_000, false);
        let (_, holder, token) = *simulation.orders.last().expect("a daemon holds the lease");
        simulation.store_down_until_ms = simulation.now_ms + 5_000;
        simulation.run(12_000, false);
        let (_, after, token_after) = *simulation.orders.last().expect("a daemon holds the lease");
        assert!(token_after == token && after == holder || token_after == token + 1);
    }

    // Orders of two VMs to one engine must keep the quiet time, and fencing tokens must never
    // decrease, whatever is frozen, partitioned, lost or late.
    orders_of_two_vms_to_one_engine_keep_the_quiet_time => {
        let (mut handovers, mut quick) = (0, 0);
        for seed in (0..400).chain([1_196]) {
            let mut simulation = Simulation::new(seed);
            simulation.run(60_000, true);
            for pair in simulation.orders.windows(2) {
                let ((before_ms, leader, token), (at_ms, next, next_token)) = (pair[0], pair[1]);
                assert!(next_token >= token, "seed {seed}: token {token} then {next_token}");
                if leader != next {
                    assert!(next_token > token, "seed {seed}: one token, two VMs");
                    handovers += 1;
                    quick += u32::from(at_ms - before_ms < TIMING.quiet_ms);
                }
            }
            for (engine, orders) in &mut simulation.engine_orders {
                orders.sort_unstable();
                for pair in orders.windows(2) {
                    let ((before_ms, leader), (at_ms, next)) = (pair[0], pair[1]);
                    let gap_ms = at_ms - before_ms;
                    let is_quiet = leader == next || gap_ms >= TIMING.quiet_ms;
                    assert!(is_quiet, "seed {seed}: {gap_ms} ms at {engine}, {at_ms}");
                }
            }
        }
        assert!(handovers > 100 && quick > 20, "{handovers} handovers, {quick} of them quick");
    }

    // The holder is suspended for 0.5 to 30 s, repeatedly.
    quiet_time_is_kept_while_vms_are_suspended => {
        let mut handovers = 0;
        for seed in 0..200 {
            let mut simulation = Simulation::new(seed);
            simulation.run_suspending();
            let shortest_ms = simulation.shortest_handover_ms();
            handovers += u32::from(shortest_ms.is_some());
            assert!(shortest_ms.is_none_or(|ms| ms >= TIMING.quiet_ms), "seed {seed}: {shortest_ms:?}");
        }
        assert!(handovers > 150, "{handovers}");
    }

    // Shows that the check above can fail: with a clock that stops during suspension, a leader
    // resumes and continues to order under a lease that another one has acquired.
    clock_that_stops_during_suspension_breaks_the_quiet_time => {
        let simulations = (0..200).map(|seed| Simulation { clock: Clock::Stops, ..Simulation::new(seed) });
        let too_soon = simulations.filter_map(|mut simulation| {
            simulation.run_suspending();
            simulation.shortest_handover_ms().filter(|ms| *ms < TIMING.quiet_ms)
        });
        assert!(too_soon.count() > 20);
    }

    // A holder that lost the store left all engines without orders for 5.3 s.
    holder_that_steps_down_is_replaced_before_its_lease_would_expire => {
        let mut simulation = Simulation::new(5);
        simulation.run(4_000, false);
        let (_, holder, _) = *simulation.orders.last().expect("a daemon holds the lease");
        let cut_ms = simulation.now_ms;
        simulation.daemons[holder].cut_off_until_ms = cut_ms + 20_000;
        simulation.run(6_000, false);
        let first = simulation.orders.iter().find(|(_, leader, _)| *leader != holder);
        let (first_ms, ..) = *first.expect("another daemon acquires it");
        assert!(first_ms < cut_ms + TIMING.hold_ms + 1_500, "{first_ms} after {cut_ms}");
    }

    // A store that is restored has an earlier row, with a token that another daemon has used since.
    orders_of_two_vms_keep_the_quiet_time_when_the_store_is_restored => {
        let mut restores = 0;
        for seed in 0..400 {
            let mut simulation = Simulation::new(seed);
            simulation.run_restoring();
            restores += simulation.restores;
            simulation.check_orders(seed);
        }
        assert!(restores > 1_000, "{restores}");
    }

    // The row's version was lower than the known one, and each daemon ignored the row for ever.
    orders_resume_after_the_store_was_restored => {
        for seed in 0..100 {
            let mut simulation = Simulation::new(seed);
            simulation.run(20_000, false);
            simulation.lose_writes();
            simulation.run(15_000, false);
            let (last_ms, ..) = *simulation.orders.last().expect("a daemon holds the lease");
            assert!(last_ms + 1_000 > simulation.now_ms, "seed {seed}: the last order was at {last_ms}");
        }
    }

    // A stopped leader went on giving orders until the store had answered the write that releases its
    // lease. If that answer was lost, its successor ordered the same engine 2.4 s later.
    orders_of_two_vms_keep_the_quiet_time_when_leases_are_released => {
        let mut handovers = 0;
        for seed in 0..400 {
            let mut simulation = Simulation { has_stops: true, ..Simulation::new(seed) };
            simulation.run(60_000, true);
            handovers += simulation.orders.windows(2).filter(|pair| pair[0].1 != pair[1].1).count();
            simulation.check_orders(seed);
        }
        assert!(handovers > 1_000, "{handovers}");
    }

    daemon_that_releases_its_lease_does_nothing_more_by_it => {
        let mut holder = lease("vm-0", 1);
        let mut store = Store::default();
        acquire(&mut holder, &mut store, 1_000);
        assert!(holder.is_holder(1_100) && holder.order_window().contains(1_100));
        holder.release();
        assert!(!holder.is_holder(1_100));
        assert_eq!(holder.order_window().held_until_ms, 0);
        assert_eq!(holder.may_order(1_100), None);
        // The release is written and its answer lost; the row is read back.
        let release = holder.due_write(1_100).expect("the release is written");
        let version = store.write(&release).expect("the row is as expected");
        holder.write_finished(release.clone(), None, 1_100, 1_150);
        assert!(!holder.is_release_done());
        holder.observed(Some(release.row), version, 1_200);
        assert!(holder.is_release_done() && !holder.is_holder(1_200));
        assert_eq!(holder.due_write(9_000), None);
    }

    release_is_written_once_no_order_is_in_flight => {
        let mut holder = lease("vm-0", 1);
        acquire(&mut holder, &mut Store::default(), 1_000);
        holder.release();
        holder.set_orders_in_flight(true);
        assert_eq!(holder.due_write(1_100), None);
        holder.set_orders_in_flight(false);
        assert!(holder.due_write(1_200).is_some_and(|write| write.row.is_released));
    }

    // The daemon terminated while the write that acquires the lease was in flight, and nobody led the
    // group until that lease had expired.
    release_waits_for_a_write_that_may_acquire_the_lease => {
        let mut holder = lease("vm-0", 1);
        let mut store = Store::default();
        holder.observed(None, store.version, 1_000);
        let acquisition = holder.due_write(1_000).expect("the lease is free");
        holder.release();
        assert!(!holder.is_release_done());
        let version = store.write(&acquisition);
        holder.write_finished(acquisition, version, 1_000, 1_020);
        assert!(!holder.is_holder(1_020) && !holder.is_release_done());
        let release = holder.due_write(1_020).expect("the release is written at once");
        let version = store.write(&release);
        holder.write_finished(release, version, 1_020, 1_040);
        assert!(holder.is_release_done());
    }

    // The answer of an earlier write made a daemon the holder again whose lease another daemon had
    // acquired by then.
    holder_whose_row_was_read_back_as_another_daemons_is_not_made_holder_by_a_late_answer => {
        let mut store = Store::default();
        let mut holder = lease("vm-0", 1);
        acquire(&mut holder, &mut store, 1_000);
        let renewal = holder.due_write(1_600).expect("the renewal is due");
        let version = store.write(&renewal);
        let other = LeaseWrite { expected: store.version, row: other_row(&renewal.row) };
        store.write(&other).expect("the row is as expected");
        holder.observed(store.row.clone(), store.version, 1_700);
        assert!(!holder.is_holder(1_700));
        holder.write_finished(renewal, version, 1_600, 1_800);
        assert!(!holder.is_holder(1_800));
        assert_eq!(holder.seen().map(|(row, _)| row.holder.as_str()), Some("vm-1"));
    }

    // A row that was not understood counted as free: its holder and the next one gave orders at once.
    row_that_is_not_understood_counts_as_held => {
        let mut store = Store::default();
        let (mut holder, mut other) = (lease("vm-0", 1), lease("vm-1", 1));
        acquire(&mut holder, &mut store, 1_000);
        other.observed(store.row.clone(), store.version, 1_000);
        let unreadable = StoreVersion { number: store.version.number + 1, ..store.version };
        for lease in [&mut holder, &mut other] {
            lease.observed(None, unreadable, 1_500);
            assert!(!lease.is_holder(1_500));
            assert_eq!(lease.due_write(1_500 + TIMING.hold_ms), None);
        }
        let due_ms = 1_500 + TIMING.hold_ms + 300;
        let write = other.due_write(due_ms).expect("the lease has expired");
        assert_eq!(write.row.token, 2);
        other.write_finished(write, Some(StoreVersion { number: 9, ..unreadable }), due_ms, due_ms);
        assert!(other.order_window().from_ms >= 1_500 + TIMING.hold_ms + TIMING.quiet_ms);
    }

    row_with_a_token_that_no_leader_can_have_counts_as_held => {
        let mut store = Store::default();
        let (mut holder, mut other) = (lease("vm-0", 1), lease("vm-1", 1));
        acquire(&mut holder, &mut store, 1_000);
        let (row, version) = holder.seen().expect("the row was written");
        let row = LeaseRow { token: u64::MAX, is_released: true, ..row.clone() };
        other.observed(Some(row), version, 1_500);
        assert_eq!(other.due_write(1_500 + TIMING.hold_ms), None);
        assert!(other.due_write(1_500 + TIMING.hold_ms + 300).is_some());
    }

    // After a restore of the store a renewal has a new token; its answer made a daemon the holder
    // again that had stepped down meanwhile.
    holder_that_steps_down_while_it_renews_is_not_made_holder_by_the_answer => {
        for is_restored in [false, true] {
            let mut store = Store::default();
            let mut holder = lease("vm-0", 1);
            acquire(&mut holder, &mut store, 1_000);
            if is_restored {
                store.version.era += 1;
                holder.observed(store.row.clone(), store.version, 1_500);
            }
            let renewal = holder.due_write(1_600).expect("the renewal is due");
            holder.resign(1_650);
            let version = store.write(&renewal);
            holder.write_finished(renewal.clone(), version, 1_600, 1_700);
            assert!(!holder.is_holder(1_700), "restored: {is_restored}");
            let resignation = holder.resignation(0, 1_700).expect("it has stepped down");
            assert_eq!(resignation.token, renewal.row.token);
        }
    }

    orders_resume_after_faults => {
        for seed in 0..100 {
            let mut simulation = Simulation::new(seed);
            simulation.run(20_000, true);
            simulation.run(25_000, false);
            let (last_ms, ..) = *simulation.orders.last().expect("a daemon holds the lease");
            assert!(last_ms + 1_000 > simulation.now_ms, "seed {seed}: the last order was at {last_ms}");
        }
    }
}
