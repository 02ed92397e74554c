//! Tells the leader what callers ask for, and learns where models are.

use crate::{
    control::message::{Leader, Message},
    crashes::CrashExchange,
    daemon::Daemon,
    departures,
    peer::{calls, client::LeaderClient},
    store::{config, endpoints},
};
use futures_lite::{FutureExt, future};
use smol::Timer;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use trestle_core::names::{DomainName, ServiceName};
use trestle_dispatch::{
    local_demand::LocalDemand, local_view::LocalView, placement_log::PlacementMirror,
    sync_intervals::SyncIntervals,
};
use trestle_wire::{
    relay::{WireHave, WireRelay},
    replicas::{WireAsking, WireDigest, WireView},
};

/// Time for which what the leader said is believed after it fell silent. The list
/// of endpoints has caught up by then.
const BELIEVED_MS: u64 = 3_000;
/// Time after which a daemon that asks another group's leader tries its own again.
const TRY_OWN_MS: u64 = 2_000;

/// What passes between this daemon and the leader that it asks.
#[derive(Debug, Default)]
struct Talk {
    client: LeaderClient,
    /// The leader that has heard what this daemon remembers, by its fencing number.
    told: Option<(DomainName, u64)>,
    /// Leaders in a row that did not answer.
    attempt: usize,
    /// Since when another group's leader has been asked.
    away_since_ms: Option<u64>,
    /// What passes of requests under which endpoints ended, by group and its last leader's
    /// fencing number. One that leads no more goes on with that.
    crashes: BTreeMap<DomainName, (u64, CrashExchange)>,
    /// Copies of its logs, by service.
    placements: BTreeMap<ServiceName, PlacementMirror>,
}

/// Tells and learns until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut talk = Talk::default();
    let mut heard_ms = 0;
    let mut is_heard = false;
    loop {
        let urgent = daemon.knowledge.wished();
        // A question about wishes that the leader knows waits there until one has arrived. Let a
        // new one not wait behind it; but the answer about a new one must be heard.
        let has_new = has_unanswered(&daemon);
        let least_ms = pace(&daemon).min_ms();
        let step = async { Some(talk.step(&daemon).await) };
        let interrupted = async {
            if has_new {
                future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(least_ms)).await;
            urgent.await;
            None
        };
        let Some(synced) = step.or(interrupted).await else { continue };
        let urgent = daemon.knowledge.wished();
        let now_ms = daemon.knowledge.now_ms();
        talk.note_outcome(synced, now_ms);
        if synced != is_heard {
            is_heard = synced;
            daemon.knowledge.change(|local_view| local_view.record_leader(is_heard, now_ms));
            tracing::info!(heard = is_heard, "sync: The leader was found or lost.");
        }
        if synced {
            heard_ms = now_ms;
        } else if now_ms > heard_ms + BELIEVED_MS {
            let has_read_entries = !daemon.freshness.must_reread();
            daemon.knowledge.with(|local_view| local_view.clear_replicas(has_read_entries));
        }
        let pace = pace(&daemon);
        let least_ms = pace.min_ms();
        Timer::after(Duration::from_millis(least_ms)).await;
        let next_ms = match synced {
            true if is_waiting(&daemon) => least_ms,
            true => pace.idle_ms(),
            // The leader may only have been slow, and what it has to say is due.
            false => pace.waiting_ms(),
        };
        let pause = async {
            Timer::after(Duration::from_millis(next_ms.saturating_sub(least_ms))).await;
        };
        urgent.or(pause).await;
    }
}

fn pace(daemon: &Daemon) -> SyncIntervals {
    let askers = daemon.knowledge.with(|local_view| local_view.leader_clients);
    SyncIntervals::new(askers, daemon.freshness.shortest_bound_ms())
}

fn has_unanswered(daemon: &Daemon) -> bool {
    daemon
        .knowledge
        .with(|local_view| local_view.local_demand.values().any(LocalDemand::has_unplanned))
}

fn is_waiting(daemon: &Daemon) -> bool {
    let waits = |local_view: &mut LocalView| {
        local_view.local_demand.values().any(|asked| !asked.waiting.is_empty())
    };
    daemon.knowledge.with(waits)
}

impl Talk {
    /// Counts leaders that did not answer; one that stands in for this daemon's own is asked
    /// for a while, and then its own again.
    fn note_outcome(&mut self, synced: bool, now_ms: u64) {
        if !synced {
            self.attempt += 1;
        } else if self.attempt > 0 {
            let since_ms = *self.away_since_ms.get_or_insert(now_ms);
            if now_ms >= since_ms + TRY_OWN_MS {
                self.attempt = 0;
            }
        }
        if self.attempt == 0 {
            self.away_since_ms = None;
        }
    }

