//! What daemons ask of leaders for teams that have limits.

use trestle_dispatch::lender::Loan;

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

impl From<Loan> for WireLoan {
    fn from(loan: Loan) -> Self {
        match loan {
            Loan::Lent(units) => Self::Lent { units },
            Loan::Refused { in_ms } => Self::Refused { in_ms },
            Loan::NotLending => Self::NotLending,
        }
    }
}
