//! The control thread.
//!
//! It alone holds the lease and the states of engines. It takes one message after
//! another, decides by the functions of `trestle_dispatch`, and leaves what takes
//! time to tasks that report back by message.

mod answering;
mod answers;
pub(crate) mod change;
mod leaders;
mod leases;
pub(crate) mod leasing;
pub(crate) mod message;
mod others;
pub(crate) mod permit;
mod planning;
mod telling;

use crate::{
    control::{
        answers::Pendings, leases::Leases, message::Message, others::Others, planning::PLAN_GAP_MS,
        telling::Telling,
    },
    daemon::Daemon,
};
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::Timer;
use std::{collections::BTreeMap, io, sync::Arc, thread, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    catalog::{Catalog, EngineSpec},
    endpoint::Incarnation,
    member_count::MemberCount,
    orders::OrderChain,
    service_state::ServiceState,
};

/// Longest time between two looks at what is due, while holding a lease.
const HOLDER_TICK_MS: u64 = 100;
/// The same while others hold all of them.
const STANDBY_TICK_MS: u64 = 250;

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
                self.resigned(&group, resignation, &engines, now_ms);
            }
            Message::LeaderSilent => self.leases.leader_silent(now_ms),
            Message::Leader { attempt, reply } => {
                let _ = reply.try_send(self.leases.leader(attempt, now_ms));
            }
            Message::LeaderFor { name, reply } => {
                let _ = reply.try_send(self.leases.decider(&name, now_ms));
            }
            Message::LeaderOf { group, reply } => {
                let _ = reply.try_send(self.leases.leader_of(&group, now_ms));
            }
            Message::OtherLeaders(reply) => {
                let _ = reply.try_send(self.other_leaders(now_ms));
            }
            Message::AskOther { address, group, reply } => {
                let _ = reply.try_send(self.ask_other(address, &group));
            }
            Message::OtherAnswered { address, answer } => self.other_answered(address, answer),
            Message::ChangeEnded { service, engine, chain } => {
                self.change_ended(&service, &engine, &chain);
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

    fn change_ended(&mut self, service: &ServiceName, engine: &Incarnation, chain: &OrderChain) {
        let now_ms = self.now_ms();
        if let Some(known) = self.services.get_mut(service) {
            known.finish_change(engine, chain, now_ms);
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
