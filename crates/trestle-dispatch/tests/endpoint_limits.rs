//! Limits that endpoints announce: the requests of all daemons together stay within them, and the
//! accepted rate is used.

use trestle_core::names::DomainName;
use trestle_dispatch::{
    backpressure::{Answer, Backpressure},
    endpoint::Incarnation,
    endpoint_limits::{EndpointLimits, ObservedLimit, PERMIT_VALID_MS, SendPermit},
    quota_allocator::HeldLease,
    signals::{EndpointSignals, HeaderField},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

/// Time from the first announcement of a limit until it must be respected.
const REACTION_MS: u64 = 3_000;
/// Length of the window over which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time from when a daemon receives a limit until its requests count.
const INFORMED_MS: u64 = 500;
/// How far a limit may be exceeded in a window: by this factor, and by `FIXED` requests.
const FACTOR: f64 = 1.5;
const FIXED: f64 = 5.0;
/// Time from when a request is sent until its answer arrives.
const ANSWER_MS: u64 = 20;
/// Longest time by which a request may be sent after its permit expired.
const SEND_MS: u64 = 300;
/// Time for which a lease is held after a renewal.
const LEASE_MS: u64 = 2_000;
/// When callers start.
const BEGIN_MS: u64 = 10_000;
/// Time for which callers send requests.
const LENGTH_MS: u64 = 40_000;

fn incarnation() -> Incarnation {
    Incarnation { name: "i-1".into(), started_unix_ms: 7 }
}

fn group() -> DomainName {
    "z".into()
}

/// Returns a lease that was just renewed.
fn lease(token: u64, now_ms: u64) -> HeldLease {
    HeldLease { token, until_ms: now_ms + LEASE_MS }
}

/// Returns the signals of an answer that announces a limit.
fn announcing(per_ks: Option<u64>) -> EndpointSignals {
    let limit_per_ks = per_ks.map_or(HeaderField::Absent, HeaderField::Value);
    EndpointSignals { limit_per_ks, ..EndpointSignals::default() }
}

fn success<'a>(signals: &'a EndpointSignals, sent_ms: u64) -> Answer<'a> {
    Answer { signals, is_success: true, id: "1", sent_ms }
}

/// One daemon.
#[derive(Default)]
struct Daemon {
    backpressure: Backpressure,
    /// The limits that the daemon enforces while it leads.
    limits: EndpointLimits,
    /// Answers in transit to the daemon: when they arrive, when their request was sent, and the
    /// limit that they announce.
    answers: Vec<(u64, u64, Option<u64>)>,
    /// Time until which the daemon reaches only the endpoint.
    cut_off_until_ms: u64,
    /// Time until which the daemon is frozen.
    frozen_until_ms: u64,
    /// When an answer first announced a limit to the daemon.
    informed_ms: Option<u64>,
    sends: usize,
}

/// Daemons that send requests to one endpoint, in virtual time.
struct Simulation {
    daemons: Vec<Daemon>,
    leader: usize,
    /// The previous leader, which some daemons still query.
    former: usize,
    token: u64,
    /// Time from which on the leader holds its lease.
    leads_from_ms: u64,
    now_ms: u64,
    /// The limit that the endpoint announces in its answers.
    per_ks: Option<u64>,
    /// When requests arrived, and whether their daemon knew of a limit by then.
    arrivals: Vec<(u64, bool)>,
    random: fastrand::Rng,
}

