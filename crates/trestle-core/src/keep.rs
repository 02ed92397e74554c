//! How long a model is kept loaded without a request.
//!
//! Keeping has a price, idle accelerator time, and so has not keeping, the wait
//! of the next first request. The gaps between requests to a model are counted
//! in classes that double in length. A keep time is then judged by what it would
//! have cost over those gaps: each gap shorter than it costs its own length of
//! idle time, and each longer one costs the keep time and a cold start. The
//! cheapest keep time is taken. One number of the configuration says how much
//! idle time one second of waiting is worth.

/// Classes of gaps: 1 s, 2 s, 4 s, and so on to about 12 days.
const CLASSES: usize = 21;
const FIRST_MS: u64 = 1_000;
/// Gaps that are counted before older ones fade.
const MEMORY: u32 = 64;
/// Gaps that must have been seen before they decide.
const ENOUGH: u32 = 4;

/// The gaps between requests to one model.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct Gaps {
    counts: [u32; CLASSES],
}

/// What decides how long a model is kept.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct KeepPrice {
    /// Time that a load takes.
    pub load_ms: u64,
    /// Idle time of the whole accelerator that one unit of waiting is worth.
    pub idle_per_wait: u64,
    /// Share of the accelerator's memory that the model takes, in percent.
    pub share_percent: u64,
    /// Keep time while too few gaps were seen.
    pub declared_keep_ms: u64,
}

impl Gaps {
    /// Counts a gap.
    pub fn note(&mut self, gap_ms: u64) {
        if self.total() >= MEMORY {
            self.counts.iter_mut().for_each(|count| *count -= *count / 2);
        }
        self.counts[class_of(gap_ms)] += 1;
    }

    /// The keep time that would have been cheapest.
    pub fn keep_ms(&self, price: &KeepPrice) -> u64 {
        if self.total() < ENOUGH {
            return price.declared_keep_ms;
        }
        let keeps = std::iter::once(0).chain((0..CLASSES).map(upper_ms));
        keeps.min_by_key(|keep_ms| self.cost(*keep_ms, price)).unwrap_or(price.declared_keep_ms)
    }

    /// The idle time that a keep time would have cost, waits included.
    fn cost(&self, keep_ms: u64, price: &KeepPrice) -> u64 {
        let wait_cost = price.load_ms * price.idle_per_wait;
        let cost_of = |class: usize| {
            let length_ms = typical_ms(class);
            let is_kept = upper_ms(class) <= keep_ms;
            let idle_ms = if is_kept { length_ms } else { keep_ms };
            idle_ms * price.share_percent / 100 + if is_kept { 0 } else { wait_cost }
        };
        (0..CLASSES).map(|class| u64::from(self.counts[class]) * cost_of(class)).sum()
    }

    fn total(&self) -> u32 {
        self.counts.iter().sum()
    }
}

fn class_of(gap_ms: u64) -> usize {
    let doublings = (gap_ms / FIRST_MS).checked_ilog2().map_or(0, |log| log as usize + 1);
    doublings.min(CLASSES - 1)
}

/// The longest gap of a class; a model that is kept for so long is still there.
fn upper_ms(class: usize) -> u64 {
    FIRST_MS << class
}

/// A gap in the middle of a class.
fn typical_ms(class: usize) -> u64 {
    upper_ms(class) * 3 / 4
}
