//! Where models can be reached, as leaders say.
//!
//! Entries of engines come with a delay. The daemon that gives an engine its orders knows
//! earlier what is about to go and what has just arrived, and tells the others.

use crate::{
    endpoint::{Endpoint, Held},
    loadable::Loadable,
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// What leaders know of all engines of one service.
#[trestle_macros::plain]
#[derive(Default)]
pub struct ReplicaView {
    /// What is known of engines; of one that is not named, its entry is believed.
    pub engines: BTreeMap<EndpointName, EngineSummary>,
    /// When what is waited for will be ready, in ms from the view's arrival.
    pub ready_in_ms: BTreeMap<Loadable, u64>,
    /// Daemons that share budgets; 0 where they have not been counted yet.
    pub daemons: usize,
    /// Daemons that ask the leader which says this.
    pub leader_clients: usize,
}

/// What leaders know of one engine.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EngineSummary {
    /// Models, with their adapters, for which it may get requests: without what is going,
    /// and with what has arrived and is not in its entry yet.
    pub holds: Held,
    /// Requests of all daemons that run there.
    pub running: u32,
}

impl ReplicaView {
    /// What an endpoint can run.
    pub fn holds<'a>(&'a self, endpoint: &'a Endpoint) -> &'a Held {
        self.engines.get(&endpoint.name).map_or(&endpoint.held, |note| &note.holds)
    }

    /// Whether a request for a model, and one of its adapters, can run at an endpoint.
    pub fn can_run(
        &self,
        endpoint: &Endpoint,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let Some(adapters) = self.holds(endpoint).get(model) else { return false };
        adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Requests of all daemons that run at an endpoint, as far as known.
    pub fn running(&self, endpoint: &EndpointName) -> u32 {
        self.engines.get(endpoint).map_or(0, |note| note.running)
    }
}
