//! Chooses an endpoint for one request.

use crate::{
    endpoint::{Endpoint, Incarnation},
    local_view::LocalView,
    policy::Mechanism,
    record::SignOfLife,
    replicas::ReplicaView,
};
use std::collections::BTreeSet;
use trestle_core::names::{
    AdapterName, DomainName, EndpointName, ModelName, ServiceName, SoftwareVersion,
};

/// Cost of an endpoint in another failure domain, as a share of its slots. On an engine of 64 slots
/// it equals half a request, so that an even load comes before a short path.
const CROSS_DOMAIN_COST: f64 = 0.01;

/// Number of endpoints picked at random, of which the less loaded one gets the request. All daemons
/// have the same view of the other daemons' requests, which is some 100 ms old. If each chose the
/// least loaded endpoint of all, all would choose the same one until the next update, and the
/// streams there would stall behind the prompts.
const CHOICES: usize = 2;

/// Most endpoints among which a leader chooses for one request: few models have more replicas, and the
/// call that names them stays small.
const MAX_CANDIDATES: usize = 16;

/// Which endpoints a request can be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service of the request.
    pub service: &'a ServiceName,
    /// The model; `None` for plain services.
    pub model: Option<&'a ModelName>,
    /// The adapter of that model, if the request names one.
    pub adapter: Option<&'a AdapterName>,
    /// The version of the software that must run the request; `None` if any may.
    pub version: Option<&'a SoftwareVersion>,
    /// Endpoints to which the request must not be sent.
    pub excluded: &'a BTreeSet<EndpointName>,
    /// If set, the only endpoints allowed, since the request has been sent to as many as it may.
    pub only: Option<&'a BTreeSet<EndpointName>>,
}

/// The daemon's knowledge at the time of the choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInputs<'a> {
    /// What this daemon knows.
    pub local_view: &'a LocalView,
    /// The leader's latest report on the service.
    pub replicas: &'a ReplicaView,
    /// Time on the monotonic clock.
    pub now_ms: u64,
}

/// Whether an endpoint accepts requests from this daemon, as far as its own signals tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// The endpoint has reported neither a limit nor a backoff.
    Open,
    /// The endpoint has reported a limit, and a send permit may be requested.
    Limited,
    /// The endpoint accepts no request for now.
    Closed {
        /// Time until it accepts the next one.
        for_ms: u64,
    },
}

/// An endpoint that may be assigned a request.
#[trestle_macros::plain]
pub struct Candidate {
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
}

/// An endpoint that could run a request but accepts none now, by its own limit or backoff.
#[trestle_macros::plain]
pub struct Throttled {
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Time until it accepts the next request.
    pub for_ms: u64,
    /// Whether the endpoint has reported a limit.
    pub is_limited: bool,
    /// Whether the endpoint is brittle and has no slot for this daemon.
    pub is_brittle: bool,
}

/// Returns the endpoint for a request: the less loaded of two eligible ones, picked by `random`.
///
/// Endpoints without a limit come first, then those that have reported one, then those that failed
/// lately. The exception is an occasional trial of a limited endpoint. `random` must differ from
/// request to request and from daemon to daemon.
pub fn choose<'a>(
    inputs: ChoiceInputs<'a>,
    requirements: Requirements<'_>,
    random: u64,
) -> Option<&'a Endpoint> {
    let directory = &inputs.local_view.directory;
    let eligible =
        directory.iter().filter(|endpoint| is_eligible(&inputs, &requirements, endpoint));
    let (mut open, mut limited, mut failing) = (Vec::new(), Vec::new(), Vec::new());
    for endpoint in eligible {
        match availability(&inputs, endpoint) {
            Availability::Closed { .. } => {}
            _ if !is_healthy(&inputs, endpoint) => failing.push(endpoint),
            Availability::Limited if is_trial_due(&inputs, endpoint) => return Some(endpoint),
            Availability::Limited => limited.push(endpoint),
            Availability::Open => open.push(endpoint),
        }
    }
    let mut picked = [open, limited, failing]
        .into_iter()
        .find(|endpoints| !endpoints.is_empty())
        .unwrap_or_default();
    let policy = &inputs.local_view.policy;
    if policy.has(Mechanism::TwoChoices) {
        picked.sort_by_key(|endpoint| hash(random, &endpoint.name));
        picked.truncate(CHOICES);
    }
    picked.into_iter().min_by(|one, other| cost(&inputs, one).total_cmp(&cost(&inputs, other)))
}

