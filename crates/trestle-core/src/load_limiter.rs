//! Limit on the concurrent loads of one daemon from the shared weight store.
//!
//! The store serves a few loads at full speed; more at once only slow each other down, and
//! urgent loads then wait with the others. So each daemon limits its concurrent loads and
//! starts the most urgent ones first.
//!
//! Daemons do not exchange how many loads they run. A load that took about as long as
//! declared indicates spare capacity and raises the limit by one; a load that took much longer
//! halves it. The limit protects speed, not safety, so a wrong limit does no lasting harm.

/// Weight of a new measurement, in parts of [`WEIGHT_PARTS`].
const NEW_WEIGHT: u64 = 1;
const WEIGHT_PARTS: u64 = 4;
/// Longest time, in percent of the declared one, at which a load indicates spare capacity.
const UNCONTENDED_PERCENT: u64 = 130;
/// Shortest time, in percent of the declared one, at which a load indicates contention.
const CONTENDED_PERCENT: u64 = 200;
/// Bounds of the average time of loads, in percent of the declared one.
const PERCENT_RANGE: std::ops::RangeInclusive<u64> = 5..=10_000;

/// Limit on the concurrent loads of one daemon, and the recent speed of its loads.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct LoadLimiter {
    limit: usize,
    max_limit: usize,
    percent: u64,
}

/// When a new load can begin, and how long loads take at present.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Forecast {
    /// Time until the load can begin.
    pub ahead_ms: u64,
    /// Time that loads take at present, in percent of the declared one.
    pub percent: u64,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self { limit: 1, max_limit: 1, percent: 100 }
    }
}

impl LoadLimiter {
    /// Sets how many loads the store serves at full speed and how many daemons share it.
    pub fn set_capacity(&mut self, full_speed_loads: usize, daemons: usize) {
        self.max_limit = full_speed_loads.max(1);
        let share = full_speed_loads / daemons.max(1);
        self.limit = self.limit.clamp(share.max(1), self.max_limit);
    }

    /// Returns the number of loads that this daemon may run at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Records how long a load took and adapts the limit.
    pub fn record(&mut self, declared_ms: u64, took_ms: u64) {
        let percent = took_ms * 100 / declared_ms.max(1);
        if percent <= UNCONTENDED_PERCENT {
            self.limit = (self.limit + 1).min(self.max_limit);
        } else if percent >= CONTENDED_PERCENT {
            self.limit = (self.limit / 2).max(1);
        }
        let old_weight = WEIGHT_PARTS - NEW_WEIGHT;
        let average = (self.percent * old_weight + percent * NEW_WEIGHT) / WEIGHT_PARTS;
        self.percent = average.clamp(*PERCENT_RANGE.start(), *PERCENT_RANGE.end());
    }

    /// Returns the forecast for a load that starts after others.
    ///
    /// `ahead_ms` is the sum of the declared times of those other loads.
    pub fn forecast(&self, ahead_ms: u64) -> Forecast {
        let ahead_ms = ahead_ms * self.percent / 100 / self.limit as u64;
        Forecast { ahead_ms, percent: self.percent }
    }
}

impl Forecast {
    /// Returns the time that a load takes at present, given its declared time.
    pub fn load_ms(&self, declared_ms: u64) -> u64 {
        declared_ms * self.percent / 100
    }
}
