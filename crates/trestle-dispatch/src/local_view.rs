//! Everything that one daemon believes, as decisions look at it.

use crate::{
    backpressure::{Answer, Backpressure, SignalChange},
    catalog::Catalog,
    config_texts::ConfigTexts,
    crashes::Crashes,
    departures::Departure,
    directory::Directory,
    endpoint::{Endpoint, Incarnation},
    fingerprint::Fingerprint,
    listing::{ListUpdate, ListedEntry, Listing, Source},
    loadable::{self, Loadable},
    local_demand::LocalDemand,
    policy::Policy,
    quota::QuotaBounds,
    record::Records,
    replicas::ReplicaView,
    retry_share::{RetryBounds, RetryShare},
    unresolved_requests::{ConnectionLoss, Evidence, UnresolvedRequests},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{AdapterName, DomainName, EndpointName, ModelName, ServiceName};

/// Longest time without a leader that orders: 2.3 s until a lease has run out, and the quiet
/// time of 3.3 s after the last order of the one before.
const LEADERLESS_MS: u64 = 5_600;
/// Time in which a new leader has loaded what somebody waits for, from a copy on a disk.
const FIRST_LOAD_MS: u64 = 1_000;
/// Time for which the largest number of daemons that a leader has counted is believed: a new
/// leader, or one that has lost another, knows of too few for some seconds.
const COUNT_BELIEVED_MS: u64 = 30_000;

/// By which way the list of endpoints was last heard of.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub enum ListSource {
    /// It was never heard of.
    #[default]
    Nothing,
    /// This daemon has read the store.
    Store,
    /// A leader has passed it on.
    Leader,
}

impl ListSource {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Store => "store",
            Self::Leader => "leader",
        }
    }
}

/// How the list of endpoints was last heard of.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct ListOrigin {
    /// By which way.
    pub source: ListSource,
    /// The moment as of which it was known, on the daemon's clock.
    pub known_ms: u64,
}

/// Everything that one daemon believes.
#[derive(Debug)]
pub struct LocalView {
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Live endpoints.
    pub directory: Directory,
    /// The list of endpoints as the store has it, as far as this daemon has heard.
    pub listing: Listing,
    /// The last configurations as the store has them.
    pub config_texts: ConfigTexts,
    /// Whether the list of endpoints was ever read.
    pub is_list_read: bool,
    /// Whether it was tried to read what leaders keep of endpoints that left.
    pub are_leases_read: bool,
    /// How the list of endpoints was last heard of.
    pub list_origin: ListOrigin,
    /// What the leader says, by service.
    pub replicas: BTreeMap<ServiceName, ReplicaView>,
    /// When it said so.
    pub received_ms: u64,
    /// Whether there is a leader that answers.
    pub has_leader: bool,
    /// When the last one fell silent.
    pub leader_lost_ms: Option<u64>,
    /// What decides.
    pub policy: Policy,
    /// How endpoints behaved.
    pub records: Records,
    /// What they ask for in their answers.
    pub backpressure: Backpressure,
    /// Requests whose connection broke at endpoints that may have ended.
    pub unresolved_requests: UnresolvedRequests,
    /// Requests under which endpoints ended.
    pub crashes: Crashes,
    /// Shares of the retry budgets.
    pub retries: BTreeMap<ServiceName, RetryShare>,
    /// What this daemon will tell the leader, by service.
    pub local_demand: BTreeMap<ServiceName, LocalDemand>,
    /// Daemons that share budgets; 0 until a leader has counted them.
    pub daemons: usize,
    /// When so many were last counted.
    daemons_ms: u64,
    /// Daemons that ask the same leader.
    pub leader_clients: usize,
    /// The failure domain of this daemon.
    pub domain: DomainName,
    /// What bounds further sends.
    pub retry_bounds: RetryBounds,
    /// How far teams may exceed their limits.
    pub quota_bounds: QuotaBounds,
}

