//! When the control thread plans, and with which engines.

use crate::control::{Control, change, engine_spec, others::Others};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{DomainName, EndpointName, ServiceName};
use trestle_dispatch::{
    endpoint::Endpoint,
    sharing::{self, ForeignEngine},
};

/// Time until a new leader has read the engines, where that is not done yet.
const UNINFORMED_MS: u64 = 300;
/// Shortest time between two plans.
pub(super) const PLAN_GAP_MS: u64 = 15;
/// The same as a multiple of the time that the last plan took: planning may take a fifth of the
/// leader's time, whatever its VM and however many engines there are. With a tenth, a wish of
/// another domain waited 170 ms for two plans (half a core, 51 of 256 engines).
const PLAN_GAPS: u64 = 5;

/// A service's engines by name.
type Engines = BTreeMap<EndpointName, Arc<Endpoint>>;

impl Control {
    /// Plans, if there is something new and the last plan was long enough ago; returns whether.
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

    /// Has wishes that other leaders see to forwarded at once, where no plan does it now.
    pub(super) fn share_out(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return };
        let led = self.leases.led(now_ms);
        let mut groups = BTreeSet::new();
        for (service, known) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            if known.sharing.is_alone() {
                continue;
            }
            let (own, _) = by_leader(self.daemon.usable(service), &led);
            known.assign_groups(spec, &own, now_ms);
            groups.extend(known.groups_to_plan(now_ms));
        }
        self.daemon.knowledge.forward(self.others.addresses(&groups));
    }

    fn plan(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return };
        let led = self.leases.led(now_ms);
        let orders_in_ms = self.orders_in_ms(&led, now_ms);
        let policy = self.daemon.knowledge.with(|local_view| local_view.policy.clone());
        let limited = self.daemon.with_endpoint_limits(|limits| limits.limited(now_ms));
        let mut groups = BTreeSet::new();
        for (service, known) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            let (own, foreign) = by_leader(self.daemon.usable(service), &led);
            let others = sharers(&self.others, service, &led, foreign, now_ms);
            known.sharing.update(others);
            known.set_limited(limited.clone());
            let daemon = &self.daemon;
            let may_order_at = |name: &EndpointName| {
                own.get(name).is_some_and(|endpoint| {
                    let opens_in_ms = daemon.order_permits.opens_in_ms(&endpoint.domain, now_ms);
                    opens_in_ms <= orders_in_ms && now_ms >= daemon.rests_until_ms(endpoint)
                }) && daemon.with_order_log(|log| log.may_order(name, now_ms))
            };
            let changes = known.plan(spec, &policy, &own, orders_in_ms, may_order_at, now_ms);
            for (endpoint, change, chain) in changes {
                change::start(&self.daemon, service.clone(), endpoint, change, chain);
            }
            groups.extend(known.groups_to_plan(now_ms));
        }
        self.daemon.knowledge.forward(self.others.addresses(&groups));
    }

    /// Time until orders may be given to the first of the groups.
    fn orders_in_ms(&self, led: &BTreeSet<DomainName>, now_ms: u64) -> u64 {
        let permits = &self.daemon.order_permits;
        let opens_in_ms = led.iter().map(|group| permits.opens_in_ms(group, now_ms)).min();
        let opens_in_ms = opens_in_ms.unwrap_or_default();
        match self.daemon.freshness.is_informed() {
            true => opens_in_ms,
            false => opens_in_ms.max(UNINFORMED_MS),
        }
    }
}

/// Those engines that this daemon orders, and the others.
fn by_leader(engines: Engines, led: &BTreeSet<DomainName>) -> (Engines, Engines) {
    engines.into_iter().partition(|(_, endpoint)| led.contains(&endpoint.domain))
}

/// What is known of the leaders that share a service's engines with this one.
fn sharers(
    others: &Others,
    service: &ServiceName,
    led: &BTreeSet<DomainName>,
    foreign: Engines,
    now_ms: u64,
) -> sharing::OtherLeaders {
    let notes = others.notes(service, now_ms);
    let engines = foreign.into_iter().map(|(name, endpoint)| {
        let (holds, running) = match notes.get(&name) {
            Some(note) => (note.holds.clone(), note.running),
            None => (endpoint.held.clone(), 0),
        };
        (name, ForeignEngine { endpoint, holds, running })
    });
    let engines = engines.collect();
    let mut sharers =
        sharing::OtherLeaders { own_groups: led.clone(), engines, ..Default::default() };
    for other in others.live(now_ms) {
        sharers.other_leader_count += 1;
        sharers.live_groups.extend(other.led().iter().cloned());
        sharers.planned.extend(other.planned(service).cloned());
        let Some(group) = other.led().first() else { continue };
        let coming = other.last_plan(service, now_ms).into_iter().flat_map(|(ready, _)| ready);
        let coming = coming.filter(|(loadable, ms)| loadable.adapter.is_none() && **ms > 0);
        let coming = coming.map(|(loadable, _)| (loadable.model.clone(), group.clone()));
        sharers.loading.extend(coming);
    }
    sharers
}
