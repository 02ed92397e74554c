//! The simulated weight store: it starts loads at a limited rate, and concurrent loads beyond
//! a number slow each other down.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// The simulated weight store.
pub(crate) struct WeightStore {
    start_interval: Duration,
    full_speed_loads: usize,
    next_start: Mutex<Instant>,
    running: AtomicUsize,
}

impl WeightStore {
    pub(crate) fn new(loads_per_s: f64, full_speed_loads: usize) -> Self {
        Self {
            start_interval: Duration::from_secs_f64(1.0 / loads_per_s),
            full_speed_loads,
            next_start: Mutex::new(Instant::now()),
            running: AtomicUsize::new(0),
        }
    }

    /// Waits for the duration of one load.
    ///
    /// `time_ms` is the duration at full speed, `slowdown` a factor of an injected fault.
    pub(crate) async fn load(&self, time_ms: u64, slowdown: f64) {
        smol::Timer::at(self.reserve_start()).await;
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let contention = (running as f64 / self.full_speed_loads as f64).max(1.0);
        let time = Duration::from_millis(time_ms).mul_f64(contention * slowdown);
        smol::Timer::after(time).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    fn reserve_start(&self) -> Instant {
        let mut next = self.next_start.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*next).max(Instant::now());
        *next = start + self.start_interval;
        start
    }
}
