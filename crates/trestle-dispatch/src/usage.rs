//! The running requests, summed over all daemons.

use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName};

/// The running requests, summed over all daemons.
///
/// A plan needs the same sums many times, so they are computed once for it.
#[derive(Debug, Default)]
pub struct Usage<'a> {
    engines: BTreeMap<&'a EndpointName, EngineUsage<'a>>,
    models: BTreeMap<&'a ModelName, u32>,
}

#[derive(Debug, Default)]
struct EngineUsage<'a> {
    total: u32,
    models: BTreeMap<&'a ModelName, u32>,
}

impl<'a> Usage<'a> {
    /// Adds running requests for a model at an engine.
    pub(crate) fn add(&mut self, endpoint: &'a EndpointName, model: &'a ModelName, count: u32) {
        let engine = self.engines.entry(endpoint).or_default();
        engine.total += count;
        *engine.models.entry(model).or_default() += count;
        *self.models.entry(model).or_default() += count;
    }

    /// Adds running requests for a model at engines that are not named.
    pub(crate) fn add_elsewhere(&mut self, model: &'a ModelName, count: u32) {
        *self.models.entry(model).or_default() += count;
    }

    /// Returns the number of requests that run at an engine.
    pub fn at(&self, endpoint: &EndpointName) -> u32 {
        self.engines.get(endpoint).map_or(0, |engine| engine.total)
    }

    /// Returns the number of requests for a model that run at an engine.
    pub fn of_model_at(&self, endpoint: &EndpointName, model: &ModelName) -> u32 {
        let engine = self.engines.get(endpoint);
        engine.and_then(|engine| engine.models.get(model)).copied().unwrap_or_default()
    }

    /// Returns the models with running requests.
    pub fn models(&self) -> impl Iterator<Item = &'a ModelName> {
        self.models.keys().copied()
    }

    /// Returns the number of requests for a model that run at any engine.
    pub fn of_model(&self, model: &ModelName) -> u32 {
        self.models.get(model).copied().unwrap_or_default()
    }
}
