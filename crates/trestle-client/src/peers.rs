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

/// Time for opening a connection to a peer.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time for which a peer that could not be connected to is not tried again.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Time for a question that a peer answers at once.
const QUESTION_TIMEOUT_MS: u64 = 300;
/// Time for a peer to send its configuration.
const CONFIG_TIMEOUT_MS: u64 = 5_000;
/// Time beyond its deadline that an ask may stay unanswered.
const ASK_GRACE_MS: u64 = 250;

/// Connections to other daemons, opened when they are first needed.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<BTreeMap<String, Connection>>,
}

/// What is known of the way to a peer.
#[derive(Debug, Clone)]
enum Connection {
    Open(PeerClient),
    /// A connection failed; none is tried again for a while.
    Failed {
        until: Instant,
    },
}

impl Peers {
    /// Asks the peer at an address for a permit.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer by the deadline.
    pub async fn request_permit(
        &self,
        address: &str,
        ask: WirePermitRequest,
    ) -> Result<WirePermitAnswer> {
        let context = context_for(ask.due_in_ms + ASK_GRACE_MS);
        let client = self.client(address).await?;
        self.settle(address, client.ask(context, ask).await)
    }

    /// Gives a permit back to the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached.
    pub async fn release(&self, address: &str, endpoint: &str, ticket: u64) -> Result<()> {
        let context = context_for(QUESTION_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.release(context, endpoint.to_owned(), ticket).await)
    }

    /// Asks the peer at an address whether it owns an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer.
    pub async fn owns(&self, address: &str, endpoint: &str) -> Result<bool> {
        let context = context_for(QUESTION_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.owns(context, endpoint.to_owned()).await)
    }

    /// Tells the peer at an address that the row of an endpoint has changed.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached.
    pub async fn row_changed(&self, address: &str, endpoint: &str) -> Result<()> {
        let context = context_for(QUESTION_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.row_changed(context, endpoint.to_owned()).await)
    }

    /// Asks the peer at an address for the members of its own failure domain.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer.
    pub async fn members(&self, address: &str) -> Result<Option<MembershipRow>> {
        let context = context_for(QUESTION_TIMEOUT_MS);
        let client = self.client(address).await?;
        let members = self.settle(address, client.members(context).await)?;
        Ok(members.map(MembershipRow::from))
    }

    /// Asks the peer at an address for a configuration newer than the version.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer.
    pub async fn config_after(&self, address: &str, version: u64) -> Result<Option<WireConfig>> {
        let context = context_for(CONFIG_TIMEOUT_MS);
        let client = self.client(address).await?;
        self.settle(address, client.config_after(context, version).await)
    }

    async fn client(&self, address: &str) -> Result<PeerClient> {
        let known = self.lock().get(address).cloned();
        match known {
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

    /// Drops a connection that did not yield an answer, so that the next call opens a new one.
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
        // An error here ends every pending call, and each of them reports it.
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