/// Returns endpoints among which a leader may choose: those that did not fail lately and have reported
/// neither a limit nor a backoff, at most [`MAX_CANDIDATES`], picked by `random`.
pub fn candidates(
    inputs: ChoiceInputs<'_>,
    requirements: Requirements<'_>,
    random: u64,
) -> Vec<Candidate> {
    let directory = &inputs.local_view.directory;
    let open = directory.iter().filter(|endpoint| {
        is_eligible(&inputs, &requirements, endpoint)
            && is_healthy(&inputs, endpoint)
            && availability(&inputs, endpoint) == Availability::Open
    });
    let mut open: Vec<&Endpoint> = open.collect();
    if open.len() > MAX_CANDIDATES {
        open.sort_by_key(|endpoint| hash(random, &endpoint.name));
        open.truncate(MAX_CANDIDATES);
    }
    let candidate = |endpoint: &Endpoint| Candidate {
        incarnation: endpoint.incarnation(),
        domain: endpoint.domain.clone(),
    };
    open.into_iter().map(candidate).collect()
}

/// Returns whether some endpoint has the model and adapter of a request, even if it is full or
/// excluded now.
pub fn is_loaded(inputs: ChoiceInputs<'_>, requirements: Requirements<'_>) -> bool {
    let Some(model) = requirements.model else { return false };
    let mut usable = inputs.local_view.directory.usable(requirements.service);
    usable.any(|endpoint| {
        runs_version(&requirements, endpoint)
            && inputs.replicas.can_run(endpoint, model, requirements.adapter)
    })
}

/// Returns whether an eligible endpoint exists that did not fail lately and has reported neither a
/// limit nor a backoff.
pub fn has_healthy(inputs: ChoiceInputs<'_>, requirements: Requirements<'_>) -> bool {
    let directory = &inputs.local_view.directory;
    let mut eligible =
        directory.iter().filter(|endpoint| is_eligible(&inputs, &requirements, endpoint));
    eligible.any(|endpoint| {
        is_healthy(&inputs, endpoint) && availability(&inputs, endpoint) == Availability::Open
    })
}

/// Returns the endpoint that accepts a request soonest if none of the eligible ones accepts it now.
///
/// Returns `None` if one accepts it or has a limit for which a send permit may be requested, or if
/// none is eligible.
pub fn throttled(inputs: ChoiceInputs<'_>, requirements: Requirements<'_>) -> Option<Throttled> {
    if inputs.local_view.backpressure.is_empty() && inputs.local_view.brittle.is_empty() {
        return None;
    }
    let directory = &inputs.local_view.directory;
    let mut soonest: Option<Throttled> = None;
    for endpoint in
        directory.iter().filter(|endpoint| is_eligible(&inputs, &requirements, endpoint))
    {
        let Availability::Closed { for_ms } = availability(&inputs, endpoint) else { return None };
        if soonest.as_ref().is_none_or(|soonest| for_ms < soonest.for_ms) {
            let incarnation = endpoint.incarnation();
            let is_limited = inputs.local_view.backpressure.limit(&incarnation).is_some();
            let state = inputs.local_view.daemon_state(endpoint, inputs.now_ms);
            let is_brittle = inputs.local_view.brittle.closed_for_ms(endpoint, state).is_some();
            soonest = Some(Throttled { incarnation, for_ms, is_limited, is_brittle });
        }
    }
    soonest
}

/// Returns whether a request that holds a send permit of this incarnation may be sent to it.
pub fn accepts_with_permit(
    inputs: ChoiceInputs<'_>,
    requirements: Requirements<'_>,
    incarnation: &Incarnation,
) -> bool {
    let endpoint = inputs.local_view.directory.get(&incarnation.name);
    let endpoint =
        endpoint.filter(|endpoint| endpoint.started_unix_ms == incarnation.started_unix_ms);
    let is_backing_off =
        inputs.local_view.backpressure.backoff_left_ms(incarnation, inputs.now_ms).is_some();
    !is_backing_off
        && endpoint.is_some_and(|endpoint| is_eligible(&inputs, &requirements, endpoint))
}

