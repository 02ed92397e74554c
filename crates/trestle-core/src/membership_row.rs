//! Row that holds the members of a failure domain.

use crate::{
    names::{EndpointName, VmName},
    rendezvous,
};
use std::collections::{BTreeMap, BTreeSet};

/// Members of a failure domain at an epoch.
#[trestle_macros::plain]
#[derive(Default)]
pub struct MembershipRow {
    /// Epoch of the domain; grows by one with each change of the row.
    pub epoch: u64,
    /// Members by VM, with the addresses at which other daemons reach them.
    pub members: BTreeMap<VmName, Member>,
    /// VMs of former members that were expelled and may not have learned of it yet.
    pub unsettled: BTreeSet<VmName>,
}

/// One run of a daemon as a member.
#[trestle_macros::plain]
pub struct Member {
    /// Address at which other daemons reach it, as `ip:port`.
    pub address: String,
    /// Number that differs between two runs of the daemon on the same VM.
    pub incarnation: u64,
    /// Whether the daemon belongs to another failure domain and adopted this one, which had lost
    /// all its daemons.
    pub is_adopter: bool,
}

impl MembershipRow {
    /// Returns the chain of an endpoint: its first owner, then the successors in order.
    pub fn chain(&self, endpoint: &EndpointName) -> Vec<&VmName> {
        rendezvous::ranked(endpoint.as_str(), self.members.keys())
    }

    /// Returns the rank of a member in the chain of an endpoint; `None` if the VM is not a member
    /// or its rank exceeds 255.
    pub fn rank(&self, endpoint: &EndpointName, vm: &VmName) -> Option<u8> {
        let rank = self.chain(endpoint).iter().position(|member| *member == vm)?;
        u8::try_from(rank).ok()
    }

    /// Returns the row of the next epoch with the member added or replaced.
    #[must_use]
    pub fn with_member(&self, vm: &VmName, member: &Member) -> Self {
        let mut row = self.at_next_epoch();
        row.unsettled.remove(vm);
        row.members.insert(vm.clone(), member.clone());
        row
    }

    /// Returns the row of the next epoch without a member that leaves by itself.
    #[must_use]
    pub fn without_member(&self, vm: &VmName) -> Self {
        let mut row = self.at_next_epoch();
        row.members.remove(vm);
        row
    }

    /// Returns the row of the next epoch without a member that is expelled.
    #[must_use]
    pub fn with_expelled(&self, vm: &VmName) -> Self {
        let mut row = self.without_member(vm);
        row.unsettled.insert(vm.clone());
        row
    }

    /// Returns the row of the next epoch without those former members whose VMs are gone.
    #[must_use]
    pub fn without_unsettled(&self, gone: &BTreeSet<VmName>) -> Self {
        let mut row = self.at_next_epoch();
        row.unsettled.retain(|vm| !gone.contains(vm));
        row
    }

    /// Returns the row of the next epoch with unchanged members.
    #[must_use]
    pub fn at_next_epoch(&self) -> Self {
        Self { epoch: self.epoch + 1, ..self.clone() }
    }

    /// Returns every VM that may still act on rows it read at this epoch or before.
    pub fn potential_actors(&self) -> BTreeSet<VmName> {
        self.members.keys().chain(&self.unsettled).cloned().collect()
    }
}
