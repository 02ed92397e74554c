//! What this leader knows of other leaders, and what it has to report to them.

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
use trestle_wire::replicas::{WireDemandReport, WireSyncResponse};

/// Time after its last answer for which a leader still counts as reachable.
const REACHABLE_MS: u64 = 1_500;
/// Time after a leader's last answer for which its reports on engines are used.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// The other leaders, by address.
#[derive(Debug, Default)]
pub(crate) struct OtherLeaders {
    by_address: BTreeMap<SocketAddr, OtherLeader>,
    /// Increases with each answer.
    revision: u64,
}

/// One other leader.
#[derive(Debug, Default)]
pub(crate) struct OtherLeader {
    led: BTreeSet<DomainName>,
    answered_ms: Option<u64>,
    members: usize,
    services: BTreeMap<ServiceName, ServiceExchange>,
}

/// The exchange between another leader and this one about one service.
#[derive(Debug, Default)]
struct ServiceExchange {
    number: u64,
    /// Requests that arrived here since the last report to the other leader.
    arrivals: BTreeMap<ModelName, u32>,
    /// Whether the demand remembered here has been sent to the other leader.
    is_history_sent: bool,
    /// Demand in the last report to the other leader.
    reported: BTreeSet<Loadable>,
    /// Demand with which the other leader has planned.
    planned: BTreeSet<Loadable>,
    placements: PlacementMirror,
    view: ReplicaView,
}

impl OtherLeaders {
    /// Keeps only these leaders, and adds those that are new.
    pub(crate) fn update(&mut self, others: &BTreeMap<SocketAddr, (DomainName, u64)>) {
        self.by_address.retain(|address, _| others.contains_key(address));
        for (address, (group, _)) in others {
            let other = self.by_address.entry(*address).or_default();
            if other.answered_ms.is_none() {
                other.led.insert(group.clone());
            }
        }
    }

    /// Removes all leaders.
    pub(crate) fn clear(&mut self) {
        self.by_address.clear();
    }

    /// Counts requests that arrived at this leader's daemons.
    pub(crate) fn add_arrivals(&mut self, service: &ServiceName, report: &DemandReport) {
        for other in self.by_address.values_mut() {
            let exchange = other.services.entry(service.clone()).or_default();
            for (model, count) in &report.arrivals {
                *exchange.arrivals.entry(model.clone()).or_default() += count;
            }
        }
    }

    /// Returns the leader at an address, to build a report to it.
    pub(crate) fn get(&mut self, address: SocketAddr) -> Option<&mut OtherLeader> {
        self.by_address.get_mut(&address)
    }

    /// Records the answer of the leader at an address.
    pub(crate) fn record_answer(
        &mut self,
        address: SocketAddr,
        answer: WireSyncResponse,
        now_ms: u64,
    ) {
        if let Some(other) = self.by_address.get_mut(&address) {
            self.revision += 1;
            other.record_answer(answer, now_ms);
        }
    }

    /// Returns a number that increases with each answer.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the addresses of the leaders of some groups.
    pub(crate) fn addresses(&self, groups: &BTreeSet<DomainName>) -> BTreeSet<SocketAddr> {
        let leading = self.by_address.iter().filter(|(_, other)| !other.led.is_disjoint(groups));
        leading.map(|(address, _)| *address).collect()
    }

    /// Returns the leaders that have answered recently enough to count as reachable.
    pub(crate) fn reachable(&self, now_ms: u64) -> impl Iterator<Item = &OtherLeader> {
        self.by_address
            .values()
            .filter(move |other| other.has_answered_within(REACHABLE_MS, now_ms))
    }

