//! What endpoints have asked of this daemon in their answers, by their lives.
//!
//! The load that this answers: an endpoint in need, with callers who go on asking for what it
//! has. What it says in an answer counts at once for the daemon that has the answer, whatever the
//! list of endpoints, a leader or another daemon says or leaves out, until this life of it ends.

use crate::{
    endpoint::Incarnation,
    endpoint_limits::ObservedLimit,
    signals::{EndpointSignals, HeaderField},
};
use std::collections::BTreeMap;

/// Lives of which more is kept than that; those of which least was heard lately go first.
const MOST_LIVES: usize = 4_096;
/// Time for which what a life has said is kept after it is no longer listed: its entry may only
/// have lapsed.
const KEPT_MS: u64 = 600_000;
/// Time after which one request of this daemon tries an endpoint with a limit although others
/// could take it, while few daemons do: without any, nobody would hear that the limit is lifted.
const TRIED_MS: u64 = 1_000;
/// Daemons that try it so often; more of them do more seldom, so that all together ask for as
/// many places.
const FEW_DAEMONS: u64 = 16;
/// Longest time after a rest for which an endpoint gets few requests at once, more with each that
/// it has served: callers who were turned away come back together.
const RETURNING_MS: u64 = 3_000;
/// Requests at once that each served one allows.
const RETURNING_STEP: u32 = 2;
/// Requests served after a rest from which on it is over.
const RETURNED_SERVED: u32 = 4;
/// When callers should come back who find an endpoint at work on the first requests after a rest.
const RETURNING_RETRY_MS: u64 = 200;
/// Longest time for which a refused daemon does not ask for a place again: the limit may be
/// raised or lifted meanwhile.
const MOST_CLOSED_MS: u64 = 5_000;
/// Time after which a daemon asks again that could not ask anybody.
const ASKED_IN_VAIN_MS: u64 = 500;
/// What callers are told then: a lease whose holder was lost is free after about that time.
const NO_LENDER_MS: u64 = 2_000;

/// What endpoints have asked of this daemon.
#[derive(Debug, Default)]
pub struct Backpressure {
    by_life: BTreeMap<Incarnation, SignalState>,
}

/// What one life of an endpoint has asked.
#[derive(Debug, Default)]
struct SignalState {
    limit: Option<AnnouncedLimit>,
    rest: Option<Backoff>,
    /// The last thing that could not be read.
    unreadable: Option<String>,
    heard_ms: u64,
}

/// A rest that an endpoint has asked of this daemon.
#[trestle_macros::plain]
pub struct Backoff {
    /// Until when it wants nothing.
    pub until_ms: u64,
    /// When it last asked for it.
    pub observed_ms: u64,
    /// The request in whose answer it did.
    pub observed_in: String,
    /// Requests that it has served since.
    served: u32,
}

/// A limit that an endpoint has named.
#[trestle_macros::plain]
pub struct AnnouncedLimit {
    /// Requests that it takes in 1,000 s, from all daemons together.
    pub per_ks: u64,
    /// When an answer last named one.
    pub observed_ms: u64,
    /// The request in whose answer this one was first named.
    pub observed_in: String,
    /// Answers since that did not name one, and of which no leader knows.
    silent: u32,
    silent_ms: u64,
    /// When a request last tried it that another endpoint could have taken.
    tried_ms: u64,
    /// Until when no place is asked for.
    closed_until_ms: u64,
    /// When there should be a place.
    place_at_ms: u64,
}

/// Something that is new of an endpoint.
#[trestle_macros::plain]
pub enum SignalChange {
    /// It names a limit, or another one than before.
    Limit {
        /// Requests in 1,000 s.
        per_ks: u64,
    },
    /// It leaves.
    Draining,
    /// It wants nothing for a time.
    Backoff {
        /// For how long.
        for_ms: u64,
    },
    /// It says something that cannot be read, and that counts for nothing.
    Unreadable {
        /// What it would have been.
        what: &'static str,
        /// How it begins.
        text: String,
    },
}

/// One answer of an endpoint, as far as it tells what the endpoint asks for.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// What it says.
    pub signals: &'a EndpointSignals,
    /// Whether the request has run and succeeded.
    pub is_success: bool,
    /// The request that it answers.
    pub id: &'a str,
    /// When that left.
    pub sent_ms: u64,
}

