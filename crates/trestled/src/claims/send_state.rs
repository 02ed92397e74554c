//! Whether an attempt may still send, and what its caller may be told.
//!
//! The attempt and the caller's side change one flag by compare-and-swap. The
//! caller's side closes it at the deadline; from then on the attempt sends
//! nothing, so what the caller is told stays true.

use super::ClaimOutcome;
use std::sync::atomic::{AtomicU8, Ordering};

/// The row of the key has not been read yet.
const UNREAD: u8 = 0;
/// The attempt holds the claim, and has sent nothing.
const HELD: u8 = 1;
/// Another attempt holds the claim, or may.
const CONTESTED: u8 = 2;
/// The attempt has begun to send.
const SENDING: u8 = 3;
/// The attempt must not send any more.
const CLOSED: u8 = 4;

/// Whether an attempt may still send.
#[derive(Default)]
pub(crate) struct SendState(AtomicU8);

impl SendState {
    /// Notes that another attempt holds the claim, or may.
    pub(crate) fn mark_contested(&self) {
        let _ = self.transition(UNREAD, CONTESTED);
    }

    /// Notes that the attempt holds the claim.
    pub(crate) fn mark_held(&self) {
        let _ = self.transition(UNREAD, HELD).or_else(|_| self.transition(CONTESTED, HELD));
    }

    /// Begins to send, or goes on to; tells whether that is allowed.
    pub(crate) fn try_begin_sending(&self) -> bool {
        matches!(self.transition(HELD, SENDING), Ok(_) | Err(SENDING))
    }

    /// Forbids to send, whatever has been sent before.
    pub(crate) fn forbid_sending(&self) {
        self.0.store(CLOSED, Ordering::SeqCst);
    }

    /// Forbids to send, at the deadline; tells what the caller may be told.
    ///
    /// `is_repeated` says that the caller has sent the key before, so that
    /// without the row nobody can say that the call was not run.
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
