//! The control thread.
//!
//! It alone holds the lease and the states of engines. It takes one message after
//! another, decides by the functions of `trestle_dispatch`, and leaves what takes
//! time to tasks that report back by message.

mod answers;
pub(crate) mod change;
mod leases;
pub(crate) mod leasing;
pub(crate) mod message;
mod others;
pub(crate) mod permit;
mod telling;

use crate::{
    control::{
        answers::{Pending, Pendings},
        leases::Leases,
        message::Message,
        others::Others,
        telling::{Asker, Known, Telling},
    },
    daemon::Daemon,
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration,
};
use trestle_core::names::{DomainName, EndpointName, ServiceName, VmName};
use trestle_dispatch::{
    catalog::{Catalog, EngineSpec},
    endpoint::Endpoint,
    member_count::MemberCount,
    orders::OrderChain,
    service_state::ServiceState,
    sharing::{self, Foreign},
};
use trestle_wire::{
    relay::WireHave,
    replicas::{WireAsking, WireSynced},
};

/// Longest time between two looks at what is due, while holding a lease.
const HOLDER_TICK_MS: u64 = 100;
/// The same while others hold all of them.
const STANDBY_TICK_MS: u64 = 250;
/// Time until a new leader has read the engines, where that is not done yet.
const UNINFORMED_MS: u64 = 300;
/// Shortest time between two plans.
const PLAN_GAP_MS: u64 = 15;
/// The same as a multiple of the time that the last plan took: planning may take a fifth of the
/// leader's time, whatever its VM and however many engines there are. With a tenth, a wish of
/// another domain waited 170 ms for two plans (half a core, 51 of 256 engines).
const PLAN_GAPS: u64 = 5;

/// Everything that the control thread holds.
struct Control {
    daemon: Arc<Daemon>,
    leases: Leases,
    services: BTreeMap<ServiceName, ServiceState>,
    telling: BTreeMap<ServiceName, Telling>,
    others: Others,
    members: MemberCount,
    pendings: Pendings,
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
    let leases = Leases::new(Arc::clone(&daemon));
    let control = Control {
        daemon,
        leases,
        services: BTreeMap::new(),
        telling: BTreeMap::new(),
        others: Others::default(),
        members: MemberCount::default(),
        pendings: Pendings::default(),
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
        let tick_ms = match self.leases.is_leading(now_ms) {
            true => HOLDER_TICK_MS,
            false => STANDBY_TICK_MS,
        };
        let plan_in_ms = match self.is_plan_due {
            true => (self.planned_ms + self.plan_gap_ms).saturating_sub(now_ms),
            false => tick_ms,
        };
        tick_ms.min(plan_in_ms).min(self.pendings.due_in_ms(now_ms))
    }

