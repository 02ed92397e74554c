//! Answers that wait until there is something to say.
//!
//! The load that this answers: callers that wait for a model which is on its way, of which sixty
//! daemons ask one leader. Asked each 180 ms, a daemon heard of the model's arrival 90 ms after
//! it on average, and twice as late where another leader brought it in, of the 500 ms in which
//! callers want a first word. So a question about wishes that are known already is answered
//! when one of them has arrived; and one with a new wish when everybody who sees to it has
//! planned with it.

use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ModelName, ServiceName, VmName};
use trestle_dispatch::{
    demand::{DemandReport, Waiting},
    loadable::Loadable,
    placement_log::PlacementPosition,
};
use trestle_wire::{relay::WireHave, replicas::WireSynced};

/// Longest time for which an answer about a new wish waits: another leader plans within some
/// 30 ms.
const NEW_MS: u64 = 100;
/// The same of an answer about wishes that are known: loads of engines and what changes in the
/// store must be told meanwhile.
const KNOWN_MS: u64 = 120;

/// An asker that waits for its answer.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Who told.
    pub(crate) teller: VmName,
    /// The group whose leader it asked for.
    pub(crate) group: String,
    /// Whether it asks as a leader.
    pub(crate) is_leader: bool,
    /// Takes the answer.
    pub(crate) reply: Sender<WireSynced>,
    have: WireHave,
    told: BTreeMap<ServiceName, Told>,
    asked_ms: u64,
    /// Whether it waits for something that it has not been answered about before.
    is_new: bool,
    /// Whether something that it waits for has arrived.
    has_news: bool,
}

/// What an asker told of one service.
#[derive(Debug, Default)]
struct Told {
    /// Number of its digest.
    number: u64,
    /// Models that it waits for.
    models: BTreeSet<ModelName>,
    /// The same, with adapters where those are missing.
    wishes: BTreeSet<Loadable>,
}

/// Askers that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Pendings {
    all: Vec<Pending>,
    /// What askers were last answered about.
    answered: BTreeMap<(VmName, ServiceName), BTreeSet<Loadable>>,
}

/// No models.
static NOTHING: BTreeSet<ModelName> = BTreeSet::new();

impl Pending {
    /// An asker that has told nothing yet.
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

    /// Notes what it told of a service.
    pub(crate) fn told(&mut self, service: &ServiceName, digest: &DemandReport) {
        let wishes: BTreeSet<Loadable> = digest.waiting.iter().map(Waiting::loadable).collect();
        let models = wishes.iter().map(|wish| wish.model.clone()).collect();
        self.told.insert(service.clone(), Told { number: digest.number, models, wishes });
    }

    /// How much it has of a service's log.
    pub(crate) fn position(&self, service: &ServiceName) -> PlacementPosition {
        let have = self.have.placements.get(service.as_str());
        have.copied().unwrap_or_default().into()
    }

    /// Models of a service that it waits for.
    pub(crate) fn models(&self, service: &ServiceName) -> &BTreeSet<ModelName> {
        self.told.get(service).map_or(&NOTHING, |told| &told.models)
    }

    /// Whether its wishes have been planned with, given the number of its last digest that was.
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

    /// Whether it is to be answered now.
    fn is_due(&self, now_ms: u64, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let asks_anew = self.is_new || !self.waits();
        self.has_news || (asks_anew && self.is_planned(planned)) || now_ms >= self.until_ms()
    }
}

impl Pendings {
    /// Has an asker wait.
    pub(crate) fn push(&mut self, mut pending: Pending) {
        let teller = &pending.teller;
        let mut told = pending.told.iter();
        pending.is_new = told.any(|(service, told)| {
            let before = self.answered.get(&(teller.clone(), service.clone()));
            !before.is_some_and(|before| told.wishes.is_subset(before))
        });
        self.all.push(pending);
    }

    /// Notes what engines of a service have become able to run, as leaders or others see it.
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

    /// Takes those that need not wait any longer.
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

    /// Whether somebody waits for news.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Forgets everybody, once this daemon leads no more. Those that wait ask again.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Time until the first has waited long enough.
    pub(crate) fn due_in_ms(&self, now_ms: u64) -> u64 {
        let due = self.all.iter().map(|pending| pending.until_ms().saturating_sub(now_ms));
        due.min().unwrap_or(u64::MAX)
    }
}
