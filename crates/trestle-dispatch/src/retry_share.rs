//! One daemon's share of a retry budget that all daemons have together.
//!
//! Within any window the whole system may make further sends up to a ratio of the requests plus a
//! fixed number. Daemons cannot consult each other at every send, and must keep the budget while
//! they are partitioned. So each daemon uses the ratio of its own requests and an equal part of the
//! fixed number, once it knows the number of daemons. The shares sum to the budget whatever the
//! daemons know of each other.

use std::collections::VecDeque;

/// Length of a counting interval; the window is rounded up to whole ones.
const SLICE_MS: u64 = 1_000;
/// Part of the ratio that is used: not every message that a daemon takes for a caller's request
/// counts as one in the budget.
const USED_RATIO: f64 = 0.85;
/// Slices by which the window of requests is shorter than that of further sends, so that rounding
/// to whole slices never adds requests to a window.
const SPARE_SLICES: u64 = 2;
/// Part of the fixed number that is distributed; the rest covers daemons that have just started and
/// are not counted yet.
const SHARED_PART: f64 = 0.7;

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
    /// Further sends within the window until now.
    pub sent: u32,
    /// Further sends that are allowed now.
    pub available: f64,
    /// Number of daemons that share the fixed number; 0 while it is not known.
    pub daemons: usize,
}

/// One daemon's share of the retry budget for one service.
#[derive(Debug, Default)]
pub struct RetryShare {
    slices: VecDeque<Slice>,
}

#[derive(Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    further_sends: u32,
}

impl RetryShare {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Reserves one further send and returns whether the share allows it.
    ///
    /// While the number of daemons is not known (0), nothing of the fixed number is used: 295
    /// daemons that had started at once and assumed 12 would have used 24 times that number.
    pub fn spend(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> bool {
        let has_room = self.has_room(now_ms, bounds, daemons);
        if has_room {
            self.slice(now_ms).further_sends += 1;
        }
        has_room
    }

    /// Returns whether the share allows one further send.
    pub fn has_room(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> bool {
        self.usage(now_ms, bounds, daemons).available >= 1.0
    }

    /// Returns what of the share is used now.
    pub fn usage(&mut self, now_ms: u64, bounds: &RetryBounds, daemons: usize) -> RetryUsage {
        self.drop_old(now_ms, bounds.window_ms);
        let first = (now_ms / SLICE_MS + 1 + SPARE_SLICES)
            .saturating_sub(bounds.window_ms.div_ceil(SLICE_MS));
        let counted = self.slices.iter().filter(|slice| slice.number >= first);
        let requests: u32 = counted.map(|slice| slice.requests).sum();
        let further_sends: u32 = self.slices.iter().map(|slice| slice.further_sends).sum();
        let fixed = match daemons {
            0 => 0.0,
            daemons => f64::from(bounds.fixed) * SHARED_PART / daemons as f64,
        };
        let earned = f64::from(requests) * bounds.ratio * USED_RATIO;
        let available = (earned + fixed - f64::from(further_sends)).max(0.0);
        RetryUsage { sent: further_sends, available, daemons }
    }

    fn slice(&mut self, now_ms: u64) -> &mut Slice {
        let number = now_ms / SLICE_MS;
        if self.slices.back().is_none_or(|slice| slice.number != number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    /// Drops slices that are older than any window that ends now.
    fn drop_old(&mut self, now_ms: u64, window_ms: u64) {
        let oldest = (now_ms / SLICE_MS).saturating_sub(window_ms.div_ceil(SLICE_MS));
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
    }
}