impl LocalView {
    /// Nothing is believed yet. Endpoints that have left may get requests for `leaving_ms`.
    pub fn new(domain: DomainName, leaving_ms: u64, retry_bounds: RetryBounds) -> Self {
        Self {
            catalog: None,
            directory: Directory::new(leaving_ms),
            listing: Listing::default(),
            config_texts: ConfigTexts::default(),
            is_list_read: false,
            are_leases_read: false,
            list_origin: ListOrigin::default(),
            replicas: BTreeMap::new(),
            received_ms: 0,
            has_leader: false,
            leader_lost_ms: None,
            policy: Policy::default(),
            records: Records::default(),
            backpressure: Backpressure::default(),
            unresolved_requests: UnresolvedRequests::default(),
            crashes: Crashes::default(),
            retries: BTreeMap::new(),
            local_demand: BTreeMap::new(),
            daemons: 0,
            daemons_ms: 0,
            leader_clients: 1,
            domain,
            retry_bounds,
            quota_bounds: QuotaBounds::default(),
        }
    }

    /// What callers ask of a service's engines.
    pub fn local_demand_for(&mut self, service: &ServiceName) -> &mut LocalDemand {
        self.local_demand.entry(service.clone()).or_default()
    }

    /// Takes a further send for a service, if the budget allows it.
    pub fn spend_retry(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let share = self.retries.entry(service.clone()).or_default();
        share.spend(now_ms, &self.retry_bounds, self.daemons)
    }

    /// Whether the budget allows a further send for a service.
    pub fn has_retry(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let share = self.retries.entry(service.clone()).or_default();
        share.has_room(now_ms, &self.retry_bounds, self.daemons)
    }

    /// Notes a request of a caller to a service.
    pub fn request_arrived(&mut self, service: &ServiceName, now_ms: u64) {
        self.retries.entry(service.clone()).or_default().record_request(now_ms);
    }

    /// Notes a request of a caller for a model.
    pub fn model_request_arrived(&mut self, service: &ServiceName, model: &ModelName, now_ms: u64) {
        let asked = self.local_demand_for(service);
        *asked.arrivals.entry(model.clone()).or_default() += 1;
        asked.rates.record_arrivals(model, 1, now_ms);
    }

    /// Notes that a request was sent to an endpoint.
    pub fn request_started(
        &mut self,
        endpoint: &Endpoint,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.records.sent(&endpoint.name);
        if let Some(model) = model {
            self.local_demand_for(&endpoint.service).sent(&endpoint.name, model, adapter);
        }
    }

    /// Notes that a request to an endpoint has ended, however it ended.
    pub fn request_ended(
        &mut self,
        endpoint: &Endpoint,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.records.ended(&endpoint.name);
        if let Some(model) = model {
            self.local_demand_for(&endpoint.service).ended(&endpoint.name, model, adapter);
        }
    }

    /// Requests of all daemons that run at an endpoint: what the leader has counted, and what
    /// has changed here since this daemon told it.
    pub fn running(&self, endpoint: &Endpoint) -> u32 {
        let own = self.records.of(&endpoint.name).in_flight;
        let view = self.replicas.get(&endpoint.service);
        let counted = view.map_or(0, |view| view.running(&endpoint.name));
        let asked = self.local_demand.get(&endpoint.service);
        let told = asked.and_then(|asked| asked.reported_running.get(&endpoint.name));
        (counted + own).saturating_sub(told.copied().unwrap_or_default()).max(own)
    }

    /// Takes what the leader says of a service, and the number of the last digest that its
    /// plan has looked at; returns whether that is news for requests that wait.
    pub fn update_replicas(
        &mut self,
        service: ServiceName,
        view: ReplicaView,
        planned: u64,
        now_ms: u64,
    ) -> bool {
        if view.daemons >= self.daemons || now_ms > self.daemons_ms + COUNT_BELIEVED_MS {
            self.daemons = view.daemons;
            self.daemons_ms = now_ms;
        }
        self.leader_clients = view.leader_clients.max(1);
        self.received_ms = now_ms;
        let asked = self.local_demand_for(&service);
        let is_planned = planned > asked.last_planned;
        asked.last_planned = planned;
        let is_answer = is_planned && !asked.waiting.is_empty();
        let is_news = self.replicas.get(&service) != Some(&view);
        self.replicas.insert(service, view);
        is_news || is_answer
    }

