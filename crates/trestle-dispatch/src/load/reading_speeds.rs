//! The time that the engines of one service need to prefill a token.
//!
//! The load that this answers: engines and models of different speeds. Counted in tokens, an engine
//! of half the speed gets as much as the others, and its streams stall twice as long.
//!
//! The expected time is a base for the service, times a factor of the model, times a factor of the
//! engine's incarnation. Each observed time to the first event moves all three by a small part of the
//! ratio of observed to expected time. Afterwards the factors are centred: the median of the engines'
//! factors, and that of the models', is moved into the base, which leaves the expectations as they
//! are. A service that slows down as a whole therefore changes the base, which engines and models
//! without observations share, and a few slow engines do not change it.
//!
//! Observations arrive some hundred milliseconds after the expectations that they correct, and
//! several may correct the same error. What they move per time is therefore bounded, or a busy
//! service would overshoot and oscillate.

use crate::endpoint::Incarnation;
use std::{
    collections::BTreeMap,
    f64::consts::{LN_2, LN_10},
};
use trestle_core::names::ModelName;

/// Initial time per token. It is rather too long, so that a new leader does not assign too much before
/// it has observations.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 30.0;
/// Logarithm of the largest deviation of the base from its initial value: a factor of 100.
const MAX_BASE_LN: f64 = 2.0 * LN_10;
/// Logarithm of the largest factor, which is 8.
const MAX_FACTOR_LN: f64 = 3.0 * LN_2;
/// Logarithm of the largest ratio that counts, which is 2: one outlier moves an engine by 7 % and the
/// expectation by 13 %. With a limit of 1.5, a stalled engine is noticed 1.7 times as slowly.
const MAX_RATIO_LN: f64 = LN_2;
/// Expected time from which on an observation counts: below it, network and decode steps dominate.
const MIN_EXPECTED_MS: f64 = 50.0;
/// Number of observations with full weight at one time; a call brings several.
const MAX_BURST: f64 = 3.0;
/// How fast observations move the factors. Noise of 20 % leaves some 5 % in an engine's factor. All
/// three together correct at most 0.75 of an error per second; with observations 0.6 s old, more than
/// 2.6 per second would oscillate.
const ENGINE_PACE: Pace = Pace { max_weight: 0.1, period_ms: 3_000.0 };
const MODEL_PACE: Pace = Pace { max_weight: 0.05, period_ms: 4_000.0 };
const BASE_PACE: Pace = Pace { max_weight: 0.03, period_ms: 6_000.0 };
/// Time without observations for which an engine's factor stays: engines in use are observed more
/// often, so that their factors have no bias towards 1.
const HOLD_MS: u64 = 4_000;
/// Time in which an engine's factor then drifts to 1 by 1/e: 7 % of it are left after 20 s.
const DRIFT_MS: f64 = 6_000.0;
/// Number of models or engines that are remembered: more than a configuration has, and below 100 KB.
const MAX_FACTORS: usize = 1_024;

/// The prefill speeds of one service's engines and models, observed at its leader.
#[derive(Debug, Clone, Default)]
pub struct ReadingSpeeds {
    base: Factor,
    models: BTreeMap<ModelName, Factor>,
    engines: BTreeMap<Incarnation, Factor>,
    /// Time of the newest observation, at which expectations are made.
    latest_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    /// Largest weight of one observation.
    max_weight: f64,
    /// Time in which the weights of all observations sum up to at most 1.
    period_ms: f64,
}

/// A factor that follows observed ratios.
#[derive(Debug, Clone, Copy)]
struct Factor {
    ln: f64,
    /// Number of observations that may have their full weight now; grows back with time.
    free_observations: f64,
    recorded_ms: u64,
}

impl Default for Factor {
    fn default() -> Self {
        Self { ln: 0.0, free_observations: MAX_BURST, recorded_ms: 0 }
    }
}

