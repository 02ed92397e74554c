//! Sync with the leader: reports the demand of callers, and receives where models are loaded.

use crate::{
    control::message::{Leader, Message},
    crashes::CrashReportExchange,
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
    listing::ListUpdate, local_demand::LocalDemand, local_view::LocalView,
    placement_log::PlacementMirror, sync_intervals::SyncIntervals,
};
use trestle_wire::{
    relay::{WireRelay, WireSyncPosition},
    replicas::{WireDemandReport, WireServiceView, WireSyncRequest},
};

/// Time for which the leader's last report is used after it stopped answering. The list of
/// endpoints has caught up by then.
const MAX_VIEW_AGE_MS: u64 = 3_000;
/// Time after which a daemon that syncs with another group's leader tries its own leader again.
const RETRY_OWN_MS: u64 = 2_000;

/// The state of the exchange between this daemon and the leaders that it syncs with.
#[derive(Debug, Default)]
struct LeaderExchange {
    client: LeaderClient,
    /// The leader that has received the demand remembered by this daemon, by its fencing number.
    informed: Option<(DomainName, u64)>,
    /// Number of consecutive leaders that did not answer.
    attempt: usize,
    /// Since when this daemon has synced with another group's leader; `None` while it syncs with
    /// its own.
    substitute_since_ms: Option<u64>,
    /// Exchanges about requests under which endpoints crashed, by group and its last leader's
    /// fencing number. The exchange continues with a leader that has stepped down.
    crashes: BTreeMap<DomainName, (u64, CrashReportExchange)>,
    /// Copies of the leader's placement logs, by service.
    placements: BTreeMap<ServiceName, PlacementMirror>,
}

/// Exchanges sync requests with the leader until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut exchange = LeaderExchange::default();
    let mut answered_ms = 0;
    let mut has_leader = false;
    loop {
        let demand_added = daemon.shared_view.demand_added();
        // The leader holds a request about known demand until a requested model has arrived. New
        // demand must not wait for that answer, so it aborts such a request; but the answer about
        // new demand must not be lost.
        let has_new_demand = has_unplanned_demand(&daemon);
        let min_ms = intervals(&daemon).min_ms();
        let sync = async { Some(exchange.sync_once(&daemon).await) };
        let interrupted = async {
            if has_new_demand {
                future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(min_ms)).await;
            demand_added.await;
            None
        };
        let Some(synced) = sync.or(interrupted).await else { continue };
        let demand_added = daemon.shared_view.demand_added();
        let now_ms = daemon.shared_view.now_ms();
        exchange.record_outcome(synced, now_ms);
        if synced != has_leader {
            has_leader = synced;
            daemon.shared_view.change(|local_view| local_view.record_leader(has_leader, now_ms));
            tracing::info!(heard = has_leader, "sync: The leader was found or lost.");
        }
        if synced {
            answered_ms = now_ms;
        } else if now_ms > answered_ms + MAX_VIEW_AGE_MS {
            let has_read_entries = !daemon.freshness.must_reread();
            daemon.shared_view.with(|local_view| local_view.clear_replicas(has_read_entries));
        }
        let intervals = intervals(&daemon);
        let min_ms = intervals.min_ms();
        Timer::after(Duration::from_millis(min_ms)).await;
        let next_ms = match synced {
            true if has_waiting(&daemon) => min_ms,
            true => intervals.idle_ms(),
            // The leader may only have been slow, and its report is due.
            false => intervals.waiting_ms(),
        };
        let pause = async {
            Timer::after(Duration::from_millis(next_ms.saturating_sub(min_ms))).await;
        };
        demand_added.or(pause).await;
    }
}

fn intervals(daemon: &Daemon) -> SyncIntervals {
    let clients = daemon.shared_view.with(|local_view| local_view.leader_clients);
    SyncIntervals::new(clients, daemon.freshness.shortest_bound_ms())
}

fn has_unplanned_demand(daemon: &Daemon) -> bool {
    daemon
        .shared_view
        .with(|local_view| local_view.local_demand.values().any(LocalDemand::has_unplanned))
}

fn has_waiting(daemon: &Daemon) -> bool {
    let has_waiting = |local_view: &mut LocalView| {
        local_view.local_demand.values().any(|demand| !demand.waiting.is_empty())
    };
    daemon.shared_view.with(has_waiting)
}

impl LeaderExchange {
    /// Counts consecutive leaders that did not answer. After a while with a substitute, this
    /// daemon's own leader is tried again.
    fn record_outcome(&mut self, synced: bool, now_ms: u64) {
        if !synced {
            self.attempt += 1;
        } else if self.attempt > 0 {
            let since_ms = *self.substitute_since_ms.get_or_insert(now_ms);
            if now_ms >= since_ms + RETRY_OWN_MS {
                self.attempt = 0;
            }
        }
        if self.attempt == 0 {
            self.substitute_since_ms = None;
        }
    }

