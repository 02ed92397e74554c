//! Decides when the control thread plans, and which engines a plan covers.

use crate::control::{Control, change, engine_spec, other_leaders::OtherLeaders};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ServiceName};
use trestle_dispatch::{
    endpoint::Endpoint,
    sharing::{self, ForeignEngine},
};

/// Assumed time until a new leader has read the list of engines, if it has not read it yet.
const UNREAD_LIST_MS: u64 = 300;
/// Shortest time between two plans.
pub(super) const PLAN_GAP_MS: u64 = 15;
/// Shortest time between two plans, as a multiple of the duration of the last plan. Planning may
/// take a fifth of the leader's time on any VM and with any number of engines. With a tenth,
/// demand from another domain waited 170 ms for two plans (half a core, 51 of 256 engines).
const PLAN_GAPS: u64 = 5;

/// A service's engines by name.
type Engines = BTreeMap<EndpointName, Arc<Endpoint>>;

impl Control {
    /// Makes a plan if something has changed and the last plan was long enough ago. Returns
    /// whether it did.
    pub(super) fn plan_if_due(&mut self, now_ms: u64) -> bool {
        let is_time = now_ms >= self.planned_ms + self.plan_gap_ms;
        let is_due = self.is_plan_due && is_time && self.leases.is_leading(now_ms);
        if is_due {
            self.is_plan_due = false;
            self.planned_ms = now_ms;
            self.plan(now_ms);
            let took_ms = self.now_ms() - now_ms;
            self.plan_gap_ms = PLAN_GAP_MS.max(took_ms * PLAN_GAPS);
        }
        is_due
    }

    /// Marks the other leaders that serve some of the demand here, so that the demand is reported
    /// to them at once. A plan does the same; this is used when no plan is made now.
    pub(super) fn forward_demand(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.shared_view.catalog() else { return };
        let led = self.leases.led(now_ms);
        let mut groups = BTreeSet::new();
        for (service, state) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            if state.sharing.is_alone() {
                continue;
            }
            let (own, _) = by_leader(self.daemon.usable_endpoints(service), &led);
            state.assign_groups(spec, &own, now_ms);
            groups.extend(state.groups_to_plan(now_ms));
        }
        self.daemon.shared_view.forward_demand(self.others.addresses(&groups));
    }

    fn plan(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.shared_view.catalog() else { return };
        let led = self.leases.led(now_ms);
        let orders_in_ms = self.orders_in_ms(&led, now_ms);
        let policy = self.daemon.shared_view.with(|local_view| local_view.policy.clone());
        let limited = self.daemon.with_endpoint_limits(|limits| limits.limited(now_ms));
        let mut groups = BTreeSet::new();
        for (service, state) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            let (own, foreign) = by_leader(self.daemon.usable_endpoints(service), &led);
            let others = sharing_leaders(&self.others, service, &led, foreign, now_ms);
            state.sharing.update(others);
            state.set_limited(limited.clone());
            state.set_work(self.daemon.with_prompt_scheduler(|scheduler| scheduler.work(service)));
            let daemon = &self.daemon;
            let may_order_at = |name: &EndpointName| {
                own.get(name).is_some_and(|endpoint| {
                    let opens_in_ms = daemon.order_permits.opens_in_ms(&endpoint.domain, now_ms);
                    opens_in_ms <= orders_in_ms && now_ms >= daemon.backoff_until_ms(endpoint)
                }) && daemon.with_order_log(|log| log.may_order(name, now_ms))
            };
            let changes = state.plan(spec, &policy, &own, orders_in_ms, may_order_at, now_ms);
            for (endpoint, change, chain) in changes {
                change::start(&self.daemon, service.clone(), endpoint, change, chain);
            }
            groups.extend(state.groups_to_plan(now_ms));
        }
        self.daemon.shared_view.forward_demand(self.others.addresses(&groups));
    }

    /// Returns the time until orders to the first of the groups may be sent.
    fn orders_in_ms(&self, led: &BTreeSet<DomainName>, now_ms: u64) -> u64 {
        let permits = &self.daemon.order_permits;
        let opens_in_ms = led.iter().map(|group| permits.opens_in_ms(group, now_ms)).min();
        let opens_in_ms = opens_in_ms.unwrap_or_default();
        match self.daemon.freshness.has_read_list() {
            true => opens_in_ms,
            false => opens_in_ms.max(UNREAD_LIST_MS),
        }
    }
}

/// Splits engines into those that this daemon controls and those that others control.
fn by_leader(engines: Engines, led: &BTreeSet<DomainName>) -> (Engines, Engines) {
    engines.into_iter().partition(|(_, endpoint)| led.contains(&endpoint.domain))
}

/// Returns what is known of the leaders that share a service's engines with this one.
fn sharing_leaders(
    others: &OtherLeaders,
    service: &ServiceName,
    led: &BTreeSet<DomainName>,
    foreign: Engines,
    now_ms: u64,
) -> sharing::OtherLeaders {
    let summaries = others.engine_summaries(service, now_ms);
    let engines = foreign.into_iter().map(|(name, endpoint)| {
        let (holds, running) = match summaries.get(&name) {
            Some(summary) => (summary.holds.clone(), summary.running),
            None => (endpoint.held.clone(), 0),
        };
        (name, ForeignEngine { endpoint, holds, running })
    });
    let engines = engines.collect();
    let mut sharing_leaders =
        sharing::OtherLeaders { own_groups: led.clone(), engines, ..Default::default() };
    for other in others.reachable(now_ms) {
        sharing_leaders.other_leader_count += 1;
        sharing_leaders.live_groups.extend(other.led().iter().cloned());
        sharing_leaders.planned.extend(other.planned(service).cloned());
        let Some(group) = other.led().first() else { continue };
        let loading = other.last_plan(service, now_ms).into_iter().flat_map(|(ready, _)| ready);
        let loading = loading.filter(|(loadable, ms)| loadable.adapter.is_none() && **ms > 0);
        let loading = loading.map(|(loadable, _)| (loadable.model.clone(), group.clone()));
        sharing_leaders.loading.extend(loading);
    }
    sharing_leaders
}