    /// Tells once; returns whether a leader answered.
    async fn step(&mut self, daemon: &Arc<Daemon>) -> bool {
        let asked_ms = daemon.knowledge.now_ms();
        let (answer, leader) = match calls::leader(daemon, self.attempt).await {
            Leader::Here { group, token } => {
                let asking = self.asking(daemon, &group, token);
                (daemon.ask(|reply| Message::Sync { asking, reply }).await, Some((group, token)))
            }
            Leader::At { address, group, token } => {
                let mut asking = self.asking(daemon, &group, token);
                let (known, exchange) = self.crashes.entry(group.clone()).or_default();
                if *known != token {
                    (*known, *exchange) = (token, CrashExchange::default());
                }
                exchange.ask(daemon, &mut asking);
                let answer = self.client.sync(address, asking).await;
                if let Err(error) = &answer {
                    tracing::debug!(%error, "sync: The leader does not answer.");
                }
                (answer.ok(), Some((group, token)))
            }
            Leader::Nobody => (None, None),
        };
        let Some(mut answer) = answer else {
            daemon.tell(Message::LeaderSilent);
            return false;
        };
        let exchange = leader.as_ref().and_then(|(group, _)| self.crashes.get_mut(group));
        if let Some((_, exchange)) = exchange {
            exchange.answered(daemon, answer.refused.take());
        }
        daemon.tell(Message::LeasesTold(answer.leases));
        for (group, resigned) in answer.resigned {
            let (resignation, engines) = resigned.into();
            daemon.tell(Message::Resigned { group: group.into(), resignation, engines });
        }
        if !answer.is_leader {
            daemon.tell(Message::LeaderSilent);
            return false;
        }
        self.told = leader;
        self.learn(daemon, answer.views);
        if let Some(relay) = answer.relay {
            take_relay(daemon, relay, asked_ms);
        }
        true
    }

    fn asking(&mut self, daemon: &Daemon, group: &DomainName, token: u64) -> WireAsking {
        let is_told = self.told.as_ref().is_some_and(|told| (&told.0, told.1) == (group, token));
        WireAsking {
            vm: daemon.settings.vm.clone(),
            group: group.to_string(),
            is_leader: false,
            members: 0,
            digests: self.digests(daemon, !is_told),
            crashes: Vec::new(),
            have: self.have(daemon, is_told),
        }
    }

    /// What this daemon already has of the store, and of the leader's logs.
    fn have(&self, daemon: &Daemon, departures: bool) -> WireHave {
        let placements = self.placements.iter();
        let placements =
            placements.map(|(service, mirror)| (service.to_string(), mirror.position().into()));
        daemon.knowledge.with(|local_view| WireHave {
            endpoints: local_view.listing.version(),
            config: local_view.catalog.as_ref().map_or(0, |catalog| catalog.version),
            refused: 0,
            departures,
            placements: placements.collect(),
        })
    }

    fn digests(&self, daemon: &Daemon, is_first: bool) -> Vec<WireDigest> {
        let now_ms = daemon.knowledge.now_ms();
        let Some(catalog) = daemon.knowledge.catalog() else { return Vec::new() };
        let engines = catalog.services.iter().filter(|(_, service)| service.engine.is_some());
        let nothing = PlacementMirror::default();
        let digests = engines.map(|(service, _)| {
            let digest = daemon
                .knowledge
                .with(|local_view| local_view.local_demand_for(service).report(is_first, now_ms));
            let placements = self.placements.get(service).unwrap_or(&nothing);
            let log = placements.position().log;
            WireDigest::new(service, digest, log, |name| placements.number(name))
        });
        digests.collect()
    }

    fn learn(&mut self, daemon: &Daemon, views: BTreeMap<String, WireView>) {
        let now_ms = daemon.knowledge.now_ms();
        let mut is_news = false;
        let counted = daemon.knowledge.with(|local_view| local_view.daemons);
        for (service, mut view) in views {
            let service = ServiceName::from(service);
            let placements = self.placements.entry(service.clone()).or_default();
            placements.apply_delta(std::mem::take(&mut view.placements).into());
            let planned = view.planned;
            let view = view.into_view(placements);
            is_news |= daemon
                .knowledge
                .with(|local_view| local_view.update_replicas(service, view, planned, now_ms));
        }
        let daemons = daemon.knowledge.with(|local_view| local_view.daemons);
        if counted == 0 && daemons > 0 {
            tracing::info!(daemons, "sync: The daemons that share budgets were counted.");
        }
        if is_news {
            daemon.knowledge.say_changed();
        }
    }
}

/// Takes what the leader passes on of the store. News are taken whatever their age; whether the
/// store must be followed here depends on it. An answer says how old its news were when it was
/// made, which was after it was asked for.
fn take_relay(daemon: &Daemon, relay: WireRelay, asked_ms: u64) {
    departures::heard_wire(daemon, relay.departures);
    let taken = relay.config.is_none_or(|news| config::take_passed_on(daemon, &news.into()));
    // The sender's proof was so old when it answered, which was after it was asked.
    if let Some(age_ms) = relay.config_age_ms.filter(|_| taken) {
        daemon.freshness.config_proven(asked_ms.saturating_sub(age_ms));
    }
    let next_ms = pace(daemon).idle_ms();
    let now_ms = daemon.knowledge.now_ms();
    let age_ms = relay.age_ms + now_ms.saturating_sub(asked_ms);
    let is_fresh = daemon.freshness.relayed(age_ms, next_ms, now_ms);
    if is_fresh {
        endpoints::take_passed_on(daemon, relay.endpoints.into(), age_ms);
    }
}
