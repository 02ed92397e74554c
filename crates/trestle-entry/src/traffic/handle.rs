//! From the head of a request to its route, and from there to its end.

use crate::{
    daemon::Daemon,
    traffic::{
        answer::{Body, Failure},
        payment::Payment,
        place::Place,
        plain,
        report::{self, Ended, StreamSeen},
        stream,
        task::{NOT_SENT, Task},
    },
    trial::Trial,
};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, header, request::Parts, uri::PathAndQuery};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol::Timer;
use std::{
    sync::{
        Arc, Mutex,
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

/// When a caller should come back while the daemon knows no configuration yet.
const UNKNOWN_RETRY_MS: u64 = 500;

/// The same while it cannot tell whether a key counts. The store has been away for seconds then;
/// whoever comes back at once is refused again.
const UNSURE_RETRY_MS: u64 = 2_000;

/// The same while the daemon is stopping; another daemon takes the next attempt.
const STOPPING_RETRY_MS: u64 = 100;

/// Answers one request.
pub(crate) async fn handle(daemon: Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let _counted = InFlight::new(&daemon);
    let is_ambiguous = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = match accept(&daemon, request).await {
        Ok(task) => see_through(task).await,
        Err((failure, id)) => {
            tracing::info!(id, end = failure.name(), "request: Not taken.");
            failure.answer(&daemon.wire.head, id.as_deref())
        }
    };
    // Two readings of one body are how a second request is hidden in it; nothing
    // that follows on such a connection is read.
    if is_ambiguous || daemon.stopping.has_begun() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request and finds its route.
async fn accept(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<Arc<Task>, (Failure, Option<String>)> {
    let arrived_ms = daemon.knowledge.now_ms();
    let (parts, body) = request.into_parts();
    let Some(head) = (daemon.wire.head.read_request)(&parts.headers) else {
        return Err((Failure::BadRequest, None));
    };
    let id = head.id.clone();
    let refuse = |failure| (failure, Some(id.clone()));
    let Some(catalog) = daemon.knowledge.catalog() else {
        return Err(refuse(Failure::NotRun {
            retry_after_ms: UNKNOWN_RETRY_MS,
            why: "no_configuration",
        }));
    };
    let both_lengths = parts.headers.contains_key(header::CONTENT_LENGTH)
        && parts.headers.contains_key(header::TRANSFER_ENCODING);
    if both_lengths {
        return Err(refuse(Failure::BadRequest));
    }
    let body = read_body(body, &catalog).await.map_err(refuse)?;
    let task =
        to_task(daemon, &catalog, Received { parts, head, body, arrived_ms }).map_err(refuse)?;
    Ok(Arc::new(task))
}

/// A request that was read whole.
struct Received {
    parts: Parts,
    head: RequestHead,
    body: Bytes,
    arrived_ms: u64,
}

fn to_task(daemon: &Arc<Daemon>, catalog: &Catalog, received: Received) -> Result<Task, Failure> {
    let Received { parts, mut head, body, arrived_ms } = received;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(Failure::BadRequest)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let route = catalog.routes.find(host, parts.uri.path());
    let mut route = route.ok_or_else(|| no_route(daemon, arrived_ms))?.clone();
    let identity = identify(daemon, catalog, &route, head.credential, arrived_ms)?;
    if let Some(priority) = identity.team().and_then(|team| team.priority) {
        route.priority = priority;
    }
    let service = route.target(&head.id).ok_or(Failure::NoRoute)?.clone();
    let allowed_ms = route.timeout_ms.min(head.deadline_ms.unwrap_or(u64::MAX));
    if !daemon.stopping.can_take(arrived_ms, allowed_ms) {
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
        list: Mutex::default(),
        trial: Trial::default(),
        payment: Payment::default(),
        place: Place::default(),
        held_back: Mutex::default(),
    })
}

/// What a caller is told whose route is not in the configuration. One that was added a moment
/// ago may not have come here yet, while neither the store nor a leader is heard.
fn no_route(daemon: &Daemon, now_ms: u64) -> Failure {
    match daemon.freshness.may_lack_config(now_ms) {
        true => Failure::NotRun { retry_after_ms: UNKNOWN_RETRY_MS, why: "configuration_unsure" },
        false => Failure::NoRoute,
    }
}

/// Who asks for a route.
fn identify(
    daemon: &Daemon,
    catalog: &Catalog,
    route: &Route,
    credential: Credential,
    arrived_ms: u64,
) -> Result<Identity, Failure> {
    let freshness = &daemon.freshness;
    let certainty = ConfigCertainty {
        proves_keys: freshness.proves_keys(arrived_ms),
        may_lack_newer: freshness.may_lack_config(arrived_ms),
    };
    Identity::of(catalog, route, credential, certainty).map_err(|not_admitted| match not_admitted {
        NotAdmitted::UnknownKey => Failure::NoKey,
        NotAdmitted::Unsure => {
            Failure::NotRun { retry_after_ms: UNSURE_RETRY_MS, why: "key_unsure" }
        }
    })
}

async fn read_body(body: Incoming, catalog: &Catalog) -> Result<Bytes, Failure> {
    let collected = async {
        match Limited::new(body, catalog.limits.body_bytes).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Failure::TooLarge),
            Err(_) => Err(Failure::BadRequest),
        }
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(catalog.limits.idle_ms)).await;
        Err(Failure::BadRequest)
    };
    collected.or(timed_out).await
}

async fn see_through(task: Arc<Task>) -> Response<Body> {
    note_arrival(&task);
    let outcome = match task.route.is_stream() {
        true => stream::run(&task).await,
        false => plain::run(&task).await,
    };
    let endpoint = outcome.endpoint.as_deref();
    match outcome.response {
        Ok(response) => {
            if !outcome.is_stream {
                report::ended(&task, Ended::Whole, endpoint, outcome.sends, StreamSeen::default());
            }
            response
        }
        Err(failure) => {
            let end = Ended::Failed(failure);
            report::ended(&task, end, endpoint, outcome.sends, StreamSeen::default());
            failure.answer(&task.daemon.wire.head, Some(&task.head.id))
        }
    }
}

fn note_arrival(task: &Task) {
    task.daemon.knowledge.with(|local_view| {
        local_view.request_arrived(&task.service, task.arrived_ms);
        if let Some(model) = &task.head.model {
            local_view.model_request_arrived(&task.service, model, task.arrived_ms);
        }
    });
}

/// A request that is being answered.
struct InFlight(Arc<Daemon>);

impl InFlight {
    fn new(daemon: &Arc<Daemon>) -> Self {
        daemon.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(daemon))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
