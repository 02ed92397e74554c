//! The search for an endpoint that can run a request to a model.
//!
//! All daemons query the same candidate first, so that a burst of requests for a cold model at many
//! daemons starts a single load. If the wait at an endpoint is longer than a load of the model would
//! take, the owner of the endpoint answers that it is busy, and the next candidate is queried; this
//! is how another replica is loaded. If all candidates are busy, the request waits at the least busy
//! one.

use super::{Failure, call::Call};
use crate::{
    daemon::Daemon,
    permit_client::{self, Permit, PermitOutcome, PermitParams},
};
use smol::Timer;
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_core::names::{EndpointName, ModelName};
use trestle_wire::peer::{WirePermitAnswer, WireRefusal};

/// Retry delay if no owner of a suitable endpoint can be found.
const NO_OWNER_RETRY_MS: u64 = 2_000;
/// Retry delay if the model is not placed at any endpoint yet.
const NOT_PLACED_RETRY_MS: u64 = 2_000;

/// Time limit of the search while an endpoint that lost its owner may soon get another one.
const OWNER_SEARCH: Duration = Duration::from_secs(4);
/// Time limit of the search otherwise; changes of placement and membership may not have reached all
/// daemons yet.
const PLACEMENT_SEARCH: Duration = Duration::from_secs(1);
/// Time between two rounds of the search.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// The answers of the candidates in one round.
#[derive(Default)]
struct SearchState {
    /// The busy endpoint with the shortest expected wait, and this wait in milliseconds.
    least_busy: Option<(u64, EndpointName)>,
    /// The refusal with the shortest retry delay, and this delay in milliseconds.
    refusal: Option<(u64, WireRefusal)>,
    /// Whether any owner has answered.
    has_reached_owner: bool,
    /// Whether a candidate lost its owner recently, so that it may soon get another one.
    has_lost_owner: bool,
}

/// Searches for an endpoint that may run the model, and waits for a permit there. Excluded
/// endpoints are queried after the others.
///
/// Fails if no endpoint grants a permit and an owner has refused the request, or if the search
/// reaches its time limit or the request its deadline.
pub(crate) async fn acquire_permit(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    excluded: &BTreeSet<EndpointName>,
) -> Result<Permit, Failure> {
    let started = Instant::now();
    loop {
        let state = match try_candidates(daemon, call, model, excluded).await {
            Ok(permit) => return Ok(permit),
            Err(state) => state,
        };
        let may_succeed_later = state.may_succeed_later(started.elapsed());
        if !may_succeed_later || call.time_left() <= SEARCH_INTERVAL {
            return Err(state.into_failure(model));
        }
        daemon.request_domains_refresh();
        Timer::after(SEARCH_INTERVAL).await;
    }
}

/// Queries the candidates one by one, and then the least busy one again, this time with no limit on
/// its wait but the deadline.
async fn try_candidates(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    excluded: &BTreeSet<EndpointName>,
) -> Result<Permit, SearchState> {
    let load_ms = call.config.catalog.models.get(model).map_or(0, |spec| spec.load_ms);
    let mut state = SearchState::default();
    for endpoint in candidates(daemon, model, excluded) {
        match request_permit(daemon, call, model, &endpoint, Some(load_ms)).await {
            PermitOutcome::Granted(permit) => return Ok(permit),
            answer => state.record(daemon, answer, model, endpoint),
        }
    }
    if let Some((_, endpoint)) = state.least_busy.take() {
        match request_permit(daemon, call, model, &endpoint, None).await {
            PermitOutcome::Granted(permit) => return Ok(permit),
            answer => state.record(daemon, answer, model, endpoint),
        }
    }
    Err(state)
}

async fn request_permit(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    endpoint: &EndpointName,
    wait_limit_ms: Option<u64>,
) -> PermitOutcome {
    let (tenant, urgency, deadline) = (&call.tenant, call.urgency, call.deadline);
    let params = PermitParams { model, tenant, urgency, deadline, wait_limit_ms };
    let outcome = permit_client::request_permit(daemon, endpoint, params).await;
    let now_ms = daemon.now_ms();
    daemon.traffic().placement_hints.record_owner_answer(
        endpoint,
        !matches!(outcome, PermitOutcome::NoOwner),
        now_ms,
    );
    outcome
}

