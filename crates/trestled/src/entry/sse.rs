//! A reader of server-sent events.

use futures_lite::{AsyncRead, AsyncReadExt};
use serde_json::Value;
use std::io;

/// Maximum size of an event of an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;
const READ_BYTES: usize = 8 << 10;
const END_OF_EVENT: &[u8] = b"\n\n";
const DATA_PREFIX: &str = "data:";
const END_OF_STREAM: &str = "[DONE]";

/// Splits a byte stream into events.
pub(crate) struct EventReader<R> {
    reader: R,
    buffer: Vec<u8>,
}

/// The bytes of one event, including the blank line at its end.
pub(crate) struct RawEvent(Vec<u8>);

/// How an event relates to a request.
pub(crate) enum EventKind {
    /// A part of the request's answer.
    Part,
    /// The end of the request's answer.
    Last,
    /// An event that does not belong to the request.
    Foreign,
}

impl<R: AsyncRead + Unpin> EventReader<R> {
    pub(crate) fn new(reader: R) -> Self {
        Self { reader, buffer: Vec::new() }
    }

    /// Returns the next event, or `None` at the end of the stream. Fails if the stream cannot be
    /// read or an event is too long.
    pub(crate) async fn next(&mut self) -> io::Result<Option<RawEvent>> {
        loop {
            if let Some(end) = self.event_end() {
                let rest = self.buffer.split_off(end);
                return Ok(Some(RawEvent(std::mem::replace(&mut self.buffer, rest))));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(io::Error::other("an event is too long"));
            }
            let mut chunk = [0; READ_BYTES];
            let count = self.reader.read(&mut chunk).await?;
            if count == 0 {
                return Ok(None);
            }
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }

    fn event_end(&self) -> Option<usize> {
        let mut windows = self.buffer.windows(END_OF_EVENT.len());
        let start = windows.position(|window| window == END_OF_EVENT)?;
        Some(start + END_OF_EVENT.len())
    }
}

impl RawEvent {
    /// Returns how the event relates to the request with the id.
    pub(crate) fn classify(&self, request_id: &str) -> EventKind {
        let text = String::from_utf8_lossy(&self.0);
        let data: String =
            text.lines().filter_map(|line| line.strip_prefix(DATA_PREFIX)).map(str::trim).collect();
        if data == END_OF_STREAM {
            return EventKind::Last;
        }
        if data.is_empty() {
            return EventKind::Part;
        }
        match serde_json::from_str::<Value>(&data) {
            Ok(content) if content["id"].as_str() == Some(request_id) => EventKind::Part,
            _ => EventKind::Foreign,
        }
    }

    /// Returns the bytes of the event, unchanged.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}
