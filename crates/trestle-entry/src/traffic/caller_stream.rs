//! The connection of a caller, which is closed if the caller reads nothing of its answer.
//!
//! The HTTP library takes the next part of an answer only after it has written the one before. So a
//! caller that stops reading would keep its stream, and the endpoint that runs it, for as long as
//! the route allows. The time runs only while bytes wait to be written: a stream without events has
//! none, and is not closed.

use futures_lite::{AsyncRead, AsyncWrite};
use smol::{Timer, net::TcpStream};
use socket2::SockRef;
use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Longest time for which no byte of an answer can be written. Callers that process an event before
/// they read the next take well below a second for it.
const MAX_BLOCKED: Duration = Duration::from_secs(10);

/// Longest time for which the system keeps the connection of a caller that acknowledges nothing, or
/// has no room for more. The shorter time of other connections would close it before
/// [`MAX_BLOCKED`].
const USER_TIMEOUT: Duration = MAX_BLOCKED.saturating_add(Duration::from_secs(2));

/// Bytes of an answer that the system holds and has not sent. By default these are megabytes per
/// connection, which are not counted as held bytes. The system accepts more once half of them are
/// sent, so a caller that reads less than half of this within [`MAX_BLOCKED`] reads nothing.
const MAX_UNSENT_BYTES: u32 = 32 << 10;

/// The connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Ends [`MAX_BLOCKED`] after the first write that had to wait; `None` while none waits.
    blocked: Option<Timer>,
}

impl CallerStream {
    /// Returns the connection over a stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let socket = SockRef::from(&stream);
        let is_set = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        if let Err(error) = is_set.and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT))) {
            tracing::debug!(%error, "serve: Could not set the limits on unsent bytes of a connection.");
        }
        Self { stream, blocked: None }
    }

    /// Writes with `write`, or fails if no byte could be written for too long.
    fn write_watched(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        // The timer comes first, because the system may accept some more bytes of a connection that
        // it does not report as writable, whether or not the caller reads.
        let is_stuck =
            self.blocked.as_mut().is_some_and(|timer| Pin::new(timer).poll(cx).is_ready());
        if is_stuck {
            return Poll::Ready(Err(self.abort()));
        }
        let result = write(Pin::new(&mut self.stream), cx);
        if result.is_ready() {
            self.blocked = None;
        } else if self.blocked.is_none() {
            let mut timer = Timer::after(MAX_BLOCKED);
            // This registers the task; the timer cannot have ended yet.
            let _ = Pin::new(&mut timer).poll(cx);
            self.blocked = Some(timer);
        }
        result
    }

    /// Makes the close of the connection a reset, and returns the error that closes it. An answer
    /// without a length, as callers of HTTP/1.0 get it, would look complete after an orderly close.
    fn abort(&self) -> io::Error {
        let caller = self.stream.peer_addr().ok().map(tracing::field::display);
        let linger = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        tracing::info!(
            caller,
            is_reset = linger.is_ok(),
            blocked_ms = MAX_BLOCKED.as_millis() as u64,
            "serve: A caller reads nothing of its answer; its connection is closed."
        );
        io::ErrorKind::TimedOut.into()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_watched(cx, |stream, cx| stream.poll_write(cx, buffer))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_watched(cx, |stream, cx| stream.poll_write_vectored(cx, buffers))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
