//! One daemon's place in the chain of owners of an endpoint.

use crate::{
    endpoint_row::EndpointRow, fence::Fence, names::VmName, owned_endpoint::OwnedEndpoint,
    permit::PermitRequest,
};
use std::collections::BTreeMap;

/// One daemon's place in the chain of owners of an endpoint.
#[trestle_macros::plain]
pub struct ChainPosition {
    /// The epoch that rank and row belong to.
    pub epoch: u64,
    /// Place in the chain, 0 for the first owner.
    pub rank: u8,
    /// What is placed there, read at the epoch or later.
    pub row: EndpointRow,
    /// The version of the row.
    pub version: u64,
    /// What this daemon is to the endpoint.
    pub role: Role,
    /// Asks that wait for the outcome of probes.
    pub pending: Vec<PermitRequest>,
    /// Members of lower rank that were probed, and what they said.
    pub probes: BTreeMap<VmName, Probe>,
    /// Whether a transaction about the row is under way.
    pub is_writing: bool,
}

/// What a daemon is to an endpoint in its chain.
#[trestle_macros::plain]
pub enum Role {
    /// A successor that stands by.
    Standby,
    /// The owner.
    Owner(Box<OwnedEndpoint>),
    /// An owner that the endpoint has refused: a successor holds the number given.
    SteppedDown(Fence),
}

/// The state of one probe.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Probe {
    /// Sent, without an answer yet.
    Sent,
    /// Owns the endpoint.
    Owns,
    /// Does not own the endpoint, or did not answer.
    DoesNotServe,
}

impl ChainPosition {
    /// A successor that stands by.
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

    /// The endpoint as its owner sees it, where this daemon is the owner.
    pub fn owned_endpoint(&self) -> Option<&OwnedEndpoint> {
        match &self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }

    /// The same, to change.
    pub fn owned_endpoint_mut(&mut self) -> Option<&mut OwnedEndpoint> {
        match &mut self.role {
            Role::Owner(owned) => Some(owned),
            _ => None,
        }
    }
}
