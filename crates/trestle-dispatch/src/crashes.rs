//! Requests under which endpoints crashed, as all daemons know them together.
//!
//! The load that this answers: a request that crashes each endpoint which begins to run it, and
//! whose caller retries at any daemon for as long as it fails. Without this record one such
//! request crashed 9 engines 15 times in 10 s, restarts included, and aborted everything that ran
//! there. So each daemon records under which requests endpoints crashed, leaders collect these
//! records, and a request under which [`MAX_CRASHES`] endpoints crashed is rejected everywhere.
//!
//! Requests that ran beside such a request are recorded too, and so are requests of many callers
//! while a rack loses power. One complete answer at any daemon clears them: it proves that the
//! attempts until then crashed nothing. It proves nothing about later attempts, since the software
//! of engines changes: crashes of endpoints to which the request was sent after the answer count
//! again. To make an answer possible, a rejected request is admitted again after a time that grows
//! with each further crash.
//!
//! The same is recorded of the shared parts of prompts: requests of which no two are alike may have a
//! part in common that crashes each engine which begins to answer. A first event is proof for a part,
//! and engines that lose power together are one occasion, however many parts were open there. So
//! crashes count for a part only if it was sent after the one before had been observed, and a part
//! is rejected one crash later than a request, since one attempt at a time can still show which of
//! several parts it is.
//!
//! A request is called restricted while it is rejected, or while only one attempt of it may run
//! at a time.

mod report;

pub use self::report::{CrashReport, ReportedCrash};

use crate::{
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    suspicions::{IncarnationDigest, ReportedSuspicion, SuspicionEvidence, Suspicions},
};
use std::collections::BTreeMap;

/// Number of crashes under one request from which on it is rejected. With one less, 9 of 286
/// requests that only ran beside such a request would have been rejected as well; with one more,
/// each such request crashes another endpoint and aborts everything that runs there.
pub const MAX_CRASHES: usize = 3;
/// The same number for a part of prompts.
const MAX_PART_CRASHES: usize = MAX_CRASHES + 1;
/// Number of crashes from which on only one attempt of a request runs at a time, whether or not a
/// leader can be reached: a request that crashes endpoints then crashes one more, not as many as its
/// callers reach at once.
const SERIAL_CRASHES: usize = MAX_CRASHES - 1;
/// Number of crashes from which on only one attempt runs at a time at engines, as long as a leader
/// can be reached. Attempts of one request wait for its model at all daemons, and would all reach
/// the first engine that has loaded it.
const SERIAL_CRASHES_AT_ENGINES: usize = 1;
/// Time for which a request is rejected at first, from its last crash on. If another cause
/// crashed three endpoints at once, it has passed by then, and the engines have loaded their
/// models again, which takes 6 to 13 s.
const FIRST_REJECTED_MS: u64 = 30_000;
/// Factor by which the time grows each time that the request was admitted and crashed another
/// endpoint.
const REJECTED_GROWTH: u64 = 4;
/// Longest time for which a request is rejected. A crashed engine has to load its models again:
/// once in ten minutes this costs at most 2 % of one engine.
const MAX_REJECTED_MS: u64 = 600_000;
/// Time within which crashes count as one occasion: attempts that ran concurrently.
const OCCASION_MS: u64 = 10_000;
/// Time after which a request is forgotten. In the second half of it the request is admitted, and
/// the next crash under it has it rejected again.
const EXPIRY_MS: u64 = 2 * MAX_REJECTED_MS;
/// Number of crashes that are kept for one request: [`MAX_CRASHES`], and one for each of the three
/// steps in which the time of rejection grows to its longest.
const MAX_KEPT_CRASHES: usize = MAX_CRASHES + 3;
/// The same number for a part of prompts, some of whose crashes belong to one occasion.
const MAX_KEPT_PART_CRASHES: usize = MAX_PART_CRASHES + 6;
/// Time from the last crash on in which a request with one crash runs one attempt at a time. By then
/// engines have loaded its model again, also if that takes several tries.
const SERIAL_FOR_MS: u64 = 60_000;
/// Number of requests in one message to another daemon; further ones follow with the next message.
const MAX_REPORTED: usize = 256;
/// Number of requests that are kept: twice the 2,000 slots of engines that may crash at once.
/// They take about 1 MB.
const MAX_REQUESTS: usize = 4_096;
/// Added to all times that are kept. The clock of a daemon starts with it, and it receives reports
/// on crashes from before.
const CLOCK_OFFSET_MS: u64 = EXPIRY_MS;
/// Longest difference between the times that two daemons give for the same crash.
const SAME_CRASH_MS: u64 = 2_000;

