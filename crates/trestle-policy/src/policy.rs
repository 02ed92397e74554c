//! Ways to decide how long a model is kept loaded.

use crate::day::ModelDay;
use trestle_core::keep::{Gaps, KeepPrice};

/// A way to decide how long a model is kept loaded.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Policy {
    /// The same time for every model.
    Fixed {
        /// The time; `u64::MAX` never unloads.
        keep_ms: u64,
    },
    /// By price, from each model's own gaps, as the daemon does it.
    Price {
        /// Idle time that one unit of waiting is worth.
        idle_per_wait: u64,
        /// Whether declared windows are honoured.
        windows: bool,
        /// Whether habits are learnt.
        habits: bool,
    },
    /// Knows when the next request comes, and keeps the model until then if that is cheaper.
    Foresight {
        /// Idle time that one unit of waiting is worth.
        idle_per_wait: u64,
    },
}

/// Keep time while too few gaps are known.
const DECLARED_KEEP_MS: u64 = 120_000;

impl Policy {
    /// How long the model is kept after a request.
    pub fn keep_ms(&self, model: &ModelDay, gaps: &Gaps, next_gap_ms: u64) -> u64 {
        match self {
            Self::Fixed { keep_ms } => *keep_ms,
            Self::Price { idle_per_wait, .. } => {
                let price = price(model, *idle_per_wait);
                gaps.keep_ms(&price).max(model.load_ms)
            }
            Self::Foresight { idle_per_wait } => {
                let idle_ms = next_gap_ms.saturating_mul(model.share_percent) / 100;
                let is_cheaper = idle_ms < model.load_ms * idle_per_wait;
                if is_cheaper { next_gap_ms.saturating_add(1) } else { 0 }
            }
        }
    }

    /// Whether the model is kept loaded in its declared windows.
    pub fn honours_windows(&self) -> bool {
        matches!(self, Self::Price { windows: true, .. })
    }

    /// The price by which habits decide, if they do.
    pub fn habit_price(&self, model: &ModelDay) -> Option<KeepPrice> {
        match self {
            Self::Price { idle_per_wait, habits: true, .. } => Some(price(model, *idle_per_wait)),
            _ => None,
        }
    }

    /// A short name.
    pub fn name(&self) -> String {
        match self {
            Self::Fixed { keep_ms: 0 } => "unload at once".to_owned(),
            Self::Fixed { keep_ms: u64::MAX } => "never unload".to_owned(),
            Self::Fixed { keep_ms } => format!("fixed {} s", keep_ms / 1_000),
            Self::Price { idle_per_wait, windows, habits } => {
                let windows = if *windows { ", windows" } else { "" };
                let habits = if *habits { ", habits" } else { "" };
                format!("price {idle_per_wait}{windows}{habits}")
            }
            Self::Foresight { idle_per_wait } => format!("foresight {idle_per_wait}"),
        }
    }
}

fn price(model: &ModelDay, idle_per_wait: u64) -> KeepPrice {
    KeepPrice {
        load_ms: model.load_ms,
        idle_per_wait,
        share_percent: model.share_percent,
        declared_keep_ms: DECLARED_KEEP_MS,
    }
}
