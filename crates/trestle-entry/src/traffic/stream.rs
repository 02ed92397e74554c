//! Streams: events are passed on as they come, and only whole ones.
//!
//! The head of the answer leaves with the first event, so a send that fails
//! before can be followed by another. A stream that breaks later goes on at
//! another endpoint behind the last event that was passed on, if its route
//! allows that; otherwise its connection is closed without an end.

use crate::traffic::{
    answer::{Broken, Failure, RETRY_SOON_MS, whole},
    attempt::{self, Attempt},
    events::EventBuffer,
    outcome::WholeAnswer,
    patience::Patience,
    plain::Outcome,
    report::{self, Ended, StreamSeen},
    select::{self, Taken},
    task::Task,
};
use bytes::Bytes;
use futures_lite::stream;
use http::{Response, StatusCode, header, response::Parts};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use std::sync::Arc;
use trestle_dispatch::{
    sends::{SendEnd, Sends},
    wait_limit,
};

/// Sees a stream through to its first event; the rest goes on in the body.
pub(crate) async fn run(task: &Arc<Task>) -> Outcome {
    let mut flow = Flow::new(task);
    let opened = flow.open().await;
    let endpoint = flow.sends.last.as_ref().map(ToString::to_string);
    let sends = flow.sends.count;
    let is_stream = matches!(opened, Ok(Opened::Events(..)));
    let response = match opened {
        Ok(Opened::Events(parts, first)) => {
            task.daemon.metrics.first(&task.route.name, task.elapsed_ms());
            let seen = StreamSeen { first_ms: Some(task.elapsed_ms()), ..StreamSeen::default() };
            let event_ms = task.elapsed_ms();
            let running = Running { flow, first: Some(first), end: None, seen, event_ms };
            let body = StreamBody::new(stream::unfold(running, Running::next)).boxed_unsync();
            Ok(Response::from_parts(*parts, body))
        }
        Ok(Opened::Whole(answer)) => Ok(answer.response.map(whole)),
        Err(failure) => Err(failure),
    };
    Outcome { response, endpoint, sends, is_stream }
}

enum Opened {
    /// The first events, and the head that goes before them.
    Events(Box<Parts>, Bytes),
    /// An answer that is no stream of events.
    Whole(WholeAnswer),
}

/// What the body of a stream brings next.
enum Step {
    Events(Bytes),
    End,
    Broken(Breach),
}

/// Why a stream does not go on.
#[derive(Debug)]
enum Breach {
    /// Its connection broke.
    Connection(String),
    /// No event came for too long.
    Silence,
    /// There is nothing to read from.
    NoSource,
}

impl Breach {
    fn reason(&self) -> &str {
        match self {
            Self::Connection(reason) => reason,
            Self::Silence => "no event came for too long",
            Self::NoSource => "there is no source",
        }
    }
}

/// One stream on its way.
struct Flow {
    task: Arc<Task>,
    sends: Sends,
    /// A failure of an endpoint's own, passed on if nothing better comes.
    failed_answer: Option<WholeAnswer>,
    buffer: EventBuffer,
    source: Option<Source>,
}

/// Where the events of a stream come from now.
struct Source {
    taken: Taken,
    connection: crate::net::pool::Connection,
    body: Incoming,
    idle_ms: Option<u64>,
    /// Whether its end shows that it is whole.
    shows_its_end: bool,
}

impl Flow {
    fn new(task: &Arc<Task>) -> Self {
        Self {
            task: Arc::clone(task),
            sends: Sends::default(),
            failed_answer: None,
            buffer: EventBuffer::after(task.head.last_event_id),
            source: None,
        }
    }

    /// Sends until a first event has come, or an answer that is none.
    async fn open(&mut self) -> Result<Opened, Failure> {
        loop {
            let attempt = match self.send().await {
                Ok(attempt) => attempt,
                Err(Some(failure)) => return self.give_up(failure),
                Err(None) => continue,
            };
            if attempt.response.status() != StatusCode::OK {
                match attempt.whole(&self.task, self.task.left_ms()).await {
                    Ok(answer) if !self.is_resumable() => return Ok(Opened::Whole(answer)),
                    Ok(answer) => self.failed_answer = Some(answer),
                    Err(_) => {}
                }
                self.note_failed();
                if !self.is_resumable() {
                    return self.give_up(Failure::MayHaveRun);
                }
                continue;
            }
            let parts = self.begin(attempt);
            match self.step(wait_limit::first_event_ms(&self.task.route)).await {
                Step::Events(first) => return Ok(Opened::Events(Box::new(parts), first)),
                Step::End => return Ok(Opened::Events(Box::new(parts), Bytes::new())),
                Step::Broken(breach) => {
                    self.note_broken(&breach);
                    if !self.is_resumable() {
                        return self.give_up(Failure::MayHaveRun);
                    }
                }
            }
        }
    }

    /// Goes on at another endpoint; returns whether that was possible.
    async fn resume(&mut self) -> bool {
        loop {
            match self.send().await {
                Ok(attempt) if attempt.response.status() == StatusCode::OK => {
                    self.begin(attempt);
                    return true;
                }
                Ok(_) | Err(Some(_)) => return false,
                Err(None) => {}
            }
        }
    }

