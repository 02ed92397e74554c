//! Ways of keeping the limit that an endpoint names, played in virtual time on the same requests.
//!
//! Three ways: an equal part of the limit for each daemon, with one request at hand; few daemons
//! that may send at all, the first by rendezvous hashing over the members that each knows of; and
//! what `endpoint_limits` does, each place asked for from the leader of the endpoint's group.
//! Daemons start and end, freeze and are cut off; a new one is known to the others after a while.

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
/// The stretch of time over which requests are counted, and how far a limit may be exceeded.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const FIXED: f64 = 5.0;
/// Time by which a change of members is known everywhere.
const MEMBERS_MS: u64 = 3_000;
/// Requests a second that callers send, over all daemons.
const ASKED_PER_S: f64 = 100.0;

/// A daemon, as far as any of the ways depends on it.
struct Daemon {
    /// When it was last started; others know of it some time later.
    born_ms: u64,
    name: u64,
    /// Until when it stands still.
    frozen_until_ms: u64,
    /// Until when it reaches the endpoint and no other daemon.
    cut_off_until_ms: u64,
    /// Requests that it has at hand, where each has a part.
    at_hand: f64,
    settled_ms: u64,
    backpressure: Backpressure,
}

/// How requests are let through.
#[derive(Clone, Copy)]
enum Way {
    EqualParts,
    FirstMember,
    Places,
}

struct World {
    way: Way,
    per_ks: u64,
    daemons: Vec<Daemon>,
    leader: usize,
    token: u64,
    leads_from_ms: u64,
    limits: EndpointLimits,
    now_ms: u64,
    sent: Vec<u64>,
    questions: u64,
    random: Rng,
}

fn incarnation() -> Incarnation {
    Incarnation { name: "i-1".into(), started_unix_ms: 7 }
}

impl World {
    fn new(way: Way, per_ks: u64, daemons: usize, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let daemons = (0..daemons).map(|_| Daemon::new(0, random.u64(..), per_ks)).collect();
        Self {
            way,
            per_ks,
            daemons,
            leader: 0,
            token: 1,
            leads_from_ms: 0,
            limits: EndpointLimits::default(),
            now_ms: 10_000,
            sent: Vec::new(),
            questions: 0,
            random,
        }
    }