/// Requests under which endpoints crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Additional time for which this daemon rejects requests, so that not all daemons admit one
    /// at the same time: the report of a crash takes about a second to reach them.
    delay_ms: u64,
    by_request: BTreeMap<Fingerprint, CrashRecord>,
    /// Number of changes so far.
    changes: u64,
}

/// What this daemon knows of one request under which endpoints crashed.
#[derive(Debug, Default)]
struct CrashRecord {
    /// Whether this is the record of a part of prompts.
    is_part: bool,
    /// The most recent incarnations that crashed under the request.
    crashes: BTreeMap<Incarnation, Crash>,
    /// Attempts of which it is not known whether their endpoints crashed, and no answer followed.
    suspicions: Suspicions,
    /// When the request was last answered completely; `None` if it was not.
    answered_ms: Option<u64>,
    /// Whether this daemon has observed a crash or an answer itself.
    is_own: bool,
    /// Whether the last change was an answer that this daemon received.
    is_answer_last: bool,
    /// Number of the request's last change.
    last_change: u64,
}

/// The crash of an endpoint under a request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// When the request was last sent there.
    sent_ms: u64,
    /// When the crash was observed.
    at_ms: u64,
}

impl Crashes {
    /// Returns an empty record that rejects requests for `delay_ms` longer. Each daemon should
    /// use a delay of its own of up to some seconds.
    pub fn with_delay(delay_ms: u64) -> Self {
        Self { delay_ms, ..Self::default() }
    }

