//! Short questions to leaders, each answered at once, beside the one that [`super::sync`] keeps
//! open.

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
    peer::client::connect,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tarpc::{client::RpcError, context::Context};
use trestle_wire::replicas::ReplicasClient;

/// Time for an answer. One that comes later helps no caller of a short objective.
const ANSWER_MS: u64 = 250;
/// Leaders that a daemon asks in a row before it gives a question up.
pub(crate) const LEADERS_TRIED: usize = 2;
/// Connections that are kept: leaders of all groups, and some that were.
const MOST_OPEN: usize = 16;

/// Open connections to leaders.
#[derive(Debug, Default)]
pub(crate) struct LeaderCalls {
    open: Mutex<BTreeMap<SocketAddr, ReplicasClient>>,
}

impl LeaderCalls {
    /// The connection to an address, opened if there is none.
    pub(crate) async fn client(&self, address: SocketAddr) -> io::Result<ReplicasClient> {
        if let Some(client) = self.open().get(&address) {
            return Ok(client.clone());
        }
        let client = connect(address).await?;
        let mut open = self.open();
        if open.len() >= MOST_OPEN {
            open.clear();
        }
        open.insert(address, client.clone());
        Ok(client)
    }

    /// Forgets the connection to an address if a call over it failed.
    pub(crate) fn checked<T>(
        &self,
        address: SocketAddr,
        answer: Result<T, RpcError>,
    ) -> Result<T, RpcError> {
        if answer.is_err() {
            self.open().remove(&address);
        }
        answer
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ReplicasClient>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The context of a call.
pub(crate) fn context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(ANSWER_MS);
    context
}

/// The leader that this daemon asks, after so many that did not answer.
pub(crate) async fn leader(daemon: &Daemon, attempt: usize) -> Leader {
    let (reply, answer) = async_channel::bounded(1);
    daemon.tell(Message::Leader { attempt, reply });
    answer.recv().await.unwrap_or(Leader::Nobody)
}

/// The leader that decides for all daemons on what has this name.
pub(crate) async fn leader_for(daemon: &Daemon, name: String) -> Leader {
    let (reply, answer) = async_channel::bounded(1);
    daemon.tell(Message::LeaderFor { name, reply });
    answer.recv().await.unwrap_or(Leader::Nobody)
}
