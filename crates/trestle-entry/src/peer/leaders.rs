//! Sync requests from this daemon, while it leads, to other leaders.

use crate::{
    control::message::Message, crashes::CrashReportExchange, daemon::Daemon,
    peer::client::LeaderClient,
};
use futures_lite::{FutureExt, future};
use smol::{Task, Timer};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use trestle_core::names::DomainName;

/// Time between two checks of who leads.
const CHECK_MS: u64 = 200;
/// Time between two requests to a leader while no demand here waits for that leader. Reports of the
/// load on its engines are at most that old, plus the pause between two requests of the daemon that
/// receives them.
const IDLE_GAP_MS: u64 = 150;
/// Shortest time between two requests to a leader.
const MIN_GAP_MS: u64 = 40;

/// Exchanges sync requests with other leaders until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    // A leader that has acquired its lease again has lost what was reported to it, even at the
    // same address.
    let mut tasks: BTreeMap<(SocketAddr, u64), Task<()>> = BTreeMap::new();
    loop {
        let others = daemon.query(Message::OtherLeaders).await.unwrap_or_default();
        tasks.retain(|(address, token), _| {
            others.get(address).is_some_and(|other| other.1 == *token)
        });
        for (address, (group, token)) in others {
            let daemon = Arc::clone(&daemon);
            let start = || smol::spawn(exchange_with(daemon, address, group));
            tasks.entry((address, token)).or_insert_with(start);
        }
        Timer::after(Duration::from_millis(CHECK_MS)).await;
    }
}

async fn exchange_with(daemon: Arc<Daemon>, address: SocketAddr, group: DomainName) {
    let mut client = LeaderClient::default();
    let mut exchange = CrashReportExchange::default();
    loop {
        // The next request covers everything marked until now.
        daemon.shared_view.must_notify(address);
        let message = |reply| Message::OtherLeaderRequest { address, group: group.clone(), reply };
        let Some((mut request, has_new_demand)) = daemon.query(message).await else { return };
        exchange.add_to(&daemon, &mut request);
        let has_demand = request.digests.iter().any(|report| !report.waiting.is_empty());
        let answered = async { Some(client.sync(address, request).await) };
        let interrupted = async {
            // A request with new demand is answered soon, and the answer must not be lost.
            if has_new_demand {
                future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(MIN_GAP_MS)).await;
            wait_until_notified(&daemon, address).await;
            None
        };
        let Some(mut answer) = answered.or(interrupted).await else { continue };
        if let Err(error) = &answer {
            tracing::debug!(%error, "sync: Another leader did not answer.");
        }
        // A daemon that leads no more still receives and passes on reports.
        if let Ok(synced) = &mut answer {
            exchange.record_answer(&daemon, synced.refused.take());
        }
        let is_idle = answer.is_err() || !has_demand;
        daemon.send(Message::OtherLeaderAnswered { address, answer: answer.ok() });
        Timer::after(Duration::from_millis(MIN_GAP_MS)).await;
        if is_idle {
            let idle = async {
                Timer::after(Duration::from_millis(IDLE_GAP_MS - MIN_GAP_MS)).await;
            };
            wait_until_notified(&daemon, address).or(idle).await;
        }
    }
}

/// Waits until demand must be reported to a leader.
async fn wait_until_notified(daemon: &Daemon, address: SocketAddr) {
    loop {
        let forwarded = daemon.shared_view.demand_forwarded();
        if daemon.shared_view.must_notify(address) {
            return;
        }
        forwarded.await;
    }
}
