//! Adapters: they go where their model is, and idle ones make way.

use super::{EngineState, Planner, UNLOAD_MS};
use crate::change::Change;
use std::collections::BTreeSet;
use trestle_core::names::{AdapterName, ModelName};
use xxhash_rust::xxh3::xxh3_64;

impl Planner<'_> {
    /// Brings an adapter in at one of its model's replicas, the same one each time.
    pub(super) fn want_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        let Some(spec) = self.spec.models.get(model) else { return };
        let key = (model.clone(), adapter.clone());
        let under_way = self.engines.values().filter_map(|state| state.change);
        let mut changes = under_way.chain(&self.plan.changes);
        let comes = changes
            .any(|change| change.model == *model && change.adapter.as_ref() == Some(adapter));
        let is_there = self.engines.values().any(|state| {
            state.held.get(model).is_some_and(|adapters| adapters.contains(adapter))
                && !state.change.is_some_and(|change| change.evicted.contains(model))
        });
        if comes || is_there {
            return;
        }
        let hosts = self.engines.values().filter(|state| {
            let is_free = state.may_change
                && state.change.is_none()
                && !self.plan.changes.iter().any(|change| change.endpoint == state.endpoint.name);
            is_free && state.held.contains_key(model)
        });
        let ranked = hosts.max_by_key(|state| {
            let text = format!("{model}/{adapter}@{}", state.endpoint.name);
            xxh3_64(text.as_bytes())
        });
        let Some(state) = ranked else { return };
        let loaded: usize = state.held.values().map(BTreeSet::len).sum();
        let is_full = loaded as u64 >= u64::from(self.spec.adapter_slots);
        let used_mb = self.spec.held_mb(state.held);
        let is_tight = used_mb + spec.adapter_mb > self.spec.memory_mb;
        let evicted_adapter =
            if is_full || is_tight { self.idle_adapter(state, &key) } else { None };
        if (is_full || is_tight) && evicted_adapter.is_none() {
            return;
        }
        let change = Change {
            endpoint: state.endpoint.name.clone(),
            evicted: Vec::new(),
            model: model.clone(),
            adapter: Some(adapter.clone()),
            evicted_adapter,
            is_remote: false,
            load_ms: 0,
            done_at_ms: self.now_ms + UNLOAD_MS,
        };
        self.begin(change);
    }

    /// An adapter at an engine that nobody uses.
    fn idle_adapter(
        &self,
        state: &EngineState<'_>,
        wanted: &(ModelName, AdapterName),
    ) -> Option<(ModelName, AdapterName)> {
        let loaded = state.held.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |adapter| (model.clone(), adapter.clone()))
        });
        let idle = loaded.filter(|key| {
            key != wanted && !self.demand.uses_adapter(&state.endpoint.name, key, self.now_ms)
        });
        idle.min_by(|one, other| {
            let rate =
                |key: &(ModelName, AdapterName)| self.demand.rates().per_s(&key.0, self.now_ms);
            rate(one).total_cmp(&rate(other)).then_with(|| one.cmp(other))
        })
    }
}
