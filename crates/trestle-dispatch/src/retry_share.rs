//! One daemon's share of a retry budget that all daemons have together.
//!
//! Within any window the whole system may make further sends up to a ratio of the requests plus a
//! fixed number. Daemons cannot consult each other at every send, and must keep the budget while
//! they are partitioned. A process that has just started does not know what the process before it
//! has sent, and many may start at once, or one many times.
//!
//! So a share is a token bucket that starts empty. Each request of the daemon adds the ratio, and the
//! daemon's part of the fixed number is split: most of it may be saved up, since failures come in
//! bursts, and the rest accrues over the window. What the processes of one VM send again within a
//! window was either earned in it or saved when it began, and only one process had saved anything
//! then. The sum keeps the budget for any number of starts, at any time and in any order.

use fastrand::Rng;

/// Part of the ratio that is used: not every message that a daemon takes for a caller's request
/// counts as one in the budget.
const USED_RATIO: f64 = 0.85;
/// Part of the fixed number that is distributed. The rest covers sends that arrive later than they
/// are made, and daemons that are not counted yet.
const DISTRIBUTED_PART: f64 = 0.9;
/// Part of a daemon's fixed number that may be saved up.
const SAVED_PART: f64 = 0.75;
/// Further sends that may be saved up while the number of daemons is not known. One must be, or no
/// request would ever be sent again.
const SAVED_WHILE_UNCOUNTED: f64 = 1.0;

/// The bounds on further sends of the whole system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Further sends per request.
    pub ratio: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Further sends per window beyond the ratio.
    pub fixed: u32,
}

/// What of a daemon's share is used, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Further sends since the daemon started.
    pub sent: u64,
    /// Further sends that are allowed now.
    pub available: f64,
    /// Most further sends that may be saved up.
    pub capacity: f64,
    /// Number of daemons that share the fixed number; 0 while it is not known.
    pub daemons: usize,
}

/// One daemon's share of the retry budget for one service. Times are those since the daemon started.
#[derive(Debug, Default)]
pub struct RetryShare {
    saved: f64,
    credited_ms: u64,
    sent: u64,
    rng: Rng,
}

/// What a daemon's part of the fixed number allows.
struct FixedPart {
    capacity: f64,
    per_ms: f64,
}

impl FixedPart {
    /// Returns the part of one of `daemons`. While their number is not known (0), none is used: 295
    /// daemons that had started at once and assumed 12 would have used 24 times the fixed number.
    ///
    /// What a single request earns may always be saved, so that the ratio is used where the fixed
    /// number is small or zero.
    fn new(bounds: &RetryBounds, daemons: usize) -> Self {
        if daemons == 0 {
            return Self { capacity: SAVED_WHILE_UNCOUNTED, per_ms: 0.0 };
        }
        let sends = f64::from(bounds.fixed) * DISTRIBUTED_PART / daemons as f64;
        let least_saved = if sends < 1.0 { bounds.ratio * USED_RATIO } else { 1.0 };
        let capacity = (sends * SAVED_PART).max(least_saved);
        let accruing = (sends - capacity).max(0.0);
        Self { capacity, per_ms: accruing / bounds.window_ms as f64 }
    }
}

impl RetryShare {
    /// Returns an empty share whose random decisions are determined by `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self { rng: Rng::with_seed(seed), ..Self::default() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) {
        self.credit(bounds.ratio * USED_RATIO, now_ms, bounds, daemons);
    }

    /// Reserves one further send and returns whether the share allows it.
    pub fn spend(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> bool {
        let capacity = self.credit(0.0, now_ms, bounds, daemons);
        let is_allowed = self.take_saved(capacity);
        self.sent += u64::from(is_allowed);
        is_allowed
    }

    /// Takes one send from what is saved, and returns whether it is allowed.
    ///
    /// Where so many daemons share the fixed number that none can save up a whole send, what is saved
    /// is the probability that the send is allowed, and is used up either way.
    fn take_saved(&mut self, capacity: f64) -> bool {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        capacity < 1.0 && self.rng.f64() < std::mem::take(&mut self.saved)
    }

    /// Returns a further send that was reserved and not made.
    pub fn return_unused(&mut self) {
        self.saved += 1.0;
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns whether the share is certain to allow one further send.
    pub fn has_room(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> bool {
        self.usage(now_ms, bounds, daemons).available >= 1.0
    }

    /// Returns what of the share is used now.
    pub fn usage(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> RetryUsage {
        let capacity = self.credit(0.0, now_ms, bounds, daemons);
        RetryUsage { sent: self.sent, available: self.saved, capacity, daemons }
    }

    /// Adds what has been earned until now, and returns how much may be saved up.
    fn credit(&mut self, earned: f64, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> f64 {
        let fixed = FixedPart::new(bounds, daemons);
        let passed_ms = now_ms.saturating_sub(self.credited_ms) as f64;
        self.credited_ms = self.credited_ms.max(now_ms);
        self.saved = (self.saved + earned + passed_ms * fixed.per_ms).min(fixed.capacity);
        fixed.capacity
    }
}
