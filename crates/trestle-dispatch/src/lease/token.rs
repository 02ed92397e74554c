//! Fencing numbers of the lease.
//!
//! They are counted in the lease's row. A store that is restored from a copy has an earlier row, from
//! which numbers would be given out that other daemons have used since. So each era of the store has a
//! range of its own.

use crate::store_version::MAX_ERA;

/// Fencing numbers of each era; a lease is acquired some times a day.
const TOKENS_PER_ERA: u64 = 1 << 24;

/// Returns the next fencing number after one, or the first one, in an era of the store.
pub(super) fn next_token(last: Option<u64>, era: u64) -> u64 {
    last.unwrap_or_default().max(era * TOKENS_PER_ERA) + 1
}

/// Returns whether a fencing number can have been given out in some era.
pub(super) fn is_valid(token: u64) -> bool {
    era_of(token) <= MAX_ERA
}

/// Returns the era in which a fencing number was given out.
pub(super) fn era_of(token: u64) -> u64 {
    token / TOKENS_PER_ERA
}
