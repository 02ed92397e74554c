//! The members of a failure domain.

use crate::{
    names::{EndpointName, VmName},
    rendezvous,
};
use std::collections::{BTreeMap, BTreeSet};

/// The members of a failure domain at an epoch.
#[trestle_macros::plain]
#[derive(Default)]
pub struct MembershipRow {
    /// Grows by one with each change.
    pub epoch: u64,
    /// Members and where their peers reach them.
    pub members: BTreeMap<VmName, Member>,
    /// Former members that were expelled and have not taken note of it yet.
    pub unsettled: BTreeSet<VmName>,
}

/// One run of a daemon as a member.
#[trestle_macros::plain]
pub struct Member {
    /// Where peers reach it, as `ip:port`.
    pub address: String,
    /// Differs between two runs of a daemon on one VM.
    pub incarnation: u64,
    /// Whether it belongs to another domain and only stands in.
    pub is_adopter: bool,
}

impl MembershipRow {
    /// Owners of an endpoint, the first in charge and the others its successors.
    pub fn chain(&self, endpoint: &EndpointName) -> Vec<&VmName> {
        rendezvous::ranked(endpoint.as_str(), self.members.keys())
    }

    /// The rank of a member in the chain of an endpoint.
    pub fn rank(&self, endpoint: &EndpointName, vm: &VmName) -> Option<u8> {
        let rank = self.chain(endpoint).iter().position(|member| *member == vm)?;
        u8::try_from(rank).ok()
    }

    /// The row with a member added or renewed.
    #[must_use]
    pub fn with(&self, vm: &VmName, member: &Member) -> Self {
        let mut row = self.advanced();
        row.unsettled.remove(vm);
        row.members.insert(vm.clone(), member.clone());
        row
    }

    /// The row after a member has left by itself.
    #[must_use]
    pub fn without(&self, vm: &VmName) -> Self {
        let mut row = self.advanced();
        row.members.remove(vm);
        row
    }

    /// The row after a member was expelled.
    #[must_use]
    pub fn expelling(&self, vm: &VmName) -> Self {
        let mut row = self.without(vm);
        row.unsettled.insert(vm.clone());
        row
    }

    /// The row after the VMs of former members are known to be gone.
    #[must_use]
    pub fn settled(&self, gone: &BTreeSet<VmName>) -> Self {
        let mut row = self.advanced();
        row.unsettled.retain(|vm| !gone.contains(vm));
        row
    }

    /// The row at the next epoch, its members unchanged.
    #[must_use]
    pub fn advanced(&self) -> Self {
        Self { epoch: self.epoch + 1, ..self.clone() }
    }

    /// Every VM that may act on what it has read at this epoch or before.
    pub fn may_act(&self) -> BTreeSet<VmName> {
        self.members.keys().chain(&self.unsettled).cloned().collect()
    }
}
