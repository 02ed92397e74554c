//! The sends of one request so far, and where the next may go.

use crate::{local_view::LocalView, route::Route};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, ServiceName};

/// Time for which an endpoint that did not run a request is not asked again for it:
/// long enough for the news of a model that is going or has come.
const REFUSED_PAUSE_MS: u64 = 300;

/// How one send of a request ended without an answer that can be passed on.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SendEnd {
    /// The endpoint says that it did not run it.
    NotRun,
    /// The endpoint could not be reached; it knows nothing of it.
    Unreachable,
    /// It did not leave: what was known of the endpoint has changed.
    NotSent,
    /// It may have run.
    MayHaveRun,
    /// It may have run, and took too long.
    TimedOut,
    /// It ran, and failed.
    Failed,
}

impl SendEnd {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::MayHaveRun | Self::TimedOut | Self::Failed)
    }
}

/// The sends of one request so far.
#[derive(Debug, Default)]
pub struct Sends {
    /// How many.
    pub count: u32,
    /// Whether one of them may have run.
    pub may_have_run: bool,
    /// The endpoint of the last one.
    pub last: Option<EndpointName>,
    sent_to: BTreeSet<EndpointName>,
    /// Endpoints that get no further send before a time; `u64::MAX` if there is another.
    set_aside: BTreeMap<EndpointName, u64>,
    /// Whether the last send was the first to its endpoint.
    is_last_new: bool,
    /// Whether a further send was taken from the budget and not made.
    has_unspent: bool,
    /// Endpoints that took too long; asking them again would only add to their load.
    too_slow: BTreeSet<EndpointName>,
}

/// Where the next send may go.
#[derive(Debug)]
pub struct Allowed {
    /// Endpoints that it must not go to.
    pub excluded: BTreeSet<EndpointName>,
    /// Endpoints that it must go to, if the request has been to as many as it may.
    pub only: Option<BTreeSet<EndpointName>>,
}

impl Sends {
    /// Notes a send.
    pub fn record_send(&mut self, endpoint: &EndpointName) {
        self.count += 1;
        self.is_last_new = self.sent_to.insert(endpoint.clone());
        self.last = Some(endpoint.clone());
    }

    /// Notes that the last send got no answer that can be passed on.
    pub fn record_end(&mut self, end: SendEnd, now_ms: u64) {
        self.may_have_run |= end.may_have_run();
        if end == SendEnd::NotSent {
            return self.take_back();
        }
        let Some(last) = &self.last else { return };
        let until_ms = if end == SendEnd::NotRun { now_ms + REFUSED_PAUSE_MS } else { u64::MAX };
        self.set_aside.insert(last.clone(), until_ms);
        if end == SendEnd::TimedOut {
            self.too_slow.insert(last.clone());
        }
    }

    /// Takes back a send that was not made; the next needs nothing more of the budget.
    fn take_back(&mut self) {
        let Some(last) = &self.last else { return };
        if self.is_last_new {
            self.sent_to.remove(last);
        }
        self.count = self.count.saturating_sub(1);
        self.has_unspent = self.count > 0;
    }

    /// Where a send may go at all, now or later.
    pub fn allowed_at_all(&self, route: &Route) -> Allowed {
        Allowed { excluded: self.too_slow.clone(), only: self.only(route) }
    }

    /// Where the next send may go.
    pub fn allowed(&self, route: &Route, now_ms: u64) -> Allowed {
        let aside = self.set_aside.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        Allowed { excluded: aside.map(|(name, _)| name.clone()).collect(), only: self.only(route) }
    }

    /// Where it may go if all others are excluded: a connection that broke says little
    /// about its endpoint, which may be the only one with the model.
    pub fn allowed_again(&self, route: &Route) -> Option<Allowed> {
        let may_repeat = self.may_have_run && route.is_idempotent();
        may_repeat.then(|| self.allowed_at_all(route))
    }

    /// Where it may go that is not the endpoint of the last send.
    pub fn allowed_elsewhere(&self, route: &Route, now_ms: u64) -> Allowed {
        let mut allowed = self.allowed(route, now_ms);
        allowed.excluded.extend(self.last.clone());
        allowed
    }

    /// Whether another send can follow one that may have run, to any endpoint.
    pub fn has_attempt_left(&self, route: &Route) -> bool {
        self.count < route.attempts
    }

    /// Takes a further send from the budget; the first needs none.
    pub fn reserve_next(
        &mut self,
        route: &Route,
        service: &ServiceName,
        local_view: &mut LocalView,
        now_ms: u64,
    ) -> bool {
        let is_spent = self.may_have_run && !self.has_attempt_left(route);
        let is_taken = std::mem::take(&mut self.has_unspent);
        self.count == 0 || (!is_spent && (is_taken || local_view.spend_retry(service, now_ms)))
    }

    fn only(&self, route: &Route) -> Option<BTreeSet<EndpointName>> {
        let is_full = self.sent_to.len() as u64 >= u64::from(route.attempts);
        is_full.then(|| self.sent_to.clone())
    }
}
