//! What daemons ask of leaders for teams that have limits.

use trestle_dispatch::quota_allocator::Allocation;

/// A question for a part of a team's limit.
#[trestle_macros::wire]
pub struct WireBorrowing {
    /// The team.
    pub team: String,
    /// How much: requests, or tokens.
    pub units: u64,
    /// Whether a leader asks, for its own daemons.
    pub is_leader: bool,
}

/// What becomes of it.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireLoan {
    /// So much may be spent.
    Lent {
        /// Requests, or tokens.
        units: u64,
    },
    /// There is too little.
    Refused {
        /// Time until there will be enough.
        in_ms: u64,
    },
    /// The one that was asked does not lead, or does not know the team.
    NotLending,
}

impl From<Allocation> for WireLoan {
    fn from(loan: Allocation) -> Self {
        match loan {
            Allocation::Granted(units) => Self::Lent { units },
            Allocation::Refused { in_ms } => Self::Refused { in_ms },
            Allocation::NotLeading => Self::NotLending,
        }
    }
}
