//! Short calls to leaders that are answered at once. The sync request, which a leader may hold
//! open, is in [`super::sync`].

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
    peer::client::{connect, context_for},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tarpc::{client::RpcError, context::Context};
use trestle_wire::replicas::ReplicasClient;

/// Time limit for an answer. A later one is of no use to callers with a short objective.
const ANSWER_MS: u64 = 250;
/// Number of leaders that are tried before a call is given up.
const MAX_LEADERS_TRIED: usize = 2;
/// Most open connections: to the leaders of all groups and some former leaders, or to daemons that
/// keep where streams began.
const MAX_OPEN: usize = 64;

/// Open connections to leaders.
#[derive(Debug, Default)]
pub(crate) struct LeaderCalls {
    open: Mutex<BTreeMap<SocketAddr, ReplicasClient>>,
}

impl LeaderCalls {
    /// Makes a call to an address. Returns `None` if it is not answered in time; a connection on
    /// which a call failed is not used again.
    pub(crate) async fn call<T, A>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(ReplicasClient, Context) -> A,
    ) -> Option<T>
    where
        A: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await.ok()?;
        let answer = call(client, context_for(ANSWER_MS)).await;
        if answer.is_err() {
            self.open().remove(&address);
        }
        answer.ok()
    }

    /// Returns the connection to an address, and opens it if there is none.
    async fn client(&self, address: SocketAddr) -> io::Result<ReplicasClient> {
        if let Some(client) = self.open().get(&address) {
            return Ok(client.clone());
        }
        let client = connect(address).await?;
        let mut open = self.open();
        if open.len() >= MAX_OPEN {
            open.clear();
        }
        open.insert(address, client.clone());
        Ok(client)
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ReplicasClient>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the answer of this daemon's leader, or of another leader if that one gives none.
pub(crate) async fn first_answer<T, A>(daemon: &Daemon, call: impl Fn(Leader) -> A) -> Option<T>
where
    A: Future<Output = Option<T>>,
{
    for attempt in 0..MAX_LEADERS_TRIED {
        let answer = call(leader(daemon, attempt).await).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Returns the leader that this daemon syncs with after `attempt` consecutive leaders did not
/// answer.
pub(crate) async fn leader(daemon: &Daemon, attempt: usize) -> Leader {
    let leader = daemon.query(|reply| Message::LeaderToQuery { attempt, reply }).await;
    leader.unwrap_or(Leader::Nobody)
}

/// Returns the leader that makes the decisions on a name for all daemons, and since when if
/// another leader may have made them before.
pub(crate) async fn decision_leader(daemon: &Daemon, name: String) -> (Leader, Option<u64>) {
    let leader = daemon.query(|reply| Message::DecisionLeader { name, reply }).await;
    leader.unwrap_or((Leader::Nobody, None))
}
