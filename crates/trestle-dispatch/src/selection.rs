//! Decides whether a request is sent to an endpoint, waits, or is refused.
//!
//! A request that may crash endpoints is sent only to one that has just given a sign of life. Its
//! answer, or the crash, then becomes known; at an endpoint whose answers are lost, neither would,
//! and the next attempt might crash another endpoint.

use crate::{
    admission::{self, Admission, Forecast, Reason, Wait},
    choice::{self, Candidate, ChoiceInputs, Requirements, Throttled},
    endpoint::{Endpoint, Incarnation},
    loadable::Loadable,
    local_demand::PendingDemand,
    local_view::{LocalView, Restriction},
    policy::{Mechanism, Policy},
    record::SignOfLife,
    replicas::ReplicaView,
    request::RequestHead,
    route::Route,
    sends::{Allowed, Sends},
};
use std::collections::BTreeSet;
use trestle_core::names::{EndpointName, ServiceName, SoftwareVersion};

/// Retry delay given to the caller of a plain service that has no endpoint left to try.
const PLAIN_RETRY_MS: u64 = 300;
/// Retry delay given to callers while no endpoint answers that could run a request which may crash
/// endpoints: about the time between two checks of such endpoints.
pub const NO_SIGN_RETRY_MS: u64 = 1_000;
/// Retry delay given to callers whose stream began at a version that no endpoint with the model
/// runs now: about the time until an endpoint that crashed has started again, or has loaded a model.
const VERSION_RETRY_MS: u64 = 2_000;
/// Part of the route's objective for which a request waits for a slot of a brittle endpoint: slots
/// become free one after the other, so most requests get one soon or none in time.
const SLOT_WAIT_PART: u64 = 3;
/// Time after a refused caller's announced retry for which the demand for its model is kept.
const RETURN_GRACE_MS: u64 = 1_500;

/// A request and its state, as input of [`select`].
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// The route of the request.
    pub route: &'a Route,
    /// The service behind the route to which the request is sent.
    pub service: &'a ServiceName,
    /// The head of the request.
    pub head: &'a RequestHead,
    /// Time from the arrival of the request until its final answer is due.
    pub allowed_ms: u64,
    /// Time since the arrival of the request.
    pub elapsed_ms: u64,
    /// The number of the request's pending demand; `None` while it does not wait.
    pub demand_id: Option<u64>,
    /// The version of the software that began the stream; `None` if any may run the request.
    pub version: Option<&'a SoftwareVersion>,
    /// Whether the leader allows this attempt although endpoints may have crashed under the
    /// request.
    pub is_trial: bool,
    /// Whether the limit of the request's team has been charged for it.
    pub has_quota: bool,
    /// The incarnation of the engine that a leader assigned the request to, if any.
    pub assignment: Option<&'a Incarnation>,
    /// Whether leaders were asked in vain which engine reads the prompt.
    pub is_unscheduled: bool,
    /// The incarnation of a limited endpoint that has granted a send permit for the request, if
    /// any.
    pub send_permit: Option<&'a Incarnation>,
}

/// The decision on a request.
#[trestle_macros::plain]
pub enum Selection {
    /// The request is sent to this endpoint.
    Send(Endpoint),
    /// This endpoint could run the request, which may crash endpoints, but it must first show that its
    /// answers reach this daemon.
    CheckEndpoint(Endpoint),
    /// An endpoint can run the request, but the leader must allow the attempt first, since
    /// endpoints may have crashed under the request.
    RequestTrial,
    /// An endpoint can run the request, but the limit of its team must be charged first.
    ChargeQuota,
    /// This endpoint can run the request, but it has reported a limit, so a send permit must be
    /// requested first.
    RequestSendPermit(Endpoint),
    /// This endpoint can run the request, but it is brittle, so a slot must be requested first.
    RequestSlot(Endpoint),
    /// These engines can run the request, and a leader must decide which of them reads its prompt, and
    /// when.
    Schedule(Vec<Candidate>),
    /// Every endpoint that can run the request limits its load and accepts none now; the request is
    /// refused.
    Throttled(Throttled),
    /// The request waits for a change of what the daemon knows.
    Wait {
        /// Latest end of the wait, as time since the arrival of the request.
        until_ms: u64,
    },
    /// The request is refused.
    Refuse {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
        /// Why the request is refused; `None` for requests of plain services.
        reason: Option<Reason>,
    },
}

