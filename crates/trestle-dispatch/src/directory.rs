//! The live endpoints, according to the entries in the store.
//!
//! The entries can be wrong for a while: they lapse while the store is unavailable although their
//! endpoints are alive. Such an entry is kept until its endpoint has had time to write it again.
//! The draining mark of an entry stays in force until the endpoint restarts, even if an older
//! message that arrives later lacks the mark.

use crate::{
    departures::{Departure, Departures},
    earlier_starts::EarlierStarts,
    endpoint::{Endpoint, Held, Incarnation},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ServiceName, SoftwareVersion};

/// Time after the store's return in which live endpoints write their lapsed entries again.
/// Endpoints are specified to do so within about two seconds.
const REWRITE_MS: u64 = 2_000;
/// Longest time from the choice of an endpoint until the request arrives there.
const IN_TRANSIT_MS: u64 = 300;

/// The live endpoints.
#[derive(Debug)]
pub struct Directory {
    endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    /// Incarnations that are draining or gone.
    departures: Departures,
    /// Entries of starts that seem to be earlier than one that drains.
    earlier_starts: EarlierStarts,
    /// Entries that lapsed when the store was, or had just been, unavailable, and the time until
    /// which each is kept.
    lapsed_until_ms: BTreeMap<EndpointName, u64>,
    /// Longest time for which requests may be sent to an endpoint after it announced that it
    /// drains.
    draining_ms: u64,
    /// When the store was last read.
    read_ms: u64,
    /// Since when the store cannot be read; `None` while it can.
    unread_since_ms: Option<u64>,
    /// The most recent period without the store.
    last_outage: Option<StoreOutage>,
}

/// A period in which the store could not be read.
#[derive(Debug, Clone, Copy)]
struct StoreOutage {
    /// Time of the last read before the period.
    last_read_ms: u64,
    /// Known length of the period; `u64::MAX` if entries may be missing however short it was.
    length_ms: u64,
    /// Time of the first read after the period.
    ended_ms: u64,
}

