//! The demand of one daemon's callers for a service's engines, as it reports it to the leader.

use crate::{
    demand::{DemandReport, Waiting},
    rates::Rates,
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// The demand of one daemon's callers for the engines of one service.
#[derive(Debug, Default)]
pub struct LocalDemand {
    /// Number of the last demand report.
    pub last_report: u64,
    /// Number of the last report that the leader's plan includes.
    pub last_planned: u64,
    /// Requests that arrived since the last report, by model.
    pub arrivals: BTreeMap<ModelName, u32>,
    /// Rates of all arrivals, for leaders that have received no report yet.
    pub rates: Rates,
    /// Requests that wait, by a number that identifies the request.
    pub waiting: BTreeMap<u64, PendingDemand>,
    /// Rejected requests whose callers may retry, by a number that identifies the request.
    pub returning: BTreeMap<u64, PendingDemand>,
    /// Running requests, by engine and model.
    pub running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// Number of running requests in the last report, by engine.
    pub reported_running: BTreeMap<EndpointName, u32>,
    /// Running requests that use an adapter, by engine.
    pub adapters: BTreeMap<EndpointName, BTreeMap<(ModelName, AdapterName), u32>>,
}

/// What one waiting request needs.
#[trestle_macros::plain]
pub struct PendingDemand {
    /// Urgency of the request; 0 is the most urgent.
    pub priority: u8,
    /// When the request is no longer on time, or its retry no longer expected.
    pub due_ms: u64,
    /// The model that the request needs.
    pub model: ModelName,
    /// The adapter that the request needs, if any.
    pub adapter: Option<AdapterName>,
    /// Number of the first report that included the request.
    pub first_report: Option<u64>,
    /// When the leader first reported the model as ready.
    pub ready_ms: Option<u64>,
}

impl LocalDemand {
    /// Returns the next report; each arrival is reported once. The first report to a leader also
    /// contains the history of arrivals.
    pub fn report(&mut self, is_first: bool, now_ms: u64) -> DemandReport {
        self.last_report += 1;
        for demand in self.waiting.values_mut() {
            demand.first_report.get_or_insert(self.last_report);
        }
        self.returning.retain(|_, demand| now_ms < demand.due_ms);
        self.rates.forget(now_ms);
        let mut counts: BTreeMap<_, (u32, u8, u64)> = BTreeMap::new();
        for demand in self.waiting.values().chain(self.returning.values()) {
            let due_in_ms = demand.due_ms.saturating_sub(now_ms);
            let key = (demand.model.clone(), demand.adapter.clone());
            let entry = counts.entry(key).or_insert((0, demand.priority, due_in_ms));
            entry.0 += 1;
            entry.1 = entry.1.min(demand.priority);
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

    /// Returns whether a waiting request is not yet included in the leader's plan.
    pub fn has_unplanned(&self) -> bool {
        let is_planned = |demand: &PendingDemand| {
            demand.first_report.is_some_and(|report| self.last_planned >= report)
        };
        !self.waiting.values().all(is_planned)
    }

    /// Returns whether the leader's plan includes a waiting request.
    pub fn is_planned(&self, number: u64) -> bool {
        let first_report = self.waiting.get(&number).and_then(|demand| demand.first_report);
        first_report.is_some_and(|report| self.last_planned >= report)
    }

    /// Records that a request was sent to an engine.
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

    /// Records that a request at an engine ended.
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
