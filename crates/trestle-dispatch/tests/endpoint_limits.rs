//! Limits that endpoints name: what all daemons send together stays within them, and what an
//! endpoint takes is sent.

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

/// Time from when a limit is first named until it must be kept.
const CONTACT_MS: u64 = 3_000;
/// The stretch of time over which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time from when a daemon is told of a limit until its requests count.
const TOLD_MS: u64 = 500;
/// How far a limit may be exceeded in it: by this factor, and so many requests.
const FACTOR: f64 = 1.5;
const FIXED: f64 = 5.0;
/// Time from when a request leaves until its answer is there.
const ANSWER_MS: u64 = 20;
/// Longest time by which a request may leave after its place could last be used.
const SEND_MS: u64 = 300;
/// How long a lease is held after a renewal.
const LEASE_MS: u64 = 2_000;
/// When callers begin.
const BEGIN_MS: u64 = 10_000;
/// For how long they ask.
const LENGTH_MS: u64 = 40_000;

fn incarnation() -> Incarnation {
    Incarnation { name: "i-1".into(), started_unix_ms: 7 }
}

fn group() -> DomainName {
    "z".into()
}

/// A lease that was renewed just now.
fn lease(token: u64, now_ms: u64) -> HeldLease {
    HeldLease { token, until_ms: now_ms + LEASE_MS }
}

/// What a daemon is told in answers that name a limit.
fn names(per_ks: Option<u64>) -> EndpointSignals {
    let limit_per_ks = per_ks.map_or(HeaderField::Absent, HeaderField::Value);
    EndpointSignals { limit_per_ks, ..EndpointSignals::default() }
}

fn success<'a>(notice: &'a EndpointSignals, sent_ms: u64) -> Answer<'a> {
    Answer { signals: notice, is_success: true, id: "1", sent_ms }
}

/// One daemon.
#[derive(Default)]
struct Daemon {
    backpressure: Backpressure,
    /// What it decides while it leads.
    limits: EndpointLimits,
    /// Answers on their way to it: when they come, when their request left, and what they name.
    answers: Vec<(u64, u64, Option<u64>)>,
    /// Until when it reaches nobody but the endpoint.
    cut_off_until_ms: u64,
    /// Until when it stands still.
    frozen_until_ms: u64,
    /// When an answer first named a limit to it.
    told_ms: Option<u64>,
    sends: usize,
}

/// Daemons before one endpoint, in virtual time.
struct World {
    daemons: Vec<Daemon>,
    leader: usize,
    /// The one that led before, which some still ask.
    former: usize,
    token: u64,
    /// From when on the leader holds its lease.
    leads_from_ms: u64,
    now_ms: u64,
    /// What the endpoint names in its answers.
    per_ks: Option<u64>,
    /// When requests arrived, and whether their daemon had been told by then.
    arrivals: Vec<(u64, bool)>,
    random: fastrand::Rng,
}

