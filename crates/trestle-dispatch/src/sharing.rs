//! Which of several leaders sees to a model that somebody waits for.
//!
//! The load that this answers: engines of several failure domains, each with a leader of its
//! own, and models of which three copies lie near engines anywhere. A caller's daemon asks its
//! own domain's leader, so two leaders may want the same model, and if each brought it in, the
//! second place would be taken from a model that nobody can reach. So all leaders work out, by
//! the same rule over nearly the same knowledge, one group of engines whose leader brings a
//! model in, and tell that leader of the wish. Where two disagree for a moment, the model gets
//! a place more than it needs, and the next plan takes it back.
//!
//! Any leader may let a model make way at its own engines. It counts the replicas elsewhere, so
//! what it takes for the last one is the last one of all.

use crate::{
    catalog::{EngineSpec, ModelSpec},
    endpoint::{Endpoint, Held},
    loadable::Loadable,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ModelName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a wish stays with the group that it was given to: a load from disk takes
/// about a third of that, and a second group would begin one of its own.
const SETTLED_MS: u64 = 2_000;
/// The same where the model was there or on its way: it may go meanwhile.
const PRESENT_MS: u64 = 200;
/// Time after which a leader that has not answered for a wish no longer keeps its callers
/// waiting for an answer.
const UNANSWERED_MS: u64 = 400;
/// Time without a wish after which the next one for the same model is a new one, of which the
/// leader that sees to it has yet to hear; plans follow each other within 100 ms.
const NEW_AGAIN_MS: u64 = 300;
/// Time after which a wish that nobody has any more is forgotten.
const FORGOTTEN_MS: u64 = 5_000;
/// What a quarter of an engine's slots that is full counts against a load's time: loads of
/// engines differ between two leaders by what is on its way between them, steps hide that.
const FILL_STEP_MS: u64 = 200;
/// Steps from an idle engine to a full one.
const FILL_STEPS: u64 = 4;

/// One engine, as a leader sees it.
#[derive(Debug, Clone, Copy)]
pub struct EngineView<'a> {
    /// Its entry.
    pub endpoint: &'a Endpoint,
    /// What it can run.
    pub holds: &'a Held,
    /// Requests that run there.
    pub running: u32,
}

/// An engine that another leader orders.
#[derive(Debug, Clone)]
pub struct ForeignEngine {
    /// Its entry.
    pub endpoint: Arc<Endpoint>,
    /// What it can run.
    pub holds: Held,
    /// Requests that run there.
    pub running: u32,
}

/// What a leader knows of engines that others order.
#[derive(Debug, Default)]
pub struct Sharing {
    own_groups: BTreeSet<DomainName>,
    /// Groups with a leader that answers, this one's included.
    live_groups: BTreeSet<DomainName>,
    other_leader_count: usize,
    engines: BTreeMap<EndpointName, ForeignEngine>,
    /// Models that another leader is bringing in, with its group.
    loading: BTreeMap<ModelName, DomainName>,
    /// Wishes of this one's daemons with which other leaders have planned.
    planned: BTreeSet<Loadable>,
    homes: BTreeMap<Loadable, Home>,
}

#[derive(Debug, Clone)]
struct Home {
    group: DomainName,
    /// Since when somebody has waited.
    since_ms: u64,
    /// When somebody last waited.
    wanted_ms: u64,
    /// Until when the group stays the same.
    until_ms: u64,
}

/// What a leader hears of the others.
#[derive(Debug, Default)]
pub struct OtherLeaders {
    /// Groups that this leader orders.
    pub own_groups: BTreeSet<DomainName>,
    /// Groups of other leaders that answer.
    pub live_groups: BTreeSet<DomainName>,
    /// Other leaders.
    pub other_leader_count: usize,
    /// Engines of all other groups.
    pub engines: BTreeMap<EndpointName, ForeignEngine>,
    /// Models that others are bringing in, with their groups.
    pub loading: BTreeMap<ModelName, DomainName>,
    /// Wishes of this leader's daemons with which they have planned.
    pub planned: BTreeSet<Loadable>,
}

