//! Requests that may end the endpoints at which they are.
//!
//! The load that this answers: a request that ends its endpoint while connections are reset, links
//! are cut, and callers leave. A connection that breaks then says little, and the end of an
//! endpoint may break none. So what was sent to each life of an endpoint is remembered until it
//! has an answer: while it runs there, and for some seconds after it was broken off, by a broken
//! connection or because nobody waited for it any more. Once a life is known to have ended, these
//! are the requests under which it may have.
//!
//! What was broken off earlier must not be blamed: an endpoint that is seen to live some time
//! after a request was broken off there did not end under it. Any answer of the same life shows
//! that; where none comes, it is looked for.

use crate::{endpoint::Incarnation, fingerprint::Fingerprint};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use trestle_core::names::EndpointName;

/// Time for which a request that was broken off is remembered: an entry vanishes after three
/// heartbeats of 1.2 s, and the news of it takes a second more.
const IN_DOUBT_MS: u64 = 6_000;
/// Time by which an endpoint has ended that ends under a request which was broken off there:
/// it drops the request once it sees that the connection is gone.
pub const MAX_CRASH_DELAY_MS: u64 = 500;

/// What was sent to endpoints and had no answer.
#[derive(Debug, Default)]
pub struct UnresolvedRequests {
    by_life: BTreeMap<Incarnation, IncarnationRequests>,
}

/// What is open at one life of an endpoint.
#[derive(Debug, Default)]
struct IncarnationRequests {
    /// Where it listens, if anything was sent there.
    address: Option<SocketAddr>,
    /// Requests that run there, as far as is known, and how many times.
    running: BTreeMap<Fingerprint, u32>,
    /// Requests that were broken off there, and when.
    broken_off: BTreeMap<Fingerprint, u64>,
    /// Whether somebody is finding out if it has ended.
    is_looked_into: bool,
    /// Since when it is known that it has.
    ended_ms: Option<u64>,
}

/// What a broken connection says of its endpoint.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ConnectionLoss {
    /// Whether the endpoint has ended should be found out.
    CheckNeeded,
    /// That is being found out.
    CheckRunning,
    /// The endpoint is known to have ended.
    Terminated,
}

/// By what it is known that an endpoint has ended.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Evidence {
    /// Nothing listens at its address.
    Refused,
    /// Another one listens at its address.
    Replaced,
    /// It has started again under its name.
    StartedAgain,
    /// Its entry is gone, and it was not seen leaving. It may have left without a word, and then
    /// goes on with what runs there.
    Unlisted,
}

impl Evidence {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::StartedAgain => "started_again",
            Self::Unlisted => "unlisted",
        }
    }
}

impl UnresolvedRequests {
    /// Notes that a request leaves for an endpoint.
    pub fn sent(&mut self, incarnation: &Incarnation, address: SocketAddr, request: Fingerprint) {
        let doubt = self.doubt(incarnation);
        doubt.address = Some(address);
        *doubt.running.entry(request).or_default() += 1;
    }

