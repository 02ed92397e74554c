//! Sends a request to one endpoint once, and reads the answer.

use crate::{
    answer_bounds, connection_loss,
    detour::client,
    held_bytes::{Content, HeldGuard, NotHeld},
    net::{
        bounded_stream::ReadProgress,
        pool::{Connection, SendError},
    },
    paths, schedule, signals,
    traffic::{
        outcome::{AttemptError, CompleteAnswer},
        selected_endpoint::SelectedEndpoint,
        task::Task,
    },
};
use bytes::{Bytes, BytesMut};
use event_listener::Event;
use futures_lite::FutureExt;
use http::{HeaderMap, Response, StatusCode, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::Timer;
use std::{
    io::ErrorKind,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use trestle_dispatch::{
    endpoint::Endpoint, loadable::Loadable, read_budget::AnswerBound, request::AnswerHead,
    unresolved_requests::Evidence,
};

/// A send that was answered: the head of the answer, whose body is not read yet.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) selected: SelectedEndpoint,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) head: AnswerHead,
}

/// Tells a send that it is given up.
#[derive(Debug, Default)]
pub(crate) struct GiveUp {
    is_given_up: AtomicBool,
    given_up: Event,
}

impl GiveUp {
    /// Gives up the send, which then fails as [`AttemptError::TimedOut`].
    pub(crate) fn notify(&self) {
        self.is_given_up.store(true, Ordering::SeqCst);
        self.given_up.notify(usize::MAX);
    }

    async fn wait(&self) {
        let given_up = self.given_up.listen();
        if !self.is_given_up.load(Ordering::SeqCst) {
            given_up.await;
        }
    }
}

/// Sends a request to the endpoint that was selected, and waits for the head of the answer.
///
/// # Errors
///
/// Fails if no answer that can be passed on to the caller arrives before the send is given up. The
/// error says whether the request may have run.
pub(crate) async fn send(
    task: &Arc<Task>,
    mut selected: SelectedEndpoint,
    last_event_id: Option<u64>,
    give_up: &GiveUp,
) -> Result<Attempt, AttemptError> {
    let sent_after_ms = task.elapsed_ms();
    task.record_sent();
    let given_up = async {
        give_up.wait().await;
        Err(AttemptError::TimedOut(task.elapsed_ms() - sent_after_ms))
    };
    let answered = exchange(task, &mut selected, last_event_id).or(given_up).await;
    let now_ms = task.daemon.shared_view.now_ms();
    let may_have_run =
        answered.as_ref().map_or_else(|error| error.send_end().may_have_run(), |_| true);
    task.quota_reservation.record_end(&selected.endpoint.name, may_have_run);
    if !matches!(
        answered,
        Err(AttemptError::Unreachable(_) | AttemptError::NotSent | AttemptError::Restricted)
    ) {
        task.held_permit.clear();
        task.prompt_schedule.sent();
    }
    match answered {
        Ok((connection, response, head)) => Ok(Attempt { selected, connection, response, head }),
        Err(error) => {
            match may_have_run {
                true => task.trial.unanswered(),
                false => {
                    task.trial.settled();
                    selected.resolve();
                }
            }
            if error.is_endpoint_failure() && !task.is_expired() {
                schedule::record_start(task, &selected.endpoint, None);
            }
            let name = &selected.endpoint.name;
            task.daemon.shared_view.with(|local_view| match &error {
                AttemptError::NotRun(StatusCode::MISDIRECTED_REQUEST) => match &task.head.model {
                    Some(model) => {
                        let loadable = Loadable::new(model, task.head.adapter.as_ref());
                        local_view.records.reported_missing(name, loadable, now_ms);
                    }
                    // Another endpoint listens at the address now.
                    None => local_view.records.unreachable(name, now_ms),
                },
                AttemptError::NotRun(_) | AttemptError::NotSent | AttemptError::Restricted => {}
                AttemptError::Unreachable(_) => local_view.records.unreachable(name, now_ms),
                AttemptError::ConnectionLost(_)
                | AttemptError::InvalidAnswer(_)
                | AttemptError::PassedBound(_)
                | AttemptError::TimedOut(_) => {
                    local_view.records.failed(name, now_ms);
                }
            });
            if let AttemptError::PassedBound(bound) = error {
                answer_bounds::record_passed(&task.daemon, &selected.endpoint, bound);
            }
            if matches!(error, AttemptError::ConnectionLost(_)) {
                selected.record_connection_lost();
            }
            if let (AttemptError::TimedOut(_), Some(helper)) = (&error, task.helper()) {
                client::helper_failed(&task.daemon, helper);
            }
            let (list, name) = (task.list_info(), &selected.endpoint.name);
            tracing::info!(
                id = task.head.id, request = task.fingerprint(), endpoint = %name,
                list_version = list.version.number, list_era = list.version.era,
                list_age_ms = list.age_ms, list_from = list.source,
                detour_by = task.helper().map(tracing::field::display),
                parts = task.parts(), reason = error.reason(), elapsed_ms = task.elapsed_ms(), "request: A send failed."
            );
            Err(error)
        }
    }
}

/// Opens or reuses a connection, sends the request over it, and checks the head of the answer. A new
/// connection that ends before the request is written is replaced once.
async fn exchange(
    task: &Arc<Task>,
    selected: &mut SelectedEndpoint,
    last_event_id: Option<u64>,
) -> Result<(Connection, Response<Incoming>, AnswerHead), AttemptError> {
    let daemon = &task.daemon;
    let mut was_reset = false;
    loop {
        let connection = paths::connection(daemon, &selected.endpoint).await;
        let mut connection = connection.map_err(|error| {
            if error.kind() == ErrorKind::ConnectionRefused {
                connection_loss::record_terminated(
                    daemon,
                    &selected.endpoint.incarnation(),
                    Evidence::Refused,
                );
            }
            AttemptError::Unreachable(error.to_string())
        })?;
        task.record_helper(connection.helper());
        if task.is_restricted() {
            return Err(AttemptError::Restricted);
        }
        if !task.may_send(&selected.endpoint) {
            return Err(AttemptError::NotSent);
        }
        let sent_ms = daemon.shared_view.now_ms();
        selected.record_sent();
        task.trial.sent(&selected.endpoint);
        task.log_if_suspected(&selected.endpoint);
        match connection.send(task.to_http_request(&selected.endpoint, last_event_id)).await {
            Ok(response) => {
                selected.record_answered();
                signals::process(daemon, &selected.endpoint, &response, &task.head.id, sent_ms);
                if response.status() == StatusCode::MISDIRECTED_REQUEST {
                    // The request did not run here, so it cannot crash this endpoint.
                    selected.resolve();
                }
                let (status, opened_ms) = (response.status(), connection.opened_ms());
                record_answer_status(task, &selected.endpoint, status, sent_ms, opened_ms);
                paths::record_answer(daemon, &selected.endpoint, &connection);
                return validate(task, connection, response).await;
            }
            // The idle connection was closed before the request was sent; take another one.
            Err(SendError::NotSent(_)) if !connection.is_fresh() => selected.resolve(),
            Err(SendError::NotSent(reason)) => {
                paths::record_lost(daemon, &selected.endpoint, &connection);
                if std::mem::replace(&mut was_reset, true) {
                    return Err(AttemptError::Unreachable(reason));
                }
                // The path is reset. The next connection takes a detour, if another daemon helps.
                selected.resolve();
            }
            Err(SendError::PassedBound(bound)) => return Err(AttemptError::PassedBound(bound)),
            Err(SendError::Unknown(reason)) => {
                paths::record_lost(daemon, &selected.endpoint, &connection);
                return Err(AttemptError::ConnectionLost(reason));
            }
        }
    }
}

/// Records what the status of an answer shows about the endpoint: that it runs, or that another
/// endpoint replaced it.
fn record_answer_status(
    task: &Task,
    endpoint: &Endpoint,
    status: StatusCode,
    sent_ms: u64,
    opened_ms: u64,
) {
    let incarnation = endpoint.incarnation();
    let now_ms = task.daemon.shared_view.now_ms();
    task.daemon.shared_view.with(|local_view| local_view.records.gave_sign(&endpoint.name, now_ms));
    match (status, &task.head.model) {
        // The endpoint may have been replaced, or may run and only lack the model; the status does
        // not tell which.
        (StatusCode::MISDIRECTED_REQUEST, Some(_)) => {}
        (StatusCode::MISDIRECTED_REQUEST, None) => {
            connection_loss::record_terminated(&task.daemon, &incarnation, Evidence::Replaced);
        }
        _ => task.daemon.shared_view.with(|local_view| {
            local_view.endpoint_answered(&incarnation, sent_ms, opened_ms, now_ms);
        }),
    }
}

/// Returns whether the framing of an answer shows when its body is complete. A body without a
/// length ends when its connection closes, which also happens when the endpoint crashes.
pub(crate) fn has_explicit_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Checks that an answer belongs to the request and that the endpoint ran the request.
async fn validate(
    task: &Arc<Task>,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<(Connection, Response<Incoming>, AnswerHead), AttemptError> {
    let head = (task.daemon.wire.head.read_answer)(response.headers());
    if head.request_id.as_deref() != Some(task.head.id.as_str()) {
        return Err(AttemptError::InvalidAnswer(
            "the answer belongs to another request".to_owned(),
        ));
    }
    if head.is_not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::NotRun(response.status()));
    }
    if response.status().is_success() && (!head.is_signed || head.is_encoded) {
        return Err(AttemptError::InvalidAnswer("the answer is not the endpoint's own".to_owned()));
    }
    Ok((connection, response, head))
}

