//! Sends a call to a server of a plain service.

use super::{engine_call::is_connection_refused, server_selection::ServerSlot};
use futures_lite::FutureExt;
use std::time::Duration;
use trestle_wire::headers;
use trillium::Method;
use trillium_client::{Client, Conn};

/// Maximum size of an answer of a plain service.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A call as it is sent to a server.
#[derive(Clone)]
pub(crate) struct ServiceCall {
    pub(crate) method: Method,
    /// The path and query of the URL at the server.
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
    pub(crate) content_type: Option<String>,
    pub(crate) request_id: String,
    /// The name of the idempotency header and the key; `None` for a repeatable call.
    pub(crate) key: Option<(String, String)>,
}

/// A complete answer of a server.
#[derive(Debug, Clone)]
pub(crate) struct ServiceAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// The outcome of sending a call.
pub(crate) enum CallOutcome {
    /// A complete answer was received.
    Answered(ServiceAnswer),
    /// Nothing was sent, for the reason given.
    NotSent(String),
    /// The call may have run and no valid answer was received, for the reason given.
    AnswerLost(String),
}

/// Sends a call once, and records in the server's health whether a complete answer arrived within
/// `limit`.
pub(crate) async fn send(
    client: &Client,
    slot: &ServerSlot,
    call: &ServiceCall,
    limit: Duration,
) -> CallOutcome {
    let timed_out = async {
        smol::Timer::after(limit).await;
        CallOutcome::AnswerLost("no answer came in time".to_owned())
    };
    let outcome = exchange(client, slot, call).or(timed_out).await;
    slot.record_outcome(matches!(outcome, CallOutcome::Answered(_)));
    outcome
}

async fn exchange(client: &Client, slot: &ServerSlot, call: &ServiceCall) -> CallOutcome {
    let conn = match request(client, slot, call).await {
        Ok(conn) => conn,
        Err(error) if is_connection_refused(&error) => {
            return CallOutcome::NotSent(format!("{} does not accept connections", slot.endpoint));
        }
        Err(error) => return CallOutcome::AnswerLost(format!("the connection broke: {error}")),
    };
    read_answer(conn, &call.request_id).await
}

async fn request(
    client: &Client,
    slot: &ServerSlot,
    call: &ServiceCall,
) -> trillium_client::Result<Conn> {
    let url = format!("{}{}", slot.url, call.path);
    let mut conn = client
        .build_conn(call.method, url)
        .with_request_header(headers::REQUEST_ID, call.request_id.clone())
        .with_body(call.body.clone());
    if let Some(content_type) = &call.content_type {
        conn = conn.with_request_header("content-type", content_type.clone());
    }
    if let Some((header, key)) = &call.key {
        conn = conn.with_request_header(header.clone(), key.clone());
    }
    conn.await
}

async fn read_answer(mut conn: Conn, request_id: &str) -> CallOutcome {
    let status = conn.status().map_or(0, |status| status as u16);
    let headers = conn.response_headers();
    let answered_id = headers.get_str(headers::REQUEST_ID).unwrap_or(request_id).to_owned();
    let content_type =
        headers.get_str("content-type").unwrap_or("application/octet-stream").to_owned();
    let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
    let expected = body.content_length();
    let body = match body.read_bytes().await {
        Ok(body) => body,
        Err(error) => return CallOutcome::AnswerLost(format!("the answer broke off: {error}")),
    };
    if expected.is_some_and(|length| length != body.len() as u64) {
        return CallOutcome::AnswerLost("the answer broke off".to_owned());
    }
    if answered_id != request_id {
        return CallOutcome::AnswerLost("the answer belongs to another request".to_owned());
    }
    conn.recycle().await;
    CallOutcome::Answered(ServiceAnswer { status, content_type, body })
}
