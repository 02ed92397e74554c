//! What happens to a node, and what it asks for in return.

use crate::{
    catalog::Catalog,
    fence::Fence,
    membership_row::MembershipRow,
    names::{EndpointName, ModelName, VmName},
    order::{Order, OrderOutcome},
    permit::{PermitAnswer, PermitRequest, Ticket},
    row::{CommitOutcome, RowKey, Rows, Txn},
    usage_profile::UsageProfile,
    window::CivilTime,
};
use std::{collections::BTreeMap, sync::Arc};

/// Something that happened.
#[trestle_macros::plain]
pub enum Event {
    /// Time went on.
    Tick,
    /// What was kept of the habits of the models at an endpoint.
    UsageProfiles(EndpointName, BTreeMap<ModelName, UsageProfile>),
    /// The operators' clocks went on.
    Clock(CivilTime),
    /// A configuration came into force.
    Catalog(Arc<Catalog>),
    /// The platform's list of VMs, daemons and endpoints alike.
    VmList(BTreeMap<String, VmState>),
    /// A read ended; `None` when it failed.
    Read(ReadPurpose, Option<Rows>),
    /// A transaction ended.
    Committed(CommitPurpose, CommitOutcome),
    /// A peer was asked whether it owns an endpoint; `None` when it did not answer.
    Probed {
        /// The peer.
        vm: VmName,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its answer.
        owns: Option<bool>,
    },
    /// The owner of an endpoint has changed its row.
    RowChanged(EndpointName),
    /// An order was answered, or its answer was lost.
    OrderResult {
        /// The endpoint.
        endpoint: EndpointName,
        /// The order's number.
        fence: Fence,
        /// What is known of it.
        outcome: OrderOutcome,
    },
    /// An entry daemon asks for a permit.
    PermitRequested(PermitRequest),
    /// An entry daemon gives a permit back.
    Release(EndpointName, Ticket),
    /// The caller of a waiting request has gone.
    Cancel(EndpointName, Ticket),
    /// The daemon is to stop.
    Stop,
}

impl Event {
    /// The endpoint that the event is about; `None` if it is about more than one.
    pub fn endpoint(&self) -> Option<&EndpointName> {
        match self {
            Self::Probed { endpoint, .. }
            | Self::RowChanged(endpoint)
            | Self::OrderResult { endpoint, .. }
            | Self::UsageProfiles(endpoint, _)
            | Self::Release(endpoint, _)
            | Self::Cancel(endpoint, _) => Some(endpoint),
            Self::PermitRequested(request) => Some(&request.endpoint),
            _ => None,
        }
    }
}

/// What a read is for.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ReadPurpose {
    /// To follow the membership of the domain.
    Membership,
    /// To learn what is placed at the endpoints, as of an epoch.
    Placements {
        /// The epoch that was known before the read began.
        epoch: u64,
    },
    /// To place models and to take them away.
    Review,
    /// To see whether another domain has lost all its members.
    Adoption,
}

/// What a transaction is for.
#[trestle_macros::plain]
pub enum CommitPurpose {
    /// To renew this daemon's lease.
    Renewal,
    /// To change the membership of the domain.
    Membership,
    /// To change what is placed at an endpoint.
    Placing(EndpointName),
}

/// Something to do.
#[trestle_macros::plain]
pub enum Action {
    /// Read rows of the table.
    Read(ReadPurpose, Vec<RowKey>),
    /// Commit a transaction.
    Commit(CommitPurpose, Txn),
    /// Ask a peer whether it owns an endpoint.
    Probe {
        /// The peer.
        vm: VmName,
        /// Where it is reached, as `ip:port`.
        address: String,
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Tell a successor that the row of an endpoint has changed.
    Notify {
        /// The successor.
        vm: VmName,
        /// Where it is reached, as `ip:port`.
        address: String,
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Send an order to an endpoint.
    Order(EndpointName, Order),
    /// Answer an ask for a permit.
    Answer(Ticket, PermitAnswer),
    /// Tell the rest of the daemon about the members of the domain.
    Members(MembershipRow),
    /// Read what was kept of the habits at an endpoint.
    FetchUsageProfiles(EndpointName),
    /// Keep the habits at an endpoint, for its later owners.
    StoreUsageProfiles(EndpointName, BTreeMap<ModelName, UsageProfile>),
    /// This daemon owns the endpoint from now on, or no longer.
    Ownership {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its first fencing number, `None` when it is given up.
        fence: Option<Fence>,
    },
    /// This daemon has left its domain.
    Left,
}

/// What the platform says of a VM.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away.
    Draining,
}
