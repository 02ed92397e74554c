//! The connection to a leader.

use crate::net::{bounded_stream::BoundedStream, connect};
use async_compat::{Compat, CompatExt};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::LengthDelimitedCodec;
use trestle_wire::replicas::{ReplicasClient, WireSyncRequest, WireSyncResponse};

/// Time limit for opening a connection.
const CONNECT_MS: u64 = 300;
/// Time limit for an answer. A leader answers at once, but a slowed VM takes several times as long.
const ANSWER_MS: u64 = 600;

/// The sync request was not answered.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{address} cannot be reached: {source}"))]
    Connect { address: SocketAddr, source: io::Error },
    #[snafu(display("{address} did not answer: {source}"))]
    Rpc { address: SocketAddr, source: RpcError },
}

/// The connection to a leader.
#[derive(Debug, Default)]
pub(crate) struct LeaderClient {
    open: Option<(SocketAddr, ReplicasClient)>,
}

impl LeaderClient {
    /// Sends a sync request to the leader at an address.
    ///
    /// # Errors
    ///
    /// Fails if the leader cannot be reached or does not answer in time.
    pub(crate) async fn sync(
        &mut self,
        address: SocketAddr,
        request: WireSyncRequest,
    ) -> Result<WireSyncResponse, Error> {
        let client = match &self.open {
            Some((open_to, client)) if *open_to == address => client.clone(),
            _ => connect(address).await.context(ConnectSnafu { address })?,
        };
        self.open = Some((address, client.clone()));
        let answer = client.sync(context_for(ANSWER_MS), request).await;
        if answer.is_err() {
            self.open = None;
        }
        answer.context(RpcSnafu { address })
    }
}

/// Returns the context of a call that must be answered within a time.
pub(crate) fn context_for(answer_ms: u64) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(answer_ms);
    context
}

/// Opens a connection to another daemon.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<ReplicasClient> {
    let stream = BoundedStream::pausing(connect::open(address, CONNECT_MS).await?);
    let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
    let transport = serde_transport::new(framed, Bincode::default());
    let client::NewClient { client, dispatch } =
        ReplicasClient::new(client::Config::default(), transport);
    let dispatch = async {
        // An error here fails all pending calls, and each of them reports it.
        let _ = dispatch.await;
    };
    smol::spawn(Compat::new(dispatch)).detach();
    Ok(client)
}