    /// Notes whether a leader answers.
    pub fn record_leader(&mut self, has_leader: bool, now_ms: u64) {
        if self.has_leader && !has_leader {
            self.leader_lost_ms = Some(now_ms);
        }
        self.has_leader = has_leader;
    }

    /// Time until a leader should have loaded something, while there is none; `None` if one
    /// should long be there, or there never was one.
    pub fn leader_recovery_ms(&self, now_ms: u64) -> Option<u64> {
        let back_ms = self.leader_lost_ms? + LEADERLESS_MS;
        let is_overdue = now_ms > back_ms + LEADERLESS_MS;
        (!is_overdue).then(|| back_ms.saturating_sub(now_ms) + FIRST_LOAD_MS)
    }

    /// Time until something that is waited for will be ready, as far as the leader has said.
    pub fn ready_in_ms(
        &self,
        service: &ServiceName,
        loadable: &Loadable,
        now_ms: u64,
    ) -> Option<u64> {
        let ready_in_ms = self.replicas.get(service)?.ready_in_ms.get(loadable)?;
        Some(loadable::remaining_ms(*ready_in_ms, now_ms.saturating_sub(self.received_ms)))
    }

    /// Forgets what leaders said, some time after the last was heard. Entries that were passed
    /// on tell nothing of what engines hold, so what was last heard of that takes their place.
    pub fn clear_replicas(&mut self, has_read_entries: bool) {
        for view in std::mem::take(&mut self.replicas).into_values() {
            for (name, note) in view.engines.into_iter().filter(|_| !has_read_entries) {
                self.directory.assume_held(&name, note.holds);
            }
        }
    }

    /// Takes an entry that is new to the list; returns whether it names an endpoint to use.
    pub fn apply_entry(&mut self, entry: ListedEntry, source: Source) -> bool {
        let ListedEntry { key, endpoint, version } = entry;
        let known = self.directory.get(&endpoint.name);
        if known.is_some_and(|known| known.started_unix_ms != endpoint.started_unix_ms) {
            self.records.restarted(&endpoint.name);
        }
        let is_taken = match source {
            Source::Store => self.directory.apply_written(endpoint),
            Source::Leader => self.directory.apply_listed(endpoint),
        };
        if !is_taken {
            self.listing.mark_unusable(&key, version);
        }
        is_taken
    }

    /// Takes what another daemon knows of endpoints that left or are gone; returns those that are
    /// listed no longer by that.
    pub fn apply_departures(&mut self, departures: &[Departure]) -> Vec<EndpointName> {
        let dropped =
            departures.iter().filter(|departure| self.directory.apply_departure(departure));
        let dropped: Vec<EndpointName> =
            dropped.map(|departure| departure.incarnation.name.clone()).collect();
        dropped.iter().for_each(|name| self.listing.mark_entry_unusable(name.as_str()));
        dropped
    }

    /// Takes what a life of an endpoint says in an answer; returns what is new of it.
    pub fn apply_answer(
        &mut self,
        incarnation: &Incarnation,
        answer: Answer<'_>,
        now_ms: u64,
    ) -> Vec<SignalChange> {
        let mut heard = self.backpressure.apply_answer(incarnation, answer, now_ms);
        if answer.signals.draining.value().is_some() && self.directory.mark_draining(incarnation) {
            heard.push(SignalChange::Draining);
        }
        heard
    }

    /// What has changed in the list of endpoints since a version, as this daemon believes it: one
    /// that it has seen leaving is no more usable to a daemon that has not.
    pub fn list_since(&self, version: u64) -> ListUpdate {
        let mut news = self.listing.changes_since(version);
        for entry in &mut news.written {
            entry.endpoint.is_draining |=
                self.directory.was_draining(&entry.endpoint.incarnation());
        }
        news
    }

    /// Notes that a request leaves for an endpoint, which may end under it.
    pub fn track_request(&mut self, endpoint: &Endpoint, request: Fingerprint) {
        self.unresolved_requests.sent(&endpoint.incarnation(), endpoint.address, request);
    }

