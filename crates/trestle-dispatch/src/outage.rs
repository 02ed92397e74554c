//! How often a store that does not answer is tried.
//!
//! Every call costs, also one that is refused, and all daemons try at once. So one
//! daemon makes one try at a time, whatever it would read, and waits longer after
//! each that fails.

/// Pause after the first try that failed.
const FIRST_PAUSE_MS: u64 = 250;
/// Time for which a try is kept for a caller that looks from time to time and was turned away:
/// a little longer than between two of its looks.
const KEPT_MS: u64 = 300;

/// How often a store that does not answer is tried by one daemon.
#[derive(Debug, Clone)]
pub struct Outage {
    longest_pause_ms: u64,
    /// Pause after the last try; 0 while the store answers.
    pause_ms: u64,
    next_try_ms: u64,
    /// Whether a try is under way.
    is_trying: bool,
    /// Whether a caller that looks from time to time was turned away.
    is_kept: bool,
}

impl Outage {
    /// The store answers as far as is known; pauses grow up to so long.
    pub fn new(longest_pause_ms: u64) -> Self {
        Self { longest_pause_ms, pause_ms: 0, next_try_ms: 0, is_trying: false, is_kept: false }
    }

    /// Sets the longest pause.
    pub fn set_longest_pause_ms(&mut self, longest_pause_ms: u64) {
        self.longest_pause_ms = longest_pause_ms;
    }

    /// Notes that the store answered; returns whether it did not before.
    pub fn answered(&mut self) -> bool {
        let was_away = self.pause_ms > 0;
        self.pause_ms = 0;
        self.next_try_ms = 0;
        self.is_trying = false;
        self.is_kept = false;
        was_away
    }

    /// Notes that it did not answer, or refused.
    pub fn failed(&mut self, now_ms: u64) {
        // Calls that were on their way together fail together, and count once.
        if now_ms < self.next_try_ms && !self.is_trying {
            return;
        }
        self.is_trying = false;
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, self.longest_pause_ms.max(1));
        self.next_try_ms = now_ms + self.pause_ms;
    }

    /// Whether a try is due, for a caller that looks from time to time. If not, the next one is
    /// kept for it: those that wait for the moment would take every one before it looks again,
    /// and a daemon found a lease free for 20 s and could not take it.
    pub fn may_try(&mut self, now_ms: u64) -> bool {
        self.is_kept = now_ms < self.next_try_ms;
        !self.is_kept
    }

    /// Takes the next try.
    ///
    /// # Errors
    ///
    /// Fails with the time until then, if it is not due yet.
    pub fn try_now(&mut self, now_ms: u64) -> Result<(), u64> {
        let due_ms = self.next_try_ms + if self.is_kept { KEPT_MS } else { 0 };
        if now_ms < due_ms {
            return Err(due_ms - now_ms);
        }
        self.is_kept = false;
        if self.pause_ms > 0 {
            self.next_try_ms = now_ms + self.pause_ms;
            self.is_trying = true;
        }
        Ok(())
    }
}