    /// One send. `Err(None)` means that another may follow.
    async fn send(&mut self) -> Result<Attempt, Option<Failure>> {
        if self.task.is_over() {
            return Err(Some(Failure::OutOfTime));
        }
        let taken = select::select(&self.task, &self.sends).await.map_err(Some)?;
        if !self.task.take_next(&mut self.sends) {
            let why = "retries_spent";
            return Err(Some(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why }));
        }
        self.task.daemon.metrics.send(self.sends.count == 0);
        self.sends.record_send(&taken.endpoint.name);
        let last_event_id = self.buffer.last_id();
        let patience = self.patience(wait_limit::first_event_ms(&self.task.route));
        match attempt::send(&self.task, taken, last_event_id, patience).await {
            Ok(attempt) => Ok(attempt),
            Err(unanswered) => {
                self.sends.record_end(unanswered.end(), self.task.daemon.knowledge.now_ms());
                let is_final = unanswered.end().may_have_run() && !self.is_resumable();
                Err(is_final.then_some(Failure::MayHaveRun))
            }
        }
    }

    /// Takes the head of a stream; its events are read by [`Self::step`].
    fn begin(&mut self, attempt: Attempt) -> Parts {
        let (mut parts, body) = attempt.response.into_parts();
        let shows_its_end = attempt::shows_its_end(&parts.headers);
        (self.task.daemon.wire.head.forward_answer)(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        self.source = Some(Source {
            taken: attempt.taken,
            connection: attempt.connection,
            body,
            idle_ms: attempt.head.idle_ms,
            shows_its_end,
        });
        parts
    }

    /// The next whole events; after this time another endpoint is tried, if there is one.
    async fn step(&mut self, slice_ms: u64) -> Step {
        loop {
            if let Some(events) = self.buffer.take_whole() {
                return Step::Events(events);
            }
            let Some(source) = &mut self.source else {
                return Step::Broken(Breach::NoSource);
            };
            let patience = Patience { task: &self.task, sends: &self.sends, slice_ms };
            let Some(frame) = patience.wait(source.body.frame()).await else {
                return Step::Broken(Breach::Silence);
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.push(&data);
                    }
                }
                Some(Err(error)) => return Step::Broken(Breach::Connection(error.to_string())),
                None if self.buffer.is_torn() => {
                    let reason = "it ended in the middle of an event".to_owned();
                    return Step::Broken(Breach::Connection(reason));
                }
                None => return self.end(),
            }
        }
    }

    fn end(&mut self) -> Step {
        if let Some(mut source) = self.source.take() {
            let daemon = &self.task.daemon;
            let name = &source.taken.endpoint.name;
            let now_ms = daemon.knowledge.now_ms();
            daemon.knowledge.with(|local_view| local_view.records.succeeded(name, now_ms));
            if source.shows_its_end {
                self.task.trial.settled();
                source.taken.settle();
                self.task.note_served(&source.taken.endpoint);
            }
            daemon.pool.keep(&source.taken.endpoint, source.connection, source.idle_ms);
        }
        Step::End
    }

    fn note_failed(&mut self) {
        self.sends.record_end(SendEnd::Failed, self.task.daemon.knowledge.now_ms());
    }

    fn note_broken(&mut self, breach: &Breach) {
        self.note_failed();
        self.buffer.drop_torn();
        self.task.trial.unanswered();
        let Some(mut source) = self.source.take() else { return };
        let name = &source.taken.endpoint.name;
        let daemon = &self.task.daemon;
        let now_ms = daemon.knowledge.now_ms();
        daemon.knowledge.with(|local_view| local_view.records.failed(name, now_ms));
        tracing::info!(
            id = self.task.head.id, request = self.task.fingerprint(), endpoint = %name,
            reason = breach.reason(), last_id = self.buffer.last_id(), elapsed_ms = self.task.elapsed_ms(), "request: A stream broke."
        );
        if matches!(breach, Breach::Connection(_)) {
            source.taken.broke();
        }
    }

    /// What the caller gets where no more sends follow.
    fn give_up(&mut self, failure: Failure) -> Result<Opened, Failure> {
        match self.failed_answer.take() {
            // An endpoint's own failure says more than one of ours.
            Some(answer) => Ok(Opened::Whole(answer)),
            None if self.sends.may_have_run && self.task.is_over() => Err(Failure::OutOfTime),
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

    fn patience(&self, slice_ms: u64) -> Patience<'_> {
        Patience { task: &self.task, sends: &self.sends, slice_ms }
    }
}

/// A stream whose first events have come.
struct Running {
    flow: Flow,
    first: Option<Bytes>,
    end: Option<Ended>,
    seen: StreamSeen,
    /// When the last events came, from the request's arrival.
    event_ms: u64,
}

impl Running {
    /// The next part of the body.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, Broken>, Self)> {
        if self.end.is_some() {
            return None;
        }
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Some((Ok(Frame::data(first)), self));
        }
        loop {
            match self.flow.step(wait_limit::next_event_ms(&self.flow.task.route)).await {
                Step::Events(events) => {
                    self.note_events();
                    return Some((Ok(Frame::data(events)), self));
                }
                Step::End => {
                    self.end = Some(Ended::Whole);
                    return None;
                }
                Step::Broken(breach) => {
                    self.flow.note_broken(&breach);
                    let may_resume = self.flow.is_resumable() && !self.flow.task.is_over();
                    if !(may_resume && self.flow.resume().await) {
                        let is_over = self.flow.task.is_over();
                        self.end = Some(if is_over { Ended::OutOfTime } else { Ended::Broken });
                        return Some((Err(breach.reason().into()), self));
                    }
                }
            }
        }
    }
}

impl Running {
    fn note_events(&mut self) {
        let now_ms = self.flow.task.elapsed_ms();
        let pause_ms = now_ms.saturating_sub(self.event_ms);
        self.seen.longest_pause_ms = self.seen.longest_pause_ms.max(pause_ms);
        self.event_ms = now_ms;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let flow = &self.flow;
        let end = self.end.unwrap_or(Ended::CallerLeft);
        let seen = StreamSeen { last_id: flow.buffer.last_id(), ..self.seen };
        let endpoint = flow.sends.last.as_ref().map(AsRef::as_ref);
        report::ended(&flow.task, end, endpoint, flow.sends.count, seen);
    }
}