    fn play(&mut self) {
        let end_ms = self.now_ms + LENGTH_MS;
        while self.now_ms < end_ms {
            if self.random.f64() < 0.3 * STEP_MS as f64 / 1e3 {
                self.trouble();
            }
            let expected = ASKED_PER_S * STEP_MS as f64 / 1e3;
            for _ in 0..(expected + self.random.f64()) as usize {
                let index = self.random.usize(..self.daemons.len());
                if self.now_ms >= self.daemons[index].frozen_until_ms && self.may_send(index) {
                    self.sent.push(self.now_ms);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn trouble(&mut self) {
        let index = self.random.usize(..self.daemons.len());
        let until_ms = self.now_ms + self.random.u64(..6_000);
        match self.random.u8(..4) {
            0 => {
                self.daemons[index] = Daemon::new(self.now_ms, self.random.u64(..), self.per_ks);
                if index == self.leader {
                    self.take_lease();
                }
            }
            1 => self.daemons[index].frozen_until_ms = until_ms,
            2 => self.daemons[index].cut_off_until_ms = until_ms,
            _ => self.take_lease(),
        }
    }

    /// Another daemon leads some time after the one before has ended.
    fn take_lease(&mut self) {
        self.leader = self.random.usize(..self.daemons.len());
        self.token += 1;
        self.leads_from_ms = self.now_ms + 2_300;
        self.limits = EndpointLimits::default();
    }

    fn may_send(&mut self, index: usize) -> bool {
        match self.way {
            Way::EqualParts => {
                // A daemon that is cut off goes by the number that it knows.
                let (now_ms, per_ks, count) = (self.now_ms, self.per_ks, self.daemons.len());
                let daemon = &mut self.daemons[index];
                let earned = (now_ms - daemon.settled_ms) as f64 * per_ks as f64 / 1e6;
                daemon.at_hand = (daemon.at_hand + earned / count as f64).min(1.0);
                daemon.settled_ms = now_ms;
                take_one(&mut daemon.at_hand)
            }
            Way::FirstMember => {
                if self.first_known_to(index) != index {
                    return false;
                }
                let (now_ms, per_ks) = (self.now_ms, self.per_ks);
                let daemon = &mut self.daemons[index];
                let earned = (now_ms - daemon.settled_ms) as f64 * per_ks as f64 / 1e6;
                daemon.at_hand = (daemon.at_hand + earned).min(1.0 + per_ks as f64 / 2e3);
                daemon.settled_ms = now_ms;
                take_one(&mut daemon.at_hand)
            }
            Way::Places => self.ask_place(index),
        }
    }

    /// The member that goes first, as one daemon knows them: itself, those that have been there
    /// for a while and have not been silent for as long. Who is cut off knows of itself alone.
    fn first_known_to(&self, index: usize) -> usize {
        if self.now_ms < self.daemons[index].cut_off_until_ms {
            return index;
        }
        let is_known = |other: &usize| {
            let daemon = &self.daemons[*other];
            let silent_from_ms = daemon.frozen_until_ms.max(daemon.cut_off_until_ms);
            let is_silent = self.now_ms + MEMBERS_MS < silent_from_ms;
            *other == index || (self.now_ms >= daemon.born_ms + MEMBERS_MS && !is_silent)
        };
        let members = (0..self.daemons.len()).filter(is_known);
        let rank = |other: &usize| xxh3_64_with_seed(b"i-1", self.daemons[*other].name);
        members.max_by_key(rank).unwrap_or(index)
    }

    fn ask_place(&mut self, index: usize) -> bool {
        let now_ms = self.now_ms;
        let backpressure = &mut self.daemons[index].backpressure;
        if backpressure.limit_closed_for_ms(&incarnation(), now_ms).is_some() {
            return false;
        }
        let Some(heard) = backpressure.permit_requested(&incarnation(), now_ms) else {
            return false;
        };
        self.questions += 1;
        let group = DomainName::from("z");
        let lease = HeldLease { token: self.token, until_ms: now_ms + 2_000 };
        let held = Some(lease).filter(|_| now_ms >= self.leads_from_ms);
        let cut_off_until_ms =
            self.daemons[index].cut_off_until_ms.max(self.daemons[self.leader].cut_off_until_ms);
        let is_reached = now_ms >= self.daemons[self.leader].frozen_until_ms
            && (index == self.leader || now_ms >= cut_off_until_ms);
        let place = match is_reached {
            true => self.limits.request_permit(&incarnation(), &group, held, heard, now_ms),
            false => SendPermit::NotLending,
        };
        let backpressure = &mut self.daemons[index].backpressure;
        match place {
            SendPermit::Lent => {
                backpressure.apply_answer(
                    &incarnation(),
                    names(&notice(self.per_ks), now_ms),
                    now_ms,
                );
                return true;
            }
            SendPermit::Refused { in_ms } => {
                backpressure.permit_refused(&incarnation(), in_ms, now_ms)
            }
            SendPermit::NotLending | SendPermit::Lifted => {
                backpressure.allocator_unreachable(&incarnation(), now_ms)
            }
        }
        false
    }

    /// The most in any window against what is allowed, and what was sent against what is taken.
    fn judge(&mut self) -> (f64, f64) {
        let times = &self.sent;
        let until = |begin: u64| times.partition_point(|at| *at < begin + WINDOW_MS);
        let most = times.iter().enumerate().map(|(index, begin)| until(*begin) - index).max();
        let per_s = self.per_ks as f64 / 1e3;
        let allowed = (per_s * FACTOR * WINDOW_MS as f64 / 1e3 + FIXED).floor();
        let takes = per_s * LENGTH_MS as f64 / 1e3;
        (most.unwrap_or(0) as f64 / allowed, times.len() as f64 / takes)
    }
}

impl Daemon {
    /// A daemon that has just started, and has heard of the limit.
    fn new(born_ms: u64, name: u64, per_ks: u64) -> Self {
        let mut backpressure = Backpressure::default();
        backpressure.apply_answer(&incarnation(), names(&notice(per_ks), born_ms), born_ms);
        Self {
            born_ms,
            name,
            frozen_until_ms: 0,
            cut_off_until_ms: 0,
            at_hand: 1.0,
            settled_ms: born_ms.max(10_000),
            backpressure,
        }
    }
}

fn notice(per_ks: u64) -> EndpointSignals {
    EndpointSignals { limit_per_ks: HeaderField::Value(per_ks), ..EndpointSignals::default() }
}

fn names(notice: &EndpointSignals, sent_ms: u64) -> Answer<'_> {
    Answer { signals: notice, is_success: true, id: "1", sent_ms }
}

fn take_one(at_hand: &mut f64) -> bool {
    let has = *at_hand >= 1.0;
    *at_hand -= if has { 1.0 } else { 0.0 };
    has
}

fn main() {
    println!("daemons, requests a second: most in a window against what is allowed, sent against");
    println!("what is taken; of the last way also questions a second, over all daemons");
    for daemons in [6, 71, 300] {
        for per_ks in [1_000, 2_000, 10_000] {
            let mut line = format!("{daemons:>3} {:>4}:", per_ks as f64 / 1e3);
            let ways =
                [("equal", Way::EqualParts), ("first", Way::FirstMember), ("places", Way::Places)];
            for (name, way) in ways {
                let (mut most, mut used, mut questions) = (0.0_f64, 0.0, 0);
                for seed in 0..10 {
                    let mut world = World::new(way, per_ks, daemons, seed);
                    world.play();
                    let (world_most, world_used) = world.judge();
                    most = most.max(world_most);
                    used += world_used / 10.0;
                    questions += world.questions;
                }
                line += &format!("  {name} {most:.2} {used:.2}");
                if questions > 0 {
                    line += &format!(" {:.1}", questions as f64 / 10.0 / (LENGTH_MS as f64 / 1e3));
                }
            }
            println!("{line}");
        }
    }
}
