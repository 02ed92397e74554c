//! One send of a request to one endpoint.

use crate::{
    broken,
    net::pool::{Connection, SendError},
    notices,
    traffic::{
        outcome::{Unanswered, WholeAnswer},
        patience::Patience,
        select::Taken,
        task::Task,
    },
};
use futures_lite::FutureExt;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol::Timer;
use std::{io::ErrorKind, sync::Arc, time::Duration};
use trestle_dispatch::{
    endpoint::Endpoint, loadable::Loadable, request::AnswerHead, unresolved_requests::Evidence,
};

/// Largest answer of a plain call that is taken.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The head of an endpoint's answer, its body still to come.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) taken: Taken,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) head: AnswerHead,
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// Fails if there is none that can be passed on within the time.
pub(crate) async fn send(
    task: &Arc<Task>,
    mut taken: Taken,
    last_event_id: Option<u64>,
    patience: Patience<'_>,
) -> Result<Attempt, Unanswered> {
    let sent_ms = task.elapsed_ms();
    task.note_sent();
    task.trial.sent(&taken.endpoint);
    let waited = patience.wait(exchange(task, &mut taken, last_event_id)).await;
    let sent = waited.unwrap_or_else(|| Err(Unanswered::TimedOut(task.elapsed_ms() - sent_ms)));
    let now_ms = task.daemon.knowledge.now_ms();
    let may_have_run =
        sent.as_ref().map_or_else(|unanswered| unanswered.end().may_have_run(), |_| true);
    task.payment.ended(may_have_run);
    if !matches!(sent, Err(Unanswered::Unreachable(_) | Unanswered::NotSent)) {
        task.place.use_up();
    }
    match sent {
        Ok((connection, response, head)) => Ok(Attempt { taken, connection, response, head }),
        Err(unanswered) => {
            match may_have_run {
                true => task.trial.unanswered(),
                false => {
                    task.trial.settled();
                    taken.settle();
                }
            }
            let name = &taken.endpoint.name;
            task.daemon.knowledge.with(|local_view| match &unanswered {
                Unanswered::NotRun(StatusCode::MISDIRECTED_REQUEST) => match &task.head.model {
                    Some(model) => {
                        let loadable = Loadable::new(model, task.head.adapter.as_ref());
                        local_view.records.denied(name, loadable, now_ms);
                    }
                    // Its address is another endpoint's now.
                    None => local_view.records.unreachable(name, now_ms),
                },
                Unanswered::NotRun(_) | Unanswered::NotSent => {}
                Unanswered::Unreachable(_) => local_view.records.unreachable(name, now_ms),
                Unanswered::Broke(_) | Unanswered::MayHaveRun(_) | Unanswered::TimedOut(_) => {
                    local_view.records.failed(name, now_ms);
                }
            });
            if matches!(unanswered, Unanswered::Broke(_)) {
                taken.broke();
            }
            let (list, name) = (task.list(), &taken.endpoint.name);
            tracing::info!(
                id = task.head.id, request = task.fingerprint(), endpoint = %name,
                list_version = list.version, list_age_ms = list.age_ms, list_from = list.way,
                reason = unanswered.reason(), elapsed_ms = task.elapsed_ms(), "request: A send failed."
            );
            Err(unanswered)
        }
    }
}

async fn exchange(
    task: &Arc<Task>,
    taken: &mut Taken,
    last_event_id: Option<u64>,
) -> Result<(Connection, Response<Incoming>, AnswerHead), Unanswered> {
    let (daemon, pool) = (&task.daemon, &task.daemon.pool);
    loop {
        let connection = pool.connection(&taken.endpoint).await;
        let mut connection = connection.map_err(|error| {
            if error.kind() == ErrorKind::ConnectionRefused {
                broken::ended(daemon, &taken.endpoint.incarnation(), Evidence::Refused);
            }
            Unanswered::Unreachable(error.to_string())
        })?;
        if !task.may_leave(&taken.endpoint) {
            return Err(Unanswered::NotSent);
        }
        let sent_ms = daemon.knowledge.now_ms();
        taken.leaves();
        match connection.send(task.request(&taken.endpoint, last_event_id)).await {
            Ok(response) => {
                notices::hear(daemon, &taken.endpoint, &response, &task.head.id, sent_ms);
                if response.status() == StatusCode::MISDIRECTED_REQUEST {
                    // It did not run, so it ends nothing.
                    taken.settle();
                }
                let (status, opened_ms) = (response.status(), connection.opened_ms());
                note_answered(task, &taken.endpoint, status, sent_ms, opened_ms);
                return check(task, connection, response).await;
            }
            // A kept connection had been closed; the request never left.
            Err(SendError::NotSent(_)) if !connection.is_fresh() => taken.settle(),
            Err(SendError::NotSent(reason)) => return Err(Unanswered::Unreachable(reason)),
            Err(SendError::Unknown(reason)) => return Err(Unanswered::Broke(reason)),
        }
    }
}

