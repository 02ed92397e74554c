//! A pool of idle connections to endpoints.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete answer.
//! The pool closes it before the endpoint would, because a request that is sent while the endpoint
//! closes the connection may be lost.

use crate::{
    clock::Clock,
    net::bounded_stream::{BoundedStream, ReadProgress},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    read_budget::AnswerBound,
};

/// Longest time for opening a connection. A round trip within a region takes a few milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 300;
/// Idle time after which a connection is closed if the endpoint does not report its own idle
/// timeout. It is below the shortest timeout that endpoints report.
const DEFAULT_IDLE_MS: u64 = 900;
/// Largest read buffer of a connection to an endpoint. It may fill up while a caller reads slowly,
/// and it must take the head of an answer. The library's default is 400 KiB.
pub(crate) const READ_BUFFER_BYTES: usize = 64 << 10;
/// Fraction of the endpoint's own idle timeout for which a connection is kept.
const IDLE_FRACTION: f64 = 0.6;
/// Most idle connections that are kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// An open connection to an endpoint, before HTTP begins.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) stream: TcpStream,
    /// The daemon through which it passes; `None` if it is direct.
    pub(crate) helper: Option<SocketAddr>,
}

/// Idle connections, by the incarnation of the endpoint that they were opened to.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    idle: Mutex<BTreeMap<Incarnation, Vec<IdleConnection>>>,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
    /// Until when the connection may be used, on the daemon's clock.
    expires_ms: u64,
    opened_ms: u64,
    helper: Option<SocketAddr>,
}

/// A connection that carries one request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
    is_fresh: bool,
    opened_ms: u64,
    /// The daemon through which the connection passes; `None` if it is direct.
    helper: Option<SocketAddr>,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request was certainly not sent.
    NotSent(String),
    /// The request may have been received and run.
    Unknown(String),
    /// The answer passed a bound. The request may have run.
    PassedBound(AnswerBound),
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Removes and returns an idle connection that can still be used. `may_use` returns whether one
    /// may be used that is, or is not, a detour; others are closed.
    pub(crate) fn take(
        &self,
        endpoint: &Incarnation,
        may_use: impl Fn(bool) -> bool,
    ) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.lock();
        let connections = idle.get_mut(endpoint)?;
        while let Some(idle) = connections.pop() {
            let IdleConnection { sender, progress, expires_ms, opened_ms, helper } = idle;
            if now_ms < expires_ms && sender.is_ready() && may_use(helper.is_some()) {
                return Some(Connection { sender, progress, is_fresh: false, opened_ms, helper });
            }
        }
        None
    }

    /// Returns a new connection over a stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is closed.
    pub(crate) async fn connection_over(&self, opened: OpenStream) -> io::Result<Connection> {
        let OpenStream { stream, helper } = opened;
        let (sender, progress) = handshake(stream).await?;
        let opened_ms = self.clock.now_ms();
        Ok(Connection { sender, progress, is_fresh: true, opened_ms, helper })
    }

    /// Returns a connection to the pool. `idle_ms` is the endpoint's own idle timeout, if it
    /// reports one.
    pub(crate) fn keep(&self, endpoint: &Endpoint, connection: Connection, idle_ms: Option<u64>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_ms = idle_ms.map_or(DEFAULT_IDLE_MS, |ms| (ms as f64 * IDLE_FRACTION) as u64);
        let expires_ms = self.clock.now_ms().saturating_add(idle_ms);
        let mut idle = self.lock();
        let connections = idle.entry(endpoint.incarnation()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            let Connection { sender, progress, opened_ms, helper, .. } = connection;
            connections.push(IdleConnection { sender, progress, expires_ms, opened_ms, helper });
        }
    }

    /// Closes connections that were idle for too long, and those to endpoints that are not live.
    pub(crate) fn cleanup(&self, is_live: impl Fn(&Incarnation) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut idle = self.lock();
        idle.retain(|endpoint, connections| {
            connections.retain(|idle| now_ms < idle.expires_ms && !idle.sender.is_closed());
            !connections.is_empty() && is_live(endpoint)
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Incarnation, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns whether the connection was opened for this request.
    pub(crate) fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// Returns the daemon through which the connection passes; `None` if it is direct.
    pub(crate) fn helper(&self) -> Option<SocketAddr> {
        self.helper
    }

    /// Returns the record of progress, for the body of an answer.
    pub(crate) fn progress(&self) -> &ReadProgress {
        &self.progress
    }

    /// Returns when the connection was opened, in milliseconds on the daemon's clock.
    pub(crate) fn opened_ms(&self) -> u64 {
        self.opened_ms
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if no head arrives. The error says whether the request may have run.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.progress.record_head();
                Ok(response)
            }
            Err(_) if self.progress.is_exceeded() => {
                Err(SendError::PassedBound(AnswerBound::BytesWithoutProgress))
            }
            Err(error) if error.error().is_parse_too_large() => {
                Err(SendError::PassedBound(AnswerBound::HeadBytes))
            }
            Err(mut error) => {
                let was_not_sent = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if was_not_sent { SendError::NotSent(text) } else { SendError::Unknown(text) })
            }
        }
    }
}

/// Begins HTTP over a stream, and drives the connection in a task of its own.
async fn handshake(stream: TcpStream) -> io::Result<(SendRequest<Full<Bytes>>, ReadProgress)> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let stream = BoundedStream::new(stream);
    let progress = stream.progress();
    let (sender, connection) =
        builder.handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    smol::spawn(async move {
        // The request fails with an error on its connection, and reports it.
        let _ = connection.await;
    })
    .detach();
    Ok((sender, progress))
}
