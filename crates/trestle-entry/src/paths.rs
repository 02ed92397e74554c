//! Connections to endpoints. All of them are opened here.

use crate::{
    daemon::Daemon,
    net::{
        connect,
        exchange::{CallClient, Connector},
        pool::{CONNECT_TIMEOUT_MS, Connection},
    },
};
use smol::net::TcpStream;
use std::{
    io::{self, ErrorKind},
    sync::Arc,
};
use trestle_dispatch::{
    endpoint::Endpoint,
    reachability::{ConnectFailure, ServiceChange},
};

/// Returns an idle connection to an endpoint, or opens one.
///
/// # Errors
///
/// Fails if no connection can be opened.
pub(crate) async fn connection(daemon: &Daemon, endpoint: &Endpoint) -> io::Result<Connection> {
    if let Some(connection) = daemon.pool.take(&endpoint.incarnation()) {
        return Ok(connection);
    }
    daemon.pool.connection_over(open(daemon, endpoint).await?).await
}

/// Returns a client for calls to an endpoint.
pub(crate) fn call_client(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> CallClient {
    let (daemon, address, endpoint) =
        (Arc::clone(daemon), endpoint.address, Arc::new(endpoint.clone()));
    let connect = move || {
        let (daemon, endpoint) = (Arc::clone(&daemon), Arc::clone(&endpoint));
        async move { open(&daemon, &endpoint).await }
    };
    CallClient::with_connector(address, Connector::new(connect))
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// Fails if the connection is refused, or not established in time.
pub(crate) async fn open(daemon: &Daemon, endpoint: &Endpoint) -> io::Result<TcpStream> {
    let opened =
        connect::open_from(daemon.settings.source_address, endpoint.address, CONNECT_TIMEOUT_MS)
            .await;
    record(daemon, endpoint, opened.as_ref().err());
    opened
}

/// Records whether an endpoint accepted a connection.
fn record(daemon: &Daemon, endpoint: &Endpoint, error: Option<&io::Error>) {
    let now_ms = daemon.shared_view.now_ms();
    let failure = error.map(failure);
    let change = daemon.shared_view.with(|local_view| match failure {
        None => local_view.reachability.connected(endpoint, now_ms),
        Some(failure) => local_view.reachability.failed(endpoint, failure, now_ms),
    });
    let service = &endpoint.service;
    match change {
        Some(ServiceChange::Lost { endpoints }) => {
            let failure = failure.map(ConnectFailure::name);
            tracing::warn!(%service, endpoints, failure, "endpoint: No endpoint of the service accepts connections from here.");
        }
        Some(ServiceChange::Regained { after_ms }) => {
            tracing::info!(%service, after_ms, "endpoint: An endpoint of the service accepts connections from here again.");
        }
        None => {}
    }
}

fn failure(error: &io::Error) -> ConnectFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectFailure::Refused,
        _ => ConnectFailure::Silent,
    }
}
