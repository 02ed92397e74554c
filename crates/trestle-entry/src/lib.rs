//! The daemon between callers and endpoints, which uses an external store: traffic and control
//! around the decisions of [`trestle_dispatch`].
//!
//! All daemons are alike. Each follows the operators' configuration and the list of live endpoints
//! in the store, and serves callers by its local view. For each group of engines one daemon at a
//! time, by a lease in the store, gives orders to the engines.
//!
//! - [`traffic`] handles requests. It reads [`shared_view`] and changes only the records in it.
//! - [`store`] follows the store, [`peer`] the leader; both change [`shared_view`].
//! - [`control`] is one thread that holds the leases and plans changes at engines.
//! - [`wire`] defines the formats of the store, endpoints and callers.
//!
//! Modules import in one direction: from traffic, store, peer and control to `daemon`,
//! `shared_view`, `connection_loss` and `net`, and from there to the decisions.

mod allocation;
mod answer_bounds;
mod cleanup;
mod clock;
mod connection_loss;
mod control;
mod crashes;
mod daemon;
mod departures;
mod detour;
mod held_bytes;
pub mod logs;
mod metrics;
mod net;
mod paths;
mod peer;
mod schedule;
mod send_permits;
mod settings_watch;
mod shared_view;
mod signals;
mod slots;
mod stop;
mod stopping;
mod store;
mod streams;
mod traffic;
mod trial;
mod trial_leader;
mod trial_waits;
pub mod wire;

use crate::{
    daemon::Daemon,
    logs::Logs,
    metrics::{ExternalCounts, Metrics},
    settings_watch::SettingsWatch,
    traffic::{
        answer::{self, Body},
        serve::{self, ConnectionLimits, ListenerShutdown},
    },
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smol::net::TcpListener;
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
};
use trestle_config::entry_settings::EntrySettings;
use trestle_dispatch::policy::{Mechanism, Policy, UnknownMechanism};

/// Limits of connections from the balancer and metrics readers, and from callers before there is a
/// configuration.
const DEFAULT_LIMITS: ConnectionLimits =
    ConnectionLimits { header_bytes: 16 << 10, idle_ms: 30_000 };

