//! Reads request bodies, with limits on the size of each, on the time to receive it, and on the
//! size of all of them.

use super::Failure;
use crate::daemon::Daemon;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use smol::Timer;
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use trillium::Conn;

/// Largest part of a rejected body that is still read. If the daemon stopped reading at once, the
/// caller would see a broken connection instead of the error response.
const MAX_DRAINED_BYTES: usize = 8 << 20;
/// Longest time for which the rest of a body is read after it was rejected for lack of memory.
const DRAIN_MS: u64 = 1_000;
/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// Retry delay for a request that was rejected because all bodies together are too large.
const MEMORY_RETRY_MS: u64 = 1_000;

/// The complete body of a request. Its size counts against the limit on all bodies until the value
/// is dropped.
pub(crate) struct Body {
    pub(crate) content: Vec<u8>,
    daemon: Arc<Daemon>,
    counted_bytes: usize,
}

impl Body {
    fn new(daemon: &Arc<Daemon>) -> Self {
        Self { content: Vec::new(), daemon: Arc::clone(daemon), counted_bytes: 0 }
    }

    /// Appends a part. Fails if all bodies together exceed their limit.
    fn push(&mut self, part: &[u8]) -> Result<(), Failure> {
        let before = self.daemon.body_bytes.fetch_add(part.len(), Ordering::Relaxed);
        self.counted_bytes += part.len();
        if before + part.len() > self.daemon.settings.limits.all_bodies_bytes {
            let message = "this daemon holds as many bytes of requests as it may";
            let failure = Failure::not_run(503, "too_many_bytes", message);
            return Err(failure.with_retry_after_ms(MEMORY_RETRY_MS));
        }
        self.content.extend_from_slice(part);
        Ok(())
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.daemon.body_bytes.fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}

/// Reads the complete body of a request.
///
/// Fails if the body is too large, incomplete or not received in time, or if all bodies together
/// exceed their limit.
pub(crate) async fn read(daemon: &Arc<Daemon>, conn: &mut Conn) -> Result<Body, Failure> {
    let limits = &daemon.settings.limits;
    let reading = async {
        let mut reader = conn.request_body().await.with_max_len(u64::MAX);
        let mut body = Body::new(daemon);
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut total = 0;
        loop {
            let count = reader.read(&mut chunk).await.map_err(|error| incomplete(&error))?;
            total += count;
            if count == 0 || total > limits.body_bytes + MAX_DRAINED_BYTES {
                break;
            }
            if total > limits.body_bytes {
                continue;
            }
            if let Err(failure) = body.push(&chunk[..count]) {
                drop(body);
                drain(&mut reader, &mut chunk).await;
                return Err(failure);
            }
        }
        if total > limits.body_bytes {
            return Err(too_long(limits.body_bytes));
        }
        Ok(body)
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(limits.body_ms)).await;
        let message = format!("the body must arrive within {} ms", limits.body_ms);
        Err(Failure::not_run(408, "slow_body", message))
    };
    reading.or(timed_out).await
}

/// Reads and discards the rest of a body, within [`MAX_DRAINED_BYTES`] and [`DRAIN_MS`].
async fn drain(reader: &mut (impl AsyncRead + Unpin), chunk: &mut [u8]) {
    let reading = async {
        let mut total = 0;
        while total <= MAX_DRAINED_BYTES {
            match reader.read(chunk).await {
                Ok(0) | Err(_) => return,
                Ok(count) => total += count,
            }
        }
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(DRAIN_MS)).await;
    };
    reading.or(timed_out).await;
}

fn incomplete(error: &io::Error) -> Failure {
    let message = format!("the body did not arrive whole: {error}");
    Failure::not_run(400, "broken_body", message)
}

fn too_long(limit_bytes: usize) -> Failure {
    let message = format!("the body must have at most {limit_bytes} bytes");
    Failure::not_run(413, "body_too_long", message)
}
