//! How often models are asked for.
//!
//! Each daemon remembers what its own callers ask for, and the leader what it was
//! told. A leader that has just taken over knows nothing, so daemons tell it once
//! what they remember.

use std::collections::BTreeMap;
use trestle_core::names::ModelName;

/// Time in which an arrival's weight in a rate falls to 1/e. Long enough that a
/// rarely used model which came twice is told from one that came once, short
/// enough that a model out of demand gives way within some ten seconds.
const MEMORY_MS: f64 = 8_000.0;
/// The same for demand that rises suddenly: a model that becomes the busiest within seconds
/// needs replicas before its one engine is full, and a load from the weight store takes 6 s.
const SURGE_MEMORY_MS: f64 = 2_000.0;
/// Weight below which a model is forgotten; a single arrival is, after 32 s.
const FORGOTTEN: f64 = 0.018;
/// Models that a daemon tells a new leader of, those asked for most: half a busy daemon's,
/// in some 2 KB.
const MOST_TOLD: usize = 64;

/// How often models are asked for.
#[derive(Debug, Default)]
pub struct Rates {
    models: BTreeMap<ModelName, Rate>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// Arrivals, each by its age.
    weight: f64,
    /// The same, with a shorter memory.
    surge: f64,
    at_ms: u64,
    last_arrival_ms: u64,
}

/// What is remembered of one model, as one daemon tells another.
#[trestle_macros::plain]
pub struct PastArrivals {
    /// The model.
    pub model: ModelName,
    /// Arrivals, each by its age, in thousandths.
    pub weight_milli: u32,
    /// Time since the last arrival.
    pub age_ms: u64,
}

impl Rates {
    /// Notes arrivals.
    pub fn record_arrivals(&mut self, model: &ModelName, count: u32, now_ms: u64) {
        self.add(model, f64::from(count), now_ms, now_ms);
    }

    /// Takes what another daemon remembers.
    pub fn add_history(&mut self, past: &[PastArrivals], now_ms: u64) {
        for arrivals in past {
            let last_ms = now_ms.saturating_sub(arrivals.age_ms);
            self.add(&arrivals.model, f64::from(arrivals.weight_milli) / 1e3, last_ms, now_ms);
        }
    }

    /// What is remembered of the models that are asked for most.
    pub fn history(&self, now_ms: u64) -> Vec<PastArrivals> {
        let each = self.models.iter().map(|(model, rate)| PastArrivals {
            model: model.clone(),
            weight_milli: (rate.decayed(now_ms) * 1e3) as u32,
            age_ms: now_ms.saturating_sub(rate.last_arrival_ms),
        });
        let mut past: Vec<PastArrivals> = each.collect();
        past.sort_by_key(|arrivals| std::cmp::Reverse(arrivals.weight_milli));
        past.truncate(MOST_TOLD);
        past
    }

    /// Arrivals a second.
    pub fn per_s(&self, model: &ModelName, now_ms: u64) -> f64 {
        self.models.get(model).map_or(0.0, |rate| rate.per_s(now_ms))
    }

    /// Arrivals a second of the last seconds, where they rise.
    pub fn surge_per_s(&self, model: &ModelName, now_ms: u64) -> f64 {
        self.models.get(model).map_or(0.0, |rate| rate.surge_per_s(now_ms).max(rate.per_s(now_ms)))
    }

    /// All models that were asked for lately, with arrivals a second.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&ModelName, f64)> {
        self.models.iter().map(move |(model, rate)| (model, rate.per_s(now_ms)))
    }

    /// When a model was last asked for.
    pub fn last_arrival_ms(&self, model: &ModelName) -> Option<u64> {
        self.models.get(model).map(|rate| rate.last_arrival_ms)
    }

    /// Forgets what was asked for long ago.
    pub fn forget(&mut self, now_ms: u64) {
        self.models.retain(|_, rate| rate.decayed(now_ms) > FORGOTTEN);
    }

    fn add(&mut self, model: &ModelName, weight: f64, last_ms: u64, now_ms: u64) {
        let rate = self.models.entry(model.clone()).or_default();
        rate.weight = rate.decayed(now_ms) + weight;
        rate.surge = rate.surge_decayed(now_ms) + if last_ms == now_ms { weight } else { 0.0 };
        rate.at_ms = now_ms;
        rate.last_arrival_ms = rate.last_arrival_ms.max(last_ms);
    }
}

impl Rate {
    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age_ms / MEMORY_MS).exp()
    }

    fn per_s(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms) * 1e3 / MEMORY_MS
    }

    fn surge_decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.surge * (-age_ms / SURGE_MEMORY_MS).exp()
    }

    fn surge_per_s(&self, now_ms: u64) -> f64 {
        self.surge_decayed(now_ms) * 1e3 / SURGE_MEMORY_MS
    }
}
