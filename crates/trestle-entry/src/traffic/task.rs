//! The state of one request while it is handled.

use crate::{
    daemon::Daemon,
    traffic::{
        held_permit::HeldPermit,
        prompt_schedule::PromptSchedule,
        quota_reservation::{self, QuotaReservation},
    },
    trial::Trial,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use trestle_core::names::{EndpointName, ServiceName, SoftwareVersion};
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    identity::Identity,
    local_view::LocalView,
    request::{Forwarded, RequestHead},
    retry_share::RetryUsage,
    route::Route,
    selection::RequestContext,
    sends::{NextSend, SendEnd, Sends},
    store_version::StoreVersion,
    waiting::order,
};

/// The most urgent and the least urgent priority that endpoints accept.
const PRIORITY_RANGE: (u8, u8) = (0, 9);

/// One request that passed admission, from its arrival to its end.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) daemon: Arc<Daemon>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) head: RequestHead,
    /// The caller.
    pub(crate) identity: Identity,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived_ms: u64,
    /// Time from the arrival until the complete answer is due.
    pub(crate) allowed_ms: u64,
    /// Version of the configuration that the request was routed with.
    pub(crate) config_version: u64,
    /// Time from the arrival to the first send to an endpoint; [`NOT_SENT`] until then.
    pub(crate) sent_after_ms: AtomicU64,
    /// The list that the last endpoint was chosen from.
    pub(crate) list_info: Mutex<ListInfo>,
    /// Whether the request may run although it is suspected of crashing endpoints.
    pub(crate) trial: Trial,
    /// The units that the request has reserved from its team's limit.
    pub(crate) quota_reservation: QuotaReservation,
    /// The permit to send the request to an endpoint that limits its requests.
    pub(crate) held_permit: HeldPermit,
    /// The rank of the route, whatever the rank of the caller's team.
    pub(crate) route_rank: u8,
    /// What leaders decided on which engine reads the prompt, and when.
    pub(crate) prompt_schedule: PromptSchedule,
    /// The daemon through which the last send passed, for logs; `None` if it was direct.
    pub(crate) helper: Mutex<Option<SocketAddr>>,
    /// The version of the software at which the stream began; empty while any may run it.
    pub(crate) version: OnceLock<SoftwareVersion>,
    /// The endpoint whose limit or backoff kept the request from being sent, for logs.
    pub(crate) throttle: Mutex<Option<ThrottleInfo>>,
}

/// The state of the endpoint list when an endpoint was chosen from it, for logs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ListInfo {
    pub(crate) version: StoreVersion,
    /// Time since the list was last known to be current.
    pub(crate) age_ms: u64,
    /// Where the list was received from.
    pub(crate) source: &'static str,
}

/// The limit or backoff of an endpoint that kept a request from being sent, for logs.
#[derive(Debug, Clone)]
pub(crate) struct ThrottleInfo {
    pub(crate) endpoint: EndpointName,
    /// Requests per second that the endpoint accepts; `None` if a backoff was the reason.
    pub(crate) limit_per_s: Option<f64>,
    /// Time until the backoff ends; `None` if a limit was the reason.
    pub(crate) backoff_left_ms: Option<u64>,
    /// Time since the endpoint last reported the limit or backoff.
    pub(crate) observed_ago_ms: u64,
    /// Id of the request whose answer reported the limit or backoff; empty if a slot was lacking.
    pub(crate) observed_in: String,
    /// Whether the endpoint is brittle and had no slot left.
    pub(crate) lacks_slot: bool,
}

/// Value of [`Task::sent_after_ms`] for a request that was not sent to an endpoint yet.
pub(crate) const NOT_SENT: u64 = u64::MAX;

