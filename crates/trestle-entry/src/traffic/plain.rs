//! Plain calls: the whole answer is there before any of it is passed on.

use crate::traffic::{
    answer::{Body, Failure, RETRY_SOON_MS, whole},
    attempt::{self, Unanswered, WholeAnswer},
    select::{self, Taken},
    task::Task,
};
use http::Response;
use std::{collections::BTreeSet, sync::Arc};
use trestle_core::names::EndpointName;

/// What became of a call.
pub(crate) struct Outcome {
    pub(crate) response: Result<Response<Body>, Failure>,
    pub(crate) endpoint: Option<String>,
    pub(crate) sends: u32,
    /// Whether the answer goes on as a stream, whose end is reported later.
    pub(crate) is_stream: bool,
}

/// Sees a call through.
pub(crate) async fn run(task: &Arc<Task>) -> Outcome {
    let mut course = Course::default();
    let ended = loop {
        let taken = match select::select(task, &course.tried).await {
            Ok(taken) => taken,
            Err(failure) => break Err(failure),
        };
        if course.sends > 0 && !may_send_again(task, &course) {
            break Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS });
        }
        match send(task, taken, &mut course).await {
            Ok(answer) if answer.response.status().is_server_error() && is_repeatable(task) => {
                course.may_have_run = true;
                course.failed_answer = Some(answer);
            }
            Ok(answer) => break Ok(answer),
            Err(unanswered) => course.may_have_run |= unanswered.may_have_run(),
        }
        if task.is_over() || (course.may_have_run && !is_repeatable(task)) {
            break Err(Failure::MayHaveRun);
        }
    };
    let response = match (ended, course.failed_answer.take()) {
        // An endpoint's own failure says more than one of ours.
        (Err(_), Some(answer)) | (Ok(answer), _) => Ok(answer.response.map(whole)),
        (Err(_), None) if course.may_have_run && task.is_over() => Err(Failure::OutOfTime),
        (Err(_), None) if course.may_have_run => Err(Failure::MayHaveRun),
        (Err(failure), None) => Err(failure),
    };
    Outcome { response, endpoint: course.last, sends: course.sends, is_stream: false }
}

/// How far a call has come.
#[derive(Default)]
struct Course {
    tried: BTreeSet<EndpointName>,
    sends: u32,
    may_have_run: bool,
    failed_answer: Option<WholeAnswer>,
    last: Option<String>,
}

async fn send(
    task: &Arc<Task>,
    taken: Taken,
    course: &mut Course,
) -> Result<WholeAnswer, Unanswered> {
    course.tried.insert(taken.endpoint.name.clone());
    course.last = Some(taken.endpoint.name.to_string());
    task.daemon.metrics.send(course.sends == 0);
    course.sends += 1;
    let is_last = course.sends >= task.route.attempts;
    let timeout_ms = match is_repeatable(task) && !is_last {
        true => task.route.objective_ms.min(task.left_ms()),
        false => task.left_ms(),
    };
    let attempt = attempt::send(task, taken, None, timeout_ms).await?;
    attempt.whole(task, task.left_ms()).await
}

fn is_repeatable(task: &Task) -> bool {
    task.route.is_idempotent()
}

fn may_send_again(task: &Task, course: &Course) -> bool {
    let now_ms = task.daemon.knowledge.now_ms();
    course.sends < task.route.attempts
        && task.daemon.knowledge.with(|beliefs| beliefs.take_retry(&task.service, now_ms))
}
