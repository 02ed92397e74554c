//! Splits a stream into its events, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// What has come of a stream and was not yet passed on.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// A buffer for a stream of which the caller has events up to an id.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), last_id }
    }

    /// Takes bytes as they came.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// All whole events that are there, as one piece.
    pub(crate) fn take_whole(&mut self) -> Option<Bytes> {
        let end = end_of_last_event(&self.buffer)?;
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = whole.split(|byte| *byte == b'\n').rev().find_map(id_of) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream has stopped in the middle of an event.
    pub(crate) fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the beginning of an event whose end will not come.
    pub(crate) fn drop_torn(&mut self) {
        self.buffer.clear();
    }
}

/// Where the last whole event ends: behind an empty line.
fn end_of_last_event(buffer: &[u8]) -> Option<usize> {
    let by_feed = buffer.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let by_return = buffer.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    by_feed.max(by_return)
}

fn id_of(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