    /// Records that an endpoint crashed under a request that was last sent there at `sent_ms`.
    /// Returns whether the request is rejected from now on.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        endpoint: &Incarnation,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let sent_ago_ms = now_ms.saturating_sub(sent_ms);
        let crash = ReportedCrash { endpoint: endpoint.clone(), ago_ms: 0, sent_ago_ms };
        let crashes = vec![crash];
        let report =
            CrashReport { request, crashes, suspicions: Vec::new(), answered_ago_ms: None };
        !self.apply_own(&report, now_ms).is_empty()
    }

    /// Records that an attempt of a request, sent at `sent_ms`, ended without an answer, and that
    /// its endpoint has given no sign of life since.
    pub fn record_suspicion(
        &mut self,
        request: Fingerprint,
        endpoint: &Incarnation,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let sent_ago_ms = now_ms.saturating_sub(sent_ms);
        let endpoint = IncarnationDigest::of(endpoint);
        let evidence = SuspicionEvidence::Silent { sent_ago_ms };
        let suspicions = vec![ReportedSuspicion { endpoint, evidence }];
        let report =
            CrashReport { request, crashes: Vec::new(), suspicions, answered_ago_ms: None };
        self.apply_own(&report, now_ms);
    }

    /// Records that an endpoint did not crash under attempts of a request that were sent there until
    /// `until_ms`.
    pub fn record_survival(
        &mut self,
        request: Fingerprint,
        endpoint: &Incarnation,
        until_ms: u64,
        now_ms: u64,
    ) {
        let until_ago_ms = now_ms.saturating_sub(until_ms);
        let endpoint = IncarnationDigest::of(endpoint);
        let evidence = SuspicionEvidence::Survived { until_ago_ms };
        let suspicions = vec![ReportedSuspicion { endpoint, evidence }];
        let report =
            CrashReport { request, crashes: Vec::new(), suspicions, answered_ago_ms: None };
        self.apply_own(&report, now_ms);
    }

    /// Applies what this daemon has observed itself. Returns the requests that are rejected from now
    /// on.
    fn apply_own(&mut self, report: &CrashReport, now_ms: u64) -> Vec<Fingerprint> {
        let rejected = self.apply_reports(std::slice::from_ref(report), now_ms);
        if let Some(record) = self.by_request.get_mut(&report.request) {
            record.is_own = true;
        }
        rejected
    }

    /// Records that a request was answered completely. Returns the number of crashes that the
    /// answer clears, if any.
    pub fn served(&mut self, request: Fingerprint, now_ms: u64) -> Option<usize> {
        let record = self.by_request.get_mut(&request)?;
        let cleared = record.counted();
        let answered_ms = record.answered_ms.max(Some(now_ms + CLOCK_OFFSET_MS));
        record.answered_ms = answered_ms;
        record.suspicions.clear_until(answered_ms.unwrap_or_default());
        record.is_own = true;
        // Others may count crashes that an earlier answer here has cleared.
        if cleared > 0 || !record.is_answer_last {
            self.record_change(request, true);
        }
        Some(cleared).filter(|cleared| *cleared > 0)
    }

    /// Returns the number of crashes under a request that no answer has cleared.
    pub fn counted(&self, request: Fingerprint) -> usize {
        self.by_request.get(&request).map_or(0, CrashRecord::counted)
    }

    /// Returns the number of attempts of a request that ended without an answer at endpoints which
    /// have given no sign of life since, according to all daemons. Several attempts at one endpoint
    /// count once, or twice if they were made some time apart.
    pub fn suspected(&self, request: Fingerprint, now_ms: u64) -> usize {
        let from_ms = (now_ms + CLOCK_OFFSET_MS).saturating_sub(EXPIRY_MS);
        self.by_request.get(&request).map_or(0, |record| record.suspicions.count_since(from_ms))
    }

    /// Returns whether an endpoint is known to have crashed under a request.
    pub fn has_crashed(&self, request: Fingerprint, endpoint: &Incarnation) -> bool {
        self.by_request.get(&request).is_some_and(|record| record.crashes.contains_key(endpoint))
    }

    /// Returns when a request was last answered completely, if endpoints crashed under it and an
    /// answer is known.
    pub fn answered_ms(&self, request: Fingerprint) -> Option<u64> {
        let answered_ms = self.by_request.get(&request)?.answered_ms?;
        Some(answered_ms.saturating_sub(CLOCK_OFFSET_MS))
    }

    /// Returns the remaining time for which a request is rejected; `None` if it is not rejected.
    pub fn rejected_for_ms(&self, request: Fingerprint, now_ms: u64) -> Option<u64> {
        let until_ms = self.by_request.get(&request)?.rejected_until_ms()? + self.delay_ms;
        until_ms.checked_sub(now_ms + CLOCK_OFFSET_MS).filter(|for_ms| *for_ms > 0)
    }

    /// Returns whether only one attempt of a request may run at a time, even if no leader can be
    /// asked, if `unresolved` more endpoints may have crashed under it.
    pub fn must_run_serially(&self, request: Fingerprint, unresolved: usize) -> bool {
        self.counted(request) + unresolved >= SERIAL_CRASHES
    }

    /// Returns whether only one attempt of a request may run at a time at engines while a leader
    /// can be asked.
    pub fn must_run_serially_at_engines(&self, request: Fingerprint, now_ms: u64) -> bool {
        self.by_request.get(&request).filter(|record| !record.is_part).is_some_and(|record| {
            let is_recent = now_ms + CLOCK_OFFSET_MS < record.last_ms() + SERIAL_FOR_MS;
            is_recent && record.counted() >= SERIAL_CRASHES_AT_ENGINES
        })
    }

    /// Returns the requests that changed after a change number, and the number of the last
    /// change.
    pub fn changes_since(&self, after: u64, now_ms: u64) -> (Vec<CrashReport>, u64) {
        self.reports(after, now_ms, usize::MAX, |_| true)
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Returns the next changes after a change number, as many as one message holds, and the number
    /// of the last one of them.
    pub fn reports_since(&self, after: u64, now_ms: u64) -> (Vec<CrashReport>, u64) {
        self.reports(after, now_ms, MAX_REPORTED, |_| true)
    }

    /// Does the same as [`Self::reports_since`] for the requests of which this daemon has observed a
    /// crash or an answer itself.
    pub fn own_reports_since(&self, after: u64, now_ms: u64) -> (Vec<CrashReport>, u64) {
        self.reports(after, now_ms, MAX_REPORTED, |record| record.is_own)
    }

    fn reports(
        &self,
        after: u64,
        now_ms: u64,
        max_count: usize,
        is_reported: impl Fn(&CrashRecord) -> bool,
    ) -> (Vec<CrashReport>, u64) {
        let now_ms = now_ms + CLOCK_OFFSET_MS;
        let changed = self
            .by_request
            .iter()
            .filter(|(_, record)| record.last_change > after && is_reported(record));
        let mut changed: Vec<(&Fingerprint, &CrashRecord)> = changed.collect();
        let mut number = self.changes;
        if changed.len() > max_count {
            changed.sort_by_key(|(_, record)| record.last_change);
            changed.truncate(max_count);
            number = changed.last().map_or(number, |(_, record)| record.last_change);
        }
        let reports = changed.into_iter().map(|(request, record)| record.report(*request, now_ms));
        (reports.collect(), number)
    }

    /// Returns the requests that are restricted at all endpoints, or were until they had an answer,
    /// the most recent ones first, and the number of the last change.
    pub fn restricted_reports(&self, now_ms: u64) -> (Vec<CrashReport>, u64) {
        let now_ms = now_ms + CLOCK_OFFSET_MS;
        let mut restricted: Vec<(u64, CrashReport)> = self
            .by_request
            .iter()
            .filter_map(|(request, record)| {
                let last_ms = record.last_ms();
                let is_reported =
                    record.crashes.len() >= SERIAL_CRASHES && now_ms < last_ms + EXPIRY_MS;
                is_reported.then(|| (last_ms, record.report(*request, now_ms)))
            })
            .collect();
        restricted.sort_by_key(|(last_ms, _)| std::cmp::Reverse(*last_ms));
        (restricted.into_iter().map(|(_, report)| report).collect(), self.changes)
    }

    /// Applies the reports of another daemon. Returns the requests that are rejected from now on.
    pub fn apply_reports(&mut self, reports: &[CrashReport], now_ms: u64) -> Vec<Fingerprint> {
        self.drop_expired(now_ms + CLOCK_OFFSET_MS);
        let mut rejected = Vec::new();
        for report in reports {
            let was_rejected = self.rejected_for_ms(report.request, now_ms).is_some();
            let record = self.by_request.entry(report.request).or_default();
            record.is_part = report.request.is_part();
            if record.apply(report, now_ms + CLOCK_OFFSET_MS) {
                self.record_change(report.request, false);
            }
            if !was_rejected && self.rejected_for_ms(report.request, now_ms).is_some() {
                rejected.push(report.request);
            }
        }
        rejected
    }

    fn record_change(&mut self, request: Fingerprint, is_own_answer: bool) {
        self.changes += 1;
        let Some(record) = self.by_request.get_mut(&request) else { return };
        record.last_change = self.changes;
        record.is_answer_last = is_own_answer;
    }

    fn drop_expired(&mut self, now_ms: u64) {
        self.by_request.retain(|_, record| now_ms < record.changed_ms() + EXPIRY_MS);
        while self.by_request.len() > MAX_REQUESTS {
            let oldest = self.by_request.iter().min_by_key(|(_, record)| record.weight());
            let Some((oldest, _)) = oldest else { return };
            let oldest = *oldest;
            self.by_request.remove(&oldest);
        }
    }
}

