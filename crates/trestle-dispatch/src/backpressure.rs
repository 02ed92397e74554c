//! Limits and backoffs that endpoints announced to this daemon in their answers, by incarnation.
//!
//! The load that this answers: an overloaded endpoint whose callers keep sending requests. A
//! signal in an answer takes effect at once at the daemon that received it, whatever the endpoint
//! list, a leader or another daemon reports or omits, until this incarnation of the endpoint
//! ends.

use crate::{
    endpoint::Incarnation,
    endpoint_limits::ObservedLimit,
    signals::{EndpointSignals, HeaderField},
};
use std::collections::BTreeMap;

/// Number of incarnations that are kept at most; those with the oldest answers are dropped first.
const MAX_INCARNATIONS: usize = 4_096;
/// Time for which the signals of an incarnation are kept while it is not listed: its entry may
/// only have lapsed.
const UNLISTED_KEPT_MS: u64 = 600_000;
/// Interval after which one request of this daemon tries a limited endpoint although others could
/// take it, while few daemons do so: without any request nobody would observe that the limit is
/// lifted.
const TRIAL_INTERVAL_MS: u64 = 1_000;
/// Number of daemons up to which each tries a limited endpoint every [`TRIAL_INTERVAL_MS`]. If
/// there are more, each tries less often, so that all together request no more permits.
const FEW_DAEMONS: u64 = 16;
/// Longest time after a backoff for which an endpoint receives few concurrent requests, and more
/// with each answered one: rejected callers all retry together.
const RAMP_UP_MS: u64 = 3_000;
/// Number of concurrent requests that each answered request adds.
const RAMP_UP_STEP: u32 = 2;
/// Number of requests answered after a backoff from which on the number of concurrent requests is
/// no longer limited.
const RAMP_UP_SERVED: u32 = 4;
/// Delay after which callers should retry if the endpoint is still running the first requests
/// after a backoff.
const RAMP_UP_RETRY_MS: u64 = 200;
/// Longest time for which a daemon does not request a permit again after a refusal: the limit may
/// be raised or lifted meanwhile.
const MAX_CLOSED_MS: u64 = 5_000;
/// Time after which a daemon that found no leader to request a permit from tries again.
const UNREACHABLE_CLOSED_MS: u64 = 500;
/// Delay after which callers should retry if no leader was found to request a permit from: the
/// lease of a leader that was lost runs out after about this time.
const UNREACHABLE_RETRY_MS: u64 = 2_000;

/// Signals of endpoints to this daemon.
#[derive(Debug, Default)]
pub struct Backpressure {
    by_incarnation: BTreeMap<Incarnation, SignalState>,
}

/// The signals of one incarnation.
#[derive(Debug, Default)]
struct SignalState {
    limit: Option<AnnouncedLimit>,
    backoff: Option<Backoff>,
    /// The last value that was unreadable.
    unreadable: Option<String>,
    observed_ms: u64,
}

/// A backoff that an endpoint requested from this daemon.
#[trestle_macros::plain]
pub struct Backoff {
    /// Time until which the endpoint accepts no requests.
    pub until_ms: u64,
    /// When the endpoint last requested it.
    pub observed_ms: u64,
    /// Id of the request whose answer requested it.
    pub observed_in: String,
    /// Number of requests that the endpoint has answered since the backoff ended.
    served: u32,
}

/// A limit that an endpoint announced.
#[trestle_macros::plain]
pub struct AnnouncedLimit {
    /// Requests per 1,000 s that the endpoint accepts from all daemons together.
    pub per_ks: u64,
    /// When an answer last announced a limit.
    pub observed_ms: u64,
    /// Id of the request whose answer announced this limit first.
    pub observed_in: String,
    /// Number of answers without a limit, since `observed_ms` and the last report to a leader.
    answers_without_limit: u32,
    last_without_ms: u64,
    /// When a request last tried the endpoint although another one could have taken it.
    last_trial_ms: u64,
    /// Time until which no permit is requested.
    closed_until_ms: u64,
    /// Time at which a permit should be available.
    permit_at_ms: u64,
}

/// A change of an endpoint's signals.
#[trestle_macros::plain]
pub enum SignalChange {
    /// The endpoint announced a limit, or a different one.
    Limit {
        /// Requests per 1,000 s.
        per_ks: u64,
    },
    /// The endpoint announced that it is draining.
    Draining,
    /// The endpoint accepts no requests for a time.
    Backoff {
        /// The length of that time.
        for_ms: u64,
    },
    /// A signal has an unreadable value and is ignored.
    Unreadable {
        /// Name of the signal.
        what: &'static str,
        /// The beginning of its value.
        text: String,
    },
}

/// One answer of an endpoint, with what matters for its signals.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// The signals in the headers of the answer.
    pub signals: &'a EndpointSignals,
    /// Whether the request ran and succeeded.
    pub is_success: bool,
    /// Id of the request.
    pub id: &'a str,
    /// When the request was sent.
    pub sent_ms: u64,
}

