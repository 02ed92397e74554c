//! How long a daemon leaves a free lease to better candidates.
//!
//! The leader's work grows with the number of daemons, so stronger VMs go first. While VMs are
//! restarted one after the other, those that started long ago are about to stop, so the others go
//! first, and so do those that reach the engines before those that are cut off from them: orders
//! take no detour, so a leader that is cut off can load nothing, for callers of all daemons. In the end
//! any candidate that is left acquires the lease.

use crate::lease::LeaseRow;

/// Time for which a daemon counts as recently started.
const RECENT_START_MS: u64 = 30_000;
/// Time for which daemons that are not recently started leave a released lease to those that are;
/// the report of the release takes that long.
const OLD_DELAY_MS: u64 = 400;
/// Time for which a VM weaker than the last holder's leaves the lease to VMs that are not.
const WEAKER_DELAY_MS: u64 = 300;
/// Time for which a VM with one whole core leaves the lease to stronger ones if no daemon has led
/// yet; weaker VMs wait longer, in proportion. VMs start some 300 ms apart, so the wait must
/// separate a VM of half a core from one of an eighth by that much.
const ONE_CORE_DELAY_MS: u64 = 100;
/// Longest wait while no daemon has led yet, for the weakest VMs.
const MAX_FIRST_DELAY_MS: u64 = 1_000;

/// Time for which a daemon that is cut off from the engines leaves their lease to others. It is above
/// the time in which a lease expires and another daemon acquires it.
const CUT_OFF_DELAY_MS: u64 = 5_000;
/// Time after a daemon has stepped down for which it does not do so again. Where every daemon is cut
/// off from most engines, the lease must not move on all the time.
const STEP_DOWN_INTERVAL_MS: u64 = 20_000;

/// A daemon that may acquire the lease.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Candidate {
    /// CPU of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Time since it started.
    pub age_ms: u64,
    /// Since when it has been ready to lead, on its clock.
    pub ready_since_ms: u64,
    /// Whether it is cut off from most engines of the group, which others reach.
    pub is_cut_off: bool,
}

impl Candidate {
    /// Returns the time from which on this daemon may acquire a lease that is free from
    /// `free_from_ms` on, given the row of the last holder.
    ///
    /// The wait starts when the daemon itself is ready. All daemons become ready at about the same
    /// moment, when the first configuration arrives, long after they have seen that the lease is
    /// free. When waits counted from the moment the lease became free, all were over by then, and
    /// the first daemon to be ready, on an eighth of a core, led 295 daemons.
    pub fn may_acquire_from_ms(self, free_from_ms: u64, last: Option<&LeaseRow>) -> u64 {
        free_from_ms.max(self.ready_since_ms) + self.takeover_delay_ms(last)
    }

    /// Returns the time for which this daemon leaves a lease that has just become free to others,
    /// given the row of the last holder.
    pub fn takeover_delay_ms(self, last: Option<&LeaseRow>) -> u64 {
        let cut_off_delay_ms = if self.is_cut_off { CUT_OFF_DELAY_MS } else { 0 };
        let Some(last) = last else {
            let wait_ms = ONE_CORE_DELAY_MS * 1_000 / u64::from(self.millicores.max(1));
            return wait_ms.min(MAX_FIRST_DELAY_MS) + cut_off_delay_ms;
        };
        let is_weaker = self.millicores < last.millicores;
        let is_old = self.age_ms >= RECENT_START_MS;
        let weaker_delay_ms = if is_weaker { WEAKER_DELAY_MS } else { 0 };
        let old_delay_ms = if last.is_released && is_old { OLD_DELAY_MS } else { 0 };
        weaker_delay_ms + old_delay_ms + cut_off_delay_ms
    }
}

/// Returns whether a leader should give up its lease because it is cut off from the engines while
/// other daemons reach them; `last_ms` is when it last did so.
pub fn should_step_down(is_cut_off: bool, last_ms: Option<u64>, now_ms: u64) -> bool {
    is_cut_off && last_ms.is_none_or(|last_ms| now_ms >= last_ms + STEP_DOWN_INTERVAL_MS)
}
