//! The choice of an endpoint for one request.

use crate::{
    endpoint::{Endpoint, Incarnation},
    local_view::LocalView,
    policy::Mechanism,
    replicas::ReplicaView,
};
use std::collections::BTreeSet;
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};

/// What crossing to another failure domain counts, as a share of an endpoint's
/// slots: half a request on an engine of 64, so that load is evened out first.
const CROSSING_SHARE: f64 = 0.01;

/// Endpoints of which the better one gets a request. All daemons know the same of the others'
/// requests, some 100 ms old: if each took the least loaded of all, they would all take the
/// same one until the next news, and its streams would pause behind the prompts.
const PICKED: usize = 2;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, where the service is one of engines.
    pub model: Option<&'a ModelName>,
    /// The adapter of that model.
    pub adapter: Option<&'a AdapterName>,
    /// Endpoints that it must not go to.
    pub excluded: &'a BTreeSet<EndpointName>,
    /// The only endpoints that it may go to, if it has been to as many as it may.
    pub only: Option<&'a BTreeSet<EndpointName>>,
}

/// What is known when the choice is made.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInputs<'a> {
    /// What this daemon believes.
    pub local_view: &'a LocalView,
    /// What the leader says of the service.
    pub replicas: &'a ReplicaView,
    /// Time on the monotonic clock.
    pub now_ms: u64,
}

/// What an endpoint has asked of this daemon, as far as it says whether a request may go there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Nothing.
    Open,
    /// It names a limit, and a place there may be asked for.
    Limited,
    /// It gets nothing for a time.
    Closed {
        /// For how long.
        for_ms: u64,
    },
}

/// An endpoint that could run a request if it had not asked for less.
#[trestle_macros::plain]
pub struct Throttled {
    /// The endpoint.
    pub incarnation: Incarnation,
    /// Time until it takes the next request.
    pub for_ms: u64,
    /// Whether that is because of a limit.
    pub is_limited: bool,
}

/// The endpoint for a request: of two that can run it, picked by `lot`, the less loaded.
///
/// Endpoints that have named a limit are taken only if there is no other, but for a trial now and
/// then; those that failed lately only if there is none of these either. The lot must differ from
/// request to request and from daemon to daemon.
pub fn choose<'a>(
    known: ChoiceInputs<'a>,
    need: Requirements<'_>,
    lot: u64,
) -> Option<&'a Endpoint> {
    let directory = &known.local_view.directory;
    let able = directory.iter().filter(|endpoint| is_able(&known, &need, endpoint));
    let (mut sound, mut limited, mut avoided) = (Vec::new(), Vec::new(), Vec::new());
    for endpoint in able {
        match standing(&known, endpoint) {
            Standing::Closed { .. } => {}
            _ if !is_sound(&known, endpoint) => avoided.push(endpoint),
            Standing::Limited if is_trial_due(&known, endpoint) => return Some(endpoint),
            Standing::Limited => limited.push(endpoint),
            Standing::Open => sound.push(endpoint),
        }
    }
    let mut picked =
        [sound, limited, avoided].into_iter().find(|some| !some.is_empty()).unwrap_or_default();
    let policy = &known.local_view.policy;
    if policy.has(Mechanism::TwoChoices) {
        picked.sort_by_key(|endpoint| mix(lot, &endpoint.name));
        picked.truncate(PICKED);
    }
    picked.into_iter().min_by(|one, other| cost(&known, one).total_cmp(&cost(&known, other)))
}

/// Whether some endpoint has what a request needs, though it may be full or set aside now.
pub fn is_loaded(known: ChoiceInputs<'_>, need: Requirements<'_>) -> bool {
    let Some(model) = need.model else { return false };
    let mut usable = known.local_view.directory.usable(need.service);
    usable.any(|endpoint| known.replicas.can_run(endpoint, model, need.adapter))
}

/// Whether there is an endpoint for a request that did not fail lately and has asked for nothing.
pub fn has_healthy(known: ChoiceInputs<'_>, need: Requirements<'_>) -> bool {
    let directory = &known.local_view.directory;
    let mut able = directory.iter().filter(|endpoint| is_able(&known, &need, endpoint));
    able.any(|endpoint| is_sound(&known, endpoint) && standing(&known, endpoint) == Standing::Open)
}

