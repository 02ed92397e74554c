//! Permits to send one request to an endpoint, granted by the endpoint's owner.

use crate::names::{EndpointName, ModelName, TeamName, VmName};

/// Time within which an entry daemon has to use a permit or give it back.
pub const PERMIT_USE_MS: u64 = 1_000;

/// Time for which a permit request waits until the owner of the endpoint is known.
const OWNER_WAIT_MS: u64 = 1_500;

/// Identifier of a permit request at the daemon that received it.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Ticket(pub u64);

/// An entry daemon's request for a permit.
#[trestle_macros::plain]
pub struct PermitRequest {
    /// Identifier of the permit request.
    pub ticket: Ticket,
    /// VM of the entry daemon.
    pub entry: VmName,
    /// Endpoint to which the request would be sent.
    pub endpoint: EndpointName,
    /// Model that the request needs.
    pub model: ModelName,
    /// Tenant of the caller.
    pub tenant: TeamName,
    /// Urgency of the request's class; 0 is the most urgent.
    pub urgency: u8,
    /// Time at which the whole answer is due, on the owner's clock.
    pub deadline_ms: u64,
    /// Number of ranks, from the start of the endpoint's chain, that do not serve the entry daemon.
    pub ranks_lost: u8,
    /// Longest expected wait that the entry daemon accepts if the model is loaded; `None` for no
    /// limit.
    pub wait_limit_ms: Option<u64>,
    /// Whether the model was not ready when the permit request came in; set by the owner.
    pub cold: bool,
    /// Time until which the permit request waits for the owner to be known; 0 until the first such
    /// wait.
    pub pending_until_ms: u64,
}

impl PermitRequest {
    /// Marks the permit request as waiting for the owner to be known; the time limit counts from
    /// the first call.
    pub fn set_pending(&mut self, now_ms: u64) {
        if self.pending_until_ms == 0 {
            self.pending_until_ms = self.deadline_ms.min(now_ms + OWNER_WAIT_MS);
        }
    }
}

/// Answer of an owner, or of another member of the chain, to a permit request.
#[trestle_macros::plain]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted {
        /// Whether the request waited for the model to be loaded.
        cold: bool,
    },
    /// The request is not admitted, or has been removed from the queue.
    Refused {
        /// Reason of the refusal.
        reason: Refusal,
        /// Delay after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The expected wait is longer than the entry daemon accepts.
    Busy {
        /// Expected wait.
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
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Refusal {
    /// The expected wait, for other requests and for a load, would end after the deadline.
    DeadlineTooClose,
    /// The maximum number of requests of the tenant already wait.
    TenantQueueFull,
    /// The endpoint is draining.
    Draining,
    /// The endpoint does not answer its owner.
    EndpointSilent,
    /// The request can no longer be served by its deadline, which it reached while waiting.
    DeadlinePassed,
}
