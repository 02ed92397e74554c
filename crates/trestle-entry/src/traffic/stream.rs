//! Forwards streams: each event is passed on when it is complete.
//!
//! The head of the answer is sent to the caller with the first event, so another send may follow
//! one that fails before. If a stream fails later and its route is idempotent, it is resumed at
//! another endpoint after the last event that was passed on. Otherwise the caller's connection is
//! closed without the end of the stream. While the endpoint is only silent, the stream is moved if
//! another endpoint has accepted it, and goes on otherwise.

use crate::{
    streams::lookup,
    traffic::{
        answer::{Failure, RETRY_SOON_MS, full_body},
        attempt::Attempt,
        broken_stream::{NotResumed, StreamError},
        event_reader::{EventReader, Received},
        forwarded_stream::ForwardedStream,
        hedge::{Hedge, Raced, RunningAt},
        outcome::CompleteAnswer,
        plain::ForwardOutcome,
        select,
        task::Task,
        wait_limit::Waited,
    },
};
use bytes::Bytes;
use futures_lite::{pin, stream};
use http::{Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use std::sync::Arc;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    sends::{SendEnd, Sends},
    wait_limit,
};

/// Runs a request until the first event of its stream; the body of the answer forwards the rest.
pub(crate) async fn run(task: &Arc<Task>) -> ForwardOutcome {
    let mut transfer = StreamTransfer::new(task);
    let start = match lookup::bind_to_origin(task).await {
        Ok(()) => transfer.open().await,
        Err(failure) => Err(failure),
    };
    let endpoint = transfer.sends.last.as_ref().map(ToString::to_string);
    let sends = transfer.sends.count;
    let is_stream = matches!(start, Ok(StreamStart::Events(..)));
    let response = match start {
        Ok(StreamStart::Events(parts, first)) => {
            transfer.log_if_continued();
            transfer.bind_to_source();
            task.daemon.metrics.record_first_part(&task.route.name, task.elapsed_ms());
            let forwarded = ForwardedStream::new(transfer, first);
            let body =
                StreamBody::new(stream::unfold(forwarded, ForwardedStream::next)).boxed_unsync();
            Ok(Response::from_parts(*parts, body))
        }
        Ok(StreamStart::Complete(answer)) => Ok(answer.response.map(full_body)),
        Err(failure) => Err(failure),
    };
    ForwardOutcome { response, endpoint, sends, is_stream }
}

/// How an answer begins.
enum StreamStart {
    /// The head of a stream and its first events; `None` if the stream is complete without any.
    Events(Box<Parts>, Option<Bytes>),
    /// A complete answer that is no stream of events.
    Complete(CompleteAnswer),
}

/// The next part of a stream.
#[derive(Debug)]
pub(crate) enum Step {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream failed at its endpoint, and runs nowhere.
    Error(StreamError),
}

/// Why a request is not being answered by the endpoint that was tried last.
enum Unsent {
    /// The send failed, and another may follow.
    Failed,
    /// No further send is made, for this reason.
    Final(NotResumed),
}

impl From<NotResumed> for Failure {
    fn from(not_sent: NotResumed) -> Self {
        match not_sent {
            NotResumed::NotSelected(failure) => failure,
            NotResumed::OutOfTime => Self::OutOfTime,
            NotResumed::NoAttemptLeft | NotResumed::NoRetryLeft => {
                Self::NotRun { retry_after_ms: RETRY_SOON_MS, why: "retries_spent" }
            }
            NotResumed::NotIdempotent | NotResumed::VersionUnknown | NotResumed::Answered(_) => {
                Self::MayHaveRun
            }
        }
    }
}

/// One stream, over all the sends that it takes.
pub(crate) struct StreamTransfer {
    task: Arc<Task>,
    sends: Sends,
    /// The last failure that an endpoint answered; passed on if no later send succeeds.
    failed_answer: Option<CompleteAnswer>,
    reader: EventReader,
}

impl StreamTransfer {
    fn new(task: &Arc<Task>) -> Self {
        Self {
            task: Arc::clone(task),
            sends: Sends::default(),
            failed_answer: None,
            reader: EventReader::new(task),
        }
    }

    /// Returns the request.
    pub(crate) fn task(&self) -> &Task {
        &self.task
    }

    /// Returns the endpoint that runs the stream, or else that of the last send.
    pub(crate) fn endpoint(&self) -> Option<&EndpointName> {
        self.sends.last.as_ref()
    }

    /// Returns the number of sends.
    pub(crate) fn send_count(&self) -> u32 {
        self.sends.count
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.reader.last_id()
    }

