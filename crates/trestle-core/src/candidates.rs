//! Where a model may be placed, in the order that every daemon computes.

use crate::{
    catalog::{Catalog, EngineSpec, ModelSpec},
    names::{DomainName, EndpointName, ModelName},
    rendezvous,
};
use std::collections::BTreeSet;

/// Engines considered for one model.
pub(crate) const MAX_CANDIDATES: usize = 16;

/// Engines that the model may be placed at, best first.
///
/// The best engine of each failure domain comes before the second of any, so
/// that the first replicas of a model stand in different domains.
pub(crate) fn ranked(catalog: &Catalog, model: &ModelName) -> Vec<EndpointName> {
    let Some(spec) = catalog.models.get(model) else { return Vec::new() };
    let fitting = catalog.engines.iter().filter(|(_, engine)| fits(engine, spec));
    let by_hash = rendezvous::ranked(model.as_str(), fitting.map(|(name, _)| name));
    let mut domains: BTreeSet<&DomainName> = BTreeSet::new();
    let is_first = |name: &&EndpointName| domains.insert(&catalog.engines[*name].domain);
    let (mut ordered, others): (Vec<_>, Vec<_>) = by_hash.into_iter().partition(is_first);
    ordered.extend(others);
    ordered.truncate(MAX_CANDIDATES);
    ordered.into_iter().cloned().collect()
}

fn fits(engine: &EngineSpec, model: &ModelSpec) -> bool {
    model.memory_bytes <= engine.memory_bytes
}
