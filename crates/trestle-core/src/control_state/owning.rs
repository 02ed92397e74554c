//! What the daemon does at the endpoints it owns.

use super::{ControlState, give_up};
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
            if let Some(habits) = owned.on_clock(time, &position.row, &self.catalog) {
                actions.push(Action::StoreUsageProfiles(endpoint.clone(), habits));
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
        let larger = self.with_owned(endpoint, |owned| owned.on_order(fence, outcome, now_ms));
        if let Some(Some(larger)) = larger {
            self.step_down(endpoint, larger, actions);
        }
        self.drive(endpoint, now_ms, actions);
    }

    pub(super) fn step_down(
        &mut self,
        endpoint: &EndpointName,
        larger: Fence,
        actions: &mut Vec<Action>,
    ) {
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let role = std::mem::replace(&mut position.role, Role::SteppedDown(larger));
        give_up(endpoint, role, actions);
    }

    pub(super) fn on_cancel(&mut self, endpoint: &EndpointName, ticket: Ticket) {
        if let Some(position) = self.chain_positions.get_mut(endpoint) {
            position.pending.retain(|request| request.ticket != ticket);
        }
        self.with_owned(endpoint, |owned| owned.cancel(ticket));
    }

    /// Grants, refuses and orders whatever is due at an owned endpoint.
    pub(super) fn drive(
        &mut self,
        endpoint: &EndpointName,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let may_load = self.may_load(endpoint, now_ms);
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let Role::Owner(owned) = &mut position.role else { return };
        owned.give_up_order(now_ms);
        owned.lapse(|vm| self.vms.is_gone(vm.as_str(), &self.timing), now_ms);
        // A request that cannot end in time any more must not take the place of one that can.
        let late = owned.refuse_late(&self.catalog, now_ms);
        let answers = late.into_iter().chain(owned.grant(now_ms));
        actions.extend(answers.map(|(ticket, answer)| Action::Answer(ticket, answer)));
        let order = owned.next_order(&position.row, &self.catalog, may_load, now_ms);
        actions.extend(order.map(|order| Action::Order(endpoint.clone(), order)));
        for (model, took_ms) in owned.take_ended_loads() {
            let declared_ms = self.catalog.models.get(&model).map_or(took_ms, |spec| spec.load_ms);
            self.loads.note(declared_ms, took_ms);
        }
    }

    /// Whether the endpoint's next load is the most urgent, and within this daemon's share.
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
        let under_way: usize = owned.clone().map(|(.., owned)| owned.loading().count()).sum();
        let first_of =
            |(name, position, owned): (&EndpointName, &ChainPosition, &OwnedEndpoint)| {
                Some((owned.first_load(&position.row, now_ms)?, name.clone()))
            };
        let most_urgent = owned.filter_map(first_of).min();
        let is_first = most_urgent.is_none_or(|(_, name)| name == *endpoint);
        under_way < self.loads.limit() && is_first
    }

    /// What a load for the ask has to expect, if one is needed.
    pub(super) fn forecast(&self, request: &PermitRequest) -> Forecast {
        let owned = self.chain_positions.values().filter_map(ChainPosition::owned_endpoint);
        let ahead = owned.flat_map(|owned| {
            let waiting = owned.waiting_for_load(request.urgency);
            waiting.chain(owned.loading())
        });
        let load_ms = |model: &ModelName| self.catalog.models.get(model).map_or(0, |s| s.load_ms);
        let ahead_ms = ahead.filter(|model| **model != request.model).map(load_ms).sum();
        self.loads.forecast(ahead_ms)
    }

    /// Shares the weight store among all daemons, as far as they are known.
    pub(super) fn share_loads(&mut self) {
        let domains: BTreeSet<&DomainName> =
            self.catalog.engines.values().map(|engine| &engine.domain).collect();
        let daemons = self.membership.row().members.len() * domains.len().max(1);
        self.loads.set_store(self.catalog.full_speed_loads, daemons);
    }

    pub(super) fn owned_endpoints(&self) -> impl Iterator<Item = EndpointName> {
        let owned =
            self.chain_positions.iter().filter(|(_, position)| position.owned_endpoint().is_some());
        owned.map(|(endpoint, _)| endpoint.clone())
    }

    pub(super) fn with_owned<R>(
        &mut self,
        endpoint: &EndpointName,
        change: impl FnOnce(&mut OwnedEndpoint) -> R,
    ) -> Option<R> {
        self.chain_positions.get_mut(endpoint)?.owned_endpoint_mut().map(change)
    }
}
