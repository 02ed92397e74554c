//! The list of live endpoints, as the store tells it.
//!
//! The list can be wrong for a while: entries lapse while the store is away
//! although their endpoints live. Such an entry is kept until it had time to
//! come back. An entry that says "leaving" is believed until the endpoint starts again,
//! whatever an older message says later.

use crate::{
    departures::{Departure, Departures},
    endpoint::{Endpoint, Held, Incarnation},
};
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
    /// Starts of endpoints that left or are gone.
    departures: Departures,
    /// Entries that vanished in a time of doubt, and when they count as gone.
    lapsed_until_ms: BTreeMap<EndpointName, u64>,
    /// Time for which an endpoint that has left may still get requests.
    leaving_ms: u64,
    /// When the store was last read.
    read_ms: u64,
    /// Since when it cannot be read.
    unread_since_ms: Option<u64>,
    /// The last time without the store.
    gap: Option<Gap>,
}

/// A time in which the store could not be read.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// When it was last read before.
    known_ms: u64,
    /// How long it is known not to have answered.
    length_ms: u64,
    /// When it was read again.
    over_ms: u64,
}

impl Directory {
    /// An empty list; endpoints that have left may get requests for so long.
    pub fn new(leaving_ms: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            departures: Departures::default(),
            lapsed_until_ms: BTreeMap::new(),
            leaving_ms,
            read_ms: 0,
            unread_since_ms: None,
            gap: None,
        }
    }

    /// Sets the time for which an endpoint that has left may still get requests.
    pub fn set_draining_ms(&mut self, leaving_ms: u64) {
        self.leaving_ms = leaving_ms;
    }

    /// Takes an entry that was written. One that its endpoint had written before its last one
    /// was removed names nothing to use, and neither does another writer's; returns whether it
    /// is taken.
    pub fn apply_written(&mut self, mut endpoint: Endpoint) -> bool {
        if self.departures.is_foreign(&endpoint) {
            self.departures.record_foreign_entry(&endpoint.name);
            return false;
        }
        if self.is_of_before(&endpoint) {
            return false;
        }
        self.lapsed_until_ms.remove(&endpoint.name);
        if endpoint.is_draining {
            self.departures.mark_draining(endpoint.incarnation());
        }
        endpoint.is_draining |= self.was_draining(&endpoint.incarnation());
        // Numbers start anew with each start; entries of two starts come in the store's order.
        if let Some(known) = self.endpoints.get(&endpoint.name)
            && known.started_unix_ms == endpoint.started_unix_ms
            && known.entry_number > endpoint.entry_number
        {
            // An older message that arrived late: only its news of leaving counts.
            let is_leaving = endpoint.is_draining;
            endpoint = Endpoint { is_draining: is_leaving, ..Endpoint::clone(known) };
        }
        self.endpoints.insert(endpoint.name.clone(), Arc::new(endpoint));
        true
    }

    /// Takes an entry that says nothing of what its engine holds; returns whether it is taken.
    pub fn apply_listed(&mut self, mut endpoint: Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.name);
        if let Some(known) = known.filter(|known| known.started_unix_ms == endpoint.started_unix_ms)
        {
            endpoint.entry_number = endpoint.entry_number.max(known.entry_number);
            endpoint.held.clone_from(&known.held);
            endpoint.in_memory.clone_from(&known.in_memory);
            endpoint.on_disk.clone_from(&known.on_disk);
        }
        self.apply_written(endpoint)
    }

    /// Whether an entry is none that its endpoint wrote after its last one was removed. Where
    /// starts cannot be told apart, numbers may have begun anew.
    fn is_of_before(&self, endpoint: &Endpoint) -> bool {
        if !endpoint.has_start_time() {
            return false;
        }
        let last = self.departures.last_number(&endpoint.incarnation());
        let is_listed = self.contains(&endpoint.incarnation());
        let is_kept = is_listed && !self.lapsed_until_ms.contains_key(&endpoint.name);
        !is_kept && last.is_some_and(|last| endpoint.entry_number <= last)
    }

    /// Takes that a start of an endpoint has said in an answer that it leaves; returns whether
    /// that is news. No entry says more of it than the endpoint does.
    pub fn mark_draining(&mut self, incarnation: &Incarnation) -> bool {
        if self.was_draining(incarnation) {
            return false;
        }
        self.departures.mark_draining(incarnation.clone());
        let listed = self.endpoints.get_mut(&incarnation.name);
        if let Some(endpoint) =
            listed.filter(|endpoint| endpoint.started_unix_ms == incarnation.started_unix_ms)
        {
            Arc::make_mut(endpoint).is_draining = true;
        }
        true
    }

    /// Starts of endpoints that left or are gone, to be told to daemons that may not have heard of
    /// them, so many at most.
    pub fn departures(&self, most: usize) -> Vec<Departure> {
        self.departures.reports(most, |incarnation| self.contains(incarnation))
    }

    /// Takes what another daemon knows of an endpoint that left or is gone; returns whether one
    /// that is listed here names nothing to use by that.
    pub fn apply_departure(&mut self, departure: &Departure) -> bool {
        if !self.departures.apply(departure) {
            return false;
        }
        let name = &departure.incarnation.name;
        let Some(listed) = self.endpoints.get_mut(name) else { return false };
        if self.departures.was_draining(&listed.incarnation()) {
            Arc::make_mut(listed).is_draining = true;
        }
        let listed = Endpoint::clone(listed);
        let last =
            self.departures.last_number(&listed.incarnation()).filter(|_| listed.has_start_time());
        let is_of_before = last.is_some_and(|last| listed.entry_number <= last);
        let is_foreign = self.departures.is_foreign(&listed);
        if is_foreign {
            self.departures.record_foreign_entry(name);
        }
        let names_nothing = is_foreign || is_of_before;
        if names_nothing {
            self.endpoints.remove(name);
            self.lapsed_until_ms.remove(name);
        }
        names_nothing
    }

    /// Takes what an engine is thought to hold.
    pub fn assume_held(&mut self, name: &EndpointName, held: Held) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            Arc::make_mut(endpoint).held = held;
        }
    }

    /// Takes the removal of an entry.
    pub fn apply_removal(&mut self, name: &EndpointName, now_ms: u64) {
        let Some(known) = self.endpoints.get(name) else { return };
        let (incarnation, last_number) = (known.incarnation(), known.entry_number);
        let is_staying = !self.was_draining(&incarnation);
        let kept_until_ms = self.kept_until_ms(now_ms).filter(|until| now_ms < *until);
        self.departures.removed(incarnation, last_number);
        match kept_until_ms {
            Some(until_ms) if is_staying => {
                self.lapsed_until_ms.entry(name.clone()).or_insert(until_ms);
            }
            _ => {
                self.endpoints.remove(name);
                self.lapsed_until_ms.remove(name);
            }
        }
    }

    /// Until when an entry that is removed now may have lapsed only because the store was away.
    /// Entries do not lapse within a short time without the store: what is removed then has
    /// left, at the earliest when the list was last known.
    fn kept_until_ms(&self, now_ms: u64) -> Option<u64> {
        let gap = self.gap?;
        let left_for_ms = self.leaving_ms.saturating_sub(ON_ITS_WAY_MS);
        let until_ms = (gap.over_ms + COME_BACK_MS).min(now_ms + left_for_ms);
        let is_short = gap.length_ms < left_for_ms;
        Some(if is_short { until_ms.min(gap.known_ms + left_for_ms) } else { until_ms })
    }

    /// Takes the whole list: what is not in it was removed.
    pub fn replace_all(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let listed: BTreeSet<EndpointName> =
            endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for endpoint in endpoints {
            self.apply_written(endpoint);
        }
        self.retain_listed(&listed, now_ms);
    }

    /// Takes that just these are listed: what is not was removed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<EndpointName>, now_ms: u64) {
        let missing: Vec<EndpointName> =
            self.endpoints.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            self.apply_removal(&name, now_ms);
        }
    }

    /// Notes whether the store could be read.
    pub fn record_read(&mut self, was_read: bool, now_ms: u64) {
        if !was_read {
            self.unread_since_ms.get_or_insert(now_ms);
            return;
        }
        if let Some(since_ms) = self.unread_since_ms.take() {
            let length_ms = now_ms.saturating_sub(since_ms);
            self.gap = Some(Gap { known_ms: self.read_ms, length_ms, over_ms: now_ms });
        }
        self.read_ms = now_ms;
    }

    /// Drops entries that had time to come back and did not.
    pub fn drop_lapsed(&mut self, now_ms: u64) -> Vec<EndpointName> {
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
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.get(&incarnation.name)
            .is_some_and(|known| known.started_unix_ms == incarnation.started_unix_ms)
    }

    /// Whether a start of an endpoint was ever seen leaving.
    pub fn was_draining(&self, incarnation: &Incarnation) -> bool {
        self.departures.was_draining(incarnation)
    }

    /// The endpoint with a name.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name).map(AsRef::as_ref)
    }

    /// Whether a start of an endpoint is listed and not leaving.
    pub fn is_usable(&self, incarnation: &Incarnation) -> bool {
        let known = self
            .get(&incarnation.name)
            .filter(|known| known.started_unix_ms == incarnation.started_unix_ms);
        known.is_some_and(|known| !known.is_draining)
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
        listed.filter(move |endpoint| endpoint.service == *service && !endpoint.is_draining)
    }

    /// Endpoints of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Endpoint> {
        self.iter().filter(move |endpoint| endpoint.service == *service && !endpoint.is_draining)
    }
}
