//! Exchanges small messages over a connection that is reused: one request, one complete answer.

use crate::{
    net::{
        bounded_stream::{BoundedStream, ReadProgress},
        connect,
        pool::READ_BUFFER_BYTES,
    },
    wire::Call,
};
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use smol::{Timer, lock::Mutex, net::TcpStream};
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt, Snafu};
use std::{
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    time::{Duration, Instant},
};
use trestle_dispatch::read_budget::AnswerBound;

/// Largest answer of the store that is accepted.
const MAX_STORE_ANSWER_BYTES: usize = 8 << 20;
/// Largest answer of an endpoint to a call of the daemon that is accepted. Many endpoints may be
/// asked at the same time.
const MAX_ENDPOINT_ANSWER_BYTES: usize = 512 << 10;
/// Longest pause while a body arrives. A connection that has gone silent must be detected.
const MAX_PAUSE_MS: u64 = 700;
/// Longest time for reading a body that keeps arriving.
const MAX_READ_TIME: Duration = Duration::from_secs(5);
/// Longest time for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// An exchange that failed to produce a complete answer.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{address} cannot be reached: {source}"))]
    Connect { address: SocketAddr, source: io::Error },
    #[snafu(display("the connection to {address} broke: {source}"))]
    Http { address: SocketAddr, source: hyper::Error },
    #[snafu(display("the answer of {address} is not whole: {source}"))]
    Body { address: SocketAddr, source: Box<dyn std::error::Error + Send + Sync> },
    #[snafu(display("the bytes of {address} pass the bound on {bound}"))]
    PassedBound { address: SocketAddr, bound: AnswerBound },
    #[snafu(display("{address} did not answer within {timeout_ms} ms"))]
    TimedOut { address: SocketAddr, timeout_ms: u64 },
}

impl Error {
    /// Returns whether the connection was refused, so that nothing listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Opens the connections of a client.
pub(crate) struct Connector(Box<dyn Fn() -> Connecting + Send + Sync>);

/// A connection that is being opened.
type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

impl Connector {
    /// Returns a connector that opens connections with a function.
    pub(crate) fn new<F>(connect: impl Fn() -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = io::Result<TcpStream>> + Send + 'static,
    {
        Self(Box::new(move || Box::pin(connect())))
    }
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Connector")
    }
}

/// A client of one address. It reuses one connection and makes one exchange at a time.
#[derive(Debug)]
pub(crate) struct CallClient {
    address: SocketAddr,
    connector: Connector,
    max_answer_bytes: usize,
    idle: Mutex<Option<Open>>,
}

/// An open connection.
#[derive(Debug)]
struct Open {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallClient {
    /// Creates a client of the store. It connects with its first exchange.
    pub(crate) fn of_store(address: SocketAddr) -> Self {
        let connect = move || connect::open(address, CONNECT_TIMEOUT_MS);
        let (connector, max_answer_bytes) = (Connector::new(connect), MAX_STORE_ANSWER_BYTES);
        Self { address, connector, max_answer_bytes, idle: Mutex::new(None) }
    }

    /// Creates a client of an endpoint, whose connections are opened by a connector.
    pub(crate) fn of_endpoint(address: SocketAddr, connector: Connector) -> Self {
        let max_answer_bytes = MAX_ENDPOINT_ANSWER_BYTES;
        Self { address, connector, max_answer_bytes, idle: Mutex::new(None) }
    }

    /// Drops the connection, so that the next exchange opens a new one.
    pub(crate) async fn disconnect(&self) {
        self.idle.lock().await.take();
    }

    /// Sends a call and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or no complete answer arrives in time. The call may
    /// have taken effect.
    pub(crate) async fn exchange(&self, call: Call, timeout_ms: u64) -> Result<Answer, Error> {
        let mut idle = self.idle.lock().await;
        let address = self.address;
        let open = idle.take();
        let (response, open) = with_timeout(timeout_ms, address, self.send(open, call)).await?;
        let (head, body) = response.into_parts();
        let body = self.read_body(body, &open.progress, timeout_ms).await?;
        *idle = Some(open);
        Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
    }

    /// Sends a call over the idle connection, or over a new one if that is closed. Returns the head
    /// of the answer, and the connection for the next call.
    async fn send(
        &self,
        idle: Option<Open>,
        call: Call,
    ) -> Result<(Response<Incoming>, Open), Error> {
        let address = self.address;
        let mut open = match idle {
            Some(open) if open.sender.is_ready() => open,
            _ => self.handshake().await?,
        };
        let sent = open.sender.send_request(to_request(call, address)).await;
        if open.progress.is_exceeded() {
            return PassedBoundSnafu { address, bound: AnswerBound::BytesWithoutProgress }.fail();
        }
        if sent.as_ref().is_err_and(hyper::Error::is_parse_too_large) {
            return PassedBoundSnafu { address, bound: AnswerBound::HeadBytes }.fail();
        }
        let response = sent.context(HttpSnafu { address })?;
        open.progress.record_head();
        Ok((response, open))
    }

    /// Opens a connection, and drives it in a task of its own.
    async fn handshake(&self) -> Result<Open, Error> {
        let address = self.address;
        let stream = (self.connector.0)().await.context(ConnectSnafu { address })?;
        let stream = BoundedStream::new(stream);
        let progress = stream.progress();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.context(HttpSnafu { address })?;
        smol::spawn(async move {
            // The exchange fails with an error on its connection, and reports it.
            let _ = connection.await;
        })
        .detach();
        Ok(Open { sender, progress })
    }

    /// Reads a body for as long as it keeps arriving, even beyond the timeout of the call. A large
    /// body takes some seconds over the link of a small VM, and a retry would take as long again.
    async fn read_body(
        &self,
        body: Incoming,
        progress: &ReadProgress,
        timeout_ms: u64,
    ) -> Result<Bytes, Error> {
        let address = self.address;
        let passed = |bound| PassedBoundSnafu { address, bound }.fail();
        let mut body = Limited::new(body, self.max_answer_bytes);
        let mut content = BytesMut::new();
        let started = Instant::now();
        while started.elapsed() < MAX_READ_TIME {
            let frame = async { Ok(body.frame().await) };
            let frame = with_timeout(timeout_ms.min(MAX_PAUSE_MS), address, frame).await?;
            if progress.is_exceeded() {
                return passed(AnswerBound::BytesWithoutProgress);
            }
            let Some(frame) = frame else { return Ok(content.freeze()) };
            match frame {
                Err(error) if error.is::<LengthLimitError>() => {
                    return passed(AnswerBound::AnswerBytes);
                }
                frame => {
                    let frame = frame.context(BodySnafu { address })?;
                    progress.record_frame(&frame);
                    if let Ok(data) = frame.into_data() {
                        content.extend_from_slice(&data);
                    }
                }
            }
        }
        TimedOutSnafu { address, timeout_ms: MAX_READ_TIME.as_millis() as u64 }.fail()
    }
}

/// Awaits a future.
///
/// # Errors
///
/// Fails with the future's error, or if it does not complete within `timeout_ms`.
async fn with_timeout<T>(
    timeout_ms: u64,
    address: SocketAddr,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        TimedOutSnafu { address, timeout_ms }.fail()
    };
    future.or(timed_out).await
}

fn to_request(call: Call, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = call.map(|body| Full::new(Bytes::from(body)));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
