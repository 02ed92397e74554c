//! Forwards requests that are no streams: the answer is read completely before any of it is passed
//! on.

use crate::traffic::{
    answer::{Body, Failure, RETRY_SOON_MS, full_body},
    hedge::Hedge,
    outcome::{AttemptError, CompleteAnswer},
    select,
    selected_endpoint::SelectedEndpoint,
    task::Task,
};
use http::{Response, StatusCode};
use std::sync::Arc;
use trestle_dispatch::{
    sends::{NextSend, SendEnd, Sends},
    wait_limit,
};

/// The result of forwarding a request.
pub(crate) struct ForwardOutcome {
    pub(crate) response: Result<Response<Body>, Failure>,
    /// The endpoint of the last send; `None` if the request was not sent.
    pub(crate) endpoint: Option<String>,
    pub(crate) sends: u32,
    /// Whether the answer is a stream, whose end is reported later.
    pub(crate) is_stream: bool,
}

/// Sends a request until an endpoint has answered it or no further send can be made.
pub(crate) async fn run(task: &Arc<Task>) -> ForwardOutcome {
    let mut sends = Sends::default();
    let mut failed_answer = None;
    let is_idempotent = task.route.is_idempotent();
    let result = loop {
        let selected = match select::select(task, &sends).await {
            Ok(selected) => selected,
            Err(failure) => break Err(failure),
        };
        if task.reserve_next_send(&mut sends) != NextSend::Allowed {
            break Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "retries_spent" });
        }
        match send(task, selected, &mut sends, &mut failed_answer).await {
            Ok(answer) if answer.response.status().is_server_error() && is_idempotent => {
                failed_answer = Some(answer);
            }
            Ok(answer) => break Ok(answer),
            Err(_) => {}
        }
        if task.is_expired() || (sends.may_have_run && !is_idempotent) {
            break Err(Failure::MayHaveRun);
        }
    };
    let response = match (result, failed_answer) {
        // The endpoint's own failure tells the caller more than one of the daemon's.
        (Err(_), Some(answer)) | (Ok(answer), _) => Ok(answer.response.map(full_body)),
        (Err(_), None) if sends.may_have_run && task.is_expired() => Err(Failure::OutOfTime),
        (Err(_), None) if sends.may_have_run => Err(Failure::MayHaveRun),
        (Err(Failure::MayHaveRun), None) => {
            Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "out_of_time" })
        }
        (Err(failure), None) => Err(failure),
    };
    let endpoint = sends.last.map(|name| name.to_string());
    ForwardOutcome { response, endpoint, sends: sends.count, is_stream: false }
}

/// Sends the request, and reads the complete answer of the first endpoint that sends the head of one.
/// While an endpoint is too late for the route's objective, the request is also sent to another one.
async fn send(
    task: &Arc<Task>,
    selected: SelectedEndpoint,
    sends: &mut Sends,
    failed_answer: &mut Option<CompleteAnswer>,
) -> Result<CompleteAnswer, AttemptError> {
    let mut hedge = Hedge {
        task,
        sends,
        failed_answer,
        last_event_id: None,
        limit_ms: wait_limit::answer_ms(&task.route),
        accepts: |status: StatusCode| !status.is_server_error(),
    };
    let attempt = hedge.send(selected).await?;
    let endpoint = attempt.selected.endpoint.name.clone();
    let result = attempt.read_complete(task, task.remaining_ms()).await;
    let end = match &result {
        Ok(answer) if answer.response.status().is_server_error() => Some(SendEnd::Failed),
        Ok(_) => None,
        Err(error) => Some(error.send_end()),
    };
    if let Some(end) = end {
        task.record_send_end(sends, &endpoint, end);
    }
    result
}
