//! Times that the leader learns from the changes that it makes.

use crate::policy::{Mechanism, Policy};

/// Time that an unload waits for running requests, until one was seen.
const FIRST_RUN_WAIT_MS: f64 = 2_800.0;
/// Weight of the newest time in an average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Times that the leader learns.
#[derive(Debug, Clone, Default)]
pub struct LearntTimes {
    run_wait_ms: Option<f64>,
}

impl LearntTimes {
    /// Notes how long an unload has waited for requests that ran.
    pub fn run_waited(&mut self, waited_ms: u64) {
        let newest_ms = waited_ms as f64;
        let before_ms = self.run_wait_ms.unwrap_or(newest_ms);
        self.run_wait_ms = Some(before_ms + (newest_ms - before_ms) * NEWEST_WEIGHT);
    }

    /// Time that an unload waits for requests that run, on average.
    pub fn run_wait_ms(&self, policy: &Policy) -> f64 {
        let learnt = self.run_wait_ms.filter(|_| policy.has(Mechanism::LearntTimes));
        learnt.unwrap_or(FIRST_RUN_WAIT_MS)
    }
}
