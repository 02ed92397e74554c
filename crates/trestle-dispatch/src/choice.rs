//! Chooses an endpoint for one request.

use crate::{
    endpoint::{Endpoint, Incarnation},
    local_view::LocalView,
    policy::Mechanism,
    replicas::ReplicaView,
};
use std::collections::BTreeSet;
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};

/// Cost of an endpoint in another failure domain, as a share of its slots. On an engine of 64 slots
/// it equals half a request, so that an even load comes before a short path.
const CROSSING_SHARE: f64 = 0.01;

/// Number of endpoints picked at random, of which the less loaded one gets the request. All daemons
/// have the same view of the other daemons' requests, which is some 100 ms old. If each chose the
/// least loaded endpoint of all, all would choose the same one until the next update, and the
/// streams there would stall behind the prompts.
const PICKED: usize = 2;

/// Which endpoints a request can be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service of the request.
    pub service: &'a ServiceName,
    /// The model; `None` for plain services.
    pub model: Option<&'a ModelName>,
    /// The adapter of that model, if the request names one.
    pub adapter: Option<&'a AdapterName>,
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
enum Standing {
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

/// An endpoint that could run a request but accepts none now, by its own limit or backoff.
#[trestle_macros::plain]
pub struct Throttled {
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Time until it accepts the next request.
    pub for_ms: u64,
    /// Whether the endpoint has reported a limit.
    pub is_limited: bool,
}

/// Returns the endpoint for a request: the less loaded of two eligible ones, picked by `random`.
///
/// Endpoints without a limit come first, then those that have reported one, then those that failed
/// lately. The exception is an occasional trial of a limited endpoint. `random` must differ from
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

/// Returns whether some endpoint has the model and adapter of a request, even if it is full or
/// excluded now.
pub fn is_loaded(known: ChoiceInputs<'_>, need: Requirements<'_>) -> bool {
    let Some(model) = need.model else { return false };
    let mut usable = known.local_view.directory.usable(need.service);
    usable.any(|endpoint| known.replicas.can_run(endpoint, model, need.adapter))
}

/// Returns whether an eligible endpoint exists that did not fail lately and has reported neither a
/// limit nor a backoff.
pub fn has_healthy(known: ChoiceInputs<'_>, need: Requirements<'_>) -> bool {
    let directory = &known.local_view.directory;
    let mut able = directory.iter().filter(|endpoint| is_able(&known, &need, endpoint));
    able.any(|endpoint| is_sound(&known, endpoint) && standing(&known, endpoint) == Standing::Open)
}

/// Returns the endpoint that accepts a request soonest if none of the eligible ones accepts it now.
///
/// Returns `None` if one accepts it, or if none is eligible.
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

/// Returns whether a request that holds a send permit of this incarnation may be sent to it.
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

/// Returns whether a request should try a limited endpoint although another one could run it.
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

/// Returns whether an endpoint has a model, and the adapter if one is given.
fn has(
    known: &ChoiceInputs<'_>,
    endpoint: &Endpoint,
    model: &ModelName,
    adapter: Option<&AdapterName>,
) -> bool {
    known.replicas.can_run(endpoint, model, adapter)
        && !known.local_view.records.is_absent(&endpoint.name, model, adapter, known.now_ms)
}

/// Returns the cost of sending to an endpoint: its load, as a share of its slots, plus its share of
/// failures squared. Squared, an occasional failure moves no load, and an endpoint that fails half
/// of its requests counts like one that is a quarter full.
fn cost(known: &ChoiceInputs<'_>, endpoint: &Endpoint) -> f64 {
    let record = known.local_view.records.of(&endpoint.name);
    let running = known.local_view.running(endpoint);
    let crossing = if endpoint.domain == known.local_view.domain { 0.0 } else { CROSSING_SHARE };
    let fill = f64::from(running) / f64::from(endpoint.slots.max(1));
    fill + crossing + record.failed_share(known.now_ms).powi(2)
}

fn mix(lot: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), lot)
}
