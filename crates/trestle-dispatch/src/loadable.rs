//! What can be loaded at an engine.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, ModelName};

/// A model, or one of its adapters.
#[trestle_macros::key]
pub struct Loadable {
    /// The model.
    pub model: ModelName,
    /// The adapter, if it is one.
    pub adapter: Option<AdapterName>,
}

impl Loadable {
    /// A model without an adapter.
    pub fn model(model: &ModelName) -> Self {
        Self { model: model.clone(), adapter: None }
    }

    /// An adapter of a model, or the model where there is none.
    pub fn new(model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        Self { model: model.clone(), adapter: adapter.cloned() }
    }
}

/// Times until things are ready, of those that are about some models.
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

/// Time until something is ready, some time after it was said; 0 only if it was ready then.
pub fn remaining_ms(ready_in_ms: u64, age_ms: u64) -> u64 {
    ready_in_ms.saturating_sub(age_ms).max(u64::from(ready_in_ms > 0))
}
