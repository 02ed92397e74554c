//! Handles one request: reads it, finds its route, and forwards it.

use crate::{
    daemon::Daemon,
    held_bytes::{Content, NotHeld},
    net::bounded_stream::ReadProgress,
    traffic::{
        answer::{Body, Failure},
        held_permit::HeldPermit,
        plain,
        prompt_schedule::PromptSchedule,
        quota_reservation::QuotaReservation,
        report::{self, Progress, RequestEnd, StreamStats},
        stream,
        task::{NOT_SENT, Task},
    },
    trial::Trial,
};
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, header, request::Parts, uri::PathAndQuery};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol::Timer;
use std::{
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_dispatch::{
    catalog::Catalog,
    fingerprint::{Fingerprint, RequestContent},
    identity::{ConfigCertainty, Identity, NotAdmitted},
    request::RequestHead,
    route::Route,
    team::Credential,
};

/// Retry-after time for callers while the daemon has no configuration yet.
const NO_CONFIG_RETRY_MS: u64 = 500;

/// Retry-after time for callers while the daemon cannot tell whether a key is valid. The store has
/// been unreachable for seconds by then, so an immediate retry would be rejected again.
const UNSURE_KEY_RETRY_MS: u64 = 2_000;

/// Retry-after time for callers while this daemon is stopping. Another daemon serves the retry.
const STOPPING_RETRY_MS: u64 = 100;

/// Retry-after time for callers while too many bytes are held. Most answers are passed on within
/// this time.
const FULL_RETRY_MS: u64 = 1_000;

/// Most parts of a prompt by which a request is known, the first ones.
const MAX_PARTS: usize = 32;

/// Returns the answer to one request. Failures are answers, too.
pub(crate) async fn handle(daemon: Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let _in_flight = InFlightGuard::new(&daemon);
    let is_ambiguous = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = match admit(&daemon, request).await {
        Ok(task) => forward(task).await,
        Err((failure, id)) => {
            tracing::info!(id, end = failure.name(), "request: Rejected before it was forwarded.");
            failure.answer(&daemon.wire.head, id.as_deref())
        }
    };
    // Request smuggling hides a second request in a body whose length can be read in two ways.
    // Therefore nothing further is read from such a connection.
    if is_ambiguous || daemon.stopping.has_begun() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request completely and finds its route.
///
/// # Errors
///
/// Fails with the failure to answer, and with the request's id if its headers could be read.
async fn admit(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<Arc<Task>, (Failure, Option<String>)> {
    let arrived_ms = daemon.shared_view.now_ms();
    let (mut parts, body) = request.into_parts();
    let progress = parts.extensions.remove::<ReadProgress>();
    let Some(head) = (daemon.wire.head.read_request)(&parts.headers) else {
        return Err((Failure::BadRequest, None));
    };
    let id = head.id.clone();
    let reject = |failure| (failure, Some(id.clone()));
    let Some(catalog) = daemon.shared_view.catalog() else {
        return Err(reject(Failure::NotRun {
            retry_after_ms: NO_CONFIG_RETRY_MS,
            why: "no_configuration",
        }));
    };
    let both_lengths = parts.headers.contains_key(header::CONTENT_LENGTH)
        && parts.headers.contains_key(header::TRANSFER_ENCODING);
    if both_lengths {
        return Err(reject(Failure::BadRequest));
    }
    let body = read_body(daemon, body, progress, &catalog).await.map_err(reject)?;
    let task = build_task(daemon, &catalog, ReceivedRequest { parts, head, body, arrived_ms })
        .map_err(reject)?;
    Ok(Arc::new(task))
}

/// A request whose head and body were read completely.
struct ReceivedRequest {
    parts: Parts,
    head: RequestHead,
    body: Bytes,
    arrived_ms: u64,
}

/// Identifies the caller and finds the route and the service of a request.
fn build_task(
    daemon: &Arc<Daemon>,
    catalog: &Catalog,
    received: ReceivedRequest,
) -> Result<Task, Failure> {
    let ReceivedRequest { parts, mut head, body, arrived_ms } = received;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(Failure::BadRequest)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let route = catalog.routes.find(host, parts.uri.path());
    let mut route = route.ok_or_else(|| unknown_route_failure(daemon, arrived_ms))?.clone();
    let identity = identify(daemon, catalog, &route, head.credential, arrived_ms)?;
    let route_rank = route.priority;
    if let Some(priority) = identity.team().and_then(|team| team.priority) {
        route.priority = priority;
    }
    // A stream goes on at the service that began it.
    let stream_id = head.continues.as_ref().unwrap_or(&head.id);
    let service = route.target(stream_id).ok_or(Failure::NoRoute)?.clone();
    let allowed_ms = route.timeout_ms.min(head.deadline_ms.unwrap_or(u64::MAX));
    if !daemon.stopping.can_accept(arrived_ms, allowed_ms) {
        return Err(Failure::NotRun { retry_after_ms: STOPPING_RETRY_MS, why: "stopping" });
    }
    let uri = parts.uri.path_and_query().map(|path| path.as_str().parse());
    let Some(Ok(uri)) = uri else { return Err(Failure::BadRequest) };
    let content = RequestContent {
        method: parts.method.as_str(),
        host,
        path: parts.uri.path_and_query().map_or("", PathAndQuery::as_str),
        body: &body,
    };
    head.fingerprint = Some(Fingerprint::of(content));
    let shared = head.shared_parts.iter().take(MAX_PARTS);
    head.part_fingerprints = shared.map(|part| Fingerprint::of_part(&service, part)).collect();
    Ok(Task {
        daemon: Arc::clone(daemon),
        service,
        allowed_ms,
        route,
        head,
        identity,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        arrived_ms,
        config_version: catalog.version,
        sent_after_ms: AtomicU64::new(NOT_SENT),
        list_info: Mutex::default(),
        trial: Trial::default(),
        quota_reservation: QuotaReservation::default(),
        held_permit: HeldPermit::default(),
        route_rank,
        prompt_schedule: PromptSchedule::default(),
        helper: Mutex::default(),
        version: OnceLock::new(),
        throttle: Mutex::default(),
    })
}

/// Returns the failure for a request whose route is not in the configuration. While neither the
/// store nor a leader can be reached, a route added recently may not be known here, so the caller
/// is asked to retry.
fn unknown_route_failure(daemon: &Daemon, now_ms: u64) -> Failure {
    match daemon.freshness.may_lack_config(now_ms) {
        true => Failure::NotRun { retry_after_ms: NO_CONFIG_RETRY_MS, why: "configuration_unsure" },
        false => Failure::NoRoute,
    }
}

/// Returns the identity of the caller, if its key is valid for the route.
fn identify(
    daemon: &Daemon,
    catalog: &Catalog,
    route: &Route,
    credential: Credential,
    arrived_ms: u64,
) -> Result<Identity, Failure> {
    let freshness = &daemon.freshness;
    let certainty = ConfigCertainty {
        can_accept_keys: freshness.proves_keys(arrived_ms),
        may_lack_newer: freshness.may_lack_config(arrived_ms),
    };
    Identity::of(catalog, route, credential, certainty).map_err(|error| match error {
        NotAdmitted::UnknownKey => Failure::NoKey,
        NotAdmitted::Uncertain => {
            Failure::NotRun { retry_after_ms: UNSURE_KEY_RETRY_MS, why: "key_unsure" }
        }
    })
}

/// Reads a request body, within the limits that the configuration sets on its size and on the time
/// that reading it may take, and within the bound on held bytes. Each part is progress of the caller's
/// connection.
async fn read_body(
    daemon: &Daemon,
    body: Incoming,
    progress: Option<ReadProgress>,
    catalog: &Catalog,
) -> Result<Bytes, Failure> {
    let mut held = daemon.held_bytes.guard(Content::RequestBody);
    let max_bytes = catalog.limits.body_bytes;
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut body = Limited::new(body, max_bytes);
    let collected = async {
        if (1..=max_bytes).contains(&announced_bytes) {
            held.check(announced_bytes).map_err(not_held_failure)?;
        }
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => Failure::TooLarge,
                false => Failure::BadRequest,
            })?;
            progress.iter().for_each(|progress| progress.record_frame(&frame));
            if let Ok(data) = frame.into_data() {
                held.try_grow(data.len()).map_err(not_held_failure)?;
                content.extend_from_slice(&data);
            }
        }
        Ok(held.release_with(content.freeze()))
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(catalog.limits.idle_ms)).await;
        Err(Failure::BadRequest)
    };
    let result = collected.or(timed_out).await;
    if matches!(result, Err(Failure::NotRun { .. })) {
        smol::spawn(discard(body, progress, catalog.limits.idle_ms)).detach();
    }
    result
}

