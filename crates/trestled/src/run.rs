//! Starts the tasks and servers of the daemon.

use crate::{
    admin, clock, config_watch, daemon::Daemon, domains_watch, entry, error::Result, peer_server,
    serve, stop, vms_watch,
};
use std::sync::Arc;

/// Runs the daemon until it receives a stop signal. Fails if an address cannot be used or signals
/// cannot be received.
pub(crate) async fn run(daemon: Arc<Daemon>) -> Result<()> {
    let peers = peer_server::listen(&daemon).await?;
    smol::spawn(peer_server::run(Arc::clone(&daemon), peers)).detach();
    smol::spawn(config_watch::run(Arc::clone(&daemon))).detach();
    smol::spawn(domains_watch::run(Arc::clone(&daemon))).detach();
    smol::spawn(vms_watch::run(Arc::clone(&daemon))).detach();
    smol::spawn(clock::run(Arc::clone(&daemon))).detach();
    let callers = serve::start(daemon.settings.callers_address, &daemon.settings.limits, {
        let daemon = Arc::clone(&daemon);
        move |conn| entry::handle(Arc::clone(&daemon), conn)
    })
    .await?;
    serve::start(daemon.settings.admin_address, &daemon.settings.limits, {
        let daemon = Arc::clone(&daemon);
        move |conn| admin::handle(Arc::clone(&daemon), conn)
    })
    .await?;
    tracing::info!("daemon: Serving callers at {}.", daemon.settings.callers_address);
    stop::wait(&daemon, callers).await
}