impl Directory {
    /// Returns an empty directory. Requests may be sent to an endpoint for `draining_ms` after it
    /// announced that it drains.
    pub fn new(draining_ms: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            departures: Departures::default(),
            earlier_starts: EarlierStarts::default(),
            lapsed_until_ms: BTreeMap::new(),
            draining_ms,
            read_ms: 0,
            unread_since_ms: None,
            last_outage: None,
        }
    }

    /// Sets the time for which requests may be sent to an endpoint after it announced that it
    /// drains.
    pub fn set_draining_ms(&mut self, draining_ms: u64) {
        self.draining_ms = draining_ms;
    }

    /// Applies an entry that was written to the store. Returns whether it was accepted: an entry
    /// that its endpoint wrote before its last entry was removed is rejected, and so is an entry
    /// of another writer.
    pub fn apply_written(&mut self, mut endpoint: Endpoint) -> bool {
        if self.departures.is_foreign(&endpoint) {
            self.departures.record_foreign_entry(&endpoint.name);
            return false;
        }
        if self.is_outdated(&endpoint) {
            return false;
        }
        self.lapsed_until_ms.remove(&endpoint.name);
        if endpoint.is_draining {
            self.departures.mark_draining(endpoint.incarnation());
        }
        endpoint.is_draining |= self.was_draining(&endpoint.incarnation());
        let listed = self.endpoints.get(&endpoint.name).map(AsRef::as_ref);
        endpoint.is_draining |= self.earlier_starts.record(&endpoint, listed);
        // Message numbers restart with each incarnation; entries of different incarnations arrive
        // in the order of the store.
        if let Some(known) = self.endpoints.get(&endpoint.name)
            && known.started_unix_ms == endpoint.started_unix_ms
            && known.entry_number > endpoint.entry_number
        {
            // An older message that arrived late: only its draining mark is used.
            let is_draining = endpoint.is_draining;
            endpoint = Endpoint { is_draining, ..Endpoint::clone(known) };
        }
        self.endpoints.insert(endpoint.name.clone(), Arc::new(endpoint));
        true
    }

    /// Applies an entry that does not say what its engine holds; the contents and the version that
    /// are known of the same incarnation are kept. Returns whether the entry was accepted.
    pub fn apply_listed(&mut self, mut endpoint: Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.name);
        if let Some(known) = known.filter(|known| known.started_unix_ms == endpoint.started_unix_ms)
        {
            endpoint.entry_number = endpoint.entry_number.max(known.entry_number);
            endpoint.held.clone_from(&known.held);
            endpoint.in_memory.clone_from(&known.in_memory);
            endpoint.on_disk.clone_from(&known.on_disk);
            if endpoint.software_version.is_none() {
                endpoint.software_version.clone_from(&known.software_version);
            }
        }
        self.apply_written(endpoint)
    }

    /// Sets the version of the software that an incarnation runs.
    pub fn set_software_version(&mut self, incarnation: &Incarnation, version: SoftwareVersion) {
        let known = self.endpoints.get_mut(&incarnation.name);
        if let Some(known) =
            known.filter(|known| known.started_unix_ms == incarnation.started_unix_ms)
        {
            Arc::make_mut(known).software_version = Some(version);
        }
    }

    /// Returns whether an endpoint wrote this entry before its last entry was removed. Without
    /// start times incarnations cannot be distinguished, and message numbers may have restarted.
    fn is_outdated(&self, endpoint: &Endpoint) -> bool {
        endpoint.has_start_time() && self.has_left(endpoint)
    }

    /// Returns whether an endpoint's last entry was removed, and this one is not newer. A restored
    /// store has such entries again, also of endpoints without start times.
    pub fn has_left(&self, endpoint: &Endpoint) -> bool {
        let last_number = self.departures.last_number(&endpoint.incarnation());
        let is_listed = self.contains(&endpoint.incarnation());
        let is_kept = is_listed && !self.lapsed_until_ms.contains_key(&endpoint.name);
        !is_kept && last_number.is_some_and(|last_number| endpoint.entry_number <= last_number)
    }

    /// Records that an incarnation announced in an answer that it is draining. Returns whether
    /// that was unknown. The endpoint's own answer overrides its entry.
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

    /// Returns at most `max_count` incarnations that are draining or gone, to be reported to
    /// daemons that may not know of them.
    pub fn departures(&self, max_count: usize) -> Vec<Departure> {
        self.departures.reports(max_count, |incarnation| self.contains(incarnation))
    }

    /// Applies what another daemon knows about a draining or departed endpoint. Returns whether
    /// the entry that is listed here was dropped because it names no usable endpoint.
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
        let last_number =
            self.departures.last_number(&listed.incarnation()).filter(|_| listed.has_start_time());
        let is_outdated = last_number.is_some_and(|last_number| listed.entry_number <= last_number);
        let is_foreign = self.departures.is_foreign(&listed);
        if is_foreign {
            self.departures.record_foreign_entry(name);
        }
        let is_dropped = is_foreign || is_outdated;
        if is_dropped {
            self.endpoints.remove(name);
            self.lapsed_until_ms.remove(name);
        }
        is_dropped
    }

    /// Sets what an engine is assumed to hold.
    pub fn assume_held(&mut self, name: &EndpointName, held: Held) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            Arc::make_mut(endpoint).held = held;
        }
    }

    /// Applies the removal of an entry.
    pub fn apply_removal(&mut self, name: &EndpointName, now_ms: u64) {
        let Some(known) = self.endpoints.get(name) else { return };
        let (incarnation, last_number) = (known.incarnation(), known.entry_number);
        let is_active = !self.was_draining(&incarnation);
        let kept_until_ms = self.kept_until_ms(now_ms).filter(|until| now_ms < *until);
        self.departures.removed(incarnation, last_number);
        self.earlier_starts.forget(name);
        match kept_until_ms {
            Some(until_ms) if is_active => {
                self.lapsed_until_ms.entry(name.clone()).or_insert(until_ms);
            }
            _ => {
                self.endpoints.remove(name);
                self.lapsed_until_ms.remove(name);
            }
        }
    }

    /// Returns until when an entry that is removed now is kept, because it may have lapsed only
    /// while the store was unavailable. Entries do not lapse in a short outage of the store: an
    /// endpoint whose entry is removed after such an outage has stopped, at the earliest when the
    /// list was last read.
    fn kept_until_ms(&self, now_ms: u64) -> Option<u64> {
        let last_outage = self.last_outage?;
        let usable_ms = self.draining_ms.saturating_sub(IN_TRANSIT_MS);
        let until_ms = (last_outage.ended_ms + REWRITE_MS).min(now_ms + usable_ms);
        let is_short = last_outage.length_ms < usable_ms;
        Some(if is_short { until_ms.min(last_outage.last_read_ms + usable_ms) } else { until_ms })
    }

    /// Applies a whole list: endpoints that it does not contain were removed.
    pub fn replace_all(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let listed: BTreeSet<EndpointName> =
            endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for endpoint in endpoints {
            self.apply_written(endpoint);
        }
        self.retain_listed(&listed, now_ms);
    }

    /// Removes all endpoints but those in `listed`.
    pub fn retain_listed(&mut self, listed: &BTreeSet<EndpointName>, now_ms: u64) {
        let missing: Vec<EndpointName> =
            self.endpoints.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            self.apply_removal(&name, now_ms);
        }
    }

    /// Records whether the store could be read.
    pub fn record_read(&mut self, was_read: bool, now_ms: u64) {
        if !was_read {
            self.unread_since_ms.get_or_insert(now_ms);
            return;
        }
        if let Some(since_ms) = self.unread_since_ms.take() {
            let length_ms = now_ms.saturating_sub(since_ms);
            self.last_outage =
                Some(StoreOutage { last_read_ms: self.read_ms, length_ms, ended_ms: now_ms });
        }
        self.read_ms = now_ms;
    }

    /// Records that the store was restored from a copy. It lacks the entries that were written after
    /// the copy; live endpoints write them again.
    pub fn store_restored(&mut self, now_ms: u64) {
        let last_read_ms = self.read_ms;
        let length_ms = u64::MAX;
        self.last_outage = Some(StoreOutage { last_read_ms, length_ms, ended_ms: now_ms });
    }

    /// Drops lapsed entries that were not written again in time, and uses entries of starts that seemed
    /// earlier than one that drained, and have stayed. Returns the names of the dropped ones.
    pub fn drop_lapsed(&mut self, now_ms: u64) -> Vec<EndpointName> {
        for incarnation in self.earlier_starts.expire(now_ms) {
            let was_draining = self.was_draining(&incarnation);
            let listed = self.endpoints.get_mut(&incarnation.name);
            if let Some(listed) = listed.filter(|listed| listed.incarnation() == incarnation) {
                Arc::make_mut(listed).is_draining = was_draining;
            }
        }
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

    /// Returns whether this incarnation is listed.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.get(&incarnation.name)
            .is_some_and(|known| known.started_unix_ms == incarnation.started_unix_ms)
    }

    /// Returns whether an incarnation ever announced that it is draining.
    pub fn was_draining(&self, incarnation: &Incarnation) -> bool {
        self.departures.was_draining(incarnation)
    }

    /// Returns the endpoint with a name.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name).map(AsRef::as_ref)
    }

    /// Returns whether an incarnation is listed and not draining.
    pub fn is_usable(&self, incarnation: &Incarnation) -> bool {
        let known = self
            .get(&incarnation.name)
            .filter(|known| known.started_unix_ms == incarnation.started_unix_ms);
        known.is_some_and(|known| !known.is_draining)
    }

    /// Iterates over all listed endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(AsRef::as_ref)
    }

    /// Returns the failure domains that have endpoints.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let mut domains = BTreeSet::new();
        for endpoint in self.iter() {
            if !domains.contains(&endpoint.domain) {
                domains.insert(endpoint.domain.clone());
            }
        }
        domains
    }

    /// Iterates over the same endpoints as [`Self::usable`], as shared pointers that can be kept.
    pub fn usable_shared<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let listed = self.endpoints.values();
        listed.filter(move |endpoint| endpoint.service == *service && !endpoint.is_draining)
    }

    /// Iterates over the endpoints of a service that may receive new requests.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Endpoint> {
        self.iter().filter(move |endpoint| endpoint.service == *service && !endpoint.is_draining)
    }
}
