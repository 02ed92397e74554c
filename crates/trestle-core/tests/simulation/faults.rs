//! Faults of the simulation.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{EndpointName, VmName};

/// Faults that are in effect.
#[derive(Default, Debug, Clone)]
pub(crate) struct Faults {
    pub(crate) platform_down: bool,
    pub(crate) writes_down: bool,
    pub(crate) lost_answers_percent: u8,
    pub(crate) slow_orders_percent: u8,
    pub(crate) slow_order_ms: u64,
    /// Additional delay of the answers to reads of placements, by daemon.
    pub(crate) late_placements_ms: BTreeMap<VmName, u64>,
    /// Shortest time after which entry daemons use a permit.
    pub(crate) permit_use_ms: u64,
    /// Time until which the orders of a daemon stay unsent, as if it was suspended between its
    /// decision and the sending.
    pub(crate) orders_delayed_until_ms: BTreeMap<VmName, u64>,
    pub(crate) platform_cut: BTreeSet<VmName>,
    /// Daemons that do not read the platform's list of VMs.
    pub(crate) stale_list: BTreeSet<VmName>,
    pub(crate) engine_cut: BTreeSet<(VmName, EndpointName)>,
    pub(crate) peers_cut: BTreeSet<(VmName, VmName)>,
    /// Run time of every request; random if `None`.
    pub(crate) run_ms: Option<u64>,
    /// Whether no message gets a long delay.
    pub(crate) has_no_slow_messages: bool,
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
