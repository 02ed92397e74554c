//! How endpoints behaved towards this daemon.

use crate::loadable::Loadable;
use std::collections::BTreeMap;
use trestle_core::{
    health::Health,
    names::{AdapterName, EndpointName, ModelName},
};

/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time in which a share of failures halves by itself, so that an endpoint which
/// gets nothing is tried again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Time for which an endpoint that denied to have a model is not asked for it again: the news
/// of it takes as long. Without this, each request for a model that had just been unloaded by
/// a leader that lost its lease was sent there first: 350 sends in 3 s, and the budget of
/// retries was spent.
const ABSENT_MS: u64 = 600;

/// How endpoints behaved towards this daemon.
#[derive(Debug, Default)]
pub struct Records {
    by_endpoint: BTreeMap<EndpointName, Record>,
    /// Until when endpoints count as not having a model or adapter that they denied to have.
    absent_until_ms: BTreeMap<(EndpointName, Loadable), u64>,
}

/// How one endpoint behaved, and what it has from this daemon.
#[derive(Debug, Default, Clone, Copy)]
pub struct Record {
    /// Failures in a row, and the pause that they earned.
    pub health: Health,
    /// Requests of this daemon that it has now.
    pub in_flight: u32,
    failed_share: f64,
    noted_ms: u64,
}

impl Record {
    /// The share of its requests that failed lately.
    pub fn failed_share(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        self.failed_share * (-age_ms / HALF_LIFE_MS).exp2()
    }

    fn note(&mut self, failed: f64, now_ms: u64) {
        let before = self.failed_share(now_ms);
        self.failed_share = before + (failed - before) * NEWEST_WEIGHT;
        self.noted_ms = now_ms;
    }
}

impl Records {
    /// The record of an endpoint.
    pub fn of(&self, endpoint: &EndpointName) -> Record {
        self.by_endpoint.get(endpoint).copied().unwrap_or_default()
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, endpoint: &EndpointName) {
        self.entry(endpoint).in_flight += 1;
    }

    /// Notes that a request has ended, however it ended.
    pub fn ended(&mut self, endpoint: &EndpointName) {
        let record = self.entry(endpoint);
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    /// Notes a whole answer.
    pub fn succeeded(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_success();
        record.note(0.0, now_ms);
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn failed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_failure(now_ms);
        record.note(1.0, now_ms);
    }

    /// Notes that nothing listens at the endpoint's address, or nothing answers there.
    pub fn unreachable(&mut self, endpoint: &EndpointName, now_ms: u64) {
        let record = self.entry(endpoint);
        record.health.record_unreachable(now_ms);
        record.note(1.0, now_ms);
    }

    /// Notes that an endpoint denied to have a model, or the adapter of it.
    pub fn denied(&mut self, endpoint: &EndpointName, loadable: Loadable, now_ms: u64) {
        self.absent_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.absent_until_ms.insert((endpoint.clone(), loadable), now_ms + ABSENT_MS);
    }

    /// Whether an endpoint lately denied to have a model, or the adapter of it.
    pub fn is_absent(
        &self,
        endpoint: &EndpointName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        now_ms: u64,
    ) -> bool {
        if self.absent_until_ms.is_empty() {
            return false;
        }
        let key = (endpoint.clone(), Loadable::new(model, adapter));
        self.absent_until_ms.get(&key).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Forgets how an endpoint behaved that has started again. Requests to its earlier start are
    /// still to end.
    pub fn restarted(&mut self, endpoint: &EndpointName) {
        if let Some(record) = self.by_endpoint.get_mut(endpoint) {
            *record = Record { in_flight: record.in_flight, ..Record::default() };
        }
        self.absent_until_ms.retain(|(name, _), _| name != endpoint);
    }

    /// Forgets endpoints that are gone and have nothing left.
    pub fn retain(&mut self, is_live: impl Fn(&EndpointName) -> bool) {
        self.by_endpoint.retain(|name, record| record.in_flight > 0 || is_live(name));
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut Record {
        self.by_endpoint.entry(endpoint.clone()).or_default()
    }
}
