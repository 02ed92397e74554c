//! Times that the leader learns from the changes that it makes.

use crate::{
    average::MovingAverage,
    policy::{Mechanism, Policy},
};

/// Time that an unload waits for running requests, until one was seen.
const FIRST_RUN_WAIT_MS: f64 = 2_800.0;
/// Weight of the newest time in an average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Times that the leader learns.
#[derive(Debug, Clone)]
pub struct ObservedTimes {
    run_wait_ms: MovingAverage,
}

impl Default for ObservedTimes {
    fn default() -> Self {
        Self { run_wait_ms: MovingAverage::new(NEWEST_WEIGHT) }
    }
}

impl ObservedTimes {
    /// Notes how long an unload has waited for requests that ran.
    pub fn record_run_wait(&mut self, waited_ms: u64) {
        self.run_wait_ms.add(waited_ms as f64);
    }

    /// Time that an unload waits for requests that run, on average.
    pub fn run_wait_ms(&self, policy: &Policy) -> f64 {
        let learnt = self.run_wait_ms.get().filter(|_| policy.has(Mechanism::LearntTimes));
        learnt.unwrap_or(FIRST_RUN_WAIT_MS)
    }
}
