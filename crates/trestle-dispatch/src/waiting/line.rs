//! The places of the requests that wait for one service at one leader.
//!
//! The load that this answers: long prompts beside short ones, from many daemons. A request asks
//! again while it waits, and whoever happens to ask when an engine has room would be assigned it;
//! short prompts, which fit more often, would pass long ones forever. So the leader counts the work
//! of those that come first as if the engine had to read it already.
//!
//! A place lasts until its request should have asked again, and no longer than its wait. Daemons that
//! die or lose their leader therefore block nothing for longer. When places were kept after the wait,
//! an overloaded engine did nothing for nine tenths of its time: the first places, whose work it was
//! kept free for, belonged to requests that had given up.
//!
//! For the same reason a refused request does not count as ahead of others until it asks again. Only
//! its first arrival is remembered. Places have no owner: a caller that returns at another daemon has
//! the same fingerprint and finds its place.

use super::order::{self, Share, Urgency, WaitingKey};
use crate::{endpoint::Incarnation, fingerprint::Fingerprint};
use std::collections::BTreeMap;
use trestle_core::names::TeamName;

/// Time for which a place is kept after its request should have asked again: the longest time that
/// a daemon waits for an answer of the leader.
pub const PLACE_GRACE_MS: u64 = 250;
/// Number of places. More than ten seconds of work of the 16 engines that a request may use, and few
/// enough to look through all of them for each question.
pub const MAX_PLACES: usize = 1_024;
/// Number of teams whose served work is known; it bounds the memory, not the teams that are served.
pub const MAX_TEAMS: usize = 256;
/// Time in which the weight of served work decays to 1/e. An idle team catches up for that long.
const SERVED_DECAY_MS: f64 = 2_000.0;

/// Served work below which a class is forgotten.
const MIN_SERVED_MS: f64 = 1.0;

/// A request that waits at its daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingRequest {
    /// The request; the same for all attempts of its caller.
    pub id: Fingerprint,
    /// The team that sends it.
    pub team: Option<TeamName>,
    /// Rank of the team; 0 is the most urgent.
    pub team_rank: u8,
    /// Rank of the route; 0 is the most urgent.
    pub route_rank: u8,
    /// Time since the caller's first attempt, as far as its daemon knows.
    pub waited_ms: u64,
    /// Longest wait, also from the caller's first attempt.
    pub max_wait_ms: u64,
    /// Time until the objective ends; 0 if it was missed.
    pub due_in_ms: u64,
    /// Time that reading the prompt takes.
    pub work_ms: f64,
    /// The engines that may run it.
    pub engines: Vec<Incarnation>,
}

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub struct Line {
    places: BTreeMap<Fingerprint, Place>,
    /// Served work by team and route rank.
    served: BTreeMap<Option<TeamName>, BTreeMap<u8, ServedWork>>,
}

#[derive(Debug)]
struct Place {
    urgency: Urgency,
    team: Option<TeamName>,
    engines: Vec<Incarnation>,
    until_ms: u64,
    /// Whether the request was refused, so that only its arrival is remembered.
    is_refused: bool,
}

impl Place {
    /// Returns the part of the work that each engine of the request is expected to do.
    fn work_per_engine_ms(&self) -> f64 {
        self.urgency.work_ms / self.engines.len().max(1) as f64
    }
}

/// Work that the requests of one team and route rank were served lately.
#[derive(Debug, Clone, Copy, Default)]
struct ServedWork {
    sum_ms: f64,
    at_ms: u64,
}

impl ServedWork {
    fn decayed_ms(&self, now_ms: u64) -> f64 {
        self.sum_ms * (-(now_ms.saturating_sub(self.at_ms) as f64) / SERVED_DECAY_MS).exp()
    }
}

impl Line {
    /// Returns the work at one engine that comes before a request.
    pub fn ahead_ms(&self, request: &WaitingRequest, engine: &Incarnation, now_ms: u64) -> f64 {
        let ahead = self.ahead(request, now_ms).filter(|place| place.engines.contains(engine));
        ahead.map(Place::work_per_engine_ms).sum()
    }

    /// Returns the work that comes before a request at each of its engines, in their order.
    pub fn ahead_ms_by_engine(&self, request: &WaitingRequest, now_ms: u64) -> Vec<f64> {
        let mut ahead_ms = vec![0.0; request.engines.len()];
        for place in self.ahead(request, now_ms) {
            // Most requests of a service may use the same engines; comparing each would take most of
            // the time.
            let is_same = place.engines == request.engines;
            for (engine, ahead_ms) in request.engines.iter().zip(&mut ahead_ms) {
                if is_same || place.engines.contains(engine) {
                    *ahead_ms += place.work_per_engine_ms();
                }
            }
        }
        ahead_ms
    }

    /// Keeps or renews the place of a request until `until_ms` or the end of its wait, and returns
    /// whether there was room for it. If there are too many places, those of refused requests are
    /// dropped first, then the least urgent.
    pub fn keep(&mut self, request: WaitingRequest, until_ms: u64, now_ms: u64) -> bool {
        let left_ms = request.max_wait_ms.saturating_sub(request.waited_ms);
        let until_ms = until_ms.min(now_ms.saturating_add(left_ms));
        self.insert(request, until_ms, false, now_ms)
    }

