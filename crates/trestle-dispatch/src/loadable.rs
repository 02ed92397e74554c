//! What an engine can load: models and adapters.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, ModelName};

/// A model or one of its adapters.
#[trestle_macros::key]
pub struct Loadable {
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterName>,
}

impl Loadable {
    /// Returns a model without an adapter.
    pub fn model(model: &ModelName) -> Self {
        Self { model: model.clone(), adapter: None }
    }

    /// Returns an adapter of a model, or the model itself without an adapter.
    pub fn new(model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        Self { model: model.clone(), adapter: adapter.cloned() }
    }
}

/// Returns the ready times of some models and their adapters.
pub fn ready_times_of<'a>(
    ready_in_ms: &'a BTreeMap<Loadable, u64>,
    models: &'a BTreeSet<ModelName>,
) -> impl Iterator<Item = (&'a Loadable, u64)> {
    models.iter().flat_map(|model| {
        let from = ready_in_ms.range(Loadable::model(model)..);
        let of_model = from.take_while(move |(loadable, _)| loadable.model == *model);
        of_model.map(|(loadable, ms)| (loadable, *ms))
    })
}

/// Returns the remaining time of a ready time that was computed `age_ms` ago; 0 only if it was 0
/// then.
pub fn remaining_ms(ready_in_ms: u64, age_ms: u64) -> u64 {
    ready_in_ms.saturating_sub(age_ms).max(u64::from(ready_in_ms > 0))
}
