//! Splits a stream of server-sent events, so that only complete events are passed on.

use bytes::{Bytes, BytesMut};

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// The bytes of a stream that have arrived and were not passed on yet.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates an empty buffer for a stream whose events up to `last_id` the caller already has.
    pub(crate) fn resuming_after(last_id: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), last_id }
    }

    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns all complete events; `None` if there is none.
    pub(crate) fn take_complete(&mut self) -> Option<Bytes> {
        let end = end_of_last_event(&self.buffer)?;
        let complete = self.buffer.split_to(end).freeze();
        if let Some(id) = complete.split(|byte| *byte == b'\n').rev().find_map(event_id) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds the beginning of an event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the beginning of an event whose end will not arrive.
    pub(crate) fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }
}

/// Returns the end of the last complete event, which is after its empty line.
fn end_of_last_event(buffer: &[u8]) -> Option<usize> {
    let after_line_feeds = buffer.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let after_carriage_returns =
        buffer.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    after_line_feeds.max(after_carriage_returns)
}

/// Returns the id in a line, if the line is an id field.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
