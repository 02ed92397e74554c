//! Hints about placements and owners, from earlier answers of owners.
//!
//! The hints affect only the order in which candidates are queried, and how long a request searches
//! for an owner. Correctness does not depend on them.

use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName};

/// Validity of an answer that a model is not placed at an endpoint.
const NOT_PLACED_VALID_MS: u64 = 10_000;
/// Time after which requests no longer wait for an endpoint to get a new owner.
const OWNER_LOST_LIMIT_MS: u64 = 6_000;

/// Hints about placements and owners, from earlier answers of owners.
#[derive(Default)]
pub(crate) struct PlacementHints {
    not_placed_until_ms: BTreeMap<(ModelName, EndpointName), u64>,
    ownerless_since_ms: BTreeMap<EndpointName, u64>,
}

impl PlacementHints {
    /// Records that the owner of an endpoint reported that the model is not placed there.
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

    /// Returns whether the owner of an endpoint recently reported that the model is not placed
    /// there.
    pub(crate) fn was_reported_not_placed(
        &self,
        model: &ModelName,
        endpoint: &EndpointName,
        now_ms: u64,
    ) -> bool {
        let until_ms = self.not_placed_until_ms.get(&(model.clone(), endpoint.clone()));
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Records whether an owner of the endpoint answered.
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

    /// Returns whether the endpoint lost its owner so recently that it may soon have another one.
    pub(crate) fn lost_owner_recently(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        let since_ms = self.ownerless_since_ms.get(endpoint);
        since_ms.is_some_and(|since_ms| now_ms < since_ms + OWNER_LOST_LIMIT_MS)
    }
}
