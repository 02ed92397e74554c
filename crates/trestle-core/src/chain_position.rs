//! Position of one daemon in the chain of owners of an endpoint.

use crate::{
    endpoint_row::EndpointRow, fence::Fence, names::VmName, owned_endpoint::OwnedEndpoint,
    permit::PermitRequest,
};
use std::collections::BTreeMap;

/// Position of one daemon in the chain of owners of an endpoint.
#[trestle_macros::plain]
pub struct ChainPosition {
    /// Membership epoch at which the rank was computed.
    pub epoch: u64,
    /// Rank in the chain; 0 is the first owner.
    pub rank: u8,
    /// Models placed at the endpoint, as read at `epoch` or later.
    pub row: EndpointRow,
    /// Version of `row` in the table.
    pub version: u64,
    /// Role of this daemon for the endpoint.
    pub role: Role,
    /// Permit requests that wait until the owner is known.
    pub pending: Vec<PermitRequest>,
    /// Probes of the members before this one in the chain, with their results.
    pub probes: BTreeMap<VmName, Probe>,
    /// Whether a transaction that changes the row has no outcome yet.
    pub is_writing: bool,
}

/// Role of a daemon for an endpoint whose chain includes it.
#[trestle_macros::plain]
pub enum Role {
    /// A successor that does not own the endpoint.
    Standby,
    /// The owner.
    Owner(Box<OwnedEndpoint>),
    /// A former owner whose order the endpoint refused because it had accepted the fencing number
    /// given, which a successor holds.
    SteppedDown(Fence),
}

/// State of a probe that asks another daemon whether it owns the endpoint.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Probe {
    /// The probe was sent and has no answer yet.
    Sent,
    /// The daemon owns the endpoint.
    Owns,
    /// The daemon does not own the endpoint, or did not answer.
    DoesNotServe,
}

impl ChainPosition {
    /// Creates the position of a successor that does not own the endpoint.
    pub fn standby(epoch: u64, rank: u8, row: EndpointRow, version: u64) -> Self {
        Self {
            epoch,
            rank,
            row,
            version,
            role: Role::Standby,
            pending: Vec::new(),
            probes: BTreeMap::new(),
            is_writing: false,
        }
    }

    /// Returns the owner's state of the endpoint; `None` if this daemon is not its owner.
    pub fn owned_endpoint(&self) -> Option<&OwnedEndpoint> {
        match &self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }

    /// Returns the owner's state of the endpoint for changes; `None` if this daemon is not its
    /// owner.
    pub fn owned_endpoint_mut(&mut self) -> Option<&mut OwnedEndpoint> {
        match &mut self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }
}
