//! Bodies of callers, within limits.

use super::Failure;
use crate::daemon::Daemon;
use futures_lite::{AsyncReadExt, FutureExt};
use smol::Timer;
use std::{io, time::Duration};
use trillium::Conn;

/// Bytes of a body past the limit that are still read, so that the caller gets
/// the refusal instead of a broken connection.
const MAX_DRAINED_BYTES: usize = 8 << 20;
/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Reads the whole body of a request.
pub(crate) async fn read(daemon: &Daemon, conn: &mut Conn) -> Result<Vec<u8>, Failure> {
    let limits = &daemon.settings.limits;
    let reading = async {
        let mut body = conn.request_body().await.with_max_len(u64::MAX);
        let mut content = Vec::new();
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut total = 0;
        loop {
            let count = body.read(&mut chunk).await.map_err(|error| broken(&error))?;
            total += count;
            if count == 0 || total > limits.body_bytes + MAX_DRAINED_BYTES {
                break;
            }
            if total <= limits.body_bytes {
                content.extend_from_slice(&chunk[..count]);
            }
        }
        if total > limits.body_bytes {
            return Err(too_long(limits.body_bytes));
        }
        Ok(content)
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(limits.body_ms)).await;
        let message = format!("the body must arrive within {} ms", limits.body_ms);
        Err(Failure::not_run(408, "slow_body", message))
    };
    reading.or(timed_out).await
}

fn broken(error: &io::Error) -> Failure {
    let message = format!("the body did not arrive whole: {error}");
    Failure::not_run(400, "broken_body", message)
}

fn too_long(limit_bytes: usize) -> Failure {
    let message = format!("the body must have at most {limit_bytes} bytes");
    Failure::not_run(413, "body_too_long", message)
}
