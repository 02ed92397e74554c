//! Row that holds the replicas of a model.

use crate::names::EndpointName;
use std::collections::BTreeSet;

/// Replicas of a model.
#[trestle_macros::plain]
#[derive(Default)]
pub struct ModelRow {
    /// Every endpoint that may have the model loaded.
    pub replicas: BTreeSet<EndpointName>,
}
