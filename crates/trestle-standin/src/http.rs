//! Helpers for the HTTP servers of the stand-in.

use crate::error::{AddressSnafu, Result};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use std::{future::Future, net::SocketAddr, time::Duration};
use trillium::{Conn, Status};

/// Serves requests at an address until the process ends.
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

/// Parses the address of a URL of the form `http://IP:PORT`.
pub(crate) fn parse_address(url: &str) -> Result<SocketAddr> {
    let text = url.trim_start_matches("http://");
    text.parse().context(AddressSnafu { text })
}

/// Answers with a JSON body.
pub(crate) fn json_response(conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    let body = serde_json::to_string(body).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt()
}

/// Reads the JSON body of a request; returns `None` if it cannot be read or parsed.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let text = conn.request_body_string().await.ok()?;
    serde_json::from_str(&text).ok()
}

pub(crate) async fn sleep_ms(time_ms: u64) {
    smol::Timer::after(Duration::from_millis(time_ms)).await;
}
