//! What callers of one daemon ask of a service's engines, as it tells the leader.

use crate::{
    demand::{DemandReport, Waiting},
    rates::Rates,
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// What callers of one daemon ask of one service's engines.
#[derive(Debug, Default)]
pub struct LocalDemand {
    /// Number of the last digest.
    pub last_report: u64,
    /// Number of the last digest that the leader's plan has looked at.
    pub last_planned: u64,
    /// Requests that arrived since this was last told.
    pub arrivals: BTreeMap<ModelName, u32>,
    /// All that arrived, for leaders that have not heard of it.
    pub rates: Rates,
    /// Requests that wait, by a number of their own.
    pub waiting: BTreeMap<u64, PendingDemand>,
    /// Requests that were refused and may be back, by a number of their own.
    pub returning: BTreeMap<u64, PendingDemand>,
    /// Requests that run.
    pub running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// How many of them the leader has been told, by engine.
    pub reported_running: BTreeMap<EndpointName, u32>,
    /// Requests that run with an adapter.
    pub adapters: BTreeMap<EndpointName, BTreeMap<(ModelName, AdapterName), u32>>,
}

/// What one request waits for.
#[trestle_macros::plain]
pub struct PendingDemand {
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// When it is no longer on time, or no longer expected.
    pub due_ms: u64,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Number of the first digest that told of it.
    pub first_report: Option<u64>,
    /// When the leader was first heard to call it ready.
    pub ready_ms: Option<u64>,
}

impl LocalDemand {
    /// What is to be told now; arrivals are told once. A leader that has heard nothing yet
    /// is also told what is remembered.
    pub fn report(&mut self, is_first: bool, now_ms: u64) -> DemandReport {
        self.last_report += 1;
        for wish in self.waiting.values_mut() {
            wish.first_report.get_or_insert(self.last_report);
        }
        self.returning.retain(|_, wish| now_ms < wish.due_ms);
        self.rates.forget(now_ms);
        let mut counts: BTreeMap<_, (u32, u8, u64)> = BTreeMap::new();
        for wish in self.waiting.values().chain(self.returning.values()) {
            let due_in_ms = wish.due_ms.saturating_sub(now_ms);
            let key = (wish.model.clone(), wish.adapter.clone());
            let entry = counts.entry(key).or_insert((0, wish.priority, due_in_ms));
            entry.0 += 1;
            entry.1 = entry.1.min(wish.priority);
            entry.2 = entry.2.min(due_in_ms);
        }
        let waiting = counts.into_iter().map(|((model, adapter), (count, priority, due_in_ms))| {
            Waiting { priority, due_in_ms, model, adapter, count }
        });
        let adapters_in_use = self.adapters.iter();
        let running = self.running.iter();
        self.reported_running =
            running.map(|(endpoint, models)| (endpoint.clone(), models.values().sum())).collect();
        DemandReport {
            number: self.last_report,
            arrivals: std::mem::take(&mut self.arrivals),
            past: is_first.then(|| self.rates.history(now_ms)),
            waiting: waiting.collect(),
            running: self.running.clone(),
            adapters_in_use: adapters_in_use
                .map(|(endpoint, adapters)| (endpoint.clone(), adapters.keys().cloned().collect()))
                .collect(),
            running_elsewhere: BTreeMap::new(),
        }
    }

    /// Whether something waits of which the leader has not been heard yet.
    pub fn has_unplanned(&self) -> bool {
        let told =
            |wish: &PendingDemand| wish.first_report.is_some_and(|told| self.last_planned >= told);
        !self.waiting.values().all(told)
    }

    /// Whether the leader has planned with a request that waits.
    pub fn is_planned(&self, number: u64) -> bool {
        let told = self.waiting.get(&number).and_then(|wish| wish.first_report);
        told.is_some_and(|told| self.last_planned >= told)
    }

    /// Notes that a request was sent to an engine.
    pub(crate) fn sent(
        &mut self,
        endpoint: &EndpointName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        let running = self.running.entry(endpoint.clone()).or_default();
        *running.entry(model.clone()).or_default() += 1;
        if let Some(adapter) = adapter {
            let adapters = self.adapters.entry(endpoint.clone()).or_default();
            *adapters.entry((model.clone(), adapter.clone())).or_default() += 1;
        }
    }

    /// Notes that a request at an engine has ended.
    pub(crate) fn ended(
        &mut self,
        endpoint: &EndpointName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        count_down(&mut self.running, endpoint, model);
        if let Some(adapter) = adapter {
            count_down(&mut self.adapters, endpoint, &(model.clone(), adapter.clone()));
        }
    }
}

fn count_down<K: Ord>(
    counts: &mut BTreeMap<EndpointName, BTreeMap<K, u32>>,
    endpoint: &EndpointName,
    key: &K,
) {
    let Some(of_endpoint) = counts.get_mut(endpoint) else { return };
    if let Some(count) = of_endpoint.get_mut(key) {
        *count = count.saturating_sub(1);
    }
    of_endpoint.retain(|_, count| *count > 0);
    if of_endpoint.is_empty() {
        counts.remove(endpoint);
    }
}