    fn take(&mut self, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Tick => self.is_plan_due = true,
            Message::Sync { asking, reply } => self.sync(asking, reply),
            Message::LeasesTold(leases) => self.leases.told(leases, now_ms),
            Message::LeasesRead(rows) => self.leases.read(rows, now_ms),
            Message::LeasesUnread => self.leases.unread(now_ms),
            Message::LeaseWritten { group, write, outcome, sent_ms } => {
                self.leases.written(&group, write, outcome, sent_ms, now_ms);
            }
            Message::Resigned { group, resignation, engines } => {
                self.daemon.with_order_log(|log| log.heard(&engines, now_ms));
                self.leases.heard(&group, resignation, now_ms);
            }
            Message::LeaderSilent => self.leases.leader_silent(now_ms),
            Message::Leader { attempt, reply } => {
                let _ = reply.try_send(self.leases.leader(attempt, now_ms));
            }
            Message::OtherLeaders(reply) => {
                let _ = reply.try_send(self.other_leaders(now_ms));
            }
            Message::AskOther { address, group, reply } => {
                let _ = reply.try_send(self.ask_other(address, &group));
            }
            Message::OtherAnswered { address, answer } => self.other_answered(address, answer),
            Message::ChangeEnded { service, endpoint, chain } => {
                self.change_ended(&service, &endpoint, &chain);
            }
            Message::QuietTime(quiet_ms) => self.leases.set_quiet_ms(quiet_ms),
            Message::Stop(reply) => self.leases.leave(reply),
        }
    }

    /// Does what is due by time.
    fn look(&mut self) {
        let now_ms = self.now_ms();
        let was_leader = self.leases.is_acting();
        self.leases.look(now_ms);
        match (was_leader, self.leases.is_acting()) {
            (true, false) => {
                self.services.clear();
                self.telling.clear();
                self.others.clear();
                self.pendings.clear();
            }
            (false, true) => {
                let led = self.leases.led(now_ms);
                self.members.begin(self.leases.daemons_of(led.iter()), now_ms);
            }
            _ => {}
        }
        self.plan_if_due(now_ms);
        self.is_plan_due &= self.leases.is_leading(now_ms);
        self.answer_pending(now_ms);
    }

    fn plan_if_due(&mut self, now_ms: u64) {
        let is_time = now_ms >= self.planned_ms + self.plan_gap_ms;
        if self.is_plan_due && is_time && self.leases.is_leading(now_ms) {
            self.is_plan_due = false;
            self.planned_ms = now_ms;
            self.plan(now_ms);
            let took_ms = self.now_ms() - now_ms;
            self.plan_gap_ms = PLAN_GAP_MS.max(took_ms * PLAN_GAPS);
        }
    }

    /// Takes what a daemon tells. It is answered when everybody who sees to its wishes has
    /// planned with them, or soon.
    fn sync(&mut self, asking: WireAsking, reply: Sender<WireSynced>) {
        let now_ms = self.now_ms();
        if !self.leases.is_leading(now_ms) {
            // The asker may have given up.
            let _ = reply.try_send(self.not_leading(&asking.group, now_ms));
            return;
        }
        let WireAsking { vm, group, is_leader, digests, have, .. } = asking;
        let member = VmName::from(vm.as_str());
        if !is_leader {
            self.members.told(member.clone(), now_ms);
        }
        let teller = if is_leader { format!("{vm} as a leader").into() } else { member };
        let mut pending = Pending::new(teller, group, is_leader, have, reply, now_ms);
        for digest in digests {
            let telling = self.telling.entry(digest.service.as_str().into()).or_default();
            let log = telling.log(is_leader);
            let name = |log_id: u64, number| {
                (log_id == log.id()).then(|| log.name(number).cloned()).flatten()
            };
            let log_id = digest.log;
            let (service, digest) = digest.into_digest(|number| name(log_id, number));
            self.is_plan_due |= !digest.waiting.is_empty();
            pending.told(&service, &digest);
            let known = self.services.entry(service.clone()).or_default();
            if is_leader {
                known.demand.told_by_leader(pending.teller.clone(), digest, now_ms);
            } else {
                self.others.arrived(&service, &digest);
                known.demand.told(pending.teller.clone(), digest, now_ms);
            }
        }
        if !is_leader {
            self.share_out(now_ms);
        }
        // The answer then says what becomes of the requests that wait.
        self.plan_if_due(now_ms);
        self.pendings.push(pending);
        self.answer_pending(now_ms);
    }

    /// Has wishes that other leaders see to forwarded at once, not after the next plan.
    fn share_out(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return };
        let led = self.leases.led(now_ms);
        let mut groups = BTreeSet::new();
        for (service, known) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            if known.sharing.is_alone() {
                continue;
            }
            let mut own = self.daemon.usable(service);
            own.retain(|_, endpoint| led.contains(&endpoint.domain));
            known.share(spec, &own, now_ms);
            groups.extend(known.unplanned_elsewhere(now_ms));
        }
        self.daemon.knowledge.forward(self.others.addresses(&groups));
    }

    fn not_leading(&self, group: &str, now_ms: u64) -> WireSynced {
        WireSynced {
            leases: self.leases.rows_for(group, now_ms),
            resigned: self.leases.resignations(now_ms),
            ..WireSynced::default()
        }
    }

    /// Answers those for whom there is something to say, or who have waited long enough.
    fn answer_pending(&mut self, now_ms: u64) {
        if self.pendings.is_empty() {
            return;
        }
        self.refresh_telling(now_ms);
        for (service, telling) in &mut self.telling {
            for (is_leader, arrived) in telling.arrived() {
                self.pendings.arrived(service, is_leader, &arrived);
            }
        }
        let services = &self.services;
        let due = self.pendings.take_due(now_ms, |service, teller| {
            services.get(service).map_or(0, |known| known.demand.planned(teller))
        });
        for pending in due {
            let answer = self.answer(&pending, now_ms);
            // The asker may have given up.
            let _ = pending.reply.try_send(answer);
        }
    }

    /// Brings up to date what is told.
    fn refresh_telling(&mut self, now_ms: u64) {
        let led = self.leases.led(now_ms);
        if led.is_empty() {
            return;
        }
        for (service, state) in &self.services {
            let telling = self.telling.entry(service.clone()).or_default();
            let others = &self.others;
            self.daemon.knowledge.with(|beliefs| {
                let directory = &beliefs.directory;
                telling.refresh(Known { state, service, directory, others, led: &led, now_ms });
            });
        }
    }

    fn answer(&mut self, pending: &Pending, now_ms: u64) -> WireSynced {
        if !self.leases.is_leading(now_ms) {
            return self.not_leading(&pending.group, now_ms);
        }
        let led = self.leases.led(now_ms);
        let members = self.members.count(now_ms);
        let daemons = match members {
            0 => 0,
            _ => members + self.others.members(|groups| self.leases.daemons_of(groups.iter())),
        };
        self.leases.set_daemons(members, now_ms);
        let mut views = BTreeMap::new();
        for (service, state) in &self.services {
            let Some(telling) = self.telling.get(service) else { continue };
            let asker = Asker {
                is_leader: pending.is_leader,
                have: pending.position(service),
                models: pending.models(service),
            };
            let (others, led) = (&self.others, &led);
            let mut view = self.daemon.knowledge.with(|beliefs| {
                let directory = &beliefs.directory;
                telling.view(asker, Known { state, service, directory, others, led, now_ms })
            });
            view.planned = state.demand.planned(&pending.teller);
            view.daemons = daemons as u32;
            view.askers = self.members.asking() as u32;
            views.insert(service.to_string(), view);
        }
        WireSynced {
            leases: self.leases.rows_for(&pending.group, now_ms),
            is_leader: true,
            led: led.iter().map(ToString::to_string).collect(),
            members: members as u32,
            resigned: self.leases.resignations(now_ms),
            views,
            relay: None,
        }
    }

    fn plan(&mut self, now_ms: u64) {
        let Some(catalog) = self.daemon.knowledge.catalog() else { return };
        let led = self.leases.led(now_ms);
        let orders_in_ms = self.orders_in_ms(&led, now_ms);
        let policy = self.daemon.knowledge.with(|beliefs| beliefs.policy.clone());
        let mut groups = BTreeSet::new();
        for (service, known) in &mut self.services {
            let Some(spec) = engine_spec(&catalog, service) else { continue };
            let directory = self.daemon.usable(service);
            let (own, foreign): (BTreeMap<_, _>, BTreeMap<_, _>) =
                directory.into_iter().partition(|(_, endpoint)| led.contains(&endpoint.domain));
            let others = sharers(&self.others, service, &led, foreign, now_ms);
            known.sharing.update(others);
            let daemon = &self.daemon;
            let may_order_at = |name: &EndpointName| {
                let group = own.get(name).map(|endpoint| &endpoint.domain);
                group.is_some_and(|group| {
                    daemon.order_permits.opens_in_ms(group, now_ms) <= orders_in_ms
                }) && daemon.with_order_log(|log| log.may_order(name, now_ms))
            };
            let changes = known.plan(spec, &policy, &own, orders_in_ms, may_order_at, now_ms);
            for (endpoint, change, chain) in changes {
                change::start(&self.daemon, service.clone(), endpoint, change, chain);
            }
            groups.extend(known.unplanned_elsewhere(now_ms));
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

    /// Where other leaders answer, while this daemon leads.
    fn other_leaders(&mut self, now_ms: u64) -> BTreeMap<SocketAddr, DomainName> {
        if !self.leases.is_leading(now_ms) {
            return BTreeMap::new();
        }
        let others = self.leases.others(now_ms);
        self.others.keep(&others);
        others
    }

    /// What another leader is to be told, and whether it has not planned with that yet.
    fn ask_other(&mut self, address: SocketAddr, group: &DomainName) -> (WireAsking, bool) {
        let now_ms = self.now_ms();
        let mut digests = Vec::new();
        let mut placements = BTreeMap::new();
        let mut is_new = false;
        if let Some(other) = self.others.get(address) {
            for (service, state) in &self.services {
                let directory = self.daemon.usable(service);
                digests.push(other.digest(service, state, &directory, now_ms));
            }
            let positions = other.placements();
            let positions =
                positions.map(|(service, mirror)| (service.to_string(), mirror.position().into()));
            placements = positions.collect();
            is_new = !other.has_planned();
        }
        let nothing = WireHave { endpoints: u64::MAX, config: u64::MAX, placements };
        let asking = WireAsking {
            vm: self.daemon.settings.vm.clone(),
            group: group.to_string(),
            is_leader: true,
            members: self.members.count(now_ms) as u32,
            digests,
            have: nothing,
        };
        (asking, is_new)
    }

    fn other_answered(&mut self, address: SocketAddr, answer: Option<WireSynced>) {
        let now_ms = self.now_ms();
        let Some(answer) = answer else {
            self.leases.leader_silent(now_ms);
            return;
        };
        for (group, resigned) in &answer.resigned {
            let (resignation, engines) = resigned.clone().into();
            self.daemon.with_order_log(|log| log.heard(&engines, now_ms));
            self.leases.heard(&group.as_str().into(), resignation, now_ms);
        }
        if !answer.is_leader {
            self.leases.leader_silent(now_ms);
        }
        self.leases.told(answer.leases.clone(), now_ms);
        self.others.answered(address, answer, now_ms);
        self.is_plan_due = true;
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

/// What is known of the leaders that share a service's engines with this one.
fn sharers(
    others: &Others,
    service: &ServiceName,
    led: &BTreeSet<DomainName>,
    foreign: BTreeMap<EndpointName, Arc<Endpoint>>,
    now_ms: u64,
) -> sharing::Others {
    let notes = others.notes(service, now_ms);
    let engines = foreign.into_iter().map(|(name, endpoint)| {
        let (holds, running) = match notes.get(&name) {
            Some(note) => (note.holds.clone(), note.running),
            None => (endpoint.held.clone(), 0),
        };
        (name, Foreign { endpoint, holds, running })
    });
    let engines = engines.collect();
    let mut sharers = sharing::Others { led: led.clone(), engines, ..Default::default() };
    for other in others.live(now_ms) {
        sharers.leaders += 1;
        sharers.live.extend(other.led().iter().cloned());
        sharers.planned.extend(other.planned(service).cloned());
        let Some(group) = other.led().first() else { continue };
        let coming = other.last_plan(service, now_ms).into_iter().flat_map(|(ready, _)| ready);
        let coming = coming.filter(|(loadable, ms)| loadable.adapter.is_none() && **ms > 0);
        let coming = coming.map(|(loadable, _)| (loadable.model.clone(), group.clone()));
        sharers.coming.extend(coming);
    }
    sharers
}
