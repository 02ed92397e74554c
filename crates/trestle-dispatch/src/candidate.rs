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
/// weaker ones leave more, in proportion. VMs start some 300 ms apart, so that one of half a
/// core must be that much ahead of one of an eighth.
const FIRST_WAIT_MS: u64 = 100;
/// The same for the weakest.
const MOST_FIRST_WAIT_MS: u64 = 1_000;

/// A daemon that may take the lease.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Candidate {
    /// Processor of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Time since it started.
    pub age_ms: u64,
    /// Since when it has been ready to lead, on its clock.
    pub ready_since_ms: u64,
}

impl Candidate {
    /// From when on it may take a lease that is free from a time on, given the row of its last
    /// holder.
    ///
    /// The time that it leaves to others begins when it is ready itself: all daemons become
    /// ready at about the same moment, when the first configuration comes, long after they
    /// have found the lease free. Counted from then, every wait was over, and the first to be
    /// ready led 295 daemons from an eighth of a core.
    pub fn may_acquire_from_ms(self, free_from_ms: u64, last: Option<&LeaseRow>) -> u64 {
        free_from_ms.max(self.ready_since_ms) + self.takeover_delay_ms(last)
    }

    /// Time for which it leaves a lease to others that was free until now, given the row of
    /// its last holder.
    pub fn takeover_delay_ms(self, last: Option<&LeaseRow>) -> u64 {
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
