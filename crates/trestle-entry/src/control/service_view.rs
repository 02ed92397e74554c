//! The leader's view of one service as sent to daemons, rebuilt only when it has changed or is too
//! old.

use crate::control::other_leaders::OtherLeaders;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{DomainName, ModelName, ServiceName};
use trestle_dispatch::{
    directory::Directory,
    loadable::{self, Loadable},
    placement_log::{PlacementLog, PlacementPosition},
    replicas::{EngineSummary, ReplicaView},
    service_state::ServiceState,
};
use trestle_wire::replicas::{WireServiceView, to_ready};

/// Age up to which a view that was built for one daemon is also sent to the next. This adds less to
/// the age at the receiver than the network delay and the pause between two sync requests.
const MAX_AGE_MS: u64 = 30;
/// Most pending loads whose remaining time is sent to all daemons. If there are more, each daemon
/// receives only those that its own callers wait for; a daemon that has no entry for a model asks
/// again within some 50 ms.
const MAX_READY_TO_ALL: usize = 64;

/// Shortest time between two rebuilds after a change; each rebuild takes a leader some 0.3 ms.
const REBUILD_GAP_MS: u64 = 20;

/// The leader's view of one service, in the two forms in which it is sent.
#[derive(Debug)]
pub(crate) struct ServiceView {
    built_ms: u64,
    revision: u64,
    /// Sequence numbers of the two logs up to which waiting requesters were notified.
    notified: [u64; 2],
    /// Sent to this leader's daemons: all engines.
    log: PlacementLog,
    view: ReplicaView,
    /// Sent to other leaders: the engines that this leader controls.
    own_log: PlacementLog,
    own_view: ReplicaView,
}

/// The requester to which a view is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Requester<'a> {
    /// Whether the requester leads other engines.
    pub(crate) is_leader: bool,
    /// The position that the requester has reached in the placement log.
    pub(crate) position: PlacementPosition,
    /// Models that the requester's callers wait for.
    pub(crate) models: &'a BTreeSet<ModelName>,
}

/// What a leader builds its view of a service from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ViewSource<'a> {
    pub(crate) state: &'a ServiceState,
    pub(crate) service: &'a ServiceName,
    pub(crate) directory: &'a Directory,
    pub(crate) others: &'a OtherLeaders,
    pub(crate) led: &'a BTreeSet<DomainName>,
    pub(crate) now_ms: u64,
}

impl Default for ServiceView {
    fn default() -> Self {
        let new_log = || PlacementLog::new(fastrand::u64(1..));
        Self {
            built_ms: 0,
            revision: 0,
            notified: [0, 0],
            log: new_log(),
            view: ReplicaView::default(),
            own_log: new_log(),
            own_view: ReplicaView::default(),
        }
    }
}

impl ServiceView {
    /// Rebuilds the view unless the last one is recent enough.
    pub(crate) fn refresh(&mut self, source: ViewSource<'_>) {
        let revision = source.state.revision() + source.others.revision();
        let max_age_ms = if self.revision == revision { MAX_AGE_MS } else { REBUILD_GAP_MS };
        if self.built_ms > 0 && source.now_ms < self.built_ms + max_age_ms {
            return;
        }
        self.built_ms = source.now_ms;
        self.revision = revision;
        self.own_view = own_view(source);
        self.view = whole_view(source, &self.own_view);
        self.log.update(self.view.engines.iter().map(|(name, summary)| (name, &summary.holds)));
        self.own_log
            .update(self.own_view.engines.iter().map(|(name, summary)| (name, &summary.holds)));
    }

    /// Returns what engines have become able to run since the last call: first as sent to this
    /// leader's daemons, then as sent to other leaders.
    pub(crate) fn take_arrivals(&mut self) -> [(bool, BTreeSet<Loadable>); 2] {
        let [all, own] = self.notified;
        self.notified = [self.log.sequence(), self.own_log.sequence()];
        [(false, self.log.loaded_since(all)), (true, self.own_log.loaded_since(own))]
    }