impl Backpressure {
    /// Takes what a life of an endpoint says in an answer; returns what is new of it.
    pub fn apply_answer(
        &mut self,
        incarnation: &Incarnation,
        answer: Answer<'_>,
        now_ms: u64,
    ) -> Vec<SignalChange> {
        let notice = answer.signals;
        if *notice == EndpointSignals::default() && !self.by_life.contains_key(incarnation) {
            return Vec::new();
        }
        self.make_room(incarnation);
        let asked = self.by_life.entry(incarnation.clone()).or_default();
        asked.heard_ms = now_ms;
        let mut heard = Vec::new();
        heard.extend(asked.hear_limit(answer, now_ms));
        heard.extend(asked.hear_rest(answer, now_ms));
        heard.extend(asked.unreadable(notice));
        heard
    }

    /// The limit that a life of an endpoint has named.
    pub fn limit(&self, incarnation: &Incarnation) -> Option<&AnnouncedLimit> {
        self.by_life.get(incarnation)?.limit.as_ref()
    }

    /// The rest that a life of an endpoint has asked for, until it serves again as before.
    pub fn backoff(&self, incarnation: &Incarnation) -> Option<&Backoff> {
        self.by_life.get(incarnation)?.rest.as_ref()
    }

    /// Time until a rest that a life of an endpoint has asked for is over.
    pub fn backoff_left_ms(&self, incarnation: &Incarnation, now_ms: u64) -> Option<u64> {
        let rest = self.backoff(incarnation)?;
        Some(rest.until_ms.saturating_sub(now_ms)).filter(|left_ms| *left_ms > 0)
    }

    /// Time for which no more requests are sent to a life of an endpoint that rests, or comes
    /// back from a rest with so many requests of this daemon already.
    pub fn backoff_closed_for_ms(
        &self,
        incarnation: &Incarnation,
        in_flight: u32,
        now_ms: u64,
    ) -> Option<u64> {
        let rest = self.backoff(incarnation)?;
        if now_ms < rest.until_ms {
            return Some(rest.until_ms - now_ms);
        }
        let is_returning = now_ms < rest.until_ms + RETURNING_MS;
        let most = 1 + RETURNING_STEP * rest.served;
        (is_returning && in_flight >= most).then_some(RETURNING_RETRY_MS)
    }

    /// Whether nothing was asked by anybody.
    pub fn is_empty(&self) -> bool {
        self.by_life.is_empty()
    }

    /// Time for which no request is sent to a life of an endpoint that has no place there;
    /// `None` if there is nothing against it, or a place may be asked for.
    pub fn limit_closed_for_ms(&self, incarnation: &Incarnation, now_ms: u64) -> Option<u64> {
        let limit = self.limit(incarnation).filter(|limit| now_ms < limit.closed_until_ms)?;
        Some(limit.place_at_ms.max(now_ms + 1) - now_ms)
    }

    /// Whether it is time that a request tries an endpoint with a limit which others could take.
    /// So many daemons share the limit.
    pub fn is_trial_due(&self, incarnation: &Incarnation, daemons: usize, now_ms: u64) -> bool {
        let every_ms = TRIED_MS * (daemons as u64).div_ceil(FEW_DAEMONS).max(1);
        let limit = self.limit(incarnation).filter(|limit| now_ms >= limit.closed_until_ms);
        limit.is_some_and(|limit| now_ms >= limit.tried_ms + every_ms)
    }

    /// Notes that a place is about to be asked for; returns what the leader is to be told.
    pub fn permit_requested(
        &mut self,
        incarnation: &Incarnation,
        now_ms: u64,
    ) -> Option<ObservedLimit> {
        let limit = self.limit_mut(incarnation)?;
        limit.tried_ms = now_ms;
        let AnnouncedLimit { per_ks, observed_ms: heard_ms, silent_ms, .. } = *limit;
        let silent = std::mem::take(&mut limit.silent);
        Some(ObservedLimit {
            per_ks,
            observed_ms: heard_ms,
            answers_without_limit: silent,
            last_without_ms: silent_ms,
        })
    }

    /// Notes that there is no place for a time.
    pub fn permit_refused(&mut self, incarnation: &Incarnation, in_ms: u64, now_ms: u64) {
        if let Some(limit) = self.limit_mut(incarnation) {
            limit.closed_until_ms = now_ms + in_ms.min(MOST_CLOSED_MS);
            limit.place_at_ms = now_ms + in_ms;
        }
    }

    /// Notes that nobody could be asked who lends places.
    pub fn allocator_unreachable(&mut self, incarnation: &Incarnation, now_ms: u64) {
        if let Some(limit) = self.limit_mut(incarnation) {
            limit.closed_until_ms = now_ms + ASKED_IN_VAIN_MS;
            limit.place_at_ms = now_ms + NO_LENDER_MS;
        }
    }

    /// Notes that a leader knows of no limit any more; returns whether that is news. What an
    /// answer named after it was asked counts more.
    pub fn limit_lifted(&mut self, incarnation: &Incarnation, asked_ms: u64) -> bool {
        let Some(asked) = self.by_life.get_mut(incarnation) else { return false };
        asked.limit.take_if(|limit| limit.observed_ms <= asked_ms).is_some()
    }

