//! Kept connections to endpoints.
//!
//! A connection carries one request at a time. It is kept only after a whole
//! answer, and not for as long as the endpoint might keep it, since a request
//! that crosses the endpoint's close may be lost.

use crate::{clock::Clock, net::connect};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use smol_hyper::rt::FuturesIo;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};
use trestle_dispatch::endpoint::{Endpoint, Incarnation};

/// Time for opening a connection; ways within a region take a few ms.
pub(crate) const CONNECT_MS: u64 = 300;
/// For how long a connection is kept where the endpoint does not say; below
/// the shortest time that endpoints say.
const DEFAULT_IDLE_MS: u64 = 900;
/// Part of the endpoint's own time for which a connection is kept.
const IDLE_PART: f64 = 0.6;
/// Connections kept to one endpoint.
const MOST_KEPT: usize = 16;

/// Kept connections to endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    kept: Mutex<BTreeMap<Incarnation, Vec<Kept>>>,
}

#[derive(Debug)]
struct Kept {
    sender: SendRequest<Full<Bytes>>,
    until_ms: u64,
    opened_ms: u64,
}

/// A connection that carries one request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    is_fresh: bool,
    opened_ms: u64,
}

/// Why a request has no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// It certainly never left.
    NotSent(String),
    /// It may have been received and run.
    Unknown(String),
}

impl Pool {
    /// No connection is kept yet.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, kept: Mutex::default() }
    }

    /// A kept connection to an endpoint, or a new one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be connected to.
    pub(crate) async fn connection(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        if let Some(Kept { sender, opened_ms, .. }) = self.take(&endpoint.incarnation()) {
            return Ok(Connection { sender, is_fresh: false, opened_ms });
        }
        let sender = open(endpoint.address).await?;
        Ok(Connection { sender, is_fresh: true, opened_ms: self.clock.now_ms() })
    }

    /// Keeps a connection for the next request, for as long as the endpoint will.
    pub(crate) fn keep(&self, endpoint: &Endpoint, connection: Connection, idle_ms: Option<u64>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_ms = idle_ms.map_or(DEFAULT_IDLE_MS, |ms| (ms as f64 * IDLE_PART) as u64);
        let until_ms = self.clock.now_ms() + idle_ms;
        let mut kept = self.lock();
        let of_endpoint = kept.entry(endpoint.incarnation()).or_default();
        if of_endpoint.len() < MOST_KEPT {
            let Connection { sender, opened_ms, .. } = connection;
            of_endpoint.push(Kept { sender, until_ms, opened_ms });
        }
    }

    /// Closes connections that were idle for too long, and those to endpoints that are gone.
    pub(crate) fn tidy(&self, is_live: impl Fn(&Incarnation) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut kept = self.lock();
        kept.retain(|endpoint, connections| {
            connections.retain(|kept| now_ms < kept.until_ms && !kept.sender.is_closed());
            !connections.is_empty() && is_live(endpoint)
        });
    }

    fn take(&self, endpoint: &Incarnation) -> Option<Kept> {
        let now_ms = self.clock.now_ms();
        let mut kept = self.lock();
        let of_endpoint = kept.get_mut(endpoint)?;
        while let Some(candidate) = of_endpoint.pop() {
            if now_ms < candidate.until_ms && candidate.sender.is_ready() {
                return Some(candidate);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Incarnation, Vec<Kept>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Whether it was opened for this request.
    pub(crate) fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// When it was opened, on the daemon's clock.
    pub(crate) fn opened_ms(&self) -> u64 {
        self.opened_ms
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no head; the error says whether the request may have run.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let never_left = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if never_left { SendError::NotSent(text) } else { SendError::Unknown(text) })
            }
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = connect::open(address, CONNECT_MS).await?;
    let (sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    smol::spawn(async move {
        // An error here ends the request, which reports it.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}
