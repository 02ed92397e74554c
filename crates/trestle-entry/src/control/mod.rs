//! The control thread.
//!
//! It alone holds the lease and the states of engines. It takes one message after
//! another, decides by the functions of `trestle_dispatch`, and leaves what takes
//! time to tasks that report back by message.

pub(crate) mod change;
pub(crate) mod leasing;
pub(crate) mod message;
pub(crate) mod permit;
mod told;

use crate::{
    control::{leasing::Leasing, message::Message, told::Told},
    daemon::Daemon,
};
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::Timer;
use std::{collections::BTreeMap, io, sync::Arc, thread, time::Duration};
use trestle_core::names::{EndpointName, ServiceName, VmName};
use trestle_dispatch::{
    catalog::{Catalog, EngineSpec},
    demand::DemandDigest,
    orders::OrderChain,
    service_state::ServiceState,
};
use trestle_wire::replicas::{WireSynced, WireView};

/// Longest time between two looks at what is due, while holding the lease.
const HOLDER_TICK_MS: u64 = 100;
/// The same while another daemon holds it.
const STANDBY_TICK_MS: u64 = 250;
/// Time until a new leader has read the engines, where that is not done yet.
const UNINFORMED_MS: u64 = 300;
/// Shortest time between two plans.
const PLAN_GAP_MS: u64 = 15;
/// The same as a multiple of the time that the last plan took: planning may take a tenth
/// of the leader's time, whatever its VM and however many engines there are.
const PLAN_GAPS: u64 = 10;

/// Everything that the control thread holds.
struct Control {
    daemon: Arc<Daemon>,
    leasing: Leasing,
    services: BTreeMap<ServiceName, ServiceState>,
    told: BTreeMap<ServiceName, Option<Told>>,
    planned_ms: u64,
    plan_gap_ms: u64,
    is_plan_due: bool,
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub(crate) fn start(daemon: Arc<Daemon>, messages: Receiver<Message>) -> io::Result<()> {
    let leasing = Leasing::new(Arc::clone(&daemon));
    let control = Control {
        daemon,
        leasing,
        services: BTreeMap::new(),
        told: BTreeMap::new(),
        planned_ms: 0,
        plan_gap_ms: PLAN_GAP_MS,
        is_plan_due: false,
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || smol::block_on(control.run(messages)))?;
    Ok(())
}

impl Control {
    async fn run(mut self, messages: Receiver<Message>) {
        self.leasing.read_soon();
        self.look();
        loop {
            let tick_ms = self.until_next_look();
            let tick = async {
                Timer::after(Duration::from_millis(tick_ms)).await;
                Ok(Message::Tick)
            };
            match messages.recv().or(tick).await {
                Ok(message) => self.take(message),
                Err(_) => return,
            }
            self.look();
        }
    }

    fn until_next_look(&self) -> u64 {
        let now_ms = self.now_ms();
        if self.is_plan_due {
            return (self.planned_ms + self.plan_gap_ms).saturating_sub(now_ms);
        }
        if self.leasing.is_holder(now_ms) { HOLDER_TICK_MS } else { STANDBY_TICK_MS }
    }

    fn take(&mut self, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Tick => self.is_plan_due = true,
            Message::Sync { vm, digests, reply } => {
                let synced = self.sync(vm, digests);
                // The asker may have given up.
                let _ = reply.try_send(synced);
            }
            Message::LeaseSeen { row, version } => self.leasing.seen(row, version, now_ms),
            Message::LeaseUnread => self.leasing.unread(now_ms),
            Message::LeaseWritten { write, outcome, sent_ms } => {
                self.leasing.written(write, outcome, sent_ms, now_ms);
            }
            Message::Resigned { resignation, engines } => {
                self.daemon.with_order_log(|log| log.heard(&engines, now_ms));
                self.leasing.heard(resignation, now_ms);
            }
            Message::LeaderSilent => self.leasing.leader_silent(now_ms),
            Message::Leader(reply) => {
                let _ = reply.try_send(self.leasing.leader(now_ms));
            }
            Message::ChangeEnded { service, endpoint, chain } => {
                self.change_ended(&service, &endpoint, &chain);
            }
            Message::QuietTime(quiet_ms) => self.leasing.set_quiet_ms(quiet_ms),
            Message::Stop(reply) => self.leasing.leave(reply),
        }
    }

