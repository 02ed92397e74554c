//! Plain calls: the whole answer is there before any of it is passed on.

use crate::traffic::{
    answer::{Body, Failure, RETRY_SOON_MS, whole},
    attempt,
    outcome::{Unanswered, WholeAnswer},
    patience::Patience,
    select::{self, Taken},
    task::Task,
};
use http::Response;
use std::sync::Arc;
use trestle_dispatch::{
    sends::{SendEnd, Sends},
    wait_limit,
};

/// What became of a request.
pub(crate) struct Outcome {
    pub(crate) response: Result<Response<Body>, Failure>,
    pub(crate) endpoint: Option<String>,
    pub(crate) sends: u32,
    /// Whether the answer goes on as a stream, whose end is reported later.
    pub(crate) is_stream: bool,
}

/// Sees a call through.
pub(crate) async fn run(task: &Arc<Task>) -> Outcome {
    let mut sends = Sends::default();
    let mut failed_answer = None;
    let is_repeatable = task.route.is_idempotent();
    let ended = loop {
        let taken = match select::select(task, &sends).await {
            Ok(taken) => taken,
            Err(failure) => break Err(failure),
        };
        if !task.take_next(&mut sends) {
            break Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "retries_spent" });
        }
        match send(task, taken, &mut sends).await {
            Ok(answer) if answer.response.status().is_server_error() && is_repeatable => {
                sends.record_end(SendEnd::Failed, task.daemon.shared_view.now_ms());
                failed_answer = Some(answer);
            }
            Ok(answer) => break Ok(answer),
            Err(unanswered) => sends.record_end(unanswered.end(), task.daemon.shared_view.now_ms()),
        }
        if task.is_over() || (sends.may_have_run && !is_repeatable) {
            break Err(Failure::MayHaveRun);
        }
    };
    let response = match (ended, failed_answer) {
        // An endpoint's own failure says more than one of ours.
        (Err(_), Some(answer)) | (Ok(answer), _) => Ok(answer.response.map(whole)),
        (Err(_), None) if sends.may_have_run && task.is_over() => Err(Failure::OutOfTime),
        (Err(_), None) if sends.may_have_run => Err(Failure::MayHaveRun),
        (Err(Failure::MayHaveRun), None) => {
            Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "out_of_time" })
        }
        (Err(failure), None) => Err(failure),
    };
    let endpoint = sends.last.map(|name| name.to_string());
    Outcome { response, endpoint, sends: sends.count, is_stream: false }
}

async fn send(
    task: &Arc<Task>,
    taken: Taken,
    sends: &mut Sends,
) -> Result<WholeAnswer, Unanswered> {
    task.daemon.metrics.record_send(sends.count == 0);
    sends.record_send(&taken.endpoint.name);
    // While another send is left, one that is no longer on time makes way for it.
    let patience = Patience { task, sends, slice_ms: wait_limit::answer_ms(&task.route) };
    let attempt = attempt::send(task, taken, None, patience).await?;
    attempt.whole(task, task.left_ms()).await
}
