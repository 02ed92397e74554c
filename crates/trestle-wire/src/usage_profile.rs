//! Usage profiles of models, as they are kept in the object store.

use std::collections::BTreeMap;
use trestle_core::{names::ModelName, usage_profile::UsageProfile};

/// Usage profiles of the models at one endpoint.
#[trestle_macros::wire]
pub struct WireUsageProfiles {
    /// Shares of days with requests, in thousandths, by model: one for each bin of a working day,
    /// then one for each bin of a weekend day.
    pub models: BTreeMap<String, Vec<u16>>,
}

/// Returns the name of the object that keeps the usage profiles of the models at an endpoint.
pub fn usage_profiles_object(endpoint: &str) -> String {
    format!("habits-{endpoint}")
}

impl From<&BTreeMap<ModelName, UsageProfile>> for WireUsageProfiles {
    fn from(profiles: &BTreeMap<ModelName, UsageProfile>) -> Self {
        let models =
            profiles.iter().map(|(model, profile)| (model.to_string(), profile.to_shares()));
        Self { models: models.collect() }
    }
}

impl From<WireUsageProfiles> for BTreeMap<ModelName, UsageProfile> {
    /// Profiles with a wrong number of shares are left out, and are observed again from the start.
    fn from(wire: WireUsageProfiles) -> Self {
        let models = wire.models.into_iter();
        models
            .filter_map(|(model, shares)| Some((model.into(), UsageProfile::from_shares(&shares)?)))
            .collect()
    }
}
