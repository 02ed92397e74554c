//! The value of replicas, in one unit for all decisions.
//!
//! The unit is the delay, in ms, of callers for lack of replicas within the planning horizon.
//! Without a replica each caller waits for a swap or is refused; with too few replicas, their
//! engines are overloaded. A model is evicted for another one only if that loses less than it
//! gains. Without this rule, one plan evicted both replicas of the model that got 40 % of all
//! requests, for two models that were requested every three seconds, and 80 % of its requests were
//! late for 8 s.

use super::Planner;
use crate::{demand::AggregateDemand, policy::Mechanism};
use trestle_core::names::{EndpointName, ModelName};

/// The planning horizon: demand shifts within some ten seconds, and an evicted model is requested
/// again within about three.
const HORIZON_S: f64 = 4.0;
/// Value of a request that finds no replica, as delay; a swap from disk takes about as long.
const MISSED_MS: f64 = 1_000.0;
/// Share of slots in use up to which an engine is hardly slower than with one request.
const UNLOADED_FILL: f64 = 0.125;
/// Share of slots in use at which half of the requests are late: reading prompts then takes most of
/// the engine's time.
const HALF_LATE_FILL: f64 = 0.5;
/// Value of a late request relative to one that finds no replica.
const LATE_PART: f64 = 0.6;
/// Fixed cost of a swap, so that it is not soon undone: the engine carries out no other order
/// meanwhile.
pub(super) const SWAP_MS: f64 = 300.0;
/// Extra value of a last replica whose model was requested just now; among equals, the model
/// requested longest ago is evicted first.
const RECENCY_MS: f64 = 50.0;

impl Planner<'_> {
    /// Returns the gain of the first replica of a model in demand.
    pub(super) fn gain_of_first_ms(&self, demand: &AggregateDemand<'_>) -> f64 {
        f64::from(demand.count) * MISSED_MS + self.shortfall_ms(demand.model, 0)
            - self.shortfall_ms(demand.model, 1)
    }

    /// Returns the gain of one more replica of a model.
    pub(super) fn gain_of_further_ms(&self, model: &ModelName) -> f64 {
        let replicas = self.replicas(model);
        self.shortfall_ms(model, replicas) - self.shortfall_ms(model, replicas + 1)
    }

    /// Returns whether the request rate of a model is high enough for one more replica to gain
    /// anything. This is quick to compute, and few models have a high rate.
    pub(super) fn may_gain(&self, model: &ModelName) -> bool {
        let arrivals_per_s = self.demand.rates().per_s(model, self.now_ms);
        arrivals_per_s * HORIZON_S * MISSED_MS * LATE_PART > SWAP_MS
    }

    /// Returns the value lost by evicting one replica of a model.
    pub(super) fn loss_of_one_ms(&self, model: &ModelName) -> f64 {
        let replicas = self.present(model);
        self.shortfall_ms(model, replicas.saturating_sub(1)) - self.shortfall_ms(model, replicas)
    }

    /// Returns the delay of callers of a model that has this number of replicas.
    fn shortfall_ms(&self, model: &ModelName, replicas: u32) -> f64 {
        let missed_ms = self.demand.rates().per_s(model, self.now_ms) * HORIZON_S * MISSED_MS;
        if replicas == 0 {
            return missed_ms + self.recency_ms(model);
        }
        let slots = replicas.saturating_mul(self.spec.slots).max(1);
        let slot_share = self.running(model) / f64::from(slots);
        let reading_share = self.reading_engines(model) / f64::from(replicas);
        missed_ms * LATE_PART * late_share(slot_share.max(reading_share))
    }

    /// Returns the share of an engine's slots or of its time, whichever is larger, that requests take.
    pub(super) fn fill_of(&self, endpoint: &EndpointName) -> f64 {
        let slot_share = f64::from(self.usage.at(endpoint)) / f64::from(self.spec.slots.max(1));
        match self.policy.has(Mechanism::ReplicasByWork) {
            true => slot_share.max(self.work.reading_share(endpoint, self.now_ms)),
            false => slot_share,
        }
    }

    /// Returns the number of engines that the prompts of a model would keep reading all the time. A
    /// model of few long prompts takes few slots and much of an engine's time.
    pub(super) fn reading_engines(&self, model: &ModelName) -> f64 {
        match self.policy.has(Mechanism::ReplicasByWork) {
            true => self.arrivals_per_s(model) * self.work.read_ms(model) / 1e3,
            false => 0.0,
        }
    }

    /// Returns the number of requests for a model that would run at once if all were served: the
    /// observed number, or the one that follows from the request rate, for a model that has just
    /// become busy.
    pub(super) fn running(&self, model: &ModelName) -> f64 {
        let observed = self.usage.of_model(model).max(self.demand.peak(model, self.now_ms));
        f64::from(observed).max(self.arrivals_per_s(model) * self.demand.run_s())
    }

    fn arrivals_per_s(&self, model: &ModelName) -> f64 {
        let rates = self.demand.rates();
        match self.policy.has(Mechanism::Surges) {
            true => rates.surge_per_s(model, self.now_ms),
            false => rates.per_s(model, self.now_ms),
        }
    }

    fn recency_ms(&self, model: &ModelName) -> f64 {
        let last_ms = self.demand.rates().last_arrival_ms(model);
        let age_ms = last_ms.map_or(u64::MAX, |at_ms| self.now_ms.saturating_sub(at_ms));
        RECENCY_MS / (1.0 + age_ms as f64 / 1e3)
    }
}

/// Returns the share of requests that are late at engines with this share of slots in use. It never
/// reaches 1, so that one more replica always has some value.
pub(super) fn late_share(fill: f64) -> f64 {
    let excess = ((fill - UNLOADED_FILL) / (HALF_LATE_FILL - UNLOADED_FILL)).max(0.0);
    excess / (1.0 + excess)
}
