//! Positions in the order of the store's transactions, as daemons send them to each other.
//!
//! Daemons of earlier releases send and expect the number of the transaction alone, in the place of
//! the value here. So the era is packed into the same integer, together with a mark, and a daemon
//! answers requests without the mark with numbers alone. What an earlier release relays has no era
//! and must not be mixed with versions that have one.

use snafu::Snafu;
use trestle_dispatch::store_version::{MAX_ERA, StoreVersion};

/// Set in values that contain an era.
const HAS_ERA: u64 = 1 << 63;
/// Bits of the transaction's number.
const NUMBER_BITS: u32 = 40;
/// Largest number of a transaction.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The bits of an era, shifted to the right. They have room for one era more than [`MAX_ERA`], which
/// together with the largest number would be [`NOTHING_REQUESTED`].
const ERA_MASK: u64 = (1 << (u64::BITS - 1 - NUMBER_BITS)) - 1;
/// Sent by leaders of earlier releases to each other, as they relay nothing to each other.
const NOTHING_REQUESTED: u64 = u64::MAX;

/// A version from a daemon of an earlier release, which knows no eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the version {number} has no era; the other daemon is of an earlier release"))]
pub struct NoEra {
    /// Number of the transaction.
    pub number: u64,
}

/// Position in the order of the store's transactions.
#[trestle_macros::wire]
#[derive(Copy)]
#[serde(transparent)]
pub struct WireStoreVersion(u64);

impl WireStoreVersion {
    /// Creates the value for a daemon of an earlier release.
    pub fn without_era(version: StoreVersion) -> Self {
        Self(version.number)
    }

    /// Returns whether the value contains an era.
    pub fn has_era(self) -> bool {
        self.0 & HAS_ERA != 0 && self.0 != NOTHING_REQUESTED
    }
}

impl From<StoreVersion> for WireStoreVersion {
    fn from(StoreVersion { era, number }: StoreVersion) -> Self {
        Self(HAS_ERA | era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER))
    }
}

impl TryFrom<WireStoreVersion> for StoreVersion {
    type Error = NoEra;

    fn try_from(wire: WireStoreVersion) -> Result<Self, NoEra> {
        match wire.has_era() {
            true => {
                let era = wire.0 >> NUMBER_BITS & ERA_MASK;
                Ok(Self { era, number: wire.0 & MAX_NUMBER })
            }
            false => Err(NoEra { number: wire.0 }),
        }
    }
}