    /// Sends one sync request. Returns whether a leader answered.
    async fn sync_once(&mut self, daemon: &Arc<Daemon>) -> bool {
        let requested_ms = daemon.shared_view.now_ms();
        let (answer, leader) = match calls::leader(daemon, self.attempt).await {
            Leader::Here { group, token } => {
                let request = self.build_request(daemon, &group, token);
                (daemon.query(|reply| Message::Sync { request, reply }).await, Some((group, token)))
            }
            Leader::At { address, group, token } => {
                let mut request = self.build_request(daemon, &group, token);
                let (known_token, exchange) = self.crashes.entry(group.clone()).or_default();
                if *known_token != token {
                    (*known_token, *exchange) = (token, CrashReportExchange::default());
                }
                exchange.add_to(daemon, &mut request);
                let answer = self.client.sync(address, request).await;
                if let Err(error) = &answer {
                    tracing::debug!(%error, "sync: The leader did not answer.");
                }
                (answer.ok(), Some((group, token)))
            }
            Leader::Nobody => (None, None),
        };
        let Some(mut answer) = answer else {
            daemon.send(Message::LeaderUnresponsive);
            return false;
        };
        let exchange = leader.as_ref().and_then(|(group, _)| self.crashes.get_mut(group));
        if let Some((_, exchange)) = exchange {
            exchange.record_answer(daemon, answer.refused.take());
        }
        daemon.send(Message::LeasesReceived(answer.leases));
        for (group, resigned) in answer.resigned {
            let (resignation, engines) = resigned.into();
            daemon.send(Message::Resigned { group: group.into(), resignation, engines });
        }
        if !answer.is_leader {
            daemon.send(Message::LeaderUnresponsive);
            return false;
        }
        self.informed = leader;
        self.apply_views(daemon, answer.views);
        if let Some(relay) = answer.relay {
            apply_relay(daemon, relay, requested_ms);
        }
        true
    }

    fn build_request(
        &mut self,
        daemon: &Daemon,
        group: &DomainName,
        token: u64,
    ) -> WireSyncRequest {
        let is_informed = self
            .informed
            .as_ref()
            .is_some_and(|informed| (&informed.0, informed.1) == (group, token));
        WireSyncRequest {
            vm: daemon.settings.vm.clone(),
            group: group.to_string(),
            is_leader: false,
            members: 0,
            digests: self.demand_reports(daemon, !is_informed),
            crashes: Vec::new(),
            have: self.positions(daemon, is_informed),
        }
    }

    /// Returns the positions that this daemon has reached in the store's tables and in the
    /// leader's placement logs.
    fn positions(&self, daemon: &Daemon, departures: bool) -> WireSyncPosition {
        let placements = self.placements.iter();
        let placements =
            placements.map(|(service, mirror)| (service.to_string(), mirror.position().into()));
        daemon.shared_view.with(|local_view| WireSyncPosition {
            endpoints: local_view.listing.version().into(),
            config: local_view.catalog.as_ref().map_or(0, |catalog| catalog.version),
            refused: 0,
            departures,
            placements: placements.collect(),
        })
    }

    fn demand_reports(&self, daemon: &Daemon, is_first: bool) -> Vec<WireDemandReport> {
        let now_ms = daemon.shared_view.now_ms();
        let Some(catalog) = daemon.shared_view.catalog() else { return Vec::new() };
        let engines = catalog.services.iter().filter(|(_, service)| service.engine.is_some());
        let empty = PlacementMirror::default();
        let reports = engines.map(|(service, _)| {
            let report = daemon
                .shared_view
                .with(|local_view| local_view.local_demand_for(service).report(is_first, now_ms));
            let placements = self.placements.get(service).unwrap_or(&empty);
            let log = placements.position().log;
            WireDemandReport::new(service, report, log, |name| placements.number(name))
        });
        reports.collect()
    }

    fn apply_views(&mut self, daemon: &Daemon, views: BTreeMap<String, WireServiceView>) {
        let now_ms = daemon.shared_view.now_ms();
        let mut has_changed = false;
        let previously_counted =
            daemon.shared_view.with(|local_view| local_view.retry_budgets.daemons);
        for (service, mut view) in views {
            let service = ServiceName::from(service);
            let placements = self.placements.entry(service.clone()).or_default();
            placements.apply_delta(std::mem::take(&mut view.placements).into());
            let planned = view.planned;
            let view = view.into_view(placements);
            has_changed |= daemon
                .shared_view
                .with(|local_view| local_view.update_replicas(service, view, planned, now_ms));
        }
        let daemons = daemon.shared_view.with(|local_view| local_view.retry_budgets.daemons);
        if previously_counted != daemons {
            let before = previously_counted;
            tracing::info!(daemons, before, "sync: The daemons that share budgets were counted.");
        }
        if has_changed {
            daemon.shared_view.notify_changed();
        }
    }
}

/// Applies the changes of the store that the leader relays. The configuration is applied whatever
/// its age, the list of endpoints only if the relay is fresh enough; a fresh relay also makes it
/// unnecessary to follow the store for a time.
fn apply_relay(daemon: &Daemon, relay: WireRelay, requested_ms: u64) {
    departures::receive_wire(daemon, relay.departures);
    let is_applied =
        relay.config.is_none_or(|update| config::apply_relayed(daemon, &update.into()));
    // The age refers to the time of the answer, which was after the request.
    if let Some(age_ms) = relay.config_age_ms.filter(|_| is_applied) {
        daemon.freshness.record_config_proof(requested_ms.saturating_sub(age_ms));
    }
    let next_ms = intervals(daemon).idle_ms();
    let now_ms = daemon.shared_view.now_ms();
    let age_ms = relay.age_ms + now_ms.saturating_sub(requested_ms);
    let update = match ListUpdate::try_from(relay.endpoints) {
        Ok(update) => update,
        Err(error) => {
            tracing::debug!(%error, "sync: The relayed list is not used; this daemon follows the store.");
            return;
        }
    };
    daemon.freshness.record_era(update.version.era, now_ms);
    let is_fresh = daemon.freshness.record_relay(age_ms, next_ms, now_ms);
    if is_fresh {
        endpoints::apply_relayed(daemon, update, age_ms);
    }
}