/// Notes what an answer shows of the endpoint that it comes from.
fn note_answered(
    task: &Task,
    endpoint: &Endpoint,
    status: StatusCode,
    sent_ms: u64,
    opened_ms: u64,
) {
    let incarnation = endpoint.incarnation();
    match (status, &task.head.model) {
        // It says so, or lacks the model.
        (StatusCode::MISDIRECTED_REQUEST, Some(_)) => {}
        (StatusCode::MISDIRECTED_REQUEST, None) => {
            broken::ended(&task.daemon, &incarnation, Evidence::Replaced);
        }
        _ => task.daemon.knowledge.with(|local_view| {
            local_view.unresolved_requests.answered(&incarnation, sent_ms, opened_ms);
        }),
    }
}

/// Whether the end of an answer's body shows that it is whole. Without a length it ends with its
/// connection, as it does where its endpoint ends.
pub(crate) fn shows_its_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Checks that an answer belongs to the request, and whether it ran.
async fn check(
    task: &Arc<Task>,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<(Connection, Response<Incoming>, AnswerHead), Unanswered> {
    let head = (task.daemon.wire.head.read_answer)(response.headers());
    if head.request_id.as_deref() != Some(task.head.id.as_str()) {
        return Err(Unanswered::MayHaveRun("the answer belongs to another request".to_owned()));
    }
    if head.is_not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(Unanswered::NotRun(response.status()));
    }
    if response.status().is_success() && (!head.is_signed || head.is_encoded) {
        return Err(Unanswered::MayHaveRun("the answer is not the endpoint's own".to_owned()));
    }
    Ok((connection, response, head))
}

impl Attempt {
    /// Reads the whole body, and keeps the connection.
    ///
    /// # Errors
    ///
    /// Fails if the body is not whole within the time.
    pub(crate) async fn whole(
        self,
        task: &Task,
        timeout_ms: u64,
    ) -> Result<WholeAnswer, Unanswered> {
        let Self { mut taken, connection, response, head } = self;
        let (mut parts, body) = response.into_parts();
        let shows_its_end = shows_its_end(&parts.headers);
        let collected = async {
            let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            whole
                .map(|whole| whole.to_bytes())
                .map_err(|error| Unanswered::Broke(error.to_string()))
        };
        let timed_out = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            Err(Unanswered::TimedOut(timeout_ms))
        };
        let knowledge = &task.daemon.knowledge;
        let name = &taken.endpoint.name;
        match collected.or(timed_out).await {
            Ok(content) => {
                let is_sound = !parts.status.is_server_error();
                let now_ms = knowledge.now_ms();
                knowledge.with(|local_view| match is_sound {
                    true => local_view.records.succeeded(name, now_ms),
                    false => local_view.records.failed(name, now_ms),
                });
                if shows_its_end {
                    task.trial.settled();
                    taken.settle();
                }
                if shows_its_end && parts.status.is_success() {
                    task.note_served(&taken.endpoint);
                }
                task.daemon.pool.keep(&taken.endpoint, connection, head.idle_ms);
                (task.daemon.wire.head.forward_answer)(&mut parts.headers);
                parts.headers.remove(http::header::CONTENT_LENGTH);
                Ok(WholeAnswer { response: Response::from_parts(parts, content) })
            }
            Err(unanswered) => {
                task.trial.unanswered();
                let now_ms = knowledge.now_ms();
                knowledge.with(|local_view| local_view.records.failed(name, now_ms));
                if matches!(unanswered, Unanswered::Broke(_)) {
                    taken.broke();
                }
                Err(unanswered)
            }
        }
    }
}
