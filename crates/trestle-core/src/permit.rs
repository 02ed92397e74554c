//! Permits to send one request to an endpoint.

use crate::names::{EndpointName, ModelName, TeamName, VmName};

/// Time within which an entry daemon has to use a permit, or give it back.
pub const PERMIT_USE_MS: u64 = 1_000;

/// Time for which an ask waits for an owner to be found.
const OWNER_WAIT_MS: u64 = 1_500;

/// Identifies one ask for a permit at the owner that received it.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Ticket(pub u64);

/// An entry daemon's ask for a permit.
#[trestle_macros::plain]
pub struct PermitRequest {
    /// Identifies the ask.
    pub ticket: Ticket,
    /// The VM of the entry daemon.
    pub entry: VmName,
    /// The endpoint the request would go to.
    pub endpoint: EndpointName,
    /// The model it needs.
    pub model: ModelName,
    /// The caller's tenant.
    pub tenant: TeamName,
    /// Urgency of its class, 0 the most urgent.
    pub urgency: u8,
    /// When the whole answer is due, on the owner's clock.
    pub deadline_ms: u64,
    /// First ranks of the owner's chain that do not serve the entry daemon.
    pub ranks_lost: u8,
    /// Longest wait to accept; with a longer one ahead, the request goes elsewhere.
    pub wait_limit_ms: Option<u64>,
    /// Whether the model was not ready when the ask came in; set by the owner.
    pub cold: bool,
    /// Until when the ask waits for an owner to be found; set by the owner, 0 before.
    pub pending_until_ms: u64,
}

impl PermitRequest {
    /// Lets the ask wait for an owner to be found, for a while from its first time on.
    pub fn set_pending(&mut self, now_ms: u64) {
        if self.pending_until_ms == 0 {
            self.pending_until_ms = self.deadline_ms.min(now_ms + OWNER_WAIT_MS);
        }
    }
}

/// The owner's answer to an ask.
#[trestle_macros::plain]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted {
        /// Whether the request waited for the model to be loaded.
        cold: bool,
    },
    /// The request cannot be served by its deadline.
    Refused {
        /// Why not.
        reason: Refusal,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The wait is longer than the entry daemon accepts.
    Busy {
        /// The expected wait.
        wait_ms: u64,
    },
    /// The model is not placed at this endpoint.
    NotPlaced,
    /// This daemon does not own the endpoint.
    NotOwner {
        /// The rank that owns the endpoint, as far as known.
        owner_rank: Option<u8>,
    },
}

/// Why a request is refused.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Refusal {
    /// The wait for others and for the load would end past the deadline.
    DeadlineTooClose,
    /// Too many requests of the tenant wait already.
    TenantQueueFull,
    /// The endpoint is leaving.
    Draining,
    /// The endpoint does not answer its owner.
    EndpointSilent,
    /// The deadline has passed while the request waited.
    DeadlinePassed,
}