impl Backpressure {
    /// Applies the signals in an answer of an incarnation. Returns what changed.
    pub fn apply_answer(
        &mut self,
        incarnation: &Incarnation,
        answer: Answer<'_>,
        now_ms: u64,
    ) -> Vec<SignalChange> {
        let signals = answer.signals;
        if *signals == EndpointSignals::default() && !self.by_incarnation.contains_key(incarnation)
        {
            return Vec::new();
        }
        self.make_room(incarnation);
        let state = self.by_incarnation.entry(incarnation.clone()).or_default();
        state.observed_ms = now_ms;
        let mut changes = Vec::new();
        changes.extend(state.apply_limit(answer, now_ms));
        changes.extend(state.apply_backoff(answer, now_ms));
        changes.extend(state.unreadable(signals));
        changes
    }

    /// Returns the limit that an incarnation announced.
    pub fn limit(&self, incarnation: &Incarnation) -> Option<&AnnouncedLimit> {
        self.by_incarnation.get(incarnation)?.limit.as_ref()
    }

    /// Returns the backoff that an incarnation requested, until it accepts requests as before.
    pub fn backoff(&self, incarnation: &Incarnation) -> Option<&Backoff> {
        self.by_incarnation.get(incarnation)?.backoff.as_ref()
    }

    /// Returns the remaining time of a backoff that an incarnation requested.
    pub fn backoff_left_ms(&self, incarnation: &Incarnation, now_ms: u64) -> Option<u64> {
        let backoff = self.backoff(incarnation)?;
        Some(backoff.until_ms.saturating_sub(now_ms)).filter(|left_ms| *left_ms > 0)
    }

    /// Returns the time for which no further request is sent to an incarnation, because of a
    /// backoff, or because after one this daemon already has `in_flight` requests there.
    pub fn backoff_closed_for_ms(
        &self,
        incarnation: &Incarnation,
        in_flight: u32,
        now_ms: u64,
    ) -> Option<u64> {
        let backoff = self.backoff(incarnation)?;
        if now_ms < backoff.until_ms {
            return Some(backoff.until_ms - now_ms);
        }
        let is_ramping_up = now_ms < backoff.until_ms + RAMP_UP_MS;
        let max_in_flight = 1 + RAMP_UP_STEP * backoff.served;
        (is_ramping_up && in_flight >= max_in_flight).then_some(RAMP_UP_RETRY_MS)
    }

    /// Returns whether no endpoint has sent any signal.
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }

    /// Returns the time for which no request is sent to a limited incarnation, because no permit
    /// is available; `None` if the incarnation has no limit, or a permit may be requested.
    pub fn limit_closed_for_ms(&self, incarnation: &Incarnation, now_ms: u64) -> Option<u64> {
        let limit = self.limit(incarnation).filter(|limit| now_ms < limit.closed_until_ms)?;
        Some(limit.permit_at_ms.max(now_ms + 1) - now_ms)
    }

    /// Returns whether a request should now try a limited endpoint although others could take it.
    /// `daemons` is the number of daemons that share the limit.
    pub fn is_trial_due(&self, incarnation: &Incarnation, daemons: usize, now_ms: u64) -> bool {
        let interval_ms = TRIAL_INTERVAL_MS * (daemons as u64).div_ceil(FEW_DAEMONS).max(1);
        let limit = self.limit(incarnation).filter(|limit| now_ms >= limit.closed_until_ms);
        limit.is_some_and(|limit| now_ms >= limit.last_trial_ms + interval_ms)
    }

    /// Records that a permit is about to be requested. Returns what is reported to the leader
    /// with the request.
    pub fn permit_requested(
        &mut self,
        incarnation: &Incarnation,
        now_ms: u64,
    ) -> Option<ObservedLimit> {
        let limit = self.limit_mut(incarnation)?;
        limit.last_trial_ms = now_ms;
        let AnnouncedLimit { per_ks, observed_ms, last_without_ms, .. } = *limit;
        let answers_without_limit = std::mem::take(&mut limit.answers_without_limit);
        Some(ObservedLimit { per_ks, observed_ms, answers_without_limit, last_without_ms })
    }

    /// Records that no permit is available for `in_ms`.
    pub fn permit_refused(&mut self, incarnation: &Incarnation, in_ms: u64, now_ms: u64) {
        if let Some(limit) = self.limit_mut(incarnation) {
            limit.closed_until_ms = now_ms + in_ms.min(MAX_CLOSED_MS);
            limit.permit_at_ms = now_ms + in_ms;
        }
    }

    /// Records that no leader could be reached to request a permit from.
    pub fn allocator_unreachable(&mut self, incarnation: &Incarnation, now_ms: u64) {
        if let Some(limit) = self.limit_mut(incarnation) {
            limit.closed_until_ms = now_ms + UNREACHABLE_CLOSED_MS;
            limit.permit_at_ms = now_ms + UNREACHABLE_RETRY_MS;
        }
    }

    /// Records that a leader knows of no limit any more. Returns whether that is a change: a
    /// limit that an answer announced after the leader was queried stays.
    pub fn limit_lifted(&mut self, incarnation: &Incarnation, queried_ms: u64) -> bool {
        let Some(state) = self.by_incarnation.get_mut(incarnation) else { return false };
        state.limit.take_if(|limit| limit.observed_ms <= queried_ms).is_some()
    }

    /// Returns the number of incarnations with a limit.
    pub fn limited(&self) -> usize {
        self.by_incarnation.values().filter(|state| state.limit.is_some()).count()
    }

    /// Returns the number of incarnations that are in a backoff.
    pub fn backing_off(&self, now_ms: u64) -> usize {
        let backoffs = self.by_incarnation.values().filter_map(|state| state.backoff.as_ref());
        backoffs.filter(|backoff| now_ms < backoff.until_ms).count()
    }

    /// Drops incarnations that have not been listed for long.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.by_incarnation.retain(|incarnation, state| {
            is_listed(incarnation) || now_ms < state.observed_ms + UNLISTED_KEPT_MS
        });
    }

    fn limit_mut(&mut self, incarnation: &Incarnation) -> Option<&mut AnnouncedLimit> {
        self.by_incarnation.get_mut(incarnation)?.limit.as_mut()
    }

    fn make_room(&mut self, incarnation: &Incarnation) {
        if self.by_incarnation.len() < MAX_INCARNATIONS
            || self.by_incarnation.contains_key(incarnation)
        {
            return;
        }
        let oldest = self.by_incarnation.iter().min_by_key(|(_, state)| state.observed_ms);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) {
            self.by_incarnation.remove(&incarnation);
        }
    }
}

