//! What a daemon remembers of places, so that it asks the right owner first.
//!
//! Nothing here is needed for a right answer: what is remembered only changes
//! the order in which candidates are asked, and how long an owner is looked for.

use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName};

/// Time for which an answer that a model is not placed is remembered.
const NOT_PLACED_VALID_MS: u64 = 10_000;
/// Time after which an endpoint without an owner is not waited for any more.
const OWNER_LOST_LIMIT_MS: u64 = 6_000;

/// What a daemon remembers of places.
#[derive(Default)]
pub(crate) struct PlacementHints {
    not_placed_until_ms: BTreeMap<(ModelName, EndpointName), u64>,
    ownerless_since_ms: BTreeMap<EndpointName, u64>,
}

impl PlacementHints {
    /// Notes that the owner says the model is not placed at its endpoint.
    pub(crate) fn record_not_placed(
        &mut self,
        model: &ModelName,
        endpoint: &EndpointName,
        now_ms: u64,
    ) {
        self.not_placed_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let until_ms = now_ms + NOT_PLACED_VALID_MS;
        self.not_placed_until_ms.insert((model.clone(), endpoint.clone()), until_ms);
    }

    /// Whether the owner has lately said that the model is not placed.
    pub(crate) fn was_reported_not_placed(
        &self,
        model: &ModelName,
        endpoint: &EndpointName,
        now_ms: u64,
    ) -> bool {
        let until_ms = self.not_placed_until_ms.get(&(model.clone(), endpoint.clone()));
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Notes whether an owner of the endpoint has answered.
    pub(crate) fn record_owner_answer(
        &mut self,
        endpoint: &EndpointName,
        answered: bool,
        now_ms: u64,
    ) {
        if answered {
            self.ownerless_since_ms.remove(endpoint);
        } else {
            self.ownerless_since_ms.entry(endpoint.clone()).or_insert(now_ms);
        }
    }

    /// Whether the endpoint has lost its owner so lately that it may soon have another.
    pub(crate) fn lost_owner_recently(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        let since_ms = self.ownerless_since_ms.get(endpoint);
        since_ms.is_some_and(|since_ms| now_ms < since_ms + OWNER_LOST_LIMIT_MS)
    }
}
