//! Bodies of callers, within limits.

use super::Failure;
use crate::daemon::Daemon;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;
use trillium::Conn;

/// Reads the whole body of a request.
pub(crate) async fn read(daemon: &Daemon, conn: &mut Conn) -> Result<Vec<u8>, Failure> {
    let limits = &daemon.settings.limits;
    let reading = async {
        let body = conn.request_body().await;
        let is_too_long = body.content_length().is_some_and(|len| len > limits.body_bytes as u64);
        if is_too_long {
            return Err(too_long(limits.body_bytes));
        }
        body.read_bytes().await.map_err(|error| match error {
            trillium_http::Error::ReceivedBodyTooLong(_) => too_long(limits.body_bytes),
            error => {
                let message = format!("the body did not arrive whole: {error}");
                Failure::not_run(400, "broken_body", message)
            }
        })
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(limits.body_ms)).await;
        let message = format!("the body must arrive within {} ms", limits.body_ms);
        Err(Failure::not_run(408, "slow_body", message))
    };
    reading.or(timed_out).await
}

fn too_long(limit_bytes: usize) -> Failure {
    let message = format!("the body must have at most {limit_bytes} bytes");
    Failure::not_run(413, "body_too_long", message)
}
