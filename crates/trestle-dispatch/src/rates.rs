//! Request rates of models.
//!
//! Each daemon keeps the arrivals of its own callers, and the leader those that were reported to
//! it. A leader that has just taken over has none, so each daemon reports its past arrivals to it
//! once.

use std::collections::BTreeMap;
use trestle_core::names::ModelName;

/// Time in which the weight of an arrival decays to 1/e. It is long enough to distinguish a rarely
/// used model that was requested twice from one that was requested once, and short enough that a
/// model out of demand can be evicted within some ten seconds.
const DECAY_MS: f64 = 8_000.0;
/// The same time for a sudden rise: a model that becomes the busiest within seconds needs replicas
/// before its one engine is full, and a load from the weight store takes 6 s.
const SURGE_DECAY_MS: f64 = 2_000.0;
/// Weight below which a model is dropped; after a single arrival this takes 32 s.
const MIN_WEIGHT: f64 = 0.018;
/// Number of models that a daemon reports to a new leader, those with the highest rates: half of a
/// busy daemon's models, in some 2 KB.
const MAX_REPORTED: usize = 64;

/// Request rates of models.
#[derive(Debug, Default)]
pub struct Rates {
    models: BTreeMap<ModelName, Rate>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// Sum of the arrivals, each decayed by its age.
    weight: f64,
    /// The same sum, with a faster decay.
    surge: f64,
    at_ms: u64,
    last_arrival_ms: u64,
}

/// The past arrivals for one model, as one daemon reports them to another.
#[trestle_macros::plain]
pub struct PastArrivals {
    /// The model.
    pub model: ModelName,
    /// Sum of the arrivals, each decayed by its age, in thousandths.
    pub weight_milli: u32,
    /// Time since the last arrival.
    pub age_ms: u64,
}

impl Rates {
    /// Records arrivals.
    pub fn record_arrivals(&mut self, model: &ModelName, count: u32, now_ms: u64) {
        self.add(model, f64::from(count), now_ms, now_ms);
    }

    /// Adds the past arrivals that another daemon reports.
    pub fn add_history(&mut self, history: &[PastArrivals], now_ms: u64) {
        for arrivals in history {
            let last_ms = now_ms.saturating_sub(arrivals.age_ms);
            self.add(&arrivals.model, f64::from(arrivals.weight_milli) / 1e3, last_ms, now_ms);
        }
    }

    /// Returns the past arrivals of the models with the highest rates.
    pub fn history(&self, now_ms: u64) -> Vec<PastArrivals> {
        let each = self.models.iter().map(|(model, rate)| PastArrivals {
            model: model.clone(),
            weight_milli: (rate.decayed(now_ms) * 1e3) as u32,
            age_ms: now_ms.saturating_sub(rate.last_arrival_ms),
        });
        let mut history: Vec<PastArrivals> = each.collect();
        history.sort_by_key(|arrivals| std::cmp::Reverse(arrivals.weight_milli));
        history.truncate(MAX_REPORTED);
        history
    }

    /// Returns the arrivals per second.
    pub fn per_s(&self, model: &ModelName, now_ms: u64) -> f64 {
        self.models.get(model).map_or(0.0, |rate| rate.per_s(now_ms))
    }

    /// Returns the arrivals per second, by the last seconds alone if the rate rises.
    pub fn surge_per_s(&self, model: &ModelName, now_ms: u64) -> f64 {
        self.models.get(model).map_or(0.0, |rate| rate.surge_per_s(now_ms).max(rate.per_s(now_ms)))
    }

    /// Returns all models with recent arrivals, with their arrivals per second.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&ModelName, f64)> {
        self.models.iter().map(move |(model, rate)| (model, rate.per_s(now_ms)))
    }

    /// Returns the time of the last arrival for a model.
    pub fn last_arrival_ms(&self, model: &ModelName) -> Option<u64> {
        self.models.get(model).map(|rate| rate.last_arrival_ms)
    }

    /// Drops models whose last arrivals are long ago.
    pub fn forget(&mut self, now_ms: u64) {
        self.models.retain(|_, rate| rate.decayed(now_ms) > MIN_WEIGHT);
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
        self.weight * (-age_ms / DECAY_MS).exp()
    }

    fn per_s(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms) * 1e3 / DECAY_MS
    }

    fn surge_decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.surge * (-age_ms / SURGE_DECAY_MS).exp()
    }

    fn surge_per_s(&self, now_ms: u64) -> f64 {
        self.surge_decayed(now_ms) * 1e3 / SURGE_DECAY_MS
    }
}
