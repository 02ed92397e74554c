//! Accepts connections and serves HTTP requests on them.

use crate::{net::bounded_stream::BoundedStream, traffic::caller_stream::CallerStream};
use event_listener::Event;
use futures_lite::{FutureExt, pin};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Smallest buffer size for a request's head that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Largest size of a request's head.
    pub(crate) header_bytes: usize,
    /// Longest time from the end of one request until the head of the next has been read.
    pub(crate) idle_ms: u64,
}

/// Closes the connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct ListenerShutdown {
    has_begun: AtomicBool,
    begun: Event,
    open: AtomicUsize,
}

impl ListenerShutdown {
    /// Closes each connection once its request is answered, and idle connections at once.
    pub(crate) fn begin(&self) {
        self.has_begun.store(true, Ordering::SeqCst);
        self.begun.notify(usize::MAX);
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until the connections are to be closed.
    async fn wait(&self) {
        let begun = self.begun.listen();
        if !self.has_begun.load(Ordering::SeqCst) {
            begun.await;
        }
    }
}

/// Accepts connections and serves their requests until the process ends.
pub(crate) async fn run<H, F, B>(
    listener: TcpListener,
    shutdown: Arc<ListenerShutdown>,
    limits: impl Fn() -> ConnectionLimits,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shutdown = Arc::clone(&shutdown);
                smol::spawn(serve(stream, shutdown, limits(), handle.clone())).detach();
            }
            Err(error) => {
                // The process is most likely out of file descriptors; a connection will be closed
                // soon.
                tracing::warn!(%error, "serve: A connection was not accepted.");
                smol::Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves one connection until it is closed.
async fn serve<H, F, B>(
    stream: TcpStream,
    shutdown: Arc<ListenerShutdown>,
    limits: ConnectionLimits,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = crate::net::connect::set_options(&stream) {
        tracing::debug!(%error, "serve: Could not set the options of a connection; it keeps the system's defaults.");
    }
    shutdown.open.fetch_add(1, Ordering::SeqCst);
    let stream = BoundedStream::for_heads(CallerStream::new(stream), limits.header_bytes);
    let (progress, caller_progress) = (stream.progress(), stream.progress());
    let service = service_fn(move |mut request: Request<Incoming>| {
        progress.record_head();
        request.extensions_mut().insert(progress.clone());
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        // Otherwise the library copies answers, and the copies are not counted as held bytes.
        .writev(true)
        .serve_connection(FuturesIo::new(stream), service);
    pin!(connection);
    let shutdown_requested = async {
        shutdown.wait().await;
        None
    };
    let result = async { Some(connection.as_mut().await) }.or(shutdown_requested).await;
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if caller_progress.is_exceeded() {
        tracing::info!(
            "serve: A caller sent too many bytes without a part of a request; its connection is closed."
        );
    } else if let Err(error) = result {
        tracing::debug!(%error, "serve: A connection ended early.");
    }
    shutdown.open.fetch_sub(1, Ordering::SeqCst);
}
