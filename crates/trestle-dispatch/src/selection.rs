//! What becomes of one request now: it goes to an endpoint, waits, or is refused.

use crate::{
    admission::{self, Admission, Forecast, Reason, Wait},
    choice::{self, ChoiceInputs, Requirements, Throttled},
    endpoint::{Endpoint, Incarnation},
    loadable::Loadable,
    local_demand::PendingDemand,
    local_view::LocalView,
    policy::{Mechanism, Policy},
    replicas::ReplicaView,
    request::RequestHead,
    route::Route,
    sends::{Allowed, Sends},
};
use std::collections::BTreeSet;
use trestle_core::names::ServiceName;

/// When a caller should come back if a plain service has no endpoint left to try.
const PLAIN_RETRY_MS: u64 = 300;
/// Time beyond its return for which a refused caller's model is still kept.
const EXPECTED_MS: u64 = 1_500;

/// One request, as selection looks at it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service behind the route that it goes to.
    pub service: &'a ServiceName,
    /// Its head.
    pub head: &'a RequestHead,
    /// Time from its arrival until its final answer is due.
    pub allowed_ms: u64,
    /// Time since its arrival.
    pub elapsed_ms: u64,
    /// The number of its wish, while it waits.
    pub demand_id: Option<u64>,
    /// Whether it may run although endpoints may have ended under it.
    pub is_trial: bool,
    /// Whether its team's limit allows it.
    pub has_quota: bool,
    /// The life of an endpoint with a limit that has a place for it.
    pub send_permit: Option<&'a Incarnation>,
}

/// What becomes of a request now.
#[trestle_macros::plain]
pub enum Selection {
    /// It goes to this endpoint.
    Send(Endpoint),
    /// There is an endpoint for it; whether it may run has to be asked for, since endpoints may
    /// have ended under it.
    RequestTrial,
    /// There is an endpoint for it; it has to be taken from its team's limit first.
    ChargeQuota,
    /// This endpoint could run it, and has named a limit; a place there has to be asked for first.
    RequestSendPermit(Endpoint),
    /// Every endpoint that could run it has asked for less; it is refused now.
    Throttled(Throttled),
    /// It waits for a change of what is known, at most until this long after its arrival.
    Wait {
        /// When waiting must end, from its arrival.
        until_ms: u64,
    },
    /// It is refused now.
    Refuse {
        /// When the caller should come back.
        retry_after_ms: u64,
        /// Why, where it is about a model.
        reason: Option<Reason>,
    },
}

/// Decides on a request. The lot must differ from request to request and from daemon to daemon.
pub fn select(
    local_view: &mut LocalView,
    asking: RequestContext<'_>,
    sends: &Sends,
    lot: u64,
    now_ms: u64,
) -> Selection {
    // Whoever sends it ends an endpoint, with all that runs there.
    if let Some(retry_after_ms) = local_view.rejected_for_ms(asking.head.fingerprint, now_ms) {
        return Selection::Refuse { retry_after_ms, reason: Some(Reason::EndsEndpoints) };
    }
    if let Some(endpoint) = choose_allowed(local_view, asking, sends, lot, now_ms) {
        let must_ask =
            !asking.is_trial && local_view.must_run_serially(asking.head.fingerprint, now_ms);
        let incarnation = endpoint.incarnation();
        let needs_place = local_view.backpressure.limit(&incarnation).is_some()
            && asking.send_permit != Some(&incarnation);
        return match (must_ask, asking.has_quota) {
            (true, _) => Selection::RequestTrial,
            (false, false) => Selection::ChargeQuota,
            (false, true) if needs_place => Selection::RequestSendPermit(endpoint),
            (false, true) => Selection::Send(endpoint),
        };
    }
    let everywhere = sends.allowed_at_all(asking.route);
    if let Some(held_back) = look(local_view, asking, &everywhere, now_ms, choice::throttled) {
        return Selection::Throttled(held_back);
    }
    if asking.head.model.is_none() {
        return Selection::Refuse { retry_after_ms: PLAIN_RETRY_MS, reason: None };
    }
    match wait_or_refuse(local_view, asking, now_ms) {
        Admission::Wait { until_ms } => Selection::Wait { until_ms },
        Admission::Refuse { retry_after_ms, reason } => {
            Selection::Refuse { retry_after_ms, reason: Some(reason) }
        }
    }
}

/// Whether another endpoint than the last could take the request over now, and the budget has a
/// send left for that. Without the second, 400 of 20,000 streams were broken off at an engine
/// with a queue and sent nowhere.
pub fn has_alternative(
    local_view: &mut LocalView,
    asking: RequestContext<'_>,
    sends: &Sends,
    now_ms: u64,
) -> bool {
    if !local_view.has_retry(asking.service, now_ms) {
        return false;
    }
    let allowed = sends.allowed_elsewhere(asking.route, now_ms);
    look(local_view, asking, &allowed, now_ms, choice::has_healthy)
}