impl World {
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
                let notice = names(per_ks);
                daemon.backpressure.apply_answer(&incarnation(), success(&notice, sent_ms), now_ms);
                if per_ks.is_some() {
                    daemon.told_ms.get_or_insert(now_ms);
                }
            }
        }
    }

    /// A request at a daemon; returns whether it was sent.
    fn request(&mut self, index: usize) -> bool {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        if now_ms < daemon.frozen_until_ms
            || daemon.backpressure.limit_closed_for_ms(&incarnation(), now_ms).is_some()
        {
            return false;
        }
        let Some(heard) = daemon.backpressure.permit_requested(&incarnation(), now_ms) else {
            self.send(index, 0);
            return true;
        };
        match self.ask(index, heard) {
            SendPermit::Lent => {
                // Most leave at once, some as late as they may.
                let latest_ms = PERMIT_VALID_MS + SEND_MS;
                let late_ms =
                    if self.random.u8(..4) == 0 { self.random.u64(..latest_ms) } else { 0 };
                self.send(index, late_ms);
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

    fn ask(&mut self, index: usize, heard: ObservedLimit) -> SendPermit {
        let now_ms = self.now_ms;
        let asked = if self.random.u8(..4) == 0 { self.former } else { self.leader };
        let is_reached = now_ms >= self.daemons[index].cut_off_until_ms || index == asked;
        let holds = asked == self.leader && now_ms >= self.leads_from_ms;
        let daemon = &mut self.daemons[asked];
        if !is_reached || now_ms < daemon.cut_off_until_ms || now_ms < daemon.frozen_until_ms {
            return SendPermit::NotLending;
        }
        let held = holds.then(|| lease(self.token, now_ms));
        let place = daemon.limits.request_permit(&incarnation(), &group(), held, heard, now_ms);
        // An answer that is lost may have lent.
        if self.random.u8(..50) == 0 { SendPermit::NotLending } else { place }
    }

    fn send(&mut self, index: usize, late_ms: u64) {
        let at_ms = self.now_ms + late_ms;
        let daemon = &mut self.daemons[index];
        let is_told = daemon.told_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= at_ms);
        self.arrivals.push((at_ms, is_told));
        daemon.sends += 1;
        daemon.answers.push((at_ms + ANSWER_MS, at_ms, self.per_ks));
    }

    /// Something goes wrong somewhere.
    fn trouble(&mut self) {
        let (now_ms, count) = (self.now_ms, self.daemons.len());
        let index = self.random.usize(..count);
        let until_ms = now_ms + self.random.u64(..6_000);
        match self.random.u8(..5) {
            0 => {
                self.daemons[index] = Daemon::default();
                if index == self.leader {
                    self.take_lease(index);
                }
            }
            1 => self.daemons[index].cut_off_until_ms = until_ms,
            2 => self.daemons[index].frozen_until_ms = until_ms,
            3 => self.daemons[self.leader].frozen_until_ms = until_ms,
            _ => self.take_lease(index),
        }
    }

    /// A daemon takes the lease, which the one before no longer holds.
    fn take_lease(&mut self, index: usize) {
        self.former = self.leader;
        self.leader = index;
        self.token += 1;
        self.leads_from_ms = self.now_ms + self.random.u64(..2_000);
    }

    /// Plays callers that ask all daemons so often, with troubles so often.
    fn play(&mut self, length_ms: u64, per_s: f64, troubles_per_s: f64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.deliver();
            if self.random.f64() < troubles_per_s / 100.0 {
                self.trouble();
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

    /// The most requests in any stretch after the limit was named for a while.
    fn most_in_window(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let counted =
            self.arrivals.iter().filter(|(at_ms, told)| *told && *at_ms >= BEGIN_MS + CONTACT_MS);
        let times: Vec<u64> = counted.map(|(at_ms, _)| *at_ms).collect();
        let until = |begin: u64| times.partition_point(|at| *at < begin + WINDOW_MS);
        times.iter().enumerate().map(|(index, begin)| until(*begin) - index).max().unwrap_or(0)
    }

    /// Requests that arrived in a stretch of time.
    fn arrived(&self, from_ms: u64, until_ms: u64) -> usize {
        self.arrivals.iter().filter(|(at, _)| (from_ms..until_ms).contains(at)).count()
    }
}

fn allowed(per_ks: u64) -> usize {
    (per_ks as f64 / 1e3 * FACTOR * WINDOW_MS as f64 / 1e3 + FIXED).floor() as usize
}

/// A world after callers have asked all the time, with troubles so often.
fn played(daemons: usize, per_ks: u64, troubles_per_s: f64, seed: u64) -> World {
    let mut world = World::new(daemons, Some(per_ks), seed);
    world.play(LENGTH_MS, 200.0, troubles_per_s);
    world
}

fn check_kept(world: &mut World, per_ks: u64, what: &str) {
    let (most, allowed) = (world.most_in_window(), allowed(per_ks));
    assert!(most <= allowed, "{what}, {per_ks} in 1,000 s: {most} of {allowed}");
}

cases! {
    no_history_sends_an_endpoint_more_than_it_takes => {
        for (daemons, seeds) in [(2, 40), (6, 60), (71, 20), (300, 6)] {
            for per_ks in [0, 100, 1_000, 1_300, 10_000, 60_000] {
                for seed in 0..seeds {
                    let mut world = played(daemons, per_ks, 0.5, seed);
                    check_kept(&mut world, per_ks, &format!("{daemons} daemons, seed {seed}"));
                }
            }
        }
    }

    limits_that_change_from_answer_to_answer_are_kept => {
        for seed in 0..40 {
            let mut world = World::new(6, Some(2_000), seed);
            for turn in 0..40 {
                world.per_ks = Some([1_000, 1_300, 2_000][turn % 3]);
                world.play(LENGTH_MS / 40, 200.0, 0.5);
            }
            check_kept(&mut world, 1_300, &format!("seed {seed}"));
        }
    }

    what_an_endpoint_takes_is_sent => {
        for daemons in [1, 6, 71, 300] {
            for per_ks in [1_000, 2_000, 10_000] {
                let world = played(daemons, per_ks, 0.0, 1);
                let begin_ms = BEGIN_MS + CONTACT_MS;
                let got = world.arrived(begin_ms, BEGIN_MS + LENGTH_MS) as f64;
                let takes = per_ks as f64 / 1e6 * (LENGTH_MS - CONTACT_MS) as f64;
                assert!(got >= takes * 0.8, "{daemons} daemons, {per_ks}: {got} of {takes}");
            }
        }
    }

    an_endpoint_that_takes_next_to_nothing_is_still_asked => {
        for per_ks in [0, 50] {
            let world = played(6, per_ks, 0.0, 1);
            assert!(world.arrived(BEGIN_MS + CONTACT_MS, BEGIN_MS + LENGTH_MS) >= 5, "{per_ks}");
        }
    }

    a_limit_that_is_lifted_comes_to_its_end_within_seconds_and_step_by_step => {
        for daemons in [1, 6, 71] {
            let mut world = played(daemons, 1_000, 0.0, 1);
            world.per_ks = None;
            let lifted_ms = world.now_ms;
            world.play(20_000, 200.0, 0.0);
            let first_s = world.arrived(lifted_ms, lifted_ms + 1_000);
            assert!(first_s <= 10, "{daemons} daemons: {first_s} in the first second");
            let later_s = world.arrived(lifted_ms + 14_000, lifted_ms + 15_000);
            assert!(later_s >= 150, "{daemons} daemons: {later_s} in the fifteenth second");
        }
    }

    a_limit_that_is_named_again_while_it_is_lifted_holds => {
        for seed in 0..20 {
            let mut world = played(6, 1_000, 0.0, seed);
            world.per_ks = None;
            world.play(4_500, 200.0, 0.0);
            world.per_ks = Some(1_000);
            let named_ms = world.now_ms;
            world.play(10_000, 200.0, 0.0);
            world.arrivals.retain(|(at_ms, _)| *at_ms >= named_ms + CONTACT_MS);
            check_kept(&mut world, 1_000, &format!("seed {seed}"));
        }
    }

    a_single_answer_without_a_limit_lifts_none => {
        let mut world = played(6, 1_000, 0.0, 3);
        for _ in 0..40 {
            world.per_ks = None;
            world.play(150, 200.0, 0.0);
            world.per_ks = Some(1_000);
            world.play(850, 200.0, 0.0);
        }
        check_kept(&mut world, 1_000, "now and then not named");
    }

    a_daemon_alone_sends_nothing_to_an_endpoint_that_names_a_limit => {
        let mut world = World::new(3, Some(10_000), 1);
        world.daemons[2].cut_off_until_ms = u64::MAX;
        world.play(2_000, 200.0, 0.0);
        let before = world.daemons[2].sends;
        world.play(10_000, 200.0, 0.0);
        assert_eq!(world.daemons[2].sends, before);
    }

    what_is_heard_of_one_life_says_nothing_of_the_next => {
        let mut backpressure = Backpressure::default();
        let notice = names(Some(1_000));
        backpressure.apply_answer(&incarnation(), success(&notice, 0), 10);
        assert!(backpressure.limit(&incarnation()).is_some());
        assert!(backpressure.limit(&Incarnation { started_unix_ms: 8, ..incarnation() }).is_none());
    }

    an_answer_that_was_under_way_lifts_nothing => {
        let mut backpressure = Backpressure::default();
        let (named, silent) = (names(Some(1_000)), names(None));
        backpressure.apply_answer(&incarnation(), success(&named, 0), 100);
        backpressure.apply_answer(&incarnation(), success(&silent, 50), 110);
        assert_eq!(backpressure.permit_requested(&incarnation(), 200).map(|heard| heard.answers_without_limit), Some(0));
        backpressure.apply_answer(&incarnation(), success(&silent, 100), 210);
        assert_eq!(backpressure.permit_requested(&incarnation(), 300).map(|heard| heard.answers_without_limit), Some(1));
    }

    what_cannot_be_read_changes_nothing_and_is_said_once => {
        let mut backpressure = Backpressure::default();
        let (named, odd) = (names(Some(1_000)), EndpointSignals {
            limit_per_ks: HeaderField::unreadable("NaN"),
            ..EndpointSignals::default()
        });
        backpressure.apply_answer(&incarnation(), success(&named, 0), 100);
        assert_eq!(backpressure.apply_answer(&incarnation(), success(&odd, 150), 160).len(), 1);
        assert_eq!(backpressure.apply_answer(&incarnation(), success(&odd, 170), 180).len(), 0);
        assert_eq!(backpressure.limit(&incarnation()).map(|limit| limit.per_ks), Some(1_000));
        assert_eq!(backpressure.permit_requested(&incarnation(), 200).map(|heard| heard.answers_without_limit), Some(0));
    }
}
