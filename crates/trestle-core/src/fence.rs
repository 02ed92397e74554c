//! Fencing numbers of orders.

/// A fencing number: epoch, rank in the chain of successors, sequence.
///
/// Numbers order by epoch, then rank, then sequence, both here and as the
/// plain integers that endpoints compare.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Fence(u64);

const EPOCH_SHIFT: u32 = 40;
const RANK_SHIFT: u32 = 32;

impl Fence {
    /// Smaller than every number that is given to an order.
    pub const ZERO: Self = Self(0);

    /// The first number of an owner.
    pub fn new(epoch: u64, rank: u8) -> Self {
        Self((epoch << EPOCH_SHIFT) | (u64::from(rank) << RANK_SHIFT))
    }

    /// The number as endpoints see it.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// The epoch of the owner that gave the order.
    pub fn epoch(self) -> u64 {
        self.0 >> EPOCH_SHIFT
    }

    /// The rank of the owner that gave the order.
    pub fn rank(self) -> u8 {
        (self.0 >> RANK_SHIFT) as u8
    }

    /// The number of the next order by the same owner.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Whether both numbers come from one owner in one epoch.
    pub fn same_owner(self, other: Self) -> bool {
        self.0 >> RANK_SHIFT == other.0 >> RANK_SHIFT
    }
}

impl From<u64> for Fence {
    fn from(number: u64) -> Self {
        Self(number)
    }
}
