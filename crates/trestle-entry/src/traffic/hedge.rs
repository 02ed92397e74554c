//! Sends a request to a second endpoint while it runs at one that has become silent.
//!
//! Whether the second endpoint takes the request is known only from its answer: it may be full, may
//! have lost the model, or the retry budget may be used up. So what runs is left only for an endpoint
//! that has accepted the request, by the head of its answer, and goes on otherwise. Whichever answers
//! first is kept, and the other one is aborted.

use crate::{
    connection_loss,
    traffic::{
        attempt::{self, Attempt, GiveUp},
        broken_stream::NotResumed,
        outcome::{AttemptError, CompleteAnswer},
        select,
        selected_endpoint::SelectedEndpoint,
        task::Task,
        wait_limit::{WaitLimit, Waited},
    },
};
use futures_lite::{FutureExt, pin};
use http::StatusCode;
use smol::Timer;
use std::{future::Future, pin::Pin, sync::Arc, time::Duration};
use trestle_dispatch::{
    endpoint::Endpoint,
    sends::{SendEnd, Sends},
};

/// A request that may be sent to a second endpoint.
#[derive(Debug)]
pub(crate) struct Hedge<'a> {
    pub(crate) task: &'a Arc<Task>,
    pub(crate) sends: &'a mut Sends,
    /// The last failure that an endpoint answered.
    pub(crate) failed_answer: &'a mut Option<CompleteAnswer>,
    /// The last event that the caller has.
    pub(crate) last_event_id: Option<u64>,
    /// Time after which an endpoint counts as silent.
    pub(crate) limit_ms: u64,
    /// Returns whether an endpoint accepts the request with an answer of this status.
    pub(crate) accepts: fn(StatusCode) -> bool,
}

/// The endpoint at which a request runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningAt<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// Whether it has sent the head of an answer.
    pub(crate) has_answered: bool,
}

/// Which of two endpoints answered first.
#[derive(Debug)]
pub(crate) enum Raced<T> {
    /// What ran at the first one is done.
    First(T),
    /// The second one has accepted the request.
    Second {
        /// Its answer.
        attempt: Box<Attempt>,
        /// The end of what ran at the first one, if it has failed meanwhile.
        failed: Option<T>,
    },
    /// The second one has not accepted the request, which still runs at the first one.
    NotAccepted,
}

