//! Connections to endpoints. All of them are opened here, directly or by a detour.

use crate::{
    daemon::Daemon,
    detour::client::{self, Detour, NoDetour},
    net::{
        connect,
        exchange::{CallClient, Connector},
        pool::{CONNECT_TIMEOUT_MS, Connection, OpenStream},
    },
};
use futures_lite::{AsyncReadExt, FutureExt, pin};
use smol::{Task, Timer, net::TcpStream};
use std::{
    collections::BTreeSet,
    io::{self, ErrorKind},
    sync::Arc,
    time::Duration,
};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    endpoint::Endpoint,
    reachability::{ConnectFailure, Reachability, Route, ServiceChange},
};

/// Time in which an accepted connection must not be reset for a probe to succeed.
const PROBE_HOLD_MS: u64 = 100;
/// Age up to which the loss of a connection shows that its path is interrupted. An endpoint takes
/// longer to run a request and lose the answer.
const RESET_WITHIN_MS: u64 = 50;
/// Other endpoints that are tried to find out whether this daemon reaches any.
const MAX_OTHERS: usize = 2;

/// Which ways a connection may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ways {
    /// A detour where there is no direct path.
    Any,
    /// No detour.
    Direct,
}

/// Returns an idle connection to an endpoint, or opens one.
///
/// # Errors
///
/// Fails if no connection can be opened. The error is [`ErrorKind::ConnectionRefused`] only if the
/// endpoint has terminated.
pub(crate) async fn connection(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
) -> io::Result<Connection> {
    let incarnation = endpoint.incarnation();
    let (is_blocked, failure) = daemon.shared_view.with(|local_view| {
        let reachability = &local_view.reachability;
        (reachability.is_blocked(&incarnation), reachability.failure(&incarnation))
    });
    let may_use = |is_detour: bool| match (is_blocked, failure) {
        (false, _) => !is_detour,
        // Open connections go on behind a partition that only refuses new ones.
        (true, Some(ConnectFailure::Refused)) => true,
        (true, _) => is_detour,
    };
    if let Some(connection) = daemon.pool.take(&incarnation, may_use) {
        return Ok(connection);
    }
    let opened = open(daemon, endpoint).await?;
    daemon.pool.connection_over(opened).await
}

