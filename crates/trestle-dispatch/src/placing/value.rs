//! What replicas of a model are worth, in one unit for all decisions.
//!
//! The unit is the delay, in ms, that callers have for lack of replicas over the time ahead
//! that a plan looks at. Without a replica each of them waits for a swap or is refused; with
//! too few, their engines are crowded. A model makes way for another only where that loses
//! less than it gains. Without this bound, one plan took both replicas of the model that got
//! 40 % of all requests, for two models that were asked for every three seconds, and 80 % of
//! its requests were late for 8 s.

use super::Planner;
use crate::{demand::AggregateDemand, policy::Mechanism};
use trestle_core::names::ModelName;

/// Time ahead that a plan looks at: demand moves within some ten seconds, and what is
/// displaced is asked for again within about three.
const AHEAD_S: f64 = 4.0;
/// What one request counts that finds no replica; a swap from disk takes about as long.
const MISSED_MS: f64 = 1_000.0;
/// Share of slots up to which an engine is hardly slower than alone.
const CALM_FILL: f64 = 0.125;
/// Share of slots at which half of the requests are late: prompts that are read then take
/// most of an engine's time.
const HALF_LATE_FILL: f64 = 0.5;
/// What a late request counts, against one that finds no replica.
const LATE_PART: f64 = 0.6;
/// What a swap counts by itself, against undoing it soon: the engine takes no other order
/// meanwhile.
pub(super) const SWAP_MS: f64 = 300.0;
/// What the going of a last replica counts beyond its rate, right after it was asked for;
/// what was asked for longest ago goes first among equals.
const RECENT_MS: f64 = 50.0;

impl Planner<'_> {
    /// What the first replica of a model that somebody waits for gains.
    pub(super) fn gain_of_first_ms(&self, want: &AggregateDemand<'_>) -> f64 {
        f64::from(want.count) * MISSED_MS + self.shortfall_ms(want.model, 0)
            - self.shortfall_ms(want.model, 1)
    }

    /// What one more replica of a model gains.
    pub(super) fn gain_of_further_ms(&self, model: &ModelName) -> f64 {
        let replicas = self.replicas(model);
        self.shortfall_ms(model, replicas) - self.shortfall_ms(model, replicas + 1)
    }

    /// Whether one more replica may gain anything, by how often the model is asked for; that is
    /// quickly known, and few models are asked for often.
    pub(super) fn may_gain(&self, model: &ModelName) -> bool {
        let asked_per_s = self.demand.rates().per_s(model, self.now_ms);
        asked_per_s * AHEAD_S * MISSED_MS * LATE_PART > SWAP_MS
    }

    /// What the going of one replica of a model loses.
    pub(super) fn loss_of_one_ms(&self, model: &ModelName) -> f64 {
        let replicas = self.present(model);
        self.shortfall_ms(model, replicas.saturating_sub(1)) - self.shortfall_ms(model, replicas)
    }

    /// What callers lose where a model has so many replicas.
    fn shortfall_ms(&self, model: &ModelName, replicas: u32) -> f64 {
        let asked_ms = self.demand.rates().per_s(model, self.now_ms) * AHEAD_S * MISSED_MS;
        if replicas == 0 {
            return asked_ms + self.recency_ms(model);
        }
        let slots = replicas.saturating_mul(self.spec.slots).max(1);
        asked_ms * LATE_PART * late_share(self.running(model) / f64::from(slots))
    }

    /// Requests for a model that run at once where all are served: what was seen, or what
    /// follows from how often it is asked for, as for a model that has just become busy.
    pub(super) fn running(&self, model: &ModelName) -> f64 {
        let seen = self.usage.of_model(model).max(self.demand.peak(model, self.now_ms));
        let rates = self.demand.rates();
        let asked_per_s = match self.policy.has(Mechanism::Surges) {
            true => rates.surge_per_s(model, self.now_ms),
            false => rates.per_s(model, self.now_ms),
        };
        f64::from(seen).max(asked_per_s * self.demand.run_s())
    }

    fn recency_ms(&self, model: &ModelName) -> f64 {
        let last_ms = self.demand.rates().last_arrival_ms(model);
        let age_ms = last_ms.map_or(u64::MAX, |at_ms| self.now_ms.saturating_sub(at_ms));
        RECENT_MS / (1.0 + age_ms as f64 / 1e3)
    }
}

/// The share of what engines so full are asked for that is late. It never reaches 1, so that
/// one more replica is worth something however few there are.
pub(super) fn late_share(fill: f64) -> f64 {
    let excess = ((fill - CALM_FILL) / (HALF_LATE_FILL - CALM_FILL)).max(0.0);
    excess / (1.0 + excess)
}
