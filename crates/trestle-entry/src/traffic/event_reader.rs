//! Reads the events of a stream from the endpoint that runs it.

use crate::{
    answer_bounds,
    held_bytes::{Content, HeldGuard},
    net::pool::Connection,
    schedule,
    traffic::{
        attempt::{self, Attempt},
        broken_stream::StreamError,
        events::EventBuffer,
        selected_endpoint::SelectedEndpoint,
        task::Task,
    },
};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::Timer;
use std::time::Duration;
use trestle_dispatch::read_budget::AnswerBound;

/// What came next from the endpoint that runs a stream.
#[derive(Debug)]
pub(crate) enum Received {
    /// Some bytes, or a part of the answer without any.
    Bytes(Bytes),
    /// The end of the stream.
    End,
    /// The stream failed at its endpoint.
    Error(StreamError),
}

impl Received {
    /// Returns whether the stream failed at its endpoint.
    pub(crate) fn is_error(&self) -> bool {
        matches!(self, Self::Error(_))
    }
}

/// The events of one stream, from all the endpoints that run it one after the other.
#[derive(Debug)]
pub(crate) struct EventReader {
    buffer: EventBuffer,
    /// The bytes in `buffer`.
    held: HeldGuard,
    source: Option<EventSource>,
}

/// The endpoint and the connection that a stream is read from.
#[derive(Debug)]
struct EventSource {
    selected: SelectedEndpoint,
    connection: Connection,
    body: Incoming,
    /// For how long the endpoint keeps the connection while it is idle; `None` if it does not say.
    idle_ms: Option<u64>,
    /// Whether the framing of the answer shows when the body is complete.
    has_explicit_end: bool,
    /// Whether an event has come.
    has_begun: bool,
}

impl EventReader {
    /// Returns a reader without a source.
    pub(crate) fn new(task: &Task) -> Self {
        Self {
            buffer: EventBuffer::resuming_after(task.head.last_event_id),
            held: task.daemon.held_bytes.guard(Content::UnsizedAnswer),
            source: None,
        }
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.buffer.last_id()
    }

    /// Returns the endpoint that runs the stream.
    pub(crate) fn selected(&self) -> Option<&SelectedEndpoint> {
        self.source.as_ref().map(|source| &source.selected)
    }

    /// Sets the answer as the source of the stream and returns the head for the caller.
    pub(crate) fn set_source(&mut self, task: &Task, attempt: Attempt) -> Parts {
        let (mut parts, body) = attempt.response.into_parts();
        let has_explicit_end = attempt::has_explicit_end(&parts.headers);
        (task.daemon.wire.head.forward_answer)(&mut parts.headers);
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

    /// Removes and returns all complete events; `None` if there is none.
    pub(crate) fn take_events(&mut self) -> Option<Bytes> {
        let events = self.buffer.take_complete()?;
        if let Some(source) = self.source.as_mut().filter(|source| !source.has_begun) {
            source.has_begun = true;
            source.selected.record_begun();
        }
        Some(self.held.release_with(events))
    }

    /// Waits for more from the source.
    pub(crate) async fn receive(&mut self) -> Received {
        let Some(source) = &mut self.source else {
            return Received::Error(StreamError::NoSource);
        };
        match source.body.frame().await {
            Some(Ok(frame)) => {
                source.connection.progress().record_frame(&frame);
                Received::Bytes(frame.into_data().unwrap_or_default())
            }
            Some(Err(_)) if source.connection.progress().is_exceeded() => {
                Received::Error(StreamError::PassedBound(AnswerBound::BytesWithoutProgress))
            }
            Some(Err(error)) => Received::Error(StreamError::Connection(error.to_string())),
            None if self.buffer.has_partial_event() => {
                let reason = "it ended in the middle of an event".to_owned();
                Received::Error(StreamError::Connection(reason))
            }
            None if self.has_lost_beginning() => {
                let reason = "its connection ended before the first event".to_owned();
                Received::Error(StreamError::Connection(reason))
            }
            None => Received::End,
        }
    }

    /// Adds bytes of the stream. While too many bytes are held, nothing further is read; this time does
    /// not count as a pause of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large, or if others hold too many bytes until the time is used up.
    pub(crate) async fn push(&mut self, task: &Task, bytes: &Bytes) -> Result<(), StreamError> {
        let remaining_ms = task.remaining_ms();
        let too_large = StreamError::PassedBound(AnswerBound::AnswerBytes);
        let grown = async { self.held.grow(bytes.len()).await.map_err(|_| too_large) };
        let timed_out = async {
            Timer::after(Duration::from_millis(remaining_ms)).await;
            Err(StreamError::NoRoom)
        };
        grown.or(timed_out).await?;
        self.buffer.push(bytes);
        Ok(())
    }

    /// Returns whether the stream ended with its connection and without any event: its endpoint has
    /// crashed, or will never send one.
    fn has_lost_beginning(&self) -> bool {
        let has_end = self.source.as_ref().is_some_and(|source| source.has_explicit_end);
        !has_end && self.buffer.last_id().is_none()
    }

    /// Ends the stream, and returns the connection to the pool.
    pub(crate) fn end(&mut self, task: &Task) {
        let Some(mut source) = self.source.take() else { return };
        let daemon = &task.daemon;
        let name = &source.selected.endpoint.name;
        let now_ms = daemon.shared_view.now_ms();
        daemon.shared_view.with(|local_view| local_view.records.succeeded(name, now_ms));
        if source.has_explicit_end {
            task.trial.settled();
            source.selected.resolve();
            task.record_served(&source.selected.endpoint);
        }
        daemon.pool.keep(&source.selected.endpoint, source.connection, source.idle_ms);
    }

    /// Records that the stream failed at its endpoint, or was left there, and drops the connection.
    /// Returns the endpoint.
    pub(crate) fn fail(&mut self, task: &Task, error: &StreamError) -> Option<SelectedEndpoint> {
        self.buffer.discard_partial_event();
        self.held.clear();
        task.trial.unanswered();
        let mut source = self.source.take()?;
        let name = &source.selected.endpoint.name;
        let daemon = &task.daemon;
        let has_no_start = matches!(error, StreamError::NoRoom | StreamError::PassedBound(_));
        if !source.has_begun && !has_no_start {
            schedule::record_start(task, &source.selected.endpoint, None);
        }
        let now_ms = daemon.shared_view.now_ms();
        if !matches!(error, StreamError::NoRoom) {
            daemon.shared_view.with(|local_view| local_view.records.failed(name, now_ms));
        }
        tracing::info!(
            id = task.head.id, request = task.fingerprint(), endpoint = %name,
            software = source.selected.software(), parts = task.parts(), reason = error.reason(),
            last_id = self.buffer.last_id(), elapsed_ms = task.elapsed_ms(),
            "request: A stream failed at its endpoint."
        );
        if let StreamError::PassedBound(bound) = error {
            answer_bounds::record_passed(daemon, &source.selected.endpoint, *bound);
        }
        if matches!(error, StreamError::Connection(_)) {
            source.selected.record_connection_lost();
        }
        Some(source.selected)
    }
}
