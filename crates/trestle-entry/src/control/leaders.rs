//! What this daemon, while it leads, exchanges with other leaders.

use crate::control::Control;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{DomainName, EndpointName};
use trestle_dispatch::{lease::Resignation, store_version::StoreVersion};
use trestle_wire::{
    relay::WireSyncPosition,
    replicas::{WireSyncRequest, WireSyncResponse},
    store_version::WireStoreVersion,
};

impl Control {
    /// Returns the addresses of other leaders while this daemon leads.
    pub(super) fn other_leaders(&mut self, now_ms: u64) -> BTreeMap<SocketAddr, (DomainName, u64)> {
        if !self.leases.is_leading(now_ms) {
            return BTreeMap::new();
        }
        let others = self.leases.other_leaders(now_ms);
        self.others.update(&others);
        others
    }

    /// Returns the sync request to another leader, and whether it holds demand with which that
    /// leader has not planned yet.
    pub(super) fn request_to_other(
        &mut self,
        address: SocketAddr,
        group: &DomainName,
    ) -> (WireSyncRequest, bool) {
        let now_ms = self.now_ms();
        let mut digests = Vec::new();
        let mut placements = BTreeMap::new();
        let mut has_new_demand = false;
        if let Some(other) = self.others.get(address) {
            for (service, state) in &self.services {
                let directory = self.daemon.usable_endpoints(service);
                digests.push(other.demand_report(service, state, &directory, now_ms));
            }
            let positions = other.placements();
            let positions =
                positions.map(|(service, mirror)| (service.to_string(), mirror.position().into()));
            placements = positions.collect();
            has_new_demand = !other.has_planned();
        }
        let have = WireSyncPosition {
            // Leaders follow the store themselves, so this only says that versions have eras.
            endpoints: WireStoreVersion::from(StoreVersion::default()),
            config: u64::MAX,
            refused: 0,
            departures: true,
            placements,
        };
        let request = WireSyncRequest {
            vm: self.daemon.settings.vm.clone(),
            group: group.to_string(),
            is_leader: true,
            members: self.count_daemons(now_ms).members as u32,
            digests,
            crashes: Vec::new(),
            have,
        };
        (request, has_new_demand)
    }

    /// Handles the answer of the leader at an address, or its absence.
    pub(super) fn record_other_answer(
        &mut self,
        address: SocketAddr,
        answer: Option<WireSyncResponse>,
    ) {
        let now_ms = self.now_ms();
        let Some(answer) = answer else {
            self.leases.leader_unresponsive(now_ms);
            return;
        };
        for (group, resigned) in &answer.resigned {
            let (resignation, engines) = resigned.clone().into();
            self.leader_resigned(&group.as_str().into(), resignation, &engines, now_ms);
        }
        if !answer.is_leader {
            self.leases.leader_unresponsive(now_ms);
        }
        self.leases.receive(answer.leases.clone(), now_ms);
        self.others.record_answer(address, answer, now_ms);
        self.is_plan_due = true;
    }

    /// Records the report of a leader that has stepped down from a group.
    pub(super) fn leader_resigned(
        &mut self,
        group: &DomainName,
        resignation: Resignation,
        engines: &BTreeMap<EndpointName, u64>,
        now_ms: u64,
    ) {
        self.daemon.with_order_log(|log| log.quiet_times_received(engines, now_ms));
        self.leases.resignation_received(group, resignation, now_ms);
    }
}
