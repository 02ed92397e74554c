//! One daemon's share of the weight store.
//!
//! The store serves a few loads at full speed; more at once only slow each
//! other down, and then the urgent ones wait with the others. So the daemons
//! share it out among themselves by count, without asking anyone: each orders
//! as many loads at once as its share allows, one at least, the most urgent
//! first. That protects speed, not safety, so a wrong count does no harm.

/// Weight of a new measurement, in parts of [`WEIGHT_PARTS`].
const NEW_WEIGHT: u64 = 1;
const WEIGHT_PARTS: u64 = 4;
/// Bounds of what a load may take, in percent of what was declared.
const PERCENT_RANGE: std::ops::RangeInclusive<u64> = 5..=10_000;

/// One daemon's share of the weight store, and how fast it has been lately.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Loads {
    share: usize,
    percent: u64,
}

/// What a new load has to expect.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Outlook {
    /// Time until the load can begin.
    pub ahead_ms: u64,
    /// What loads take, in percent of what was declared.
    pub percent: u64,
}

impl Default for Loads {
    fn default() -> Self {
        Self { share: 1, percent: 100 }
    }
}

impl Loads {
    /// Shares the loads that the store serves at full speed among daemons.
    pub fn set_share(&mut self, full_speed_loads: usize, daemons: usize) {
        self.share = (full_speed_loads / daemons.max(1)).max(1);
    }

    /// Loads that this daemon may have under way.
    pub fn share(&self) -> usize {
        self.share
    }

    /// Notes how long a load took.
    pub fn note(&mut self, declared_ms: u64, took_ms: u64) {
        let percent = took_ms * 100 / declared_ms.max(1);
        let old_weight = WEIGHT_PARTS - NEW_WEIGHT;
        let mixed = (self.percent * old_weight + percent * NEW_WEIGHT) / WEIGHT_PARTS;
        self.percent = mixed.clamp(*PERCENT_RANGE.start(), *PERCENT_RANGE.end());
    }

    /// What a load has to expect that comes after others.
    ///
    /// `ahead_ms` is the declared time of those loads together.
    pub fn outlook(&self, ahead_ms: u64) -> Outlook {
        let ahead_ms = ahead_ms * self.percent / 100 / self.share as u64;
        Outlook { ahead_ms, percent: self.percent }
    }
}

impl Outlook {
    /// Time that a load takes.
    pub fn load_ms(&self, declared_ms: u64) -> u64 {
        declared_ms * self.percent / 100
    }
}