impl Sharing {
    /// Takes what is known of the others now.
    pub fn update(&mut self, others: OtherLeaders) {
        let OtherLeaders {
            own_groups,
            mut live_groups,
            other_leader_count,
            engines,
            loading,
            planned,
        } = others;
        live_groups.extend(own_groups.iter().cloned());
        self.own_groups = own_groups;
        self.live_groups = live_groups;
        self.other_leader_count = other_leader_count;
        self.engines = engines;
        self.loading = loading;
        self.planned = planned;
    }

    /// Whether nobody else orders engines.
    pub fn is_alone(&self) -> bool {
        self.engines.is_empty()
    }

    /// Leaders that share the weight store.
    pub fn leader_count(&self) -> usize {
        self.other_leader_count + 1
    }

    /// Engines that others order.
    pub fn engines(&self) -> impl Iterator<Item = &ForeignEngine> {
        self.engines.values()
    }

    /// Whether this leader sees to what its own daemons wait for.
    pub fn is_assigned_here(&self, wish: &Loadable) -> bool {
        self.assigned_group(wish).is_none_or(|group| self.own_groups.contains(group))
    }

    /// The group whose leader sees to a wish, where that was worked out.
    pub fn assigned_group(&self, wish: &Loadable) -> Option<&DomainName> {
        self.homes.get(wish).map(|home| &home.group)
    }

    /// Whether whoever sees to a wish has planned with it, or had the time to.
    pub fn is_planned(&self, wish: &Loadable, now_ms: u64) -> bool {
        let Some(home) = self.homes.get(wish) else { return true };
        self.own_groups.contains(&home.group)
            || self.planned.contains(wish)
            || now_ms >= home.since_ms + UNANSWERED_MS
    }

