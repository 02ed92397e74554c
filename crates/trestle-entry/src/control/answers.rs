//! Sync answers that are held until there is something new to report.
//!
//! This answers a load in which callers wait for a model that is being loaded, while sixty daemons
//! query one leader. When each daemon polled every 180 ms, it learned of the model's arrival 90 ms
//! late on average, and twice as late where another leader loaded the model; callers expect a
//! first token within 500 ms. So a request about demand that was answered before is held until one
//! of the requested models has arrived. A request with new demand is held until every leader that
//! serves this demand has planned with it.

use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ModelName, ServiceName, VmName};
use trestle_dispatch::{
    demand::{DemandReport, Waiting},
    loadable::Loadable,
    placement_log::PlacementPosition,
};
use trestle_wire::{relay::WireHave, replicas::WireSynced};

/// Longest time to hold an answer about new demand: another leader plans within some 30 ms.
const NEW_MS: u64 = 100;
/// Longest time to hold an answer about known demand: engine loads and changes in the store must
/// be reported meanwhile.
const KNOWN_MS: u64 = 120;

/// A requester whose answer is held.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The daemon that sent the request.
    pub(crate) teller: VmName,
    /// The group whose leader the requester addressed.
    pub(crate) group: String,
    /// Whether the requester sent the request as a leader.
    pub(crate) is_leader: bool,
    /// The channel for the answer.
    pub(crate) reply: Sender<WireSynced>,
    have: WireHave,
    told: BTreeMap<ServiceName, Told>,
    asked_ms: u64,
    /// Whether the requester waits for something about which it has not been answered before.
    is_new: bool,
    /// Whether something that the requester waits for has arrived.
    has_news: bool,
}

/// The demand that a requester reported for one service.
#[derive(Debug, Default)]
struct Told {
    /// The number of the demand report.
    number: u64,
    /// Models that the requester waits for.
    models: BTreeSet<ModelName>,
    /// Models that the requester waits for, with the adapter where that is missing.
    wishes: BTreeSet<Loadable>,
}

/// Requesters whose answers are held.
#[derive(Debug, Default)]
pub(crate) struct Pendings {
    all: Vec<Pending>,
    /// The demand of the last answered request, by requester and service.
    answered: BTreeMap<(VmName, ServiceName), BTreeSet<Loadable>>,
}

/// An empty set of models.
static NOTHING: BTreeSet<ModelName> = BTreeSet::new();

impl Pending {
    /// Returns a requester that has not reported any demand yet.
    pub(crate) fn new(
        teller: VmName,
        group: String,
        is_leader: bool,
        have: WireHave,
        reply: Sender<WireSynced>,
        now_ms: u64,
    ) -> Self {
        Self {
            teller,
            group,
            is_leader,
            reply,
            have,
            told: BTreeMap::new(),
            asked_ms: now_ms,
            is_new: false,
            has_news: false,
        }
    }

    /// Records the demand that the requester reported for a service.
    pub(crate) fn told(&mut self, service: &ServiceName, digest: &DemandReport) {
        let wishes: BTreeSet<Loadable> = digest.waiting.iter().map(Waiting::loadable).collect();
        let models = wishes.iter().map(|wish| wish.model.clone()).collect();
        self.told.insert(service.clone(), Told { number: digest.number, models, wishes });
    }

    /// Returns the position that the requester has reached in a service's placement log.
    pub(crate) fn position(&self, service: &ServiceName) -> PlacementPosition {
        let have = self.have.placements.get(service.as_str());
        have.copied().unwrap_or_default().into()
    }

    /// Returns the models of a service that the requester waits for.
    pub(crate) fn models(&self, service: &ServiceName) -> &BTreeSet<ModelName> {
        self.told.get(service).map_or(&NOTHING, |told| &told.models)
    }

    /// Returns whether the reported demand has been planned with. `planned` returns the number of
    /// a requester's last demand report that was included in a plan.
    fn is_planned(&self, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let mut waiting = self.told.iter().filter(|(_, told)| !told.models.is_empty());
        waiting.all(|(service, told)| planned(service, &self.teller) >= told.number)
    }

    fn waits(&self) -> bool {
        self.told.values().any(|told| !told.wishes.is_empty())
    }

    fn until_ms(&self) -> u64 {
        self.asked_ms + if self.is_new { NEW_MS } else { KNOWN_MS }
    }

    /// Returns whether the answer is due now.
    fn is_due(&self, now_ms: u64, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let asks_anew = self.is_new || !self.waits();
        self.has_news || (asks_anew && self.is_planned(planned)) || now_ms >= self.until_ms()
    }
}

impl Pendings {
    /// Holds the answer to a requester.
    pub(crate) fn push(&mut self, mut pending: Pending) {
        let teller = &pending.teller;
        let mut told = pending.told.iter();
        pending.is_new = told.any(|(service, told)| {
            let before = self.answered.get(&(teller.clone(), service.clone()));
            !before.is_some_and(|before| told.wishes.is_subset(before))
        });
        self.all.push(pending);
    }

    /// Records which models engines of a service have become able to run, as sent to leaders or to
    /// other daemons.
    pub(crate) fn arrived(
        &mut self,
        service: &ServiceName,
        is_leader: bool,
        arrived: &BTreeSet<Loadable>,
    ) {
        for pending in self.all.iter_mut().filter(|pending| pending.is_leader == is_leader) {
            let told = pending.told.get(service);
            pending.has_news |= told.is_some_and(|told| !told.wishes.is_disjoint(arrived));
        }
    }

    /// Removes and returns the requesters whose answers are due.
    pub(crate) fn take_due(
        &mut self,
        now_ms: u64,
        planned: impl Fn(&ServiceName, &VmName) -> u64,
    ) -> Vec<Pending> {
        let is_due = |pending: &mut Pending| pending.is_due(now_ms, &planned);
        let due: Vec<Pending> = self.all.extract_if(.., is_due).collect();
        for pending in &due {
            for (service, told) in &pending.told {
                let key = (pending.teller.clone(), service.clone());
                self.answered.insert(key, told.wishes.clone());
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
        let due = self.all.iter().map(|pending| pending.until_ms().saturating_sub(now_ms));
        due.min().unwrap_or(u64::MAX)
    }
}
