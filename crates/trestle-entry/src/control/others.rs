//! What other leaders tell this one, and what they are to be told.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    demand::{DemandReport, Waiting},
    endpoint::Endpoint,
    loadable::Loadable,
    placement_log::PlacementMirror,
    replicas::{EngineSummary, ReplicaView},
    service_state::ServiceState,
};
use trestle_wire::replicas::{WireDigest, WireSynced};

/// Time for which a leader that does not answer still counts as one that can be asked.
const LIVE_MS: u64 = 1_500;
/// Time for which what it said of its engines is believed.
const BELIEVED_MS: u64 = 3_000;

/// Other leaders, by where they answer.
#[derive(Debug, Default)]
pub(crate) struct Others {
    by_address: BTreeMap<SocketAddr, Other>,
    /// Grows with each answer.
    news: u64,
}

/// One other leader.
#[derive(Debug, Default)]
pub(crate) struct Other {
    led: BTreeSet<DomainName>,
    heard_ms: Option<u64>,
    members: usize,
    services: BTreeMap<ServiceName, OtherService>,
}

/// What passes between it and this leader about one service.
#[derive(Debug, Default)]
struct OtherService {
    number: u64,
    /// Requests that arrived here since it was last told.
    arrivals: BTreeMap<ModelName, u32>,
    /// Whether it has been told what is remembered here.
    has_remembered: bool,
    /// Wishes in the digest that it was told last.
    asked: BTreeSet<Loadable>,
    /// Wishes with which it has planned.
    planned: BTreeSet<Loadable>,
    placements: PlacementMirror,
    view: ReplicaView,
}

impl Others {
    /// Keeps just these.
    pub(crate) fn keep(&mut self, others: &BTreeMap<SocketAddr, (DomainName, u64)>) {
        self.by_address.retain(|address, _| others.contains_key(address));
        for (address, (group, _)) in others {
            let other = self.by_address.entry(*address).or_default();
            if other.heard_ms.is_none() {
                other.led.insert(group.clone());
            }
        }
    }

    /// Nothing is known any more.
    pub(crate) fn clear(&mut self) {
        self.by_address.clear();
    }

    /// Notes requests that arrived at this leader's daemons.
    pub(crate) fn arrived(&mut self, service: &ServiceName, digest: &DemandReport) {
        for other in self.by_address.values_mut() {
            let known = other.services.entry(service.clone()).or_default();
            for (model, count) in &digest.arrivals {
                *known.arrivals.entry(model.clone()).or_default() += count;
            }
        }
    }

    /// The leader at an address, to be told something.
    pub(crate) fn get(&mut self, address: SocketAddr) -> Option<&mut Other> {
        self.by_address.get_mut(&address)
    }

    /// Takes the answer of the leader at an address.
    pub(crate) fn answered(&mut self, address: SocketAddr, answer: WireSynced, now_ms: u64) {
        if let Some(other) = self.by_address.get_mut(&address) {
            self.news += 1;
            other.answered(answer, now_ms);
        }
    }

    /// Grows with each answer.
    pub(crate) fn news(&self) -> u64 {
        self.news
    }

    /// Where the leaders of some groups answer.
    pub(crate) fn addresses(&self, groups: &BTreeSet<DomainName>) -> BTreeSet<SocketAddr> {
        let leading = self.by_address.iter().filter(|(_, other)| !other.led.is_disjoint(groups));
        leading.map(|(address, _)| *address).collect()
    }

    /// Those whose word still counts, and that answer now.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = &Other> {
        self.by_address.values().filter(move |other| other.was_heard(LIVE_MS, now_ms))
    }

    /// What those that are still believed say of a service's engines.
    pub(crate) fn notes<'a>(
        &'a self,
        service: &'a ServiceName,
        now_ms: u64,
    ) -> BTreeMap<&'a EndpointName, &'a EngineSummary> {
        let believed =
            self.by_address.values().filter(move |other| other.was_heard(BELIEVED_MS, now_ms));
        let views = believed.filter_map(|other| other.services.get(service));
        views.flat_map(|known| known.view.engines.iter()).collect()
    }

    /// Daemons that ask the others, of whom `of_row` tells where they have not said so.
    pub(crate) fn members(&self, of_row: impl Fn(&BTreeSet<DomainName>) -> usize) -> usize {
        let each = self.by_address.values().map(|other| match other.members {
            0 => of_row(&other.led),
            members => members,
        });
        each.sum()
    }
}

impl Other {
    fn was_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        self.heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + within_ms)
    }

    /// The groups that it leads.
    pub(crate) fn led(&self) -> &BTreeSet<DomainName> {
        &self.led
    }

    /// When what it brings in will be ready, and how old that is.
    pub(crate) fn last_plan(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<(&BTreeMap<Loadable, u64>, u64)> {
        let known = self.services.get(service)?;
        let age_ms = self.heard_ms.map_or(0, |heard_ms| now_ms.saturating_sub(heard_ms));
        Some((&known.view.ready_in_ms, age_ms))
    }

    /// Wishes with which it has planned.
    pub(crate) fn planned(&self, service: &ServiceName) -> impl Iterator<Item = &Loadable> {
        self.services.get(service).into_iter().flat_map(|known| &known.planned)
    }

    /// How much it is known of a service's log.
    pub(crate) fn placements(&self) -> impl Iterator<Item = (&ServiceName, &PlacementMirror)> {
        self.services.iter().map(|(service, known)| (service, &known.placements))
    }

    /// What it is to be told of a service now.
    pub(crate) fn digest(
        &mut self,
        service: &ServiceName,
        state: &ServiceState,
        directory: &BTreeMap<EndpointName, Arc<Endpoint>>,
        now_ms: u64,
    ) -> WireDigest {
        let led = &self.led;
        let is_its_engine = |name: &EndpointName| {
            directory.get(name).is_some_and(|endpoint| led.contains(&endpoint.domain))
        };
        let is_its_wish = |wish: &Loadable| {
            state.sharing.assigned_group(wish).is_some_and(|group| led.contains(group))
        };
        let mut digest = state.demand.report_for(is_its_engine, is_its_wish, now_ms);
        let known = self.services.entry(service.clone()).or_default();
        known.number += 1;
        known.asked = digest.waiting.iter().map(Waiting::loadable).collect();
        digest.number = known.number;
        digest.arrivals = std::mem::take(&mut known.arrivals);
        digest.past = (!known.has_remembered).then(|| state.demand.own_history(now_ms));
        let (log, placements) = (known.placements.position().log, &known.placements);
        WireDigest::new(service, digest, log, |name| placements.number(name))
    }

    /// Whether it has planned with everything that it was asked for last.
    pub(crate) fn has_planned(&self) -> bool {
        let mut services = self.services.values();
        services.all(|known| known.asked.is_subset(&known.planned))
    }

    /// Takes its answer.
    fn answered(&mut self, answer: WireSynced, now_ms: u64) {
        if !answer.is_leader {
            return;
        }
        self.heard_ms = Some(now_ms);
        self.led = answer.led.into_iter().map(DomainName::from).collect();
        self.members = answer.members as usize;
        for (service, mut view) in answer.views {
            let known = self.services.entry(service.into()).or_default();
            known.has_remembered = true;
            if view.planned >= known.number {
                known.planned.clone_from(&known.asked);
            }
            known.placements.apply_delta(std::mem::take(&mut view.placements).into());
            known.view = view.into_view(&known.placements);
        }
    }
}