/// Returns the decision on a request.
///
/// `random` must differ from request to request and from daemon to daemon, or all of them choose
/// the same endpoint.
pub fn select(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    sends: &Sends,
    random: u64,
    now_ms: u64,
) -> Selection {
    let restriction = local_view.restriction(request.head, now_ms);
    // Any attempt of this request crashes an endpoint, with everything else that runs there.
    if let Restriction::Rejected { for_ms } = restriction {
        return Selection::Refuse { retry_after_ms: for_ms, reason: Some(Reason::EndsEndpoints) };
    }
    let is_serial = restriction == Restriction::Serial;
    let has_sign = |local_view: &LocalView, name: &EndpointName| {
        local_view.records.of(name).sign_of_life(now_ms) == SignOfLife::Recent
    };
    let (without_sign, silent) = match is_serial {
        true => {
            let names = local_view.directory.iter().map(|endpoint| &endpoint.name);
            let without_sign = names.filter(|name| !has_sign(local_view, name)).cloned();
            (without_sign.collect(), local_view.records.silent(now_ms).cloned().collect())
        }
        false => (BTreeSet::new(), BTreeSet::new()),
    };
    let mut choose = |excluded: &BTreeSet<EndpointName>| {
        choose_allowed(local_view, request, sends, excluded, random, now_ms)
    };
    let chosen = choose(&without_sign);
    if chosen.is_none()
        && is_serial
        && let Some(endpoint) = choose(&silent)
    {
        return Selection::CheckEndpoint(endpoint);
    }
    if let Some(endpoint) = chosen {
        let needs_trial = !restriction.allows(request.is_trial);
        let incarnation = endpoint.incarnation();
        let has_permit = request.send_permit == Some(&incarnation);
        let needs_permit = local_view.backpressure.limit(&incarnation).is_some() && !has_permit;
        let needs_slot = local_view.brittle.needs_slot(&endpoint, now_ms) && !has_permit;
        return match (needs_trial, request.has_quota) {
            (true, _) => Selection::RequestTrial,
            // The leader that decides on a prompt charges the limit, too.
            (false, false) if !has_permit && !is_serial && !needs_permit && !needs_slot => {
                match schedule_or_send(local_view, request, sends, endpoint, random, now_ms) {
                    Selection::Send(_) => Selection::ChargeQuota,
                    schedule => schedule,
                }
            }
            (false, false) => Selection::ChargeQuota,
            (false, true) if needs_permit => Selection::RequestSendPermit(endpoint),
            (false, true) if needs_slot => Selection::RequestSlot(endpoint),
            (false, true) if has_permit || is_serial => Selection::Send(endpoint),
            (false, true) => schedule_or_send(local_view, request, sends, endpoint, random, now_ms),
        };
    }
    if !silent.is_empty() && choose(&BTreeSet::new()).is_some() {
        let reason = Some(Reason::NoSignOfLife);
        return Selection::Refuse { retry_after_ms: NO_SIGN_RETRY_MS, reason };
    }
    let everywhere = sends.allowed_at_all(request.route);
    if let Some(throttled) = query(local_view, request, &everywhere, now_ms, choice::throttled) {
        let wait_ms = request.route.objective_ms / SLOT_WAIT_PART;
        let until_ms = request.elapsed_ms + throttled.for_ms;
        return match throttled.is_brittle && until_ms < wait_ms {
            true => Selection::Wait { until_ms },
            false if throttled.is_brittle => {
                let for_ms = throttled.for_ms.max(PLAIN_RETRY_MS);
                Selection::Throttled(Throttled { for_ms, ..throttled })
            }
            false => Selection::Throttled(throttled),
        };
    }
    if request.head.model.is_none() {
        return Selection::Refuse { retry_after_ms: PLAIN_RETRY_MS, reason: None };
    }
    // Leaders load models without regard to versions, so waiting would be in vain.
    if request.version.is_some()
        && !query(local_view, request, &Allowed::everywhere(), now_ms, choice::is_loaded)
    {
        let reason = Some(Reason::VersionMissing);
        return Selection::Refuse { retry_after_ms: VERSION_RETRY_MS, reason };
    }
    match wait_or_refuse(local_view, request, now_ms) {
        Admission::Wait { until_ms } => Selection::Wait { until_ms },
        Admission::Refuse { retry_after_ms, reason } => {
            Selection::Refuse { retry_after_ms, reason: Some(reason) }
        }
    }
}