    /// Logs at which version of the software the stream goes on that a caller continues.
    fn log_if_continued(&self) {
        let head = &self.task.head;
        let Some(selected) = self.reader.selected().filter(|_| head.last_event_id.is_some()) else {
            return;
        };
        tracing::info!(
            id = head.id, continues = head.continues, after = head.last_event_id,
            endpoint = %selected.endpoint.name, software = selected.software(),
            "request: A caller continues a stream."
        );
    }

    /// Sends the request until a first event arrives, or an answer that is no stream.
    async fn open(&mut self) -> Result<StreamStart, Failure> {
        loop {
            let attempt = match self.send().await {
                Ok(attempt) => attempt,
                Err(Unsent::Final(not_sent)) => return self.final_result(not_sent.into()),
                Err(Unsent::Failed) => continue,
            };
            if !is_stream(attempt.response.status()) {
                let endpoint = attempt.selected.endpoint.name.clone();
                match attempt.read_complete(&self.task, self.task.remaining_ms()).await {
                    Ok(answer) if !self.is_resumable() => return Ok(StreamStart::Complete(answer)),
                    Ok(answer) => self.failed_answer = Some(answer),
                    Err(_) => {}
                }
                self.task.record_send_end(&mut self.sends, &endpoint, SendEnd::Failed);
                if !self.is_resumable() {
                    return self.final_result(Failure::MayHaveRun);
                }
                continue;
            }
            let mut parts = self.reader.set_source(&self.task, attempt);
            let limit_ms = wait_limit::first_event_ms(&self.task.route);
            match self.next_step_with(limit_ms, |new_parts| parts = new_parts).await {
                // A stream that is cut right after its head may reach the caller as nothing at all.
                Step::Events(_) if self.task.is_expired() => {
                    self.record_stream_error(&StreamError::OutOfTime);
                    return self.final_result(Failure::OutOfTime);
                }
                Step::Events(first) => {
                    return Ok(StreamStart::Events(Box::new(parts), Some(first)));
                }
                Step::End => return Ok(StreamStart::Events(Box::new(parts), None)),
                Step::Error(error) => {
                    self.record_stream_error(&error);
                    if !self.is_resumable() {
                        return self.final_result(Failure::MayHaveRun);
                    }
                }
            }
        }
    }

    /// Binds the stream to the version of its source, which has sent the first event, and records
    /// where it began.
    fn bind_to_source(&self) {
        let Some(selected) = self.reader.selected() else { return };
        if self.is_resumable() {
            lookup::bind_to_endpoint(&self.task, &selected.endpoint);
        }
    }

    /// Resumes the stream at another endpoint, which must run the version that began it.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no endpoint accepts the stream.
    pub(crate) async fn resume(&mut self) -> Result<(), NotResumed> {
        if !self.is_resumable() {
            return Err(NotResumed::NotIdempotent);
        }
        if self.task.is_expired() {
            return Err(NotResumed::OutOfTime);
        }
        if self.task.version.get().is_none() {
            return Err(NotResumed::VersionUnknown);
        }
        loop {
            match self.send().await {
                Ok(attempt) if is_stream(attempt.response.status()) => {
                    self.continue_at(attempt);
                    return Ok(());
                }
                Ok(attempt) => return Err(NotResumed::Answered(attempt.response.status())),
                Err(Unsent::Final(not_resumed)) => return Err(not_resumed),
                Err(Unsent::Failed) => {}
            }
        }
    }

    /// Continues the stream with the answer of another endpoint. Returns the head of the answer.
    fn continue_at(&mut self, attempt: Attempt) -> Parts {
        tracing::info!(
            id = self.task.head.id, endpoint = %attempt.selected.endpoint.name,
            software = attempt.selected.software(), last_id = self.reader.last_id(),
            "request: A stream continues at another endpoint."
        );
        self.reader.set_source(&self.task, attempt)
    }

    /// Sends the request until an endpoint has sent the head of an answer, or the send failed.
    async fn send(&mut self) -> Result<Attempt, Unsent> {
        if self.task.is_expired() {
            return Err(Unsent::Final(NotResumed::OutOfTime));
        }
        let selected = select::select(&self.task, &self.sends).await;
        let selected =
            selected.map_err(|failure| Unsent::Final(NotResumed::NotSelected(failure)))?;
        let next = self.task.reserve_next_send(&mut self.sends);
        if let Some(not_resumed) = NotResumed::from_next_send(next) {
            return Err(Unsent::Final(not_resumed));
        }
        let mut hedge = Hedge {
            task: &self.task,
            sends: &mut self.sends,
            failed_answer: &mut self.failed_answer,
            last_event_id: self.reader.last_id(),
            limit_ms: wait_limit::first_event_ms(&self.task.route),
            accepts: is_stream,
        };
        hedge.send(selected).await.map_err(|error| {
            match error.send_end().may_have_run() && !self.is_resumable() {
                true => Unsent::Final(NotResumed::NotIdempotent),
                false => Unsent::Failed,
            }
        })
    }

