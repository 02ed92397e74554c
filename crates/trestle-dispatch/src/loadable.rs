//! What can be loaded at an engine.

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

/// Time until something is ready, some time after it was said; 0 only if it was ready then.
pub(crate) fn aged_ms(ready_in_ms: u64, age_ms: u64) -> u64 {
    ready_in_ms.saturating_sub(age_ms).max(u64::from(ready_in_ms > 0))
}
