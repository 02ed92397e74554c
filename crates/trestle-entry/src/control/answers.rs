//! Answers that wait until everybody who sees to an asker's wishes has planned with them.
//!
//! An asker that was answered at once would hear of its wish only at its next question, 180 ms
//! later with sixty daemons, of the 500 ms in which callers want a first word.

use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ModelName, ServiceName, VmName};
use trestle_dispatch::{demand::DemandDigest, placement_log::PlacementPosition};
use trestle_wire::{relay::WireHave, replicas::WireSynced};

use crate::control::telling;

/// Longest time for which an answer waits: another leader plans within some 30 ms, and the
/// asker's next question, with what its callers asked for meanwhile, waits behind it.
const LONGEST_MS: u64 = 100;

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
    /// By service, the number of its digest and the models that it waits for.
    told: BTreeMap<ServiceName, (u64, BTreeSet<ModelName>)>,
    until_ms: u64,
}

/// Askers that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Pendings {
    all: Vec<Pending>,
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
        let until_ms = now_ms + LONGEST_MS;
        Self { teller, group, is_leader, reply, have, told: BTreeMap::new(), until_ms }
    }

    /// Notes what it told of a service.
    pub(crate) fn told(&mut self, service: &ServiceName, digest: &DemandDigest) {
        let models = telling::models_of(digest);
        self.told.insert(service.clone(), (digest.number, models));
    }

    /// How much it has of a service's log.
    pub(crate) fn position(&self, service: &ServiceName) -> PlacementPosition {
        let have = self.have.placements.get(service.as_str());
        have.copied().unwrap_or_default().into()
    }

    /// Models of a service that it waits for.
    pub(crate) fn models(&self, service: &ServiceName) -> &BTreeSet<ModelName> {
        self.told.get(service).map_or(&NOTHING, |(_, models)| models)
    }

    /// Whether its wishes have been planned with, given the number of its last digest that was.
    fn is_planned(&self, planned: impl Fn(&ServiceName, &VmName) -> u64) -> bool {
        let mut waiting = self.told.iter().filter(|(_, (_, models))| !models.is_empty());
        waiting.all(|(service, (number, _))| planned(service, &self.teller) >= *number)
    }
}

impl Pendings {
    /// Has an asker wait.
    pub(crate) fn push(&mut self, pending: Pending) {
        self.all.push(pending);
    }

    /// Takes those that need not wait any longer.
    pub(crate) fn take_due(
        &mut self,
        now_ms: u64,
        planned: impl Fn(&ServiceName, &VmName) -> u64,
    ) -> Vec<Pending> {
        let is_due =
            |pending: &mut Pending| now_ms >= pending.until_ms || pending.is_planned(&planned);
        self.all.extract_if(.., is_due).collect()
    }

    /// Time until the first has waited long enough.
    pub(crate) fn due_in_ms(&self, now_ms: u64) -> u64 {
        let due = self.all.iter().map(|pending| pending.until_ms.saturating_sub(now_ms));
        due.min().unwrap_or(u64::MAX)
    }
}
