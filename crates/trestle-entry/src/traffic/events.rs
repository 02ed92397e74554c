//! Splits a stream of server-sent events, so that only complete events are passed on.

use bytes::{Bytes, BytesMut};

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Length of the longest separator of two events.
const MAX_SEPARATOR_BYTES: usize = 4;

/// The bytes of a stream that have arrived and were not passed on yet.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buffer: BytesMut,
    /// Number of bytes at the beginning in which no event ends.
    searched_bytes: usize,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates an empty buffer for a stream whose events up to `last_id` the caller already has.
    pub(crate) fn resuming_after(last_id: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), searched_bytes: 0, last_id }
    }

    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns all complete events; `None` if there is none.
    pub(crate) fn take_complete(&mut self) -> Option<Bytes> {
        // The search of an event that arrives in many parts would take quadratic time if each part
        // began it anew.
        let start = self.searched_bytes.saturating_sub(MAX_SEPARATOR_BYTES - 1);
        let end = end_of_last_event(&self.buffer[start..]);
        let complete = end.map(|end| self.buffer.split_to(start + end).freeze());
        self.searched_bytes = self.buffer.len();
        let complete = complete?;
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
        self.searched_bytes = 0;
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
