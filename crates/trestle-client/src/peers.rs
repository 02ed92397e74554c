//! Connections to other daemons.

use crate::error::{ConnectSnafu, Inner, Result, RpcSnafu};
use async_compat::{Compat, CompatExt};
use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};
use snafu::ResultExt;
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio_util::codec::LengthDelimitedCodec;
use trestle_core::membership_row::MembershipRow;
use trestle_wire::peer::{PeerClient, WireConfig, WirePermitAnswer, WirePermitRequest};

/// Time limit for opening a connection to a peer.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time for which no new connection to a peer is tried after one could not be opened.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Time limit for a call that a peer answers at once.
const CALL_TIMEOUT_MS: u64 = 300;
/// Time limit for a peer to send its configuration.
const CONFIG_TIMEOUT_MS: u64 = 5_000;
/// Time after its deadline for which the answer to a permit request is still awaited.
const PERMIT_GRACE_MS: u64 = 250;

/// Connections to other daemons; each is opened when it is first needed.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<BTreeMap<String, Connection>>,
}

/// State of the connection to a peer.
#[derive(Debug, Clone)]
enum Connection {
    Open(PeerClient),
    /// The last attempt to connect failed; the next is made at `until` or later.
    Failed {
        until: Instant,
    },
}

impl Peers {
    /// Requests a permit from the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer by the deadline.
    pub async fn request_permit(
        &self,
        address: &str,
        request: WirePermitRequest,
    ) -> Result<WirePermitAnswer> {
        let context = context_for(request.due_in_ms + PERMIT_GRACE_MS);
        let client = self.client(address).await?;
        self.settle(address, client.ask(context, request).await)
    }

    /// Gives a permit back to the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer.
    pub async fn release(&self, address: &str, endpoint: &str, ticket: u64) -> Result<()> {
        let context = context_for(CALL_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.release(context, endpoint.to_owned(), ticket).await)
    }

    /// Asks the peer at an address whether it owns an endpoint, or will own it as soon as it can.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer.
    pub async fn owns(&self, address: &str, endpoint: &str) -> Result<bool> {
        let context = context_for(CALL_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.owns(context, endpoint.to_owned()).await)
    }

    /// Reports to the peer at an address that the row of an endpoint has changed.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer.
    pub async fn row_changed(&self, address: &str, endpoint: &str) -> Result<()> {
        let context = context_for(CALL_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.row_changed(context, endpoint.to_owned()).await)
    }

    /// Asks the peer at an address for the members of its own failure domain; returns `None` if the
    /// peer has not read them.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer.
    pub async fn members(&self, address: &str) -> Result<Option<MembershipRow>> {
        let context = context_for(CALL_TIMEOUT_MS);
        let client = self.client(address).await?;
        let members = self.settle(address, client.members(context).await)?;
        Ok(members.map(MembershipRow::from))
    }

    /// Asks the peer at an address for a configuration newer than the version; returns `None` if
    /// the peer has none.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer.
    pub async fn config_after(&self, address: &str, version: u64) -> Result<Option<WireConfig>> {
        let context = context_for(CONFIG_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.config_after(context, version).await)
    }

    async fn client(&self, address: &str) -> Result<PeerClient> {
        let existing = self.lock().get(address).cloned();
        match existing {
            Some(Connection::Open(client)) => return Ok(client),
            Some(Connection::Failed { until }) if Instant::now() < until => {
                let source = std::io::ErrorKind::NotConnected.into();
                return Err(Inner::Connect { address: address.to_owned(), source }.into());
            }
            _ => {}
        }
        let connected = connect(address).await;
        let connection = match &connected {
            Ok(client) => Connection::Open(client.clone()),
            Err(_) => Connection::Failed { until: Instant::now() + FAILED_PAUSE },
        };
        self.lock().insert(address.to_owned(), connection);
        connected
    }

    /// Returns the answer of a peer. If there is none, the connection is dropped, so that the next
    /// call opens a new one.
    fn settle<T>(
        &self,
        address: &str,
        answer: std::result::Result<T, client::RpcError>,
    ) -> Result<T> {
        if answer.is_err() {
            self.lock().remove(address);
        }
        Ok(answer.context(RpcSnafu { address })?)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Connection>> {
        self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(address: &str) -> Result<PeerClient> {
    let connecting = async { TcpStream::connect(address).await.context(ConnectSnafu { address }) };
    let timed_out = async {
        Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS)).await;
        let source = std::io::ErrorKind::TimedOut.into();
        Err(Inner::Connect { address: address.to_owned(), source })
    };
    let stream = connecting.or(timed_out).await?;
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
    let transport = serde_transport::new(framed, Bincode::default());
    let client::NewClient { client, dispatch } =
        PeerClient::new(client::Config::default(), transport);
    let dispatch = async {
        // An error here makes each pending call fail, and each of them returns an error.
        let _ = dispatch.await;
    };
    smol::spawn(Compat::new(dispatch)).detach();
    Ok(client)
}

fn context_for(timeout_ms: u64) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
