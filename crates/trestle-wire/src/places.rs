//! What daemons ask of leaders for endpoints that have named limits.

use trestle_dispatch::endpoint_limits::{ObservedLimit, SendPermit};

/// A question for a place at an endpoint: whether one request may be sent there.
#[trestle_macros::wire]
pub struct WirePlaceAsking {
    /// The endpoint.
    pub endpoint: String,
    /// When this life of it started, by its own clock.
    pub born_ms: u64,
    /// The group that it belongs to.
    pub group: String,
    /// Its limit, in requests in 1,000 s.
    pub per_ks: u64,
    /// How long ago an answer last named it.
    pub heard_ago_ms: u64,
    /// Answers since that did not.
    pub silent: u32,
    /// How long ago the last of these came.
    pub silent_ago_ms: u64,
    /// Whether a leader of another group passes the question on.
    pub is_passed_on: bool,
}

/// What becomes of it.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WirePlace {
    /// One request may be sent.
    Lent,
    /// There is no place.
    Refused {
        /// Time until there will be one.
        in_ms: u64,
    },
    /// The endpoint names no limit any more.
    Lifted,
    /// The one that was asked does not lead the endpoint's group.
    NotLending,
}

impl WirePlaceAsking {
    /// What the one who asks has heard of the limit, on the clock of the one who is asked.
    pub fn heard(&self, now_ms: u64) -> ObservedLimit {
        ObservedLimit {
            per_ks: self.per_ks,
            observed_ms: now_ms.saturating_sub(self.heard_ago_ms),
            answers_without_limit: self.silent,
            last_without_ms: now_ms.saturating_sub(self.silent_ago_ms),
        }
    }
}

impl From<SendPermit> for WirePlace {
    fn from(place: SendPermit) -> Self {
        match place {
            SendPermit::Lent => Self::Lent,
            SendPermit::Refused { in_ms } => Self::Refused { in_ms },
            SendPermit::Lifted => Self::Lifted,
            SendPermit::NotLending => Self::NotLending,
        }
    }
}
