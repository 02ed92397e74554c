//! Answers to the sync requests of daemons and other leaders.

use crate::control::{
    Control,
    held_answers::HeldAnswer,
    service_view::{Requester, ViewSource},
};
use async_channel::Sender;
use std::collections::BTreeMap;
use trestle_core::names::VmName;
use trestle_dispatch::member_count::DaemonCount;
use trestle_wire::replicas::{WireSyncRequest, WireSyncResponse};

impl Control {
    /// Handles a sync request. It is answered when every leader that serves the reported demand
    /// has planned with it, or after a short time limit.
    pub(super) fn handle_sync(
        &mut self,
        request: WireSyncRequest,
        reply: Sender<WireSyncResponse>,
    ) {
        let now_ms = self.now_ms();
        if !self.leases.is_leading(now_ms) {
            // The requester may have given up.
            let knows_eras = request.have.endpoints.has_era();
            let _ = reply.try_send(self.not_leading_answer(&request.group, knows_eras, now_ms));
            return;
        }
        let WireSyncRequest { vm, group, is_leader, digests, have, .. } = request;
        let member = VmName::from(vm.as_str());
        if !is_leader {
            self.members.report_received(member.clone(), now_ms);
        }
        let requester = if is_leader { format!("{vm} as a leader").into() } else { member };
        let mut held = HeldAnswer::new(requester, group, is_leader, have, reply, now_ms);
        for report in digests {
            let service_view =
                self.service_views.entry(report.service.as_str().into()).or_default();
            let log = service_view.log(is_leader);
            let name = |log_id: u64, number| {
                (log_id == log.id()).then(|| log.name(number).cloned()).flatten()
            };
            let log_id = report.log;
            let (service, report) = report.into_report(|number| name(log_id, number));
            self.is_plan_due |= !report.waiting.is_empty();
            held.add_demand(&service, &report);
            let state = self.services.entry(service.clone()).or_default();
            if is_leader {
                state.demand.leader_report_received(held.requester.clone(), report, now_ms);
            } else {
                self.others.add_arrivals(&service, &report);
                state.demand.report_received(held.requester.clone(), report, now_ms);
            }
        }
        // An answer that follows a plan reports what becomes of the waiting requests.
        let has_planned = self.plan_if_due(now_ms);
        if !is_leader && !has_planned {
            self.forward_demand(now_ms);
        }
        self.held_answers.push(held);
        self.answer_due(now_ms);
    }

    fn not_leading_answer(&self, group: &str, knows_eras: bool, now_ms: u64) -> WireSyncResponse {
        WireSyncResponse {
            leases: self.leases.rows_for(group, knows_eras, now_ms),
            resigned: self.leases.resignations(now_ms),
            ..WireSyncResponse::default()
        }
    }

    /// Answers requesters for whom there is something new, and those at their time limit.
    pub(super) fn answer_due(&mut self, now_ms: u64) {
        if self.held_answers.is_empty() {
            return;
        }
        self.refresh_views(now_ms);
        for (service, service_view) in &mut self.service_views {
            for (is_leader, arrived) in service_view.take_arrivals() {
                self.held_answers.record_arrivals(service, is_leader, &arrived);
            }
        }
        let services = &self.services;
        let due = self.held_answers.take_due(now_ms, |service, requester| {
            services.get(service).map_or(0, |state| state.demand.last_planned(requester))
        });
        for held in due {
            let answer = self.answer(&held, now_ms);
            // The requester may have given up.
            let _ = held.reply.try_send(answer);
        }
    }

    /// Rebuilds the views that are sent, where they are too old.
    fn refresh_views(&mut self, now_ms: u64) {
        let led = self.leases.led(now_ms);
        if led.is_empty() {
            return;
        }
        for (service, state) in &self.services {
            let service_view = self.service_views.entry(service.clone()).or_default();
            let others = &self.others;
            self.daemon.shared_view.with(|local_view| {
                let directory = &local_view.directory;
                service_view.refresh(ViewSource {
                    state,
                    service,
                    directory,
                    others,
                    led: &led,
                    now_ms,
                });
            });
        }
    }

    /// Counts the daemons that share budgets.
    pub(super) fn count_daemons(&mut self, now_ms: u64) -> DaemonCount {
        let others = self.others.members(|groups| self.leases.daemons_of(groups.iter()));
        self.members.count(others, self.leases.daemons_before(now_ms), now_ms)
    }

    fn answer(&mut self, held: &HeldAnswer, now_ms: u64) -> WireSyncResponse {
        if !self.leases.is_leading(now_ms) {
            return self.not_leading_answer(&held.group, held.knows_eras(), now_ms);
        }
        let led = self.leases.led(now_ms);
        let DaemonCount { members, all: daemons } = self.count_daemons(now_ms);
        // Until then, the next holder needs the counts of the holders before.
        if self.members.is_complete(now_ms) {
            self.leases.set_daemons(members, now_ms);
        }
        let mut views = BTreeMap::new();
        for (service, state) in &self.services {
            let Some(service_view) = self.service_views.get(service) else { continue };
            let requester = Requester {
                is_leader: held.is_leader,
                position: held.position(service),
                models: held.models(service),
            };
            let (others, led) = (&self.others, &led);
            let mut view = self.daemon.shared_view.with(|local_view| {
                let directory = &local_view.directory;
                service_view
                    .view(requester, ViewSource { state, service, directory, others, led, now_ms })
            });
            view.planned = state.demand.last_planned(&held.requester);
            view.daemons = daemons as u32;
            view.askers = self.members.current() as u32;
            views.insert(service.to_string(), view);
        }
        WireSyncResponse {
            leases: self.leases.rows_for(&held.group, held.knows_eras(), now_ms),
            is_leader: true,
            led: led.iter().map(ToString::to_string).collect(),
            members: members as u32,
            resigned: self.leases.resignations(now_ms),
            views,
            refused: None,
            relay: None,
        }
    }
}
