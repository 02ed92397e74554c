//! The state that one daemon knows, as its decisions read it. It may be stale.

use crate::{
    backpressure::{Answer, Backpressure, SignalChange},
    brittle::{BrittleChange, BrittleServices, DaemonState},
    catalog::Catalog,
    config_texts::ConfigTexts,
    crashes::Crashes,
    departures::Departure,
    directory::Directory,
    endpoint::{Endpoint, Incarnation},
    entry_check::RejectedEntries,
    fingerprint::Fingerprint,
    listing::{ListUpdate, ListedEntry, Listing, Source},
    load::{prompt_profile::PromptProfile, request_size::RequestSize},
    loadable::{self, Loadable},
    local_demand::LocalDemand,
    part_answers::PartAnswers,
    policy::{Mechanism, Policy},
    quota::QuotaBounds,
    reachability::Reachability,
    record::Records,
    replicas::ReplicaView,
    request::RequestHead,
    retry_budgets::RetryBudgets,
    retry_share::RetryBounds,
    route::Route,
    signals::HeaderField,
    software_versions::SoftwareVersions,
    store_version::StoreVersion,
    stream_origins::StreamOrigins,
    unresolved_requests::{ConnectionLoss, Evidence, UnresolvedRequests},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{AdapterName, DomainName, EndpointName, ModelName, ServiceName};

/// Longest time in which no leader gives orders: a lease runs out after 2.3 s, and the next
/// leader waits 3.3 s after the last order of its predecessor.
const LEADERLESS_MS: u64 = 5_600;
/// Time in which a new leader loads a requested model from a copy on a disk.
const FIRST_LOAD_MS: u64 = 1_000;

/// Attempts of a caller, each as long as its route allows, for which a stream can be continued.
const ATTEMPTS_IN_LIFETIME: u64 = 2;
/// Longest time of an attempt while there is no configuration.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// How a request under which endpoints crashed, or may have, is restricted.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Restriction {
    /// Any number of its attempts may run.
    None,
    /// Only an attempt that a leader allowed may run.
    Serial,
    /// No attempt may run.
    Rejected {
        /// Time until an attempt may run again.
        for_ms: u64,
    },
}

impl Restriction {
    /// Returns whether an attempt may run; `is_permitted` tells whether a leader allows it.
    pub fn allows(self, is_permitted: bool) -> bool {
        match self {
            Self::None => true,
            Self::Serial => is_permitted,
            Self::Rejected { .. } => false,
        }
    }
}

/// The source of the most recent update of the endpoint list.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub enum ListSource {
    /// No list was received yet.
    #[default]
    Nothing,
    /// This daemon read the store.
    Store,
    /// A leader relayed the list.
    Leader,
}

impl ListSource {
    /// Returns the name of the source in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Store => "store",
            Self::Leader => "leader",
        }
    }
}

/// The source and age of the endpoint list.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct ListOrigin {
    /// The source of the list.
    pub source: ListSource,
    /// Time at which the list was known to be current, in milliseconds on the daemon's clock.
    pub known_ms: u64,
}

