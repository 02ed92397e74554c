//! The reading that the requests of each model and at each engine cause, for planning replicas.
//!
//! The load that this answers: a model of few long prompts. Its running requests take few of an
//! engine's slots, so counted in slots one replica seems to suffice, while the engine reads all the
//! time and every stream there stalls.

use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName};

/// Time in which the weight of work decays to 1/e: long enough for an average over some ten requests
/// of a busy model, short enough to follow demand that shifts within some ten seconds.
const DECAY_MS: f64 = 4_000.0;
/// Weight of the newest request in a model's average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Time without scheduled prompts after which what is known of models no longer counts.
const UNUSED_MS: u64 = 40_000;
/// Rate of work below which an engine is forgotten.
const MIN_SHARE: f64 = 0.001;

/// Reading time that was assigned lately.
#[derive(Debug, Clone, Default)]
pub struct ModelWork {
    /// Average reading time of one request, by model.
    read_ms: BTreeMap<ModelName, f64>,
    /// The same over all models.
    average_ms: f64,
    recorded_ms: u64,
    by_engine: BTreeMap<EndpointName, DecayedSum>,
}

#[derive(Debug, Clone, Copy, Default)]
struct DecayedSum {
    sum_ms: f64,
    at_ms: u64,
}

impl DecayedSum {
    fn decayed_ms(&self, now_ms: u64) -> f64 {
        self.sum_ms * (-(now_ms.saturating_sub(self.at_ms) as f64) / DECAY_MS).exp()
    }
}

impl ModelWork {
    /// Records that an engine reads a prompt of a model, which takes `read_ms`.
    pub fn record(&mut self, engine: &EndpointName, model: &ModelName, read_ms: f64, now_ms: u64) {
        let average_ms = self.read_ms.entry(model.clone()).or_insert(read_ms);
        *average_ms += (read_ms - *average_ms) * NEWEST_WEIGHT;
        self.average_ms += (read_ms - self.average_ms) * NEWEST_WEIGHT;
        self.recorded_ms = now_ms;
        let sum = self.by_engine.entry(engine.clone()).or_default();
        *sum = DecayedSum { sum_ms: sum.decayed_ms(now_ms) + read_ms, at_ms: now_ms };
    }

    /// Returns whether no reading is known.
    pub fn is_empty(&self) -> bool {
        self.read_ms.is_empty()
    }

    /// Returns the average reading time of a model's requests; that of all models while other leaders
    /// schedule its prompts, and 0 if none is known.
    pub fn read_ms(&self, model: &ModelName) -> f64 {
        self.read_ms.get(model).copied().unwrap_or(self.average_ms)
    }

    /// Returns the part of its time for which an engine has lately been assigned prompts to read.
    pub fn reading_share(&self, engine: &EndpointName, now_ms: u64) -> f64 {
        self.by_engine.get(engine).map_or(0.0, |sum| sum.decayed_ms(now_ms) / DECAY_MS)
    }

    /// Drops engines without recent work, and models after some time without any.
    pub fn drop_lapsed(&mut self, now_ms: u64) {
        if now_ms > self.recorded_ms + UNUSED_MS {
            *self = Self::default();
        }
        self.by_engine.retain(|_, sum| sum.decayed_ms(now_ms) / DECAY_MS >= MIN_SHARE);
    }
}
