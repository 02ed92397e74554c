//! Policies that decide how long a model stays loaded.

use crate::workload::ModelWorkload;
use trestle_core::keep::{Gaps, KeepPrice};

/// Policy that decides how long a model stays loaded.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Policy {
    /// The same keep time for every model.
    Fixed {
        /// Keep time; with `u64::MAX`, models are never unloaded.
        keep_ms: u64,
    },
    /// The keep time of least cost over each model's own gaps, as the daemon determines it.
    Price {
        /// Idle time that one unit of waiting is worth.
        idle_per_wait: u64,
        /// Whether models are kept loaded in their declared windows.
        windows: bool,
        /// Whether models are kept loaded when their usage profiles expect requests.
        usage_profiles: bool,
    },
    /// Knowledge of the next request: the model stays loaded until then if that is cheaper.
    Foresight {
        /// Idle time that one unit of waiting is worth.
        idle_per_wait: u64,
    },
}

/// Keep time until enough gaps were counted.
const DECLARED_KEEP_MS: u64 = 120_000;

impl Policy {
    /// Returns how long the model stays loaded after a request.
    pub fn keep_ms(&self, model: &ModelWorkload, gaps: &Gaps, next_gap_ms: u64) -> u64 {
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

    /// Returns whether models are kept loaded in their declared windows.
    pub fn uses_windows(&self) -> bool {
        matches!(self, Self::Price { windows: true, .. })
    }

    /// Returns the costs by which usage profiles decide; `None` if the policy uses no profiles.
    pub fn usage_profile_costs(&self, model: &ModelWorkload) -> Option<KeepPrice> {
        match self {
            Self::Price { idle_per_wait, usage_profiles: true, .. } => {
                Some(price(model, *idle_per_wait))
            }
            _ => None,
        }
    }

    /// Returns a short name for tables.
    pub fn name(&self) -> String {
        match self {
            Self::Fixed { keep_ms: 0 } => "unload at once".to_owned(),
            Self::Fixed { keep_ms: u64::MAX } => "never unload".to_owned(),
            Self::Fixed { keep_ms } => format!("fixed {} s", keep_ms / 1_000),
            Self::Price { idle_per_wait, windows, usage_profiles } => {
                let windows = if *windows { ", windows" } else { "" };
                let usage_profiles = if *usage_profiles { ", habits" } else { "" };
                format!("price {idle_per_wait}{windows}{usage_profiles}")
            }
            Self::Foresight { idle_per_wait } => format!("foresight {idle_per_wait}"),
        }
    }
}

fn price(model: &ModelWorkload, idle_per_wait: u64) -> KeepPrice {
    KeepPrice {
        load_ms: model.load_ms,
        idle_per_wait,
        share_percent: model.share_percent,
        declared_keep_ms: DECLARED_KEEP_MS,
    }
}