/// The state that one daemon knows.
#[derive(Debug)]
pub struct LocalView {
    /// The configuration in force; `None` until one was received.
    pub catalog: Option<Arc<Catalog>>,
    /// Live endpoints.
    pub directory: Directory,
    /// The endpoint list by versions of the store, as far as this daemon has received it.
    pub listing: Listing,
    /// The texts of the most recent configurations.
    pub config_texts: ConfigTexts,
    /// Whether a whole endpoint list was received at least once.
    pub is_list_read: bool,
    /// Whether this daemon has tried to read the departed endpoints that leaders keep in the
    /// lease rows.
    pub are_leases_read: bool,
    /// Source and age of the endpoint list.
    pub list_origin: ListOrigin,
    /// Entries that were rejected, so that each is logged once.
    pub rejected_entries: RejectedEntries,
    /// Replicas as the leader reports them, by service.
    pub replicas: BTreeMap<ServiceName, ReplicaView>,
    /// When the leader last reported replicas, in milliseconds on the daemon's clock.
    pub received_ms: u64,
    /// Whether a leader answers.
    pub has_leader: bool,
    /// When contact with the last leader was lost; `None` if it never was.
    pub leader_lost_ms: Option<u64>,
    /// The policy that decisions follow.
    pub policy: Policy,
    /// Outcomes of requests, by endpoint.
    pub records: Records,
    /// Outcomes of this daemon's connection attempts, by endpoint.
    pub reachability: Reachability,
    /// Limits and backoffs that endpoints announced in their answers.
    pub backpressure: Backpressure,
    /// Services whose endpoints crash if they have to reject too many requests.
    pub brittle: BrittleServices,
    /// Versions of the software that streams of each service may have begun at.
    pub software_versions: SoftwareVersions,
    /// At which version of the software streams began.
    pub stream_origins: StreamOrigins,
    /// Requests without an answer, by incarnation of the endpoint.
    pub unresolved_requests: UnresolvedRequests,
    /// Requests under which endpoints crashed.
    pub crashes: Crashes,
    /// Parts of prompts that engines have lately begun to answer.
    pub part_answers: PartAnswers,
    /// This daemon's shares of the retry budgets.
    pub retry_budgets: RetryBudgets,
    /// Demand of this daemon's callers that is reported to the leader, by service.
    pub local_demand: BTreeMap<ServiceName, LocalDemand>,
    /// Sizes of the prompts of this daemon's callers, by service.
    pub prompt_profiles: BTreeMap<ServiceName, PromptProfile>,
    /// Number of daemons that sync with the same leader.
    pub leader_clients: usize,
    /// The failure domain of this daemon.
    pub domain: DomainName,
    /// Bounds on how far teams may exceed their limits.
    pub quota_bounds: QuotaBounds,
}

impl LocalView {
    /// Returns a view that knows nothing yet. Requests may be sent to an endpoint for
    /// `draining_ms` after it announced that it drains.
    pub fn new(domain: DomainName, draining_ms: u64, retry_bounds: RetryBounds) -> Self {
        Self {
            catalog: None,
            directory: Directory::new(draining_ms),
            listing: Listing::default(),
            config_texts: ConfigTexts::default(),
            is_list_read: false,
            are_leases_read: false,
            list_origin: ListOrigin::default(),
            rejected_entries: RejectedEntries::default(),
            replicas: BTreeMap::new(),
            received_ms: 0,
            has_leader: false,
            leader_lost_ms: None,
            policy: Policy::default(),
            records: Records::default(),
            reachability: Reachability::default(),
            backpressure: Backpressure::default(),
            brittle: BrittleServices::default(),
            software_versions: SoftwareVersions::default(),
            stream_origins: StreamOrigins::default(),
            unresolved_requests: UnresolvedRequests::default(),
            crashes: Crashes::default(),
            part_answers: PartAnswers::default(),
            retry_budgets: RetryBudgets::new(retry_bounds),
            local_demand: BTreeMap::new(),
            prompt_profiles: BTreeMap::new(),
            leader_clients: 1,
            domain,
            quota_bounds: QuotaBounds::default(),
        }
    }

