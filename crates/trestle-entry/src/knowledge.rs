//! What this daemon believes, shared by traffic and control.
//!
//! One lock, held for a look or a change and never across a wait. Whoever waits
//! for a change of it listens to [`Knowledge::changed`].

use event_listener::{Event, EventListener};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};
use trestle_config::entry_settings::{Bounds, EntrySettings};
use trestle_core::names::{AdapterName, DomainName, EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    catalog::Catalog,
    demand::DemandDigest,
    directory::Directory,
    endpoint::Endpoint,
    mirror::Mirror,
    rates::Rates,
    record::Records,
    replicas::ReplicaView,
    retry_share::{RetryBounds, RetryShare},
};

/// Daemons assumed to share budgets until the leader has counted them.
const ASSUMED_DAEMONS: usize = 12;

/// What this daemon believes.
#[derive(Debug)]
pub(crate) struct Knowledge {
    beliefs: Mutex<Beliefs>,
    changed: Event,
    wished: Event,
    started: Instant,
}

/// Everything that is believed.
#[derive(Debug)]
pub(crate) struct Beliefs {
    /// The configuration in force.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Live endpoints.
    pub(crate) directory: Directory,
    /// The list of endpoints as the store has it.
    pub(crate) mirror: Mirror<Endpoint>,
    /// The configuration in force as the store has it.
    pub(crate) config_text: Option<Arc<Vec<u8>>>,
    /// Whether the list of endpoints was ever read.
    pub(crate) is_listed: bool,
    /// What the leader says, by service.
    pub(crate) replicas: BTreeMap<ServiceName, ReplicaView>,
    /// How endpoints behaved.
    pub(crate) records: Records,
    /// Shares of the retry budgets.
    pub(crate) retries: BTreeMap<ServiceName, RetryShare>,
    /// What this daemon will tell the leader, by service.
    pub(crate) asked: BTreeMap<ServiceName, Asked>,
    /// Daemons that share budgets.
    pub(crate) daemons: usize,
    /// The failure domain of this daemon.
    pub(crate) domain: DomainName,
    /// What bounds further sends.
    pub(crate) retry_bounds: RetryBounds,
}

/// What callers of this daemon ask of one service's engines.
#[derive(Debug, Default)]
pub(crate) struct Asked {
    /// Requests that arrived since this was last told.
    pub(crate) arrivals: BTreeMap<ModelName, u32>,
    /// All that arrived, for leaders that have not heard of it.
    pub(crate) rates: Rates,
    /// Requests that wait, by a number of their own.
    pub(crate) waiting: BTreeMap<u64, Wish>,
    /// Requests that were refused and may be back, by a number of their own.
    pub(crate) returning: BTreeMap<u64, Wish>,
    /// Requests that run.
    pub(crate) running: BTreeMap<EndpointName, BTreeMap<ModelName, u32>>,
    /// Requests that run with an adapter.
    pub(crate) adapters: BTreeMap<EndpointName, BTreeMap<(ModelName, AdapterName), u32>>,
}

/// What one request waits for.
#[trestle_macros::plain]
pub(crate) struct Wish {
    /// Urgency; 0 goes first.
    pub(crate) priority: u8,
    /// When it is no longer on time, or no longer expected.
    pub(crate) due_ms: u64,
    /// The model.
    pub(crate) model: ModelName,
    /// The adapter, if only that is missing.
    pub(crate) adapter: Option<AdapterName>,
}