impl Task {
    /// Returns the view of the request that endpoint selection decides on.
    pub(crate) fn context(&self) -> RequestContext<'_> {
        let now_ms = self.daemon.shared_view.now_ms();
        RequestContext {
            route: &self.route,
            service: &self.service,
            head: &self.head,
            allowed_ms: self.allowed_ms,
            elapsed_ms: self.elapsed_ms(),
            demand_id: None,
            version: self.version.get(),
            is_trial: self.trial.is_permitted(now_ms),
            has_quota: self.quota_reservation.allows_send(self, now_ms),
            send_permit: None,
            assignment: None,
            is_unscheduled: self.prompt_schedule.is_unscheduled(now_ms),
        }
    }

    /// Reserves one more send from the retry budget. Returns whether the request may be sent.
    pub(crate) fn reserve_next_send(&self, sends: &mut Sends) -> NextSend {
        let shared_view = &self.daemon.shared_view;
        let now_ms = shared_view.now_ms();
        let next = shared_view
            .with(|local_view| sends.reserve_next(&self.route, &self.service, local_view, now_ms));
        if sends.count > 0 {
            self.log_further_send(sends, next, now_ms);
        }
        next
    }

    /// Records that a send of the request to an endpoint ended without an answer to pass on.
    pub(crate) fn record_send_end(&self, sends: &mut Sends, endpoint: &EndpointName, end: SendEnd) {
        let now_ms = self.daemon.shared_view.now_ms();
        self.daemon
            .shared_view
            .with(|local_view| sends.record_end(endpoint, end, &self.service, local_view, now_ms));
    }

    /// Logs whether a request that was sent before is sent once more, and what remains of this
    /// daemon's share of the retry budget. `running_ms` is the time since the daemon started.
    fn log_further_send(&self, sends: &Sends, next: NextSend, running_ms: u64) {
        let usage =
            |local_view: &mut LocalView| local_view.retry_budgets.usage(&self.service, running_ms);
        let RetryUsage { sent, available, capacity, daemons } = self.daemon.shared_view.with(usage);
        let message = match next {
            NextSend::Allowed => "budget: A request is sent again.",
            NextSend::NoAttemptLeft => return,
            NextSend::NoRetryLeft => "budget: A request is not sent again.",
        };
        tracing::info!(
            id = self.head.id, service = %self.service, sends = sends.count,
            available, capacity, sent_again = sent, daemons, running_ms, "{message}"
        );
    }

    /// Returns the fingerprint that all attempts of the same request share, for logs.
    pub(crate) fn fingerprint(&self) -> Option<String> {
        self.head.fingerprint.map(|fingerprint| fingerprint.to_string())
    }

    /// Returns the fingerprints of the shared parts of the prompt, for logs; empty if there are none.
    pub(crate) fn parts(&self) -> String {
        let parts = self.head.part_fingerprints.iter().map(ToString::to_string);
        parts.collect::<Vec<_>>().join(",")
    }

    /// Returns whether the request may be sent to an endpoint now. The endpoint may have begun to
    /// drain, or reported a limit, while the connection was opened.
    pub(crate) fn may_send(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.daemon.shared_view.now_ms();
        let incarnation = endpoint.incarnation();
        let (is_usable, is_limited) = self.daemon.shared_view.with(|local_view| {
            let is_limited = local_view.backpressure.limit(&incarnation).is_some();
            let backs_off = local_view.backpressure.backoff_left_ms(&incarnation, now_ms).is_some();
            (local_view.directory.is_usable(&incarnation) && !backs_off, is_limited)
        });
        is_usable
            && (!is_limited || self.held_permit.allows_send(&incarnation, now_ms))
            && self.quota_reservation.record_sent(self, &endpoint.name, now_ms)
    }

    /// Returns whether the request runs by a leader's permission, because it may crash endpoints.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_permitted(self.daemon.shared_view.now_ms())
    }

    /// Returns whether the request must not be sent now because endpoints crashed under it. They may
    /// have crashed while the connection was opened.
    pub(crate) fn is_restricted(&self) -> bool {
        let now_ms = self.daemon.shared_view.now_ms();
        let restriction =
            self.daemon.shared_view.with(|local_view| local_view.restriction(&self.head, now_ms));
        !restriction.allows(self.trial.is_permitted(now_ms))
    }

    /// Records the endpoint whose limit or backoff kept the request from being sent.
    pub(crate) fn record_throttle(
        &self,
        local_view: &LocalView,
        incarnation: &Incarnation,
        now_ms: u64,
    ) {
        let endpoint = incarnation.name.clone();
        let (backoff, limit) = (
            local_view.backpressure.backoff(incarnation),
            local_view.backpressure.limit(incarnation),
        );
        let info = match (backoff, limit) {
            (Some(backoff), _) => Some(ThrottleInfo {
                endpoint,
                limit_per_s: None,
                backoff_left_ms: Some(backoff.until_ms.saturating_sub(now_ms)),
                observed_ago_ms: now_ms.saturating_sub(backoff.observed_ms),
                observed_in: backoff.observed_in.clone(),
                lacks_slot: false,
            }),
            (None, Some(limit)) => Some(ThrottleInfo {
                endpoint,
                limit_per_s: Some(limit.per_ks as f64 / 1e3),
                backoff_left_ms: None,
                observed_ago_ms: now_ms.saturating_sub(limit.observed_ms),
                observed_in: limit.observed_in.clone(),
                lacks_slot: false,
            }),
            (None, None) if local_view.is_brittle(incarnation) => Some(ThrottleInfo {
                endpoint,
                limit_per_s: None,
                backoff_left_ms: None,
                observed_ago_ms: 0,
                observed_in: String::new(),
                lacks_slot: true,
            }),
            (None, None) => None,
        };
        *self.throttle.lock().unwrap_or_else(PoisonError::into_inner) = info;
    }

    /// Returns the endpoint whose limit or backoff last kept the request from being sent.
    pub(crate) fn throttle(&self) -> Option<ThrottleInfo> {
        self.throttle.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the caller's key is still valid under the current configuration.
    pub(crate) fn has_valid_key(&self) -> bool {
        let Some(catalog) = self.daemon.shared_view.catalog() else { return true };
        catalog.version == self.config_version || self.identity.is_still_valid(&catalog)
    }

    /// Records that an endpoint answered the request completely. This clears the request of the
    /// suspicion that its attempts until now crashed endpoints.
    pub(crate) fn record_served(&self, endpoint: &Endpoint) {
        let now_ms = self.daemon.shared_view.now_ms();
        let clear_suspicion =
            |local_view: &mut LocalView| local_view.served(self.head.fingerprint, now_ms);
        if let Some(cleared) = self.daemon.shared_view.with(clear_suspicion) {
            tracing::warn!(
                id = self.head.id, request = self.fingerprint(), endpoint = %endpoint.name,
                ends = cleared,
                "request: Got a complete answer; the request is no longer suspected of crashing endpoints."
            );
        }
    }

    /// Logs the send of a request that is suspected of crashing endpoints.
    pub(crate) fn log_if_suspected(&self, endpoint: &Endpoint) {
        let Some(request) = self.head.fingerprint else { return };
        let counted = |local_view: &mut LocalView| local_view.crashes.counted(request);
        let crashes = self.daemon.shared_view.with(counted);
        if crashes > 0 {
            let is_permitted = self.trial.is_permitted(self.daemon.shared_view.now_ms());
            tracing::info!(
                id = self.head.id, %request, endpoint = %endpoint.name, ends = crashes,
                is_permitted,
                "request: Sent, although endpoints crashed under it."
            );
        }
    }

    /// Records the list that the endpoint was chosen from.
    pub(crate) fn record_list(&self, local_view: &LocalView, now_ms: u64) {
        let origin = local_view.list_origin;
        let (version, source) = (local_view.listing.version(), origin.source.name());
        let age_ms = now_ms.saturating_sub(origin.known_ms);
        *self.list_info.lock().unwrap_or_else(PoisonError::into_inner) =
            ListInfo { version, age_ms, source };
    }

    /// Returns the list that the last endpoint was chosen from.
    pub(crate) fn list_info(&self) -> ListInfo {
        *self.list_info.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the daemon through which the request is sent, if it takes a detour.
    pub(crate) fn record_helper(&self, helper: Option<SocketAddr>) {
        *self.helper.lock().unwrap_or_else(PoisonError::into_inner) = helper;
    }

    /// Returns the daemon through which the last send passed; `None` if it was direct.
    pub(crate) fn helper(&self) -> Option<SocketAddr> {
        *self.helper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id of the caller's attempt that brings or has brought the stream's first event.
    pub(crate) fn stream_id(&self) -> &str {
        self.head.continues.as_ref().unwrap_or(&self.head.id)
    }

    /// Records that the request is sent to an endpoint; only the first send counts.
    pub(crate) fn record_sent(&self) {
        self.sent_after_ms.fetch_min(self.elapsed_ms(), Ordering::Relaxed);
    }

    /// Returns the time from the arrival to the first send; `None` if there was none.
    pub(crate) fn sent_after_ms(&self) -> Option<u64> {
        Some(self.sent_after_ms.load(Ordering::Relaxed)).filter(|after_ms| *after_ms != NOT_SENT)
    }

    /// Returns the time since the arrival.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.daemon.shared_view.now_ms().saturating_sub(self.arrived_ms)
    }

    /// Returns the time left until the complete answer is due.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.allowed_ms.saturating_sub(self.elapsed_ms())
    }

    /// Returns whether the time for the complete answer is used up.
    pub(crate) fn is_expired(&self) -> bool {
        self.remaining_ms() == 0
    }

    /// Returns the priority of the request at an endpoint. Where leaders schedule prompts, routes order
    /// the requests of teams of one rank.
    fn endpoint_priority(&self) -> u8 {
        let schedules_prompts = |local_view: &mut LocalView| {
            self.route.is_stream() && local_view.schedules_prompts(&self.service)
        };
        match self.daemon.shared_view.with(schedules_prompts) {
            true => {
                let team_rank = self.identity.team().and_then(|team| team.priority);
                order::endpoint_priority(team_rank, self.route_rank)
            }
            false => self.route.priority.clamp(PRIORITY_RANGE.0, PRIORITY_RANGE.1),
        }
    }

    /// Builds the HTTP request for an endpoint. A stream is to continue after `last_event_id`.
    pub(crate) fn to_http_request(
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
            deadline_ms: self.remaining_ms(),
            priority: self.endpoint_priority(),
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
        quota_reservation::release(self);
    }
}
