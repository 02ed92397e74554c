//! Short questions to leaders, each answered at once, beside the one that [`super::sync`] keeps
//! open.

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

/// Time for an answer. One that comes later helps no caller of a short objective.
const ANSWER_MS: u64 = 250;
/// Leaders that a daemon asks in a row before it gives a question up.
const LEADERS_TRIED: usize = 2;
/// Connections that are kept: leaders of all groups, and some that were.
const MOST_OPEN: usize = 16;

/// Open connections to leaders.
#[derive(Debug, Default)]
pub(crate) struct LeaderCalls {
    open: Mutex<BTreeMap<SocketAddr, ReplicasClient>>,
}

impl LeaderCalls {
    /// Makes a call to an address; `None` if it is not answered in time. A connection over which
    /// one was not is not used again.
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

    /// The connection to an address, opened if there is none.
    async fn client(&self, address: SocketAddr) -> io::Result<ReplicasClient> {
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

    fn open(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ReplicasClient>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What this daemon's leader answers, or another one if that does not.
pub(crate) async fn first_answer<T, A>(daemon: &Daemon, ask: impl Fn(Leader) -> A) -> Option<T>
where
    A: Future<Output = Option<T>>,
{
    for attempt in 0..LEADERS_TRIED {
        let answer = ask(leader(daemon, attempt).await).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// The leader that this daemon asks, after so many that did not answer.
pub(crate) async fn leader(daemon: &Daemon, attempt: usize) -> Leader {
    let leader = daemon.ask(|reply| Message::Leader { attempt, reply }).await;
    leader.unwrap_or(Leader::Nobody)
}

/// The leader that decides for all daemons on what has this name, and since when, if another one
/// may have before.
pub(crate) async fn leader_for(daemon: &Daemon, name: String) -> (Leader, Option<u64>) {
    let leader = daemon.ask(|reply| Message::LeaderFor { name, reply }).await;
    leader.unwrap_or((Leader::Nobody, None))
}
