//! What goes wrong in the simulation.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, VmName};

/// What goes wrong in the simulation.
#[derive(Default, Debug, Clone)]
pub(crate) struct Faults {
    pub(crate) platform_down: bool,
    pub(crate) writes_down: bool,
    pub(crate) lost_answers_percent: u8,
    pub(crate) slow_orders_percent: u8,
    pub(crate) slow_order_ms: u64,
    /// Time by which answers to reads of placements are late.
    pub(crate) late_placements_ms: BTreeMap<VmName, u64>,
    /// Time that entry daemons take to use a permit.
    pub(crate) permit_use_ms: u64,
    /// Until when orders that a daemon has decided on are not sent, as when it is
    /// frozen in between.
    pub(crate) orders_held_until_ms: BTreeMap<VmName, u64>,
    pub(crate) platform_cut: BTreeSet<VmName>,
    /// Daemons that do not learn of changes in the platform's list of VMs.
    pub(crate) list_unread: BTreeSet<VmName>,
    pub(crate) engine_cut: BTreeSet<(VmName, EndpointName)>,
    pub(crate) peers_cut: BTreeSet<(VmName, VmName)>,
    /// Time that every request runs, where it is not drawn.
    pub(crate) run_ms: Option<u64>,
    /// Whether no message is delayed for long.
    pub(crate) is_network_calm: bool,
}

impl Faults {
    pub(crate) fn is_platform_cut(&self, vm: &VmName) -> bool {
        self.platform_down || self.platform_cut.contains(vm)
    }

    pub(crate) fn is_engine_cut(&self, vm: &VmName, endpoint: &EndpointName) -> bool {
        self.engine_cut.contains(&(vm.clone(), endpoint.clone()))
    }

    pub(crate) fn are_peers_cut(&self, a: &VmName, b: &VmName) -> bool {
        self.peers_cut.contains(&(a.clone(), b.clone()))
            || self.peers_cut.contains(&(b.clone(), a.clone()))
    }
}
