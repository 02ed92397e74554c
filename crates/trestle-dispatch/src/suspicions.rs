//! Attempts of one request that ended without an answer at endpoints which have given no sign of
//! life since.
//!
//! The load that this answers: a request that crashes each endpoint which begins to run it, while
//! answers of endpoints are lost and the endpoint list cannot be read. Nothing proves a crash then,
//! so no crash is recorded, and each daemon would let the request run again once it has forgotten
//! its own attempts. So such attempts are remembered until the request has an answer, and daemons
//! report them to each other. A sign of life of the endpoint, later than a crash under the attempt would
//! be, clears its attempts. A suspicion alone never rejects a request, since an endpoint behind a
//! broken link looks the same: it only makes its attempts run one at a time.

use crate::endpoint::Incarnation;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of incarnations that are kept for one request. Two of them already restrict it.
const MAX_KEPT: usize = 4;
/// Time from which on two attempts at one incarnation count twice: the endpoint may have started
/// again in between. Daemons give different times for the same attempt, which differ by less.
const SEPARATE_MS: u64 = 2_000;
/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 8;

/// A digest of an incarnation of an endpoint, which is the same at all daemons. It is never 0.
#[trestle_macros::key]
#[derive(Copy)]
pub struct IncarnationDigest(u64);

impl IncarnationDigest {
    /// Returns the digest of an incarnation.
    pub fn of(incarnation: &Incarnation) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(incarnation.started_unix_ms.to_le_bytes());
        hasher.update(incarnation.name.as_str());
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(u64::from_le_bytes(bytes).max(1))
    }

    /// Creates a digest from its number; `None` if no digest has this number.
    pub fn from_number(number: u64) -> Option<Self> {
        (number != 0).then_some(Self(number))
    }

    /// Returns the number of the digest.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// What one daemon reports to another about an incarnation to which a request was sent.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ReportedSuspicion {
    /// The incarnation.
    pub endpoint: IncarnationDigest,
    /// What is known of it.
    pub evidence: SuspicionEvidence,
}

/// What is known of an incarnation that may have crashed under a request.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SuspicionEvidence {
    /// It has given no sign of life since an attempt.
    Silent {
        /// Time since the attempt was sent there, in milliseconds.
        sent_ago_ms: u64,
    },
    /// It has not crashed under attempts that were sent until some time ago.
    Survived {
        /// That time, in milliseconds.
        until_ago_ms: u64,
    },
}

/// The suspicions of one request, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    attempts: BTreeMap<IncarnationDigest, Attempts>,
}

/// The attempts at one incarnation.
#[derive(Debug, Clone, Copy)]
struct Attempts {
    first_sent_ms: u64,
    last_sent_ms: u64,
    /// Time until which sent attempts did not crash the incarnation; 0 if none is known to.
    survived_ms: u64,
}

impl Suspicions {
    /// Adds an attempt. Returns whether it counts in addition to those that are known. If there are
    /// enough, it is not added.
    pub(crate) fn add(&mut self, endpoint: IncarnationDigest, sent_ms: u64) -> bool {
        if let Some(attempts) = self.attempts.get_mut(&endpoint) {
            return attempts.add(sent_ms);
        }
        if self.attempts.len() >= MAX_KEPT {
            // Endpoints that have survived must not take the places of others.
            self.attempts.retain(|_, attempts| attempts.counted().next().is_some());
        }
        let has_room = self.attempts.len() < MAX_KEPT;
        if has_room {
            let attempts =
                Attempts { first_sent_ms: sent_ms, last_sent_ms: sent_ms, survived_ms: 0 };
            self.attempts.insert(endpoint, attempts);
        }
        has_room
    }

    /// Records that an incarnation did not crash under attempts that were sent until a time. Returns
    /// whether that clears any.
    pub(crate) fn survived(&mut self, endpoint: IncarnationDigest, until_ms: u64) -> bool {
        let Some(attempts) = self.attempts.get_mut(&endpoint) else { return false };
        let before = attempts.counted().count();
        attempts.survived_ms = attempts.survived_ms.max(until_ms);
        attempts.counted().count() < before
    }

    /// Removes the attempts at an incarnation that is known to have crashed.
    pub(crate) fn remove(&mut self, incarnation: &Incarnation) {
        if !self.attempts.is_empty() {
            self.attempts.remove(&IncarnationDigest::of(incarnation));
        }
    }

    /// Removes the attempts that were sent until the request was answered completely. Returns
    /// whether there were any.
    pub(crate) fn clear_until(&mut self, answered_ms: u64) -> bool {
        let before = self.count_since(0);
        self.attempts.retain(|_, attempts| answered_ms < attempts.last_sent_ms);
        for attempts in self.attempts.values_mut() {
            if attempts.first_sent_ms <= answered_ms {
                attempts.first_sent_ms = attempts.last_sent_ms;
            }
        }
        self.count_since(0) < before
    }

    /// Returns the number of attempts that were sent after a time.
    pub(crate) fn count_since(&self, from_ms: u64) -> usize {
        self.attempts.values().map(|attempts| attempts.count_since(from_ms)).sum()
    }

    /// Returns when the last attempt was sent.
    pub(crate) fn last_ms(&self) -> Option<u64> {
        self.attempts.values().map(|attempts| attempts.last_sent_ms).max()
    }

    /// Returns what other daemons are told.
    pub(crate) fn reports(&self, now_ms: u64) -> Vec<ReportedSuspicion> {
        let ago_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let reports = self.attempts.iter().flat_map(|(endpoint, attempts)| {
            let silent = attempts.counted();
            let silent =
                silent.map(|sent_ms| SuspicionEvidence::Silent { sent_ago_ms: ago_ms(sent_ms) });
            let survived = Some(attempts.survived_ms).filter(|until_ms| *until_ms > 0);
            let survived = survived
                .map(|until_ms| SuspicionEvidence::Survived { until_ago_ms: ago_ms(until_ms) });
            let evidence = survived.into_iter().chain(silent);
            evidence.map(|evidence| ReportedSuspicion { endpoint: *endpoint, evidence })
        });
        reports.collect()
    }
}

impl Attempts {
    /// Adds an attempt. Returns whether it counts in addition.
    fn add(&mut self, sent_ms: u64) -> bool {
        let count = self.counted().count();
        if count == 0 && self.survived_ms < sent_ms {
            (self.first_sent_ms, self.last_sent_ms) = (sent_ms, sent_ms);
            return true;
        }
        self.first_sent_ms = self.first_sent_ms.min(sent_ms);
        self.last_sent_ms = self.last_sent_ms.max(sent_ms);
        self.counted().count() > count
    }

    /// Returns when the attempts that count were sent.
    fn counted(self) -> impl Iterator<Item = u64> {
        let is_separate = self.first_sent_ms + SEPARATE_MS <= self.last_sent_ms;
        let sent_ms =
            std::iter::once(self.first_sent_ms).chain(is_separate.then_some(self.last_sent_ms));
        sent_ms.filter(move |sent_ms| self.survived_ms < *sent_ms)
    }

    fn count_since(self, from_ms: u64) -> usize {
        self.counted().filter(|sent_ms| from_ms <= *sent_ms).count()
    }
}