impl CrashRecord {
    /// Adds the crash of an endpoint. Returns whether it was unknown. If there are too many, those
    /// that no answer has cleared and the most recent ones are kept.
    fn add(&mut self, endpoint: &Incarnation, crash: Crash) -> bool {
        if self.crashes.contains_key(endpoint) {
            return false;
        }
        let max_kept = if self.is_part { MAX_KEPT_PART_CRASHES } else { MAX_KEPT_CRASHES };
        if self.crashes.len() >= max_kept {
            let by_age = |(_, crash): &(&Incarnation, &Crash)| crash.at_ms;
            let cleared =
                self.crashes.iter().filter(|(_, crash)| !self.counts(crash)).min_by_key(by_age);
            let Some((oldest, known)) = cleared.or_else(|| self.crashes.iter().min_by_key(by_age))
            else {
                return false;
            };
            let is_replaced = match self.counts(known) {
                true => crash.at_ms > known.at_ms + SAME_CRASH_MS,
                false => self.counts(&crash),
            };
            if !is_replaced {
                return false;
            }
            let oldest = oldest.clone();
            self.crashes.remove(&oldest);
        }
        self.crashes.insert(endpoint.clone(), crash);
        self.suspicions.remove(endpoint);
        true
    }

    /// Adds a suspicion, unless an answer has cleared it or the crash is known. Returns whether others
    /// must be told: it was unknown, or they do not know the answer.
    fn add_suspicion(&mut self, endpoint: IncarnationDigest, sent_ms: u64) -> bool {
        if self.answered_ms.is_some_and(|answered_ms| sent_ms <= answered_ms) {
            return true;
        }
        let is_known =
            || self.crashes.keys().any(|crashed| IncarnationDigest::of(crashed) == endpoint);
        !is_known() && self.suspicions.add(endpoint, sent_ms)
    }

