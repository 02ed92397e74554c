//! Compares methods of enforcing the limit that an endpoint announces, in virtual time on the
//! same requests.
//!
//! There are three methods: an equal part of the limit for each daemon, in a bucket for one
//! request; requests only from daemons that rank first by rendezvous hashing among the members
//! that they know; and the method of `endpoint_limits`, in which the leader of the endpoint's
//! group grants a permit for each request. Daemons start and stop, freeze and are cut off; a new
//! daemon becomes known to the others after a while.

use fastrand::Rng;
use trestle_core::names::DomainName;
use trestle_dispatch::{
    backpressure::{Answer, Backpressure},
    endpoint::Incarnation,
    endpoint_limits::{EndpointLimits, SendPermit},
    quota_allocator::HeldLease,
    signals::{EndpointSignals, HeaderField},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const LENGTH_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
/// Length of the window over which requests are counted, and how far a limit may be exceeded.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const FIXED: f64 = 5.0;
/// Time after which a change of members is known everywhere.
const MEMBERS_MS: u64 = 3_000;
/// Requests per second that callers send to all daemons together.
const REQUESTS_PER_S: f64 = 100.0;

/// A daemon, with the state of each method.
struct Daemon {
    /// When the daemon was last started; others know of it some time later.
    started_ms: u64,
    name: u64,
    /// Time until which the daemon is frozen.
    frozen_until_ms: u64,
    /// Time until which the daemon reaches only the endpoint.
    cut_off_until_ms: u64,
    /// Number of requests that the daemon may send now, in the methods without permits.
    available: f64,
    credited_ms: u64,
    backpressure: Backpressure,
}

/// The method that admits requests.
#[derive(Clone, Copy)]
enum Method {
    EqualParts,
    FirstMember,
    SendPermits,
}

struct Simulation {
    method: Method,
    per_ks: u64,
    daemons: Vec<Daemon>,
    leader: usize,
    token: u64,
    leads_from_ms: u64,
    limits: EndpointLimits,
    now_ms: u64,
    sent: Vec<u64>,
    permit_requests: u64,
    random: Rng,
}

fn incarnation() -> Incarnation {
    Incarnation { name: "i-1".into(), started_unix_ms: 7 }
}

impl Simulation {
    fn new(method: Method, per_ks: u64, daemons: usize, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let daemons = (0..daemons).map(|_| Daemon::new(0, random.u64(..), per_ks)).collect();
        Self {
            method,
            per_ks,
            daemons,
            leader: 0,
            token: 1,
            leads_from_ms: 0,
            limits: EndpointLimits::default(),
            now_ms: 10_000,
            sent: Vec::new(),
            permit_requests: 0,
            random,
        }
    }

    fn run(&mut self) {
        let end_ms = self.now_ms + LENGTH_MS;
        while self.now_ms < end_ms {
            if self.random.f64() < 0.3 * STEP_MS as f64 / 1e3 {
                self.inject_fault();
            }
            let expected = REQUESTS_PER_S * STEP_MS as f64 / 1e3;
            for _ in 0..(expected + self.random.f64()) as usize {
                let index = self.random.usize(..self.daemons.len());
                if self.now_ms >= self.daemons[index].frozen_until_ms && self.may_send(index) {
                    self.sent.push(self.now_ms);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random.usize(..self.daemons.len());
        let until_ms = self.now_ms + self.random.u64(..6_000);
        match self.random.u8(..4) {
            0 => {
                self.daemons[index] = Daemon::new(self.now_ms, self.random.u64(..), self.per_ks);
                if index == self.leader {
                    self.acquire_lease();
                }
            }
            1 => self.daemons[index].frozen_until_ms = until_ms,
            2 => self.daemons[index].cut_off_until_ms = until_ms,
            _ => self.acquire_lease(),
        }
    }

    /// Lets another daemon lead some time after the previous leader was lost.
    fn acquire_lease(&mut self) {
        self.leader = self.random.usize(..self.daemons.len());
        self.token += 1;
        self.leads_from_ms = self.now_ms + 2_300;
        self.limits = EndpointLimits::default();
    }

    fn may_send(&mut self, index: usize) -> bool {
        match self.method {
            Method::EqualParts => {
                // A daemon that is cut off uses the number of daemons that it knows.
                let (now_ms, per_ks, count) = (self.now_ms, self.per_ks, self.daemons.len());
                let daemon = &mut self.daemons[index];
                let earned = (now_ms - daemon.credited_ms) as f64 * per_ks as f64 / 1e6;
                daemon.available = (daemon.available + earned / count as f64).min(1.0);
                daemon.credited_ms = now_ms;
                spend_one(&mut daemon.available)
            }
            Method::FirstMember => {
                if self.first_known_to(index) != index {
                    return false;
                }
                let (now_ms, per_ks) = (self.now_ms, self.per_ks);
                let daemon = &mut self.daemons[index];
                let earned = (now_ms - daemon.credited_ms) as f64 * per_ks as f64 / 1e6;
                daemon.available = (daemon.available + earned).min(1.0 + per_ks as f64 / 2e3);
                daemon.credited_ms = now_ms;
                spend_one(&mut daemon.available)
            }
            Method::SendPermits => self.request_permit_from_leader(index),
        }
    }

    /// Returns the first member by rank, as one daemon knows the members: itself, and those that
    /// were started a while ago and have not been silent for that long. A daemon that is cut off
    /// knows only itself.
    fn first_known_to(&self, index: usize) -> usize {
        if self.now_ms < self.daemons[index].cut_off_until_ms {
            return index;
        }
        let is_known = |other: &usize| {
            let daemon = &self.daemons[*other];
            let silent_from_ms = daemon.frozen_until_ms.max(daemon.cut_off_until_ms);
            let is_silent = self.now_ms + MEMBERS_MS < silent_from_ms;
            *other == index || (self.now_ms >= daemon.started_ms + MEMBERS_MS && !is_silent)
        };
        let members = (0..self.daemons.len()).filter(is_known);
        let rank = |other: &usize| xxh3_64_with_seed(b"i-1", self.daemons[*other].name);
        members.max_by_key(rank).unwrap_or(index)
    }

    fn request_permit_from_leader(&mut self, index: usize) -> bool {
        let now_ms = self.now_ms;
        let state = &mut self.daemons[index].backpressure;
        if state.limit_closed_for_ms(&incarnation(), now_ms).is_some() {
            return false;
        }
        let Some(observed) = state.permit_requested(&incarnation(), now_ms) else { return false };
        self.permit_requests += 1;
        let group = DomainName::from("z");
        let lease = HeldLease { token: self.token, until_ms: now_ms + 2_000 };
        let held = Some(lease).filter(|_| now_ms >= self.leads_from_ms);
        let cut_off_until_ms =
            self.daemons[index].cut_off_until_ms.max(self.daemons[self.leader].cut_off_until_ms);
        let is_reached = now_ms >= self.daemons[self.leader].frozen_until_ms
            && (index == self.leader || now_ms >= cut_off_until_ms);
        let permit = match is_reached {
            true => self.limits.request_permit(&incarnation(), &group, held, observed, now_ms),
            false => SendPermit::NotLending,
        };
        let state = &mut self.daemons[index].backpressure;
        match permit {
            SendPermit::Lent => {
                state.apply_answer(
                    &incarnation(),
                    answer_with(&signals(self.per_ks), now_ms),
                    now_ms,
                );
                return true;
            }
            SendPermit::Refused { in_ms } => state.permit_refused(&incarnation(), in_ms, now_ms),
            SendPermit::NotLending | SendPermit::Lifted => {
                state.allocator_unreachable(&incarnation(), now_ms)
            }
        }
        false
    }

    /// Returns the most requests in any window, relative to what is allowed, and the number of
    /// sent requests, relative to the limit.
    fn judge(&mut self) -> (f64, f64) {
        let times = &self.sent;
        let until = |begin: u64| times.partition_point(|at| *at < begin + WINDOW_MS);
        let largest = times.iter().enumerate().map(|(index, begin)| until(*begin) - index).max();
        let per_s = self.per_ks as f64 / 1e3;
        let allowed = (per_s * FACTOR * WINDOW_MS as f64 / 1e3 + FIXED).floor();
        let expected = per_s * LENGTH_MS as f64 / 1e3;
        (largest.unwrap_or(0) as f64 / allowed, times.len() as f64 / expected)
    }
}

impl Daemon {
    /// Returns a daemon that has just started and knows of the limit.
    fn new(started_ms: u64, name: u64, per_ks: u64) -> Self {
        let mut backpressure = Backpressure::default();
        backpressure.apply_answer(
            &incarnation(),
            answer_with(&signals(per_ks), started_ms),
            started_ms,
        );
        Self {
            started_ms,
            name,
            frozen_until_ms: 0,
            cut_off_until_ms: 0,
            available: 1.0,
            credited_ms: started_ms.max(10_000),
            backpressure,
        }
    }
}

fn signals(per_ks: u64) -> EndpointSignals {
    EndpointSignals { limit_per_ks: HeaderField::Value(per_ks), ..EndpointSignals::default() }
}

fn answer_with(signals: &EndpointSignals, sent_ms: u64) -> Answer<'_> {
    Answer { signals, is_success: true, id: "1", sent_ms }
}

fn spend_one(available: &mut f64) -> bool {
    let is_available = *available >= 1.0;
    *available -= if is_available { 1.0 } else { 0.0 };
    is_available
}

fn main() {
    println!(
        "daemons, requests a second: most in a window relative to what is allowed, sent relative"
    );
    println!("to the limit; for the last method also permit requests a second of all daemons");
    for daemons in [6, 71, 300] {
        for per_ks in [1_000, 2_000, 10_000] {
            let mut line = format!("{daemons:>3} {:>4}:", per_ks as f64 / 1e3);
            let methods = [
                ("equal", Method::EqualParts),
                ("first", Method::FirstMember),
                ("permits", Method::SendPermits),
            ];
            for (name, method) in methods {
                let (mut largest, mut usage, mut permit_requests) = (0.0_f64, 0.0, 0);
                for seed in 0..10 {
                    let mut simulation = Simulation::new(method, per_ks, daemons, seed);
                    simulation.run();
                    let (simulation_largest, simulation_usage) = simulation.judge();
                    largest = largest.max(simulation_largest);
                    usage += simulation_usage / 10.0;
                    permit_requests += simulation.permit_requests;
                }
                line += &format!("  {name} {largest:.2} {usage:.2}");
                if permit_requests > 0 {
                    line += &format!(
                        " {:.1}",
                        permit_requests as f64 / 10.0 / (LENGTH_MS as f64 / 1e3)
                    );
                }
            }
            println!("{line}");
        }
    }
}
