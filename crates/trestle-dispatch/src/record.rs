//! Outcomes of this daemon's requests, by endpoint.

use crate::loadable::Loadable;
use std::collections::BTreeMap;
use trestle_core::{
    health::Health,
    names::{AdapterName, EndpointName, ModelName},
};

/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.1;
/// Half-life of the share of failures, so that an endpoint without requests is tried again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Time for which an endpoint is not tried again for a model that it reported as missing: the
/// update of its entry takes as long. Without it, each request for a model that a leader had
/// unloaded just before it lost its lease was sent to that endpoint first: 350 attempts in 3 s,
/// which exhausted the retry budget.
const MISSING_MS: u64 = 600;

/// Time for which a sign of life counts: that of several calls to a leader, in which a request that
/// may crash endpoints gets its permission.
const SIGN_VALID_MS: u64 = 2_000;
/// Time for which an endpoint counts as silent after a check without an answer. The next check
/// follows within 2.4 s.
const SILENCE_VALID_MS: u64 = 3_000;

/// Outcomes of this daemon's requests, by endpoint.
#[derive(Debug, Default)]
pub struct Records {
    by_endpoint: BTreeMap<EndpointName, Record>,
    /// Time until which an endpoint counts as lacking a model or adapter that it reported as
    /// missing.
    missing_until_ms: BTreeMap<(EndpointName, Loadable), u64>,
}

/// Outcomes of this daemon's requests to one endpoint.
#[derive(Debug, Default, Clone, Copy)]
pub struct Record {
    /// Consecutive failures, and the pause that results from them.
    pub health: Health,
    /// Number of this daemon's requests that run at the endpoint.
    pub in_flight: u32,
    failure_share: f64,
    recorded_ms: u64,
    /// When the endpoint last sent any answer; `None` if it has not.
    last_sign_ms: Option<u64>,
    /// When a check last got no answer from the endpoint, if it has sent none since.
    silent_ms: Option<u64>,
    /// Until when a check is running.
    checked_until_ms: u64,
}

/// Whether an endpoint shows that it lives and that its answers reach this daemon.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SignOfLife {
    /// It has sent an answer lately.
    Recent,
    /// It did not answer a check lately.
    Missing,
    /// Nothing is known.
    Unknown,
}

impl Record {
    /// Returns the share of recent requests that failed.
    pub fn failure_share(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        self.failure_share * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// Returns whether the endpoint has given a sign of life.
    pub fn sign_of_life(&self, now_ms: u64) -> SignOfLife {
        let is_valid =
            |at_ms: Option<u64>, valid_ms| at_ms.is_some_and(|at_ms| now_ms < at_ms + valid_ms);
        if is_valid(self.silent_ms, SILENCE_VALID_MS) {
            SignOfLife::Missing
        } else if is_valid(self.last_sign_ms, SIGN_VALID_MS) {
            SignOfLife::Recent
        } else {
            SignOfLife::Unknown
        }
    }

    fn record_outcome(&mut self, failed: f64, now_ms: u64) {
        let before = self.failure_share(now_ms);
        self.failure_share = before + (failed - before) * NEWEST_WEIGHT;
        self.recorded_ms = now_ms;
    }
}

impl Records {
    /// Returns the record of an endpoint.
    pub fn of(&self, endpoint: &EndpointName) -> Record {
        self.by_endpoint.get(endpoint).copied().unwrap_or_default()
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, endpoint: &EndpointName) {
        self.entry(endpoint).in_flight += 1;
    }

    /// Records that a request ended, with any outcome.
    pub fn ended(&mut self, endpoint: &EndpointName) {
        let record = self.entry(endpoint);
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    /// Records a complete answer.
    pub fn succeeded(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_success();
        record.record_outcome(0.0, now_ms);
    }

    /// Records a failure that is the endpoint's fault.
    pub fn failed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_failure(now_ms);
        record.record_outcome(1.0, now_ms);
    }

    /// Records that the endpoint's address refused a connection or did not answer.
    pub fn unreachable(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_unreachable(now_ms);
        record.record_outcome(1.0, now_ms);
    }

    /// Records that an endpoint sent an answer of any kind.
    pub fn gave_sign(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.last_sign_ms = Some(now_ms);
        record.silent_ms = None;
        record.checked_until_ms = now_ms;
    }

    /// Records that a check got no answer from an endpoint. Returns whether it had answered the last
    /// one.
    pub fn gave_no_sign(&mut self, endpoint: &EndpointName, now_ms: u64) -> bool {
        let record = self.entry(endpoint);
        record.checked_until_ms = now_ms;
        record.silent_ms.replace(now_ms).is_none()
    }

    /// Returns the endpoints that did not answer a check lately.
    pub fn silent(&self, now_ms: u64) -> impl Iterator<Item = &EndpointName> {
        let is_silent = move |record: &Record| record.sign_of_life(now_ms) == SignOfLife::Missing;
        self.by_endpoint.iter().filter(move |(_, record)| is_silent(record)).map(|(name, _)| name)
    }

    /// Records that a check of an endpoint begins that ends until `until_ms`. Returns `false` if one
    /// is running already.
    pub fn begin_check(&mut self, endpoint: &EndpointName, now_ms: u64, until_ms: u64) -> bool {
        let record = self.entry(endpoint);
        let is_running = now_ms < record.checked_until_ms;
        if !is_running {
            record.checked_until_ms = until_ms;
        }
        !is_running
    }

    /// Records that an endpoint reported a model or adapter as missing.
    pub fn reported_missing(&mut self, endpoint: &EndpointName, loadable: Loadable, now_ms: u64) {
        self.missing_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.missing_until_ms.insert((endpoint.clone(), loadable), now_ms + MISSING_MS);
    }

    /// Returns whether an endpoint recently reported a model or adapter as missing.
    pub fn is_missing(
        &self,
        endpoint: &EndpointName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        now_ms: u64,
    ) -> bool {
        if self.missing_until_ms.is_empty() {
            return false;
        }
        let key = (endpoint.clone(), Loadable::new(model, adapter));
        self.missing_until_ms.get(&key).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Clears the outcomes of an endpoint that restarted. Requests to its earlier incarnation
    /// still count as running until they end.
    pub fn restarted(&mut self, endpoint: &EndpointName) {
        if let Some(record) = self.by_endpoint.get_mut(endpoint) {
            *record = Record { in_flight: record.in_flight, ..Record::default() };
        }
        self.missing_until_ms.retain(|(name, _), _| name != endpoint);
    }

    /// Drops endpoints that are not live and have no running requests.
    pub fn retain(&mut self, is_live: impl Fn(&EndpointName) -> bool) {
        self.by_endpoint.retain(|name, record| record.in_flight > 0 || is_live(name));
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut Record {
        self.by_endpoint.entry(endpoint.clone()).or_default()
    }
}
