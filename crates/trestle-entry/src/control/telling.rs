//! What daemons are told of one service, made anew only when it has changed or grown old.

use crate::control::others::Others;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{DomainName, ModelName, ServiceName};
use trestle_dispatch::{
    directory::Directory,
    loadable::{self, Loadable},
    placement_log::{PlacementLog, PlacementPosition},
    replicas::{EngineSummary, ReplicaView},
    service_state::ServiceState,
};
use trestle_wire::replicas::{WireView, to_ready};

/// Age up to which what was told to one daemon is told to the next; it grows old by that
/// much less than by its way and the pause between two questions.
const TOLD_MS: u64 = 30;
/// What is waited for of which all daemons are told when it will be ready. Of more, each hears
/// of what its own callers wait for: one that has no word of a model asks within some 50 ms.
const READY_TOLD_TO_ALL: usize = 64;

/// Shortest time between two looks at what is new; each takes a leader some 0.3 ms.
const NEWS_MS: u64 = 20;

/// What is told of one service.
#[derive(Debug)]
pub(crate) struct Telling {
    at_ms: u64,
    news: u64,
    /// Changes of the logs that askers who wait have heard of.
    noted: [u64; 2],
    /// For this leader's daemons: all engines.
    all: PlacementLog,
    view: ReplicaView,
    /// For other leaders: the engines that this one orders.
    own: PlacementLog,
    own_view: ReplicaView,
}

/// Who is told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asker<'a> {
    /// Whether it leads other engines.
    pub(crate) is_leader: bool,
    /// How much of the log it has.
    pub(crate) have: PlacementPosition,
    /// Models that its callers wait for.
    pub(crate) models: &'a BTreeSet<ModelName>,
}

/// What a leader looks at to tell of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Known<'a> {
    pub(crate) state: &'a ServiceState,
    pub(crate) service: &'a ServiceName,
    pub(crate) directory: &'a Directory,
    pub(crate) others: &'a Others,
    pub(crate) led: &'a BTreeSet<DomainName>,
    pub(crate) now_ms: u64,
}

impl Default for Telling {
    fn default() -> Self {
        let new_log = || PlacementLog::new(fastrand::u64(1..));
        Self {
            at_ms: 0,
            news: 0,
            noted: [0, 0],
            all: new_log(),
            view: ReplicaView::default(),
            own: new_log(),
            own_view: ReplicaView::default(),
        }
    }
}

impl Telling {
    /// Takes what is known now, unless what was told last is fresh enough.
    pub(crate) fn refresh(&mut self, known: Known<'_>) {
        let news = known.state.revision() + known.others.news();
        let told_ms = if self.news == news { TOLD_MS } else { NEWS_MS };
        if self.at_ms > 0 && known.now_ms < self.at_ms + told_ms {
            return;
        }
        self.at_ms = known.now_ms;
        self.news = news;
        self.own_view = own_view(known);
        self.view = whole_view(known, &self.own_view);
        self.all.update(self.view.engines.iter().map(|(name, note)| (name, &note.holds)));
        self.own.update(self.own_view.engines.iter().map(|(name, note)| (name, &note.holds)));
    }

    /// What engines have become able to run since this was last asked, as this leader's daemons
    /// see it and as other leaders do.
    pub(crate) fn arrived(&mut self) -> [(bool, BTreeSet<Loadable>); 2] {
        let [all, own] = self.noted;
        self.noted = [self.all.sequence(), self.own.sequence()];
        [(false, self.all.loaded_since(all)), (true, self.own.loaded_since(own))]
    }

    /// What an asker is told. What is about other leaders' engines, these tell each other
    /// themselves.
    pub(crate) fn view(&self, asker: Asker<'_>, known: Known<'_>) -> WireView {
        let (log, view) = match asker.is_leader {
            true => (&self.own, &self.own_view),
            false => (&self.all, &self.view),
        };
        let running = log.engines().map(|name| view.engines.get(name).map_or(0, |n| n.running));
        WireView {
            placements: log.delta(asker.have).into(),
            running: running.collect(),
            ready_in_ms: ready(asker, known).iter().map(to_ready).collect(),
            daemons: 0,
            askers: 0,
            planned: 0,
        }
    }

    /// The log whose numbers an asker uses.
    pub(crate) fn log(&self, is_leader: bool) -> &PlacementLog {
        if is_leader { &self.own } else { &self.all }
    }
}

/// When what an asker waits for will be ready. It is as new as the last plan, since an asker is
/// answered when that has looked at its wishes: an answer some ms older once refused 700 of
/// 5,000 callers, for whom a load had just begun.
fn ready(asker: Asker<'_>, known: Known<'_>) -> BTreeMap<Loadable, u64> {
    let mut plans = vec![known.state.last_plan(known.now_ms)];
    if !asker.is_leader {
        let live = known.others.live(known.now_ms);
        plans.extend(live.filter_map(|other| other.last_plan(known.service, known.now_ms)));
    }
    let count: usize = plans.iter().map(|(ready_in_ms, _)| ready_in_ms.len()).sum();
    let tells_all = asker.is_leader || count <= READY_TOLD_TO_ALL;
    let mut soonest: BTreeMap<Loadable, u64> = BTreeMap::new();
    let mut note = |loadable: &Loadable, ms: u64, age_ms: u64| {
        let ms = loadable::remaining_ms(ms, age_ms);
        let known_ms = soonest.entry(loadable.clone()).or_insert(ms);
        *known_ms = (*known_ms).min(ms);
    };
    for (ready_in_ms, age_ms) in plans {
        match tells_all {
            true => ready_in_ms.iter().for_each(|(loadable, ms)| note(loadable, *ms, age_ms)),
            false => loadable::ready_times_of(ready_in_ms, asker.models)
                .for_each(|(loadable, ms)| note(loadable, ms, age_ms)),
        }
    }
    soonest
}

/// What is known of the engines that this leader orders.
fn own_view(known: Known<'_>) -> ReplicaView {
    let mut view = known.state.view(known.service, known.directory, known.now_ms);
    let Known { directory, led, .. } = known;
    view.engines.retain(|name, _| {
        directory.get(name).is_some_and(|endpoint| led.contains(&endpoint.domain))
    });
    view
}

/// What is known of all engines: of those that others order by their word, or else by the
/// engines' own entries.
fn whole_view(known: Known<'_>, own: &ReplicaView) -> ReplicaView {
    let notes = known.others.notes(known.service, known.now_ms);
    let mut usage = None;
    let engines = known.directory.usable(known.service).map(|endpoint| {
        let name = &endpoint.name;
        let note = match own.engines.get(name).or_else(|| notes.get(name).copied()) {
            Some(note) => note.clone(),
            None => {
                let usage = usage.get_or_insert_with(|| known.state.demand.usage(known.now_ms));
                EngineSummary { holds: endpoint.held.clone(), running: usage.at(name) }
            }
        };
        (name.clone(), note)
    });
    ReplicaView { engines: engines.collect(), ..ReplicaView::default() }
}
