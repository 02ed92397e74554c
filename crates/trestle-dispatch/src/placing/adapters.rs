//! Plans adapters: they are loaded where their model is, and idle ones are evicted.
//!
//! The load that this answers: an adapter loads in some ms, but an engine carries out one order at
//! a time, so an engine that loads a model may delay an adapter by seconds. Requests for an adapter
//! get the time until it is ready, or they would wait for it whenever their model is ready.

use super::{EngineState, Planner, UNLOAD_MS};
use crate::{change::Change, loadable::Loadable};
use std::collections::BTreeSet;
use trestle_core::names::{AdapterName, ModelName};
use xxhash_rust::xxh3::xxh3_64;

/// Time to load an adapter: 5 to 10 ms, plus the order's round trip.
pub(super) const LOAD_MS: u64 = 20;

impl<'a> Planner<'a> {
    /// Loads an adapter at one replica of its model, the same one each time.
    pub(super) fn plan_adapter(&mut self, model: &'a ModelName, adapter: &'a AdapterName) {
        let loadable = Loadable::new(model, Some(adapter));
        if self.plan.ready_in_ms.contains_key(&loadable) {
            return;
        }
        let Some(ready_in_ms) = self.adapter_ready_in_ms(model, adapter) else {
            match self.load_adapter(model, adapter) {
                Some(change) => {
                    let ready_in_ms = change.done_at_ms - self.now_ms;
                    self.plan.ready_in_ms.insert(loadable, ready_in_ms);
                    self.begin(change);
                }
                None => self.record_engine_ready(loadable),
            }
            return;
        };
        self.plan.ready_in_ms.insert(loadable, ready_in_ms);
    }

    /// Returns the time until an adapter is ready, from what is loaded or loading.
    fn adapter_ready_in_ms(&self, model: &ModelName, adapter: &AdapterName) -> Option<u64> {
        let is_ready = self.engines.values().any(|state| {
            let has = state.held.get(model).is_some_and(|adapters| adapters.contains(adapter));
            has && !state.evicts(model) && !self.is_loading(state, model, adapter)
        });
        if is_ready {
            return Some(0);
        }
        let in_progress = self.engines.values().filter_map(|state| state.change);
        let loading = in_progress
            .chain(&self.plan.changes)
            .filter(|change| change.model == *model && change.adapter.as_ref() == Some(adapter));
        loading.map(|change| change.remaining_ms(self.now_ms)).min()
    }

    fn is_loading(
        &self,
        state: &EngineState<'_>,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> bool {
        state.change.is_some_and(|change| {
            change.model == *model && change.adapter.as_ref() == Some(adapter)
        })
    }

    /// Returns a change that loads an adapter; `None` if no engine can begin one.
    fn load_adapter(&self, model: &ModelName, adapter: &AdapterName) -> Option<Change> {
        let spec = self.spec.models.get(model)?;
        let key = (model.clone(), adapter.clone());
        let engines = self.engines_with(model).filter(|state| {
            state.may_change
                && state.change.is_none()
                && self.planned_at(&state.endpoint.name).is_none()
        });
        let ranked = engines.filter_map(|state| {
            let loaded: usize = state.held.values().map(BTreeSet::len).sum();
            let is_full = loaded as u64 >= u64::from(self.spec.adapter_slots);
            let used_mb = self.spec.held_mb(state.held);
            let is_tight = used_mb + spec.adapter_mb > self.spec.memory_mb;
            let evicted = match is_full || is_tight {
                true => Some(self.idle_adapter(state, &key)?),
                false => None,
            };
            let text = format!("{model}/{adapter}@{}", state.endpoint.name);
            Some((evicted.is_none(), xxh3_64(text.as_bytes()), state, evicted))
        });
        let best = ranked.max_by_key(|(has_room, rank, ..)| (*has_room, *rank));
        let (has_room, _, state, evicted_adapter) = best?;
        let unload_ms = if has_room { 0 } else { UNLOAD_MS };
        Some(Change {
            endpoint: state.endpoint.name.clone(),
            evicted: Vec::new(),
            model: model.clone(),
            adapter: Some(adapter.clone()),
            evicted_adapter,
            is_remote: false,
            load_ms: 0,
            done_at_ms: self.now_ms + unload_ms + LOAD_MS,
        })
    }

    /// Records when the first engine with the model can load the adapter.
    fn record_engine_ready(&mut self, loadable: Loadable) {
        let free_in_ms = self.engines_with(&loadable.model).map(|state| {
            let change = state.change.or_else(|| self.planned_at(&state.endpoint.name));
            match change {
                Some(change) => change.remaining_ms(self.now_ms),
                // All adapters of the engine are in use.
                None => self.observed_times.run_wait_ms(self.policy) as u64,
            }
        });
        if let Some(free_in_ms) = free_in_ms.min() {
            self.plan.ready_in_ms.insert(loadable, free_in_ms + LOAD_MS);
        }
    }

    /// Returns the engines that hold a model and are not about to evict it, or are loading it.
    fn engines_with<'b>(
        &'b self,
        model: &'b ModelName,
    ) -> impl Iterator<Item = &'b EngineState<'a>> {
        self.engines.values().filter(move |state| {
            let planned = self.planned_at(&state.endpoint.name);
            let evicts = planned.is_some_and(|change| change.evicted.contains(model));
            let loads = state.change.or(planned).is_some_and(|change| change.model == *model);
            (state.held.contains_key(model) && !state.evicts(model) && !evicts) || loads
        })
    }

    /// Returns the least recently used adapter of an engine, among those that are neither in use
    /// nor in demand.
    ///
    /// Two adapters in demand must not evict each other: they did so 60 times a second for 2 s, and
    /// the engine carried out no other order meanwhile.
    fn idle_adapter(
        &self,
        state: &EngineState<'_>,
        requested: &(ModelName, AdapterName),
    ) -> Option<(ModelName, AdapterName)> {
        let loaded = state.held.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |adapter| (model.clone(), adapter.clone()))
        });
        let idle = loaded.filter(|key| {
            let is_in_demand =
                key == requested || self.adapters_in_demand.contains(&(&key.0, &key.1));
            !is_in_demand && !self.demand.uses_adapter(&state.endpoint.name, key, self.now_ms)
        });
        idle.min_by_key(|key| (self.demand.adapter_used_ms(key), key.clone()))
    }
}
