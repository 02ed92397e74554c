//! One daemon's share of the weight store.
//!
//! The store serves a few loads at full speed; more at once only slow each
//! other down, and then the urgent ones wait with the others. So each daemon
//! limits the loads it has under way, and gives the room to the most urgent.
//!
//! No daemon asks another how many it has. A load that took about as long as was
//! declared says that the store has room, and raises the limit by one; a load
//! that took much longer halves it. That protects speed, not safety, so a limit
//! that is wrong for a while does no harm.

/// Weight of a new measurement, in parts of [`WEIGHT_PARTS`].
const NEW_WEIGHT: u64 = 1;
const WEIGHT_PARTS: u64 = 4;
/// A load that took no more than this, in percent of what was declared, had room.
const ROOM_PERCENT: u64 = 130;
/// A load that took more than this had to share with too many.
const CROWDED_PERCENT: u64 = 200;
/// Bounds of what a load may take, in percent of what was declared.
const PERCENT_RANGE: std::ops::RangeInclusive<u64> = 5..=10_000;

/// One daemon's share of the weight store, and how fast it has been lately.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct LoadLimiter {
    limit: usize,
    most: usize,
    percent: u64,
}

/// What a new load has to expect.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Forecast {
    /// Time until the load can begin.
    pub ahead_ms: u64,
    /// What loads take, in percent of what was declared.
    pub percent: u64,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self { limit: 1, most: 1, percent: 100 }
    }
}

impl LoadLimiter {
    /// Sets the loads that the store serves at full speed, and the daemons that share it.
    pub fn set_store(&mut self, full_speed_loads: usize, daemons: usize) {
        self.most = full_speed_loads.max(1);
        let share = full_speed_loads / daemons.max(1);
        self.limit = self.limit.clamp(share.max(1), self.most);
    }

    /// LoadLimiter that this daemon may have under way.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Notes how long a load took.
    pub fn note(&mut self, declared_ms: u64, took_ms: u64) {
        let percent = took_ms * 100 / declared_ms.max(1);
        if percent <= ROOM_PERCENT {
            self.limit = (self.limit + 1).min(self.most);
        } else if percent >= CROWDED_PERCENT {
            self.limit = (self.limit / 2).max(1);
        }
        let old_weight = WEIGHT_PARTS - NEW_WEIGHT;
        let mixed = (self.percent * old_weight + percent * NEW_WEIGHT) / WEIGHT_PARTS;
        self.percent = mixed.clamp(*PERCENT_RANGE.start(), *PERCENT_RANGE.end());
    }

    /// What a load has to expect that comes after others.
    ///
    /// `ahead_ms` is the declared time of those loads together.
    pub fn forecast(&self, ahead_ms: u64) -> Forecast {
        let ahead_ms = ahead_ms * self.percent / 100 / self.limit as u64;
        Forecast { ahead_ms, percent: self.percent }
    }
}

impl Forecast {
    /// Time that a load takes.
    pub fn load_ms(&self, declared_ms: u64) -> u64 {
        declared_ms * self.percent / 100
    }
}
