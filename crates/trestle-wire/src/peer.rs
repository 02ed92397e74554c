//! The service between daemons whose state is on the platform.

use crate::row::WireMembership;
use trestle_core::permit::{PermitAnswer, PermitRequest, Refusal, Ticket};

/// Service of a daemon towards its peers.
#[tarpc::service]
pub trait Peer {
    /// Requests a permit; the answer comes once the permit is granted or refused.
    async fn ask(ask: WirePermitRequest) -> WirePermitAnswer;
    /// Gives a permit back.
    async fn release(endpoint: String, ticket: u64);
    /// Returns whether this daemon owns the endpoint, or will own it as soon as it can.
    async fn owns(endpoint: String) -> bool;
    /// Reports that the owner of the endpoint has changed the endpoint's row.
    async fn row_changed(endpoint: String);
    /// Returns the members of the peer's own failure domain as the peer has read them; `None` if it
    /// has not.
    async fn members() -> Option<WireMembership>;
    /// Returns the configuration file in force; `None` if it is not newer than the version.
    async fn config_after(version: u64) -> Option<WireConfig>;
}

/// Configuration file with its version.
#[trestle_macros::wire]
pub struct WireConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Text of the file, as the operator wrote it.
    pub text: String,
}

/// Request of an entry daemon for a permit.
#[trestle_macros::wire]
pub struct WirePermitRequest {
    /// VM of the entry daemon.
    pub entry: String,
    /// Endpoint to which the caller's request would be sent.
    pub endpoint: String,
    /// Model that the caller's request needs.
    pub model: String,
    /// Tenant of the caller.
    pub tenant: String,
    /// Urgency of the class of the caller's request; 0 is the most urgent.
    pub urgency: u8,
    /// Time until the complete answer to the caller is due, in milliseconds.
    pub due_in_ms: u64,
    /// Number of ranks, from the start of the endpoint's chain, that do not serve the entry daemon.
    pub ranks_lost: u8,
    /// Longest expected wait that the entry daemon accepts if the model is loaded, in milliseconds;
    /// `None` for no limit.
    pub patience_ms: Option<u64>,
}

impl WirePermitRequest {
    /// Returns the permit request in the form that the owner handles; `now_ms` is the time of
    /// receipt on the owner's clock.
    pub fn into_permit_request(self, ticket: Ticket, now_ms: u64) -> PermitRequest {
        PermitRequest {
            ticket,
            entry: self.entry.into(),
            endpoint: self.endpoint.into(),
            model: self.model.into(),
            tenant: self.tenant.into(),
            urgency: self.urgency,
            deadline_ms: now_ms.saturating_add(self.due_in_ms),
            ranks_lost: self.ranks_lost,
            wait_limit_ms: self.patience_ms,
            cold: false,
            pending_until_ms: 0,
        }
    }
}

/// Answer to a permit request.
#[trestle_macros::wire]
pub enum WirePermitAnswer {
    /// The caller's request may be sent now.
    Granted {
        /// Identifier of the permit at this owner.
        ticket: u64,
        /// Whether the caller's request waited for the model to be loaded.
        cold: bool,
    },
    /// The permit request is not admitted, or has been removed from the queue.
    Refused {
        /// Reason of the refusal.
        reason: WireRefusal,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The expected wait is longer than the entry daemon accepts.
    Busy {
        /// Expected wait, in milliseconds.
        wait_ms: u64,
    },
    /// The model is not placed at this endpoint.
    NotPlaced,
    /// This daemon does not own the endpoint.
    NotOwner {
        /// Rank of the owner in the chain; `None` if this daemon does not know it.
        owner_rank: Option<u8>,
    },
}

/// Reason of a refusal.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
pub enum WireRefusal {
    /// The expected wait would end after the deadline.
    DeadlineTooClose,
    /// The maximum number of requests of the tenant already wait.
    TenantQueueFull,
    /// The endpoint is draining.
    Leaving,
    /// The endpoint does not answer its owner.
    EndpointSilent,
    /// The request can no longer be served by its deadline, which it reached while waiting.
    DeadlinePassed,
}

impl WirePermitAnswer {
    /// Creates the wire form of the answer to the permit request with the ticket.
    pub fn new(ticket: Ticket, answer: PermitAnswer) -> Self {
        match answer {
            PermitAnswer::Granted { cold } => Self::Granted { ticket: ticket.0, cold },
            PermitAnswer::Refused { reason, retry_after_ms } => {
                Self::Refused { reason: reason.into(), retry_after_ms }
            }
            PermitAnswer::Busy { wait_ms } => Self::Busy { wait_ms },
            PermitAnswer::NotPlaced => Self::NotPlaced,
            PermitAnswer::NotOwner { owner_rank } => Self::NotOwner { owner_rank },
        }
    }
}

impl From<Refusal> for WireRefusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::DeadlineTooClose => Self::DeadlineTooClose,
            Refusal::TenantQueueFull => Self::TenantQueueFull,
            Refusal::Draining => Self::Leaving,
            Refusal::EndpointSilent => Self::EndpointSilent,
            Refusal::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}