/// Returns a client for calls to an endpoint.
pub(crate) fn call_client(daemon: &Arc<Daemon>, endpoint: &Endpoint, ways: Ways) -> CallClient {
    let (daemon, address, endpoint) =
        (Arc::clone(daemon), endpoint.address, Arc::new(endpoint.clone()));
    let connect = move || {
        let (daemon, endpoint) = (Arc::clone(&daemon), Arc::clone(&endpoint));
        async move {
            match ways {
                Ways::Any => open(&daemon, &endpoint).await.map(|opened| opened.stream),
                Ways::Direct => open_or_classify(&daemon, &endpoint).await,
            }
        }
    };
    CallClient::of_endpoint(address, Connector::new(connect))
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// Fails if neither the endpoint nor a helper can be reached in time, or if the endpoint refuses
/// connections. The error is [`ErrorKind::ConnectionRefused`] only if the endpoint has terminated,
/// and not if this daemon is cut off from it.
pub(crate) async fn open(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> io::Result<OpenStream> {
    let now_ms = daemon.shared_view.now_ms();
    let route =
        daemon.shared_view.with(|local_view| local_view.reachability.route(endpoint, now_ms));
    let (error, no_detour) = match route {
        Route::DirectFirst { detour_after_ms } => {
            match race(daemon, endpoint, detour_after_ms).await {
                Ok(opened) => return Ok(opened),
                Err(errors) => errors,
            }
        }
        Route::Detour { with_probe } => {
            if with_probe {
                smol::spawn(probe(Arc::clone(daemon), endpoint.clone())).detach();
            }
            let no_detour = match client::open(daemon, endpoint).await {
                Ok(detour) => return Ok(detour.into()),
                Err(no_detour) => no_detour,
            };
            match open_direct(daemon, endpoint, CONNECT_TIMEOUT_MS).await {
                Ok(stream) => return Ok(stream.into()),
                Err(error) => (error, no_detour),
            }
        }
        Route::Direct => match open_direct(daemon, endpoint, CONNECT_TIMEOUT_MS).await {
            Ok(stream) => return Ok(stream.into()),
            Err(error) => (error, NoDetour::NoHelper),
        },
    };
    if no_detour != NoDetour::NoHelper {
        record_no_detour(daemon, endpoint);
    }
    let has_terminated = is_refused(&error)
        && (no_detour == NoDetour::Refused || reaches_another(daemon, endpoint).await);
    match has_terminated || !is_refused(&error) {
        true => Err(error),
        false => {
            let text = "the connection was refused, and so are those to other endpoints";
            Err(io::Error::new(ErrorKind::HostUnreachable, text))
        }
    }
}

/// Opens a connection directly, and by a detour if that fails or takes longer than a time. The first
/// that is open is returned.
async fn race(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    detour_after_ms: u64,
) -> Result<OpenStream, (io::Error, NoDetour)> {
    // The outcome of a direct attempt is recorded even if the detour is open first.
    let mut direct: Task<io::Result<TcpStream>> = {
        let (daemon, endpoint) = (Arc::clone(daemon), endpoint.clone());
        smol::spawn(async move { open_direct(&daemon, &endpoint, CONNECT_TIMEOUT_MS).await })
    };
    let hedge_due = async {
        Timer::after(Duration::from_millis(detour_after_ms)).await;
        None
    };
    let early_error = match async { Some((&mut direct).await) }.or(hedge_due).await {
        Some(Ok(stream)) => return Ok(stream.into()),
        Some(Err(error)) => Some(error),
        None => None,
    };
    let detour = client::open(daemon, endpoint);
    if let Some(error) = early_error {
        let detour = detour.await.map_err(|no_detour| (error, no_detour))?;
        record_detour(daemon, endpoint);
        return Ok(detour.into());
    }
    pin!(detour);
    let first = async { Err((&mut direct).await) }.or(async { Ok(detour.as_mut().await) }).await;
    match first {
        Err(Ok(stream)) => Ok(stream.into()),
        Err(Err(error)) => {
            let detour = detour.await.map_err(|no_detour| (error, no_detour))?;
            record_detour(daemon, endpoint);
            Ok(detour.into())
        }
        Ok(Ok(detour)) => {
            record_detour(daemon, endpoint);
            direct.detach();
            Ok(detour.into())
        }
        Ok(Err(no_detour)) => match direct.await {
            Ok(stream) => Ok(stream.into()),
            Err(error) => Err((error, no_detour)),
        },
    }
}

/// Opens a direct connection to an endpoint, and records the outcome.
///
/// # Errors
///
/// Fails if the connection is refused, or not established in time.
pub(crate) async fn open_direct(
    daemon: &Daemon,
    endpoint: &Endpoint,
    timeout_ms: u64,
) -> io::Result<TcpStream> {
    let source = daemon.settings.source_address;
    let opened = connect::open_from(source, endpoint.address, timeout_ms).await;
    let outcome =
        opened.as_ref().map_or_else(|error| Outcome::Failed(failure(error)), |_| Outcome::Accepted);
    record(daemon, endpoint, outcome);
    opened
}

/// Opens a direct connection to an endpoint. If that fails, finds out whether other daemons reach
/// the endpoint, for decisions on who gives orders to it.
async fn open_or_classify(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> io::Result<TcpStream> {
    let opened = open_direct(daemon, endpoint, CONNECT_TIMEOUT_MS).await;
    let now_ms = daemon.shared_view.now_ms();
    let route =
        daemon.shared_view.with(|local_view| local_view.reachability.route(endpoint, now_ms));
    if opened.is_err() && matches!(route, Route::DirectFirst { .. }) {
        let (daemon, endpoint) = (Arc::clone(daemon), endpoint.clone());
        let classify = async move {
            match client::open(&daemon, &endpoint).await {
                Ok(_) => record_detour(&daemon, &endpoint),
                Err(NoDetour::NoHelper) => {}
                Err(_) => record_no_detour(&daemon, &endpoint),
            }
        };
        smol::spawn(classify).detach();
    }
    opened
}

/// Finds out whether the direct path to an endpoint works again.
async fn probe(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let source = daemon.settings.source_address;
    let outcome = match connect::open_from(source, endpoint.address, CONNECT_TIMEOUT_MS).await {
        Ok(stream) => match has_ended(stream).await {
            true => Outcome::Reset,
            false => Outcome::Held,
        },
        Err(error) => Outcome::Failed(failure(&error)),
    };
    record(&daemon, &endpoint, outcome);
}

/// Returns whether a connection on which nothing was sent ends within a short time.
async fn has_ended(mut stream: TcpStream) -> bool {
    let readable = async {
        // Endpoints send nothing before a request, so this is the end or an error.
        let _ = stream.read(&mut [0]).await;
        true
    };
    let held = async {
        Timer::after(Duration::from_millis(PROBE_HOLD_MS)).await;
        false
    };
    readable.or(held).await
}

/// Returns whether this daemon reaches another endpoint of the same service now, or whether there is
/// no other. A daemon that reaches none has probably lost its own links.
pub(crate) async fn reaches_another(daemon: &Daemon, endpoint: &Endpoint) -> bool {
    let mut others: Vec<Endpoint> = daemon.shared_view.with(|local_view| {
        let usable = local_view.directory.usable(&endpoint.service);
        usable.filter(|other| other.name != endpoint.name).cloned().collect()
    });
    if others.is_empty() {
        return true;
    }
    fastrand::shuffle(&mut others);
    for other in others.iter().take(MAX_OTHERS) {
        if open_direct(daemon, other, CONNECT_TIMEOUT_MS).await.is_ok() {
            return true;
        }
    }
    false
}

/// Returns the services of which this daemon fails to reach most endpoints directly.
pub(crate) fn unreached_services(daemon: &Daemon) -> BTreeSet<ServiceName> {
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| {
        local_view.reachability.unreached_services(local_view.directory.iter(), now_ms)
    })
}

/// Records that an endpoint answered over a connection.
pub(crate) fn record_answer(daemon: &Daemon, endpoint: &Endpoint, connection: &Connection) {
    if connection.helper().is_none() {
        let now_ms = daemon.shared_view.now_ms();
        daemon.shared_view.with(|local_view| local_view.reachability.answered(endpoint, now_ms));
    }
}

/// Records that a new connection to an endpoint was lost before an answer.
pub(crate) fn record_lost(daemon: &Daemon, endpoint: &Endpoint, connection: &Connection) {
    let age_ms = daemon.shared_view.now_ms().saturating_sub(connection.opened_ms());
    if !connection.is_fresh() || age_ms > RESET_WITHIN_MS {
        return;
    }
    match connection.helper() {
        None => record(daemon, endpoint, Outcome::Reset),
        Some(_) => record_no_detour(daemon, endpoint),
    }
}

/// Returns whether an error is a refused connection.
pub(crate) fn is_refused(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}

/// The outcome of a direct connection attempt.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    /// The connection was accepted.
    Accepted,
    /// The connection was accepted and not reset for some time.
    Held,
    /// The connection was accepted and reset at once.
    Reset,
    /// The connection was not accepted.
    Failed(ConnectFailure),
}

/// Records the outcome of a direct connection attempt.
fn record(daemon: &Daemon, endpoint: &Endpoint, outcome: Outcome) {
    let now_ms = daemon.shared_view.now_ms();
    let change = update(daemon, endpoint, |reachability| match outcome {
        Outcome::Accepted => reachability.connected(endpoint, false, now_ms),
        Outcome::Held => reachability.connected(endpoint, true, now_ms),
        Outcome::Reset => reachability.reset(endpoint, now_ms),
        Outcome::Failed(failure) => reachability.failed(endpoint, failure, now_ms),
    });
    let service = &endpoint.service;
    match change {
        Some(ServiceChange::Lost { endpoints }) => {
            tracing::warn!(%service, endpoints, ?outcome, "endpoint: No endpoint of the service accepts connections from here.");
        }
        Some(ServiceChange::Regained { after_ms }) => {
            tracing::info!(%service, after_ms, "endpoint: An endpoint of the service accepts connections from here again.");
        }
        None => return,
    }
    // Leaders must know soon who can help and who cannot.
    daemon.helpers_needed.notify(usize::MAX);
}

/// Records that another daemon reaches an endpoint.
fn record_detour(daemon: &Daemon, endpoint: &Endpoint) {
    let now_ms = daemon.shared_view.now_ms();
    update(daemon, endpoint, |reachability| {
        reachability.detoured(&endpoint.incarnation(), now_ms);
    });
}

/// Records that another daemon does not reach an endpoint either.
fn record_no_detour(daemon: &Daemon, endpoint: &Endpoint) {
    let now_ms = daemon.shared_view.now_ms();
    update(daemon, endpoint, |reachability| {
        reachability.detour_failed(&endpoint.incarnation(), now_ms);
    });
}

/// Changes what is known of the path to an endpoint, and logs when it becomes blocked or free.
fn update<R>(
    daemon: &Daemon,
    endpoint: &Endpoint,
    change: impl FnOnce(&mut Reachability) -> R,
) -> R {
    let incarnation = endpoint.incarnation();
    let (was_blocked, result, is_blocked) = daemon.shared_view.with(|local_view| {
        let was_blocked = local_view.reachability.is_blocked(&incarnation);
        let result = change(&mut local_view.reachability);
        (was_blocked, result, local_view.reachability.is_blocked(&incarnation))
    });
    match (was_blocked, is_blocked) {
        (false, true) => {
            tracing::info!(endpoint = %endpoint.name, "endpoint: Others reach it and this daemon does not; connections take a detour.");
        }
        (true, false) => {
            tracing::info!(endpoint = %endpoint.name, "endpoint: Connections go to it directly again.");
        }
        _ => {}
    }
    result
}

fn failure(error: &io::Error) -> ConnectFailure {
    match is_refused(error) {
        true => ConnectFailure::Refused,
        false => ConnectFailure::Silent,
    }
}

impl From<TcpStream> for OpenStream {
    fn from(stream: TcpStream) -> Self {
        Self { stream, helper: None }
    }
}

impl From<Detour> for OpenStream {
    fn from(detour: Detour) -> Self {
        Self { stream: detour.stream, helper: Some(detour.helper) }
    }
}