    /// Returns the next complete events. If none come within `limit_ms`, the stream is moved to another
    /// endpoint, if one accepts it.
    pub(crate) async fn next_step(&mut self, limit_ms: u64) -> Step {
        self.next_step_with(limit_ms, |_| ()).await
    }

    /// Returns the next complete events, as [`Self::next_step`] does. `moved` gets the head of the answer
    /// of each endpoint to which the stream is moved.
    async fn next_step_with(&mut self, limit_ms: u64, mut moved: impl FnMut(Parts)) -> Step {
        loop {
            if let Some(events) = self.reader.take_events() {
                return Step::Events(events);
            }
            let received = match self.receive(limit_ms).await {
                Source::Same(received) => received,
                Source::Moved { attempt, error } => {
                    self.record_stream_error(&error);
                    moved(self.continue_at(*attempt));
                    continue;
                }
            };
            match received {
                Received::Bytes(bytes) => {
                    if let Err(error) = self.reader.push(&self.task, &bytes).await {
                        return Step::Error(error);
                    }
                }
                Received::End => {
                    self.reader.end(&self.task);
                    return Step::End;
                }
                Received::Error(error) => return Step::Error(error),
            }
        }
    }

    /// Waits for more from the source. While it is silent, the stream is also sent to another endpoint.
    async fn receive(&mut self, limit_ms: u64) -> Source {
        let Some(endpoint) = self.reader.selected().map(|selected| selected.endpoint.clone())
        else {
            return Source::Same(Received::Error(StreamError::NoSource));
        };
        let may_move = self.may_move();
        let mut hedge = Hedge {
            task: &self.task,
            sends: &mut self.sends,
            failed_answer: &mut self.failed_answer,
            last_event_id: self.reader.last_id(),
            limit_ms: if may_move { limit_ms } else { u64::MAX },
            accepts: is_stream,
        };
        let received = self.reader.receive();
        pin!(received);
        let running_at = RunningAt { endpoint: &endpoint, has_answered: true };
        loop {
            match hedge.wait(received.as_mut()).await {
                Waited::Done(received) => return Source::Same(received),
                Waited::OutOfTime => return Source::Same(Received::Error(StreamError::OutOfTime)),
                Waited::Silent => {}
            }
            match hedge.race(received.as_mut(), running_at, Received::is_error).await {
                Raced::First(received) => return Source::Same(received),
                Raced::Second { attempt, failed: Some(Received::Error(error)) } => {
                    return Source::Moved { attempt, error };
                }
                Raced::Second { attempt, failed: _ } => {
                    return Source::Moved { attempt, error: StreamError::Silent };
                }
                Raced::NotAccepted => {}
            }
        }
    }

    /// Returns whether the stream may be moved while it runs. One that has begun is moved only if it is
    /// known which version began it. A request that may crash endpoints runs at one at a time.
    fn may_move(&self) -> bool {
        let is_bound = self.reader.last_id().is_none() || self.task.version.get().is_some();
        is_bound && !self.task.is_trial()
    }

    /// Records that the stream failed at its endpoint, or was left there.
    pub(crate) fn record_stream_error(&mut self, error: &StreamError) {
        if let Some(selected) = self.reader.fail(&self.task, error) {
            let endpoint = &selected.endpoint.name;
            self.task.record_send_end(&mut self.sends, endpoint, SendEnd::Failed);
        }
    }

    /// Returns what the caller gets if no more sends follow.
    fn final_result(&mut self, failure: Failure) -> Result<StreamStart, Failure> {
        match self.failed_answer.take() {
            // The endpoint's own failure tells the caller more than one of the daemon's.
            Some(answer) => Ok(StreamStart::Complete(answer)),
            None if self.sends.may_have_run && self.task.is_expired() => Err(Failure::OutOfTime),
            None if self.sends.may_have_run => Err(Failure::MayHaveRun),
            None if failure == Failure::OutOfTime => {
                Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "out_of_time" })
            }
            None => Err(failure),
        }
    }

    fn is_resumable(&self) -> bool {
        self.task.route.is_idempotent()
    }
}

/// What came next, and from where.
enum Source {
    /// It came from the endpoint that has run the stream.
    Same(Received),
    /// Another endpoint has accepted the stream; the error says why the first one is left.
    Moved { attempt: Box<Attempt>, error: StreamError },
}

/// Returns whether an answer with this status is a stream.
fn is_stream(status: StatusCode) -> bool {
    status == StatusCode::OK
}
