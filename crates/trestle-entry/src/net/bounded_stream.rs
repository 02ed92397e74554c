//! A connection from which bytes without end are not read without end.
//!
//! It lies beneath the decoders of HTTP and of calls between daemons. Those who take messages out of the
//! decoder record their progress; see [`trestle_dispatch::read_budget`].

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http_body::Frame;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};
use trestle_dispatch::read_budget::{
    MAX_BYTES_WITHOUT_PAUSE, MAX_BYTES_WITHOUT_PROGRESS, ReadBudget, ReadStep,
};

/// Records the progress of the messages on one connection.
#[derive(Debug, Clone)]
pub(crate) struct ReadProgress(Arc<Mutex<ReadBudget>>);

/// A connection whose reads are bounded.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    progress: ReadProgress,
}

impl ReadProgress {
    fn new(max_without_progress: usize) -> Self {
        Self(Arc::new(Mutex::new(ReadBudget::new(max_without_progress))))
    }

    /// Records a whole head.
    pub(crate) fn record_head(&self) {
        self.budget().record_head();
    }

    /// Records a part of a body.
    pub(crate) fn record_frame(&self, frame: &Frame<Bytes>) {
        self.budget().record_content(frame.data_ref().map_or(0, Bytes::len));
    }

    /// Returns whether the connection was closed because too many bytes came without progress.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.budget().is_exceeded()
    }

    fn budget(&self) -> MutexGuard<'_, ReadBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> BoundedStream<S> {
    /// Returns a connection that fails after too many bytes without progress.
    pub(crate) fn new(stream: S) -> Self {
        Self::with_max(stream, MAX_BYTES_WITHOUT_PROGRESS)
    }

    /// Returns a connection as [`Self::new`] does, for messages with heads of up to `head_bytes`.
    pub(crate) fn for_heads(stream: S, head_bytes: usize) -> Self {
        Self::with_max(stream, MAX_BYTES_WITHOUT_PROGRESS.max(head_bytes.saturating_mul(2)))
    }

    /// Returns a connection that only pauses from time to time, because its decoder bounds each
    /// message by itself.
    pub(crate) fn pausing(stream: S) -> Self {
        Self::with_max(stream, usize::MAX)
    }

    fn with_max(stream: S, max_without_progress: usize) -> Self {
        Self { stream, progress: ReadProgress::new(max_without_progress) }
    }

    /// Returns the record of this connection's progress.
    pub(crate) fn progress(&self) -> ReadProgress {
        self.progress.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let step = self.progress.budget().next_step();
        match step {
            ReadStep::Read => {}
            ReadStep::Pause => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            ReadStep::Fail => {
                let text = "too many bytes came without a part of a message";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
            }
        }
        let max_bytes = buffer.len().min(MAX_BYTES_WITHOUT_PAUSE);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer[..max_bytes]);
        if read.is_pending() {
            self.progress.budget().record_wait();
        }
        let bytes = ready!(read)?;
        self.progress.budget().record_read(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