fn availability(inputs: &ChoiceInputs<'_>, endpoint: &Endpoint) -> Availability {
    let ChoiceInputs { local_view, now_ms, .. } = inputs;
    let state = local_view.daemon_state(endpoint, *now_ms);
    if let Some(for_ms) = local_view.brittle.closed_for_ms(endpoint, state) {
        return Availability::Closed { for_ms };
    }
    let backpressure = &local_view.backpressure;
    if backpressure.is_empty() {
        return Availability::Open;
    }
    let incarnation = endpoint.incarnation();
    let in_flight = inputs.local_view.records.of(&endpoint.name).in_flight;
    let backoff_ms = backpressure.backoff_closed_for_ms(&incarnation, in_flight, inputs.now_ms);
    let limit_ms = backpressure.limit_closed_for_ms(&incarnation, inputs.now_ms);
    match backoff_ms.max(limit_ms) {
        Some(for_ms) => Availability::Closed { for_ms },
        None if backpressure.limit(&incarnation).is_some() => Availability::Limited,
        None => Availability::Open,
    }
}

/// Returns whether a request should try a limited endpoint although another one could run it.
fn is_trial_due(inputs: &ChoiceInputs<'_>, endpoint: &Endpoint) -> bool {
    let ChoiceInputs { local_view, now_ms, .. } = inputs;
    local_view.backpressure.is_trial_due(
        &endpoint.incarnation(),
        local_view.retry_budgets.daemons,
        *now_ms,
    )
}

/// An endpoint whose answers are lost on the way looks like one that is only slow, until it does not
/// answer a check either.
fn is_healthy(inputs: &ChoiceInputs<'_>, endpoint: &Endpoint) -> bool {
    let record = inputs.local_view.records.of(&endpoint.name);
    let is_silent = record.sign_of_life(inputs.now_ms) == SignOfLife::Missing;
    !is_silent && !record.health.is_avoided(inputs.now_ms)
}

fn is_eligible(
    inputs: &ChoiceInputs<'_>,
    requirements: &Requirements<'_>,
    endpoint: &Endpoint,
) -> bool {
    let is_listed = endpoint.service == *requirements.service && !endpoint.is_draining;
    is_listed
        && runs_version(requirements, endpoint)
        && !requirements.excluded.contains(&endpoint.name)
        && requirements.only.is_none_or(|only| only.contains(&endpoint.name))
        && requirements
            .model
            .is_none_or(|model| holds(inputs, endpoint, model, requirements.adapter))
}

fn runs_version(requirements: &Requirements<'_>, endpoint: &Endpoint) -> bool {
    requirements.version.is_none_or(|version| endpoint.software_version.as_ref() == Some(version))
}

/// Returns whether an endpoint has a model, and the adapter if one is given.
fn holds(
    inputs: &ChoiceInputs<'_>,
    endpoint: &Endpoint,
    model: &ModelName,
    adapter: Option<&AdapterName>,
) -> bool {
    inputs.replicas.can_run(endpoint, model, adapter)
        && !inputs.local_view.records.is_missing(&endpoint.name, model, adapter, inputs.now_ms)
}

/// Returns the cost of sending to an endpoint: its load, as a share of its slots, plus its share of
/// failures squared. Squared, an occasional failure moves no load, and an endpoint that fails half
/// of its requests counts like one that is a quarter full.
fn cost(inputs: &ChoiceInputs<'_>, endpoint: &Endpoint) -> f64 {
    let record = inputs.local_view.records.of(&endpoint.name);
    let running = inputs.local_view.running(endpoint);
    let cross_domain =
        if endpoint.domain == inputs.local_view.domain { 0.0 } else { CROSS_DOMAIN_COST };
    let fill = f64::from(running) / f64::from(endpoint.slots.max(1));
    fill + cross_domain + record.failure_share(inputs.now_ms).powi(2)
}

fn hash(random: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), random)
}