impl SignalState {
    /// Applies the backoff that an answer requests, or its absence.
    fn apply_backoff(&mut self, answer: Answer<'_>, now_ms: u64) -> Option<SignalChange> {
        if let Some(&for_ms) = answer.signals.backoff_ms.value() {
            // A later, shorter backoff does not end a longer one.
            let before_ms = self.backoff.as_ref().map_or(0, |backoff| backoff.until_ms);
            let until_ms = before_ms.max(now_ms + for_ms);
            let observed_in = answer.id.to_owned();
            self.backoff = Some(Backoff { until_ms, observed_ms: now_ms, observed_in, served: 0 });
            return Some(SignalChange::Backoff { for_ms });
        }
        let backoff = self.backoff.as_mut()?;
        backoff.served += u32::from(answer.is_success && answer.sent_ms >= backoff.until_ms);
        self.backoff.take_if(|backoff| backoff.served >= RAMP_UP_SERVED);
        None
    }

    /// Applies the limit that an answer announces, or its absence.
    fn apply_limit(&mut self, answer: Answer<'_>, now_ms: u64) -> Option<SignalChange> {
        match (&answer.signals.limit_per_ks, &mut self.limit) {
            (HeaderField::Value(per_ks), Some(limit)) => {
                let is_new = limit.per_ks != *per_ks;
                if is_new {
                    limit.observed_in = answer.id.to_owned();
                }
                limit.per_ks = *per_ks;
                limit.observed_ms = now_ms;
                limit.answers_without_limit = 0;
                is_new.then_some(SignalChange::Limit { per_ks: *per_ks })
            }
            (HeaderField::Value(per_ks), None) => {
                self.limit = Some(AnnouncedLimit {
                    per_ks: *per_ks,
                    observed_ms: now_ms,
                    observed_in: answer.id.to_owned(),
                    answers_without_limit: 0,
                    last_without_ms: 0,
                    last_trial_ms: now_ms,
                    closed_until_ms: 0,
                    permit_at_ms: 0,
                });
                Some(SignalChange::Limit { per_ks: *per_ks })
            }
            // An answer to a request that was sent earlier reflects an earlier state.
            (HeaderField::Absent, Some(limit))
                if answer.is_success && answer.sent_ms >= limit.observed_ms =>
            {
                limit.answers_without_limit += 1;
                limit.last_without_ms = now_ms;
                None
            }
            (HeaderField::Absent | HeaderField::Unreadable(_), _) => None,
        }
    }

    /// Returns the unreadable value of an answer, unless it is the same as before.
    fn unreadable(&mut self, signals: &EndpointSignals) -> Option<SignalChange> {
        let limit = (unreadable_text(&signals.limit_per_ks), "limit");
        let draining = (unreadable_text(&signals.draining), "leaving");
        let backoff = (unreadable_text(&signals.backoff_ms), "rest");
        let brittle = (unreadable_text(&signals.max_rejections), "brittle");
        let (text, what) = [limit, draining, backoff, brittle]
            .into_iter()
            .find_map(|(text, what)| Some((text?, what)))?;
        let is_new = self.unreadable.as_deref() != Some(text);
        self.unreadable = Some(text.to_owned());
        is_new.then(|| SignalChange::Unreadable { what, text: text.to_owned() })
    }
}

fn unreadable_text<T>(field: &HeaderField<T>) -> Option<&str> {
    match field {
        HeaderField::Unreadable(text) => Some(text),
        HeaderField::Absent | HeaderField::Value(_) => None,
    }
}
