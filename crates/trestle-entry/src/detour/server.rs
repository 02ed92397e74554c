//! Serves detours: connects other daemons to endpoints.

use crate::{daemon::Daemon, net::bounded_stream::BoundedStream, paths};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, io as async_io};
use smol::{Timer, net::TcpStream};
use socket2::SockRef;
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use trestle_dispatch::endpoint::Endpoint;
use trestle_wire::detours::{DetourAnswer, MAX_REQUEST_BYTES, WireDetourRequest};

/// Most detours that are open at the same time. Each takes two descriptors and some buffers.
const MAX_OPEN: usize = 256;
/// Longest time until the request has arrived.
const REQUEST_TIMEOUT_MS: u64 = 1_000;
/// Longest time for connecting to an endpoint; the requesting daemon waits somewhat longer.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Serves the connection of a daemon that requests a detour, from behind the first bytes, which
/// announce it.
pub(crate) async fn serve(daemon: Arc<Daemon>, mut stream: TcpStream) {
    let request = match read_request(&mut stream).or(timed_out()).await {
        Ok(request) => request,
        Err(error) => {
            tracing::debug!(%error, "detour: A request could not be read.");
            return;
        }
    };
    let open = daemon.open_detours.fetch_add(1, Ordering::Relaxed);
    // A stopping daemon waits for the detours that are open.
    let may_open = open < MAX_OPEN && !daemon.stopping.has_begun();
    let upstream = match may_open {
        true => connect_for(&daemon, &request).await,
        false => Err(DetourAnswer::Full),
    };
    let answer = upstream.as_ref().err().copied().unwrap_or(DetourAnswer::Opened);
    let answered = stream.write_all(&[answer.into()]).await;
    tracing::debug!(
        vm = request.vm,
        endpoint = request.endpoint,
        ?answer,
        "detour: A daemon requested a detour."
    );
    if let (Ok(upstream), Ok(())) = (upstream, answered) {
        forward(stream, upstream).await;
    }
    daemon.open_detours.fetch_sub(1, Ordering::Relaxed);
}

async fn read_request(stream: &mut TcpStream) -> io::Result<WireDetourRequest> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    if length > MAX_REQUEST_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the request is too long"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    WireDetourRequest::decode(&body).map_err(io::Error::other)
}

async fn timed_out() -> io::Result<WireDetourRequest> {
    Timer::after(Duration::from_millis(REQUEST_TIMEOUT_MS)).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// Connects directly to the endpoint of a request, if this daemon's own list allows requests there.
async fn connect_for(
    daemon: &Daemon,
    request: &WireDetourRequest,
) -> Result<TcpStream, DetourAnswer> {
    let incarnation = request.incarnation();
    let (endpoint, is_blocked) = daemon.shared_view.with(|local_view| {
        let is_usable = local_view.directory.is_usable(&incarnation);
        let endpoint = local_view.directory.get(&incarnation.name).filter(|_| is_usable).cloned();
        (endpoint, local_view.reachability.is_blocked(&incarnation))
    });
    let endpoint = endpoint.ok_or(DetourAnswer::NotListed)?;
    if is_blocked {
        return Err(DetourAnswer::CutOff);
    }
    let connected = paths::open_direct(daemon, &endpoint, CONNECT_TIMEOUT_MS).await;
    match connected {
        Ok(upstream) => Ok(upstream),
        Err(error) => Err(explain(daemon, &endpoint, &error).await),
    }
}

/// Returns what a failed connection shows: that the endpoint has terminated, that only it is not
/// reached, or that this daemon reaches hardly any of its service.
async fn explain(daemon: &Daemon, endpoint: &Endpoint, error: &io::Error) -> DetourAnswer {
    let is_refused = paths::is_refused(error);
    if is_refused && paths::reaches_another(daemon, endpoint).await {
        return DetourAnswer::Refused;
    }
    match is_refused || paths::unreached_services(daemon).contains(&endpoint.service) {
        true => DetourAnswer::CutOff,
        false => DetourAnswer::NotReached,
    }
}

/// Passes bytes in both directions until either side closes its connection. An answer may end with its
/// connection, so the requesting daemon gets an orderly end only if the endpoint's connection had one.
/// Any other end is a reset, also that of this process.
async fn forward(stream: TcpStream, upstream: TcpStream) {
    if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "detour: A connection could not be set to end with a reset.");
        return;
    }
    let up = async {
        // The requesting daemon has closed the connection; dropping the other one aborts the request.
        let _ = async_io::copy(BoundedStream::pausing(stream.clone()), upstream.clone()).await;
        false
    };
    let down = async {
        let upstream = BoundedStream::pausing(upstream.clone());
        async_io::copy(upstream, stream.clone()).await.is_ok()
    };
    let has_ended_orderly = up.or(down).await;
    if has_ended_orderly && let Err(error) = SockRef::from(&stream).set_linger(None) {
        tracing::debug!(%error, "detour: An orderly end could not be passed on.");
    }
}
