//! Where a model is placed.

use crate::names::EndpointName;
use std::collections::BTreeSet;

/// Where a model is placed.
#[trestle_macros::plain]
#[derive(Default)]
pub struct ModelRow {
    /// Every endpoint that may have the model loaded.
    pub replicas: BTreeSet<EndpointName>,
}
