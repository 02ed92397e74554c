//! Sends completion requests to engines and validates the answers.
//!
//! An answer is forwarded only if it carries the id of its request and is complete. An answer that
//! is streamed is checked event by event.

use super::{
    InFlight,
    call::Call,
    model::Completion,
    sse::{EventKind, EventReader},
};
use crate::{daemon::Daemon, permit_client::Permit};
use async_channel::Sender;
use futures_lite::{FutureExt, StreamExt};
use futures_util::TryStreamExt;
use serde_json::Value;
use smol::Timer;
use std::{io, sync::Arc};
use trestle_wire::headers;
use trillium::Body;
use trillium_client::Conn;

/// Number of parts of a stream that are buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;
/// Maximum size of an answer that is not streamed.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// The outcome of sending a request to an engine.
pub(crate) enum SendOutcome {
    /// A complete answer that is not streamed.
    Complete { content_type: String, body: Vec<u8> },
    /// A streamed answer whose first part has been received.
    Stream(Body),
    /// The request was not run, for the reason given.
    NotRun(String),
    /// The engine failed or its answer is not valid, for the reason given; the request may have
    /// run.
    Failed(String),
    /// The engine rejected the request with this HTTP status.
    Rejected { status: u16, message: String },
    /// The deadline passed before the answer was complete, or before a stream began.
    DeadlinePassed,
}

/// Sends a request to the engine of the permit. The permit is released at the end of the answer,
/// also if the answer is streamed.
pub(crate) async fn send(
    daemon: &Arc<Daemon>,
    call: &Call,
    completion: &Completion,
    permit: Permit,
    in_flight: InFlight,
) -> SendOutcome {
    let Some(url) = call.config.engine_urls.get(&permit.endpoint) else {
        return SendOutcome::NotRun("the engine is no longer declared".to_owned());
    };
    if !permit.is_usable() {
        return SendOutcome::NotRun("the permit is too old to be used".to_owned());
    }
    let url = format!("{url}{}", completion.path);
    let timed_out = async {
        Timer::after(call.time_left()).await;
        SendOutcome::DeadlinePassed
    };
    let sending = async {
        let answered = match request(daemon, call, completion, &url).await {
            Ok(answered) => answered,
            Err(error) => return connection_failure(&error),
        };
        match answered.status().map_or(0, |status| status as u16) {
            200 if completion.is_stream => start_stream(call, answered, permit, in_flight).await,
            200 => read_complete(call, answered).await,
            409 => SendOutcome::NotRun("the engine does not have the model loaded".to_owned()),
            status @ 400..=499 => {
                SendOutcome::Rejected { status, message: format!("the engine answered {status}") }
            }
            status => SendOutcome::Failed(format!("the engine answered {status}")),
        }
    };
    sending.or(timed_out).await
}

async fn request(
    daemon: &Daemon,
    call: &Call,
    completion: &Completion,
    url: &str,
) -> trillium_client::Result<Conn> {
    let mut conn = daemon
        .engine_client
        .post(url)
        .with_request_header("content-type", "application/json")
        .with_request_header(headers::REQUEST_ID, call.request_id.clone())
        .with_request_header(headers::PRIORITY, call.urgency.to_string())
        .with_body(completion.body.to_string());
    if let Some(adapter) = &completion.target.adapter {
        conn = conn.with_request_header(headers::ADAPTER, adapter.clone());
    }
    conn.await
}

fn connection_failure(error: &trillium_client::Error) -> SendOutcome {
    if is_connection_refused(error) {
        return SendOutcome::NotRun("the engine does not accept connections".to_owned());
    }
    SendOutcome::Failed(format!("the connection to the engine broke: {error}"))
}

/// Returns whether the connection was refused, which proves that nothing was sent.
pub(crate) fn is_connection_refused(error: &trillium_client::Error) -> bool {
    match error {
        trillium_client::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

async fn read_complete(call: &Call, mut conn: Conn) -> SendOutcome {
    if conn.response_headers().get_str(headers::REQUEST_ID) != Some(call.request_id.as_str()) {
        return SendOutcome::Failed("the answer belongs to another request".to_owned());
    }
    let content_type = content_type_of(&conn);
    let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES).read_bytes().await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return SendOutcome::Failed(format!("the answer broke off: {error}")),
    };
    let Ok(content) = serde_json::from_slice::<Value>(&body) else {
        return SendOutcome::Failed("the answer is cut or not JSON".to_owned());
    };
    if content["id"].as_str() != Some(call.request_id.as_str()) {
        return SendOutcome::Failed("the answer belongs to another request".to_owned());
    }
    conn.recycle().await;
    SendOutcome::Complete { content_type, body }
}

fn content_type_of(conn: &Conn) -> String {
    let header = conn.response_headers().get_str("content-type");
    header.unwrap_or("application/json").to_owned()
}

/// Forwards a streamed answer in a task of its own, and returns once the first part has been
/// received, so that a failure before it can still be retried.
async fn start_stream(call: &Call, conn: Conn, permit: Permit, in_flight: InFlight) -> SendOutcome {
    let (parts, received) = async_channel::bounded(MAX_BUFFERED_PARTS);
    let request_id = call.request_id.clone();
    let deadline = call.deadline;
    let forwarding = async move {
        let timed_out = async {
            Timer::at(deadline).await;
            StreamEnd::Aborted("the deadline came before the end of the answer".to_owned())
        };
        let end = forward_events(conn, &request_id, &parts).or(timed_out).await;
        if let StreamEnd::Aborted(message) = end {
            let _ = parts.send(Err(message)).await;
        }
        drop(permit);
        drop(in_flight);
    };
    smol::spawn(forwarding).detach();
    let first = match received.recv().await {
        Ok(Ok(first)) => first,
        Ok(Err(message)) => return SendOutcome::Failed(message),
        Err(_) => return SendOutcome::Failed("the answer ended before it began".to_owned()),
    };
    let request_id = call.request_id.clone();
    let rest = received
        .map(move |part| Ok(part.unwrap_or_else(|message| error_event(&message, &request_id))));
    let all = futures_lite::stream::once(Ok::<_, io::Error>(first)).chain(rest);
    SendOutcome::Stream(Body::new_streaming(Box::pin(all).into_async_read(), None))
}

/// How the forwarding of a streamed answer ended.
enum StreamEnd {
    Done,
    Aborted(String),
}

/// Forwards events until the end of the answer, until the caller no longer reads them, or until an
/// event belongs to another request.
async fn forward_events(
    mut conn: Conn,
    request_id: &str,
    parts: &Sender<Result<Vec<u8>, String>>,
) -> StreamEnd {
    let mut events = EventReader::new(conn.response_body());
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return StreamEnd::Aborted("the answer broke off".to_owned()),
            Err(error) => return StreamEnd::Aborted(format!("the answer broke off: {error}")),
        };
        let is_last = match event.classify(request_id) {
            EventKind::Part => false,
            EventKind::Last => true,
            EventKind::Foreign => {
                return StreamEnd::Aborted("a part belongs to another request".to_owned());
            }
        };
        if parts.send(Ok(event.into_bytes())).await.is_err() || is_last {
            return StreamEnd::Done;
        }
    }
}

/// Returns the event that informs a caller that the answer is incomplete.
fn error_event(message: &str, request_id: &str) -> Vec<u8> {
    let failure = super::Failure::unknown(502, "answer_cut", message);
    format!("event: error\ndata: {}\n\n", failure.to_json(request_id)).into_bytes()
}
