//! The body of a stream's answer, from its first events on.

use crate::traffic::{
    answer::BodyError,
    broken_stream::BrokenStream,
    report::{self, Progress, RequestEnd, StreamStats},
    stream::{Step, StreamTransfer},
};
use bytes::Bytes;
use http_body::Frame;
use trestle_dispatch::wait_limit;

/// A stream whose first events have arrived.
pub(crate) struct ForwardedStream {
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
    /// Returns the body of an answer that begins with `first_events`; `None` if the stream is complete
    /// without any.
    pub(crate) fn new(transfer: StreamTransfer, first_events: Option<Bytes>) -> Self {
        let first_ms = transfer.task().elapsed_ms();
        let end = first_events.is_none().then_some(RequestEnd::Complete);
        Self {
            transfer,
            first_events,
            end,
            broken: None,
            stats: StreamStats { first_ms: Some(first_ms), ..StreamStats::default() },
            last_event_ms: first_ms,
        }
    }

    /// Returns the next part of the body; `None` after its end.
    pub(crate) async fn next(mut self) -> Option<(Result<Frame<Bytes>, BodyError>, Self)> {
        if self.end.is_some() {
            return None;
        }
        if let Some(first) = self.first_events.take() {
            return Some((Ok(Frame::data(first)), self));
        }
        loop {
            let limit_ms = wait_limit::next_event_ms(&self.transfer.task().route);
            let error = match self.transfer.next_step(limit_ms).await {
                Step::Events(events) => {
                    self.record_events();
                    return Some((Ok(Frame::data(events)), self));
                }
                Step::End => {
                    self.end = Some(RequestEnd::Complete);
                    return None;
                }
                Step::Error(error) => error,
            };
            self.transfer.record_stream_error(&error);
            if let Err(not_resumed) = self.transfer.resume().await {
                self.broken = Some(BrokenStream { broken_by: error.name(), not_resumed });
                self.end = Some(match self.transfer.task().is_expired() {
                    true => RequestEnd::OutOfTime,
                    false => RequestEnd::Aborted,
                });
                return Some((Err(error.reason().into()), self));
            }
        }
    }

    /// Records the arrival of events, for the longest pause between them.
    fn record_events(&mut self) {
        let now_ms = self.transfer.task().elapsed_ms();
        let pause_ms = now_ms.saturating_sub(self.last_event_ms);
        self.stats.longest_pause_ms = self.stats.longest_pause_ms.max(pause_ms);
        self.last_event_ms = now_ms;
    }
}

impl Drop for ForwardedStream {
    fn drop(&mut self) {
        let transfer = &self.transfer;
        let end = self.end.unwrap_or(RequestEnd::CallerDisconnected);
        let stats = StreamStats { last_id: transfer.last_id(), ..self.stats };
        let endpoint = transfer.endpoint().map(ToString::to_string);
        let progress =
            Progress { endpoint: endpoint.as_deref(), sends: transfer.send_count(), stats };
        report::record_end(transfer.task(), end, progress, self.broken);
    }
}
