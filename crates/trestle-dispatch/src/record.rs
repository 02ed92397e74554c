//! How endpoints behaved towards this daemon.

use std::collections::BTreeMap;
use trestle_core::{health::Health, names::EndpointName};

/// How endpoints behaved towards this daemon.
#[derive(Debug, Default)]
pub struct Records {
    by_endpoint: BTreeMap<EndpointName, Record>,
}

/// How one endpoint behaved, and what it has from this daemon.
#[derive(Debug, Default, Clone, Copy)]
pub struct Record {
    /// Failures in a row, and the pause that they earned.
    pub health: Health,
    /// Requests of this daemon that it has now.
    pub in_flight: u32,
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
    pub fn succeeded(&mut self, endpoint: &EndpointName) {
        self.entry(endpoint).health.succeeded();
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn failed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        self.entry(endpoint).health.failed(now_ms);
    }

    /// Forgets endpoints that are gone and have nothing left.
    pub fn retain(&mut self, is_live: impl Fn(&EndpointName) -> bool) {
        self.by_endpoint.retain(|name, record| record.in_flight > 0 || is_live(name));
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut Record {
        self.by_endpoint.entry(endpoint.clone()).or_default()
    }
}
