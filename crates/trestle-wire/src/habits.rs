//! Habits of models, as they are kept in the object store.

use std::collections::BTreeMap;
use trestle_core::{names::ModelName, usage_profile::UsageProfile};

/// Habits of the models at one endpoint.
#[trestle_macros::wire]
pub struct WireHabits {
    /// Shares of days in thousandths, for each bin of working days and then weekends.
    pub models: BTreeMap<String, Vec<u16>>,
}

/// Name of the object that keeps the habits of the models at an endpoint.
pub fn habits_object(endpoint: &str) -> String {
    format!("habits-{endpoint}")
}

impl From<&BTreeMap<ModelName, UsageProfile>> for WireHabits {
    fn from(habits: &BTreeMap<ModelName, UsageProfile>) -> Self {
        let models = habits.iter().map(|(model, habits)| (model.to_string(), habits.to_shares()));
        Self { models: models.collect() }
    }
}

impl From<WireHabits> for BTreeMap<ModelName, UsageProfile> {
    /// Habits that are not understood are left out: they are learnt anew.
    fn from(wire: WireHabits) -> Self {
        let models = wire.models.into_iter();
        models
            .filter_map(|(model, shares)| Some((model.into(), UsageProfile::from_shares(&shares)?)))
            .collect()
    }
}