impl Simulation {
    fn new(daemons: usize, per_ks: Option<u64>, seed: u64) -> Self {
        Self {
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            leader: 0,
            former: 0,
            token: 1,
            leads_from_ms: 0,
            now_ms: BEGIN_MS,
            per_ks,
            arrivals: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for daemon in &mut self.daemons {
            if now_ms < daemon.frozen_until_ms {
                continue;
            }
            for (_, sent_ms, per_ks) in
                daemon.answers.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            {
                let signals = announcing(per_ks);
                daemon.backpressure.apply_answer(
                    &incarnation(),
                    success(&signals, sent_ms),
                    now_ms,
                );
                if per_ks.is_some() {
                    daemon.informed_ms.get_or_insert(now_ms);
                }
            }
        }
    }

    /// Simulates a request at a daemon. Returns whether the request was sent.
    fn request(&mut self, index: usize) -> bool {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        if now_ms < daemon.frozen_until_ms
            || daemon.backpressure.limit_closed_for_ms(&incarnation(), now_ms).is_some()
        {
            return false;
        }
        let Some(observed) = daemon.backpressure.permit_requested(&incarnation(), now_ms) else {
            self.send(index, 0);
            return true;
        };
        match self.request_permit(index, observed) {
            SendPermit::Lent => {
                // Most requests are sent at once, some as late as allowed.
                let max_delay_ms = PERMIT_VALID_MS + SEND_MS;
                let delay_ms =
                    if self.random.u8(..4) == 0 { self.random.u64(..max_delay_ms) } else { 0 };
                self.send(index, delay_ms);
                return true;
            }
            SendPermit::Refused { in_ms } => {
                self.daemons[index].backpressure.permit_refused(&incarnation(), in_ms, now_ms)
            }
            SendPermit::NotLending => {
                self.daemons[index].backpressure.allocator_unreachable(&incarnation(), now_ms)
            }
            SendPermit::Lifted => {
                self.daemons[index].backpressure.limit_lifted(&incarnation(), now_ms);
            }
        }
        false
    }

    fn request_permit(&mut self, index: usize, observed: ObservedLimit) -> SendPermit {
        let now_ms = self.now_ms;
        let queried = if self.random.u8(..4) == 0 { self.former } else { self.leader };
        let is_reached = now_ms >= self.daemons[index].cut_off_until_ms || index == queried;
        let holds = queried == self.leader && now_ms >= self.leads_from_ms;
        let daemon = &mut self.daemons[queried];
        if !is_reached || now_ms < daemon.cut_off_until_ms || now_ms < daemon.frozen_until_ms {
            return SendPermit::NotLending;
        }
        let held = holds.then(|| lease(self.token, now_ms));
        let permit = daemon.limits.request_permit(&incarnation(), &group(), held, observed, now_ms);
        // A permit may have been granted although the answer is lost.
        if self.random.u8(..50) == 0 { SendPermit::NotLending } else { permit }
    }

    fn send(&mut self, index: usize, delay_ms: u64) {
        let at_ms = self.now_ms + delay_ms;
        let daemon = &mut self.daemons[index];
        let is_informed =
            daemon.informed_ms.is_some_and(|informed_ms| informed_ms + INFORMED_MS <= at_ms);
        self.arrivals.push((at_ms, is_informed));
        daemon.sends += 1;
        daemon.answers.push((at_ms + ANSWER_MS, at_ms, self.per_ks));
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let (now_ms, count) = (self.now_ms, self.daemons.len());
        let index = self.random.usize(..count);
        let until_ms = now_ms + self.random.u64(..6_000);
        match self.random.u8(..5) {
            0 => {
                self.daemons[index] = Daemon::default();
                if index == self.leader {
                    self.acquire_lease(index);
                }
            }
            1 => self.daemons[index].cut_off_until_ms = until_ms,
            2 => self.daemons[index].frozen_until_ms = until_ms,
            3 => self.daemons[self.leader].frozen_until_ms = until_ms,
            _ => self.acquire_lease(index),
        }
    }

    /// Lets a daemon acquire the lease, which the previous leader no longer holds.
    fn acquire_lease(&mut self, index: usize) {
        self.former = self.leader;
        self.leader = index;
        self.token += 1;
        self.leads_from_ms = self.now_ms + self.random.u64(..2_000);
    }

    /// Simulates callers that send `per_s` requests a second to all daemons, with faults at the
    /// given rate.
    fn run(&mut self, length_ms: u64, per_s: f64, faults_per_s: f64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.deliver();
            if self.random.f64() < faults_per_s / 100.0 {
                self.inject_fault();
            }
            let expected = per_s / 100.0;
            let count = expected as usize + usize::from(self.random.f64() < expected.fract());
            for _ in 0..count {
                let index = self.random.usize(..self.daemons.len());
                self.request(index);
            }
            self.now_ms += 10;
        }
    }

