//! What this daemon, while it leads, tells other leaders and hears from them.

use crate::control::Control;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{DomainName, EndpointName};
use trestle_dispatch::lease::Resignation;
use trestle_wire::{
    relay::WireHave,
    replicas::{WireAsking, WireSynced},
};

impl Control {
    /// Where other leaders answer, while this daemon leads.
    pub(super) fn other_leaders(&mut self, now_ms: u64) -> BTreeMap<SocketAddr, (DomainName, u64)> {
        if !self.leases.is_leading(now_ms) {
            return BTreeMap::new();
        }
        let others = self.leases.others(now_ms);
        self.others.keep(&others);
        others
    }

    /// What another leader is to be told, and whether it has not planned with that yet.
    pub(super) fn ask_other(
        &mut self,
        address: SocketAddr,
        group: &DomainName,
    ) -> (WireAsking, bool) {
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
        let nothing = WireHave {
            endpoints: u64::MAX,
            config: u64::MAX,
            refused: 0,
            departures: true,
            placements,
        };
        let asking = WireAsking {
            vm: self.daemon.settings.vm.clone(),
            group: group.to_string(),
            is_leader: true,
            members: self.members.count(now_ms) as u32,
            digests,
            crashes: Vec::new(),
            have: nothing,
        };
        (asking, is_new)
    }

    /// Takes the answer of the leader at an address, or that it gave none.
    pub(super) fn other_answered(&mut self, address: SocketAddr, answer: Option<WireSynced>) {
        let now_ms = self.now_ms();
        let Some(answer) = answer else {
            self.leases.leader_silent(now_ms);
            return;
        };
        for (group, resigned) in &answer.resigned {
            let (resignation, engines) = resigned.clone().into();
            self.resigned(&group.as_str().into(), resignation, &engines, now_ms);
        }
        if !answer.is_leader {
            self.leases.leader_silent(now_ms);
        }
        self.leases.told(answer.leases.clone(), now_ms);
        self.others.answered(address, answer, now_ms);
        self.is_plan_due = true;
    }

    /// Takes what a leader says that has stepped down from a group.
    pub(super) fn resigned(
        &mut self,
        group: &DomainName,
        resignation: Resignation,
        engines: &BTreeMap<EndpointName, u64>,
        now_ms: u64,
    ) {
        self.daemon.with_order_log(|log| log.quiet_times_received(engines, now_ms));
        self.leases.heard(group, resignation, now_ms);
    }
}
