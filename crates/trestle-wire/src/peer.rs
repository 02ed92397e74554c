//! What daemons ask each other.

use crate::row::WireMembership;
use trestle_core::permit::{PermitAnswer, PermitRequest, Refusal, Ticket};

/// The service of a daemon towards its peers.
#[tarpc::service]
pub trait Peer {
    /// Asks for a permit; the answer comes when the request may be sent, or must not.
    async fn ask(ask: WireAsk) -> WireAnswer;
    /// Gives a permit back.
    async fn release(endpoint: String, ticket: u64);
    /// Asks whether this daemon owns the endpoint, or will as soon as it can.
    async fn owns(endpoint: String) -> bool;
    /// Tells that the owner of the endpoint has changed its row.
    async fn row_changed(endpoint: String);
    /// Asks for the members of the peer's own failure domain, as it has read them.
    async fn members() -> Option<WireMembership>;
    /// Asks for the file in force if it is newer than the version.
    async fn config_after(version: u64) -> Option<WireConfig>;
}

/// A configuration file with its version.
#[trestle_macros::wire]
pub struct WireConfig {
    /// The version.
    pub version: u64,
    /// The file, as the operator wrote it.
    pub text: String,
}

/// An ask for a permit.
#[trestle_macros::wire]
pub struct WireAsk {
    /// The VM of the entry daemon.
    pub entry: String,
    /// The endpoint the request would go to.
    pub endpoint: String,
    /// The model it needs.
    pub model: String,
    /// The caller's tenant.
    pub tenant: String,
    /// Urgency of its class.
    pub urgency: u8,
    /// Time until the whole answer is due.
    pub due_in_ms: u64,
    /// First ranks of the owner's chain that do not serve the entry daemon.
    pub ranks_lost: u8,
    /// Longest wait to accept.
    pub patience_ms: Option<u64>,
}

impl WireAsk {
    /// The ask as the owner takes it, at the owner's time.
    pub fn received(self, ticket: Ticket, now_ms: u64) -> PermitRequest {
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

/// The answer to an ask.
#[trestle_macros::wire]
pub enum WireAnswer {
    /// The request may be sent now.
    Granted {
        /// Identifies the permit at this owner.
        ticket: u64,
        /// Whether the request waited for the model to be loaded.
        cold: bool,
    },
    /// The request cannot be served by its deadline.
    Refused {
        /// Why not.
        reason: WireRefusal,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The wait is longer than accepted.
    Busy {
        /// The expected wait.
        wait_ms: u64,
    },
    /// The model is not placed at this endpoint.
    NotPlaced,
    /// This daemon does not own the endpoint.
    NotOwner {
        /// The rank that does, as far as known.
        owner_rank: Option<u8>,
    },
}

/// Why a request is refused.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
pub enum WireRefusal {
    /// The wait would end past the deadline.
    DeadlineTooClose,
    /// Too many requests of the tenant wait already.
    TenantQueueFull,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint does not answer its owner.
    EndpointSilent,
    /// The deadline has passed while the request waited.
    DeadlinePassed,
}

impl WireAnswer {
    /// The wire form of an answer to the ask with the ticket.
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
