//! Inputs and outputs of [`ControlState`](crate::control_state::ControlState).

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

/// Input of the control state of a daemon.
#[trestle_macros::plain]
pub enum Event {
    /// Time has passed; sent at short intervals.
    Tick,
    /// The stored usage profiles of the models at an endpoint were read.
    UsageProfiles(EndpointName, BTreeMap<ModelName, UsageProfile>),
    /// The local time that operators use, as it is now; sent regularly.
    Clock(CivilTime),
    /// A configuration became active.
    Catalog(Arc<Catalog>),
    /// The platform's list of VMs was read; it contains daemons and endpoints.
    VmList(BTreeMap<String, VmState>),
    /// A read ended; the rows are `None` if it failed.
    Read(ReadPurpose, Option<Rows>),
    /// A transaction ended.
    Committed(CommitPurpose, CommitOutcome),
    /// Another daemon was asked whether it owns an endpoint.
    Probed {
        /// VM of the other daemon.
        vm: VmName,
        /// Endpoint that the probe is about.
        endpoint: EndpointName,
        /// Answer of the other daemon; `None` if there was none.
        owns: Option<bool>,
    },
    /// The owner of an endpoint has changed the endpoint's row.
    RowChanged(EndpointName),
    /// An order was answered, or its answer was lost.
    OrderResult {
        /// Endpoint that received the order.
        endpoint: EndpointName,
        /// Fencing number of the order.
        fence: Fence,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// An entry daemon requests a permit.
    PermitRequested(PermitRequest),
    /// An entry daemon gives a permit back.
    Release(EndpointName, Ticket),
    /// The caller of a waiting request has disconnected.
    Cancel(EndpointName, Ticket),
    /// The daemon has to leave the domain and stop.
    Stop,
}

impl Event {
    /// Returns the endpoint that the event is about; `None` if it concerns several or none.
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

/// Purpose of a read.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ReadPurpose {
    /// To update the membership of the domain.
    Membership,
    /// To update the placements at the endpoints whose chains include this daemon.
    Placements {
        /// Epoch that was known before the read began.
        epoch: u64,
    },
    /// To decide which models to place and which placements to remove.
    Review,
    /// To determine whether another domain has lost all its daemons.
    Adoption,
}

/// Purpose of a transaction.
#[trestle_macros::plain]
pub enum CommitPurpose {
    /// To renew this daemon's lease.
    Renewal,
    /// To change the membership of the domain.
    Membership,
    /// To change the placements at an endpoint.
    Placing(EndpointName),
}

/// Output of the control state, which the daemon carries out.
#[trestle_macros::plain]
pub enum Action {
    /// Read rows of the table.
    Read(ReadPurpose, Vec<RowKey>),
    /// Commit a transaction.
    Commit(CommitPurpose, Txn),
    /// Ask another daemon whether it owns an endpoint.
    Probe {
        /// VM of the other daemon.
        vm: VmName,
        /// Address of the other daemon, as `ip:port`.
        address: String,
        /// Endpoint that the probe is about.
        endpoint: EndpointName,
    },
    /// Notify another member of the chain that the row of an endpoint has changed.
    Notify {
        /// VM of the other member.
        vm: VmName,
        /// Address of the other member, as `ip:port`.
        address: String,
        /// Endpoint whose row has changed.
        endpoint: EndpointName,
    },
    /// Send an order to an endpoint.
    Order(EndpointName, Order),
    /// Answer a permit request.
    Answer(Ticket, PermitAnswer),
    /// Pass the members of the domain to the other parts of the daemon.
    Members(MembershipRow),
    /// Read the stored usage profiles of the models at an endpoint.
    FetchUsageProfiles(EndpointName),
    /// Store the usage profiles of the models at an endpoint for later owners.
    StoreUsageProfiles(EndpointName, BTreeMap<ModelName, UsageProfile>),
    /// Report that this daemon has begun or ceased to own an endpoint.
    Ownership {
        /// Endpoint whose owner changes.
        endpoint: EndpointName,
        /// First fencing number of this daemon; `None` if it no longer owns the endpoint.
        fence: Option<Fence>,
    },
    /// Report that this daemon has left its domain.
    Left,
}

/// State of a VM in the platform's list.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be removed.
    Draining,
}
