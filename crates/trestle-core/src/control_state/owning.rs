//! Handling of the endpoints that the daemon owns.

use super::{ControlState, release_ownership};
use crate::{
    chain_position::{ChainPosition, Role},
    event::Action,
    fence::Fence,
    load_limiter::Forecast,
    names::{DomainName, EndpointName, ModelName},
    order::OrderOutcome,
    owned_endpoint::OwnedEndpoint,
    permit::{PermitRequest, Ticket},
    window::CivilTime,
};
use std::collections::BTreeSet;

impl ControlState {
    pub(super) fn on_clock(&mut self, time: CivilTime, actions: &mut Vec<Action>) {
        for (endpoint, position) in &mut self.chain_positions {
            let Role::Owner(owned) = &mut position.role else { continue };
            if let Some(profiles) = owned.on_clock(time, &position.row, &self.catalog) {
                actions.push(Action::StoreUsageProfiles(endpoint.clone(), profiles));
            }
        }
    }

    pub(super) fn on_order_result(
        &mut self,
        endpoint: &EndpointName,
        fence: Fence,
        outcome: OrderOutcome,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let larger =
            self.with_owned_endpoint(endpoint, |owned| owned.on_order(fence, outcome, now_ms));
        if let Some(Some(larger)) = larger {
            self.step_down(endpoint, larger, actions);
        }
        self.advance_endpoint(endpoint, now_ms, actions);
    }

    pub(super) fn step_down(
        &mut self,
        endpoint: &EndpointName,
        larger: Fence,
        actions: &mut Vec<Action>,
    ) {
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let role = std::mem::replace(&mut position.role, Role::SteppedDown(larger));
        release_ownership(endpoint, role, actions);
    }

    pub(super) fn on_cancel(&mut self, endpoint: &EndpointName, ticket: Ticket) {
        if let Some(position) = self.chain_positions.get_mut(endpoint) {
            position.pending.retain(|request| request.ticket != ticket);
        }
        self.with_owned_endpoint(endpoint, |owned| owned.cancel(ticket));
    }

    /// Grants, refuses and expires permits at an owned endpoint and sends its next order, as far as
    /// these are due.
    pub(super) fn advance_endpoint(
        &mut self,
        endpoint: &EndpointName,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let may_load = self.may_load(endpoint, now_ms);
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let Role::Owner(owned) = &mut position.role else { return };
        owned.time_out_order(now_ms);
        owned.expire_permits(|vm| self.vms.is_gone(vm.as_str(), &self.timing), now_ms);
        // Requests that can no longer end in time are refused first, so that they take no slot from
        // requests that can.
        let late = owned.refuse_late(&self.catalog, now_ms);
        let answers = late.into_iter().chain(owned.grant(now_ms));
        actions.extend(answers.map(|(ticket, answer)| Action::Answer(ticket, answer)));
        let order = owned.next_order(&position.row, &self.catalog, may_load, now_ms);
        actions.extend(order.map(|order| Action::Order(endpoint.clone(), order)));
        for (model, took_ms) in owned.take_completed_loads() {
            let declared_ms = self.catalog.models.get(&model).map_or(took_ms, |spec| spec.load_ms);
            self.load_limiter.record(declared_ms, took_ms);
        }
    }

    /// Returns whether the next load at the endpoint is the most urgent one of this daemon and
    /// within its load limit.
    fn may_load(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        let is_due =
            |position: &ChainPosition| position.owned_endpoint()?.first_load(&position.row, now_ms);
        if self.chain_positions.get(endpoint).and_then(is_due).is_none() {
            return false;
        }
        let owned = self
            .chain_positions
            .iter()
            .filter_map(|(name, position)| Some((name, position, position.owned_endpoint()?)));
        let loads_in_progress: usize =
            owned.clone().map(|(.., owned)| owned.loading().count()).sum();
        let first_load_of =
            |(name, position, owned): (&EndpointName, &ChainPosition, &OwnedEndpoint)| {
                Some((owned.first_load(&position.row, now_ms)?, name.clone()))
            };
        let most_urgent = owned.filter_map(first_load_of).min();
        let is_first = most_urgent.is_none_or(|(_, name)| name == *endpoint);
        loads_in_progress < self.load_limiter.limit() && is_first
    }

    /// Returns when a load for the request could begin and how long loads take, should the request
    /// need one.
    pub(super) fn forecast(&self, request: &PermitRequest) -> Forecast {
        let owned = self.chain_positions.values().filter_map(ChainPosition::owned_endpoint);
        let ahead = owned.flat_map(|owned| {
            let waiting = owned.waiting_for_load(request.urgency);
            waiting.chain(owned.loading())
        });
        let load_ms = |model: &ModelName| self.catalog.models.get(model).map_or(0, |s| s.load_ms);
        let ahead_ms = ahead.filter(|model| **model != request.model).map(load_ms).sum();
        self.load_limiter.forecast(ahead_ms)
    }

    /// Divides the capacity of the weight store by the estimated number of all daemons.
    pub(super) fn update_load_limit(&mut self) {
        let domains: BTreeSet<&DomainName> =
            self.catalog.engines.values().map(|engine| &engine.domain).collect();
        let daemons = self.membership.row().members.len() * domains.len().max(1);
        self.load_limiter.set_capacity(self.catalog.full_speed_loads, daemons);
    }

    pub(super) fn owned_endpoints(&self) -> impl Iterator<Item = EndpointName> {
        let owned =
            self.chain_positions.iter().filter(|(_, position)| position.owned_endpoint().is_some());
        owned.map(|(endpoint, _)| endpoint.clone())
    }

    pub(super) fn with_owned_endpoint<R>(
        &mut self,
        endpoint: &EndpointName,
        change: impl FnOnce(&mut OwnedEndpoint) -> R,
    ) -> Option<R> {
        self.chain_positions.get_mut(endpoint)?.owned_endpoint_mut().map(change)
    }
}
