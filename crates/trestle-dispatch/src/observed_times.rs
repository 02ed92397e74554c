//! Times that the leader observes in the changes that it makes.

use crate::{
    average::MovingAverage,
    policy::{Mechanism, Policy},
};

/// Time for which an unload is assumed to wait for running requests, until one was observed.
const INITIAL_RUN_WAIT_MS: f64 = 2_800.0;
/// Weight of the newest time in the average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Times observed in changes.
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
    /// Records how long an unload waited for running requests.
    pub fn record_run_wait(&mut self, waited_ms: u64) {
        self.run_wait_ms.add(waited_ms as f64);
    }

    /// Returns the average time for which an unload waits for running requests.
    pub fn run_wait_ms(&self, policy: &Policy) -> f64 {
        let observed = self.run_wait_ms.get().filter(|_| policy.has(Mechanism::LearntTimes));
        observed.unwrap_or(INITIAL_RUN_WAIT_MS)
    }
}
