//! The sends of one request so far, and where the next may go.

use crate::{local_view::LocalView, route::Route};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, ServiceName};

/// Time for which an endpoint that refused a request without running it gets no further send of it.
/// It is long enough to learn of a model that has been unloaded or loaded there.
const REFUSED_PAUSE_MS: u64 = 300;

/// How one send of a request ended without an answer to pass on to the caller.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SendEnd {
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// The endpoint could not be reached and has not received the request.
    Unreachable,
    /// The request was not sent, because the endpoint's entry had changed.
    NotSent,
    /// The request may have run.
    MayHaveRun,
    /// The request may have run, and took too long.
    TimedOut,
    /// The request ran and failed.
    Failed,
}

impl SendEnd {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::MayHaveRun | Self::TimedOut | Self::Failed)
    }
}

/// Whether a request may be sent once more.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum NextSend {
    /// It may be sent.
    Allowed,
    /// It may have run, and has been sent as often as its route allows.
    NoAttemptLeft,
    /// The daemon's share of the retry budget is used up.
    NoRetryLeft,
}

/// The sends of one request so far. Two may run at the same time: one at an endpoint that has become
/// silent, and one beside it.
#[derive(Debug, Default)]
pub struct Sends {
    /// Number of sends.
    pub count: u32,
    /// Whether the request may have run in one of those that ended.
    pub may_have_run: bool,
    /// The endpoint of the last send, or of the one that still runs.
    pub last: Option<EndpointName>,
    /// Number of sends that ended without running.
    not_run: u32,
    /// Number of sends by endpoint.
    sent_to: BTreeMap<EndpointName, u32>,
    /// Endpoints at which a send runs.
    running_at: BTreeSet<EndpointName>,
    /// Endpoints at which the request may have run in a send that ended.
    ran_at: BTreeSet<EndpointName>,
    /// Endpoints that get no further send before a time; with `u64::MAX`, they get one only if
    /// there is no other endpoint.
    paused_until_ms: BTreeMap<EndpointName, u64>,
    /// Endpoints that took too long; another send would only add to their load.
    too_slow: BTreeSet<EndpointName>,
}

/// Where the next send may go.
#[derive(Debug)]
pub struct Allowed {
    /// Endpoints to which it must not go.
    pub excluded: BTreeSet<EndpointName>,
    /// If set, the only endpoints allowed, since the request has been sent to as many as it may.
    pub only: Option<BTreeSet<EndpointName>>,
}

impl Allowed {
    /// Returns that the next send may go anywhere.
    pub fn everywhere() -> Self {
        Self { excluded: BTreeSet::new(), only: None }
    }
}

impl Sends {
    /// Records a send.
    pub fn record_send(&mut self, endpoint: &EndpointName) {
        self.count += 1;
        *self.sent_to.entry(endpoint.clone()).or_default() += 1;
        self.running_at.insert(endpoint.clone());
        self.last = Some(endpoint.clone());
    }

    /// Records that a send to an endpoint ended without an answer to pass on. A further send that was
    /// not made is returned to the retry budget of the service at once: the request may wait for longer
    /// than the budget's window before the next one.
    pub fn record_end(
        &mut self,
        endpoint: &EndpointName,
        end: SendEnd,
        service: &ServiceName,
        local_view: &mut LocalView,
        now_ms: u64,
    ) {
        if !self.running_at.remove(endpoint) {
            return;
        }
        if let Some(running) = self.running_at.first() {
            self.last = Some(running.clone());
        }
        if end == SendEnd::NotSent {
            self.revert(endpoint);
            if self.count > 0 {
                local_view.retry_budgets.return_unused(service);
            }
            return;
        }
        match end.may_have_run() {
            true => _ = self.ran_at.insert(endpoint.clone()),
            false => self.not_run += 1,
        }
        self.may_have_run |= end.may_have_run();
        let until_ms = if end == SendEnd::NotRun { now_ms + REFUSED_PAUSE_MS } else { u64::MAX };
        self.paused_until_ms.insert(endpoint.clone(), until_ms);
        if end == SendEnd::TimedOut {
            self.too_slow.insert(endpoint.clone());
        }
    }

    /// Records that all sends were aborted but the one to this endpoint. Returns the endpoints of those
    /// that were aborted; the request may have run there.
    pub fn record_others_aborted(&mut self, endpoint: &EndpointName) -> Vec<EndpointName> {
        let aborted: Vec<EndpointName> =
            self.running_at.iter().filter(|name| *name != endpoint).cloned().collect();
        for name in &aborted {
            self.running_at.remove(name);
            self.paused_until_ms.insert(name.clone(), u64::MAX);
            self.ran_at.insert(name.clone());
            self.may_have_run = true;
        }
        self.last = Some(endpoint.clone());
        aborted
    }

    /// Reverts a send that was not made.
    fn revert(&mut self, endpoint: &EndpointName) {
        self.count = self.count.saturating_sub(1);
        let Some(sent) = self.sent_to.get_mut(endpoint) else { return };
        *sent -= 1;
        if *sent == 0 {
            self.sent_to.remove(endpoint);
        }
    }

    /// Returns where a send may go now or later.
    pub fn allowed_at_all(&self, route: &Route) -> Allowed {
        let excluded = self.too_slow.union(&self.running_at).cloned().collect();
        Allowed { excluded, only: self.only(route) }
    }

    /// Returns where the next send may go.
    pub fn allowed(&self, route: &Route, now_ms: u64) -> Allowed {
        let paused = self.paused_until_ms.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        let paused = paused.map(|(name, _)| name);
        let excluded = paused.chain(&self.running_at).cloned().collect();
        Allowed { excluded, only: self.only(route) }
    }

    /// Returns where the request may be repeated if all other endpoints are excluded; `None` if it
    /// must not be repeated. A lost connection tells little about its endpoint, which may be the
    /// only one with the model.
    pub fn allowed_again(&self, route: &Route) -> Option<Allowed> {
        let may_repeat = self.may_have_run && route.is_idempotent();
        may_repeat.then(|| self.allowed_at_all(route))
    }

    /// Returns whether the route allows another send after one that runs or may have run. A send that
    /// ended without running uses up no attempt.
    pub fn has_attempt_left(&self, route: &Route) -> bool {
        self.count - self.not_run < route.attempts
    }

    /// Reserves the next send in the retry budget and returns whether it may be made.
    ///
    /// The first send of a request needs no budget.
    pub fn reserve_next(
        &mut self,
        route: &Route,
        service: &ServiceName,
        local_view: &mut LocalView,
        now_ms: u64,
    ) -> NextSend {
        if self.count == 0 {
            return NextSend::Allowed;
        }
        if self.runs_or_may_have_run() && !self.has_attempt_left(route) {
            return NextSend::NoAttemptLeft;
        }
        match local_view.retry_budgets.spend(service, now_ms) {
            true => NextSend::Allowed,
            false => NextSend::NoRetryLeft,
        }
    }

    /// Returns the only endpoints allowed once there are as many as the route's attempts: those at
    /// which the request runs or may have run. A request of which nothing runs goes to no more
    /// endpoints than that either, since nothing is lost if it is rejected.
    fn only(&self, route: &Route) -> Option<BTreeSet<EndpointName>> {
        let counted: BTreeSet<EndpointName> = match self.runs_or_may_have_run() {
            true => self.ran_at.union(&self.running_at).cloned().collect(),
            false => self.sent_to.keys().cloned().collect(),
        };
        (counted.len() as u64 >= u64::from(route.attempts)).then_some(counted)
    }

    fn runs_or_may_have_run(&self) -> bool {
        self.may_have_run || !self.running_at.is_empty()
    }
}
