//! Pacing of the calls to a store that does not answer.
//!
//! Every call is costly, even one that is refused, and all daemons retry at the same time. So one
//! daemon makes one attempt at a time for all its readers, and waits longer after each failure.

/// Pause after the first failed attempt.
const FIRST_PAUSE_MS: u64 = 250;
/// Time for which the next attempt is reserved for a polling reader that was refused one;
/// slightly longer than its polling interval.
const RESERVED_MS: u64 = 300;

/// Pacing of one daemon's calls to a store that does not answer.
#[derive(Debug, Clone)]
pub struct Outage {
    longest_pause_ms: u64,
    /// Pause after the last attempt; 0 while the store answers.
    pause_ms: u64,
    next_attempt_ms: u64,
    /// Whether an attempt is running.
    is_attempting: bool,
    /// Whether the next attempt is reserved for a polling reader.
    is_reserved: bool,
}

impl Outage {
    /// Creates the state of a store that answers. Pauses grow up to `longest_pause_ms`.
    pub fn new(longest_pause_ms: u64) -> Self {
        Self {
            longest_pause_ms,
            pause_ms: 0,
            next_attempt_ms: 0,
            is_attempting: false,
            is_reserved: false,
        }
    }

    /// Sets the longest pause.
    pub fn set_longest_pause_ms(&mut self, longest_pause_ms: u64) {
        self.longest_pause_ms = longest_pause_ms;
    }

    /// Records that the store answered. Returns whether it did not answer before.
    pub fn answered(&mut self) -> bool {
        let was_unavailable = self.pause_ms > 0;
        self.pause_ms = 0;
        self.next_attempt_ms = 0;
        self.is_attempting = false;
        self.is_reserved = false;
        was_unavailable
    }

    /// Records that the store did not answer, or refused a call.
    pub fn failed(&mut self, now_ms: u64) {
        // Concurrent calls fail together and count once.
        if now_ms < self.next_attempt_ms && !self.is_attempting {
            return;
        }
        self.is_attempting = false;
        let first_ms = FIRST_PAUSE_MS.min(self.longest_pause_ms);
        self.pause_ms = (self.pause_ms * 2).clamp(first_ms.max(1), self.longest_pause_ms.max(1));
        self.next_attempt_ms = now_ms + self.pause_ms;
    }

    /// Returns whether an attempt is due, for a reader that polls. If none is due, the next one
    /// is reserved for it: readers that wait for the exact moment would otherwise claim every
    /// attempt before it polls again, and a daemon could not acquire a free lease for 20 s.
    pub fn may_try(&mut self, now_ms: u64) -> bool {
        self.is_reserved = now_ms < self.next_attempt_ms;
        !self.is_reserved
    }

    /// Claims the next attempt.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next attempt, if none is due.
    pub fn try_now(&mut self, now_ms: u64) -> Result<(), u64> {
        let due_ms = self.next_attempt_ms + if self.is_reserved { RESERVED_MS } else { 0 };
        if now_ms < due_ms {
            return Err(due_ms - now_ms);
        }
        self.is_reserved = false;
        if self.pause_ms > 0 {
            self.next_attempt_ms = now_ms + self.pause_ms;
            self.is_attempting = true;
        }
        Ok(())
    }
}
