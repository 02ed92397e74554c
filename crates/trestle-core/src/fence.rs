//! Fencing numbers of orders.

/// Fencing number, composed of the epoch, the owner's rank in the chain, and a sequence number.
///
/// Fencing numbers are ordered by epoch, then rank, then sequence number, both here and as the
/// plain integers that endpoints compare.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Fence(u64);

const EPOCH_SHIFT: u32 = 40;
const RANK_SHIFT: u32 = 32;

impl Fence {
    /// Number smaller than that of any order.
    pub const ZERO: Self = Self(0);

    /// Returns the first number of an owner.
    pub fn new(epoch: u64, rank: u8) -> Self {
        Self((epoch << EPOCH_SHIFT) | (u64::from(rank) << RANK_SHIFT))
    }

    /// Returns the number as endpoints see it.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the epoch of the owner that sent the order.
    pub fn epoch(self) -> u64 {
        self.0 >> EPOCH_SHIFT
    }

    /// Returns the rank of the owner that sent the order.
    pub fn rank(self) -> u8 {
        (self.0 >> RANK_SHIFT) as u8
    }

    /// Returns the number of the next order of the same owner.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns whether both numbers belong to the same owner in the same epoch.
    pub fn same_owner(self, other: Self) -> bool {
        self.0 >> RANK_SHIFT == other.0 >> RANK_SHIFT
    }
}

impl From<u64> for Fence {
    fn from(number: u64) -> Self {
        Self(number)
    }
}