/// An error that prevents the daemon from starting or running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log filter cannot be parsed.
    #[snafu(display("{source}"))]
    Filter {
        /// The cause.
        source: logs::FilterError,
    },
    /// The settings disable a mechanism that does not exist.
    #[snafu(display("settings: without: {source}"))]
    Mechanism {
        /// The cause.
        source: UnknownMechanism,
    },
    /// Metrics cannot be set up.
    #[snafu(display("metrics cannot be set up: {source}"))]
    Metrics {
        /// The cause.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The daemon cannot listen at an address.
    #[snafu(display("cannot listen at address {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operating system provides no thread or no signals.
    #[snafu(display("the operating system provides no {what}: {source}"))]
    System {
        /// The missing resource.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
///
/// Fails if the daemon cannot start, or cannot receive signals.
pub fn run(settings: EntrySettings, settings_path: PathBuf, wire: wire::Wire) -> Result<(), Error> {
    let logs = Arc::new(Logs::start(&settings.log).context(FilterSnafu)?);
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let policy = policy(&settings)?;
    let (control, messages) = async_channel::unbounded();
    let daemon = Arc::new(Daemon::new(settings, wire, metrics, control, policy));
    control::start(Arc::clone(&daemon), messages).context(SystemSnafu { what: "thread" })?;
    smol::block_on(serve_all(daemon, logs, settings_path))
}

/// Returns the policy with the mechanisms that the settings leave enabled.
fn policy(settings: &EntrySettings) -> Result<Policy, Error> {
    let without = settings.without.iter().map(|name| name.parse());
    let without: Vec<Mechanism> = without.collect::<Result<_, _>>().context(MechanismSnafu)?;
    if !without.is_empty() {
        tracing::warn!(without = ?without, "daemon: Some mechanisms are disabled.");
    }
    Ok(Policy::without(without))
}

async fn serve_all(
    daemon: Arc<Daemon>,
    logs: Arc<Logs>,
    settings_path: PathBuf,
) -> Result<(), Error> {
    let settings = &daemon.settings;
    let peers = listen(daemon.peers_address()).await?;
    let readiness = listen(settings.readiness_address).await?;
    let metrics = listen(SocketAddr::new(settings.address, settings.metrics_port)).await?;
    let callers = listen(settings.callers_address).await?;
    tracing::info!(
        vm = settings.vm, domain = settings.domain, callers = %settings.callers_address,
        store = %settings.store_address, "daemon: Started."
    );
    smol::spawn(store::config::run(Arc::clone(&daemon))).detach();
    smol::spawn(store::endpoints::run(Arc::clone(&daemon))).detach();
    smol::spawn(peer::server::run(Arc::clone(&daemon), peers)).detach();
    smol::spawn(peer::sync::run(Arc::clone(&daemon))).detach();
    smol::spawn(peer::leaders::run(Arc::clone(&daemon))).detach();
    smol::spawn(slots::run(Arc::clone(&daemon))).detach();
    smol::spawn(detour::reports::run(Arc::clone(&daemon))).detach();
    smol::spawn(streams::versions::run(Arc::clone(&daemon))).detach();
    smol::spawn(streams::keepers::run(Arc::clone(&daemon))).detach();
    smol::spawn(streams::keepers::tell(Arc::clone(&daemon))).detach();
    smol::spawn(cleanup::run(Arc::clone(&daemon))).detach();
    serve_readiness(&daemon, readiness);
    serve_metrics(&daemon, logs, metrics);
    let shutdown = serve_callers(&daemon, callers);
    let watch = Arc::new(SettingsWatch::new(settings_path));
    smol::spawn(Arc::clone(&watch).run(Arc::clone(&daemon))).detach();
    let reread = || watch.reread(&daemon);
    stop::wait(&daemon, &shutdown, reread).await.context(SystemSnafu { what: "signals" })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn serve_callers(daemon: &Arc<Daemon>, listener: TcpListener) -> Arc<ListenerShutdown> {
    let shutdown = Arc::new(ListenerShutdown::default());
    let limits = {
        let daemon = Arc::clone(daemon);
        move || match daemon.shared_view.catalog() {
            Some(catalog) => ConnectionLimits {
                header_bytes: catalog.limits.header_bytes,
                idle_ms: catalog.limits.idle_ms + catalog.limits.header_ms,
            },
            None => DEFAULT_LIMITS,
        }
    };
    let daemon = Arc::clone(daemon);
    let handle = move |request| traffic::handle::handle(Arc::clone(&daemon), request);
    smol::spawn(serve::run(listener, Arc::clone(&shutdown), limits, handle)).detach();
    shutdown
}

fn serve_readiness(daemon: &Arc<Daemon>, listener: TcpListener) {
    let daemon = Arc::clone(daemon);
    let handle = move |request: Request<Incoming>| {
        let is_known = request.uri().path() == daemon.wire.readiness_path;
        let status = match daemon.is_ready() {
            _ if !is_known => StatusCode::NOT_FOUND,
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { plain_answer(status, Bytes::new()) }
    };
    smol::spawn(serve::run(listener, Arc::default(), || DEFAULT_LIMITS, handle)).detach();
}

fn serve_metrics(daemon: &Arc<Daemon>, logs: Arc<Logs>, listener: TcpListener) {
    let daemon = Arc::clone(daemon);
    let handle = move |_: Request<Incoming>| {
        let text = daemon.metrics.to_text(external_counts(&daemon, &logs));
        async move { plain_answer(StatusCode::OK, Bytes::from(text)) }
    };
    smol::spawn(serve::run(listener, Arc::default(), || DEFAULT_LIMITS, handle)).detach();
}

/// Returns the metric values that are counted elsewhere.
fn external_counts(daemon: &Daemon, logs: &Logs) -> ExternalCounts {
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| ExternalCounts {
        store_calls: daemon.store.call_count(),
        store_era: daemon.store.era(),
        log_drops: logs.dropped(),
        limited: local_view.backpressure.limited(),
        backing_off: local_view.backpressure.backing_off(now_ms),
        draining: local_view.directory.iter().filter(|endpoint| endpoint.is_draining).count(),
        unreached: local_view.reachability.unreached(),
        open_detours: daemon.open_detours.load(Ordering::Relaxed),
        held_bytes: daemon.held_bytes.count(),
        retries: local_view.retry_budgets.usages(now_ms),
        daemons: local_view.retry_budgets.daemons,
    })
}

fn plain_answer(status: StatusCode, content: Bytes) -> Response<Body> {
    let mut response = Response::new(answer::full_body(content));
    *response.status_mut() = status;
    response
}