impl Hedge<'_> {
    /// Sends the request to the endpoint that was selected, and also to another one while that one is
    /// silent. Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`attempt::send`] does if none of them answers.
    pub(crate) async fn send(
        &mut self,
        selected: SelectedEndpoint,
    ) -> Result<Attempt, AttemptError> {
        let task = self.task;
        task.daemon.metrics.record_send(self.sends.count == 0);
        let endpoint = selected.endpoint.clone();
        self.sends.record_send(&endpoint.name);
        let give_up = GiveUp::default();
        let first = attempt::send(task, selected, self.last_event_id, &give_up);
        pin!(first);
        let running_at = RunningAt { endpoint: &endpoint, has_answered: false };
        let result = loop {
            match self.wait(first.as_mut()).await {
                Waited::Done(result) => break result,
                Waited::OutOfTime => give_up.notify(),
                // It may have crashed the endpoint, so that no second attempt may run beside it.
                Waited::Silent if task.is_trial() => give_up.notify(),
                Waited::Silent => match self.race(first.as_mut(), running_at, Result::is_err).await
                {
                    Raced::First(result) => break result,
                    Raced::Second { attempt, failed } => {
                        let end = match failed {
                            Some(Err(error)) => error.send_end(),
                            Some(Ok(_)) | None => SendEnd::TimedOut,
                        };
                        if end == SendEnd::TimedOut {
                            give_up.notify();
                            // An answer that comes at this moment is not used.
                            let _ = first.await;
                        }
                        task.record_send_end(self.sends, &endpoint.name, end);
                        return Ok(*attempt);
                    }
                    Raced::NotAccepted => {}
                },
            }
        };
        if let Err(error) = &result {
            task.record_send_end(self.sends, &endpoint.name, error.send_end());
        }
        result
    }

    /// Waits for what runs at an endpoint until that counts as silent.
    pub(crate) async fn wait<T>(&self, first: Pin<&mut impl Future<Output = T>>) -> Waited<T> {
        let wait_limit = WaitLimit { task: self.task, sends: self.sends, limit_ms: self.limit_ms };
        wait_limit.wait(first).await
    }

    /// Sends the request to a second endpoint while `first` runs at a silent one. If the first one
    /// fails, the second one is waited for.
    pub(crate) async fn race<T>(
        &mut self,
        mut first: Pin<&mut impl Future<Output = T>>,
        running_at: RunningAt<'_>,
        has_failed: impl Fn(&T) -> bool,
    ) -> Raced<T> {
        let RunningAt { endpoint, has_answered } = running_at;
        let task = self.task;
        connection_loss::record_silent(&task.daemon, endpoint, &task.head, has_answered);
        let result = {
            let second = self.send_second(endpoint);
            pin!(second);
            let first_done = async { Done::First(first.as_mut().await) };
            let second_done = async { Done::Second(second.as_mut().await) };
            match first_done.or(second_done).await {
                Done::First(end) if has_failed(&end) => match second.await {
                    Ok(attempt) => Raced::Second { attempt: Box::new(attempt), failed: Some(end) },
                    Err(_) => Raced::First(end),
                },
                Done::First(end) => Raced::First(end),
                Done::Second(Ok(attempt)) => {
                    Raced::Second { attempt: Box::new(attempt), failed: None }
                }
                Done::Second(Err(why)) => {
                    tracing::info!(
                        id = task.head.id, endpoint = %endpoint.name, why,
                        elapsed_ms = task.elapsed_ms(),
                        "request: No other endpoint takes it; it goes on at the silent one."
                    );
                    Raced::NotAccepted
                }
            }
        };
        if matches!(result, Raced::First(_)) {
            for aborted in self.sends.record_others_aborted(&endpoint.name) {
                tracing::info!(
                    id = task.head.id, endpoint = %endpoint.name, %aborted,
                    elapsed_ms = task.elapsed_ms(),
                    "request: The silent endpoint was first; the other send is aborted."
                );
            }
        }
        result
    }

    /// Sends the request to another endpoint than the silent one. Fails with the reason, for logs.
    async fn send_second(&mut self, silent: &Endpoint) -> Result<Attempt, &'static str> {
        let remaining_ms = self.task.remaining_ms();
        let timed_out = async {
            Timer::after(Duration::from_millis(remaining_ms)).await;
            Err(NotResumed::OutOfTime.name())
        };
        self.try_second(silent).or(timed_out).await
    }

    async fn try_second(&mut self, silent: &Endpoint) -> Result<Attempt, &'static str> {
        let task = self.task;
        let selected = select::select_now(task, self.sends).await?;
        if let Some(reason) = NotResumed::from_next_send(task.reserve_next_send(self.sends)) {
            return Err(reason.name());
        }
        task.daemon.metrics.record_send(false);
        let name = selected.endpoint.name.clone();
        self.sends.record_send(&name);
        tracing::info!(
            id = task.head.id, silent = %silent.name, endpoint = %name,
            last_id = self.last_event_id, elapsed_ms = task.elapsed_ms(),
            "request: An endpoint is silent; the request is also sent to another one."
        );
        let result = attempt::send(task, selected, self.last_event_id, &GiveUp::default()).await;
        let attempt = match result {
            Ok(attempt) => attempt,
            Err(error) => {
                task.record_send_end(self.sends, &name, error.send_end());
                return Err("endpoint_refused");
            }
        };
        let status = attempt.response.status();
        if (self.accepts)(status) {
            return Ok(attempt);
        }
        *self.failed_answer = attempt.read_complete(task, task.remaining_ms()).await.ok();
        task.record_send_end(self.sends, &name, SendEnd::Failed);
        Err(NotResumed::Answered(status).name())
    }
}

/// Which of two futures is done first.
enum Done<A, B> {
    First(A),
    Second(B),
}