/// What a request waits for; `due_ms` is on the daemon's clock.
pub fn pending_demand(asking: RequestContext<'_>, due_ms: u64) -> Option<PendingDemand> {
    let model = asking.head.model.clone()?;
    let adapter = asking.head.adapter.clone();
    Some(PendingDemand {
        priority: asking.route.priority,
        due_ms,
        model,
        adapter,
        first_report: None,
        ready_ms: None,
    })
}

/// What a caller that was told to come back will ask for.
pub fn returning_demand(
    policy: &Policy,
    asking: RequestContext<'_>,
    retry_after_ms: u64,
    now_ms: u64,
) -> Option<PendingDemand> {
    let is_kept = policy.has(Mechanism::KeepForReturning);
    pending_demand(asking, now_ms + retry_after_ms + EXPECTED_MS).filter(|_| is_kept)
}

fn choose_allowed(
    local_view: &mut LocalView,
    asking: RequestContext<'_>,
    sends: &Sends,
    lot: u64,
    now_ms: u64,
) -> Option<Endpoint> {
    let mut choose = |allowed: &Allowed| {
        let chosen = |known: ChoiceInputs<'_>, need: Requirements<'_>| {
            let place = asking
                .send_permit
                .filter(|incarnation| choice::accepts_with_permit(known, need, incarnation));
            match place {
                Some(incarnation) => known.local_view.directory.get(&incarnation.name).cloned(),
                None => choice::choose(known, need, lot).cloned(),
            }
        };
        look(local_view, asking, allowed, now_ms, chosen)
    };
    let chosen = choose(&sends.allowed(asking.route, now_ms));
    chosen.or_else(|| choose(&sends.allowed_again(asking.route)?))
}

/// Looks for endpoints by what is known now.
fn look<R>(
    local_view: &mut LocalView,
    asking: RequestContext<'_>,
    allowed: &Allowed,
    now_ms: u64,
    look: impl FnOnce(ChoiceInputs<'_>, Requirements<'_>) -> R,
) -> R {
    let need = Requirements {
        service: asking.service,
        model: asking.head.model.as_ref(),
        adapter: asking.head.adapter.as_ref(),
        excluded: &allowed.excluded,
        only: allowed.only.as_ref(),
    };
    local_view.directory.drop_lapsed(now_ms);
    let nothing = ReplicaView::default();
    let replicas = local_view.replicas.get(asking.service).unwrap_or(&nothing);
    look(ChoiceInputs { local_view, replicas, now_ms }, need)
}

/// Whether a request without an endpoint waits.
fn wait_or_refuse(
    local_view: &mut LocalView,
    asking: RequestContext<'_>,
    now_ms: u64,
) -> Admission {
    let RequestContext { route, elapsed_ms, allowed_ms, .. } = asking;
    let wait = match local_view.policy.has(Mechanism::WaitWhileCallerStays) {
        true => Wait::new(route, elapsed_ms, allowed_ms),
        false => Wait::within_objective(route, elapsed_ms, allowed_ms),
    };
    admission::decide(wait, outlook(local_view, asking, now_ms))
}

/// What is known of when a request's model will be ready.
fn outlook(local_view: &mut LocalView, asking: RequestContext<'_>, now_ms: u64) -> Forecast {
    let Some(model) = &asking.head.model else { return Forecast::Unknown };
    if !local_view.has_leader {
        let everywhere = Allowed { excluded: BTreeSet::new(), only: None };
        if look(local_view, asking, &everywhere, now_ms, choice::is_loaded) {
            return Forecast::Here { for_ms: ready_for_ms(local_view, asking, now_ms) };
        }
        let is_awaited = local_view.policy.has(Mechanism::AwaitLeader);
        let in_ms = local_view.leader_recovery_ms(now_ms).filter(|_| is_awaited);
        return in_ms.map_or(Forecast::Unknown, |in_ms| Forecast::Ready { in_ms });
    }
    let loadable = Loadable::new(model, asking.head.adapter.as_ref());
    let ready_in_ms = local_view.ready_in_ms(asking.service, &loadable, now_ms);
    match ready_in_ms {
        Some(0) => return Forecast::Here { for_ms: ready_for_ms(local_view, asking, now_ms) },
        Some(in_ms) => return Forecast::Ready { in_ms },
        None => {}
    }
    let asked = local_view.local_demand.get(asking.service);
    let is_answered =
        asked.zip(asking.demand_id).is_some_and(|(asked, wish)| asked.is_planned(wish));
    if is_answered { Forecast::Unknown } else { Forecast::NotReported }
}

/// For how long the leader has called something ready that a request waits for.
fn ready_for_ms(local_view: &mut LocalView, asking: RequestContext<'_>, now_ms: u64) -> u64 {
    let waiting = &mut local_view.local_demand_for(asking.service).waiting;
    let wish = asking.demand_id.and_then(|number| waiting.get_mut(&number));
    let ready_ms = wish.map(|wish| *wish.ready_ms.get_or_insert(now_ms));
    ready_ms.map_or(0, |ready_ms| now_ms.saturating_sub(ready_ms))
}
