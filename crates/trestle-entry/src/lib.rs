//! The daemon before an outside store: traffic and control around the decisions
//! of [`trestle_dispatch`].
//!
//! All daemons are alike. Each follows the operators' configuration and the list
//! of live endpoints in the store, and serves callers by what it knows. One of
//! them at a time, by a lease in the store, gives orders to engines.
//!
//! - [`traffic`] carries requests. It looks at [`knowledge`] and changes only the
//!   records in it.
//! - [`store`] follows the store, [`peer`] the leader; both change
//!   [`knowledge`].
//! - [`control`] is one thread that holds the lease and plans changes at engines.
//! - [`wire`] is what the daemon has to be told about its surroundings.
//!
//! Imports run from traffic, store, peer and control to `daemon`, `knowledge`, `broken`
//! and `net`, and from there to decisions.

mod broken;
mod clock;
mod control;
mod crashes;
mod daemon;
mod departures;
mod knowledge;
mod lending;
pub mod logs;
mod metrics;
mod net;
mod notices;
mod peer;
mod places;
mod settings_watch;
mod stop;
mod stopping;
mod store;
mod tidy;
mod traffic;
mod trial;
pub mod wire;

use crate::{
    daemon::Daemon,
    logs::Logs,
    metrics::{Counted, Metrics},
    settings_watch::SettingsWatch,
    traffic::{
        answer::{self, Body},
        serve::{self, Closing, Limits},
    },
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smol::net::TcpListener;
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, path::PathBuf, sync::Arc};
use trestle_config::entry_settings::EntrySettings;
use trestle_dispatch::policy::{Mechanism, Policy, UnknownMechanism};

/// Limits towards the balancer, readers of metrics, and callers before there is a
/// configuration.
const OWN_LIMITS: Limits = Limits { header_bytes: 16 << 10, idle_ms: 30_000 };

/// The daemon cannot start or go on.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log filter is not understood.
    #[snafu(display("{source}"))]
    Filter {
        /// Why.
        source: logs::FilterError,
    },
    /// The settings leave out a mechanism that does not exist.
    #[snafu(display("settings: without: {source}"))]
    Mechanism {
        /// Why.
        source: UnknownMechanism,
    },
    /// Metrics cannot be set up.
    #[snafu(display("metrics cannot be set up: {source}"))]
    Metrics {
        /// Why.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// An address cannot be listened at.
    #[snafu(display("address {address} cannot be used: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The system gives no thread or signals.
    #[snafu(display("the system gives no {what}: {source}"))]
    System {
        /// What it does not give.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails if it cannot start.
pub fn run(settings: EntrySettings, settings_path: PathBuf, wire: wire::Wire) -> Result<(), Error> {
    let logs = Arc::new(Logs::start(&settings.log).context(FilterSnafu)?);
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let policy = policy(&settings)?;
    let (control, messages) = async_channel::unbounded();
    let daemon = Arc::new(Daemon::new(settings, wire, metrics, control, policy));
    control::start(Arc::clone(&daemon), messages).context(SystemSnafu { what: "thread" })?;
    smol::block_on(serve_all(daemon, logs, settings_path))
}

/// What decides, by the settings.
fn policy(settings: &EntrySettings) -> Result<Policy, Error> {
    let without = settings.without.iter().map(|name| name.parse());
    let without: Vec<Mechanism> = without.collect::<Result<_, _>>().context(MechanismSnafu)?;
    if !without.is_empty() {
        tracing::warn!(without = ?without, "daemon: Mechanisms are left out.");
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
    smol::spawn(tidy::run(Arc::clone(&daemon))).detach();
    serve_readiness(&daemon, readiness);
    serve_metrics(&daemon, logs, metrics);
    let closing = serve_callers(&daemon, callers);
    let watch = Arc::new(SettingsWatch::new(settings_path));
    smol::spawn(Arc::clone(&watch).run(Arc::clone(&daemon))).detach();
    let reread = || watch.reread(&daemon);
    stop::wait(&daemon, &closing, reread).await.context(SystemSnafu { what: "signals" })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn serve_callers(daemon: &Arc<Daemon>, listener: TcpListener) -> Arc<Closing> {
    let closing = Arc::new(Closing::default());
    let limits = {
        let daemon = Arc::clone(daemon);
        move || match daemon.knowledge.catalog() {
            Some(catalog) => Limits {
                header_bytes: catalog.limits.header_bytes,
                idle_ms: catalog.limits.idle_ms + catalog.limits.header_ms,
            },
            None => OWN_LIMITS,
        }
    };
    let daemon = Arc::clone(daemon);
    let handle = move |request| traffic::handle::handle(Arc::clone(&daemon), request);
    smol::spawn(serve::run(listener, Arc::clone(&closing), limits, handle)).detach();
    closing
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
        async move { own_answer(status, Bytes::new()) }
    };
    smol::spawn(serve::run(listener, Arc::default(), || OWN_LIMITS, handle)).detach();
}

fn serve_metrics(daemon: &Arc<Daemon>, logs: Arc<Logs>, listener: TcpListener) {
    let daemon = Arc::clone(daemon);
    let handle = move |_: Request<Incoming>| {
        let text = daemon.metrics.to_text(counted(&daemon, &logs));
        async move { own_answer(StatusCode::OK, Bytes::from(text)) }
    };
    smol::spawn(serve::run(listener, Arc::default(), || OWN_LIMITS, handle)).detach();
}

/// What metrics tell that is counted elsewhere.
fn counted(daemon: &Daemon, logs: &Logs) -> Counted {
    let now_ms = daemon.knowledge.now_ms();
    daemon.knowledge.with(|local_view| Counted {
        store_calls: daemon.store.calls(),
        log_drops: logs.dropped(),
        limited: local_view.backpressure.limited(),
        resting: local_view.backpressure.backing_off(now_ms),
        leaving: local_view.directory.iter().filter(|endpoint| endpoint.is_draining).count(),
    })
}

fn own_answer(status: StatusCode, content: Bytes) -> Response<Body> {
    let mut response = Response::new(answer::whole(content));
    *response.status_mut() = status;
    response
}