    /// Lives that have named a limit.
    pub fn limited(&self) -> usize {
        self.by_life.values().filter(|asked| asked.limit.is_some()).count()
    }

    /// Lives that rest.
    pub fn backing_off(&self, now_ms: u64) -> usize {
        let rests = self.by_life.values().filter_map(|asked| asked.rest.as_ref());
        rests.filter(|rest| now_ms < rest.until_ms).count()
    }

    /// Forgets lives that have not been listed for long.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.by_life.retain(|incarnation, asked| {
            is_listed(incarnation) || now_ms < asked.heard_ms + KEPT_MS
        });
    }

    fn limit_mut(&mut self, incarnation: &Incarnation) -> Option<&mut AnnouncedLimit> {
        self.by_life.get_mut(incarnation)?.limit.as_mut()
    }

    fn make_room(&mut self, incarnation: &Incarnation) {
        if self.by_life.len() < MOST_LIVES || self.by_life.contains_key(incarnation) {
            return;
        }
        let oldest = self.by_life.iter().min_by_key(|(_, asked)| asked.heard_ms);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) {
            self.by_life.remove(&incarnation);
        }
    }
}

impl SignalState {
    /// Takes the rest that an answer asks for, or that it asks for none.
    fn hear_rest(&mut self, answer: Answer<'_>, now_ms: u64) -> Option<SignalChange> {
        if let Some(&for_ms) = answer.signals.backoff_ms.value() {
            // A shorter one that is asked for later does not end a longer one.
            let before_ms = self.rest.as_ref().map_or(0, |rest| rest.until_ms);
            let until_ms = before_ms.max(now_ms + for_ms);
            let heard_in = answer.id.to_owned();
            self.rest =
                Some(Backoff { until_ms, observed_ms: now_ms, observed_in: heard_in, served: 0 });
            return Some(SignalChange::Backoff { for_ms });
        }
        let rest = self.rest.as_mut()?;
        rest.served += u32::from(answer.is_success && answer.sent_ms >= rest.until_ms);
        self.rest.take_if(|rest| rest.served >= RETURNED_SERVED);
        None
    }

    /// Takes the limit that an answer names, or that it names none.
    fn hear_limit(&mut self, answer: Answer<'_>, now_ms: u64) -> Option<SignalChange> {
        match (&answer.signals.limit_per_ks, &mut self.limit) {
            (HeaderField::Value(per_ks), Some(limit)) => {
                let is_new = limit.per_ks != *per_ks;
                if is_new {
                    limit.observed_in = answer.id.to_owned();
                }
                limit.per_ks = *per_ks;
                limit.observed_ms = now_ms;
                limit.silent = 0;
                is_new.then_some(SignalChange::Limit { per_ks: *per_ks })
            }
            (HeaderField::Value(per_ks), None) => {
                self.limit = Some(AnnouncedLimit {
                    per_ks: *per_ks,
                    observed_ms: now_ms,
                    observed_in: answer.id.to_owned(),
                    silent: 0,
                    silent_ms: 0,
                    tried_ms: now_ms,
                    closed_until_ms: 0,
                    place_at_ms: 0,
                });
                Some(SignalChange::Limit { per_ks: *per_ks })
            }
            // An answer to a request that had left before says what was true before.
            (HeaderField::Absent, Some(limit))
                if answer.is_success && answer.sent_ms >= limit.observed_ms =>
            {
                limit.silent += 1;
                limit.silent_ms = now_ms;
                None
            }
            (HeaderField::Absent | HeaderField::Unreadable(_), _) => None,
        }
    }

    /// What cannot be read, unless it was the same before.
    fn unreadable(&mut self, notice: &EndpointSignals) -> Option<SignalChange> {
        let limit = (unreadable_text(&notice.limit_per_ks), "limit");
        let leaving = (unreadable_text(&notice.draining), "leaving");
        let rest = (unreadable_text(&notice.backoff_ms), "rest");
        let (text, what) =
            [limit, leaving, rest].into_iter().find_map(|(text, what)| Some((text?, what)))?;
        let is_new = self.unreadable.as_deref() != Some(text);
        self.unreadable = Some(text.to_owned());
        is_new.then(|| SignalChange::Unreadable { what, text: text.to_owned() })
    }
}

fn unreadable_text<T>(said: &HeaderField<T>) -> Option<&str> {
    match said {
        HeaderField::Unreadable(text) => Some(text),
        HeaderField::Absent | HeaderField::Value(_) => None,
    }
}
