//! The list of live endpoints, as the store tells it.
//!
//! The list can be wrong for a while: entries lapse while the store is away
//! although their endpoints live. Such an entry is kept until it had time to
//! come back. An entry that says "leaving" is believed for good, whatever an
//! older message says later.

use crate::endpoint::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, ModelName, ServiceName};

/// Time after the store's return in which lapsed entries may come back, less the
/// time that a request needs on its way. The store's page says about two seconds.
const COME_BACK_MS: u64 = 1_700;
/// Time after a failed read for which removals are not believed at once: three
/// heartbeats and a margin.
const DOUBT_MS: u64 = 5_000;

/// The list of live endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Endpoints that were ever seen leaving.
    leaving: BTreeSet<EndpointName>,
    /// Entries that vanished in a time of doubt, and when they count as gone.
    lapsed_until_ms: BTreeMap<EndpointName, u64>,
    doubt_until_ms: u64,
}

impl Directory {
    /// Takes an entry that was written.
    pub fn written(&mut self, mut endpoint: Endpoint) {
        self.lapsed_until_ms.remove(&endpoint.name);
        if endpoint.is_leaving {
            self.leaving.insert(endpoint.name.clone());
        }
        endpoint.is_leaving |= self.leaving.contains(&endpoint.name);
        if let Some(known) = self.endpoints.get(&endpoint.name)
            && known.entry_number > endpoint.entry_number
        {
            // An older message that arrived late: only its news of leaving counts.
            let is_leaving = endpoint.is_leaving;
            endpoint = Endpoint { is_leaving, ..known.clone() };
        }
        self.endpoints.insert(endpoint.name.clone(), endpoint);
    }

    /// Takes the removal of an entry.
    pub fn removed(&mut self, name: &EndpointName, now_ms: u64) {
        let is_known = self.endpoints.contains_key(name);
        if is_known && now_ms < self.doubt_until_ms && !self.leaving.contains(name) {
            self.lapsed_until_ms.entry(name.clone()).or_insert(now_ms + COME_BACK_MS);
        } else {
            self.endpoints.remove(name);
        }
    }

    /// Takes the whole list: what is not in it was removed.
    pub fn replaced(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let listed: BTreeSet<EndpointName> =
            endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for endpoint in endpoints {
            self.written(endpoint);
        }
        let missing: Vec<EndpointName> =
            self.endpoints.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            self.removed(&name, now_ms);
        }
    }

    /// Notes that the store could not be read.
    pub fn unread(&mut self, now_ms: u64) {
        self.doubt_until_ms = now_ms + DOUBT_MS;
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

    /// The endpoint with a name.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// All endpoints that are listed.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Endpoints of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Endpoint> {
        self.iter().filter(move |endpoint| endpoint.service == *service && !endpoint.is_leaving)
    }

    /// Whether an endpoint that may get new work holds a model, by its own entry.
    pub fn holds(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.usable(service).any(|endpoint| endpoint.held.contains_key(model))
    }
}
