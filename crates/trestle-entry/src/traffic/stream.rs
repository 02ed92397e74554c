//! Forwards streams: each event is passed on when it is complete.
//!
//! The head of the answer is sent to the caller with the first event, so another send may follow
//! one that fails before. If a stream fails later and its route is idempotent, it is resumed at
//! another endpoint after the last event that was passed on. Otherwise the caller's connection is
//! closed without the end of the stream.

use crate::{
    answer_bounds,
    held_bytes::{Content, HeldGuard},
    schedule,
    streams::lookup,
    traffic::{
        answer::{BodyError, Failure, RETRY_SOON_MS, full_body},
        attempt::{self, Attempt},
        broken_stream::{BrokenStream, NotResumed, StreamError},
        events::EventBuffer,
        outcome::CompleteAnswer,
        plain::ForwardOutcome,
        report::{self, Progress, RequestEnd, StreamStats},
        select::{self, SelectedEndpoint},
        task::Task,
        wait_limit::WaitLimit,
    },
};
use bytes::Bytes;
use futures_lite::{FutureExt, stream};
use http::{Response, StatusCode, header, response::Parts};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_dispatch::{
    read_budget::AnswerBound,
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
            let stats = StreamStats { first_ms: Some(task.elapsed_ms()), ..StreamStats::default() };
            let last_event_ms = task.elapsed_ms();
            let forwarded = ForwardedStream {
                transfer,
                first_events: Some(first),
                end: None,
                broken: None,
                stats,
                last_event_ms,
            };
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
    /// The head of a stream and its first events.
    Events(Box<Parts>, Bytes),
    /// A complete answer that is no stream of events.
    Complete(CompleteAnswer),
}

/// The next part of a stream.
enum Step {
    Events(Bytes),
    End,
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
struct StreamTransfer {
    task: Arc<Task>,
    sends: Sends,
    /// The last failure that an endpoint answered; passed on if no later send succeeds.
    failed_answer: Option<CompleteAnswer>,
    buffer: EventBuffer,
    /// The bytes in `buffer`.
    held: HeldGuard,
    source: Option<EventSource>,
}

/// The endpoint and the connection that a stream is read from.
struct EventSource {
    selected: SelectedEndpoint,
    connection: crate::net::pool::Connection,
    body: Incoming,
    /// For how long the endpoint keeps the connection while it is idle; `None` if it does not say.
    idle_ms: Option<u64>,
    /// Whether the framing of the answer shows when the body is complete.
    has_explicit_end: bool,
    /// Whether an event has come.
    has_begun: bool,
}

impl StreamTransfer {
    fn new(task: &Arc<Task>) -> Self {
        Self {
            task: Arc::clone(task),
            sends: Sends::default(),
            failed_answer: None,
            buffer: EventBuffer::resuming_after(task.head.last_event_id),
            held: task.daemon.held_bytes.guard(Content::UnsizedAnswer),
            source: None,
        }
    }

    /// Logs at which version of the software the stream goes on that a caller continues.
    fn log_if_continued(&self) {
        let (head, source) = (&self.task.head, self.source.as_ref());
        let Some(source) = source.filter(|_| head.last_event_id.is_some()) else { return };
        tracing::info!(
            id = head.id, continues = head.continues, after = head.last_event_id,
            endpoint = %source.selected.endpoint.name, software = source.selected.software(),
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
            if attempt.response.status() != StatusCode::OK {
                match attempt.read_complete(&self.task, self.task.remaining_ms()).await {
                    Ok(answer) if !self.is_resumable() => return Ok(StreamStart::Complete(answer)),
                    Ok(answer) => self.failed_answer = Some(answer),
                    Err(_) => {}
                }
                self.record_failed();
                if !self.is_resumable() {
                    return self.final_result(Failure::MayHaveRun);
                }
                continue;
            }
            let parts = self.set_source(attempt);
            match self.next_step(wait_limit::first_event_ms(&self.task.route)).await {
                Step::Events(first) => return Ok(StreamStart::Events(Box::new(parts), first)),
                Step::End => return Ok(StreamStart::Events(Box::new(parts), Bytes::new())),
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
        let Some(source) = &self.source else { return };
        if self.is_resumable() {
            lookup::bind_to_endpoint(&self.task, &source.selected.endpoint);
        }
    }

    /// Resumes the stream at another endpoint, which must run the version that began it.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no endpoint accepts the stream.
    async fn resume(&mut self) -> Result<(), NotResumed> {
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
                Ok(attempt) if attempt.response.status() == StatusCode::OK => {
                    tracing::info!(
                        id = self.task.head.id, endpoint = %attempt.selected.endpoint.name,
                        software = attempt.selected.software(), last_id = self.buffer.last_id(),
                        "request: A stream continues at another endpoint."
                    );
                    self.set_source(attempt);
                    return Ok(());
                }
                Ok(attempt) => return Err(NotResumed::Answered(attempt.response.status())),
                Err(Unsent::Final(not_resumed)) => return Err(not_resumed),
                Err(Unsent::Failed) => {}
            }
        }
    }

