//! What is asked for, as all daemons tell the leader.

use crate::{
    average::MovingAverage,
    loadable::Loadable,
    rates::{PastArrivals, Rates},
    usage::Usage,
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName, VmName};

/// What a request counts against one that is more urgent by a step. Operators of the
/// deployments credit their most urgent class with 7 to 9 times the next, and the classes
/// below it about alike.
const URGENCY_STEP: f64 = 0.3;
/// Time after which a daemon that tells nothing no longer counts.
const SILENT_MS: u64 = 2_000;
/// Time in which the most requests that ran at once lose weight to 1/e: some streams' length,
/// so that a replica is not given away between two of them.
const PEAK_MEMORY_MS: f64 = 3_000.0;
/// Time after which the last use of an adapter is forgotten; those forgotten go first.
const ADAPTER_MEMORY_MS: u64 = 60_000;
/// Weight of the newest look in the average time that a request runs; plans look some ten
/// times a second.
const NEWEST_RUN_WEIGHT: f64 = 0.02;
/// Time for which a daemon counts among those that share budgets.
const COUNTED_MS: u64 = 30_000;

/// What one daemon tells of one service.
#[trestle_macros::plain]
#[derive(Default)]
pub struct DemandReport {
    /// Number of the digest; each daemon counts its own.
    pub number: u64,
    /// Requests that arrived since the last digest.
    pub arrivals: BTreeMap<ModelName, u32>,
    /// All that arrived until now, for a leader that has not heard of it.
    pub past: Option<Vec<PastArrivals>>,
    /// Requests that wait for a model.
    pub waiting: Vec<Waiting>,
    /// Requests that run, by engine and model.
    pub running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// Requests that run, by engine and adapter.
    pub adapters_in_use: BTreeMap<EndpointName, Vec<(ModelName, AdapterName)>>,
    /// Requests that run at engines that are not named, by model, as one leader tells another.
    pub running_elsewhere: BTreeMap<ModelName, u32>,
}

/// Requests of one daemon that wait for the same thing, or will be back for it.
#[trestle_macros::key]
pub struct Waiting {
    /// Urgency of the most urgent; 0 goes first.
    pub priority: u8,
    /// Time until the first of them is no longer on time.
    pub due_in_ms: u64,
    /// The model.
    pub model: ModelName,
    /// The adapter, if it is one that is missing.
    pub adapter: Option<AdapterName>,
    /// How many.
    pub count: u32,
}

/// What a want counts for.
#[derive(Debug, Clone, Copy)]
pub struct AggregateDemand<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The adapter, if it is one that is missing.
    pub adapter: Option<&'a AdapterName>,
    /// Urgency of the most urgent request; 0 goes first.
    pub priority: u8,
    /// Time until the first of them is no longer on time.
    pub due_in_ms: u64,
    /// Requests that wait for it.
    pub count: u32,
    /// The same, each by its urgency.
    pub value: f64,
}

impl<'a> AggregateDemand<'a> {
    fn nothing_of(waiting: &'a Waiting) -> Self {
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

/// What all daemons ask for, of one service.
#[derive(Debug)]
pub struct Demand {
    daemons: BTreeMap<VmName, Told>,
    rates: Rates,
    /// The same of what daemons themselves tell, without what other leaders do.
    own_rates: Rates,
    /// Most requests that ran at once lately, by model.
    peaks: BTreeMap<ModelName, Peak>,
    /// Since when somebody has waited for models that no engine holds.
    missing_since_ms: BTreeMap<ModelName, u64>,
    /// Time that a request runs, on average.
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
            run_s: MovingAverage::new(NEWEST_RUN_WEIGHT),
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
        self.running * (-age_ms / PEAK_MEMORY_MS).exp()
    }
}

#[derive(Debug)]
struct Told {
    at_ms: u64,
    /// Whether it leads other engines, and tells what its daemons have told it.
    is_leader: bool,
    /// Whether it has told what it remembers.
    has_remembered: bool,
    /// Number of its last digest that a plan has looked at.
    planned: u64,
    digest: DemandReport,
}

impl Demand {
    /// Takes what a daemon tells.
    pub fn report_received(&mut self, daemon: VmName, digest: DemandReport, now_ms: u64) {
        let has_remembered = self.has_remembered(&daemon);
        note_arrivals(&mut self.own_rates, &digest, has_remembered, now_ms);
        self.take(daemon, digest, false, now_ms);
    }

    /// Takes what another leader tells of its daemons.
    pub fn leader_report_received(&mut self, daemon: VmName, digest: DemandReport, now_ms: u64) {
        self.take(daemon, digest, true, now_ms);
    }

    fn has_remembered(&self, daemon: &VmName) -> bool {
        self.daemons.get(daemon).is_some_and(|told| told.has_remembered)
    }

