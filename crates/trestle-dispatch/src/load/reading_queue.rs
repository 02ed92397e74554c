//! What one engine still has to read of the prompts that were assigned to it.
//!
//! Nothing reports when a prompt has been read: the queue drains with time, at the speed at which the
//! engine was observed to read. Lost messages and lost daemons therefore take nothing from it for
//! longer than their prompts would have taken.

/// Part of an engine's time that reading may take. In the rest it writes the tokens of its streams.
const READING_PART: f64 = 0.75;

/// The prompts that one engine has to read.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadingQueue {
    empty_at_ms: f64,
}

impl ReadingQueue {
    /// Returns the time that a prompt takes which the engine reads in `read_ms` if it does nothing
    /// else.
    pub fn occupied_ms(read_ms: f64) -> f64 {
        read_ms / READING_PART
    }

    /// Returns the time until everything assigned has been read.
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        (self.empty_at_ms - now_ms as f64).max(0.0)
    }

    /// Adds a prompt. `read_ms` is its reading time if the engine does nothing else.
    pub fn add(&mut self, read_ms: f64, now_ms: u64) {
        self.empty_at_ms = self.empty_at_ms.max(now_ms as f64) + Self::occupied_ms(read_ms);
    }
}
