//! How long a daemon leaves a free lease to others that should rather have it.
//!
//! The leader's work grows with the number of daemons, so stronger VMs go first;
//! and while VMs are restarted one after the other, those that started long ago are
//! about to stop, so the others go first. Whoever is there takes it in the end.

use crate::lease::LeaseRow;

/// Time for which a daemon counts as started lately.
const YOUNG_MS: u64 = 30_000;
/// Time that others leave a lease that was given up to such daemons; the news of it takes
/// that long.
const YOUNG_FIRST_MS: u64 = 400;
/// Time that a VM weaker than the last holder's leaves to those that are not.
const STRONGER_FIRST_MS: u64 = 300;
/// Time that a VM with one whole core leaves to stronger ones where nobody has led yet;
/// weaker ones leave more, in proportion. It is over before callers come.
const FIRST_WAIT_MS: u64 = 50;
/// The same for the weakest.
const MOST_FIRST_WAIT_MS: u64 = 500;

/// A daemon that may take the lease.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Candidate {
    /// Processor of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Time since it started.
    pub age_ms: u64,
}

impl Candidate {
    /// Time for which it leaves a lease to others that was free until now, given the row of
    /// its last holder.
    pub fn others_first_ms(self, last: Option<&LeaseRow>) -> u64 {
        let Some(last) = last else {
            let wait_ms = FIRST_WAIT_MS * 1_000 / u64::from(self.millicores.max(1));
            return wait_ms.min(MOST_FIRST_WAIT_MS);
        };
        let is_weaker = self.millicores < last.millicores;
        let is_old = self.age_ms >= YOUNG_MS;
        let stronger_first_ms = if is_weaker { STRONGER_FIRST_MS } else { 0 };
        let young_first_ms = if last.is_released && is_old { YOUNG_FIRST_MS } else { 0 };
        stronger_first_ms + young_first_ms
    }
}
