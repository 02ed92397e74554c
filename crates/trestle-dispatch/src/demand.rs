//! The demand of all callers, as daemons report it to the leader.

use crate::{
    average::MovingAverage,
    loadable::Loadable,
    rates::{PastArrivals, Rates},
    usage::Usage,
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName, VmName};

/// Value of a request relative to one of the next higher priority. Operators of the deployments
/// value a request of their most urgent class 7 to 9 times as much as one of the next class, and
/// requests of the classes below it about alike.
const URGENCY_STEP: f64 = 0.3;
/// Time after its last report for which a daemon's report counts as current.
const CURRENT_MS: u64 = 2_000;
/// Time in which the peak number of running requests decays to 1/e: the length of some streams, so
/// that a replica is not evicted between two of them.
const PEAK_DECAY_MS: f64 = 3_000.0;
/// Time for which the last use of an adapter is remembered; adapters without one are evicted first.
const ADAPTER_MEMORY_MS: u64 = 60_000;
/// Weight of the newest sample in the average running time of a request; each plan takes one
/// sample, and there are some ten plans a second.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.02;
/// Time after its last report for which a daemon counts among those that share budgets.
const COUNTED_MS: u64 = 30_000;

/// One daemon's demand for one service, as reported to a leader.
#[trestle_macros::plain]
#[derive(Default)]
pub struct DemandReport {
    /// Number of the report; each daemon counts its own.
    pub number: u64,
    /// Requests that arrived since the last report, by model.
    pub arrivals: BTreeMap<ModelName, u32>,
    /// All arrivals so far, for a leader that has not received them yet.
    pub past: Option<Vec<PastArrivals>>,
    /// Requests that wait for a model.
    pub waiting: Vec<Waiting>,
    /// Running requests, by engine and model.
    pub running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// Adapters in use, by engine.
    pub adapters_in_use: BTreeMap<EndpointName, Vec<(ModelName, AdapterName)>>,
    /// Running requests by model, at engines that are not named; only in reports between leaders.
    pub running_elsewhere: BTreeMap<ModelName, u32>,
}