    /// Does what is due by time.
    fn look(&mut self) {
        let now_ms = self.now_ms();
        let was_holder = self.leasing.is_acting();
        self.leasing.look(now_ms);
        if was_holder && !self.leasing.is_acting() {
            self.services.clear();
            self.told.clear();
        }
        self.plan_if_due(now_ms);
        self.is_plan_due &= self.leasing.is_holder(now_ms);
    }

    fn plan_if_due(&mut self, now_ms: u64) {
        let is_time = now_ms >= self.planned_ms + self.plan_gap_ms;
        if self.is_plan_due && is_time && self.leasing.is_holder(now_ms) {
            self.is_plan_due = false;
            self.planned_ms = now_ms;
            self.plan(now_ms);
            let took_ms = self.now_ms() - now_ms;
            self.plan_gap_ms = PLAN_GAP_MS.max(took_ms * PLAN_GAPS);
        }
    }

    fn sync(&mut self, vm: VmName, digests: Vec<(ServiceName, DemandDigest)>) -> WireSynced {
        let now_ms = self.now_ms();
        let is_leader = self.leasing.is_holder(now_ms);
        if is_leader {
            for (service, digest) in digests {
                self.is_plan_due |= !digest.waiting.is_empty();
                let known = self.services.entry(service).or_default();
                known.demand.told(vm.clone(), digest, now_ms);
            }
            // The answer then says what becomes of the requests that wait.
            self.plan_if_due(now_ms);
        }
        let planned = self
            .services
            .iter()
            .map(|(service, known)| (service.to_string(), known.demand.planned(&vm)));
        let planned = planned.collect();
        let views = match is_leader {
            true => self.views(now_ms),
            false => BTreeMap::new(),
        };
        WireSynced {
            views,
            planned,
            lease: self.leasing.row(),
            resigned: self.leasing.resignation(now_ms),
            is_leader,
            relay: None,
        }
    }

    /// What is known of all services, as daemons are told it.
    fn views(&mut self, now_ms: u64) -> BTreeMap<String, WireView> {
        let (services, all_told) = (&self.services, &mut self.told);
        self.daemon.knowledge.with(|beliefs| {
            let each = services.iter().map(|(service, state)| {
                let told = all_told.entry(service.clone()).or_default();
                let view = Told::now(told, state, service, &beliefs.directory, now_ms);
                (service.to_string(), view.clone())
            });
            each.collect()
        })
    }

    fn plan(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return };
        let orders_in_ms = self.orders_in_ms(now_ms);
        let policy = self.daemon.knowledge.with(|beliefs| beliefs.policy.clone());
        for (service, known) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            let directory = self.daemon.knowledge.with(|beliefs| {
                let engines = beliefs.directory.usable(service).cloned();
                engines.map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
            });
            let may_order_at = |endpoint: &EndpointName| {
                self.daemon.with_order_log(|log| log.may_order(endpoint, now_ms))
            };
            let changes = known.plan(spec, &policy, &directory, orders_in_ms, may_order_at, now_ms);
            for (endpoint, change, chain) in changes {
                change::start(&self.daemon, service.clone(), endpoint, change, chain);
            }
        }
    }

    /// Time until orders may be given.
    fn orders_in_ms(&self, now_ms: u64) -> u64 {
        let permit_in_ms = self.daemon.order_permit.opens_in_ms(now_ms);
        match self.daemon.freshness.is_informed() {
            true => permit_in_ms,
            false => permit_in_ms.max(UNINFORMED_MS),
        }
    }

    fn change_ended(&mut self, service: &ServiceName, endpoint: &EndpointName, chain: &OrderChain) {
        let now_ms = self.now_ms();
        if let Some(known) = self.services.get_mut(service) {
            known.change_ended(endpoint, chain, now_ms);
        }
        self.is_plan_due = true;
    }

    fn now_ms(&self) -> u64 {
        self.daemon.knowledge.now_ms()
    }
}

fn engine_spec<'a>(catalog: &'a Catalog, service: &ServiceName) -> Option<&'a Arc<EngineSpec>> {
    catalog.services.get(service)?.engine.as_ref()
}
