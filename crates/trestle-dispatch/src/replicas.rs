//! Where models can be reached, beyond what endpoints say of themselves.
//!
//! Entries of engines come with a delay. The daemon that leads knows
//! earlier what is about to go and what has just arrived, and tells the others.

use crate::{endpoint::Endpoint, loadable::Loadable};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// What the leader knows of all engines of one service.
#[trestle_macros::plain]
#[derive(Default)]
pub struct ReplicaView {
    /// What differs from the engines' own entries.
    pub engines: BTreeMap<EndpointName, EngineNote>,
    /// When what is waited for will be ready, in ms from the view's arrival.
    pub ready_in_ms: BTreeMap<Loadable, u64>,
    /// Daemons that told the leader something lately.
    pub daemons: usize,
}

/// What the leader knows of one engine.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EngineNote {
    /// Models that are going and must get no new requests.
    pub retiring: BTreeSet<ModelName>,
    /// Models that have arrived and are not in the engine's entry yet.
    pub arrived: BTreeSet<ModelName>,
    /// Adapters that are there, if they differ from those in the engine's entry.
    pub adapters: Option<BTreeSet<(ModelName, AdapterName)>>,
    /// Requests of all daemons that run there.
    pub running: u32,
}

impl ReplicaView {
    /// Whether a request for a model, and one of its adapters, can run at an endpoint.
    pub fn can_run(
        &self,
        endpoint: &Endpoint,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let note = self.engines.get(&endpoint.name);
        let is_retiring = note.is_some_and(|note| note.retiring.contains(model));
        let has_arrived = note.is_some_and(|note| note.arrived.contains(model));
        let listed = endpoint.held.get(model);
        if is_retiring || !(has_arrived || listed.is_some()) {
            return false;
        }
        let Some(adapter) = adapter else { return true };
        match note.and_then(|note| note.adapters.as_ref()) {
            Some(adapters) => adapters.contains(&(model.clone(), adapter.clone())),
            None => listed.is_some_and(|adapters| adapters.contains(adapter)),
        }
    }

    /// Requests of all daemons that run at an endpoint, as far as known.
    pub fn running(&self, endpoint: &EndpointName) -> u32 {
        self.engines.get(endpoint).map_or(0, |note| note.running)
    }
}
