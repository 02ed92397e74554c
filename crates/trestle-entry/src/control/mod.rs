//! The control thread.
//!
//! It alone holds the leases and the states of engines. It handles one message after another,
//! decides with the functions of `trestle_dispatch`, and leaves everything that takes time to
//! tasks that send their results back as messages.

pub(crate) mod change;
pub(crate) mod group_lease;
mod held_answers;
mod leaders;
mod leases;
pub(crate) mod message;
mod other_leaders;
pub(crate) mod permit;
mod planning;
mod service_view;
mod sync_requests;

use crate::{
    control::{
        held_answers::HeldAnswers, leases::Leases, message::Message, other_leaders::OtherLeaders,
        planning::PLAN_GAP_MS, service_view::ServiceView,
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

/// Longest time between two checks for due work while this daemon holds or releases a lease.
const HOLDER_TICK_MS: u64 = 100;
/// Longest time between two checks for due work while other daemons hold all leases.
const STANDBY_TICK_MS: u64 = 250;

/// The state of the control thread.
struct Control {
    daemon: Arc<Daemon>,
    leases: Leases,
    services: BTreeMap<ServiceName, ServiceState>,
    service_views: BTreeMap<ServiceName, ServiceView>,
    others: OtherLeaders,
    members: MemberCount,
    held_answers: HeldAnswers,
    planned_ms: u64,
    plan_gap_ms: u64,
    is_plan_due: bool,
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the operating system cannot create a thread.
pub(crate) fn start(daemon: Arc<Daemon>, messages: Receiver<Message>) -> io::Result<()> {
    let leases = Leases::new(Arc::clone(&daemon));
    let control = Control {
        daemon,
        leases,
        services: BTreeMap::new(),
        service_views: BTreeMap::new(),
        others: OtherLeaders::default(),
        members: MemberCount::default(),
        held_answers: HeldAnswers::default(),
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
        self.tick();
        loop {
            let tick_ms = self.until_next_tick_ms();
            let tick = async {
                Timer::after(Duration::from_millis(tick_ms)).await;
                Ok(Message::Tick)
            };
            match messages.recv().or(tick).await {
                Ok(message) => self.handle(message),
                Err(_) => return,
            }
            self.tick();
        }
    }

    fn until_next_tick_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        let tick_ms = match self.leases.is_leading(now_ms) || self.leases.is_release_pending() {
            true => HOLDER_TICK_MS,
            false => STANDBY_TICK_MS,
        };
        let plan_in_ms = match self.is_plan_due {
            true => (self.planned_ms + self.plan_gap_ms).saturating_sub(now_ms),
            false => tick_ms,
        };
        tick_ms.min(plan_in_ms).min(self.held_answers.due_in_ms(now_ms))
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Tick => self.is_plan_due = true,
            Message::Sync { request, reply } => self.handle_sync(request, reply),
            Message::LeasesReceived(leases) => self.leases.receive(leases, now_ms),
            Message::LeasesRead(rows) => self.leases.record_rows(rows, now_ms),
            Message::LeaseReadFailed => self.leases.record_read_failure(now_ms),
            Message::LeaseWritten { group, write, outcome, sent_ms } => {
                self.leases.write_finished(&group, write, outcome, sent_ms, now_ms);
            }
            Message::Resigned { group, resignation, engines } => {
                self.leader_resigned(&group, resignation, &engines, now_ms);
            }
            Message::LeaderUnresponsive => self.leases.leader_unresponsive(now_ms),
            Message::LeaderToQuery { attempt, reply } => {
                let _ = reply.try_send(self.leases.leader(attempt, now_ms));
            }
            Message::DecisionLeader { name, reply } => {
                let _ = reply.try_send(self.leases.decision_leader(&name, now_ms));
            }
            Message::GroupLeader { group, reply } => {
                let _ = reply.try_send(self.leases.leader_of(&group, now_ms));
            }
            Message::OtherLeaders(reply) => {
                let _ = reply.try_send(self.other_leaders(now_ms));
            }
            Message::OtherLeaderRequest { address, group, reply } => {
                let _ = reply.try_send(self.request_to_other(address, &group));
            }
            Message::OtherLeaderAnswered { address, answer } => {
                self.record_other_answer(address, answer)
            }
            Message::ChangeFinished { service, engine, chain } => {
                self.record_change(&service, &engine, &chain);
            }
            Message::QuietTime(quiet_ms) => self.leases.set_quiet_ms(quiet_ms),
            Message::Stop(reply) => self.leases.release(reply),
        }
    }

    /// Does the work that is due by time.
    fn tick(&mut self) {
        let now_ms = self.now_ms();
        let was_leader = self.leases.is_acting();
        self.leases.tick(now_ms);
        match (was_leader, self.leases.is_acting()) {
            (true, false) => {
                self.services.clear();
                self.service_views.clear();
                self.others.clear();
                self.held_answers.clear();
            }
            (false, true) => {
                self.members.begin(now_ms);
            }
            _ => {}
        }
        self.plan_if_due(now_ms);
        self.is_plan_due &= self.leases.is_leading(now_ms);
        self.answer_due(now_ms);
    }

    fn record_change(&mut self, service: &ServiceName, engine: &Incarnation, chain: &OrderChain) {
        let now_ms = self.now_ms();
        if let Some(state) = self.services.get_mut(service) {
            state.finish_change(engine, chain, now_ms);
        }
        self.is_plan_due = true;
    }

    fn now_ms(&self) -> u64 {
        self.daemon.shared_view.now_ms()
    }
}

fn engine_spec<'a>(catalog: &'a Catalog, service: &ServiceName) -> Option<&'a Arc<EngineSpec>> {
    catalog.services.get(service)?.engine.as_ref()
}
