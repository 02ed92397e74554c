//! Queue of the requests that wait for a permit at one endpoint.
//!
//! Requests of the most urgent class are granted first. Within a class, the tenant with the
//! fewest grants is next, and within a tenant the request with the earliest deadline.

use crate::{
    names::{ModelName, TeamName},
    permit::{PermitRequest, Ticket},
};
use std::collections::{BTreeMap, BTreeSet};

/// Queue of the requests that wait for a permit at one endpoint.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Queue {
    requests: BTreeMap<Ticket, PermitRequest>,
    subqueues: BTreeMap<SubqueueKey, BTreeSet<(u64, Ticket)>>,
    granted: BTreeMap<TeamName, u64>,
}

#[trestle_macros::key]
struct SubqueueKey {
    model: ModelName,
    urgency: u8,
    tenant: TeamName,
}

impl SubqueueKey {
    fn of(request: &PermitRequest) -> Self {
        Self {
            model: request.model.clone(),
            urgency: request.urgency,
            tenant: request.tenant.clone(),
        }
    }
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of waiting requests of a tenant.
    pub fn waiting_of(&self, tenant: &TeamName) -> usize {
        self.subqueues
            .iter()
            .filter(|(key, _)| key.tenant == *tenant)
            .map(|(_, set)| set.len())
            .sum()
    }

    /// Returns the number of waiting requests that precede a new one of the urgency.
    pub fn ahead_of(&self, urgency: u8) -> usize {
        self.subqueues
            .iter()
            .filter(|(key, _)| key.urgency <= urgency)
            .map(|(_, set)| set.len())
            .sum()
    }

    /// Returns the models that requests wait for, the one of the most urgent request first.
    pub fn requested_models(&self) -> Vec<&ModelName> {
        let mut heads: Vec<_> =
            self.heads().map(|(key, head)| (key.urgency, head, &key.model)).collect();
        heads.sort();
        let mut requested_models: Vec<&ModelName> = Vec::new();
        for (_, _, model) in heads {
            if !requested_models.contains(&model) {
                requested_models.push(model);
            }
        }
        requested_models
    }

    /// Returns the models that requests of the urgency, or more urgent ones, wait for.
    pub fn requested_at(&self, urgency: u8) -> BTreeSet<&ModelName> {
        let subqueues = self.subqueues.keys().filter(|key| key.urgency <= urgency);
        subqueues.map(|key| &key.model).collect()
    }

    /// Returns urgency and deadline of the first request that waits for the model; `None` if none
    /// does.
    pub fn first_for(&self, model: &ModelName) -> Option<(u8, u64)> {
        let heads = self.heads().filter(|(key, _)| key.model == *model);
        heads.map(|(key, (deadline_ms, _))| (key.urgency, deadline_ms)).min()
    }

    /// Returns whether a request waits for the model.
    pub fn has_waiting_for(&self, model: &ModelName) -> bool {
        self.subqueues.keys().any(|key| key.model == *model)
    }

    /// Adds a request.
    pub fn push(&mut self, request: PermitRequest) {
        self.level_granted_count(&request.tenant);
        self.subqueues
            .entry(SubqueueKey::of(&request))
            .or_default()
            .insert((request.deadline_ms, request.ticket));
        self.requests.insert(request.ticket, request);
    }

    /// Removes a request and returns it; `None` if it does not wait here.
    pub fn remove(&mut self, ticket: Ticket) -> Option<PermitRequest> {
        let request = self.requests.remove(&ticket)?;
        let key = SubqueueKey::of(&request);
        if let Some(set) = self.subqueues.get_mut(&key) {
            set.remove(&(request.deadline_ms, ticket));
            if set.is_empty() {
                self.subqueues.remove(&key);
            }
        }
        Some(request)
    }

    /// Removes and returns the next request to grant among those for ready models; `None` if there
    /// is none.
    pub fn pop(&mut self, is_ready: impl Fn(&ModelName) -> bool) -> Option<PermitRequest> {
        let next = self
            .heads()
            .filter(|(key, _)| is_ready(&key.model))
            .min_by_key(|(key, head)| (key.urgency, self.granted_to(&key.tenant), *head))
            .map(|(_, (_, ticket))| ticket)?;
        let request = self.remove(next)?;
        *self.granted.entry(request.tenant.clone()).or_default() += 1;
        Some(request)
    }

    /// Removes and returns every request that meets the condition.
    pub fn drain_if(&mut self, condition: impl Fn(&PermitRequest) -> bool) -> Vec<PermitRequest> {
        let tickets: Vec<Ticket> = self
            .requests
            .values()
            .filter(|request| condition(request))
            .map(|request| request.ticket)
            .collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    fn heads(&self) -> impl Iterator<Item = (&SubqueueKey, (u64, Ticket))> {
        self.subqueues.iter().filter_map(|(key, set)| Some((key, *set.first()?)))
    }

    fn granted_to(&self, tenant: &TeamName) -> u64 {
        self.granted.get(tenant).copied().unwrap_or(0)
    }

    /// Raises the grant count of a tenant without waiting requests to the lowest count among the
    /// waiting tenants, so that an idle period gives it no precedence.
    fn level_granted_count(&mut self, tenant: &TeamName) {
        if self.waiting_of(tenant) > 0 {
            return;
        }
        let waiting = self.subqueues.keys().map(|key| self.granted_to(&key.tenant)).min();
        let level = waiting.unwrap_or(0).max(self.granted_to(tenant));
        self.granted.insert(tenant.clone(), level);
    }
}
