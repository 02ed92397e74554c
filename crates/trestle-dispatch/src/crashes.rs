//! Requests under which endpoints ended, as all daemons together know them.
//!
//! The load that this answers: a request that crashes each endpoint which begins to run it, and
//! whose caller comes back for as long as it fails, at any daemon. Remembered by nobody, one
//! such request ended 15 of 9 engines in 10 s, each start of them included, and with each all
//! that ran there. So each daemon notes under which requests endpoints ended, leaders gather
//! that, and a request under which as many ended as [`MOST_ENDS`] is refused everywhere.
//!
//! What ran beside such a request is noted, too, and so is what many callers ask for while a
//! rack loses power. It is told apart by what becomes of it: one whole answer, at any daemon,
//! shows that a request ends nothing. So that there can be one, a request is let through again
//! after a while, which grows each time that an endpoint ends under it once more.

use crate::{endpoint::Incarnation, fingerprint::Fingerprint};
use std::collections::BTreeMap;

/// Ends under one request from which on it is refused. With one less, 9 of 286 requests that
/// only ran beside such a one would have been refused as well; with one more, it costs another
/// endpoint with all that runs there.
pub const MAX_CRASHES: usize = 3;
/// Ends from which on one attempt runs at a time: what ends endpoints then ends one more, not as
/// many as its callers reach at once.
const TRIED_ENDS: usize = MAX_CRASHES - 1;
/// Time for which it is refused at first, from the last end on. What ended three endpoints at
/// once by another cause is over by then, and engines have loaded their models, for 6 to 13 s.
const FIRST_REFUSED_MS: u64 = 30_000;
/// By how much longer it is refused each time that it was let through and ended another.
const REFUSED_GROWTH: u64 = 4;
/// Longest time for which it is refused. An engine that ends has to load its models again:
/// once in ten minutes that is 2 % of one engine at most.
const MOST_REFUSED_MS: u64 = 600_000;
/// Time within which ends count as one occasion: attempts that were under way together.
const OCCASION_MS: u64 = 10_000;
/// Time after which a request is forgotten. In the second half of it the request is let through,
/// and the next end under it has it refused again.
const FORGOTTEN_MS: u64 = 2 * MOST_REFUSED_MS;
/// Ends that are kept of one request: three, and as many occasions as the time grows.
const MOST_KEPT: usize = MAX_CRASHES + 3;
/// Requests that are remembered: 2,000 slots of engines that end at once, twice over. About
/// 1 MB.
const MOST_REQUESTS: usize = 4_096;
/// Difference by which two daemons may date the same end.
const SAME_TIME_MS: u64 = 2_000;

/// Requests under which endpoints ended.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Time by which this daemon lets requests through later than others, so that not all try
    /// at once: the news of an end takes about a second.
    late_ms: u64,
    by_request: BTreeMap<Fingerprint, Record>,
    /// Number of the last change.
    changes: u64,
    /// Number of the last change of a request that is refused.
    refused_changes: u64,
}

/// What is known of one request.
#[derive(Debug, Default)]
struct Record {
    /// The last lives of endpoints that ended under it, and when.
    crashes: BTreeMap<Incarnation, u64>,
    /// Whether it had a whole answer, so that it ends nothing.
    is_served: bool,
    /// Number of its last change.
    changed: u64,
}

/// What one daemon tells another of one request.
#[trestle_macros::plain]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The last lives of endpoints that ended under it, and for how many ms they have.
    pub crashes: Vec<(Incarnation, u64)>,
    /// Whether it had a whole answer.
    pub is_served: bool,
}

impl Crashes {
    /// Nothing is known yet. Of all daemons each should let requests through later by a time of
    /// its own, of up to some seconds.
    pub fn with_delay(late_ms: u64) -> Self {
        Self { late_ms, ..Self::default() }
    }