/// Returns that a request is sent to the chosen endpoint, or that a leader must decide first.
fn schedule_or_send(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    sends: &Sends,
    chosen: Endpoint,
    random: u64,
    now_ms: u64,
) -> Selection {
    let is_assigned = request.assignment == Some(&chosen.incarnation());
    let is_decided = is_assigned || request.is_unscheduled;
    if is_decided || !local_view.needs_schedule(request.service, request.route, request.head) {
        return Selection::Send(chosen);
    }
    let allowed = sends.allowed(request.route, now_ms);
    let candidates = |inputs: ChoiceInputs<'_>, requirements: Requirements<'_>| {
        choice::candidates(inputs, requirements, random)
    };
    let candidates = query(local_view, request, &allowed, now_ms, candidates);
    match candidates.is_empty() {
        true => Selection::Send(chosen),
        false => Selection::Schedule(candidates),
    }
}

/// Returns whether an endpoint other than those at which the request runs looks able to run it now, and
/// the retry budget allows the send. The endpoint may still reject the request.
pub fn has_alternative(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    sends: &Sends,
    now_ms: u64,
) -> bool {
    if !local_view.retry_budgets.has_room(request.service, now_ms) {
        return false;
    }
    let allowed = sends.allowed(request.route, now_ms);
    query(local_view, request, &allowed, now_ms, choice::has_healthy)
}

/// Returns what a request waits for, or `None` if it names no model. `due_ms` is a time on the
/// daemon's clock.
pub fn pending_demand(request: RequestContext<'_>, due_ms: u64) -> Option<PendingDemand> {
    let model = request.head.model.clone()?;
    let adapter = request.head.adapter.clone();
    Some(PendingDemand {
        priority: request.route.priority,
        due_ms,
        model,
        adapter,
        first_report: None,
        ready_ms: None,
    })
}

/// Returns the demand expected from a caller that was told to retry; `None` if the policy keeps
/// none or the request names no model.
pub fn returning_demand(
    policy: &Policy,
    request: RequestContext<'_>,
    retry_after_ms: u64,
    now_ms: u64,
) -> Option<PendingDemand> {
    let is_kept = policy.has(Mechanism::KeepForReturning);
    pending_demand(request, now_ms + retry_after_ms + RETURN_GRACE_MS).filter(|_| is_kept)
}

/// Returns the endpoint for the next send, other than the `excluded` ones.
fn choose_allowed(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    sends: &Sends,
    excluded: &BTreeSet<EndpointName>,
    random: u64,
    now_ms: u64,
) -> Option<Endpoint> {
    let mut choose = |mut allowed: Allowed| {
        allowed.excluded.extend(excluded.iter().cloned());
        let chosen = |inputs: ChoiceInputs<'_>, requirements: Requirements<'_>| {
            let mut decided = request.send_permit.into_iter().chain(request.assignment);
            let permit = decided
                .find(|incarnation| choice::accepts_with_permit(inputs, requirements, incarnation));
            match permit {
                Some(incarnation) => inputs.local_view.directory.get(&incarnation.name).cloned(),
                None => choice::choose(inputs, requirements, random).cloned(),
            }
        };
        query(local_view, request, &allowed, now_ms, chosen)
    };
    let chosen = choose(sends.allowed(request.route, now_ms));
    chosen.or_else(|| choose(sends.allowed_again(request.route)?))
}

