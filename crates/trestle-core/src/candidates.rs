//! Ranking of the engines at which a model may be placed; every daemon computes the same one.

use crate::{
    catalog::{Catalog, EngineSpec, ModelSpec},
    names::{DomainName, EndpointName, ModelName},
    rendezvous,
};
use std::collections::BTreeSet;

/// Maximum number of engines considered for one model.
pub(crate) const MAX_CANDIDATES: usize = 16;

/// Returns the engines at which the model may be placed, best first.
///
/// The best engine of each failure domain precedes the second of any, so that the first
/// replicas of a model are in different domains.
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
