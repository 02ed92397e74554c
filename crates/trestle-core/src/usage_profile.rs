//! The times of day at which requests to a model have come so far.
//!
//! A day has bins of a quarter of an hour, apart for working days and weekends.
//! For each bin the share of days on which a request came is kept, newer days
//! counting more. A model is expected in a bin if what its wait would cost, times
//! the chance of a request, is more than what keeping it for the bin costs. So
//! the first requests of a morning rush or a nightly job find it loaded.

use crate::{keep::KeepPrice, window::CivilTime};

/// Minutes of a bin.
const BIN_MINUTES: u16 = 15;
const BINS_A_DAY: usize = 24 * 60 / BIN_MINUTES as usize;
/// Milliseconds of a bin.
pub const BIN_MS: u64 = BIN_MINUTES as u64 * 60_000;
const SATURDAY: u8 = 5;
/// The share of days that counts as all of them.
const ALWAYS: u16 = 1_000;
/// A new day counts one part in this many.
const MEMORY_DAYS: u16 = 4;

/// The times of day at which requests to a model have come.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct UsageProfile {
    shares: [[u16; BINS_A_DAY]; 2],
}

impl Default for UsageProfile {
    fn default() -> Self {
        Self { shares: [[0; BINS_A_DAY]; 2] }
    }
}

/// One bin of a day.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Bin {
    is_weekend: bool,
    index: usize,
}

impl Bin {
    /// The bin of a moment.
    pub fn of(time: CivilTime) -> Self {
        let index = usize::from(time.minute / BIN_MINUTES) % BINS_A_DAY;
        Self { is_weekend: time.weekday >= SATURDAY, index }
    }
}

impl UsageProfile {
    /// UsageProfile that were kept; `None` if there are not as many shares as bins.
    pub fn from_shares(shares: &[u16]) -> Option<Self> {
        let (working_days, weekends) = shares.split_at_checked(BINS_A_DAY)?;
        Some(Self { shares: [working_days.try_into().ok()?, weekends.try_into().ok()?] })
    }

    /// The shares of all bins, to be kept.
    pub fn to_shares(&self) -> Vec<u16> {
        self.shares.concat()
    }

    /// Notes whether a request came in a bin that is over.
    pub fn note(&mut self, bin: Bin, came: bool) {
        let share = &mut self.shares[usize::from(bin.is_weekend)][bin.index];
        let new = if came { ALWAYS / MEMORY_DAYS } else { 0 };
        *share = *share - *share / MEMORY_DAYS + new;
    }

    /// Whether the model is worth keeping loaded for a bin.
    pub fn is_expected(&self, bin: Bin, price: &KeepPrice) -> bool {
        let share = u64::from(self.shares[usize::from(bin.is_weekend)][bin.index]);
        let wait_cost = price.load_ms * price.idle_per_wait * share / u64::from(ALWAYS);
        let keep_cost = BIN_MS * price.share_percent / 100;
        wait_cost > keep_cost
    }
}