    /// Returns whether an endpoint is an engine, to which leaders give orders.
    pub fn is_engine(&self, endpoint: &Endpoint) -> bool {
        let service =
            self.catalog.as_ref().and_then(|catalog| catalog.services.get(&endpoint.service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns the demand for a service, which is created if there is none.
    pub fn local_demand_for(&mut self, service: &ServiceName) -> &mut LocalDemand {
        self.local_demand.entry(service.clone()).or_default()
    }

    /// Records that a caller's request for a model arrived.
    pub fn model_request_arrived(&mut self, service: &ServiceName, model: &ModelName, now_ms: u64) {
        let demand = self.local_demand_for(service);
        *demand.arrivals.entry(model.clone()).or_default() += 1;
        demand.rates.record_arrivals(model, 1, now_ms);
    }

    /// Records the size of a caller's prompt for a service.
    pub fn prompt_arrived(&mut self, service: &ServiceName, size: RequestSize, now_ms: u64) {
        let profile = self.prompt_profiles.entry(service.clone()).or_default();
        profile.record(size.prompt_tokens, now_ms);
    }

    /// Returns whether a leader must decide which engine reads the prompt of a request, and when.
    pub fn needs_schedule(&self, service: &ServiceName, route: &Route, head: &RequestHead) -> bool {
        let is_sized = route.is_stream() && head.size.is_some() && head.model.is_some();
        is_sized && self.schedules_prompts(service)
    }

    /// Returns whether leaders schedule the prompts of a service.
    pub fn schedules_prompts(&self, service: &ServiceName) -> bool {
        if !self.policy.has(Mechanism::ScheduledPrompts) {
            return false;
        }
        let Some(profile) = self.prompt_profiles.get(service) else { return false };
        let pause_ms =
            self.catalog.as_ref().and_then(|catalog| catalog.routes.shortest_pause_ms(service));
        pause_ms.is_some_and(|pause_ms| profile.needs_scheduling(pause_ms))
    }

    /// Records that a request was sent to an endpoint.
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

    /// Records that a request to an endpoint ended, with any outcome.
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

    /// Returns the number of requests of all daemons that run at an endpoint: the leader's count,
    /// corrected by what changed at this daemon since its last report.
    pub fn running(&self, endpoint: &Endpoint) -> u32 {
        let own = self.records.of(&endpoint.name).in_flight;
        let view = self.replicas.get(&endpoint.service);
        let counted = view.map_or(0, |view| view.running(&endpoint.name));
        let demand = self.local_demand.get(&endpoint.service);
        let reported = demand.and_then(|demand| demand.reported_running.get(&endpoint.name));
        (counted + own).saturating_sub(reported.copied().unwrap_or_default()).max(own)
    }

    /// Stores what the leader reports about a service. `last_planned` is the number of this
    /// daemon's last demand report that the leader's plan includes. Returns whether the update may
    /// affect requests that wait.
    pub fn update_replicas(
        &mut self,
        service: ServiceName,
        view: ReplicaView,
        last_planned: u64,
        now_ms: u64,
    ) -> bool {
        self.retry_budgets.record_count(view.daemons, now_ms);
        self.leader_clients = view.leader_clients.max(1);
        self.received_ms = now_ms;
        let demand = self.local_demand_for(&service);
        let is_planned = last_planned > demand.last_planned;
        demand.last_planned = last_planned;
        let answers_waiting = is_planned && !demand.waiting.is_empty();
        let is_changed = self.replicas.get(&service) != Some(&view);
        self.replicas.insert(service, view);
        is_changed || answers_waiting
    }

    /// Records whether a leader answers.
    pub fn record_leader(&mut self, has_leader: bool, now_ms: u64) {
        if self.has_leader && !has_leader {
            self.leader_lost_ms = Some(now_ms);
        }
        self.has_leader = has_leader;
    }

    /// While there is no leader, returns the time until a new one should have loaded a model.
    /// Returns `None` if a leader is overdue, or if there never was one.
    pub fn leader_recovery_ms(&self, now_ms: u64) -> Option<u64> {
        let expected_ms = self.leader_lost_ms? + LEADERLESS_MS;
        let is_overdue = now_ms > expected_ms + LEADERLESS_MS;
        (!is_overdue).then(|| expected_ms.saturating_sub(now_ms) + FIRST_LOAD_MS)
    }

    /// Returns the time until a model or adapter is ready, as far as the leader has reported it.
    pub fn ready_in_ms(
        &self,
        service: &ServiceName,
        loadable: &Loadable,
        now_ms: u64,
    ) -> Option<u64> {
        let ready_in_ms = self.replicas.get(service)?.ready_in_ms.get(loadable)?;
        Some(loadable::remaining_ms(*ready_in_ms, now_ms.saturating_sub(self.received_ms)))
    }

    /// Drops what leaders reported; to be called some time after their last report. Relayed list
    /// entries do not say what engines hold, so the last reported contents take their place unless
    /// `has_read_entries`: entries read from the store say it.
    pub fn clear_replicas(&mut self, has_read_entries: bool) {
        for view in std::mem::take(&mut self.replicas).into_values() {
            for (name, summary) in view.engines.into_iter().filter(|_| !has_read_entries) {
                self.directory.assume_held(&name, summary.holds);
            }
        }
    }

    /// Returns the time for which a stream can be continued: two attempts of the longest that the
    /// configuration allows.
    pub fn stream_lifetime_ms(&self) -> u64 {
        let routes = self.catalog.iter().flat_map(|catalog| catalog.routes.iter());
        let resumable = routes.filter(|route| route.is_stream() && route.is_idempotent());
        let longest_ms = resumable.map(|route| route.timeout_ms).max();
        ATTEMPTS_IN_LIFETIME * longest_ms.unwrap_or(DEFAULT_TIMEOUT_MS)
    }

    /// Records the versions of the software of all listed endpoints.
    pub fn observe_versions(&mut self, now_ms: u64) {
        let lifetime_ms = self.stream_lifetime_ms();
        self.software_versions.observe(self.directory.iter(), lifetime_ms, now_ms);
    }

    /// Returns the time since the list of endpoints was known to be current.
    pub fn list_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.list_origin.known_ms)
    }

    /// Applies a changed entry of the list. Returns whether it names a usable endpoint.
    pub fn apply_entry(&mut self, entry: ListedEntry, source: Source) -> bool {
        let ListedEntry { key, endpoint, version } = entry;
        let known = self.directory.get(&endpoint.name);
        if known.is_some_and(|known| known.started_unix_ms != endpoint.started_unix_ms) {
            self.records.restarted(&endpoint.name);
        }
        let is_usable = match source {
            Source::Store => self.directory.apply_written(endpoint),
            Source::Leader => self.directory.apply_listed(endpoint),
        };
        if !is_usable {
            self.listing.mark_unusable(&key, version);
        }
        is_usable
    }

    /// Applies what another daemon knows about draining and departed endpoints. Returns the
    /// endpoints that are therefore no longer listed.
    pub fn apply_departures(&mut self, departures: &[Departure]) -> Vec<EndpointName> {
        let dropped =
            departures.iter().filter(|departure| self.directory.apply_departure(departure));
        let dropped: Vec<EndpointName> =
            dropped.map(|departure| departure.incarnation.name.clone()).collect();
        dropped.iter().for_each(|name| self.listing.mark_entry_unusable(name.as_str()));
        dropped
    }

    /// Applies the signals in an answer of an endpoint. Returns what changed.
    pub fn apply_answer(
        &mut self,
        incarnation: &Incarnation,
        answer: Answer<'_>,
        now_ms: u64,
    ) -> Vec<SignalChange> {
        let mut changes = self.backpressure.apply_answer(incarnation, answer, now_ms);
        if answer.signals.draining.value().is_some() && self.directory.mark_draining(incarnation) {
            changes.push(SignalChange::Draining);
        }
        changes
    }

    /// Applies what an answer says about rejections that its endpoint survives. `is_rejection` tells
    /// whether the endpoint rejected the request, which was sent at `sent_ms`, for want of room.
    pub fn apply_brittle(
        &mut self,
        endpoint: &Endpoint,
        max_rejections: &HeaderField<u32>,
        is_rejection: bool,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<BrittleChange> {
        let state = self.daemon_state(endpoint, now_ms);
        self.brittle.apply_answer(endpoint, max_rejections, is_rejection, sent_ms, state)
    }

    /// Returns whether an endpoint is brittle, so that it may crash without any request being the
    /// cause.
    pub fn is_brittle(&self, incarnation: &Incarnation) -> bool {
        let listed = self.directory.get(&incarnation.name);
        listed.is_some_and(|endpoint| self.brittle.contains(&endpoint.service))
            || self.brittle.contains_endpoint(incarnation)
    }

    /// Returns what decisions on a brittle endpoint depend on besides its service.
    pub fn daemon_state(&self, endpoint: &Endpoint, now_ms: u64) -> DaemonState {
        let in_flight = self.records.of(&endpoint.name).in_flight;
        DaemonState { daemons: self.retry_budgets.daemons, in_flight, now_ms }
    }

    /// Returns the changes of the endpoint list since a version. Endpoints that this daemon knows
    /// to be draining are marked as draining, so that the receiver does not use them either.
    pub fn list_since(&self, version: StoreVersion) -> ListUpdate {
        let mut update = self.listing.changes_since(version);
        for entry in &mut update.written {
            entry.endpoint.is_draining |=
                self.directory.was_draining(&entry.endpoint.incarnation());
        }
        update
    }

    /// Records that a request is being sent to an endpoint, which may crash under it.
    pub fn track_request(&mut self, endpoint: &Endpoint, request: Fingerprint, now_ms: u64) {
        let (incarnation, address) = (endpoint.incarnation(), endpoint.address);
        self.unresolved_requests.sent(&incarnation, address, request, now_ms);
    }

    /// Records that the connection of a request to an endpoint was lost. Returns `None` if the
    /// endpoint was draining or is no longer listed: such an endpoint aborts its running requests
    /// when it stops.
    pub fn connection_lost(
        &mut self,
        endpoint: &Endpoint,
        request: Fingerprint,
        now_ms: u64,
    ) -> Option<ConnectionLoss> {
        let incarnation = endpoint.incarnation();
        if self.is_expected_to_end(&incarnation) {
            return None;
        }
        let is_terminated = !self.directory.contains(&incarnation);
        Some(if is_terminated {
            ConnectionLoss::Terminated
        } else {
            self.unresolved_requests.connection_lost(&incarnation, request, now_ms)
        })
    }

    /// Records that an endpoint is silent on a request that runs there and is sent to another endpoint
    /// besides.
    pub fn endpoint_is_silent(&mut self, endpoint: &Endpoint, head: &RequestHead, now_ms: u64) {
        let incarnation = endpoint.incarnation();
        if self.is_expected_to_end(&incarnation) {
            return;
        }
        for suspect in self.suspects(head, now_ms) {
            self.unresolved_requests.silent(&incarnation, suspect, now_ms);
        }
    }

    /// Records that a request at an endpoint was abandoned, because no caller waits for it.
    /// Returns whether that incarnation is known to have terminated without having announced it.
    pub fn request_abandoned(
        &mut self,
        endpoint: &Endpoint,
        request: Fingerprint,
        now_ms: u64,
    ) -> bool {
        let incarnation = endpoint.incarnation();
        if self.is_expected_to_end(&incarnation) {
            self.unresolved_requests.resolved(&incarnation, request);
            return false;
        }
        self.unresolved_requests.abandoned(&incarnation, request, now_ms)
            || !self.directory.contains(&incarnation)
    }

    /// Records that an incarnation of an endpoint terminated. Returns the requests that may have
    /// caused it, and when each was last sent there.
    pub fn incarnation_terminated(
        &mut self,
        incarnation: &Incarnation,
        evidence: Evidence,
        now_ms: u64,
    ) -> BTreeMap<Fingerprint, u64> {
        let is_planned = match evidence {
            Evidence::Unlisted => self.directory.was_draining(incarnation),
            // An endpoint without an entry stopped without announcing it and has terminated since,
            // or its termination was found earlier.
            _ => self.is_expected_to_end(incarnation),
        };
        match is_planned {
            true => BTreeMap::new(),
            false => self.unresolved_requests.terminated(incarnation, evidence, now_ms),
        }
    }

    /// Returns the incarnations with unresolved requests that terminated according to the list,
    /// without having announced it.
    pub fn terminated_by_list(&self) -> Vec<(Incarnation, Evidence)> {
        let unlisted =
            self.unresolved_requests.unlisted(|incarnation| self.directory.contains(incarnation));
        let unlisted =
            unlisted.into_iter().filter(|incarnation| !self.directory.was_draining(incarnation));
        unlisted
            .map(|incarnation| {
                let is_unlisted = self.directory.get(&incarnation.name).is_none();
                let evidence =
                    if is_unlisted { Evidence::Unlisted } else { Evidence::StartedAgain };
                (incarnation, evidence)
            })
            .collect()
    }

    /// Returns the incarnations that terminated, without having announced it, because another
    /// endpoint now has their address.
    pub fn replaced_by(&self, endpoint: &Endpoint) -> Vec<Incarnation> {
        let mut replaced = self.unresolved_requests.others_at(endpoint.address, &endpoint.name);
        replaced.retain(|incarnation| !self.directory.was_draining(incarnation));
        replaced
    }

    /// Returns whether the termination of an incarnation is expected: it announced draining, or
    /// its entry is gone.
    fn is_expected_to_end(&self, incarnation: &Incarnation) -> bool {
        self.directory.get(&incarnation.name).is_none() || self.directory.was_draining(incarnation)
    }

    /// Records that a check at `checked_ms` got no answer from an endpoint. Returns the requests that
    /// are suspected of having crashed it from now on.
    pub fn endpoint_gave_no_sign(
        &mut self,
        incarnation: &Incarnation,
        checked_ms: u64,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let suspected = self.unresolved_requests.gave_no_sign(incarnation, checked_ms);
        // Silent endpoints would make all requests with a common part run one at a time.
        let suspected: BTreeMap<Fingerprint, u64> =
            suspected.into_iter().filter(|(request, _)| !request.is_part()).collect();
        for (request, sent_ms) in &suspected {
            self.crashes.record_suspicion(*request, incarnation, *sent_ms, now_ms);
        }
        suspected.into_keys().collect()
    }

    /// Records that a check at `checked_ms` found an endpoint alive.
    pub fn endpoint_is_alive(&mut self, incarnation: &Incarnation, checked_ms: u64, now_ms: u64) {
        self.records.gave_sign(&incarnation.name, now_ms);
        let cleared = self.unresolved_requests.confirmed_alive(incarnation, checked_ms);
        self.clear_suspicions(incarnation, &cleared, now_ms);
    }

    /// Records that an endpoint answered a request that was sent at `sent_ms`, over a connection that
    /// was opened at `opened_ms`.
    pub fn endpoint_answered(
        &mut self,
        incarnation: &Incarnation,
        sent_ms: u64,
        opened_ms: u64,
        now_ms: u64,
    ) {
        let cleared = self.unresolved_requests.answered(incarnation, sent_ms, opened_ms);
        self.clear_suspicions(incarnation, &cleared, now_ms);
    }

    fn clear_suspicions(
        &mut self,
        incarnation: &Incarnation,
        requests: &BTreeMap<Fingerprint, u64>,
        now_ms: u64,
    ) {
        for (request, sent_ms) in requests {
            self.crashes.record_survival(*request, incarnation, *sent_ms, now_ms);
        }
    }

    /// Returns the fingerprints to which a crash of an endpoint under this request would be attributed:
    /// that of the request, and those of parts that engines have not lately begun to answer.
    pub fn suspects(&self, head: &RequestHead, now_ms: u64) -> Vec<Fingerprint> {
        let parts = head.part_fingerprints.iter().copied();
        let parts = parts.filter(|part| !self.part_answers.is_recent(*part, now_ms));
        head.fingerprint.into_iter().chain(parts).collect()
    }

    /// Records that an engine has begun to answer a request with these parts, so that they crashed
    /// nothing until now.
    pub fn parts_answered(&mut self, parts: &[Fingerprint], now_ms: u64) {
        for part in parts {
            self.part_answers.record(*part, now_ms);
            self.unresolved_requests.served(*part);
            self.crashes.served(*part, now_ms);
        }
    }

    /// Returns the fingerprint for which a leader must allow an attempt of a restricted request: that
    /// of the part with the most crashes, or else of the request. All attempts of the request have
    /// the part.
    pub fn restricted_fingerprint(&self, head: &RequestHead) -> Option<Fingerprint> {
        let parts = head.part_fingerprints.iter();
        let serial = parts.filter(|part| self.crashes.must_run_serially(**part, 0));
        let most = serial.max_by_key(|part| self.crashes.counted(**part));
        most.copied().or(head.fingerprint)
    }

    /// Records that a request was answered completely. Returns the number of crashes that the
    /// answer clears, if any.
    pub fn served(&mut self, request: Option<Fingerprint>, now_ms: u64) -> Option<usize> {
        let request = request?;
        self.unresolved_requests.served(request);
        self.crashes.served(request, now_ms)
    }

    /// Returns how a request is restricted because of the endpoints that crashed under it, and of
    /// those for which that is unresolved.
    pub fn restriction(&self, head: &RequestHead, now_ms: u64) -> Restriction {
        let Some(request) = head.fingerprint else { return Restriction::None };
        let all = head.part_fingerprints.iter().chain([&request]);
        let rejected = all.filter_map(|one| self.crashes.rejected_for_ms(*one, now_ms));
        if let Some(for_ms) = rejected.max() {
            return Restriction::Rejected { for_ms };
        }
        let mut parts = head.part_fingerprints.iter();
        if parts.any(|part| self.crashes.must_run_serially(*part, 0)) {
            return Restriction::Serial;
        }
        let answered_ms = self.crashes.answered_ms(request);
        let unresolved =
            self.unresolved_requests.unresolved_incarnations(request, answered_ms, now_ms)
                + self.crashes.suspected(request, now_ms);
        // Without a leader, a request with one crash would only wait for answers that do not come.
        let is_tried_at_engine = head.model.is_some()
            && self.has_leader
            && self.crashes.must_run_serially_at_engines(request, now_ms);
        match is_tried_at_engine || self.crashes.must_run_serially(request, unresolved) {
            true => Restriction::Serial,
            false => Restriction::None,
        }
    }

    /// Drops the records of endpoints that are no longer listed.
    pub fn forget_unlisted(&mut self) {
        let live: BTreeSet<EndpointName> =
            self.directory.iter().map(|endpoint| endpoint.name.clone()).collect();
        self.records.retain(|name| live.contains(name));
    }
}