    /// Returns the view for a requester. Another leader receives nothing about engines of third
    /// leaders, since these send it themselves.
    pub(crate) fn view(&self, requester: Requester<'_>, source: ViewSource<'_>) -> WireServiceView {
        let (log, view) = match requester.is_leader {
            true => (&self.own_log, &self.own_view),
            false => (&self.log, &self.view),
        };
        let running =
            log.engines().map(|name| view.engines.get(name).map_or(0, |summary| summary.running));
        WireServiceView {
            placements: log.delta(requester.position).into(),
            running: running.collect(),
            ready_in_ms: ready_in_ms(requester, source).iter().map(to_ready).collect(),
            daemons: 0,
            askers: 0,
            planned: 0,
        }
    }

    /// Returns the placement log whose engine numbers a requester uses.
    pub(crate) fn log(&self, is_leader: bool) -> &PlacementLog {
        if is_leader { &self.own_log } else { &self.log }
    }
}

/// Returns when the models and adapters that a requester waits for will be ready. The result is as
/// recent as the last plan, because a requester is answered only after a plan has included its
/// demand: an answer some ms older once refused 700 of 5,000 callers for whom a load had just
/// begun.
fn ready_in_ms(requester: Requester<'_>, source: ViewSource<'_>) -> BTreeMap<Loadable, u64> {
    let mut plans = vec![source.state.last_plan(source.now_ms)];
    if !requester.is_leader {
        let live = source.others.reachable(source.now_ms);
        plans.extend(live.filter_map(|other| other.last_plan(source.service, source.now_ms)));
    }
    let count: usize = plans.iter().map(|(ready_in_ms, _)| ready_in_ms.len()).sum();
    let sends_all = requester.is_leader || count <= MAX_READY_TO_ALL;
    let mut soonest: BTreeMap<Loadable, u64> = BTreeMap::new();
    let mut keep_soonest = |loadable: &Loadable, ms: u64, age_ms: u64| {
        let ms = loadable::remaining_ms(ms, age_ms);
        let soonest_ms = soonest.entry(loadable.clone()).or_insert(ms);
        *soonest_ms = (*soonest_ms).min(ms);
    };
    for (ready_in_ms, age_ms) in plans {
        match sends_all {
            true => {
                ready_in_ms.iter().for_each(|(loadable, ms)| keep_soonest(loadable, *ms, age_ms))
            }
            false => loadable::ready_times_of(ready_in_ms, requester.models)
                .for_each(|(loadable, ms)| keep_soonest(loadable, ms, age_ms)),
        }
    }
    soonest
}

/// Returns what is known of the engines that this leader controls.
fn own_view(source: ViewSource<'_>) -> ReplicaView {
    let mut view = source.state.view(source.service, source.directory, source.now_ms);
    let ViewSource { directory, led, .. } = source;
    view.engines.retain(|name, _| {
        directory.get(name).is_some_and(|endpoint| led.contains(&endpoint.domain))
    });
    view
}

/// Returns what is known of all engines. For an engine that another leader controls, that leader's
/// report is used; without one, the engine's own entry in the list.
fn whole_view(source: ViewSource<'_>, own: &ReplicaView) -> ReplicaView {
    let reported = source.others.engine_summaries(source.service, source.now_ms);
    let mut usage = None;
    let engines = source.directory.usable(source.service).map(|endpoint| {
        let name = &endpoint.name;
        let summary = match own.engines.get(name).or_else(|| reported.get(name).copied()) {
            Some(summary) => summary.clone(),
            None => {
                let usage = usage.get_or_insert_with(|| source.state.demand.usage(source.now_ms));
                EngineSummary { holds: endpoint.held.clone(), running: usage.at(name) }
            }
        };
        (name.clone(), summary)
    });
    ReplicaView { engines: engines.collect(), ..ReplicaView::default() }
}