    fn take(&mut self, daemon: VmName, digest: DemandReport, is_leader: bool, now_ms: u64) {
        let before = self.has_remembered(&daemon);
        note_arrivals(&mut self.rates, &digest, before, now_ms);
        let has_remembered = before || digest.past.is_some();
        for adapter in digest.adapters_in_use.values().flatten() {
            self.adapters_used_ms.insert(adapter.clone(), now_ms);
        }
        let planned = self.planned(&daemon);
        let told = Told { at_ms: now_ms, is_leader, has_remembered, planned, digest };
        self.daemons.insert(daemon, told);
    }

    /// Number of the last digest of a daemon that a plan has looked at.
    pub fn planned(&self, daemon: &VmName) -> u64 {
        self.daemons.get(daemon).map_or(0, |told| told.planned)
    }

    /// Notes that a plan looks at all that was told, where engines hold these models. What a
    /// daemon told counts as planned once everybody who sees to its wishes has planned.
    pub fn record_plan(
        &mut self,
        held: &BTreeSet<ModelName>,
        is_planned: impl Fn(&Loadable) -> bool,
        now_ms: u64,
    ) {
        for told in self.daemons.values_mut() {
            let mut waiting = told.digest.waiting.iter();
            if told.is_leader || waiting.all(|waiting| is_planned(&waiting.loadable())) {
                told.planned = told.digest.number;
            }
        }
        self.note_peaks(now_ms);
        let wanted: BTreeSet<ModelName> =
            self.aggregate(now_ms).into_iter().map(|want| want.model.clone()).collect();
        self.missing_since_ms.retain(|model, _| wanted.contains(model) && !held.contains(model));
        for model in wanted.into_iter().filter(|model| !held.contains(model)) {
            self.missing_since_ms.entry(model).or_insert(now_ms);
        }
    }

    fn note_peaks(&mut self, now_ms: u64) {
        let usage = self.usage(now_ms);
        let asked_per_s: f64 = self.rates.iter(now_ms).map(|(_, per_s)| per_s).sum();
        let all: u32 = usage.models().map(|model| usage.of_model(model)).sum();
        let run_s = f64::from(all) / asked_per_s.max(1.0);
        let running: Vec<(ModelName, f64)> =
            usage.models().map(|model| (model.clone(), f64::from(usage.of_model(model)))).collect();
        for (model, running) in running {
            let before = self.peaks.get(&model).map_or(0.0, |peak| peak.decayed(now_ms));
            self.peaks.insert(model, Peak { running: running.max(before), at_ms: now_ms });
        }
        self.run_s.add(run_s);
        self.peaks.retain(|_, peak| peak.decayed(now_ms) >= 0.5);
    }

    /// Most requests for a model that ran at once lately.
    pub fn peak(&self, model: &ModelName, now_ms: u64) -> u32 {
        self.peaks.get(model).map_or(0, |peak| peak.decayed(now_ms).round() as u32)
    }

    /// Time that a request runs, on average over all models: as many run at once as arrive in
    /// that time.
    pub fn run_s(&self) -> f64 {
        self.run_s.get().unwrap_or_default()
    }

    /// For how long somebody has waited for a model that no engine holds.
    pub fn missing_ms(&self, model: &ModelName, now_ms: u64) -> u64 {
        let since_ms = self.missing_since_ms.get(model);
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(*since_ms))
    }

    /// Forgets daemons that have been silent for long.
    pub fn tick(&mut self, now_ms: u64) {
        self.daemons.retain(|_, told| now_ms < told.at_ms + COUNTED_MS);
        self.rates.forget(now_ms);
        self.own_rates.forget(now_ms);
        self.adapters_used_ms.retain(|_, at_ms| now_ms < *at_ms + ADAPTER_MEMORY_MS);
    }

