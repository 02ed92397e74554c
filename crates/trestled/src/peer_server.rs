//! The server for other daemons, which are the peers of this one.

use crate::{
    daemon::Daemon,
    error::{ListenSnafu, Result},
    message::Message,
    permit_client,
};
use async_compat::{Compat, CompatExt};
use futures_util::StreamExt;
use smol::net::{TcpListener, TcpStream};
use snafu::ResultExt;
use std::sync::Arc;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::LengthDelimitedCodec;
use trestle_core::{event::Event, permit::Ticket};
use trestle_wire::{
    peer::{Peer, WireConfig, WirePermitAnswer, WirePermitRequest},
    row::WireMembership,
};

/// Binds the listener for peers. Fails if the address cannot be used.
pub(crate) async fn listen(daemon: &Daemon) -> Result<TcpListener> {
    let address = daemon.peers_address();
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves peers until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(serve(Arc::clone(&daemon), stream)).detach(),
            Err(error) => tracing::warn!("peer: A connection could not be accepted: {error}."),
        }
    }
}

async fn serve(daemon: Arc<Daemon>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("peer: TCP_NODELAY could not be set on a connection: {error}.");
    }
    let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(PeerServer(daemon).serve());
    let each = requests.for_each(|answering| async {
        smol::spawn(Compat::new(answering)).detach();
    });
    Compat::new(each).await;
}

/// Answers the requests of peers.
#[derive(Clone)]
struct PeerServer(Arc<Daemon>);

impl Peer for PeerServer {
    async fn ask(self, _: Context, request: WirePermitRequest) -> WirePermitAnswer {
        permit_client::handle_request(self.0, request).await
    }

    async fn release(self, _: Context, endpoint: String, ticket: u64) {
        self.0.send_event(Event::Release(endpoint.into(), Ticket(ticket)));
    }

    async fn owns(self, _: Context, endpoint: String) -> bool {
        let (reply, answer) = async_channel::bounded(1);
        self.0.send(Message::OwnershipQuery(endpoint.into(), reply));
        answer.recv().await.unwrap_or(false)
    }

    async fn row_changed(self, _: Context, endpoint: String) {
        self.0.send_event(Event::RowChanged(endpoint.into()));
    }

    async fn members(self, _: Context) -> Option<WireMembership> {
        let routing = self.0.routing();
        routing.domains.get(self.0.settings.domain.as_str()).map(WireMembership::from)
    }

    async fn config_after(self, _: Context, version: u64) -> Option<WireConfig> {
        let routing = self.0.routing();
        let own_version = routing.config.catalog.version;
        let text = routing.config_text.to_string();
        (own_version > version).then_some(WireConfig { version: own_version, text })
    }
}