/// The endpoint that takes a request soonest, if every one that could run it has asked for less.
pub fn throttled(known: ChoiceInputs<'_>, need: Requirements<'_>) -> Option<Throttled> {
    if known.local_view.backpressure.is_empty() {
        return None;
    }
    let directory = &known.local_view.directory;
    let mut soonest: Option<Throttled> = None;
    for endpoint in directory.iter().filter(|endpoint| is_able(&known, &need, endpoint)) {
        let Standing::Closed { for_ms } = standing(&known, endpoint) else { return None };
        if soonest.as_ref().is_none_or(|soonest| for_ms < soonest.for_ms) {
            let incarnation = endpoint.incarnation();
            let is_limited = known.local_view.backpressure.limit(&incarnation).is_some();
            soonest = Some(Throttled { incarnation, for_ms, is_limited });
        }
    }
    soonest
}

/// Whether a request may be sent to a life of an endpoint at which it has a place.
pub fn accepts_with_permit(
    known: ChoiceInputs<'_>,
    need: Requirements<'_>,
    incarnation: &Incarnation,
) -> bool {
    let endpoint = known.local_view.directory.get(&incarnation.name);
    let endpoint =
        endpoint.filter(|endpoint| endpoint.started_unix_ms == incarnation.started_unix_ms);
    let rests = known.local_view.backpressure.backoff_left_ms(incarnation, known.now_ms).is_some();
    !rests && endpoint.is_some_and(|endpoint| is_able(&known, &need, endpoint))
}

fn standing(known: &ChoiceInputs<'_>, endpoint: &Endpoint) -> Standing {
    let backpressure = &known.local_view.backpressure;
    if backpressure.is_empty() {
        return Standing::Open;
    }
    let incarnation = endpoint.incarnation();
    let in_flight = known.local_view.records.of(&endpoint.name).in_flight;
    let by_rest_ms = backpressure.backoff_closed_for_ms(&incarnation, in_flight, known.now_ms);
    let by_limit_ms = backpressure.limit_closed_for_ms(&incarnation, known.now_ms);
    match by_rest_ms.max(by_limit_ms) {
        Some(for_ms) => Standing::Closed { for_ms },
        None if backpressure.limit(&incarnation).is_some() => Standing::Limited,
        None => Standing::Open,
    }
}

/// Whether a request should try an endpoint with a limit though another could take it.
fn is_trial_due(known: &ChoiceInputs<'_>, endpoint: &Endpoint) -> bool {
    let ChoiceInputs { local_view, now_ms, .. } = known;
    local_view.backpressure.is_trial_due(&endpoint.incarnation(), local_view.daemons, *now_ms)
}

fn is_sound(known: &ChoiceInputs<'_>, endpoint: &Endpoint) -> bool {
    !known.local_view.records.of(&endpoint.name).health.is_avoided(known.now_ms)
}

fn is_able(known: &ChoiceInputs<'_>, need: &Requirements<'_>, endpoint: &Endpoint) -> bool {
    let is_listed = endpoint.service == *need.service && !endpoint.is_draining;
    is_listed
        && !need.excluded.contains(&endpoint.name)
        && need.only.is_none_or(|only| only.contains(&endpoint.name))
        && need.model.is_none_or(|model| has(known, endpoint, model, need.adapter))
}

/// Whether a model, and one of its adapters, is at an endpoint.
fn has(
    known: &ChoiceInputs<'_>,
    endpoint: &Endpoint,
    model: &ModelName,
    adapter: Option<&AdapterName>,
) -> bool {
    known.replicas.can_run(endpoint, model, adapter)
        && !known.local_view.records.is_missing(&endpoint.name, model, adapter, known.now_ms)
}

/// How loaded an endpoint is, as a share of its slots, and how often it fails. The share
/// of failures is squared: a failure now and then moves no load, and an endpoint that
/// fails half of its requests counts like one that is a quarter full.
fn cost(known: &ChoiceInputs<'_>, endpoint: &Endpoint) -> f64 {
    let record = known.local_view.records.of(&endpoint.name);
    let running = known.local_view.running(endpoint);
    let crossing = if endpoint.domain == known.local_view.domain { 0.0 } else { CROSSING_SHARE };
    let fill = f64::from(running) / f64::from(endpoint.slots.max(1));
    fill + crossing + record.failure_share(known.now_ms).powi(2)
}

fn mix(lot: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), lot)
}
