//! Bodies of callers, within limits.

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

/// Bytes of a refused body that are still read, so that the caller gets the refusal
/// instead of a broken connection.
const MAX_DRAINED_BYTES: usize = 8 << 20;
/// Time for which they are read after the refusal of a body that does not fit in.
const DRAIN_MS: u64 = 1_000;
/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// When to come back after too many bodies were held at once.
const MEMORY_RETRY_MS: u64 = 1_000;

/// The whole body of a request, counted among all bodies until it is dropped.
pub(crate) struct Body {
    pub(crate) content: Vec<u8>,
    daemon: Arc<Daemon>,
    counted_bytes: usize,
}

impl Body {
    fn new(daemon: &Arc<Daemon>) -> Self {
        Self { content: Vec::new(), daemon: Arc::clone(daemon), counted_bytes: 0 }
    }

    /// Adds a part, unless too much is held already.
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

/// Reads the whole body of a request.
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

/// Reads on for a while and keeps nothing.
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
