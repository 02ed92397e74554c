//! Where models can be reached, according to leaders.
//!
//! The entries of engines arrive with a delay. The daemon that gives an engine its orders knows
//! earlier which models are about to be evicted and which have been loaded, and reports this to
//! the other daemons.

use crate::{
    endpoint::{Endpoint, Held},
    loadable::Loadable,
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// What leaders report about the engines of one service.
#[trestle_macros::plain]
#[derive(Default)]
pub struct ReplicaView {
    /// Summaries of engines; for an engine without a summary its entry is used.
    pub engines: BTreeMap<EndpointName, EngineSummary>,
    /// Times until models and adapters with waiting requests are ready, in milliseconds from the
    /// arrival of the view.
    pub ready_in_ms: BTreeMap<Loadable, u64>,
    /// Number of daemons that share budgets; 0 until they were counted.
    pub daemons: usize,
    /// Number of daemons that sync with the reporting leader.
    pub leader_clients: usize,
}

/// What leaders report about one engine.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EngineSummary {
    /// Models for which the engine may receive requests, with their adapters: without those about
    /// to be evicted, and with those loaded since its last entry.
    pub holds: Held,
    /// Number of requests of all daemons that run at the engine.
    pub running: u32,
}

impl ReplicaView {
    /// Returns the models and adapters for which an endpoint may receive requests.
    pub fn holds<'a>(&'a self, endpoint: &'a Endpoint) -> &'a Held {
        self.engines.get(&endpoint.name).map_or(&endpoint.held, |summary| &summary.holds)
    }

    /// Returns whether a request for a model, and optionally an adapter, can run at an endpoint.
    pub fn can_run(
        &self,
        endpoint: &Endpoint,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let Some(adapters) = self.holds(endpoint).get(model) else { return false };
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Returns the number of requests of all daemons that run at an endpoint, as far as known.
    pub fn running(&self, endpoint: &EndpointName) -> u32 {
        self.engines.get(endpoint).map_or(0, |summary| summary.running)
    }
}