    /// Notes that a request has ended at an endpoint and is of no interest there any more.
    pub fn resolved(&mut self, incarnation: &Incarnation, request: Fingerprint) {
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return };
        if let Some(count) = doubt.running.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                doubt.running.remove(&request);
            }
        }
        if doubt.is_empty() {
            self.by_life.remove(incarnation);
        }
    }

    /// Notes that nobody waits any more for a request that runs at an endpoint; returns whether
    /// that is known to have ended.
    pub fn abandoned(
        &mut self,
        incarnation: &Incarnation,
        request: Fingerprint,
        now_ms: u64,
    ) -> bool {
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return false };
        let has_ended = doubt.ended_ms.is_some();
        if !has_ended {
            doubt.broken_off.insert(request, now_ms);
        }
        self.resolved(incarnation, request);
        has_ended
    }

    /// Notes that the connection of a request to an endpoint broke.
    pub fn connection_lost(
        &mut self,
        incarnation: &Incarnation,
        request: Fingerprint,
        now_ms: u64,
    ) -> ConnectionLoss {
        self.forget(now_ms);
        let doubt = self.doubt(incarnation);
        if doubt.ended_ms.is_some() {
            return ConnectionLoss::Terminated;
        }
        doubt.broken_off.insert(request, now_ms);
        match std::mem::replace(&mut doubt.is_looked_into, true) {
            true => ConnectionLoss::CheckRunning,
            false => ConnectionLoss::CheckNeeded,
        }
    }

    /// Whether somebody who is finding out if an endpoint has ended must go on: something was
    /// broken off there, and nothing shows that it lived later. If not, the next broken
    /// connection has it found out again.
    pub fn needs_check(&mut self, incarnation: &Incarnation, now_ms: u64) -> bool {
        self.forget(now_ms);
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return false };
        let keeps_looking = doubt.ended_ms.is_none() && !doubt.broken_off.is_empty();
        doubt.is_looked_into = keeps_looking;
        if doubt.is_empty() {
            self.by_life.remove(incarnation);
        }
        keeps_looking
    }

    /// Takes that an endpoint has answered a request that left at `sent_ms`, over a connection
    /// that was opened at `opened_ms`. Where starts cannot be told apart by the answer, they can
    /// by the connection: one that was open before still leads to the same start.
    pub fn answered(&mut self, incarnation: &Incarnation, sent_ms: u64, opened_ms: u64) {
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return };
        let is_named = incarnation.started_unix_ms == 0;
        // It has come back, or was never gone.
        doubt.ended_ms.take_if(|ended_ms| is_named && *ended_ms < sent_ms);
        doubt.broken_off.retain(|_, at_ms| {
            let is_same = is_named || opened_ms <= *at_ms;
            !(is_same && *at_ms + MAX_CRASH_DELAY_MS <= sent_ms)
        });
    }

    /// Takes that a life of an endpoint was alive at a time.
    pub fn confirmed_alive(&mut self, incarnation: &Incarnation, at_ms: u64) {
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return };
        doubt.broken_off.retain(|_, broken_ms| at_ms < *broken_ms + MAX_CRASH_DELAY_MS);
    }

    /// Takes that a request had a whole answer: nothing ends under it.
    pub fn served(&mut self, request: Fingerprint) {
        for doubt in self.by_life.values_mut() {
            doubt.broken_off.remove(&request);
        }
    }

    /// Lives at which a request was broken off, and of which it is not known whether they ended
    /// under it.
    pub fn unresolved_incarnations(&self, request: Fingerprint, now_ms: u64) -> usize {
        let is_open = |doubt: &&IncarnationRequests| {
            let broken_ms = doubt.broken_off.get(&request);
            broken_ms.is_some_and(|at_ms| now_ms < *at_ms + IN_DOUBT_MS)
        };
        self.by_life.values().filter(is_open).count()
    }

    /// Takes that an endpoint has ended; returns the requests under which it may have.
    pub fn terminated(
        &mut self,
        incarnation: &Incarnation,
        evidence: Evidence,
        now_ms: u64,
    ) -> BTreeSet<Fingerprint> {
        self.forget(now_ms);
        let Some(doubt) = self.by_life.get_mut(incarnation) else { return BTreeSet::new() };
        if evidence == Evidence::Unlisted && doubt.broken_off.is_empty() {
            return BTreeSet::new();
        }
        doubt.ended_ms = Some(now_ms);
        let mut requests: BTreeSet<Fingerprint> =
            std::mem::take(&mut doubt.broken_off).into_keys().collect();
        if evidence != Evidence::Unlisted {
            requests.extend(doubt.running.keys());
        }
        requests
    }

    /// Lives with open requests, not known to have ended, that are not among these.
    pub fn unlisted(&self, is_listed: impl Fn(&Incarnation) -> bool) -> Vec<Incarnation> {
        self.open()
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| !is_listed(incarnation))
            .cloned()
            .collect()
    }

    /// The same of other endpoints at an address.
    pub fn others_at(&self, address: SocketAddr, name: &EndpointName) -> Vec<Incarnation> {
        let others = self.open().filter(|(_, doubt)| doubt.address == Some(address));
        others
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| incarnation.name != *name)
            .cloned()
            .collect()
    }

    fn open(&self) -> impl Iterator<Item = (&Incarnation, &IncarnationRequests)> {
        self.by_life.iter().filter(|(_, doubt)| doubt.ended_ms.is_none())
    }

    fn doubt(&mut self, incarnation: &Incarnation) -> &mut IncarnationRequests {
        self.by_life.entry(incarnation.clone()).or_default()
    }

    fn forget(&mut self, now_ms: u64) {
        let is_past = |at_ms: u64| now_ms >= at_ms + IN_DOUBT_MS;
        self.by_life.retain(|_, doubt| {
            doubt.broken_off.retain(|_, at_ms| !is_past(*at_ms));
            doubt.ended_ms.take_if(|ended_ms| is_past(*ended_ms));
            !doubt.is_empty()
        });
    }
}

impl IncarnationRequests {
    /// Whether nothing of it is needed any more.
    fn is_empty(&self) -> bool {
        let is_open = !self.running.is_empty() || !self.broken_off.is_empty();
        !is_open && !self.is_looked_into && self.ended_ms.is_none()
    }
}