    /// Sends the request once.
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
        self.task.daemon.metrics.record_send(self.sends.count == 0);
        self.sends.record_send(&selected.endpoint.name);
        let last_event_id = self.buffer.last_id();
        let wait_limit = self.wait_limit(wait_limit::first_event_ms(&self.task.route));
        match attempt::send(&self.task, selected, last_event_id, wait_limit).await {
            Ok(attempt) => Ok(attempt),
            Err(error) => {
                self.task.record_send_end(&mut self.sends, error.send_end());
                match error.send_end().may_have_run() && !self.is_resumable() {
                    true => Err(Unsent::Final(NotResumed::NotIdempotent)),
                    false => Err(Unsent::Failed),
                }
            }
        }
    }

    /// Sets the answer as the source of the stream and returns the head for the caller.
    /// [`Self::next_step`] reads the events.
    fn set_source(&mut self, attempt: Attempt) -> Parts {
        let (mut parts, body) = attempt.response.into_parts();
        let has_explicit_end = attempt::has_explicit_end(&parts.headers);
        (self.task.daemon.wire.head.forward_answer)(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        self.source = Some(EventSource {
            selected: attempt.selected,
            connection: attempt.connection,
            body,
            idle_ms: attempt.head.idle_ms,
            has_explicit_end,
            has_begun: false,
        });
        parts
    }

    /// Returns the next complete events. After `limit_ms` without one, the stream counts as failed
    /// if another endpoint could run the request.
    async fn next_step(&mut self, limit_ms: u64) -> Step {
        loop {
            if let Some(events) = self.buffer.take_complete() {
                self.record_begun();
                return Step::Events(self.held.release_with(events));
            }
            let Some(source) = &mut self.source else {
                return Step::Error(StreamError::NoSource);
            };
            let wait_limit = WaitLimit { task: &self.task, sends: &self.sends, limit_ms };
            let Some(frame) = wait_limit.wait(source.body.frame()).await else {
                return Step::Error(StreamError::Stalled);
            };
            match frame {
                Some(Ok(frame)) => {
                    source.connection.progress().record_frame(&frame);
                    if let Ok(data) = frame.into_data() {
                        if let Err(error) = self.hold(data.len()).await {
                            return Step::Error(error);
                        }
                        self.buffer.push(&data);
                    }
                }
                Some(Err(_)) if source.connection.progress().is_exceeded() => {
                    let bound = AnswerBound::BytesWithoutProgress;
                    return Step::Error(StreamError::PassedBound(bound));
                }
                Some(Err(error)) => return Step::Error(StreamError::Connection(error.to_string())),
                None if self.buffer.has_partial_event() => {
                    let reason = "it ended in the middle of an event".to_owned();
                    return Step::Error(StreamError::Connection(reason));
                }
                None if self.has_lost_beginning() => {
                    let reason = "its connection ended before the first event".to_owned();
                    return Step::Error(StreamError::Connection(reason));
                }
                None => return self.end(),
            }
        }
    }

    /// Holds this many more bytes. While too many are held, nothing further is read; this time does
    /// not count as a pause of the endpoint.
    async fn hold(&mut self, more_bytes: usize) -> Result<(), StreamError> {
        let remaining_ms = self.task.remaining_ms();
        let too_large = StreamError::PassedBound(AnswerBound::AnswerBytes);
        let grown = async { self.held.grow(more_bytes).await.map_err(|_| too_large) };
        let timed_out = async {
            Timer::after(Duration::from_millis(remaining_ms)).await;
            Err(StreamError::NoRoom)
        };
        grown.or(timed_out).await
    }

    /// Returns whether the stream ended with its connection and without any event: its endpoint has
    /// crashed, or will never send one.
    fn has_lost_beginning(&self) -> bool {
        let has_end = self.source.as_ref().is_some_and(|source| source.has_explicit_end);
        !has_end && self.buffer.last_id().is_none()
    }

    /// Records the first event of the source.
    fn record_begun(&mut self) {
        if let Some(source) = self.source.as_mut().filter(|source| !source.has_begun) {
            source.has_begun = true;
            source.selected.record_begun();
        }
    }

    /// Ends the stream, and returns the connection to the pool.
    fn end(&mut self) -> Step {
        if let Some(mut source) = self.source.take() {
            let daemon = &self.task.daemon;
            let name = &source.selected.endpoint.name;
            let now_ms = daemon.shared_view.now_ms();
            daemon.shared_view.with(|local_view| local_view.records.succeeded(name, now_ms));
            if source.has_explicit_end {
                self.task.trial.settled();
                source.selected.resolve();
                self.task.record_served(&source.selected.endpoint);
            }
            daemon.pool.keep(&source.selected.endpoint, source.connection, source.idle_ms);
        }
        Step::End
    }

    /// Records that the last send ran and failed.
    fn record_failed(&mut self) {
        self.task.record_send_end(&mut self.sends, SendEnd::Failed);
    }

    /// Records that the stream failed at its endpoint, and drops the connection.
    fn record_stream_error(&mut self, error: &StreamError) {
        self.record_failed();
        self.buffer.discard_partial_event();
        self.held.clear();
        self.task.trial.unanswered();
        let Some(mut source) = self.source.take() else { return };
        let name = &source.selected.endpoint.name;
        let daemon = &self.task.daemon;
        let has_no_start = matches!(error, StreamError::NoRoom | StreamError::PassedBound(_));
        if !source.has_begun && !has_no_start {
            schedule::record_start(&self.task, &source.selected.endpoint, None);
        }
        let now_ms = daemon.shared_view.now_ms();
        if !matches!(error, StreamError::NoRoom) {
            daemon.shared_view.with(|local_view| local_view.records.failed(name, now_ms));
        }
        tracing::info!(
            id = self.task.head.id, request = self.task.fingerprint(), endpoint = %name,
            software = source.selected.software(), parts = self.task.parts(), reason = error.reason(), last_id = self.buffer.last_id(), elapsed_ms = self.task.elapsed_ms(), "request: A stream failed at its endpoint."
        );
        if let StreamError::PassedBound(bound) = error {
            answer_bounds::record_passed(daemon, &source.selected.endpoint, *bound);
        }
        if matches!(error, StreamError::Connection(_)) {
            source.selected.record_connection_lost();
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

    fn wait_limit(&self, limit_ms: u64) -> WaitLimit<'_> {
        WaitLimit { task: &self.task, sends: &self.sends, limit_ms }
    }
}

/// A stream whose first events have arrived: the state of the answer's body.
struct ForwardedStream {
    transfer: StreamTransfer,
    first_events: Option<Bytes>,
    end: Option<RequestEnd>,
    /// What ended the stream early.
    broken: Option<BrokenStream>,
    stats: StreamStats,
    /// Time from the request's arrival to the last events.
    last_event_ms: u64,
}

impl ForwardedStream {
    /// Returns the next part of the body; `None` after its end.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BodyError>, Self)> {
        if self.end.is_some() {
            return None;
        }
        if let Some(first) = self.first_events.take().filter(|first| !first.is_empty()) {
            return Some((Ok(Frame::data(first)), self));
        }
        loop {
            match self
                .transfer
                .next_step(wait_limit::next_event_ms(&self.transfer.task.route))
                .await
            {
                Step::Events(events) => {
                    self.record_events();
                    return Some((Ok(Frame::data(events)), self));
                }
                Step::End => {
                    self.end = Some(RequestEnd::Complete);
                    return None;
                }
                Step::Error(error) => {
                    self.transfer.record_stream_error(&error);
                    if let Err(not_resumed) = self.transfer.resume().await {
                        self.broken = Some(BrokenStream { broken_by: error.name(), not_resumed });
                        let is_expired = self.transfer.task.is_expired();
                        self.end = Some(if is_expired {
                            RequestEnd::OutOfTime
                        } else {
                            RequestEnd::Aborted
                        });
                        return Some((Err(error.reason().into()), self));
                    }
                }
            }
        }
    }
}

impl ForwardedStream {
    /// Records the arrival of events, for the longest pause between them.
    fn record_events(&mut self) {
        let now_ms = self.transfer.task.elapsed_ms();
        let pause_ms = now_ms.saturating_sub(self.last_event_ms);
        self.stats.longest_pause_ms = self.stats.longest_pause_ms.max(pause_ms);
        self.last_event_ms = now_ms;
    }
}

impl Drop for ForwardedStream {
    fn drop(&mut self) {
        let transfer = &self.transfer;
        let end = self.end.unwrap_or(RequestEnd::CallerDisconnected);
        let stats = StreamStats { last_id: transfer.buffer.last_id(), ..self.stats };
        let endpoint = transfer.sends.last.as_ref().map(AsRef::as_ref);
        let progress = Progress { endpoint, sends: transfer.sends.count, stats };
        report::record_end(&transfer.task, end, progress, self.broken);
    }
}
