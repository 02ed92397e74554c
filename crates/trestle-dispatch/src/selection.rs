//! What becomes of one request now: it goes to an endpoint, waits, or is refused.

use crate::{
    admission::{self, Admission},
    asked::Wish,
    beliefs::Beliefs,
    choice::{self, Known, Need},
    endpoint::Endpoint,
    replicas::ReplicaView,
    request::RequestHead,
    route::Route,
    sends::{Allowed, Sends},
};
use trestle_core::names::ServiceName;

/// When a caller should come back if a plain service has no endpoint left to try.
const PLAIN_RETRY_MS: u64 = 300;
/// Part of the objective within which a refusal still lets the caller be on time.
const EARLY_PART: u64 = 4;
/// Time beyond its return for which a refused caller's model is still kept.
const EXPECTED_MS: u64 = 1_500;

/// One request, as selection looks at it.
#[derive(Debug, Clone, Copy)]
pub struct Asking<'a> {
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
}

/// What becomes of a request now.
#[trestle_macros::plain]
pub enum Selection {
    /// It goes to this endpoint.
    Send(Endpoint),
    /// It waits for a change of what is known, at most until this long after its arrival.
    Wait {
        /// When waiting must end, from its arrival.
        until_ms: u64,
    },
    /// It is refused now.
    Refuse {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
}

/// Decides on a request. The lot must differ from request to request and from daemon to daemon.
pub fn select(
    beliefs: &mut Beliefs,
    asking: Asking<'_>,
    sends: &Sends,
    lot: u64,
    now_ms: u64,
) -> Selection {
    if let Some(endpoint) = choose_allowed(beliefs, asking, sends, lot, now_ms) {
        return Selection::Send(endpoint);
    }
    if asking.head.model.is_none() {
        return Selection::Refuse { retry_after_ms: PLAIN_RETRY_MS };
    }
    match how_long(beliefs, asking) {
        Ok(until_ms) => Selection::Wait { until_ms },
        Err(retry_after_ms) => Selection::Refuse { retry_after_ms },
    }
}

/// Whether another endpoint than the last could take the request over now.
pub fn has_other(beliefs: &mut Beliefs, asking: Asking<'_>, sends: &Sends, now_ms: u64) -> bool {
    let allowed = sends.allowed_elsewhere(asking.route, now_ms);
    look(beliefs, asking, &allowed, now_ms, choice::has_sound)
}

/// What a request that waits is waiting for; `due_ms` is on the daemon's clock.
pub fn wish(beliefs: &Beliefs, asking: Asking<'_>, due_ms: u64) -> Option<Wish> {
    let model = asking.head.model.clone()?;
    let adapter = asking.head.adapter.clone().filter(|_| is_model_there(beliefs, asking));
    Some(Wish { priority: asking.route.priority, due_ms, model, adapter })
}

/// What a caller that was told to come back will ask for.
pub fn wish_of_returning(
    beliefs: &Beliefs,
    asking: Asking<'_>,
    retry_after_ms: u64,
    now_ms: u64,
) -> Option<Wish> {
    wish(beliefs, asking, now_ms + retry_after_ms + EXPECTED_MS)
}

fn choose_allowed(
    beliefs: &mut Beliefs,
    asking: Asking<'_>,
    sends: &Sends,
    lot: u64,
    now_ms: u64,
) -> Option<Endpoint> {
    let mut choose = |allowed: &Allowed| {
        let chosen = |known: Known<'_>, need: Need<'_>| choice::choose(known, need, lot).cloned();
        look(beliefs, asking, allowed, now_ms, chosen)
    };
    let chosen = choose(&sends.allowed(asking.route, now_ms));
    chosen.or_else(|| choose(&sends.allowed_again(asking.route)?))
}

/// Looks for endpoints by what is known now.
fn look<R>(
    beliefs: &mut Beliefs,
    asking: Asking<'_>,
    allowed: &Allowed,
    now_ms: u64,
    look: impl FnOnce(Known<'_>, Need<'_>) -> R,
) -> R {
    let need = Need {
        service: asking.service,
        model: asking.head.model.as_ref(),
        adapter: asking.head.adapter.as_ref(),
        excluded: &allowed.excluded,
        only: allowed.only.as_ref(),
    };
    beliefs.directory.tick(now_ms);
    let nothing = ReplicaView::default();
    let known = Known {
        directory: &beliefs.directory,
        replicas: beliefs.replicas.get(asking.service).unwrap_or(&nothing),
        records: &beliefs.records,
        domain: &beliefs.domain,
        now_ms,
    };
    look(known, need)
}

/// Until when to wait, from the request's arrival, or when the caller should come back.
fn how_long(beliefs: &Beliefs, asking: Asking<'_>) -> Result<u64, u64> {
    let Asking { route, elapsed_ms, allowed_ms, .. } = asking;
    let view = beliefs.replicas.get(asking.service);
    let model = asking.head.model.as_ref();
    let ready_in_ms =
        view.zip(model).and_then(|(view, model)| view.ready_in_ms.get(model).copied());
    let early_ms = route.objective_ms / EARLY_PART;
    let decided = admission::decide(route, elapsed_ms, allowed_ms, ready_in_ms);
    match decided {
        Admission::Wait { until_ms } if elapsed_ms < until_ms => Ok(until_ms),
        // The leader may not have answered yet.
        Admission::Refuse { .. } if ready_in_ms.is_none() && elapsed_ms < early_ms => Ok(early_ms),
        Admission::Refuse { retry_after_ms } if elapsed_ms <= early_ms => Err(retry_after_ms),
        _ => wait_late(asking, ready_in_ms),
    }
}

/// For a request that has already waited too long to be refused early: it goes on
/// waiting as long as its caller is likely to stay until the model is ready.
fn wait_late(asking: Asking<'_>, ready_in_ms: Option<u64>) -> Result<u64, u64> {
    let Asking { route, elapsed_ms, allowed_ms, .. } = asking;
    let stays_ms = admission::caller_stays_ms(route, allowed_ms);
    match ready_in_ms {
        Some(ready_ms) if elapsed_ms + ready_ms < stays_ms && elapsed_ms < stays_ms => Ok(stays_ms),
        _ => Err(admission::retry_after_ms(elapsed_ms, allowed_ms, ready_in_ms)),
    }
}

/// Whether only the adapter is missing.
fn is_model_there(beliefs: &Beliefs, asking: Asking<'_>) -> bool {
    let Some(model) = asking.head.model.as_ref() else { return false };
    let nothing = ReplicaView::default();
    let replicas = beliefs.replicas.get(asking.service).unwrap_or(&nothing);
    let mut usable = beliefs.directory.usable(asking.service);
    usable.any(|endpoint| replicas.can_run(endpoint, model, None))
}