    /// Daemons that told something lately.
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// How often models are asked for.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Everything that waits, added up over all daemons, the most urgent first.
    pub fn aggregate(&self, now_ms: u64) -> Vec<AggregateDemand<'_>> {
        self.aggregate_where(now_ms, |_| true)
    }

    /// The same, of what daemons themselves tell only models that pass; what another leader
    /// tells, it asks for here.
    pub fn aggregate_where(
        &self,
        now_ms: u64,
        is_here: impl Fn(&Loadable) -> bool,
    ) -> Vec<AggregateDemand<'_>> {
        let mut wants: BTreeMap<_, AggregateDemand<'_>> = BTreeMap::new();
        let told = self.live_told(now_ms);
        let waiting = told.flat_map(|told| told.digest.waiting.iter().map(|w| (told.is_leader, w)));
        let waiting = waiting.filter(|(from_leader, w)| *from_leader || is_here(&w.loadable()));
        for (_, waiting) in waiting {
            let want = wants
                .entry((&waiting.model, waiting.adapter.as_ref()))
                .or_insert_with(|| AggregateDemand::nothing_of(waiting));
            want.add(waiting);
        }
        let mut wants: Vec<AggregateDemand<'_>> = wants.into_values().collect();
        wants.sort_by_key(|want| (want.priority, want.due_in_ms));
        wants
    }

    /// Requests that run now.
    pub fn usage(&self, now_ms: u64) -> Usage<'_> {
        let mut usage = Usage::default();
        for digest in self.live(now_ms) {
            for (endpoint, running) in &digest.running {
                for (model, count) in running {
                    usage.add(endpoint, model, *count);
                }
            }
            for (model, count) in &digest.running_elsewhere {
                usage.add_elsewhere(model, *count);
            }
        }
        usage
    }

    /// When an adapter was last in use, as far as is known.
    pub fn adapter_used_ms(&self, adapter: &(ModelName, AdapterName)) -> u64 {
        self.adapters_used_ms.get(adapter).copied().unwrap_or_default()
    }

    /// Whether a request with an adapter runs at an engine.
    pub fn uses_adapter(
        &self,
        endpoint: &EndpointName,
        adapter: &(ModelName, AdapterName),
        now_ms: u64,
    ) -> bool {
        let mut of_engine = self.live(now_ms).filter_map(|told| told.adapters_in_use.get(endpoint));
        of_engine.any(|adapters| adapters.contains(adapter))
    }

    /// What daemons themselves wait for.
    pub fn waited_for(&self, now_ms: u64) -> BTreeSet<Loadable> {
        let waiting = self.live_own(now_ms).flat_map(|digest| &digest.waiting);
        waiting.map(Waiting::loadable).collect()
    }

    /// What another leader is told: of what daemons themselves tell, that which is about its
    /// engines or about wishes that it sees to.
    pub fn report_for(
        &self,
        is_its_engine: impl Fn(&EndpointName) -> bool,
        is_its_wish: impl Fn(&Loadable) -> bool,
        now_ms: u64,
    ) -> DemandReport {
        let mut digest = DemandReport::default();
        let mut waiting: BTreeMap<(ModelName, Option<AdapterName>), Waiting> = BTreeMap::new();
        for told in self.live_own(now_ms) {
            for wish in told.waiting.iter().filter(|wish| is_its_wish(&wish.loadable())) {
                let key = (wish.model.clone(), wish.adapter.clone());
                let nothing = Waiting { count: 0, ..wish.clone() };
                waiting.entry(key).or_insert(nothing).add(wish);
            }
            for (endpoint, models) in &told.running {
                let engine = is_its_engine(endpoint);
                let known = match engine {
                    true => digest.running.entry(endpoint.clone()).or_default(),
                    false => &mut digest.running_elsewhere,
                };
                for (model, count) in models {
                    *known.entry(model.clone()).or_default() += count;
                }
            }
            let adapters = told.adapters_in_use.iter();
            for (endpoint, adapters) in adapters.filter(|(endpoint, _)| is_its_engine(endpoint)) {
                let known = digest.adapters_in_use.entry(endpoint.clone()).or_default();
                known.extend(adapters.iter().cloned());
            }
        }
        for adapters in digest.adapters_in_use.values_mut() {
            adapters.sort();
            adapters.dedup();
        }
        digest.waiting = waiting.into_values().collect();
        digest
    }

    /// What daemons themselves have asked for until now, for a leader that has not heard of it.
    pub fn own_history(&self, now_ms: u64) -> Vec<PastArrivals> {
        self.own_rates.history(now_ms)
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = &DemandReport> {
        self.live_told(now_ms).map(|told| &told.digest)
    }

    fn live_own(&self, now_ms: u64) -> impl Iterator<Item = &DemandReport> {
        self.live_told(now_ms).filter(|told| !told.is_leader).map(|told| &told.digest)
    }

    fn live_told(&self, now_ms: u64) -> impl Iterator<Item = &Told> {
        self.daemons.values().filter(move |told| now_ms < told.at_ms + SILENT_MS)
    }
}

impl Waiting {
    /// What they wait for.
    pub fn loadable(&self) -> Loadable {
        Loadable { model: self.model.clone(), adapter: self.adapter.clone() }
    }

    fn add(&mut self, other: &Self) {
        self.priority = self.priority.min(other.priority);
        self.due_in_ms = self.due_in_ms.min(other.due_in_ms);
        self.count += other.count;
    }
}

/// Notes what arrived, or all that did until now where that was not told before.
fn note_arrivals(rates: &mut Rates, digest: &DemandReport, has_remembered: bool, now_ms: u64) {
    match &digest.past {
        Some(past) if !has_remembered => rates.add_history(past, now_ms),
        _ => {
            for (model, count) in &digest.arrivals {
                rates.record_arrivals(model, *count, now_ms);
            }
        }
    }
}