    /// Applies what another daemon reported. Returns whether that changed the record.
    fn apply(&mut self, report: &CrashReport, now_ms: u64) -> bool {
        let mut is_changed = false;
        for reported in &report.crashes {
            let crash = Crash {
                sent_ms: now_ms.saturating_sub(reported.sent_ago_ms),
                at_ms: now_ms.saturating_sub(reported.ago_ms),
            };
            is_changed |= self.add(&reported.endpoint, crash);
        }
        for reported in &report.suspicions {
            is_changed |= match reported.evidence {
                SuspicionEvidence::Silent { sent_ago_ms } => {
                    self.add_suspicion(reported.endpoint, now_ms.saturating_sub(sent_ago_ms))
                }
                SuspicionEvidence::Survived { until_ago_ms } => {
                    self.suspicions.survived(reported.endpoint, now_ms.saturating_sub(until_ago_ms))
                }
            };
        }
        let answered_ms = self.reported_answer_ms(report, now_ms);
        answered_ms.is_some_and(|answered_ms| self.apply_answer(answered_ms)) | is_changed
    }

    /// Returns the time of a reported answer on this daemon's clock. Crashes may have been received
    /// with another delay than the answer, so those that the report counts stay after it, and those
    /// that it does not count before it.
    fn reported_answer_ms(&self, report: &CrashReport, now_ms: u64) -> Option<u64> {
        let answered_ms = now_ms.saturating_sub(report.answered_ago_ms?);
        let sent_ms = |is_counted: bool| {
            let crashes =
                report.crashes.iter().filter(move |crash| report.counts(crash) == is_counted);
            crashes.filter_map(|crash| Some(self.crashes.get(&crash.endpoint)?.sent_ms))
        };
        let last_before_ms = sent_ms(false).max().unwrap_or_default();
        let first_after_ms = sent_ms(true).min().unwrap_or(u64::MAX);
        Some(answered_ms.max(last_before_ms).min(first_after_ms.saturating_sub(1)))
    }