/// Returns what the body of an answer is held as.
fn content_of(body: &Incoming) -> Content {
    match body.size_hint().exact() {
        Some(_) => Content::Answer,
        None => Content::UnsizedAnswer,
    }
}

/// Reads a body completely. While too many bytes are held, nothing further is read.
async fn read_held(
    mut body: Incoming,
    progress: &ReadProgress,
    held: &mut HeldGuard,
) -> Result<Bytes, AttemptError> {
    let too_large = || AttemptError::PassedBound(AnswerBound::AnswerBytes);
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if held.check(announced_bytes) == Err(NotHeld::TooLarge) {
        return Err(too_large());
    }
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match progress.is_exceeded() {
            true => AttemptError::PassedBound(AnswerBound::BytesWithoutProgress),
            false => AttemptError::ConnectionLost(error.to_string()),
        })?;
        progress.record_frame(&frame);
        if let Ok(data) = frame.into_data() {
            held.grow(data.len()).await.map_err(|_| too_large())?;
            content.extend_from_slice(&data);
        }
    }
    Ok(content.freeze())
}

impl Attempt {
    /// Reads the complete body, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the body is not complete within `timeout_ms`.
    pub(crate) async fn read_complete(
        self,
        task: &Task,
        timeout_ms: u64,
    ) -> Result<CompleteAnswer, AttemptError> {
        let Self { mut selected, connection, response, head } = self;
        let (mut parts, body) = response.into_parts();
        let has_explicit_end = has_explicit_end(&parts.headers);
        let mut held = task.daemon.held_bytes.guard(content_of(&body));
        let read = read_held(body, connection.progress(), &mut held);
        let timed_out = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            Err(AttemptError::TimedOut(timeout_ms))
        };
        let shared_view = &task.daemon.shared_view;
        let name = &selected.endpoint.name;
        let result = read.or(timed_out).await;
        match result {
            Ok(content) => {
                let content = held.release_with(content);
                let is_healthy = !parts.status.is_server_error();
                let now_ms = shared_view.now_ms();
                shared_view.with(|local_view| match is_healthy {
                    true => local_view.records.succeeded(name, now_ms),
                    false => local_view.records.failed(name, now_ms),
                });
                if parts.status.is_success() {
                    selected.record_begun();
                }
                if has_explicit_end {
                    task.trial.settled();
                    selected.resolve();
                }
                if has_explicit_end && parts.status.is_success() {
                    task.record_served(&selected.endpoint);
                }
                task.daemon.pool.keep(&selected.endpoint, connection, head.idle_ms);
                (task.daemon.wire.head.forward_answer)(&mut parts.headers);
                parts.headers.remove(http::header::CONTENT_LENGTH);
                Ok(CompleteAnswer { response: Response::from_parts(parts, content) })
            }
            Err(error) => {
                task.trial.unanswered();
                let now_ms = shared_view.now_ms();
                // The endpoint is not to blame if its answer had to wait for others here.
                if !held.is_waiting() {
                    shared_view.with(|local_view| local_view.records.failed(name, now_ms));
                }
                if matches!(error, AttemptError::ConnectionLost(_)) {
                    selected.record_connection_lost();
                }
                if let AttemptError::PassedBound(bound) = error {
                    answer_bounds::record_passed(&task.daemon, &selected.endpoint, bound);
                }
                Err(error)
            }
        }
    }
}
