//! Sync answers that are held until there is something new to report.
//!
//! Answers are held because of a load in which callers wait for a model that is being loaded, while
//! sixty daemons sync with one leader. When each daemon polled every 180 ms, it learned of the
//! model's arrival 90 ms late on average, and twice as late where another leader loaded the model;
//! callers expect a first token within 500 ms. So a request about demand that was answered before
//! is held until one of the requested models has arrived. A request with new demand is held until
//! every leader that serves this demand has planned with it.

use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ModelName, ServiceName, VmName};
use trestle_dispatch::{
    demand::{DemandReport, Waiting},
    loadable::Loadable,
    placement_log::PlacementPosition,
};
use trestle_wire::{relay::WireSyncPosition, replicas::WireSyncResponse};

/// Longest time to hold an answer about new demand: another leader plans within some 30 ms.
const MAX_HOLD_NEW_MS: u64 = 100;
/// Longest time to hold an answer about known demand: the load on engines and changes in the
/// store must be reported meanwhile.
const MAX_HOLD_KNOWN_MS: u64 = 120;

/// A requester whose answer is held.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    /// The daemon that sent the request.
    pub(crate) requester: VmName,
    /// The group whose leader the requester addressed.
    pub(crate) group: String,
    /// Whether the requester sent the request as a leader.
    pub(crate) is_leader: bool,
    /// The channel for the answer.
    pub(crate) reply: Sender<WireSyncResponse>,
    positions: WireSyncPosition,
    reported: BTreeMap<ServiceName, ReportedDemand>,
    requested_ms: u64,
    /// Whether the requester waits for something about which it has not been answered before.
    has_new_demand: bool,
    /// Whether something that the requester waits for has arrived.
    has_arrival: bool,
}

/// The demand that a requester reported for one service.
#[derive(Debug, Default)]
struct ReportedDemand {
    /// The number of the demand report.
    number: u64,
    /// Models that the requester waits for.
    models: BTreeSet<ModelName>,
    /// Models that the requester waits for, with the adapter where that is missing.
    demand: BTreeSet<Loadable>,
}

/// Requesters whose answers are held.
#[derive(Debug, Default)]
pub(crate) struct HeldAnswers {
    all: Vec<HeldAnswer>,
    /// The demand of the last answered request, by requester and service.
    answered: BTreeMap<(VmName, ServiceName), BTreeSet<Loadable>>,
}

/// An empty set of models.
static NO_MODELS: BTreeSet<ModelName> = BTreeSet::new();

impl HeldAnswer {
    /// Returns a requester that has not reported any demand yet.
    pub(crate) fn new(
        requester: VmName,
        group: String,
        is_leader: bool,
        positions: WireSyncPosition,
        reply: Sender<WireSyncResponse>,
        now_ms: u64,
    ) -> Self {
        Self {
            requester,
            group,
            is_leader,
            reply,
            positions,
            reported: BTreeMap::new(),
            requested_ms: now_ms,
            has_new_demand: false,
            has_arrival: false,
        }
    }

    /// Records the demand that the requester reported for a service.
    pub(crate) fn add_demand(&mut self, service: &ServiceName, report: &DemandReport) {
        let demand: BTreeSet<Loadable> = report.waiting.iter().map(Waiting::loadable).collect();
        let models = demand.iter().map(|loadable| loadable.model.clone()).collect();
        self.reported
            .insert(service.clone(), ReportedDemand { number: report.number, models, demand });
    }

    /// Returns the position that the requester has reached in a service's placement log.
    pub(crate) fn position(&self, service: &ServiceName) -> PlacementPosition {
        let positions = self.positions.placements.get(service.as_str());
        positions.copied().unwrap_or_default().into()
    }

    /// Returns whether the requester knows of the store's eras, unlike earlier releases.
    pub(crate) fn knows_eras(&self) -> bool {
        self.positions.endpoints.has_era()
    }

    /// Returns the models of a service that the requester waits for.
    pub(crate) fn models(&self, service: &ServiceName) -> &BTreeSet<ModelName> {
        self.reported.get(service).map_or(&NO_MODELS, |reported| &reported.models)
    }

    /// Returns whether the reported demand has been planned with. `planned` returns the number of
    /// a requester's last demand report that was included in a plan.
    fn is_planned(&self, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let mut waiting = self.reported.iter().filter(|(_, reported)| !reported.models.is_empty());
        waiting.all(|(service, reported)| planned(service, &self.requester) >= reported.number)
    }

    fn has_demand(&self) -> bool {
        self.reported.values().any(|reported| !reported.demand.is_empty())
    }

    fn until_ms(&self) -> u64 {
        self.requested_ms + if self.has_new_demand { MAX_HOLD_NEW_MS } else { MAX_HOLD_KNOWN_MS }
    }

    /// Returns whether the answer is due now.
    fn is_due(&self, now_ms: u64, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let awaits_plan = self.has_new_demand || !self.has_demand();
        self.has_arrival || (awaits_plan && self.is_planned(planned)) || now_ms >= self.until_ms()
    }
}

impl HeldAnswers {
    /// Holds the answer to a requester.
    pub(crate) fn push(&mut self, mut held: HeldAnswer) {
        let requester = &held.requester;
        let mut reported = held.reported.iter();
        held.has_new_demand = reported.any(|(service, reported)| {
            let before = self.answered.get(&(requester.clone(), service.clone()));
            !before.is_some_and(|before| reported.demand.is_subset(before))
        });
        self.all.push(held);
    }

    /// Records which models engines of a service have become able to run, as reported to leaders
    /// (`is_leader`) or to other daemons.
    pub(crate) fn record_arrivals(
        &mut self,
        service: &ServiceName,
        is_leader: bool,
        arrived: &BTreeSet<Loadable>,
    ) {
        for held in self.all.iter_mut().filter(|held| held.is_leader == is_leader) {
            let reported = held.reported.get(service);
            held.has_arrival |=
                reported.is_some_and(|reported| !reported.demand.is_disjoint(arrived));
        }
    }

    /// Removes and returns the requesters whose answers are due.
    pub(crate) fn take_due(
        &mut self,
        now_ms: u64,
        planned: impl Fn(&ServiceName, &VmName) -> u64,
    ) -> Vec<HeldAnswer> {
        let is_due = |held: &mut HeldAnswer| held.is_due(now_ms, &planned);
        let due: Vec<HeldAnswer> = self.all.extract_if(.., is_due).collect();
        for held in &due {
            for (service, reported) in &held.reported {
                let key = (held.requester.clone(), service.clone());
                self.answered.insert(key, reported.demand.clone());
            }
        }
        due
    }

    /// Returns whether no answer is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Removes all requesters once this daemon no longer leads. They send their requests again.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until the first answer reaches its time limit.
    pub(crate) fn due_in_ms(&self, now_ms: u64) -> u64 {
        let due = self.all.iter().map(|held| held.until_ms().saturating_sub(now_ms));
        due.min().unwrap_or(u64::MAX)
    }
}
