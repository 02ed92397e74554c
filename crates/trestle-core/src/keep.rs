//! Keep time: how long a model stays loaded without a request.
//!
//! Keeping a model costs idle accelerator time; unloading it costs the wait of the next
//! request for a cold start. The gaps between requests to a model are counted in classes whose
//! lengths double. A keep time is rated by what it would have cost over those gaps: a gap
//! shorter than the keep time costs its own length of idle time, and a longer one costs the
//! keep time and a cold start. The cheapest keep time is chosen. One number in the configuration
//! states how much idle time one second of waiting is worth.

/// Number of classes of gaps: 1 s, 2 s, 4 s, and so on to about 12 days.
const CLASSES: usize = 21;
/// Upper bound of the first class.
const FIRST_CLASS_MS: u64 = 1_000;
/// Number of counted gaps at which all counts are halved, so that older gaps lose weight.
const MAX_COUNTED: u32 = 64;
/// Number of gaps that must have been counted before they determine the keep time.
const MIN_COUNTED: u32 = 4;

/// Counts of the gaps between requests to one model, by length.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct Gaps {
    counts: [u32; CLASSES],
}

/// Costs from which the keep time of a model follows.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct KeepPrice {
    /// Time that a load takes.
    pub load_ms: u64,
    /// Idle time of the whole accelerator that one unit of waiting is worth.
    pub idle_per_wait: u64,
    /// Share of the accelerator's memory that the model occupies, in percent.
    pub share_percent: u64,
    /// Keep time that applies until enough gaps were counted.
    pub declared_keep_ms: u64,
}

impl Gaps {
    /// Counts a gap.
    pub fn record(&mut self, gap_ms: u64) {
        if self.total() >= MAX_COUNTED {
            self.counts.iter_mut().for_each(|count| *count -= *count / 2);
        }
        self.counts[class_of(gap_ms)] += 1;
    }

    /// Returns the keep time that would have been cheapest over the counted gaps.
    pub fn keep_ms(&self, price: &KeepPrice) -> u64 {
        if self.total() < MIN_COUNTED {
            return price.declared_keep_ms;
        }
        let keeps = std::iter::once(0).chain((0..CLASSES).map(upper_ms));
        keeps.min_by_key(|keep_ms| self.cost(*keep_ms, price)).unwrap_or(price.declared_keep_ms)
    }

    /// Returns the idle time that a keep time would have cost, with waits converted to idle time.
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
    let doublings = (gap_ms / FIRST_CLASS_MS).checked_ilog2().map_or(0, |log| log as usize + 1);
    doublings.min(CLASSES - 1)
}

/// Returns the longest gap of a class; a model kept for this time is still loaded after it.
fn upper_ms(class: usize) -> u64 {
    FIRST_CLASS_MS << class
}

/// Returns a gap length in the middle of a class.
fn typical_ms(class: usize) -> u64 {
    upper_ms(class) * 3 / 4
}