impl Knowledge {
    /// Nothing is believed yet.
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let bounds = &settings.bounds;
        let beliefs = Beliefs {
            catalog: None,
            directory: Directory::new(bounds.leaving_ms),
            mirror: Mirror::default(),
            config_text: None,
            is_listed: false,
            replicas: BTreeMap::new(),
            records: Records::default(),
            retries: BTreeMap::new(),
            asked: BTreeMap::new(),
            daemons: ASSUMED_DAEMONS,
            domain: settings.domain.as_str().into(),
            retry_bounds: retry_bounds(bounds),
        };
        Self {
            beliefs: Mutex::new(beliefs),
            changed: Event::new(),
            wished: Event::new(),
            started: Instant::now(),
        }
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.with(|beliefs| {
            beliefs.retry_bounds = retry_bounds(bounds);
            beliefs.directory.set_leaving_ms(bounds.leaving_ms);
        });
    }

    /// Time on this daemon's monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Looks at what is believed, or notes something that nobody waits for.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&mut Beliefs) -> R) -> R {
        look(&mut self.beliefs.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is believed, and wakes whoever waits for a change.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut Beliefs) -> R) -> R {
        let result = self.with(change);
        self.changed.notify(usize::MAX);
        result
    }

    /// Hears of the next change; to be called before a look, so that none is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Hears of the next request that has to wait.
    pub(crate) fn wished(&self) -> EventListener {
        self.wished.listen()
    }

    /// Says that a request has to wait.
    pub(crate) fn wish(&self) {
        self.wished.notify(usize::MAX);
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.with(|beliefs| beliefs.catalog.clone())
    }
}

impl Beliefs {
    /// What callers ask of a service's engines.
    pub(crate) fn asked_of(&mut self, service: &ServiceName) -> &mut Asked {
        self.asked.entry(service.clone()).or_default()
    }

    /// Takes a further send for a service, if the budget allows it.
    pub(crate) fn take_retry(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let share = self.retries.entry(service.clone()).or_default();
        share.take(now_ms, &self.retry_bounds, self.daemons)
    }

    /// Notes a request of a caller to a service.
    pub(crate) fn requested(&mut self, service: &ServiceName, now_ms: u64) {
        self.retries.entry(service.clone()).or_default().requested(now_ms);
    }

    /// Notes a request of a caller for a model.
    pub(crate) fn model_requested(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        now_ms: u64,
    ) {
        let asked = self.asked_of(service);
        *asked.arrivals.entry(model.clone()).or_default() += 1;
        asked.rates.arrived(model, 1, now_ms);
    }

    /// Notes that a request was sent to an endpoint.
    pub(crate) fn sent(
        &mut self,
        endpoint: &Endpoint,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.records.sent(&endpoint.name);
        let Some(model) = model else { return };
        let asked = self.asked_of(&endpoint.service);
        let running = asked.running.entry(endpoint.name.clone()).or_default();
        *running.entry(model.clone()).or_default() += 1;
        if let Some(adapter) = adapter {
            let adapters = asked.adapters.entry(endpoint.name.clone()).or_default();
            *adapters.entry((model.clone(), adapter.clone())).or_default() += 1;
        }
    }

    /// Notes that a request to an endpoint has ended, however it ended.
    pub(crate) fn ended(
        &mut self,
        endpoint: &Endpoint,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.records.ended(&endpoint.name);
        let Some(model) = model else { return };
        let asked = self.asked_of(&endpoint.service);
        count_down(&mut asked.running, &endpoint.name, model);
        if let Some(adapter) = adapter {
            count_down(&mut asked.adapters, &endpoint.name, &(model.clone(), adapter.clone()));
        }
    }

    /// Forgets endpoints that are no longer listed.
    pub(crate) fn forget_gone(&mut self) {
        let live: BTreeSet<EndpointName> =
            self.directory.iter().map(|endpoint| endpoint.name.clone()).collect();
        self.records.retain(|name| live.contains(name));
    }
}

impl Asked {
    /// What is to be told now; arrivals are told once. A leader that has heard nothing yet
    /// is also told what is remembered.
    pub(crate) fn digest(&mut self, is_first: bool, now_ms: u64) -> DemandDigest {
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
            trestle_dispatch::demand::Waiting { priority, due_in_ms, model, adapter, count }
        });
        let adapters_in_use = self.adapters.iter();
        DemandDigest {
            arrivals: std::mem::take(&mut self.arrivals),
            past: is_first.then(|| self.rates.past(now_ms)),
            waiting: waiting.collect(),
            running: self.running.clone(),
            adapters_in_use: adapters_in_use
                .map(|(endpoint, adapters)| (endpoint.clone(), adapters.keys().cloned().collect()))
                .collect(),
        }
    }
}

/// What bounds further sends, by the settings.
fn retry_bounds(bounds: &Bounds) -> RetryBounds {
    RetryBounds {
        ratio: bounds.retry_ratio,
        window_ms: bounds.retry_window_s * 1_000,
        fixed: bounds.retry_fixed,
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
