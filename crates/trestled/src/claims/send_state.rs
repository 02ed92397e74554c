//! The state that decides whether an attempt may still send its call, and what its caller is told
//! at the deadline.
//!
//! The attempt and the task that waits for it on the caller's behalf change the state by
//! compare-and-swap. The caller's task closes it at the deadline. The attempt sends nothing
//! afterwards, so what the caller was told remains true.

use super::ClaimOutcome;
use std::sync::atomic::{AtomicU8, Ordering};

/// The attempt has not read the row of the idempotency key yet.
const UNREAD: u8 = 0;
/// The attempt holds the claim and has sent nothing.
const HELD: u8 = 1;
/// Another attempt may hold the claim.
const CONTESTED: u8 = 2;
/// The attempt has begun to send the call.
const SENDING: u8 = 3;
/// The attempt must not send any more.
const CLOSED: u8 = 4;

/// The sending state of one attempt.
#[derive(Default)]
pub(crate) struct SendState(AtomicU8);

impl SendState {
    /// Records that another attempt may hold the claim.
    pub(crate) fn mark_contested(&self) {
        let _ = self.transition(UNREAD, CONTESTED);
    }

    /// Records that the attempt holds the claim.
    pub(crate) fn mark_held(&self) {
        let _ = self.transition(UNREAD, HELD).or_else(|_| self.transition(CONTESTED, HELD));
    }

    /// Changes the state to sending, and returns whether the attempt may send. An attempt that is
    /// sending already may go on to the next server.
    pub(crate) fn try_begin_sending(&self) -> bool {
        matches!(self.transition(HELD, SENDING), Ok(_) | Err(SENDING))
    }

    /// Forbids sending from now on, also after the attempt has begun to send.
    pub(crate) fn forbid_sending(&self) {
        self.0.store(CLOSED, Ordering::SeqCst);
    }

    /// Forbids sending at the deadline unless the attempt has begun to send, and returns the
    /// outcome to report to the caller.
    ///
    /// `is_repeated` states that the caller has sent the idempotency key before. In that case an
    /// earlier attempt may have run the call, so the outcome is unknown as long as the row has not
    /// been read.
    pub(crate) fn close_at_deadline(&self, is_repeated: bool) -> ClaimOutcome {
        let mut state = self.0.load(Ordering::SeqCst);
        while state != SENDING && state != CLOSED {
            match self.transition(state, CLOSED) {
                Ok(_) => break,
                Err(changed) => state = changed,
            }
        }
        match state {
            UNREAD if !is_repeated => ClaimOutcome::NotRun,
            HELD => ClaimOutcome::NotRun,
            _ => ClaimOutcome::Unknown,
        }
    }

    fn transition(&self, from: u8, to: u8) -> Result<u8, u8> {
        self.0.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst)
    }
}
