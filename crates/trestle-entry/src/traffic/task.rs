//! One request on its way.

use crate::{
    daemon::Daemon,
    traffic::{
        payment::{self, Payment},
        place::Place,
    },
    trial::Trial,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use trestle_core::names::{EndpointName, ServiceName};
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    identity::Identity,
    local_view::LocalView,
    request::{Forwarded, RequestHead},
    route::Route,
    selection::RequestContext,
    sends::Sends,
};

/// Most urgent and least urgent value that an endpoint takes.
const PRIORITIES: (u8, u8) = (0, 9);

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) daemon: Arc<Daemon>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) head: RequestHead,
    /// Who asks.
    pub(crate) identity: Identity,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived_ms: u64,
    /// Time from the arrival until the final answer is due.
    pub(crate) allowed_ms: u64,
    /// The configuration under which it was routed.
    pub(crate) config_version: u64,
    /// When it was first sent to an endpoint, from its arrival; [`NOT_SENT`] before.
    pub(crate) sent_after_ms: AtomicU64,
    /// The list that its endpoint was last chosen from.
    pub(crate) list: Mutex<ListSeen>,
    /// Whether it may run although endpoints may have ended under it.
    pub(crate) trial: Trial,
    /// What it has taken from its team's limit.
    pub(crate) payment: Payment,
    /// Its place at an endpoint that has named a limit.
    pub(crate) place: Place,
    /// The endpoint that held it back, with what was known of it, for logs.
    pub(crate) held_back: Mutex<Option<HeldBackSeen>>,
}

/// The list that an endpoint was chosen from, for logs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ListSeen {
    pub(crate) version: u64,
    pub(crate) age_ms: u64,
    pub(crate) way: &'static str,
}

/// What was known of an endpoint that held a request back, for logs.
#[derive(Debug, Clone)]
pub(crate) struct HeldBackSeen {
    pub(crate) endpoint: EndpointName,
    pub(crate) limit_per_s: Option<f64>,
    pub(crate) rest_left_ms: Option<u64>,
    pub(crate) heard_ago_ms: u64,
    /// The request in whose answer it was heard.
    pub(crate) heard_in: String,
}

/// Stands for a request that was not sent to an endpoint.
pub(crate) const NOT_SENT: u64 = u64::MAX;

