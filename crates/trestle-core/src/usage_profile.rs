//! Usage profile of a model: the times of day at which requests to it have come so far.
//!
//! A day is divided into bins of a quarter of an hour, with separate bins for working days and
//! weekends. Each bin holds the share of days on which a request came, an average in which newer
//! days weigh more. A model is expected in a bin if the cost of its wait, times the chance of a
//! request, exceeds the cost of keeping it loaded for the bin. So the first requests of a
//! morning rush or a nightly job find it loaded.

use crate::{keep::KeepPrice, window::CivilTime};

/// Length of a bin in minutes.
const BIN_MINUTES: u16 = 15;
const BINS_PER_DAY: usize = 24 * 60 / BIN_MINUTES as usize;
/// Length of a bin in milliseconds.
pub const BIN_MS: u64 = BIN_MINUTES as u64 * 60_000;
/// First day of the weekend, as in [`CivilTime::weekday`].
const SATURDAY: u8 = 5;
/// Share of a bin with requests on every day; shares are in thousandths.
const FULL_SHARE: u16 = 1_000;
/// Number of equal parts of the average of which a new day makes up one.
const AVERAGING_DAYS: u16 = 4;

/// Shares of days with requests to one model, by time of day.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct UsageProfile {
    shares: [[u16; BINS_PER_DAY]; 2],
}

impl Default for UsageProfile {
    fn default() -> Self {
        Self { shares: [[0; BINS_PER_DAY]; 2] }
    }
}

/// One bin of a day, either of a working day or of the weekend.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Bin {
    is_weekend: bool,
    index: usize,
}

impl Bin {
    /// Returns the bin that contains a moment.
    pub fn of(time: CivilTime) -> Self {
        let index = usize::from(time.minute / BIN_MINUTES) % BINS_PER_DAY;
        Self { is_weekend: time.weekday >= SATURDAY, index }
    }
}

impl UsageProfile {
    /// Creates a profile from stored shares, those of working days first; `None` if there are not
    /// as many shares as bins.
    pub fn from_shares(shares: &[u16]) -> Option<Self> {
        let (working_days, weekends) = shares.split_at_checked(BINS_PER_DAY)?;
        Some(Self { shares: [working_days.try_into().ok()?, weekends.try_into().ok()?] })
    }

    /// Returns the shares of all bins for storage, those of working days first.
    pub fn to_shares(&self) -> Vec<u16> {
        self.shares.concat()
    }

    /// Records whether a request came in a bin that is over.
    pub fn record(&mut self, bin: Bin, was_requested: bool) {
        let share = &mut self.shares[usize::from(bin.is_weekend)][bin.index];
        let new = if was_requested { FULL_SHARE / AVERAGING_DAYS } else { 0 };
        *share = *share - *share / AVERAGING_DAYS + new;
    }

    /// Returns whether a model is worth keeping loaded for a bin.
    pub fn is_expected(&self, bin: Bin, price: &KeepPrice) -> bool {
        let share = u64::from(self.shares[usize::from(bin.is_weekend)][bin.index]);
        let wait_cost = price.load_ms * price.idle_per_wait * share / u64::from(FULL_SHARE);
        let keep_cost = BIN_MS * price.share_percent / 100;
        wait_cost > keep_cost
    }
}
