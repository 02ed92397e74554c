//! Sync requests from this daemon, while it leads, to other leaders.

use crate::{
    control::message::Message, crashes::CrashExchange, daemon::Daemon, peer::client::LeaderClient,
};
use futures_lite::{FutureExt, future};
use smol::{Task, Timer};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use trestle_core::names::DomainName;

/// Time between two checks of who leads.
const LOOK_MS: u64 = 200;
/// Time between two requests to a leader while nothing here waits for it. Reported loads of its
/// engines are at most that old, plus the pause of the daemon that reads them.
const CALM_MS: u64 = 150;
/// Shortest time between two requests to a leader.
const LEAST_MS: u64 = 40;

/// Exchanges sync requests with other leaders until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    // A leader that has acquired its lease again has lost what was reported to it, even at the
    // same address.
    let mut tasks: BTreeMap<(SocketAddr, u64), Task<()>> = BTreeMap::new();
    loop {
        let others = daemon.ask(Message::OtherLeaders).await.unwrap_or_default();
        tasks.retain(|(address, token), _| others.get(address).is_some_and(|of| of.1 == *token));
        for (address, (group, token)) in others {
            let daemon = Arc::clone(&daemon);
            let follow = || smol::spawn(follow(daemon, address, group));
            tasks.entry((address, token)).or_insert_with(follow);
        }
        Timer::after(Duration::from_millis(LOOK_MS)).await;
    }
}

async fn follow(daemon: Arc<Daemon>, address: SocketAddr, group: DomainName) {
    let mut client = LeaderClient::default();
    let mut exchange = CrashExchange::default();
    loop {
        // The next request covers everything marked until now.
        daemon.shared_view.must_hear(address);
        let ask = |reply| Message::AskOther { address, group: group.clone(), reply };
        let Some((mut asking, is_new)) = daemon.ask(ask).await else { return };
        exchange.ask(&daemon, &mut asking);
        let waits = asking.digests.iter().any(|digest| !digest.waiting.is_empty());
        let answered = async { Some(client.sync(address, asking).await) };
        let interrupted = async {
            // A request with new demand is answered soon, and the answer must not be lost.
            if is_new {
                future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(LEAST_MS)).await;
            urgent(&daemon, address).await;
            None
        };
        let Some(mut answer) = answered.or(interrupted).await else { continue };
        if let Err(error) = &answer {
            tracing::debug!(%error, "sync: Another leader did not answer.");
        }
        if let Some(synced) = answer.as_mut().ok().filter(|synced| synced.is_leader) {
            exchange.answered(&daemon, synced.refused.take());
        }
        let is_calm = answer.is_err() || !waits;
        daemon.tell(Message::OtherAnswered { address, answer: answer.ok() });
        Timer::after(Duration::from_millis(LEAST_MS)).await;
        if is_calm {
            let calm = async {
                Timer::after(Duration::from_millis(CALM_MS - LEAST_MS)).await;
            };
            urgent(&daemon, address).or(calm).await;
        }
    }
}

/// Waits until demand must be reported to a leader.
async fn urgent(daemon: &Daemon, address: SocketAddr) {
    loop {
        let forwarded = daemon.shared_view.forwarded();
        if daemon.shared_view.must_hear(address) {
            return;
        }
        forwarded.await;
    }
}
