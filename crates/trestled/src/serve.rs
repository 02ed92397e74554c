//! HTTP servers with limits on connections and sizes.

use crate::error::{ListenSnafu, Result};
use smol::net::TcpListener;
use snafu::ResultExt;
use std::{future::Future, net::SocketAddr};
use trestle_config::settings::Limits;
use trillium::Conn;
use trillium_http::HttpConfig;
use trillium_smol::Stopper;

/// Starts a server and returns the stopper that ends it. Fails if the address cannot be used.
pub(crate) async fn start<F>(
    address: SocketAddr,
    limits: &Limits,
    handler: impl Fn(Conn) -> F + Send + Sync + 'static,
) -> Result<Stopper>
where
    F: Future<Output = Conn> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let stopper = Stopper::new();
    let http = HttpConfig::default()
        .with_head_max_len(limits.header_bytes)
        .with_received_body_max_len(limits.body_bytes as u64);
    let server = trillium_smol::config()
        .with_prebound_server(listener)
        .with_max_connections(Some(limits.connections))
        .with_stopper(stopper.clone())
        .with_http_config(http)
        .with_nodelay()
        .without_signals();
    smol::spawn(server.run_async(handler)).detach();
    Ok(stopper)
}