    /// Returns the most requests in any window, once the limit had been announced for a while.
    fn max_in_window(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let counted = self
            .arrivals
            .iter()
            .filter(|(at_ms, informed)| *informed && *at_ms >= BEGIN_MS + REACTION_MS);
        let times: Vec<u64> = counted.map(|(at_ms, _)| *at_ms).collect();
        let until = |begin: u64| times.partition_point(|at| *at < begin + WINDOW_MS);
        times.iter().enumerate().map(|(index, begin)| until(*begin) - index).max().unwrap_or(0)
    }

    /// Returns the number of requests that arrived in a period.
    fn arrived(&self, from_ms: u64, until_ms: u64) -> usize {
        self.arrivals.iter().filter(|(at, _)| (from_ms..until_ms).contains(at)).count()
    }
}

fn allowed(per_ks: u64) -> usize {
    (per_ks as f64 / 1e3 * FACTOR * WINDOW_MS as f64 / 1e3 + FIXED).floor() as usize
}

/// Returns a simulation in which callers sent requests all the time, with faults at the given
/// rate.
fn finished_simulation(daemons: usize, per_ks: u64, faults_per_s: f64, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(daemons, Some(per_ks), seed);
    simulation.run(LENGTH_MS, 200.0, faults_per_s);
    simulation
}

fn check_respected(simulation: &mut Simulation, per_ks: u64, case: &str) {
    let (largest, allowed) = (simulation.max_in_window(), allowed(per_ks));
    assert!(largest <= allowed, "{case}, {per_ks} in 1,000 s: {largest} of {allowed}");
}

