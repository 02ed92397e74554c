//! Tells the leader what callers ask for, and learns where models are.

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
    peer::client::LeaderClient,
    store::{config, endpoints},
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{beliefs::Beliefs, demand::DemandDigest, pace::Pace, replicas::ReplicaView};
use trestle_wire::{
    relay::{WireHave, WireRelay},
    replicas::{WireDigest, WireSynced},
};

/// Time for which what the leader said is believed after it fell silent. The list
/// of endpoints has caught up by then.
const BELIEVED_MS: u64 = 3_000;

/// Tells and learns until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut client = LeaderClient::default();
    let mut told_token = None;
    let mut heard_ms = 0;
    let mut is_heard = false;
    loop {
        let urgent = daemon.knowledge.wished();
        let synced = step(&daemon, &mut client, &mut told_token).await;
        let now_ms = daemon.knowledge.now_ms();
        if synced != is_heard {
            is_heard = synced;
            daemon.knowledge.change(|beliefs| beliefs.note_leader(is_heard, now_ms));
            tracing::info!(heard = is_heard, "sync: The leader was found or lost.");
        }
        if synced {
            heard_ms = now_ms;
        } else if now_ms > heard_ms + BELIEVED_MS {
            daemon.knowledge.with(|beliefs| beliefs.replicas.clear());
        }
        let pace = pace(&daemon);
        let least_ms = pace.least_ms();
        Timer::after(Duration::from_millis(least_ms)).await;
        let next_ms = match synced {
            true if is_waiting(&daemon) => pace.waiting_ms(),
            true => pace.calm_ms(),
            // The leader may only have been slow, and what it has to say is due.
            false => pace.waiting_ms(),
        };
        let pause = async {
            Timer::after(Duration::from_millis(next_ms.saturating_sub(least_ms))).await;
        };
        urgent.or(pause).await;
    }
}

fn pace(daemon: &Daemon) -> Pace {
    let daemons = daemon.knowledge.with(|beliefs| beliefs.daemons);
    Pace::of(daemons, daemon.freshness.shortest_bound_ms())
}

fn is_waiting(daemon: &Daemon) -> bool {
    let waits =
        |beliefs: &mut Beliefs| beliefs.asked.values().any(|asked| !asked.waiting.is_empty());
    daemon.knowledge.with(waits)
}

/// Tells once; returns whether the leader answered. `told_token` is the fencing number of
/// the leader that has heard what this daemon remembers.
async fn step(
    daemon: &Arc<Daemon>,
    client: &mut LeaderClient,
    told_token: &mut Option<u64>,
) -> bool {
    let answer = match leader(daemon).await {
        Leader::Here { token } => {
            tell_here(daemon, digests(daemon, *told_token != Some(token))).await
        }
        Leader::At { address, token } => {
            let digests = digests(daemon, *told_token != Some(token));
            let wire = digests.into_iter().map(|(service, told)| WireDigest::new(&service, told));
            match client.sync(address, &daemon.settings.vm, wire.collect(), have(daemon)).await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    tracing::debug!(%error, "sync: The leader does not answer.");
                    None
                }
            }
        }
        Leader::Nobody => None,
    };
    let Some(answer) = answer else {
        daemon.tell(Message::LeaderSilent);
        return false;
    };
    if let Some((lease, version)) = answer.lease {
        if answer.is_leader {
            *told_token = Some(lease.token);
        }
        daemon.tell(Message::LeaseSeen { row: Some(lease.into()), version });
    }
    if let Some(resigned) = answer.resigned {
        let (resignation, engines) = resigned.into();
        daemon.tell(Message::Resigned { resignation, engines });
    }
    if !answer.is_leader {
        daemon.tell(Message::LeaderSilent);
        return false;
    }
    let views = answer.views.into_iter().map(|(service, view)| (service.into(), view.into()));
    learn(daemon, views.collect(), &answer.planned);
    if let Some(relay) = answer.relay {
        take_relay(daemon, relay);
    }
    true
}

/// What this daemon already has of the store.
fn have(daemon: &Daemon) -> WireHave {
    daemon.knowledge.with(|beliefs| WireHave {
        endpoints: beliefs.mirror.version(),
        config: beliefs.catalog.as_ref().map_or(0, |catalog| catalog.version),
    })
}

/// Takes what the leader passes on of the store. News are taken whatever their age;
/// whether the store must be followed here depends on it.
fn take_relay(daemon: &Daemon, relay: WireRelay) {
    if let Some(text) = relay.config {
        config::take_text(daemon, &text);
    }
    let next_ms = pace(daemon).calm_ms();
    let is_fresh = daemon.freshness.relayed(relay.age_ms, next_ms, daemon.knowledge.now_ms());
    if is_fresh {
        endpoints::take(daemon, relay.endpoints.into());
    }
}

fn learn(daemon: &Daemon, views: Vec<(ServiceName, ReplicaView)>, planned: &BTreeMap<String, u64>) {
    let now_ms = daemon.knowledge.now_ms();
    let is_news = daemon.knowledge.with(|beliefs| {
        let mut is_news = false;
        for (service, view) in views {
            let planned = planned.get(service.as_str()).copied().unwrap_or_default();
            is_news |= beliefs.learn(service, view, planned, now_ms);
        }
        is_news
    });
    if is_news {
        daemon.knowledge.say_changed();
    }
}

fn digests(daemon: &Daemon, is_first: bool) -> Vec<(ServiceName, DemandDigest)> {
    let now_ms = daemon.knowledge.now_ms();
    let Some(catalog) = daemon.knowledge.catalog() else { return Vec::new() };
    let engines = catalog.services.iter().filter(|(_, service)| service.engine.is_some());
    daemon.knowledge.with(|beliefs| {
        let mut digest = |name| beliefs.asked_of(name).digest(is_first, now_ms);
        engines.map(|(name, _)| (name.clone(), digest(name))).collect()
    })
}

async fn leader(daemon: &Daemon) -> Leader {
    let (reply, answer) = async_channel::bounded(1);
    daemon.tell(Message::Leader(reply));
    answer.recv().await.unwrap_or(Leader::Nobody)
}

async fn tell_here(
    daemon: &Daemon,
    digests: Vec<(ServiceName, DemandDigest)>,
) -> Option<WireSynced> {
    let (reply, answer) = async_channel::bounded(1);
    let vm = daemon.settings.vm.as_str().into();
    daemon.tell(Message::Sync { vm, digests, reply });
    answer.recv().await.ok()
}
