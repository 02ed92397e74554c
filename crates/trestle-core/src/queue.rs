//! Requests that wait for a permit at one endpoint.
//!
//! The most urgent class goes first. Within a class the tenant that was served
//! least goes first, and within a tenant the request whose answer is due first.

use crate::{
    names::{ModelName, TeamName},
    permit::{PermitRequest, Ticket},
};
use std::collections::{BTreeMap, BTreeSet};

/// Requests that wait for a permit at one endpoint.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Queue {
    requests: BTreeMap<Ticket, PermitRequest>,
    lanes: BTreeMap<Lane, BTreeSet<(u64, Ticket)>>,
    served: BTreeMap<TeamName, u64>,
}

#[trestle_macros::key]
struct Lane {
    model: ModelName,
    urgency: u8,
    tenant: TeamName,
}

impl Lane {
    fn of(request: &PermitRequest) -> Self {
        Self {
            model: request.model.clone(),
            urgency: request.urgency,
            tenant: request.tenant.clone(),
        }
    }
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests of a tenant that wait.
    pub fn waiting_of(&self, tenant: &TeamName) -> usize {
        self.lanes.iter().filter(|(lane, _)| lane.tenant == *tenant).map(|(_, set)| set.len()).sum()
    }

    /// Requests that wait and go before a new one of the urgency.
    pub fn ahead_of(&self, urgency: u8) -> usize {
        self.lanes
            .iter()
            .filter(|(lane, _)| lane.urgency <= urgency)
            .map(|(_, set)| set.len())
            .sum()
    }

    /// Models that requests wait for, the most urgent first.
    pub fn wanted(&self) -> Vec<&ModelName> {
        let mut heads: Vec<_> =
            self.heads().map(|(lane, head)| (lane.urgency, head, &lane.model)).collect();
        heads.sort();
        let mut wanted: Vec<&ModelName> = Vec::new();
        for (_, _, model) in heads {
            if !wanted.contains(&model) {
                wanted.push(model);
            }
        }
        wanted
    }

    /// Models that requests of the urgency or a greater one wait for.
    pub fn wanted_at(&self, urgency: u8) -> BTreeSet<&ModelName> {
        let lanes = self.lanes.keys().filter(|lane| lane.urgency <= urgency);
        lanes.map(|lane| &lane.model).collect()
    }

    /// Urgency and deadline of the first request that waits for the model.
    pub fn first_for(&self, model: &ModelName) -> Option<(u8, u64)> {
        let heads = self.heads().filter(|(lane, _)| lane.model == *model);
        heads.map(|(lane, (deadline_ms, _))| (lane.urgency, deadline_ms)).min()
    }

    /// Whether a request waits for the model.
    pub fn wants(&self, model: &ModelName) -> bool {
        self.lanes.keys().any(|lane| lane.model == *model)
    }

    /// Adds a request at the end of its lane.
    pub fn push(&mut self, request: PermitRequest) {
        self.catch_up(&request.tenant);
        self.lanes
            .entry(Lane::of(&request))
            .or_default()
            .insert((request.deadline_ms, request.ticket));
        self.requests.insert(request.ticket, request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<PermitRequest> {
        let request = self.requests.remove(&ticket)?;
        let lane = Lane::of(&request);
        if let Some(set) = self.lanes.get_mut(&lane) {
            set.remove(&(request.deadline_ms, ticket));
            if set.is_empty() {
                self.lanes.remove(&lane);
            }
        }
        Some(request)
    }

    /// Takes out the request to serve next, among those for ready models.
    pub fn pop(&mut self, is_ready: impl Fn(&ModelName) -> bool) -> Option<PermitRequest> {
        let next = self
            .heads()
            .filter(|(lane, _)| is_ready(&lane.model))
            .min_by_key(|(lane, head)| (lane.urgency, self.served_of(&lane.tenant), *head))
            .map(|(_, (_, ticket))| ticket)?;
        let request = self.remove(next)?;
        *self.served.entry(request.tenant.clone()).or_default() += 1;
        Some(request)
    }

    /// Takes out every request that meets the condition.
    pub fn drain_if(&mut self, condition: impl Fn(&PermitRequest) -> bool) -> Vec<PermitRequest> {
        let tickets: Vec<Ticket> = self
            .requests
            .values()
            .filter(|request| condition(request))
            .map(|request| request.ticket)
            .collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    fn heads(&self) -> impl Iterator<Item = (&Lane, (u64, Ticket))> {
        self.lanes.iter().filter_map(|(lane, set)| Some((lane, *set.first()?)))
    }

    fn served_of(&self, tenant: &TeamName) -> u64 {
        self.served.get(tenant).copied().unwrap_or(0)
    }

    /// Lets a tenant that comes back start level with the others.
    fn catch_up(&mut self, tenant: &TeamName) {
        if self.waiting_of(tenant) > 0 {
            return;
        }
        let waiting = self.lanes.keys().map(|lane| self.served_of(&lane.tenant)).min();
        let level = waiting.unwrap_or(0).max(self.served_of(tenant));
        self.served.insert(tenant.clone(), level);
    }
}