impl Factor {
    fn add(&mut self, ratio_ln: f64, pace: Pace, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let regained = passed_ms / (pace.period_ms * pace.max_weight);
        let free = (self.free_observations + regained).min(MAX_BURST);
        let used = free.min(1.0);
        self.ln += ratio_ln * pace.max_weight * used;
        self.free_observations = free - used;
        self.recorded_ms = self.recorded_ms.max(now_ms);
    }

    /// Returns the logarithm of an engine's factor, which drifts to 0 without observations.
    fn drifted_ln(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.recorded_ms).saturating_sub(HOLD_MS);
        self.ln * (-(idle_ms as f64) / DRIFT_MS).exp()
    }
}

impl ReadingSpeeds {
    /// Returns the expected time per token of a model's prompts at an engine.
    pub fn ms_per_token(&self, model: &ModelName, engine: &Incarnation) -> f64 {
        let model_ln = self.models.get(model).map_or(0.0, |factor| factor.ln);
        let engine_factor = self.engine_factor(engine, self.latest_ms);
        INITIAL_MS_PER_TOKEN * (self.base.ln + model_ln).exp() * engine_factor
    }

    /// Returns the factor of an engine's incarnation; 1 if it was not observed.
    pub fn engine_factor(&self, engine: &Incarnation, now_ms: u64) -> f64 {
        self.engines.get(engine).map_or(1.0, |factor| factor.drifted_ln(now_ms).exp())
    }

    /// Records the time to the first event of a response. `expected_ms` includes the engine's backlog
    /// at the time of the assignment.
    pub fn record(
        &mut self,
        model: &ModelName,
        engine: &Incarnation,
        expected_ms: f64,
        observed_ms: f64,
        now_ms: u64,
    ) {
        let are_valid = expected_ms.is_finite() && observed_ms.is_finite();
        if !are_valid || expected_ms < MIN_EXPECTED_MS {
            return;
        }
        let ratio_ln = (observed_ms.max(1.0) / expected_ms).ln();
        let ratio_ln = ratio_ln.clamp(-MAX_RATIO_LN, MAX_RATIO_LN);
        self.latest_ms = self.latest_ms.max(now_ms);

        let engine = entry(&mut self.engines, engine);
        engine.ln = engine.drifted_ln(now_ms);
        engine.add(ratio_ln, ENGINE_PACE, now_ms);
        entry(&mut self.models, model).add(ratio_ln, MODEL_PACE, now_ms);
        self.base.add(ratio_ln, BASE_PACE, now_ms);

        self.base.ln += centre(&mut self.engines, |factor| factor.drifted_ln(now_ms));
        self.base.ln += centre(&mut self.models, |factor| factor.ln);
        self.base.ln = self.base.ln.clamp(-MAX_BASE_LN, MAX_BASE_LN);
    }

    /// Drops engines that are no longer live.
    pub fn retain(&mut self, is_live: impl Fn(&Incarnation) -> bool) {
        self.engines.retain(|engine, _| is_live(engine));
    }
}

/// Returns the factor of a key. A new one takes the place of the one not observed for longest if
/// there are too many.
fn entry<'a, K: Ord + Clone>(factors: &'a mut BTreeMap<K, Factor>, key: &K) -> &'a mut Factor {
    if factors.len() >= MAX_FACTORS && !factors.contains_key(key) {
        let oldest = factors.iter().min_by_key(|(_, factor)| factor.recorded_ms);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            factors.remove(&oldest);
        }
    }
    factors.entry(key.clone()).or_default()
}

/// Divides all factors by their median and bounds them. Returns the median's logarithm. Of two in the
/// middle, the faster one counts, so that one of two engines can be slow.
fn centre<K>(factors: &mut BTreeMap<K, Factor>, ln: impl Fn(&Factor) -> f64) -> f64 {
    let mut lns: Vec<f64> = factors.values().map(ln).collect();
    let middle = lns.len().saturating_sub(1) / 2;
    let (_, median_ln, _) = lns.select_nth_unstable_by(middle, f64::total_cmp);
    for factor in factors.values_mut() {
        factor.ln = (factor.ln - *median_ln).clamp(-MAX_FACTOR_LN, MAX_FACTOR_LN);
    }
    *median_ln
}