impl Task {
    /// The request as selection looks at it.
    pub(crate) fn asking(&self) -> RequestContext<'_> {
        RequestContext {
            route: &self.route,
            service: &self.service,
            head: &self.head,
            allowed_ms: self.allowed_ms,
            elapsed_ms: self.elapsed_ms(),
            demand_id: None,
            is_trial: self.trial.is_begun(),
            has_quota: self.payment.is_made(self, self.daemon.knowledge.now_ms()),
            send_permit: None,
        }
    }

    /// Takes a further send from the budget, if the request may go out once more.
    pub(crate) fn take_next(&self, sends: &mut Sends) -> bool {
        let knowledge = &self.daemon.knowledge;
        let now_ms = knowledge.now_ms();
        knowledge
            .with(|local_view| sends.reserve_next(&self.route, &self.service, local_view, now_ms))
    }

    /// What all attempts of the request have in common, for logs.
    pub(crate) fn fingerprint(&self) -> Option<String> {
        self.head.fingerprint.map(|fingerprint| fingerprint.to_string())
    }

    /// Whether it may leave for an endpoint, by what is known at this moment. An endpoint may have
    /// left, or named a limit, while a connection was opened.
    pub(crate) fn may_leave(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.daemon.knowledge.now_ms();
        let incarnation = endpoint.incarnation();
        let (is_usable, is_limited) = self.daemon.knowledge.with(|local_view| {
            let is_limited = local_view.backpressure.limit(&incarnation).is_some();
            let rests = local_view.backpressure.backoff_left_ms(&incarnation, now_ms).is_some();
            (local_view.directory.is_usable(&incarnation) && !rests, is_limited)
        });
        is_usable
            && (!is_limited || self.place.may_leave(&incarnation, now_ms))
            && self.payment.send(self, now_ms)
    }

    /// Notes the endpoint that held it back.
    pub(crate) fn note_held_back(
        &self,
        local_view: &LocalView,
        incarnation: &Incarnation,
        now_ms: u64,
    ) {
        let endpoint = incarnation.name.clone();
        let (rest, limit) = (
            local_view.backpressure.backoff(incarnation),
            local_view.backpressure.limit(incarnation),
        );
        let seen = match (rest, limit) {
            (Some(rest), _) => Some(HeldBackSeen {
                endpoint,
                limit_per_s: None,
                rest_left_ms: Some(rest.until_ms.saturating_sub(now_ms)),
                heard_ago_ms: now_ms.saturating_sub(rest.observed_ms),
                heard_in: rest.observed_in.clone(),
            }),
            (None, Some(limit)) => Some(HeldBackSeen {
                endpoint,
                limit_per_s: Some(limit.per_ks as f64 / 1e3),
                rest_left_ms: None,
                heard_ago_ms: now_ms.saturating_sub(limit.observed_ms),
                heard_in: limit.observed_in.clone(),
            }),
            (None, None) => None,
        };
        *self.held_back.lock().unwrap_or_else(PoisonError::into_inner) = seen;
    }

    /// The endpoint that held it back.
    pub(crate) fn held_back(&self) -> Option<HeldBackSeen> {
        self.held_back.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the caller's key has not been taken away since it was routed.
    pub(crate) fn still_counts(&self) -> bool {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return true };
        catalog.version == self.config_version || self.identity.is_still_valid(&catalog)
    }

    /// Notes that it had a whole answer of an endpoint, so that it ends none.
    pub(crate) fn note_served(&self, endpoint: &Endpoint) {
        let served = |local_view: &mut LocalView| local_view.served(self.head.fingerprint);
        if let Some(ends) = self.daemon.knowledge.with(served) {
            tracing::warn!(
                id = self.head.id, request = self.fingerprint(), endpoint = %endpoint.name, ends,
                "request: It had a whole answer, and is tried or refused no more."
            );
        }
    }

    /// Notes the list that its endpoint was chosen from.
    pub(crate) fn note_list(&self, local_view: &LocalView, now_ms: u64) {
        let heard = local_view.list_origin;
        let (version, way) = (local_view.listing.version(), heard.source.name());
        let age_ms = now_ms.saturating_sub(heard.known_ms);
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) =
            ListSeen { version, age_ms, way };
    }

    /// The list that its endpoint was last chosen from.
    pub(crate) fn list(&self) -> ListSeen {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that it is sent to an endpoint.
    pub(crate) fn note_sent(&self) {
        self.sent_after_ms.fetch_min(self.elapsed_ms(), Ordering::Relaxed);
    }

    /// Time that it waited before it was first sent to an endpoint.
    pub(crate) fn sent_ms(&self) -> Option<u64> {
        Some(self.sent_after_ms.load(Ordering::Relaxed)).filter(|after_ms| *after_ms != NOT_SENT)
    }

    /// Time since its arrival.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.daemon.knowledge.now_ms().saturating_sub(self.arrived_ms)
    }

    /// Time that is left until its final answer is due.
    pub(crate) fn left_ms(&self) -> u64 {
        self.allowed_ms.saturating_sub(self.elapsed_ms())
    }

    /// Whether its final answer is due.
    pub(crate) fn is_over(&self) -> bool {
        self.left_ms() == 0
    }

    /// The request as an endpoint gets it.
    pub(crate) fn request(
        &self,
        endpoint: &Endpoint,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let forwarded = Forwarded {
            endpoint: &endpoint.name,
            deadline_ms: self.left_ms(),
            priority: self.route.priority.clamp(PRIORITIES.0, PRIORITIES.1),
            last_event_id,
            identity: &self.identity,
        };
        (self.daemon.wire.head.forward_request)(&mut headers, &forwarded);
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        payment::give_back(self);
    }
}
