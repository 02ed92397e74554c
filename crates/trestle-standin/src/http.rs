//! Small helpers around the HTTP server.

use crate::error::{AddressSnafu, Result};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use std::{future::Future, net::SocketAddr, time::Duration};
use trillium::{Conn, Status};

/// Serves an address until the process ends.
pub(crate) fn serve<F>(address: SocketAddr, handler: impl Fn(Conn) -> F + Send + Sync + 'static)
where
    F: Future<Output = Conn> + Send + 'static,
{
    let server = trillium_smol::config()
        .with_host(&address.ip().to_string())
        .with_port(address.port())
        .with_nodelay()
        .without_signals();
    smol::spawn(server.run_async(handler)).detach();
}

/// The address in a URL as the configuration has it.
pub(crate) fn address_of(url: &str) -> Result<SocketAddr> {
    let text = url.trim_start_matches("http://");
    text.parse().context(AddressSnafu { text })
}

/// Answers with JSON.
pub(crate) fn json(conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    let body = serde_json::to_string(body).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt()
}

/// The JSON body of a request.
pub(crate) async fn body_of<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let text = conn.request_body_string().await.ok()?;
    serde_json::from_str(&text).ok()
}

/// Waits.
pub(crate) async fn sleep_ms(time_ms: u64) {
    smol::Timer::after(Duration::from_millis(time_ms)).await;
}
