//! The sends of one request so far, and where the next may go.

use crate::traffic::{
    outcome::{Unanswered, WholeAnswer},
    task::Task,
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::EndpointName;

/// Time for which an endpoint that did not run a request is not asked again for it:
/// long enough for the news of a model that is going or has come.
const REFUSED_PAUSE_MS: u64 = 300;

/// The sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    pub(crate) count: u32,
    /// Whether one of them may have run.
    pub(crate) may_have_run: bool,
    /// A failure of an endpoint's own, passed on if nothing better comes.
    pub(crate) failed_answer: Option<WholeAnswer>,
    /// The endpoint of the last one.
    pub(crate) last: Option<EndpointName>,
    sent_to: BTreeSet<EndpointName>,
    /// Endpoints that get no further send before a time; `u64::MAX` if there is another.
    set_aside: BTreeMap<EndpointName, u64>,
    /// Endpoints that took too long; asking them again would only add to their load.
    too_slow: BTreeSet<EndpointName>,
}

/// Where the next send may go.
#[derive(Debug)]
pub(crate) struct Allowed {
    /// Endpoints that it must not go to.
    pub(crate) excluded: BTreeSet<EndpointName>,
    /// Endpoints that it must go to, if the request has been to as many as it may.
    pub(crate) only: Option<BTreeSet<EndpointName>>,
}

impl Sends {
    /// Notes a send.
    pub(crate) fn sent(&mut self, endpoint: &EndpointName) {
        self.count += 1;
        self.sent_to.insert(endpoint.clone());
        self.last = Some(endpoint.clone());
    }

    /// Notes that the last send got no answer that can be passed on.
    pub(crate) fn unanswered(&mut self, unanswered: &Unanswered, now_ms: u64) {
        self.may_have_run |= unanswered.may_have_run();
        let until_ms = match unanswered {
            Unanswered::NotRun(_) => now_ms + REFUSED_PAUSE_MS,
            Unanswered::Unreachable(_) | Unanswered::MayHaveRun(_) | Unanswered::TimedOut(_) => {
                u64::MAX
            }
        };
        self.set_aside(until_ms);
        if let (Unanswered::TimedOut(_), Some(last)) = (unanswered, &self.last) {
            self.too_slow.insert(last.clone());
        }
    }

    /// Notes that the last send was run, and failed.
    pub(crate) fn failed(&mut self, answer: Option<WholeAnswer>) {
        self.may_have_run = true;
        self.failed_answer = answer.or(self.failed_answer.take());
        self.set_aside(u64::MAX);
    }

    /// Where the next send may go.
    pub(crate) fn allowed(&self, task: &Task, now_ms: u64) -> Allowed {
        let aside = self.set_aside.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        Allowed { excluded: aside.map(|(name, _)| name.clone()).collect(), only: self.only(task) }
    }

    /// Where it may go if all others are excluded: a connection that broke says little
    /// about its endpoint, which may be the only one with the model.
    pub(crate) fn allowed_again(&self, task: &Task) -> Option<Allowed> {
        let may_repeat = self.may_have_run && task.route.is_idempotent();
        may_repeat.then(|| Allowed { excluded: self.too_slow.clone(), only: self.only(task) })
    }

    /// Whether another send can follow one that may have run, to any endpoint.
    pub(crate) fn has_more(&self, task: &Task) -> bool {
        self.count < task.route.attempts
    }

    /// Takes a further send from the budget; the first needs none.
    pub(crate) fn may_send(&self, task: &Task) -> bool {
        if self.count == 0 {
            return true;
        }
        let now_ms = task.daemon.knowledge.now_ms();
        let is_spent = self.may_have_run && !self.has_more(task);
        !is_spent && task.daemon.knowledge.with(|beliefs| beliefs.take_retry(&task.service, now_ms))
    }

    fn only(&self, task: &Task) -> Option<BTreeSet<EndpointName>> {
        let is_full = self.sent_to.len() as u64 >= u64::from(task.route.attempts);
        is_full.then(|| self.sent_to.clone())
    }

    fn set_aside(&mut self, until_ms: u64) {
        if let Some(last) = &self.last {
            self.set_aside.insert(last.clone(), until_ms);
        }
    }
}