    /// Remembers until `until_ms` when a refused request first arrived, and returns whether there
    /// was room for it.
    pub fn keep_refused(&mut self, request: WaitingRequest, until_ms: u64, now_ms: u64) -> bool {
        self.insert(request, until_ms, true, now_ms)
    }

    /// Removes a request that was assigned an engine.
    pub fn remove(&mut self, id: &Fingerprint) {
        self.places.remove(id);
    }

    /// Records work that requests of a team and route rank were served. If there are too many teams,
    /// the one that was served the least is forgotten.
    pub fn record_served(
        &mut self,
        team: Option<&TeamName>,
        route_rank: u8,
        work_ms: f64,
        now_ms: u64,
    ) {
        let classes = self.served.entry(team.cloned()).or_default();
        let work = classes.entry(route_rank).or_default();
        *work = ServedWork { sum_ms: work.decayed_ms(now_ms) + work_ms, at_ms: now_ms };
        if self.served.len() > MAX_TEAMS {
            let teams = self.served.iter().map(|(team, classes)| (team_ms(classes, now_ms), team));
            let least = teams.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, team)| team.clone());
            least.and_then(|team| self.served.remove(&team));
        }
    }

    /// Drops places whose requests should have asked again, and teams without recent work.
    pub fn drop_lapsed(&mut self, now_ms: u64) {
        self.places.retain(|_, place| place.until_ms >= now_ms);
        for classes in self.served.values_mut() {
            classes.retain(|_, work| work.decayed_ms(now_ms) >= MIN_SERVED_MS);
        }
        self.served.retain(|_, classes| !classes.is_empty());
    }

    /// Returns the number of places, with those that have lapsed since [`Line::drop_lapsed`].
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request has a place.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn insert(
        &mut self,
        request: WaitingRequest,
        until_ms: u64,
        is_refused: bool,
        now_ms: u64,
    ) -> bool {
        let id = request.id;
        let urgency = self.urgency(&request, now_ms);
        let WaitingRequest { team, engines, .. } = request;
        self.places.insert(id, Place { urgency, team, engines, until_ms, is_refused });
        if self.places.len() > MAX_PLACES {
            self.drop_lapsed(now_ms);
        }
        if self.places.len() > MAX_PLACES {
            let last = self.keyed(now_ms).max_by_key(|(key, _, place)| (place.is_refused, *key));
            let last = last.map(|(_, id, _)| *id);
            last.and_then(|id| self.places.remove(&id));
        }
        self.places.contains_key(&id)
    }

    /// Returns the places that come before a request.
    fn ahead(&self, request: &WaitingRequest, now_ms: u64) -> impl Iterator<Item = &Place> {
        let average_ms = self.average_class_ms(now_ms);
        let urgency = self.urgency(request, now_ms);
        let share = self.share(&request.team, request.route_rank, average_ms, now_ms);
        let key = urgency.key(request.id, share, now_ms);
        let others = self
            .keyed(now_ms)
            .filter(move |(_, id, place)| !place.is_refused && **id != request.id);
        others.filter(move |(other, ..)| *other < key).map(|(_, _, place)| place)
    }

    /// Returns the places that have not lapsed, with their keys.
    fn keyed(&self, now_ms: u64) -> impl Iterator<Item = (WaitingKey, &Fingerprint, &Place)> {
        let places = self.places.iter().filter(move |(_, place)| place.until_ms >= now_ms);
        let average_ms = self.average_class_ms(now_ms);
        places.map(move |(id, place)| {
            let share = self.share(&place.team, place.urgency.route_rank, average_ms, now_ms);
            (place.urgency.key(*id, share, now_ms), id, place)
        })
    }

    fn share(
        &self,
        team: &Option<TeamName>,
        route_rank: u8,
        average_ms: f64,
        now_ms: u64,
    ) -> Share {
        let Some(classes) = self.served.get(team) else {
            return Share::new(0.0, 0.0, average_ms);
        };
        let class_ms = classes.get(&route_rank).map_or(0.0, |work| work.decayed_ms(now_ms));
        Share::new(team_ms(classes, now_ms), class_ms, average_ms)
    }

    /// Returns the average work of the classes that were served lately.
    fn average_class_ms(&self, now_ms: u64) -> f64 {
        let count: usize = self.served.values().map(BTreeMap::len).sum();
        let sum_ms: f64 = self.served.values().map(|classes| team_ms(classes, now_ms)).sum();
        sum_ms / count.max(1) as f64
    }

    /// Returns the urgency of a request, which keeps the first arrival if it has a place.
    fn urgency(&self, request: &WaitingRequest, now_ms: u64) -> Urgency {
        let place = self.places.get(&request.id).filter(|place| place.until_ms >= now_ms);
        let known_ms = place.map_or(i64::MAX, |place| place.urgency.arrived_ms);
        Urgency {
            team_rank: request.team_rank,
            route_rank: request.route_rank,
            arrived_ms: order::signed(now_ms)
                .saturating_sub_unsigned(request.waited_ms)
                .min(known_ms),
            max_wait_ms: request.max_wait_ms,
            end_ms: now_ms.saturating_add(request.max_wait_ms.saturating_sub(request.waited_ms)),
            due_ms: now_ms.saturating_add(request.due_in_ms),
            work_ms: request.work_ms,
        }
    }
}

/// Returns the work that a team was served lately.
fn team_ms(classes: &BTreeMap<u8, ServedWork>, now_ms: u64) -> f64 {
    classes.values().map(|work| work.decayed_ms(now_ms)).sum()
}
