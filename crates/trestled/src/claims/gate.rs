//! Whether an attempt may still send, and what its caller may be told.
//!
//! The attempt and the caller's side change one flag by compare-and-swap. The
//! caller's side closes it at the deadline; from then on the attempt sends
//! nothing, so what the caller is told stays true.

use super::ClaimEnd;
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
pub(crate) struct Gate(AtomicU8);

impl Gate {
    /// Notes that another attempt holds the claim, or may.
    pub(crate) fn note_contested(&self) {
        let _ = self.change(UNREAD, CONTESTED);
    }

    /// Notes that the attempt holds the claim.
    pub(crate) fn note_held(&self) {
        let _ = self.change(UNREAD, HELD).or_else(|_| self.change(CONTESTED, HELD));
    }

    /// Begins to send, or goes on to; tells whether that is allowed.
    pub(crate) fn begin_to_send(&self) -> bool {
        matches!(self.change(HELD, SENDING), Ok(_) | Err(SENDING))
    }

    /// Forbids to send, whatever has been sent before.
    pub(crate) fn shut(&self) {
        self.0.store(CLOSED, Ordering::SeqCst);
    }

    /// Forbids to send, at the deadline; tells what the caller may be told.
    ///
    /// `is_repeated` says that the caller has sent the key before, so that
    /// without the row nobody can say that the call was not run.
    pub(crate) fn close(&self, is_repeated: bool) -> ClaimEnd {
        let mut state = self.0.load(Ordering::SeqCst);
        while state != SENDING && state != CLOSED {
            match self.change(state, CLOSED) {
                Ok(_) => break,
                Err(changed) => state = changed,
            }
        }
        match state {
            UNREAD if !is_repeated => ClaimEnd::NotRun,
            HELD => ClaimEnd::NotRun,
            _ => ClaimEnd::Unknown,
        }
    }

    fn change(&self, from: u8, to: u8) -> Result<u8, u8> {
        self.0.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst)
    }
}
