//! The choice of an endpoint for one request.

use crate::{beliefs::Beliefs, endpoint::Endpoint, policy::Mechanism, replicas::ReplicaView};
use std::collections::BTreeSet;
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};

/// What crossing to another failure domain counts, as a share of an endpoint's
/// slots: half a request on an engine of 64, so that load is evened out first.
const CROSSING_SHARE: f64 = 0.01;

/// Part of its slots that an engine may have queued beyond them and still gets requests. Engines
/// queue a few and refuse the rest: 256 engines refused 973 sends in 15 s without a bound, 182
/// with it.
const QUEUED_PART: u32 = 4;

/// Endpoints of which the better one gets a request. All daemons know the same of the others'
/// requests, some 100 ms old: if each took the least loaded of all, they would all take the
/// same one until the next news, and its streams would pause behind the prompts.
const PICKED: usize = 2;

/// Time in which a crowded engine ends one of its requests, until it is known how long they run:
/// 170 ms at twelve slots, 30 ms at 64.
const FIRST_PLACE_MS: f64 = 100.0;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
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
    /// Time for which it may wait in an engine's queue and still be on time.
    pub queue_ms: u64,
    /// Its urgency; 0 goes first.
    pub priority: u8,
}

/// What is known when the choice is made.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// What this daemon believes.
    pub beliefs: &'a Beliefs,
    /// What the leader says of the service.
    pub replicas: &'a ReplicaView,
    /// Time on the monotonic clock.
    pub now_ms: u64,
}

/// The endpoint for a request: of two that can run it, picked by `lot`, the less loaded.
///
/// Endpoints that failed lately are taken only if there is no other. The lot must differ
/// from request to request and from daemon to daemon.
pub fn choose<'a>(known: Known<'a>, need: Need<'_>, lot: u64) -> Option<&'a Endpoint> {
    let directory = &known.beliefs.directory;
    let able = directory.iter().filter(|endpoint| is_able(&known, &need, endpoint));
    let (sound, avoided): (Vec<_>, Vec<_>) = able.partition(|endpoint| is_sound(&known, endpoint));
    let mut picked = if sound.is_empty() { avoided } else { sound };
    picked.retain(|endpoint| !is_full(&known, &need, endpoint));
    let policy = &known.beliefs.policy;
    if policy.has(Mechanism::TwoChoices) {
        picked.sort_by_key(|endpoint| mix(lot, &endpoint.name));
        picked.truncate(PICKED);
    }
    picked.into_iter().min_by(|one, other| cost(&known, one).total_cmp(&cost(&known, other)))
}

/// Whether some endpoint has what a request needs, though it may be full or set aside now.
pub fn is_here(known: Known<'_>, need: Need<'_>) -> bool {
    let Some(model) = need.model else { return false };
    let mut usable = known.beliefs.directory.usable(need.service);
    usable.any(|endpoint| known.replicas.can_run(endpoint, model, need.adapter))
}

/// Whether there is an endpoint for a request that did not fail lately and has room.
pub fn has_sound(known: Known<'_>, need: Need<'_>) -> bool {
    let directory = &known.beliefs.directory;
    let mut able = directory.iter().filter(|endpoint| is_able(&known, &need, endpoint));
    able.any(|endpoint| is_sound(&known, endpoint) && !is_full(&known, &need, endpoint))
}

/// Time until one of the engines that have a request's model has room for it, as far as is known
/// here; `None` where none has it.
pub fn room_in_ms(known: Known<'_>, need: Need<'_>) -> Option<u64> {
    let model = need.model?;
    let usable = known.beliefs.directory.usable(need.service);
    let hosts = usable.filter(|endpoint| known.replicas.can_run(endpoint, model, need.adapter));
    hosts.map(|endpoint| room_at_in_ms(&known, &need, endpoint)).min()
}

/// Whether an engine would have to queue a further request for so long that it is late.
fn is_full(known: &Known<'_>, need: &Need<'_>, endpoint: &Endpoint) -> bool {
    need.model.is_some() && room_at_in_ms(known, need, endpoint) > 0
}

/// Time until an engine has room for a request; 0 if it has now.
fn room_at_in_ms(known: &Known<'_>, need: &Need<'_>, endpoint: &Endpoint) -> u64 {
    if !known.beliefs.policy.has(Mechanism::RoomAtEngines) {
        return 0;
    }
    let slots = endpoint.slots.max(1);
    let asked = known.beliefs.asked.get(need.service);
    // Until one has ended, engines' own queues are the only bound.
    let place_ms = asked.and_then(|asked| {
        let ahead_part = asked.urgency.part_ahead_of(need.priority);
        Some(asked.run_ms()? / f64::from(slots) * ahead_part)
    });
    let in_time = place_ms.map_or(u32::MAX, |place_ms| (need.queue_ms as f64 / place_ms) as u32);
    let most = slots + in_time.min(slots / QUEUED_PART);
    // What the last leader counted is not brought up to date any more.
    let running = match known.beliefs.has_leader {
        true => known.beliefs.running(endpoint),
        false => known.beliefs.records.of(&endpoint.name).in_flight,
    };
    if running < most {
        return 0;
    }
    let ahead = f64::from(running - most + 1);
    (ahead * place_ms.unwrap_or(FIRST_PLACE_MS)).ceil() as u64
}

fn is_sound(known: &Known<'_>, endpoint: &Endpoint) -> bool {
    !known.beliefs.records.of(&endpoint.name).health.is_avoided(known.now_ms)
}

fn is_able(known: &Known<'_>, need: &Need<'_>, endpoint: &Endpoint) -> bool {
    let is_listed = endpoint.service == *need.service && !endpoint.is_leaving;
    is_listed
        && !need.excluded.contains(&endpoint.name)
        && need.only.is_none_or(|only| only.contains(&endpoint.name))
        && need.model.is_none_or(|model| has(known, endpoint, model, need.adapter))
}

/// Whether a model, and one of its adapters, is at an endpoint.
fn has(
    known: &Known<'_>,
    endpoint: &Endpoint,
    model: &ModelName,
    adapter: Option<&AdapterName>,
) -> bool {
    known.replicas.can_run(endpoint, model, adapter)
        && !known.beliefs.records.is_absent(&endpoint.name, model, adapter, known.now_ms)
}

/// How loaded an endpoint is, as a share of its slots, and how often it fails. The share
/// of failures is squared: a failure now and then moves no load, and an endpoint that
/// fails half of its requests counts like one that is a quarter full.
fn cost(known: &Known<'_>, endpoint: &Endpoint) -> f64 {
    let record = known.beliefs.records.of(&endpoint.name);
    let running = known.beliefs.running(endpoint);
    let crossing = if endpoint.domain == known.beliefs.domain { 0.0 } else { CROSSING_SHARE };
    let fill = f64::from(running) / f64::from(endpoint.slots.max(1));
    fill + crossing + record.failed_share(known.now_ms).powi(2)
}

fn mix(lot: u64, name: &EndpointName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), lot)
}
