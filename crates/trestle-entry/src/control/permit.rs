//! Whether an order may leave at this very moment.
//!
//! Tasks that send orders look here right before each of them, so that a lease
//! which ran out since they began, or while the process was frozen, stops them.

use std::sync::Mutex;

/// Said of when orders may leave while the lease is not certain; a renewal takes about as long.
const UNKNOWN_MS: u64 = 1_000;

/// The time in which orders may leave, and their fencing number.
#[derive(Debug, Default)]
pub(crate) struct OrderPermit {
    window: Mutex<Window>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Window {
    token: u64,
    from_ms: u64,
    until_ms: u64,
}

impl OrderPermit {
    /// Sets the window.
    pub(crate) fn set(&self, token: u64, from_ms: u64, until_ms: u64) {
        *self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
            Window { token, from_ms, until_ms };
    }

    /// Time until orders may leave, as far as that is known.
    pub(crate) fn opens_in_ms(&self, now_ms: u64) -> u64 {
        let window = *self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match now_ms < window.until_ms {
            true => window.from_ms.saturating_sub(now_ms),
            false => UNKNOWN_MS,
        }
    }

    /// The fencing number of an order that leaves now, if one may.
    pub(crate) fn token(&self, now_ms: u64) -> Option<u64> {
        let window = *self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        (window.from_ms <= now_ms && now_ms < window.until_ms).then_some(window.token)
    }
}
