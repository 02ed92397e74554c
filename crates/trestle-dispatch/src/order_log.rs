//! When engines last got orders, and from whom.
//!
//! Orders of two machines must not come close after each other at one engine. A
//! leader that steps down tells the others which engines it has ordered lately; its
//! successor leaves just those alone for a while.

use std::collections::BTreeMap;
use trestle_core::names::EndpointName;

/// Added to a quiet time, for differences in the pace of clocks.
const MARGIN_MS: u64 = 300;

/// When engines last got orders, and from whom.
#[derive(Debug, Default)]
pub struct OrderLog {
    /// When the last order of this machine has arrived at the latest.
    own_ms: BTreeMap<EndpointName, u64>,
    /// Until when engines are left alone because of other machines' orders.
    others_until_ms: BTreeMap<EndpointName, u64>,
}

impl OrderLog {
    /// Notes an order that leaves now, and arrives by a time or never.
    pub fn record_send(&mut self, endpoint: &EndpointName, arrives_by_ms: u64) {
        self.own_ms.insert(endpoint.clone(), arrives_by_ms);
    }

    /// Notes that an order was answered or given up on, so that it arrives no more.
    pub fn record_end(&mut self, endpoint: &EndpointName, now_ms: u64) {
        self.own_ms.insert(endpoint.clone(), now_ms);
    }

    /// Takes for how long each engine must be left alone, as a leader that stepped down says.
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

    /// Whether this machine may order an engine now, as far as others' orders go.
    pub fn may_order(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        self.others_until_ms.get(endpoint).is_none_or(|until_ms| now_ms >= *until_ms)
    }

    /// For how long another machine must leave engines alone, those for which it is no time
    /// left out.
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
