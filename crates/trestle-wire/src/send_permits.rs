//! Send permits for endpoints that have announced limits, as daemons request them from leaders.

use trestle_dispatch::endpoint_limits::{ObservedLimit, SendPermit};

/// Request for a send permit, which allows one request to be sent to an endpoint.
#[trestle_macros::wire]
pub struct WireSendPermitRequest {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which this incarnation of the endpoint started, in Unix milliseconds on its own
    /// clock.
    pub born_ms: u64,
    /// Group that the endpoint belongs to.
    pub group: String,
    /// Limit that the endpoint has announced, in requests per 1,000 s.
    pub per_ks: u64,
    /// Time since an answer last announced the limit, in milliseconds.
    pub heard_ago_ms: u64,
    /// Number of answers since then that announced no limit.
    pub silent: u32,
    /// Time since the last answer without a limit, in milliseconds.
    pub silent_ago_ms: u64,
    /// Whether the leader of another group forwards this request, so that it is not forwarded
    /// again.
    pub is_passed_on: bool,
}

/// Answer to a request for a send permit.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireSendPermit {
    /// The permit is granted: one request may be sent.
    Lent,
    /// The limit is used up.
    Refused {
        /// Time until a permit will be available, in milliseconds.
        in_ms: u64,
    },
    /// The endpoint no longer announces a limit.
    Lifted,
    /// The daemon that received the request does not lead the endpoint's group.
    NotLending,
}

impl WireSendPermitRequest {
    /// Returns the limit as the requesting daemon has observed it, with times on the clock of the
    /// receiving daemon.
    pub fn observed_limit(&self, now_ms: u64) -> ObservedLimit {
        ObservedLimit {
            per_ks: self.per_ks,
            observed_ms: now_ms.saturating_sub(self.heard_ago_ms),
            answers_without_limit: self.silent,
            last_without_ms: now_ms.saturating_sub(self.silent_ago_ms),
        }
    }
}

impl From<SendPermit> for WireSendPermit {
    fn from(permit: SendPermit) -> Self {
        match permit {
            SendPermit::Lent => Self::Lent,
            SendPermit::Refused { in_ms } => Self::Refused { in_ms },
            SendPermit::Lifted => Self::Lifted,
            SendPermit::NotLending => Self::NotLending,
        }
    }
}