/// Returns the candidates in the order in which they are queried.
///
/// Endpoints that are excluded or avoided after failures come after the others, and last those
/// whose owner recently reported that the model is not placed there. Endpoints that are draining
/// are left out.
fn candidates(
    daemon: &Daemon,
    model: &ModelName,
    excluded: &BTreeSet<EndpointName>,
) -> Vec<EndpointName> {
    let routing = daemon.routing();
    let now_ms = daemon.now_ms();
    let traffic = daemon.traffic();
    let is_avoided = |endpoint: &EndpointName| {
        let health = traffic.health.get(endpoint);
        excluded.contains(endpoint) || health.is_some_and(|health| health.is_avoided(now_ms))
    };
    let all = routing.config.catalog.candidates(model).iter();
    let usable = all.filter(|endpoint| !routing.draining.contains(endpoint.as_str()));
    let mut ordered: Vec<EndpointName> = usable.cloned().collect();
    ordered.sort_by_key(|endpoint| {
        (
            traffic.placement_hints.was_reported_not_placed(model, endpoint, now_ms),
            is_avoided(endpoint),
        )
    });
    ordered
}

impl SearchState {
    fn record(
        &mut self,
        daemon: &Daemon,
        outcome: PermitOutcome,
        model: &ModelName,
        endpoint: EndpointName,
    ) {
        let now_ms = daemon.now_ms();
        let answer = match outcome {
            PermitOutcome::Declined(answer) => answer,
            PermitOutcome::Granted(_) => return,
            PermitOutcome::NoOwner => {
                self.has_lost_owner |=
                    daemon.traffic().placement_hints.lost_owner_recently(&endpoint, now_ms);
                return;
            }
        };
        self.has_reached_owner = true;
        match answer {
            WirePermitAnswer::NotPlaced => {
                daemon.traffic().placement_hints.record_not_placed(model, &endpoint, now_ms);
            }
            WirePermitAnswer::Busy { wait_ms } => {
                let is_shorter =
                    self.least_busy.as_ref().is_none_or(|(shortest_ms, _)| wait_ms < *shortest_ms);
                if is_shorter {
                    self.least_busy = Some((wait_ms, endpoint));
                }
            }
            WirePermitAnswer::Refused { reason, retry_after_ms }
                if self.refusal.is_none_or(|(shortest_ms, _)| retry_after_ms < shortest_ms) =>
            {
                self.refusal = Some((retry_after_ms, reason));
            }
            _ => {}
        }
    }

    /// Returns whether another round of the search may succeed.
    fn may_succeed_later(&self, searched: Duration) -> bool {
        let is_refused = self.refusal.is_some() || self.least_busy.is_some();
        if is_refused {
            return false;
        }
        let limit = if self.has_lost_owner { OWNER_SEARCH } else { PLACEMENT_SEARCH };
        searched < limit
    }

    fn into_failure(self, model: &ModelName) -> Failure {
        if let Some((retry_after_ms, reason)) = self.refusal {
            return refusal_failure(reason, model).with_retry_after_ms(retry_after_ms);
        }
        if self.has_reached_owner && !self.has_lost_owner {
            let message = format!("model `{model}` has no place yet; it is being decided");
            return Failure::not_run(503, "not_placed", message)
                .with_retry_after_ms(NOT_PLACED_RETRY_MS);
        }
        let message = format!("no daemon in charge of an engine for `{model}` can be reached");
        Failure::not_run(503, "no_owner", message).with_retry_after_ms(NO_OWNER_RETRY_MS)
    }
}

fn refusal_failure(reason: WireRefusal, model: &ModelName) -> Failure {
    let (status, code, what) = match reason {
        WireRefusal::DeadlineTooClose => {
            (503, "deadline_too_close", "cannot be served by the deadline")
        }
        WireRefusal::TenantQueueFull => {
            (429, "tenant_queue_full", "has too many requests of this tenant waiting")
        }
        WireRefusal::Leaving => (503, "endpoint_leaving", "has only engines that are leaving"),
        WireRefusal::EndpointSilent => {
            (503, "endpoint_silent", "has only engines that do not answer")
        }
        WireRefusal::DeadlinePassed => {
            (503, "deadline_passed", "could not be served before the deadline")
        }
    };
    Failure::not_run(status, code, format!("model `{model}` {what}"))
}
