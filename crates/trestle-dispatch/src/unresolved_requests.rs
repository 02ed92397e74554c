//! Requests without an answer, by the incarnations of endpoints to which they were sent.
//!
//! The load that this answers: a request that crashes its endpoint while connections are reset,
//! links are cut, and callers disconnect. A lost connection alone then says little about the
//! endpoint, and an endpoint may crash without a lost connection. So each request is remembered
//! until its incarnation of the endpoint answers: while it runs there, and for some seconds after
//! it was aborted, because its connection was lost or no caller waited for it any more. Once an
//! incarnation is known to have terminated, these are the requests that may have crashed it.
//!
//! Requests that were aborted earlier must not be blamed: if an endpoint is alive some time after
//! a request was aborted there, that request did not crash it. Any answer of the same incarnation
//! proves this; if none arrives, the endpoint is probed. If it does not answer that either, the request
//! is suspected, which all daemons are told, and is remembered for much longer.

use crate::{endpoint::Incarnation, fingerprint::Fingerprint};
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::EndpointName;

/// Time for which an aborted request is remembered: an entry lapses after three heartbeats of
/// 1.2 s, and the update of the list takes a second more.
const UNRESOLVED_MS: u64 = 6_000;
/// Time for which an aborted request is remembered whose endpoint gives no sign of life, so that the
/// endpoint is still checked after a long outage.
const SUSPECTED_MS: u64 = 1_200_000;
/// Time for which such a request is blamed if its endpoint turns out to have terminated. Endpoints
/// behind a link that was broken for longer may have terminated for any reason.
const BLAMED_MS: u64 = 60_000;
/// Time for which a terminated incarnation is remembered: an outdated list names it no longer.
const TERMINATED_MS: u64 = 60_000;
/// Longest time from the abort of a request until the endpoint has crashed, if it crashes under
/// that request: an endpoint drops a request once it sees that the connection is closed.
pub const MAX_CRASH_DELAY_MS: u64 = 500;

/// Requests without an answer, by incarnation.
#[derive(Debug, Default)]
pub struct UnresolvedRequests {
    incarnations: BTreeMap<Incarnation, IncarnationRequests>,
    /// Incarnations that were found to have terminated, and when. An outdated list may name them
    /// again, and what is sent there then cannot have crashed them.
    terminated: BTreeMap<Incarnation, u64>,
}

/// The requests that one incarnation has not answered.
#[derive(Debug, Default)]
struct IncarnationRequests {
    /// Address of the endpoint; `None` if nothing was sent there.
    address: Option<SocketAddr>,
    /// Requests that run there as far as this daemon knows.
    running: BTreeMap<Fingerprint, RunningRequest>,
    /// Requests that were aborted there.
    aborted: BTreeMap<Fingerprint, AbortedRequest>,
    /// Whether a task is checking if the incarnation has terminated.
    is_being_checked: bool,
    /// Whether the incarnation must be checked once although no request is unresolved there any more:
    /// it has sent nothing of an answer, so its answers may be lost on the way.
    must_be_checked: bool,
    /// Since when the incarnation has not answered a check; `None` if it has answered since.
    silent_since_ms: Option<u64>,
    /// When the incarnation was found to have terminated; `None` if it was not.
    terminated_ms: Option<u64>,
}

/// The attempts of one request that run at one incarnation.
#[derive(Debug)]
struct RunningRequest {
    /// Number of attempts.
    count: u32,
    /// When the last attempt was sent.
    sent_ms: u64,
}

/// A request that was aborted at one incarnation.
#[derive(Debug)]
struct AbortedRequest {
    /// When the last attempt was sent.
    sent_ms: u64,
    /// When the last attempt was aborted.
    at_ms: u64,
    /// Whether the endpoint gave no sign of life afterwards, so that the request is suspected.
    is_suspected: bool,
}

/// What a lost connection means for its endpoint.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ConnectionLoss {
    /// The endpoint may have terminated; the caller of the method must check it.
    CheckNeeded,
    /// The endpoint may have terminated; a check is already running.
    CheckRunning,
    /// The endpoint is known to have terminated.
    Terminated,
}

/// What proves that an endpoint has terminated.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Evidence {
    /// No process listens at its address.
    Refused,
    /// Another endpoint listens at its address.
    Replaced,
    /// The endpoint has restarted under the same name.
    StartedAgain,
    /// The endpoint's entry is gone although it announced no draining. It may have stopped
    /// without an announcement, and then still finishes its running requests.
    Unlisted,
}