    /// Applies an answer that another daemon received. Returns whether it clears anything. An answer
    /// that clears nothing is not kept: its time is received with a small error, and daemons would
    /// report it to each other as a later one again and again.
    fn apply_answer(&mut self, answered_ms: u64) -> bool {
        let mut crashes = self.crashes.values();
        let clears_crash = crashes.any(|crash| self.counts(crash) && crash.sent_ms <= answered_ms);
        let clears = self.suspicions.clear_until(answered_ms) | clears_crash;
        if clears {
            self.answered_ms = Some(answered_ms);
        }
        clears
    }

    /// Returns whether no answer has cleared a crash.
    fn counts(&self, crash: &Crash) -> bool {
        self.answered_ms.is_none_or(|answered_ms| answered_ms < crash.sent_ms)
    }

    /// Returns the times of the crashes that count, in their order: those that no answer has cleared,
    /// and of a part only those under attempts that were sent after the one before.
    fn counted_ms(&self) -> Vec<u64> {
        let uncleared = self.crashes.values().filter(|crash| self.counts(crash));
        let sent_and_at_ms = uncleared.map(|crash| (crash.sent_ms, crash.at_ms)).collect();
        report::counted_ms(sent_and_at_ms, self.is_part)
    }

    /// Returns the number of crashes that count.
    fn counted(&self) -> usize {
        self.counted_ms().len()
    }

    fn max_crashes(&self) -> usize {
        if self.is_part { MAX_PART_CRASHES } else { MAX_CRASHES }
    }

    fn last_ms(&self) -> u64 {
        self.crashes.values().map(|crash| crash.at_ms).max().unwrap_or_default()
    }

    /// Returns when the record was last extended.
    fn changed_ms(&self) -> u64 {
        let suspected_ms = self.suspicions.last_ms().unwrap_or_default();
        self.last_ms().max(suspected_ms).max(self.answered_ms.unwrap_or_default())
    }

    fn rejected_until_ms(&self) -> Option<u64> {
        let counted_ms = self.counted_ms();
        let last_ms = counted_ms.last().filter(|_| counted_ms.len() >= self.max_crashes())?;
        Some(last_ms + self.rejected_ms(&counted_ms))
    }

    /// Returns for how long the request is rejected, from its last crash on.
    fn rejected_ms(&self, counted_ms: &[u64]) -> u64 {
        let max_crashes = self.max_crashes();
        let Some((mut last_ms, further)) =
            counted_ms.get(max_crashes - 1).copied().zip(counted_ms.get(max_crashes..))
        else {
            return 0;
        };
        let mut rejected_ms = FIRST_REJECTED_MS;
        for at_ms in further {
            if *at_ms > last_ms + OCCASION_MS {
                rejected_ms = (rejected_ms * REJECTED_GROWTH).min(MAX_REJECTED_MS);
                last_ms = *at_ms;
            }
        }
        rejected_ms
    }

    /// Returns the sort key for dropping requests: those with few and old crashes are dropped
    /// first.
    fn weight(&self) -> (usize, u64) {
        (self.counted() + self.suspicions.count_since(0), self.changed_ms())
    }

    fn report(&self, request: Fingerprint, now_ms: u64) -> CrashReport {
        let crashes = self.crashes.iter().map(|(endpoint, crash)| ReportedCrash {
            endpoint: endpoint.clone(),
            ago_ms: now_ms.saturating_sub(crash.at_ms),
            sent_ago_ms: now_ms.saturating_sub(crash.sent_ms),
        });
        let answered_ago_ms =
            self.answered_ms.map(|answered_ms| now_ms.saturating_sub(answered_ms));
        let suspicions = self.suspicions.reports(now_ms);
        CrashReport { request, crashes: crashes.collect(), suspicions, answered_ago_ms }
    }
}