/// Calls `query` with the daemon's present knowledge and the requirements of the request.
fn query<R>(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    allowed: &Allowed,
    now_ms: u64,
    query: impl FnOnce(ChoiceInputs<'_>, Requirements<'_>) -> R,
) -> R {
    let requirements = Requirements {
        service: request.service,
        model: request.head.model.as_ref(),
        adapter: request.head.adapter.as_ref(),
        version: request.version,
        excluded: &allowed.excluded,
        only: allowed.only.as_ref(),
    };
    local_view.directory.drop_lapsed(now_ms);
    let no_replicas = ReplicaView::default();
    let replicas = local_view.replicas.get(request.service).unwrap_or(&no_replicas);
    query(ChoiceInputs { local_view, replicas, now_ms }, requirements)
}

/// Decides whether a request that no endpoint can run now waits or is refused.
fn wait_or_refuse(
    local_view: &mut LocalView,
    request: RequestContext<'_>,
    now_ms: u64,
) -> Admission {
    let RequestContext { route, elapsed_ms, allowed_ms, .. } = request;
    let wait = match local_view.policy.has(Mechanism::WaitWhileCallerStays) {
        true => Wait::new(route, elapsed_ms, allowed_ms),
        false => Wait::within_objective(route, elapsed_ms, allowed_ms),
    };
    admission::decide(wait, forecast(local_view, request, now_ms))
}

/// Returns when the model of a request is expected to be ready.
fn forecast(local_view: &mut LocalView, request: RequestContext<'_>, now_ms: u64) -> Forecast {
    let Some(model) = &request.head.model else { return Forecast::Unknown };
    if !local_view.has_leader {
        if query(local_view, request, &Allowed::everywhere(), now_ms, choice::is_loaded) {
            return Forecast::Here { for_ms: ready_for_ms(local_view, request, now_ms) };
        }
        let is_awaited = local_view.policy.has(Mechanism::AwaitLeader);
        let in_ms = local_view.leader_recovery_ms(now_ms).filter(|_| is_awaited);
        return in_ms.map_or(Forecast::Unknown, |in_ms| Forecast::Ready { in_ms });
    }
    let loadable = Loadable::new(model, request.head.adapter.as_ref());
    let ready_in_ms = local_view.ready_in_ms(request.service, &loadable, now_ms);
    match ready_in_ms {
        Some(0) => return Forecast::Here { for_ms: ready_for_ms(local_view, request, now_ms) },
        Some(in_ms) => return Forecast::Ready { in_ms },
        None => {}
    }
    let local_demand = local_view.local_demand.get(request.service);
    let is_planned = local_demand
        .zip(request.demand_id)
        .is_some_and(|(local_demand, demand_id)| local_demand.is_planned(demand_id));
    if is_planned { Forecast::Unknown } else { Forecast::NotReported }
}

/// Returns for how long the leader has reported the model as ready while this request waits for it.
fn ready_for_ms(local_view: &mut LocalView, request: RequestContext<'_>, now_ms: u64) -> u64 {
    let waiting = &mut local_view.local_demand_for(request.service).waiting;
    let demand = request.demand_id.and_then(|demand_id| waiting.get_mut(&demand_id));
    let ready_ms = demand.map(|demand| *demand.ready_ms.get_or_insert(now_ms));
    ready_ms.map_or(0, |ready_ms| now_ms.saturating_sub(ready_ms))
}