    /// Notes that the connection of a request to an endpoint broke. One that is leaving, or gone
    /// from the list, ends whatever it runs.
    pub fn connection_lost(
        &mut self,
        endpoint: &Endpoint,
        request: Fingerprint,
        now_ms: u64,
    ) -> Option<ConnectionLoss> {
        let incarnation = endpoint.incarnation();
        if self.ends_as_planned(&incarnation) {
            return None;
        }
        let has_ended = !self.directory.contains(&incarnation);
        Some(if has_ended {
            ConnectionLoss::Terminated
        } else {
            self.unresolved_requests.connection_lost(&incarnation, request, now_ms)
        })
    }

    /// Notes that nobody waits any more for a request that runs at an endpoint; returns whether
    /// that is known to have ended, other than as planned.
    pub fn request_abandoned(
        &mut self,
        endpoint: &Endpoint,
        request: Fingerprint,
        now_ms: u64,
    ) -> bool {
        let incarnation = endpoint.incarnation();
        if self.ends_as_planned(&incarnation) {
            self.unresolved_requests.resolved(&incarnation, request);
            return false;
        }
        self.unresolved_requests.abandoned(&incarnation, request, now_ms)
            || !self.directory.contains(&incarnation)
    }

    /// Takes that a life of an endpoint has ended; returns the requests that are to be blamed.
    pub fn incarnation_terminated(
        &mut self,
        incarnation: &Incarnation,
        evidence: Evidence,
        now_ms: u64,
    ) -> BTreeSet<Fingerprint> {
        let is_planned = match evidence {
            Evidence::Unlisted => self.directory.was_draining(incarnation),
            // It left without a word and has ended since, or it was found before.
            _ => self.ends_as_planned(incarnation),
        };
        match is_planned {
            true => BTreeSet::new(),
            false => self.unresolved_requests.terminated(incarnation, evidence, now_ms),
        }
    }

    /// Endpoints that have ended by what the list says, other than as planned, while requests
    /// were open there.
    pub fn terminated_by_list(&self) -> Vec<(Incarnation, Evidence)> {
        let gone =
            self.unresolved_requests.unlisted(|incarnation| self.directory.contains(incarnation));
        let gone = gone.into_iter().filter(|incarnation| !self.directory.was_draining(incarnation));
        gone.map(|incarnation| {
            let is_unlisted = self.directory.get(&incarnation.name).is_none();
            let evidence = if is_unlisted { Evidence::Unlisted } else { Evidence::StartedAgain };
            (incarnation, evidence)
        })
        .collect()
    }

    /// Endpoints that have ended, other than as planned, since another one has come to their
    /// address.
    pub fn replaced_by(&self, endpoint: &Endpoint) -> Vec<Incarnation> {
        let mut replaced = self.unresolved_requests.others_at(endpoint.address, &endpoint.name);
        replaced.retain(|incarnation| !self.directory.was_draining(incarnation));
        replaced
    }

    /// Whether the end of a life is no surprise: it has said that it leaves, or its entry is gone.
    fn ends_as_planned(&self, incarnation: &Incarnation) -> bool {
        self.directory.get(&incarnation.name).is_none() || self.directory.was_draining(incarnation)
    }

    /// Notes that a request had a whole answer; returns how many endpoints had ended under it, if
    /// it was tried or refused until now.
    pub fn served(&mut self, request: Option<Fingerprint>) -> Option<usize> {
        let request = request?;
        self.unresolved_requests.served(request);
        self.crashes.served(request)
    }

    /// For how long a request is refused because endpoints ended under it.
    pub fn refused_for_ms(&self, request: Option<Fingerprint>, now_ms: u64) -> Option<u64> {
        self.crashes.refused_for_ms(request?, now_ms)
    }

    /// Whether one attempt of a request may run at a time: endpoints have ended under it, or it
    /// was broken off at some of which that is not known.
    pub fn must_run_serially(&self, request: Option<Fingerprint>, now_ms: u64) -> bool {
        request.is_some_and(|request| {
            let in_doubt = self.unresolved_requests.unresolved_incarnations(request, now_ms);
            self.crashes.must_run_serially_with_unresolved(request, in_doubt)
        })
    }

    /// Forgets endpoints that are no longer listed.
    pub fn forget_unlisted(&mut self) {
        let live: BTreeSet<EndpointName> =
            self.directory.iter().map(|endpoint| endpoint.name.clone()).collect();
        self.records.retain(|name| live.contains(name));
    }
}