cases! {
    no_history_exceeds_an_endpoints_limit => {
        for (daemons, seeds) in [(2, 40), (6, 60), (71, 20), (300, 6)] {
            for per_ks in [0, 100, 1_000, 1_300, 10_000, 60_000] {
                for seed in 0..seeds {
                    let mut simulation = finished_simulation(daemons, per_ks, 0.5, seed);
                    check_respected(&mut simulation, per_ks, &format!("{daemons} daemons, seed {seed}"));
                }
            }
        }
    }

    limits_that_change_with_each_answer_are_respected => {
        for seed in 0..40 {
            let mut simulation = Simulation::new(6, Some(2_000), seed);
            for turn in 0..40 {
                simulation.per_ks = Some([1_000, 1_300, 2_000][turn % 3]);
                simulation.run(LENGTH_MS / 40, 200.0, 0.5);
            }
            check_respected(&mut simulation, 1_300, &format!("seed {seed}"));
        }
    }

    the_accepted_rate_is_used => {
        for daemons in [1, 6, 71, 300] {
            for per_ks in [1_000, 2_000, 10_000] {
                let simulation = finished_simulation(daemons, per_ks, 0.0, 1);
                let begin_ms = BEGIN_MS + REACTION_MS;
                let got = simulation.arrived(begin_ms, BEGIN_MS + LENGTH_MS) as f64;
                let expected_count = per_ks as f64 / 1e6 * (LENGTH_MS - REACTION_MS) as f64;
                assert!(got >= expected_count * 0.8, "{daemons} daemons, {per_ks}: {got} of {expected_count}");
            }
        }
    }

    an_endpoint_with_a_tiny_limit_still_receives_requests => {
        for per_ks in [0, 50] {
            let simulation = finished_simulation(6, per_ks, 0.0, 1);
            assert!(simulation.arrived(BEGIN_MS + REACTION_MS, BEGIN_MS + LENGTH_MS) >= 5, "{per_ks}");
        }
    }

    a_lifted_limit_ends_within_seconds_and_step_by_step => {
        for daemons in [1, 6, 71] {
            let mut simulation = finished_simulation(daemons, 1_000, 0.0, 1);
            simulation.per_ks = None;
            let lifted_ms = simulation.now_ms;
            simulation.run(20_000, 200.0, 0.0);
            let first_s = simulation.arrived(lifted_ms, lifted_ms + 1_000);
            assert!(first_s <= 10, "{daemons} daemons: {first_s} in the first second");
            let later_s = simulation.arrived(lifted_ms + 14_000, lifted_ms + 15_000);
            assert!(later_s >= 150, "{daemons} daemons: {later_s} in the fifteenth second");
        }
    }

    a_limit_that_is_announced_again_while_it_is_lifted_holds => {
        for seed in 0..20 {
            let mut simulation = finished_simulation(6, 1_000, 0.0, seed);
            simulation.per_ks = None;
            simulation.run(4_500, 200.0, 0.0);
            simulation.per_ks = Some(1_000);
            let announced_ms = simulation.now_ms;
            simulation.run(10_000, 200.0, 0.0);
            simulation.arrivals.retain(|(at_ms, _)| *at_ms >= announced_ms + REACTION_MS);
            check_respected(&mut simulation, 1_000, &format!("seed {seed}"));
        }
    }

    a_single_answer_without_a_limit_does_not_lift_it => {
        let mut simulation = finished_simulation(6, 1_000, 0.0, 3);
        for _ in 0..40 {
            simulation.per_ks = None;
            simulation.run(150, 200.0, 0.0);
            simulation.per_ks = Some(1_000);
            simulation.run(850, 200.0, 0.0);
        }
        check_respected(&mut simulation, 1_000, "a limit that some answers lack");
    }

    an_isolated_daemon_sends_nothing_to_a_limited_endpoint => {
        let mut simulation = Simulation::new(3, Some(10_000), 1);
        simulation.daemons[2].cut_off_until_ms = u64::MAX;
        simulation.run(2_000, 200.0, 0.0);
        let before = simulation.daemons[2].sends;
        simulation.run(10_000, 200.0, 0.0);
        assert_eq!(simulation.daemons[2].sends, before);
    }

    the_limit_of_one_incarnation_does_not_apply_to_the_next => {
        let mut backpressure = Backpressure::default();
        let signals = announcing(Some(1_000));
        backpressure.apply_answer(&incarnation(), success(&signals, 0), 10);
        assert!(backpressure.limit(&incarnation()).is_some());
        assert!(backpressure.limit(&Incarnation { started_unix_ms: 8, ..incarnation() }).is_none());
    }

    an_answer_to_an_earlier_request_does_not_lift_a_limit => {
        let mut backpressure = Backpressure::default();
        let (announced, without_limit) = (announcing(Some(1_000)), announcing(None));
        backpressure.apply_answer(&incarnation(), success(&announced, 0), 100);
        backpressure.apply_answer(&incarnation(), success(&without_limit, 50), 110);
        assert_eq!(backpressure.permit_requested(&incarnation(), 200).map(|observed| observed.answers_without_limit), Some(0));
        backpressure.apply_answer(&incarnation(), success(&without_limit, 100), 210);
        assert_eq!(backpressure.permit_requested(&incarnation(), 300).map(|observed| observed.answers_without_limit), Some(1));
    }

    an_unreadable_limit_changes_nothing_and_is_reported_once => {
        let mut backpressure = Backpressure::default();
        let (announced, unreadable) = (announcing(Some(1_000)), EndpointSignals {
            limit_per_ks: HeaderField::unreadable("NaN"),
            ..EndpointSignals::default()
        });
        backpressure.apply_answer(&incarnation(), success(&announced, 0), 100);
        assert_eq!(backpressure.apply_answer(&incarnation(), success(&unreadable, 150), 160).len(), 1);
        assert_eq!(backpressure.apply_answer(&incarnation(), success(&unreadable, 170), 180).len(), 0);
        assert_eq!(backpressure.limit(&incarnation()).map(|limit| limit.per_ks), Some(1_000));
        assert_eq!(backpressure.permit_requested(&incarnation(), 200).map(|observed| observed.answers_without_limit), Some(0));
    }
}