/// Requests of one daemon that wait for the same model or adapter, or whose callers will retry.
#[trestle_macros::key]
pub struct Waiting {
    /// Priority of the most urgent request; 0 is the most urgent.
    pub priority: u8,
    /// Time until the first of the requests is no longer on time.
    pub due_in_ms: u64,
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` if the requests wait for the model alone.
    pub adapter: Option<AdapterName>,
    /// Number of requests.
    pub count: u32,
}

/// The demand of all daemons for one model or adapter that is not ready.
#[derive(Debug, Clone, Copy)]
pub struct AggregateDemand<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The adapter; `None` if the requests wait for the model alone.
    pub adapter: Option<&'a AdapterName>,
    /// Priority of the most urgent request; 0 is the most urgent.
    pub priority: u8,
    /// Time until the first of the requests is no longer on time.
    pub due_in_ms: u64,
    /// Number of requests that wait.
    pub count: u32,
    /// Sum of the requests, each weighted by its priority.
    pub value: f64,
}

impl<'a> AggregateDemand<'a> {
    fn empty(waiting: &'a Waiting) -> Self {
        Self {
            model: &waiting.model,
            adapter: waiting.adapter.as_ref(),
            priority: waiting.priority,
            due_in_ms: waiting.due_in_ms,
            count: 0,
            value: 0.0,
        }
    }

    fn add(&mut self, waiting: &Waiting) {
        self.priority = self.priority.min(waiting.priority);
        self.due_in_ms = self.due_in_ms.min(waiting.due_in_ms);
        self.count += waiting.count;
        let urgency = URGENCY_STEP.powi(i32::from(waiting.priority));
        self.value += f64::from(waiting.count) * urgency;
    }
}

/// The demand of all daemons for one service.
#[derive(Debug)]
pub struct Demand {
    daemons: BTreeMap<VmName, DaemonRecord>,
    rates: Rates,
    /// Arrival rates by the daemons' own reports, without those of other leaders.
    own_rates: Rates,
    /// Recent peaks of the number of running requests, by model.
    peaks: BTreeMap<ModelName, Peak>,
    /// Since when requests have waited for models that no engine holds.
    missing_since_ms: BTreeMap<ModelName, u64>,
    /// Average running time of a request.
    run_s: MovingAverage,
    /// When adapters were last in use.
    adapters_used_ms: BTreeMap<(ModelName, AdapterName), u64>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            daemons: BTreeMap::new(),
            rates: Rates::default(),
            own_rates: Rates::default(),
            peaks: BTreeMap::new(),
            missing_since_ms: BTreeMap::new(),
            run_s: MovingAverage::new(NEWEST_SAMPLE_WEIGHT),
            adapters_used_ms: BTreeMap::new(),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Peak {
    running: f64,
    at_ms: u64,
}

impl Peak {
    fn decayed(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.running * (-age_ms / PEAK_DECAY_MS).exp()
    }
}

#[derive(Debug)]
struct DaemonRecord {
    at_ms: u64,
    /// Whether the daemon leads other engines and reports for its own daemons.
    is_leader: bool,
    /// Whether the daemon has reported its past arrivals.
    has_history: bool,
    /// Number of the daemon's last report that a plan has included.
    last_planned: u64,
    report: DemandReport,
}

impl Demand {
    /// Records a report of a daemon.
    pub fn report_received(&mut self, daemon: VmName, report: DemandReport, now_ms: u64) {
        let has_history = self.has_history(&daemon);
        record_arrivals(&mut self.own_rates, &report, has_history, now_ms);
        self.store_report(daemon, report, false, now_ms);
    }

    /// Records another leader's report for its daemons.
    pub fn leader_report_received(&mut self, daemon: VmName, report: DemandReport, now_ms: u64) {
        self.store_report(daemon, report, true, now_ms);
    }

    fn has_history(&self, daemon: &VmName) -> bool {
        self.daemons.get(daemon).is_some_and(|record| record.has_history)
    }

    fn store_report(&mut self, daemon: VmName, report: DemandReport, is_leader: bool, now_ms: u64) {
        let had_history = self.has_history(&daemon);
        record_arrivals(&mut self.rates, &report, had_history, now_ms);
        let has_history = had_history || report.past.is_some();
        for adapter in report.adapters_in_use.values().flatten() {
            self.adapters_used_ms.insert(adapter.clone(), now_ms);
        }
        let last_planned = self.last_planned(&daemon);
        let record = DaemonRecord { at_ms: now_ms, is_leader, has_history, last_planned, report };
        self.daemons.insert(daemon, record);
    }

    /// Returns the number of a daemon's last report that a plan has included; 0 if there is none.
    pub fn last_planned(&self, daemon: &VmName) -> u64 {
        self.daemons.get(daemon).map_or(0, |record| record.last_planned)
    }

    /// Records that a plan includes all reports so far, given the models that engines hold.
    ///
    /// A daemon's report counts as planned once every leader responsible for its pending demand has
    /// planned, which `is_planned` returns for each model or adapter.
    pub fn record_plan(
        &mut self,
        held: &BTreeSet<ModelName>,
        is_planned: impl Fn(&Loadable) -> bool,
        now_ms: u64,
    ) {
        for record in self.daemons.values_mut() {
            let mut waiting = record.report.waiting.iter();
            if record.is_leader || waiting.all(|waiting| is_planned(&waiting.loadable())) {
                record.last_planned = record.report.number;
            }
        }
        self.record_peaks(now_ms);
        let in_demand: BTreeSet<ModelName> =
            self.aggregate(now_ms).into_iter().map(|demand| demand.model.clone()).collect();
        self.missing_since_ms.retain(|model, _| in_demand.contains(model) && !held.contains(model));
        for model in in_demand.into_iter().filter(|model| !held.contains(model)) {
            self.missing_since_ms.entry(model).or_insert(now_ms);
        }
    }

    fn record_peaks(&mut self, now_ms: u64) {
        let usage = self.usage(now_ms);
        let arrivals_per_s: f64 = self.rates.iter(now_ms).map(|(_, per_s)| per_s).sum();
        let all: u32 = usage.models().map(|model| usage.of_model(model)).sum();
        let run_s = f64::from(all) / arrivals_per_s.max(1.0);
        let running: Vec<(ModelName, f64)> =
            usage.models().map(|model| (model.clone(), f64::from(usage.of_model(model)))).collect();
        for (model, running) in running {
            let earlier = self.peaks.get(&model).map_or(0.0, |peak| peak.decayed(now_ms));
            self.peaks.insert(model, Peak { running: running.max(earlier), at_ms: now_ms });
        }
        self.run_s.add(run_s);
        self.peaks.retain(|_, peak| peak.decayed(now_ms) >= 0.5);
    }

    /// Returns the recent peak of the number of running requests for a model.
    pub fn peak(&self, model: &ModelName, now_ms: u64) -> u32 {
        self.peaks.get(model).map_or(0, |peak| peak.decayed(now_ms).round() as u32)
    }

    /// Returns the running time of a request, in seconds, averaged over all models. It follows from
    /// the number of running requests, which is the number that arrives in that time.
    pub fn run_s(&self) -> f64 {
        self.run_s.get().unwrap_or_default()
    }

    /// Returns the time for which requests have waited for a model that no engine holds; 0 if none
    /// do.
    pub fn missing_ms(&self, model: &ModelName, now_ms: u64) -> u64 {
        let since_ms = self.missing_since_ms.get(model);
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(*since_ms))
    }

    /// Drops daemons that have been silent for long and other lapsed records.
    pub fn drop_lapsed(&mut self, now_ms: u64) {
        self.daemons.retain(|_, record| now_ms < record.at_ms + COUNTED_MS);
        self.rates.forget(now_ms);
        self.own_rates.forget(now_ms);
        self.adapters_used_ms.retain(|_, at_ms| now_ms < *at_ms + ADAPTER_MEMORY_MS);
    }

    /// Returns the number of daemons that have reported lately.
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the arrival rates of the models.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Returns all pending demand, summed over the daemons, the most urgent first.
    pub fn aggregate(&self, now_ms: u64) -> Vec<AggregateDemand<'_>> {
        self.aggregate_where(now_ms, |_| true)
    }

    /// Returns the pending demand of the daemons for models and adapters for which `is_here`
    /// returns `true`, and all that other leaders report, since they report only what this leader
    /// is responsible for.
    pub fn aggregate_where(
        &self,
        now_ms: u64,
        is_here: impl Fn(&Loadable) -> bool,
    ) -> Vec<AggregateDemand<'_>> {
        let mut demands: BTreeMap<_, AggregateDemand<'_>> = BTreeMap::new();
        let records = self.current_records(now_ms);
        let waiting =
            records.flat_map(|record| record.report.waiting.iter().map(|w| (record.is_leader, w)));
        let waiting = waiting.filter(|(from_leader, w)| *from_leader || is_here(&w.loadable()));
        for (_, waiting) in waiting {
            let demand = demands
                .entry((&waiting.model, waiting.adapter.as_ref()))
                .or_insert_with(|| AggregateDemand::empty(waiting));
            demand.add(waiting);
        }
        let mut demands: Vec<AggregateDemand<'_>> = demands.into_values().collect();
        demands.sort_by_key(|demand| (demand.priority, demand.due_in_ms));
        demands
    }

    /// Returns the running requests.
    pub fn usage(&self, now_ms: u64) -> Usage<'_> {
        let mut usage = Usage::default();
        for report in self.current(now_ms) {
            for (endpoint, running) in &report.running {
                for (model, count) in running {
                    usage.add(endpoint, model, *count);
                }
            }
            for (model, count) in &report.running_elsewhere {
                usage.add_elsewhere(model, *count);
            }
        }
        usage
    }

    /// Returns when an adapter was last in use; 0 if that is not known.
    pub fn adapter_used_ms(&self, adapter: &(ModelName, AdapterName)) -> u64 {
        self.adapters_used_ms.get(adapter).copied().unwrap_or_default()
    }

    /// Returns whether a request with this adapter runs at an engine.
    pub fn uses_adapter(
        &self,
        endpoint: &EndpointName,
        adapter: &(ModelName, AdapterName),
        now_ms: u64,
    ) -> bool {
        let mut in_use =
            self.current(now_ms).filter_map(|report| report.adapters_in_use.get(endpoint));
        in_use.any(|adapters| adapters.contains(adapter))
    }

    /// Returns what the daemons' own requests wait for.
    pub fn pending_loadables(&self, now_ms: u64) -> BTreeSet<Loadable> {
        let waiting = self.current_own(now_ms).flat_map(|report| &report.waiting);
        waiting.map(Waiting::loadable).collect()
    }

    /// Returns the report to another leader: the daemons' own demand as far as it concerns that
    /// leader's engines or is assigned to it.
    pub fn report_for(
        &self,
        is_its_engine: impl Fn(&EndpointName) -> bool,
        is_assigned: impl Fn(&Loadable) -> bool,
        now_ms: u64,
    ) -> DemandReport {
        let mut report = DemandReport::default();
        let mut waiting: BTreeMap<(ModelName, Option<AdapterName>), Waiting> = BTreeMap::new();
        for daemon_report in self.current_own(now_ms) {
            for requests in
                daemon_report.waiting.iter().filter(|requests| is_assigned(&requests.loadable()))
            {
                let key = (requests.model.clone(), requests.adapter.clone());
                let empty = Waiting { count: 0, ..requests.clone() };
                waiting.entry(key).or_insert(empty).add(requests);
            }
            for (endpoint, models) in &daemon_report.running {
                let is_named = is_its_engine(endpoint);
                let entry = match is_named {
                    true => report.running.entry(endpoint.clone()).or_default(),
                    false => &mut report.running_elsewhere,
                };
                for (model, count) in models {
                    *entry.entry(model.clone()).or_default() += count;
                }
            }
            let adapters = daemon_report.adapters_in_use.iter();
            for (endpoint, adapters) in adapters.filter(|(endpoint, _)| is_its_engine(endpoint)) {
                let entry = report.adapters_in_use.entry(endpoint.clone()).or_default();
                entry.extend(adapters.iter().cloned());
            }
        }
        for adapters in report.adapters_in_use.values_mut() {
            adapters.sort();
            adapters.dedup();
        }
        report.waiting = waiting.into_values().collect();
        report
    }

    /// Returns the daemons' own arrivals so far, for a leader that has not received them yet.
    pub fn own_history(&self, now_ms: u64) -> Vec<PastArrivals> {
        self.own_rates.history(now_ms)
    }

    fn current(&self, now_ms: u64) -> impl Iterator<Item = &DemandReport> {
        self.current_records(now_ms).map(|record| &record.report)
    }

    fn current_own(&self, now_ms: u64) -> impl Iterator<Item = &DemandReport> {
        self.current_records(now_ms).filter(|record| !record.is_leader).map(|record| &record.report)
    }

    fn current_records(&self, now_ms: u64) -> impl Iterator<Item = &DaemonRecord> {
        self.daemons.values().filter(move |record| now_ms < record.at_ms + CURRENT_MS)
    }
}

impl Waiting {
    /// Returns what the requests wait for.
    pub fn loadable(&self) -> Loadable {
        Loadable { model: self.model.clone(), adapter: self.adapter.clone() }
    }

    fn add(&mut self, other: &Self) {
        self.priority = self.priority.min(other.priority);
        self.due_in_ms = self.due_in_ms.min(other.due_in_ms);
        self.count += other.count;
    }
}

/// Records the arrivals of a report, or all past ones if the sender had not reported them before.
fn record_arrivals(rates: &mut Rates, report: &DemandReport, has_history: bool, now_ms: u64) {
    match &report.past {
        Some(past) if !has_history => rates.add_history(past, now_ms),
        _ => {
            for (model, count) in &report.arrivals {
                rates.record_arrivals(model, *count, now_ms);
            }
        }
    }
}