/// Returns the failure for a request whose body may not be held.
fn not_held_failure(reason: NotHeld) -> Failure {
    match reason {
        NotHeld::Full => Failure::NotRun { retry_after_ms: FULL_RETRY_MS, why: "memory_full" },
        NotHeld::TooLarge => Failure::TooLarge,
    }
}

/// Reads and discards the rest of a refused body. A connection that is closed with unread bytes is
/// reset by the system, and its caller may not get the answer and the retry time.
async fn discard(mut body: Limited<Incoming>, progress: Option<ReadProgress>, timeout_ms: u64) {
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            progress.iter().for_each(|progress| progress.record_frame(&frame));
        }
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
    };
    read.or(timed_out).await;
}

/// Forwards a request and reports how it ended. The end of a stream is reported later, when its
/// body is dropped.
async fn forward(task: Arc<Task>) -> Response<Body> {
    record_arrival(&task);
    let outcome = match task.route.is_stream() {
        true => stream::run(&task).await,
        false => plain::run(&task).await,
    };
    let progress = Progress {
        endpoint: outcome.endpoint.as_deref(),
        sends: outcome.sends,
        stats: StreamStats::default(),
    };
    match outcome.response {
        Ok(response) => {
            if !outcome.is_stream {
                report::record_end(&task, RequestEnd::Complete, progress, None);
            }
            response
        }
        Err(failure) => {
            let end = RequestEnd::Failed(failure);
            report::record_end(&task, end, progress, None);
            failure.answer(&task.daemon.wire.head, Some(&task.head.id))
        }
    }
}

/// Counts the request for its service and its model.
fn record_arrival(task: &Task) {
    task.daemon.shared_view.with(|local_view| {
        local_view.retry_budgets.request_arrived(&task.service, task.arrived_ms);
        if let Some(size) = task.head.size.filter(|_| task.route.is_stream()) {
            local_view.prompt_arrived(&task.service, size, task.arrived_ms);
        }
        if let Some(model) = &task.head.model {
            local_view.model_request_arrived(&task.service, model, task.arrived_ms);
        }
    });
}

/// Counts one request as in flight until this guard is dropped.
struct InFlightGuard(Arc<Daemon>);

impl InFlightGuard {
    fn new(daemon: &Arc<Daemon>) -> Self {
        daemon.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(daemon))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
