//! When engines were last ordered, and by which VM.
//!
//! Orders of two VMs must not reach one engine shortly after each other. A leader that steps down
//! reports which engines it has ordered lately; its successor leaves only those alone for a time.

use std::collections::BTreeMap;
use trestle_core::names::EndpointName;

/// Added to a quiet time, for clock drift.
const MARGIN_MS: u64 = 300;

/// When engines were last ordered, and by which VM.
#[derive(Debug, Default)]
pub struct OrderLog {
    /// Latest time at which the last order of this VM arrives at each engine.
    own_ms: BTreeMap<EndpointName, u64>,
    /// Until when engines are left alone because of other VMs' orders.
    others_until_ms: BTreeMap<EndpointName, u64>,
}

impl OrderLog {
    /// Records an order that is sent now and arrives before `arrives_by_ms` or never.
    pub fn record_send(&mut self, endpoint: &EndpointName, arrives_by_ms: u64) {
        self.own_ms.insert(endpoint.clone(), arrives_by_ms);
    }

    /// Records that an order was answered or given up, so that it no longer arrives.
    pub fn record_end(&mut self, endpoint: &EndpointName, now_ms: u64) {
        self.own_ms.insert(endpoint.clone(), now_ms);
    }

    /// Returns whether any order of this VM may still arrive.
    pub fn has_in_flight(&self, now_ms: u64) -> bool {
        self.own_ms.values().any(|arrives_by_ms| now_ms < *arrives_by_ms)
    }

    /// Records for how long each engine must be left alone, as reported by a leader that stepped
    /// down.
    pub fn quiet_times_received(
        &mut self,
        quiet_for_ms: &BTreeMap<EndpointName, u64>,
        now_ms: u64,
    ) {
        for (endpoint, quiet_ms) in quiet_for_ms {
            let until_ms = self.others_until_ms.entry(endpoint.clone()).or_default();
            *until_ms = (*until_ms).max(now_ms + quiet_ms);
        }
    }

    /// Returns whether the quiet time after other VMs' orders allows an order to an engine now.
    pub fn may_order(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        self.others_until_ms.get(endpoint).is_none_or(|until_ms| now_ms >= *until_ms)
    }

    /// Returns for how long other VMs must leave engines alone; engines without such a time are
    /// absent.
    pub fn quiet_for_ms(&mut self, quiet_ms: u64, now_ms: u64) -> BTreeMap<EndpointName, u64> {
        self.own_ms.retain(|_, at_ms| now_ms < *at_ms + quiet_ms + MARGIN_MS);
        self.others_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let mut until: BTreeMap<EndpointName, u64> = self.others_until_ms.clone();
        for (endpoint, at_ms) in &self.own_ms {
            let until_ms = until.entry(endpoint.clone()).or_default();
            *until_ms = (*until_ms).max(at_ms + quiet_ms + MARGIN_MS);
        }
        until.into_iter().map(|(endpoint, until_ms)| (endpoint, until_ms - now_ms)).collect()
    }
}
