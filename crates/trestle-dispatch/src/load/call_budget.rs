//! Bounds the calls of one daemon to the leaders that schedule prompts.
//!
//! The load that this answers: bursts at hundreds of daemons with one leader. Each daemon has an equal
//! part of the calls that a leader answers, so a leader's work does not grow with the daemons; beyond it
//! a daemon chooses engines by itself.

/// Calls a second that a leader answers for all daemons together; it answers some 300 syncs besides.
const CALLS_PER_S: f64 = 450.0;
/// Time for which unused calls are saved up.
const SAVED_S: f64 = 4.0;
/// Part of the saved calls that is kept for large prompts, which stall more streams.
const RESERVED_PART: f64 = 0.5;

/// The calls that one daemon may make.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallBudget {
    calls: f64,
    credited_ms: u64,
}

impl CallBudget {
    /// Spends one call on a prompt. `daemons` is the number of daemons that share the leader. Returns
    /// whether the call may be made.
    pub fn spend(&mut self, daemons: usize, is_large: bool, now_ms: u64) -> bool {
        let per_s = CALLS_PER_S / daemons.max(1) as f64;
        let passed_s = now_ms.saturating_sub(self.credited_ms) as f64 / 1e3;
        let most_calls = (per_s * SAVED_S).max(1.0);
        self.calls = (self.calls + passed_s * per_s).min(most_calls);
        self.credited_ms = now_ms;
        let reserved_calls = if is_large { 0.0 } else { (most_calls - 1.0) * RESERVED_PART };
        let is_allowed = self.calls >= 1.0 + reserved_calls;
        if is_allowed {
            self.calls -= 1.0;
        }
        is_allowed
    }
}
