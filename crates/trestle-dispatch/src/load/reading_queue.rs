//! What one engine still has to read of the prompts that were assigned to it.
//!
//! The load that this answers: prompts that arrive one after the other at an engine whose streams have
//! a bound on their pauses. An engine reads between the tokens of its streams, and an event holds
//! several tokens, so a stream gets an event only after several pieces of prompts. While prompts
//! follow each other without a gap, every stream there stalls. So prompts are assigned in runs that
//! are shorter than a pause, with a gap after each in which the streams get their next event.
//!
//! Nothing reports when a prompt has been read: runs end with time, at the speed at which the engine
//! was observed to read. Lost messages and lost daemons therefore take nothing from it for longer than
//! their prompts would have taken.

/// Part of a pause that a run may take. The rest is the gap after it, in which an event is written.
const RUN_PART: f64 = 0.8;

/// The prompts that one engine has to read.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadingQueue {
    begins_at_ms: f64,
    ends_at_ms: f64,
}

impl ReadingQueue {
    /// Returns the expected time until everything assigned has been read.
    pub fn expected_ms(&self, now_ms: u64) -> f64 {
        (self.ends_at_ms - now_ms as f64).max(0.0)
    }

    /// Returns the length of the run that a prompt belongs to if it is assigned now.
    pub fn run_ms(&self, read_ms: f64, pause_ms: u64, now_ms: u64) -> f64 {
        self.current_run_ms(pause_ms, now_ms) + read_ms
    }

    /// Returns the time until a prompt may be assigned, after prompts that come first and take
    /// `ahead_ms`; 0 if it may be now. A prompt that alone takes longer than a run is a run of its own.
    pub fn room_in_ms(&self, read_ms: f64, ahead_ms: f64, pause_ms: u64, now_ms: u64) -> f64 {
        let (run_limit_ms, gap_ms) = run_and_gap_ms(pause_ms);
        let before_ms = self.current_run_ms(pause_ms, now_ms) + ahead_ms;
        if before_ms <= 0.0 || before_ms + read_ms <= run_limit_ms {
            return 0.0;
        }
        let gaps = 1.0 + (ahead_ms / run_limit_ms).floor();
        self.expected_ms(now_ms) + ahead_ms + gap_ms * gaps
    }

    /// Adds a prompt that takes `read_ms`.
    pub fn add(&mut self, read_ms: f64, pause_ms: u64, now_ms: u64) {
        if self.current_run_ms(pause_ms, now_ms) <= 0.0 {
            self.begins_at_ms = now_ms as f64;
        }
        self.ends_at_ms = self.ends_at_ms.max(now_ms as f64) + read_ms;
    }

    /// Returns the length of the run that a prompt would continue; 0 if it would begin another.
    fn current_run_ms(&self, pause_ms: u64, now_ms: u64) -> f64 {
        let (_, gap_ms) = run_and_gap_ms(pause_ms);
        match now_ms as f64 >= self.ends_at_ms + gap_ms {
            true => 0.0,
            false => self.ends_at_ms - self.begins_at_ms,
        }
    }
}

/// Returns the longest run of prompts and the gap after it, for a bound on pauses.
fn run_and_gap_ms(pause_ms: u64) -> (f64, f64) {
    let pause_ms = pause_ms as f64;
    (pause_ms * RUN_PART, pause_ms * (1.0 - RUN_PART))
}
