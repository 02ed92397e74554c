//! Allocations of team limits, as daemons request them from leaders.

use trestle_dispatch::quota_allocator::Allocation;

/// Request for units of a team's limit.
#[trestle_macros::wire]
pub struct WireAllocationRequest {
    /// Name of the team.
    pub team: String,
    /// Number of units: requests, or tokens.
    pub units: u64,
    /// Whether another leader requests the units, for the daemons that sync with it.
    pub is_leader: bool,
}

/// Answer to a request for units of a team's limit.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireAllocation {
    /// The units are allocated and may be spent.
    Lent {
        /// Number of units: requests, or tokens.
        units: u64,
    },
    /// Too few units are left.
    Refused {
        /// Time until enough units will be available, in milliseconds.
        in_ms: u64,
    },
    /// The receiving daemon is no leader, or the team is not configured there or has no limit.
    NotLending,
}

impl From<Allocation> for WireAllocation {
    fn from(allocation: Allocation) -> Self {
        match allocation {
            Allocation::Granted(units) => Self::Lent { units },
            Allocation::Refused { in_ms } => Self::Refused { in_ms },
            Allocation::NotLeading => Self::NotLending,
        }
    }
}
