//! The list of live endpoints, as the store tells it.
//!
//! The list can be wrong for a while: entries lapse while the store is away
//! although their endpoints live. Such an entry is kept until it had time to
//! come back. An entry that says "leaving" is believed until the endpoint starts again,
//! whatever an older message says later.

use crate::endpoint::{Endpoint, Held, Life};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ServiceName};

/// Time after the store's return in which lapsed entries come back, if their
/// endpoints live. The users' letter says about two seconds.
const COME_BACK_MS: u64 = 2_000;
/// Time that a request may take from the choice of its endpoint until it gets there.
const ON_ITS_WAY_MS: u64 = 300;

/// The list of live endpoints.
#[derive(Debug)]
pub struct Directory {
    endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    /// Starts of endpoints that were ever seen leaving.
    leaving: BTreeSet<Life>,
    /// Entries that vanished in a time of doubt, and when they count as gone.
    lapsed_until_ms: BTreeMap<EndpointName, u64>,
    /// Time for which an endpoint that has left may still get requests.
    leaving_ms: u64,
    is_unread: bool,
    read_again_ms: Option<u64>,
}

impl Directory {
    /// An empty list; endpoints that have left may get requests for so long.
    pub fn new(leaving_ms: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            leaving: BTreeSet::new(),
            lapsed_until_ms: BTreeMap::new(),
            leaving_ms,
            is_unread: false,
            read_again_ms: None,
        }
    }

    /// Sets the time for which an endpoint that has left may still get requests.
    pub fn set_leaving_ms(&mut self, leaving_ms: u64) {
        self.leaving_ms = leaving_ms;
    }

    /// Takes an entry that was written.
    pub fn written(&mut self, mut endpoint: Endpoint) {
        self.lapsed_until_ms.remove(&endpoint.name);
        if endpoint.is_leaving {
            self.leaving.insert(endpoint.life());
        }
        endpoint.is_leaving |= self.leaving.contains(&endpoint.life());
        // Numbers start anew with each start; entries of two starts come in the store's order.
        if let Some(known) = self.endpoints.get(&endpoint.name)
            && known.born_ms == endpoint.born_ms
            && known.entry_number > endpoint.entry_number
        {
            // An older message that arrived late: only its news of leaving counts.
            let is_leaving = endpoint.is_leaving;
            endpoint = Endpoint { is_leaving, ..Endpoint::clone(known) };
        }
        self.endpoints.insert(endpoint.name.clone(), Arc::new(endpoint));
    }

    /// Takes an entry that says nothing of what its engine holds.
    pub fn listed(&mut self, mut endpoint: Endpoint) {
        let known = self.endpoints.get(&endpoint.name);
        if let Some(known) = known.filter(|known| known.born_ms == endpoint.born_ms) {
            endpoint.entry_number = known.entry_number;
            endpoint.held.clone_from(&known.held);
            endpoint.in_memory.clone_from(&known.in_memory);
            endpoint.on_disk.clone_from(&known.on_disk);
        }
        self.written(endpoint);
    }

    /// Takes what an engine is thought to hold.
    pub fn assume_held(&mut self, name: &EndpointName, held: Held) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            Arc::make_mut(endpoint).held = held;
        }
    }

    /// Takes the removal of an entry.
    pub fn removed(&mut self, name: &EndpointName, now_ms: u64) {
        let come_back_until_ms = self.read_again_ms.map_or(0, |at_ms| at_ms + COME_BACK_MS);
        let known = self.endpoints.get(name);
        let is_staying = known.is_some_and(|known| !self.leaving.contains(&known.life()));
        if is_staying && now_ms < come_back_until_ms {
            let left_until_ms = now_ms + self.leaving_ms.saturating_sub(ON_ITS_WAY_MS);
            let until_ms = come_back_until_ms.min(left_until_ms);
            self.lapsed_until_ms.entry(name.clone()).or_insert(until_ms);
        } else {
            self.endpoints.remove(name);
            self.lapsed_until_ms.remove(name);
        }
    }

    /// Takes the whole list: what is not in it was removed.
    pub fn replaced(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let listed: BTreeSet<EndpointName> =
            endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for endpoint in endpoints {
            self.written(endpoint);
        }
        self.keep_listed(&listed, now_ms);
    }

    /// Takes that just these are listed: what is not was removed.
    pub fn keep_listed(&mut self, listed: &BTreeSet<EndpointName>, now_ms: u64) {
        let missing: Vec<EndpointName> =
            self.endpoints.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            self.removed(&name, now_ms);
        }
    }

    /// Notes whether the store could be read.
    pub fn read(&mut self, was_read: bool, now_ms: u64) {
        if was_read && self.is_unread {
            self.read_again_ms = Some(now_ms);
        }
        self.is_unread = !was_read;
    }

    /// Drops entries that had time to come back and did not.
    pub fn tick(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let due: Vec<EndpointName> = self
            .lapsed_until_ms
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &due {
            self.lapsed_until_ms.remove(name);
            self.endpoints.remove(name);
        }
        due
    }

    /// Whether this start of an endpoint is listed.
    pub fn lists(&self, life: &Life) -> bool {
        self.get(&life.name).is_some_and(|known| known.born_ms == life.born_ms)
    }

    /// Whether a start of an endpoint was ever seen leaving.
    pub fn was_leaving(&self, life: &Life) -> bool {
        self.leaving.contains(life)
    }

    /// The endpoint with a name.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name).map(AsRef::as_ref)
    }

    /// All endpoints that are listed.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(AsRef::as_ref)
    }

    /// The failure domains that have endpoints.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let mut domains = BTreeSet::new();
        for endpoint in self.iter() {
            if !domains.contains(&endpoint.domain) {
                domains.insert(endpoint.domain.clone());
            }
        }
        domains
    }

    /// The same as [`Self::usable`], to be kept.
    pub fn usable_shared<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let listed = self.endpoints.values();
        listed.filter(move |endpoint| endpoint.service == *service && !endpoint.is_leaving)
    }

    /// Endpoints of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Endpoint> {
        self.iter().filter(move |endpoint| endpoint.service == *service && !endpoint.is_leaving)
    }
}