impl Evidence {
    /// Returns the name of the evidence in logs.
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
    /// Records that a request is sent to an endpoint.
    pub fn sent(
        &mut self,
        incarnation: &Incarnation,
        address: SocketAddr,
        request: Fingerprint,
        now_ms: u64,
    ) {
        let requests = self.requests(incarnation);
        requests.address = Some(address);
        let running =
            requests.running.entry(request).or_insert(RunningRequest { count: 0, sent_ms: now_ms });
        running.count += 1;
        running.sent_ms = now_ms;
    }

    /// Records that an attempt at an endpoint ended and needs no further tracking there.
    pub fn resolved(&mut self, incarnation: &Incarnation, request: Fingerprint) {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return };
        if let Some(running) = requests.running.get_mut(&request) {
            running.count -= 1;
            if running.count == 0 {
                requests.running.remove(&request);
            }
        }
        if requests.is_empty() {
            self.incarnations.remove(incarnation);
        }
    }

    /// Records that a running request was abandoned, because no caller waits for it. Returns
    /// whether the incarnation is known to have terminated.
    pub fn abandoned(
        &mut self,
        incarnation: &Incarnation,
        request: Fingerprint,
        now_ms: u64,
    ) -> bool {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return false };
        let is_terminated = requests.terminated_ms.is_some();
        if !is_terminated {
            requests.abort(request, now_ms);
        }
        self.resolved(incarnation, request);
        is_terminated
    }

    /// Records that an endpoint is silent on a request that runs there and is sent to another endpoint
    /// besides: until it is known whether the endpoint has crashed, the request counts as aborted, too.
    pub fn silent(&mut self, incarnation: &Incarnation, request: Fingerprint, now_ms: u64) {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return };
        if requests.terminated_ms.is_none() && requests.running.contains_key(&request) {
            requests.abort(request, now_ms);
        }
    }

    /// Records that the connection of a request to an endpoint was lost.
    pub fn connection_lost(
        &mut self,
        incarnation: &Incarnation,
        request: Fingerprint,
        now_ms: u64,
    ) -> ConnectionLoss {
        self.forget(now_ms);
        let requests = self.requests(incarnation);
        if requests.terminated_ms.is_some() {
            return ConnectionLoss::Terminated;
        }
        requests.abort(request, now_ms);
        match std::mem::replace(&mut requests.is_being_checked, true) {
            true => ConnectionLoss::CheckRunning,
            false => ConnectionLoss::CheckNeeded,
        }
    }

    /// Returns whether a check of an incarnation that has sent nothing of an answer must be started,
    /// and records that it is: requests were aborted there, and no check is running.
    pub fn start_check(&mut self, incarnation: &Incarnation) -> bool {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return false };
        let must_start = !requests.aborted.is_empty() && !requests.is_being_checked;
        requests.is_being_checked |= must_start;
        requests.must_be_checked = true;
        must_start
    }

    /// Returns whether the check of an incarnation must go on: requests were aborted there, and
    /// nothing proves that it was alive later, or it does not answer, so that requests avoid it. If it
    /// need not, the next lost connection starts a new check.
    pub fn needs_check(&mut self, incarnation: &Incarnation, now_ms: u64) -> bool {
        self.forget(now_ms);
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return false };
        let is_silent = requests.must_be_checked || requests.silent_since_ms.is_some();
        let is_unknown = !requests.aborted.is_empty() || is_silent;
        let needs_check = requests.terminated_ms.is_none() && is_unknown;
        requests.is_being_checked = needs_check;
        if requests.is_empty() {
            self.incarnations.remove(incarnation);
        }
        needs_check
    }

    /// Records that an endpoint answered a request that was sent at `sent_ms`, over a connection
    /// that was opened at `opened_ms`. An incarnation without a start time is identified by its
    /// name alone. Otherwise the answer does not show which incarnation under the name sent it, but
    /// the connection does: one that was open before an abort still leads to the same incarnation.
    /// Returns the requests that were suspected there, and until when sent attempts are cleared.
    pub fn answered(
        &mut self,
        incarnation: &Incarnation,
        sent_ms: u64,
        opened_ms: u64,
    ) -> BTreeMap<Fingerprint, u64> {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return BTreeMap::new() };
        requests.gave_sign();
        let is_identified_by_name = incarnation.started_unix_ms == 0;
        // The endpoint is back, or had never terminated.
        if is_identified_by_name {
            self.terminated.remove(incarnation);
        }
        requests
            .terminated_ms
            .take_if(|terminated_ms| is_identified_by_name && *terminated_ms < sent_ms);
        requests.clear_aborted(|aborted| {
            let is_same = is_identified_by_name || opened_ms <= aborted.at_ms;
            is_same && aborted.at_ms + MAX_CRASH_DELAY_MS <= sent_ms
        })
    }

    /// Records that some process answered at the address of an incarnation. It may be the next one, so
    /// this clears nothing, but nothing more will become known of what was aborted there.
    pub fn gave_sign(&mut self, incarnation: &Incarnation) {
        if let Some(requests) = self.incarnations.get_mut(incarnation) {
            requests.gave_sign();
            requests.aborted.values_mut().for_each(|aborted| aborted.is_suspected = false);
        }
    }

    /// Records that an incarnation was alive at `at_ms`. Returns the requests that were suspected
    /// there, and until when sent attempts are cleared.
    pub fn confirmed_alive(
        &mut self,
        incarnation: &Incarnation,
        at_ms: u64,
    ) -> BTreeMap<Fingerprint, u64> {
        self.terminated.remove(incarnation);
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return BTreeMap::new() };
        requests.gave_sign();
        requests.clear_aborted(|aborted| aborted.at_ms + MAX_CRASH_DELAY_MS <= at_ms)
    }

    /// Records that a check at `checked_ms` got no answer from an endpoint. Returns the requests that
    /// are suspected from now on, and when each was last sent there: those that were aborted long
    /// enough before the check.
    pub fn gave_no_sign(
        &mut self,
        incarnation: &Incarnation,
        checked_ms: u64,
    ) -> BTreeMap<Fingerprint, u64> {
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return BTreeMap::new() };
        requests.must_be_checked = false;
        requests.silent_since_ms.get_or_insert(checked_ms);
        let newly_suspected = requests.aborted.iter_mut().filter(|(_, aborted)| {
            !aborted.is_suspected && aborted.at_ms + MAX_CRASH_DELAY_MS <= checked_ms
        });
        let newly_suspected = newly_suspected.map(|(request, aborted)| {
            aborted.is_suspected = true;
            (*request, aborted.sent_ms)
        });
        newly_suspected.collect()
    }

    /// Records that a request was answered completely, so that its attempts until now crashed no
    /// endpoint.
    pub fn served(&mut self, request: Fingerprint) {
        for requests in self.incarnations.values_mut() {
            requests.aborted.remove(&request);
        }
    }

    /// Returns the number of incarnations at which a request was aborted and that may have crashed
    /// under it, without those for which it is suspected already. Attempts that were sent until
    /// `answered_ms`, when the request was last answered completely, do not count.
    pub fn unresolved_incarnations(
        &self,
        request: Fingerprint,
        answered_ms: Option<u64>,
        now_ms: u64,
    ) -> usize {
        let is_unresolved = |requests: &&IncarnationRequests| {
            requests.aborted.get(&request).is_some_and(|aborted| {
                let is_cleared = answered_ms.is_some_and(|at_ms| aborted.sent_ms <= at_ms);
                !is_cleared && !aborted.is_suspected && now_ms < aborted.at_ms + UNRESOLVED_MS
            })
        };
        self.incarnations.values().filter(is_unresolved).count()
    }

    /// Returns whether an incarnation was known to have terminated when a request was sent there.
    pub fn was_terminated_at(&self, incarnation: &Incarnation, sent_ms: u64) -> bool {
        self.terminated.get(incarnation).is_some_and(|known_ms| *known_ms < sent_ms)
    }

    /// Returns whether a request was aborted at an incarnation that may have crashed under it.
    pub fn is_unresolved(
        &self,
        incarnation: &Incarnation,
        request: Fingerprint,
        now_ms: u64,
    ) -> bool {
        let requests = self.incarnations.get(incarnation);
        let aborted = requests.and_then(|requests| requests.aborted.get(&request));
        aborted.is_some_and(|aborted| !aborted.has_lapsed(now_ms))
    }

    /// Returns whether a request is suspected of having crashed an incarnation, which has given no
    /// sign of life since the request was aborted there.
    pub fn is_suspected(&self, incarnation: &Incarnation, request: Fingerprint) -> bool {
        let requests = self.incarnations.get(incarnation);
        let aborted = requests.and_then(|requests| requests.aborted.get(&request));
        aborted.is_some_and(|aborted| aborted.is_suspected)
    }

    /// Records that an incarnation terminated. Returns the requests that may have crashed it, and
    /// when each was last sent there.
    pub fn terminated(
        &mut self,
        incarnation: &Incarnation,
        evidence: Evidence,
        now_ms: u64,
    ) -> BTreeMap<Fingerprint, u64> {
        self.forget(now_ms);
        let Some(requests) = self.incarnations.get_mut(incarnation) else { return BTreeMap::new() };
        requests.gave_sign();
        if evidence == Evidence::Unlisted && requests.aborted.is_empty() {
            return BTreeMap::new();
        }
        // An entry that is gone may have lapsed although its endpoint is alive.
        let known_ms = match evidence {
            Evidence::Unlisted => self.terminated.get(incarnation).copied().unwrap_or(now_ms),
            _ => *self.terminated.entry(incarnation.clone()).or_insert(now_ms),
        };
        requests.terminated_ms = Some(now_ms);
        let aborted = std::mem::take(&mut requests.aborted).into_iter();
        let aborted = aborted.filter(|(_, aborted)| {
            aborted.sent_ms <= known_ms && now_ms < aborted.at_ms + BLAMED_MS
        });
        let mut suspects: BTreeMap<Fingerprint, u64> =
            aborted.map(|(request, aborted)| (request, aborted.sent_ms)).collect();
        if evidence != Evidence::Unlisted {
            let running = requests.running.iter();
            suspects.extend(running.map(|(request, running)| (*request, running.sent_ms)));
        }
        suspects
    }

    /// Returns the incarnations with unresolved requests that are not listed and not known to have
    /// terminated.
    pub fn unlisted(&self, is_listed: impl Fn(&Incarnation) -> bool) -> Vec<Incarnation> {
        self.unresolved()
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| !is_listed(incarnation))
            .cloned()
            .collect()
    }

    /// Returns the incarnations of other endpoints at an address that have unresolved requests and
    /// are not known to have terminated.
    pub fn others_at(&self, address: SocketAddr, name: &EndpointName) -> Vec<Incarnation> {
        let at_address =
            self.unresolved().filter(|(_, requests)| requests.address == Some(address));
        at_address
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| incarnation.name != *name)
            .cloned()
            .collect()
    }

    fn unresolved(&self) -> impl Iterator<Item = (&Incarnation, &IncarnationRequests)> {
        self.incarnations.iter().filter(|(_, requests)| requests.terminated_ms.is_none())
    }

    fn requests(&mut self, incarnation: &Incarnation) -> &mut IncarnationRequests {
        self.incarnations.entry(incarnation.clone()).or_default()
    }

    fn forget(&mut self, now_ms: u64) {
        self.terminated.retain(|_, known_ms| now_ms < *known_ms + TERMINATED_MS);
        let has_lapsed = |at_ms: u64| now_ms >= at_ms + UNRESOLVED_MS;
        self.incarnations.retain(|_, requests| {
            requests.aborted.retain(|_, aborted| !aborted.has_lapsed(now_ms));
            requests.terminated_ms.take_if(|terminated_ms| has_lapsed(*terminated_ms));
            requests.silent_since_ms.take_if(|since_ms| now_ms >= *since_ms + SUSPECTED_MS);
            !requests.is_empty()
        });
    }
}