    /// Notes that an endpoint ended under a request; returns whether that is refused from now on.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        endpoint: &Incarnation,
        now_ms: u64,
    ) -> bool {
        let ends = vec![(endpoint.clone(), 0)];
        !self
            .apply_reports(&[CrashReport { request, crashes: ends, is_served: false }], now_ms)
            .is_empty()
    }

    /// Notes that a request had a whole answer; returns how many endpoints had ended under it, if
    /// it was tried or refused until now.
    pub fn served(&mut self, request: Fingerprint) -> Option<usize> {
        let record = self.by_request.get_mut(&request)?;
        if record.is_served {
            return None;
        }
        record.is_served = true;
        let ends = record.crashes.len();
        self.note_changed(request);
        Some(ends).filter(|ends| *ends >= TRIED_ENDS)
    }

    /// For how long a request is refused.
    pub fn refused_for_ms(&self, request: Fingerprint, now_ms: u64) -> Option<u64> {
        let until_ms = self.by_request.get(&request)?.refused_until_ms()? + self.late_ms;
        until_ms.checked_sub(now_ms).filter(|for_ms| *for_ms > 0)
    }

    /// Whether one attempt of a request may run at a time, so that it is found out whether it
    /// ends endpoints.
    pub fn must_run_serially(&self, request: Fingerprint) -> bool {
        self.must_run_serially_with_unresolved(request, 0)
    }

    /// The same where it is not known of so many more endpoints whether they ended under it.
    pub fn must_run_serially_with_unresolved(&self, request: Fingerprint, in_doubt: usize) -> bool {
        let record = self.by_request.get(&request).filter(|record| !record.crashes.is_empty());
        match record {
            Some(record) => !record.is_served && record.crashes.len() + in_doubt >= TRIED_ENDS,
            None => in_doubt >= TRIED_ENDS,
        }
    }

    /// What has changed after a change, and the number of the last one.
    pub fn changes_since(&self, after: u64, now_ms: u64) -> (Vec<CrashReport>, u64) {
        let changed = self.by_request.iter().filter(|(_, record)| record.changed > after);
        (changed.map(|(request, record)| record.report(*request, now_ms)).collect(), self.changes)
    }

    /// Number of the last change of a request that is tried or refused, or was until it had an
    /// answer.
    pub fn last_restricted_change(&self) -> u64 {
        self.refused_changes
    }

    /// Requests that are tried or refused, or were until they had an answer, the last ones first,
    /// and the number of their last change.
    pub fn restricted_reports(&self, now_ms: u64) -> (Vec<CrashReport>, u64) {
        let mut refused: Vec<(u64, CrashReport)> = self
            .by_request
            .iter()
            .filter_map(|(request, record)| {
                let last_ms = record.last_ms();
                let is_told = record.crashes.len() >= TRIED_ENDS && now_ms < last_ms + FORGOTTEN_MS;
                is_told.then(|| (last_ms, record.report(*request, now_ms)))
            })
            .collect();
        refused.sort_by_key(|(last_ms, _)| std::cmp::Reverse(*last_ms));
        (refused.into_iter().map(|(_, report)| report).collect(), self.refused_changes)
    }

    /// Takes what another daemon knows; returns requests that are refused from now on.
    pub fn apply_reports(&mut self, reports: &[CrashReport], now_ms: u64) -> Vec<Fingerprint> {
        self.forget(now_ms);
        let mut refused = Vec::new();
        for report in reports {
            let was_refused = self.refused_for_ms(report.request, now_ms).is_some();
            let record = self.by_request.entry(report.request).or_default();
            let mut is_changed = report.is_served && !record.is_served;
            record.is_served |= report.is_served;
            for (endpoint, age_ms) in &report.crashes {
                is_changed |= record.add(endpoint, now_ms.saturating_sub(*age_ms));
            }
            if is_changed {
                self.note_changed(report.request);
            }
            if !was_refused && self.refused_for_ms(report.request, now_ms).is_some() {
                refused.push(report.request);
            }
        }
        refused
    }

    fn note_changed(&mut self, request: Fingerprint) {
        self.changes += 1;
        let Some(record) = self.by_request.get_mut(&request) else { return };
        record.changed = self.changes;
        if record.crashes.len() >= TRIED_ENDS {
            self.refused_changes = self.changes;
        }
    }

    fn forget(&mut self, now_ms: u64) {
        self.by_request.retain(|_, record| now_ms < record.last_ms() + FORGOTTEN_MS);
        while self.by_request.len() > MOST_REQUESTS {
            let oldest = self.by_request.iter().min_by_key(|(_, record)| record.weight());
            let Some((oldest, _)) = oldest else { return };
            let oldest = *oldest;
            self.by_request.remove(&oldest);
        }
    }
}

impl Record {
    /// Adds an end; returns whether that is news. Of more than are needed the last ones stay.
    fn add(&mut self, endpoint: &Incarnation, at_ms: u64) -> bool {
        if self.crashes.contains_key(endpoint) {
            return false;
        }
        if self.crashes.len() >= MOST_KEPT {
            let oldest = self.crashes.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some((oldest, oldest_ms)) = oldest else { return false };
            if at_ms <= oldest_ms + SAME_TIME_MS {
                return false;
            }
            let oldest = oldest.clone();
            self.crashes.remove(&oldest);
        }
        self.crashes.insert(endpoint.clone(), at_ms);
        true
    }

    fn last_ms(&self) -> u64 {
        self.crashes.values().copied().max().unwrap_or_default()
    }

    fn refused_until_ms(&self) -> Option<u64> {
        let is_known = self.crashes.len() >= MAX_CRASHES && !self.is_served;
        is_known.then(|| self.last_ms() + self.refused_ms())
    }

    /// For how long it is refused from the last end on.
    fn refused_ms(&self) -> u64 {
        let mut times: Vec<u64> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let Some((mut last_ms, further)) =
            times.get(MAX_CRASHES - 1).copied().zip(times.get(MAX_CRASHES..))
        else {
            return 0;
        };
        let mut refused_ms = FIRST_REFUSED_MS;
        for at_ms in further {
            if *at_ms > last_ms + OCCASION_MS {
                refused_ms = (refused_ms * REFUSED_GROWTH).min(MOST_REFUSED_MS);
                last_ms = *at_ms;
            }
        }
        refused_ms
    }

    /// What is forgotten last where there is too much: what ended most, and lately.
    fn weight(&self) -> (usize, u64) {
        (self.crashes.len(), self.last_ms())
    }

    fn report(&self, request: Fingerprint, now_ms: u64) -> CrashReport {
        let ends = self.crashes.iter();
        let ends = ends.map(|(name, at_ms)| (name.clone(), now_ms.saturating_sub(*at_ms)));
        CrashReport { request, crashes: ends.collect(), is_served: self.is_served }
    }
}
