//! What daemons and other leaders tell, and the answers to them.

use crate::control::{
    Control,
    answers::Pending,
    telling::{Asker, Known},
};
use async_channel::Sender;
use std::collections::BTreeMap;
use trestle_core::names::VmName;
use trestle_wire::replicas::{WireAsking, WireSynced};

impl Control {
    /// Takes what a daemon tells. It is answered when everybody who sees to its wishes has
    /// planned with them, or soon.
    pub(super) fn sync(&mut self, asking: WireAsking, reply: Sender<WireSynced>) {
        let now_ms = self.now_ms();
        if !self.leases.is_leading(now_ms) {
            // The asker may have given up.
            let _ = reply.try_send(self.not_leading(&asking.group, now_ms));
            return;
        }
        let WireAsking { vm, group, is_leader, digests, have, .. } = asking;
        let member = VmName::from(vm.as_str());
        if !is_leader {
            self.members.report_received(member.clone(), now_ms);
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
                known.demand.leader_report_received(pending.teller.clone(), digest, now_ms);
            } else {
                self.others.arrived(&service, &digest);
                known.demand.report_received(pending.teller.clone(), digest, now_ms);
            }
        }
        // The answer then says what becomes of the requests that wait.
        let has_planned = self.plan_if_due(now_ms);
        if !is_leader && !has_planned {
            self.share_out(now_ms);
        }
        self.pendings.push(pending);
        self.answer_pending(now_ms);
    }

    fn not_leading(&self, group: &str, now_ms: u64) -> WireSynced {
        WireSynced {
            leases: self.leases.rows_for(group, now_ms),
            resigned: self.leases.resignations(now_ms),
            ..WireSynced::default()
        }
    }

    /// Answers those for whom there is something to say, or who have waited long enough.
    pub(super) fn answer_pending(&mut self, now_ms: u64) {
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
            services.get(service).map_or(0, |known| known.demand.last_planned(teller))
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
            self.daemon.knowledge.with(|local_view| {
                let directory = &local_view.directory;
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
            let mut view = self.daemon.knowledge.with(|local_view| {
                let directory = &local_view.directory;
                telling.view(asker, Known { state, service, directory, others, led, now_ms })
            });
            view.planned = state.demand.last_planned(&pending.teller);
            view.daemons = daemons as u32;
            view.askers = self.members.current() as u32;
            views.insert(service.to_string(), view);
        }
        WireSynced {
            leases: self.leases.rows_for(&pending.group, now_ms),
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