    /// Returns what leaders with a recent enough answer report of a service's engines.
    pub(crate) fn engine_summaries<'a>(
        &'a self,
        service: &'a ServiceName,
        now_ms: u64,
    ) -> BTreeMap<&'a EndpointName, &'a EngineSummary> {
        let recent = self
            .by_address
            .values()
            .filter(move |other| other.has_answered_within(MAX_REPORT_AGE_MS, now_ms));
        let views = recent.filter_map(|other| other.services.get(service));
        views.flat_map(|exchange| exchange.view.engines.iter()).collect()
    }

    /// Returns how many daemons sync with the other leaders. For a leader that has not reported its
    /// number, `of_row` returns it from the lease rows of its groups.
    pub(crate) fn members(&self, of_row: impl Fn(&BTreeSet<DomainName>) -> usize) -> usize {
        let each = self.by_address.values().map(|other| match other.members {
            0 => of_row(&other.led),
            members => members,
        });
        each.sum()
    }
}

impl OtherLeader {
    fn has_answered_within(&self, within_ms: u64, now_ms: u64) -> bool {
        self.answered_ms.is_some_and(|answered_ms| now_ms < answered_ms + within_ms)
    }

    /// Returns the groups that the other leader leads.
    pub(crate) fn led(&self) -> &BTreeSet<DomainName> {
        &self.led
    }

    /// Returns when the models that the other leader is loading will be ready, and the age of that
    /// report.
    pub(crate) fn last_plan(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<(&BTreeMap<Loadable, u64>, u64)> {
        let exchange = self.services.get(service)?;
        let age_ms = self.answered_ms.map_or(0, |answered_ms| now_ms.saturating_sub(answered_ms));
        Some((&exchange.view.ready_in_ms, age_ms))
    }

    /// Returns the demand with which the other leader has planned.
    pub(crate) fn planned(&self, service: &ServiceName) -> impl Iterator<Item = &Loadable> {
        self.services.get(service).into_iter().flat_map(|exchange| &exchange.planned)
    }

    /// Returns the copies of the other leader's placement logs, by service.
    pub(crate) fn placements(&self) -> impl Iterator<Item = (&ServiceName, &PlacementMirror)> {
        self.services.iter().map(|(service, exchange)| (service, &exchange.placements))
    }

    /// Returns the next demand report for the other leader on a service.
    pub(crate) fn demand_report(
        &mut self,
        service: &ServiceName,
        state: &ServiceState,
        directory: &BTreeMap<EndpointName, Arc<Endpoint>>,
        now_ms: u64,
    ) -> WireDemandReport {
        let led = &self.led;
        let is_its_engine = |name: &EndpointName| {
            directory.get(name).is_some_and(|endpoint| led.contains(&endpoint.domain))
        };
        let is_its_demand = |loadable: &Loadable| {
            state.sharing.assigned_group(loadable).is_some_and(|group| led.contains(group))
        };
        let mut report = state.demand.report_for(is_its_engine, is_its_demand, now_ms);
        let exchange = self.services.entry(service.clone()).or_default();
        exchange.number += 1;
        exchange.reported = report.waiting.iter().map(Waiting::loadable).collect();
        report.number = exchange.number;
        report.arrivals = std::mem::take(&mut exchange.arrivals);
        report.past = (!exchange.is_history_sent).then(|| state.demand.own_history(now_ms));
        let (log, placements) = (exchange.placements.position().log, &exchange.placements);
        WireDemandReport::new(service, report, log, |name| placements.number(name))
    }

    /// Returns whether the other leader has planned with all demand of the last report.
    pub(crate) fn has_planned(&self) -> bool {
        let mut services = self.services.values();
        services.all(|exchange| exchange.reported.is_subset(&exchange.planned))
    }

    /// Records an answer of the other leader.
    fn record_answer(&mut self, answer: WireSyncResponse, now_ms: u64) {
        if !answer.is_leader {
            return;
        }
        self.answered_ms = Some(now_ms);
        self.led = answer.led.into_iter().map(DomainName::from).collect();
        self.members = answer.members as usize;
        for (service, mut view) in answer.views {
            let exchange = self.services.entry(service.into()).or_default();
            exchange.is_history_sent = true;
            if view.planned >= exchange.number {
                exchange.planned.clone_from(&exchange.reported);
            }
            exchange.placements.apply_delta(std::mem::take(&mut view.placements).into());
            exchange.view = view.into_view(&exchange.placements);
        }
    }
}
