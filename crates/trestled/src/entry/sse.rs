//! Server-sent events, read one by one.

use futures_lite::{AsyncRead, AsyncReadExt};
use serde_json::Value;
use std::io;

/// Largest event that is taken from an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;
const READ_BYTES: usize = 8 << 10;
const END_OF_EVENT: &[u8] = b"\n\n";
const DATA: &str = "data:";
const DONE: &str = "[DONE]";

/// Events as they arrive.
pub(crate) struct Events<R> {
    reader: R,
    buffer: Vec<u8>,
}

/// One event, with the blank line that ends it.
pub(crate) struct RawEvent(Vec<u8>);

/// What an event is to a request.
pub(crate) enum Event {
    /// A part of its answer.
    Part,
    /// The end of its answer.
    Last,
    /// Something that does not belong to it.
    Foreign,
}

impl<R: AsyncRead + Unpin> Events<R> {
    pub(crate) fn new(reader: R) -> Self {
        Self { reader, buffer: Vec::new() }
    }

    /// The next event; `None` at the end.
    pub(crate) async fn next(&mut self) -> io::Result<Option<RawEvent>> {
        loop {
            if let Some(end) = self.end_of_event() {
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

    fn end_of_event(&self) -> Option<usize> {
        let mut windows = self.buffer.windows(END_OF_EVENT.len());
        let start = windows.position(|window| window == END_OF_EVENT)?;
        Some(start + END_OF_EVENT.len())
    }
}

impl RawEvent {
    /// What the event is to the request with the id.
    pub(crate) fn check(&self, request_id: &str) -> Event {
        let text = String::from_utf8_lossy(&self.0);
        let data: String =
            text.lines().filter_map(|line| line.strip_prefix(DATA)).map(str::trim).collect();
        if data == DONE {
            return Event::Last;
        }
        if data.is_empty() {
            return Event::Part;
        }
        match serde_json::from_str::<Value>(&data) {
            Ok(content) if content["id"].as_str() == Some(request_id) => Event::Part,
            _ => Event::Foreign,
        }
    }

    /// The event as it came.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}