impl AbortedRequest {
    /// Returns whether the request is no longer remembered.
    fn has_lapsed(&self, now_ms: u64) -> bool {
        let remembered_ms = if self.is_suspected { SUSPECTED_MS } else { UNRESOLVED_MS };
        now_ms >= self.at_ms + remembered_ms
    }
}

impl IncarnationRequests {
    /// Records that an attempt of a request was aborted.
    fn abort(&mut self, request: Fingerprint, now_ms: u64) {
        let running_ms = self.running.get(&request).map(|running| running.sent_ms);
        let aborted_ms = self.aborted.get(&request).map(|aborted| aborted.sent_ms);
        let sent_ms = running_ms.or(aborted_ms).unwrap_or(now_ms);
        // The end of one attempt may be recorded twice.
        if aborted_ms == Some(sent_ms) {
            return;
        }
        let aborted = AbortedRequest { sent_ms, at_ms: now_ms, is_suspected: false };
        self.aborted.insert(request, aborted);
    }

    /// Removes the aborted requests that are known to have crashed nothing. Returns those that were
    /// suspected, and when each was last sent.
    fn clear_aborted(
        &mut self,
        is_cleared: impl Fn(&AbortedRequest) -> bool,
    ) -> BTreeMap<Fingerprint, u64> {
        let mut suspected = BTreeMap::new();
        self.aborted.retain(|request, aborted| {
            let is_cleared = is_cleared(aborted);
            if is_cleared && aborted.is_suspected {
                suspected.insert(*request, aborted.sent_ms);
            }
            !is_cleared
        });
        suspected
    }

    /// Records that the incarnation, or another process at its address, has answered.
    fn gave_sign(&mut self) {
        self.must_be_checked = false;
        self.silent_since_ms = None;
    }

    /// Returns whether the value holds nothing that is still needed.
    fn is_empty(&self) -> bool {
        let has_requests = !self.running.is_empty() || !self.aborted.is_empty();
        let is_checked = self.is_being_checked || self.silent_since_ms.is_some();
        !has_requests && !is_checked && self.terminated_ms.is_none()
    }
}
