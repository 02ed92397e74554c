//! Positions in the order of the store's transactions.
//!
//! The load that this answers: a store that is away for a moment and is restored from a copy some
//! seconds old. What was written since is lost, and the numbers of those transactions are given out
//! again, so of two transactions the one with the higher number need not be the later one. The store
//! counts its restores and reports the count, its era, in all answers. Transactions are ordered by
//! era first.

/// The position of a transaction in the order of all transactions of the store.
#[trestle_macros::key]
#[derive(Copy, Default)]
pub struct StoreVersion {
    /// Era of the store, which rises with each restore; 0 if the store reports none.
    pub era: u64,
    /// Number of the transaction; 0 stands for a row that does not exist.
    pub number: u64,
}

/// Largest era. Together with a number of 40 bits it fits into one integer between daemons.
pub const MAX_ERA: u64 = (1 << 23) - 2;

impl StoreVersion {
    /// Returns whether this version of a row says that the row exists.
    pub fn is_of_existing_row(self) -> bool {
        self.number > 0
    }
}

/// Converts the number of a transaction of a store that reports no era.
impl From<u64> for StoreVersion {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}
