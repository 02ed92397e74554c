//! HTTP requests with a time limit, for small bodies.

use crate::error::{BodySnafu, Inner, Result, UnreachableSnafu};
use futures_lite::FutureExt;
use serde::{Serialize, de::DeserializeOwned};
use smol::Timer;
use snafu::ResultExt;
use std::{future::Future, time::Duration};
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Largest body of a response.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Creates a client that keeps connections open for later requests.
pub fn pooled_client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true)).with_default_pool()
}

/// Creates a client that opens a new connection for each request.
///
/// The server may close a kept connection at the moment a request is sent, and then the client
/// cannot tell whether the request was received. Therefore calls that must not run twice are sent
/// over new connections.
pub fn single_use_client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true))
}

/// Sends a request and returns the status and the body of the response, whatever the status is.
///
/// # Errors
///
/// Fails if the complete response does not arrive within `timeout_ms` milliseconds.
pub async fn exchange(conn: Conn, timeout_ms: u64) -> Result<(u16, Vec<u8>)> {
    let url = conn.url().to_string();
    let response = async {
        let mut conn = conn.await.context(UnreachableSnafu { url: &url })?;
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES).read_bytes().await;
        let body = body.context(UnreachableSnafu { url: &url })?;
        conn.recycle().await;
        Ok((status, body))
    };
    within(timeout_ms, &url, response).await
}

/// Posts a JSON body and parses the JSON response.
///
/// # Errors
///
/// Fails if the response does not arrive in time, has a status other than 2xx, or is not the
/// expected JSON.
pub async fn post_json<R: DeserializeOwned>(
    client: &Client,
    url: &str,
    body: &impl Serialize,
    timeout_ms: u64,
) -> Result<R> {
    let body = serde_json::to_vec(body).context(BodySnafu { url })?;
    let conn =
        client.post(url).with_request_header("content-type", "application/json").with_body(body);
    let (status, body) = exchange(conn, timeout_ms).await?;
    success(url, status)?;
    Ok(serde_json::from_slice(&body).context(BodySnafu { url })?)
}

/// Gets a URL and parses the JSON response.
///
/// # Errors
///
/// Fails if the response does not arrive in time, has a status other than 2xx, or is not the
/// expected JSON.
pub async fn get_json<R: DeserializeOwned>(
    client: &Client,
    url: &str,
    timeout_ms: u64,
) -> Result<R> {
    let (status, body) = exchange(client.get(url), timeout_ms).await?;
    success(url, status)?;
    Ok(serde_json::from_slice(&body).context(BodySnafu { url })?)
}

pub(crate) fn success(url: &str, status: u16) -> Result<()> {
    if (200..300).contains(&status) {
        return Ok(());
    }
    Err(Inner::Status { url: url.to_owned(), status }.into())
}

async fn within<T>(
    timeout_ms: u64,
    url: &str,
    future: impl Future<Output = Result<T>>,
) -> Result<T> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        Err(Inner::TimedOut { url: url.to_owned(), timeout_ms }.into())
    };
    future.or(timed_out).await
}