    /// Works out who sees to each thing that this leader's daemons wait for. `own` are the
    /// engines that it orders itself.
    pub fn assign(
        &mut self,
        wishes: impl Iterator<Item = Loadable>,
        spec: &EngineSpec,
        own: &[EngineView<'_>],
        now_ms: u64,
    ) {
        let known = Hosts::new(self.live_hosts(own));
        let assigned: Vec<(Loadable, Home)> =
            wishes.filter_map(|wish| self.home(wish, spec, &known, now_ms)).collect();
        self.homes.extend(assigned);
    }

    /// Whether the group that sees to a wish stays the same for now.
    pub fn is_settled(&self, wish: &Loadable, now_ms: u64) -> bool {
        let home = self.homes.get(wish);
        home.is_some_and(|home| now_ms < home.until_ms && self.live_groups.contains(&home.group))
    }

    /// Notes that somebody still waits for these.
    pub fn renew(&mut self, wishes: &[Loadable], now_ms: u64) {
        for wish in wishes {
            if let Some(home) = self.homes.get_mut(wish) {
                if now_ms >= home.wanted_ms + NEW_AGAIN_MS {
                    home.since_ms = now_ms;
                }
                home.wanted_ms = now_ms;
            }
        }
    }

    fn home(
        &self,
        wish: Loadable,
        spec: &EngineSpec,
        known: &Hosts<'_>,
        now_ms: u64,
    ) -> Option<(Loadable, Home)> {
        let before = self.homes.get(&wish);
        let waited_on = before.filter(|home| now_ms < home.wanted_ms + NEW_AGAIN_MS);
        let since_ms = waited_on.map_or(now_ms, |home| home.since_ms);
        let (group, until_ms) = self.work_out(&wish, spec, known, now_ms)?;
        Some((wish, Home { group, since_ms, wanted_ms: now_ms, until_ms }))
    }

    /// The group that sees to a wish now, and until when it stays the same.
    ///
    /// An adapter goes to one replica of its model, whoever wants it: replicas hold few, and 254
    /// adapters of one model would otherwise take a place in each domain.
    fn work_out(
        &self,
        wish: &Loadable,
        spec: &EngineSpec,
        known: &Hosts<'_>,
        now_ms: u64,
    ) -> Option<(DomainName, u64)> {
        let model = &wish.model;
        let holders = known.holders.get(model).into_iter().flatten();
        if let Some(holder) = holders.min_by_key(|host| rank(wish, host.endpoint)) {
            return Some((holder.endpoint.domain.clone(), now_ms + PRESENT_MS));
        }
        if let Some(group) =
            self.loading.get(model).filter(|group| self.live_groups.contains(*group))
        {
            return Some((group.clone(), now_ms + PRESENT_MS));
        }
        let spec = spec.models.get(model)?;
        let group = best(model, spec, known.all.iter().copied())?;
        Some((group.clone(), now_ms + SETTLED_MS))
    }

    /// Whether this leader's engines should get the next replica of a model.
    pub fn is_next_replica_here(
        &self,
        model: &ModelName,
        spec: &ModelSpec,
        own: &[EngineView<'_>],
    ) -> bool {
        let is_coming_elsewhere = self.loading.contains_key(model);
        let hosts = self.live_hosts(own).into_iter();
        let group = best(model, spec, hosts.filter(|host| !host.holds.contains_key(model)));
        !is_coming_elsewhere && group.is_some_and(|group| self.own_groups.contains(group))
    }

    /// Forgets models that nobody waits for any more.
    pub fn drop_lapsed(&mut self, now_ms: u64) {
        self.homes.retain(|_, home| now_ms < home.wanted_ms + FORGOTTEN_MS);
    }

    /// All engines of groups with a leader that answers.
    fn live_hosts<'a>(&'a self, own: &[EngineView<'a>]) -> Vec<EngineView<'a>> {
        let foreign = self.engines.values().map(|foreign| EngineView {
            endpoint: &foreign.endpoint,
            holds: &foreign.holds,
            running: foreign.running,
        });
        let hosts = own.iter().copied().chain(foreign);
        hosts.filter(|host| self.live_groups.contains(&host.endpoint.domain)).collect()
    }
}

/// Engines, also by what they hold; one list serves all wishes of a plan.
struct Hosts<'a> {
    all: Vec<EngineView<'a>>,
    holders: BTreeMap<&'a ModelName, Vec<EngineView<'a>>>,
}

impl<'a> Hosts<'a> {
    fn new(all: Vec<EngineView<'a>>) -> Self {
        let mut holders: BTreeMap<&ModelName, Vec<EngineView<'_>>> = BTreeMap::new();
        for host in &all {
            for model in host.holds.keys() {
                holders.entry(model).or_default().push(*host);
            }
        }
        Self { all, holders }
    }
}

/// The group of the engine that brings a model in soonest.
fn best<'a>(
    model: &ModelName,
    spec: &ModelSpec,
    hosts: impl Iterator<Item = EngineView<'a>>,
) -> Option<&'a DomainName> {
    let ranked = hosts.map(|host| {
        let endpoint = host.endpoint;
        let slots = u64::from(endpoint.slots.max(1));
        let steps = (u64::from(host.running) * FILL_STEPS / slots).min(FILL_STEPS);
        let cost_ms = spec.load_ms(endpoint, model).0 + steps * FILL_STEP_MS;
        (cost_ms, rank(&Loadable::model(model), endpoint), &endpoint.domain)
    });
    ranked.min().map(|(.., group)| group)
}

/// Decides between engines that are as good, alike at all leaders.
fn rank(wish: &Loadable, endpoint: &Endpoint) -> u64 {
    let seed = xxh3_64_with_seed(wish.model.as_str().as_bytes(), 0);
    let adapter = wish.adapter.as_ref().map_or("", AsRef::as_ref);
    let seed = xxh3_64_with_seed(adapter.as_bytes(), seed);
    xxh3_64_with_seed(endpoint.name.as_str().as_bytes(), seed)
}
