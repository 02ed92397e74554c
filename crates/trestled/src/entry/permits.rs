//! Finding an endpoint for a request to a model.
//!
//! Every daemon asks the same candidate first, so a burst for a cold model at
//! many daemons starts one load. A candidate whose queue is longer than a load
//! would take says so, and the next one is asked; that is how a further replica
//! comes to be loaded. If all are busy, the least busy one is waited for.

use super::{Failure, call::Call};
use crate::{
    asking::{self, Asked, Permit, Wish},
    daemon::Daemon,
};
use smol::Timer;
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_core::names::{EndpointName, ModelName};
use trestle_wire::peer::{WirePermitAnswer, WireRefusal};

/// When to come back if no owner of a fitting endpoint can be found.
const NO_OWNER_RETRY_MS: u64 = 2_000;
/// When to come back if the model is not placed anywhere yet.
const NOT_PLACED_RETRY_MS: u64 = 2_000;

/// Time for which an owner is looked for while there may be none.
const OWNER_SEARCH: Duration = Duration::from_secs(4);
/// Time for which a place is looked for while rows may be on their way.
const PLACE_SEARCH: Duration = Duration::from_secs(1);
/// Time between two rounds of looking.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// What asking the candidates has led to so far.
#[derive(Default)]
struct Found {
    least_busy: Option<(u64, EndpointName)>,
    refusal: Option<(u64, WireRefusal)>,
    any_owner: bool,
    lost_owner: bool,
}

/// Waits for a permit at any endpoint that may serve the model.
pub(crate) async fn acquire(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    excluded: &BTreeSet<EndpointName>,
) -> Result<Permit, Failure> {
    let started = Instant::now();
    loop {
        let found = match ask_all(daemon, call, model, excluded).await {
            Ok(permit) => return Ok(permit),
            Err(found) => found,
        };
        let is_worth_waiting = found.may_change(started.elapsed());
        if !is_worth_waiting || call.time_left() <= SEARCH_INTERVAL {
            return Err(found.into_failure(model));
        }
        daemon.refresh_domains();
        Timer::after(SEARCH_INTERVAL).await;
    }
}

/// Asks one candidate after the other, and then the least busy one again.
async fn ask_all(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    excluded: &BTreeSet<EndpointName>,
) -> Result<Permit, Found> {
    let load_ms = call.config.catalog.models.get(model).map_or(0, |spec| spec.load_ms);
    let mut found = Found::default();
    for endpoint in candidates(daemon, model, excluded) {
        match ask(daemon, call, model, &endpoint, Some(load_ms)).await {
            Asked::Granted(permit) => return Ok(permit),
            answer => found.note(daemon, answer, model, endpoint),
        }
    }
    if let Some((_, endpoint)) = found.least_busy.take() {
        match ask(daemon, call, model, &endpoint, None).await {
            Asked::Granted(permit) => return Ok(permit),
            answer => found.note(daemon, answer, model, endpoint),
        }
    }
    Err(found)
}

async fn ask(
    daemon: &Arc<Daemon>,
    call: &Call,
    model: &ModelName,
    endpoint: &EndpointName,
    patience_ms: Option<u64>,
) -> Asked {
    let (tenant, urgency, deadline) = (&call.tenant, call.urgency, call.deadline);
    let wish = Wish { model, tenant, urgency, deadline, patience_ms };
    let asked = asking::ask(daemon, endpoint, wish).await;
    let now_ms = daemon.now_ms();
    daemon.traffic().places.note_owner(endpoint, !matches!(asked, Asked::NoOwner), now_ms);
    asked
}

/// Candidates in order: those with a bad record later, and last those that lately
/// said that the model is not placed there.
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
    let staying = all.filter(|endpoint| !routing.leaving.contains(endpoint.as_str()));
    let mut ordered: Vec<EndpointName> = staying.cloned().collect();
    ordered.sort_by_key(|endpoint| {
        (traffic.places.is_known_not_placed(model, endpoint, now_ms), is_avoided(endpoint))
    });
    ordered
}

impl Found {
    fn note(&mut self, daemon: &Daemon, asked: Asked, model: &ModelName, endpoint: EndpointName) {
        let now_ms = daemon.now_ms();
        let answer = match asked {
            Asked::Answered(answer) => answer,
            Asked::Granted(_) => return,
            Asked::NoOwner => {
                self.lost_owner |= daemon.traffic().places.lost_owner_lately(&endpoint, now_ms);
                return;
            }
        };
        self.any_owner = true;
        match answer {
            WirePermitAnswer::NotPlaced => {
                daemon.traffic().places.note_not_placed(model, &endpoint, now_ms);
            }
            WirePermitAnswer::Busy { wait_ms } => {
                let is_less = self.least_busy.as_ref().is_none_or(|(least, _)| wait_ms < *least);
                if is_less {
                    self.least_busy = Some((wait_ms, endpoint));
                }
            }
            WirePermitAnswer::Refused { reason, retry_after_ms }
                if self.refusal.is_none_or(|(least, _)| retry_after_ms < least) =>
            {
                self.refusal = Some((retry_after_ms, reason));
            }
            _ => {}
        }
    }

    /// Whether another round may find what this one has not.
    fn may_change(&self, searched: Duration) -> bool {
        let is_refused = self.refusal.is_some() || self.least_busy.is_some();
        if is_refused {
            return false;
        }
        let limit = if self.lost_owner { OWNER_SEARCH } else { PLACE_SEARCH };
        searched < limit
    }

    fn into_failure(self, model: &ModelName) -> Failure {
        if let Some((retry_after_ms, reason)) = self.refusal {
            return refusal(reason, model).after_ms(retry_after_ms);
        }
        if self.any_owner && !self.lost_owner {
            let message = format!("model `{model}` has no place yet; it is being decided");
            return Failure::not_run(503, "not_placed", message).after_ms(NOT_PLACED_RETRY_MS);
        }
        let message = format!("no daemon in charge of an engine for `{model}` can be reached");
        Failure::not_run(503, "no_owner", message).after_ms(NO_OWNER_RETRY_MS)
    }
}

fn refusal(reason: WireRefusal, model: &ModelName) -> Failure {
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
