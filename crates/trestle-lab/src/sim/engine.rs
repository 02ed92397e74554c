//! A model of one engine.
//!
//! In each step every running request generates one token. A step takes longer the more requests
//! run, and when it reads prompts, a chunk at a time. Running requests and cached prompt prefixes
//! share the memory for tokens; the prefixes used least recently are evicted first. The engine
//! executes one order at a time; a request for a model or adapter that is not loaded or is being
//! unloaded is rejected.

use crate::deployment::Engines;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trestle_core::names::{AdapterName, EndpointName, ModelName};
use trestle_dispatch::{
    endpoint::Held,
    orders::{Order, OrderAnswer},
};

/// Duration of loading an adapter.
const ADAPTER_LOAD_US: u64 = 7_000;
/// Duration of unloading a model that no request uses.
const UNLOAD_US: u64 = 70_000;

/// One request that an engine runs or queues.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) request: usize,
    pub(super) model: ModelName,
    pub(super) adapter: Option<AdapterName>,
    pub(super) priority: u8,
    pub(super) shared_tokens: u32,
    unread_prompt_tokens: u32,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    generated_tokens: u32,
    last_event_us: u64,
    longest_gap_us: u64,
}

impl Run {
    pub(super) fn new(
        request: usize,
        model: ModelName,
        adapter: Option<AdapterName>,
        priority: u8,
        tokens: [u32; 3],
    ) -> Self {
        let [shared_tokens, own_tokens, output_tokens] = tokens;
        let prompt_tokens = shared_tokens + own_tokens;
        Self {
            request,
            model,
            adapter,
            priority,
            shared_tokens,
            unread_prompt_tokens: prompt_tokens,
            prompt_tokens,
            output_tokens,
            generated_tokens: 0,
            last_event_us: 0,
            longest_gap_us: 0,
        }
    }

    fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    fn key(&self) -> (ModelName, Option<AdapterName>) {
        (self.model.clone(), self.adapter.clone())
    }
}

/// A part of an answer that a step has produced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StepEvent {
    /// The first event of the stream of a request, given by its index.
    First(usize),
    /// The last event of a request's stream, with the longest gap between two of its events in us.
    Done(usize, u64),
}

/// Where the weights of a model are loaded from; decides how long the load takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadSource {
    Memory,
    Disk,
    WeightStore,
}

#[derive(Debug, Clone)]
enum ActiveOrder {
    Load(ModelName),
    Unload(ModelName),
    LoadAdapter(ModelName, AdapterName),
}

/// The state of one engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: EndpointName,
    pub(super) domain: String,
    pub(super) is_alive: bool,
    pub(super) is_draining: bool,
    /// Time until which messages to and from the engine are lost.
    pub(super) silent_until_us: u64,
    /// Factor by which steps take longer than usual.
    pub(super) slowdown: f64,
    /// Share of requests that the engine fails.
    pub(super) failure_share: f64,
    pub(super) held: Held,
    pub(super) in_memory: BTreeSet<ModelName>,
    pub(super) on_disk: BTreeSet<ModelName>,
    pub(super) order_count: u64,
    active_order: Option<(ActiveOrder, u64)>,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Cached prompt prefixes with the time of their last use; a key is the model, the adapter and
    /// the number of tokens.
    prefix_cache: BTreeMap<(ModelName, Option<AdapterName>, u32), u64>,
    /// Prompt tokens that the current step reads; `None` while no step runs.
    step: Option<u32>,
    /// Number of this start of the engine; events of earlier starts at the same index are
    /// ignored.
    pub(super) start: u64,
}

/// How an engine has responded to an order.
pub(super) struct OrderOutcome {
    pub(super) answer: OrderAnswer,
    /// Time at which the order may be complete; `None` unless it was accepted and takes time.
    pub(super) check_at_us: Option<u64>,
    /// Whether the order would have exceeded the engine's memory or adapter slots.
    pub(super) overfills: bool,
}

impl Engine {
    pub(super) fn new(name: &str, domain: String, start: u64) -> Self {
        Self {
            name: name.into(),
            domain,
            is_alive: true,
            is_draining: false,
            silent_until_us: 0,
            slowdown: 1.0,
            failure_share: 0.0,
            held: Held::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            order_count: 0,
            active_order: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            prefix_cache: BTreeMap::new(),
            step: None,
            start,
        }
    }

    /// Returns whether requests for a model, and for an adapter of it if one is given, are
    /// accepted now.
    fn has(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let is_unloading = matches!(
            &self.active_order,
            Some((ActiveOrder::Unload(unloading), _)) if unloading == model
        );
        let Some(adapters) = self.held.get(model) else { return false };
        !is_unloading && adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Queues a request behind those of the same or a more urgent priority.
    ///
    /// # Errors
    ///
    /// Fails with `true` if the model or adapter is not loaded, and with `false` if the queue is
    /// full or the request exceeds the memory for tokens.
    pub(super) fn submit(&mut self, run: Run, spec: &Engines) -> Result<(), bool> {
        if !self.has(&run.model, run.adapter.as_ref()) {
            return Err(true);
        }
        if self.waiting.len() >= spec.queue || run.tokens() > spec.kv_tokens {
            return Err(false);
        }
        let position = self.waiting.iter().position(|other| other.priority > run.priority);
        self.waiting.insert(position.unwrap_or(self.waiting.len()), run);
        Ok(())
    }

    /// Drops a request whose caller has left.
    pub(super) fn cancel(&mut self, request: usize) {
        self.running.retain(|run| run.request != request);
        self.waiting.retain(|run| run.request != request);
    }

    /// Removes all requests and returns their indexes.
    pub(super) fn take_requests(&mut self) -> Vec<usize> {
        let waiting = self.waiting.drain(..).map(|run| run.request);
        self.running.drain(..).map(|run| run.request).chain(waiting).collect()
    }

    /// Returns whether requests for a model run or are queued.
    pub(super) fn runs(&self, model: &ModelName) -> bool {
        self.running.iter().chain(&self.waiting).any(|run| run.model == *model)
    }

    /// Begins a step and returns its duration in us, or `None` if a step runs already or there is
    /// nothing to run.
    pub(super) fn begin_step(&mut self, spec: &Engines, now_us: u64) -> Option<u64> {
        if self.step.is_some() || !self.is_alive {
            return None;
        }
        self.admit(spec, now_us);
        if self.running.is_empty() {
            return None;
        }
        let unread_tokens = self.running.iter().map(|run| run.unread_prompt_tokens).sum::<u32>();
        let chunk_tokens = unread_tokens.min(spec.piece_tokens);
        self.step = Some(chunk_tokens);
        let read_us = f64::from(chunk_tokens) / spec.prompt_tokens_per_ms * 1e3;
        let step_us = spec.step_us + spec.step_request_us * self.running.len() as f64;
        Some(((step_us + read_us) * self.slowdown) as u64)
    }

    /// Moves requests from the queue to the batch while slots and memory for tokens last.
    fn admit(&mut self, spec: &Engines, now_us: u64) {
        while self.running.len() < spec.slots as usize {
            let used: u64 = self.running.iter().map(Run::tokens).sum();
            let Some(next) = self.waiting.front() else { return };
            if used + next.tokens() > spec.kv_tokens && !self.running.is_empty() {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else { return };
            let (model, adapter) = run.key();
            let prefix = (model, adapter, run.shared_tokens);
            if let Some(used_us) = self.prefix_cache.get_mut(&prefix) {
                *used_us = now_us;
                run.unread_prompt_tokens -= run.shared_tokens;
            }
            self.running.push(run);
            self.evict_prefixes(spec);
        }
    }

    /// Evicts the least recently used prefixes until running requests and cached prefixes fit the
    /// memory for tokens.
    fn evict_prefixes(&mut self, spec: &Engines) {
        let running: u64 = self.running.iter().map(Run::tokens).sum();
        loop {
            let cached: u64 =
                self.prefix_cache.keys().map(|(_, _, tokens)| u64::from(*tokens)).sum();
            if running + cached <= spec.kv_tokens || self.prefix_cache.is_empty() {
                return;
            }
            let oldest = self.prefix_cache.iter().min_by_key(|(_, used_us)| **used_us);
            let Some(oldest) = oldest.map(|(prefix, _)| prefix.clone()) else { return };
            self.prefix_cache.remove(&oldest);
        }
    }

    /// Ends the current step and returns the parts of answers that it has produced.
    pub(super) fn end_step(&mut self, spec: &Engines, now_us: u64) -> Vec<StepEvent> {
        let mut chunk_tokens = self.step.take().unwrap_or_default();
        let mut events = Vec::new();
        for run in &mut self.running {
            if run.unread_prompt_tokens > 0 {
                let read_tokens = run.unread_prompt_tokens.min(chunk_tokens);
                run.unread_prompt_tokens -= read_tokens;
                chunk_tokens -= read_tokens;
                if run.unread_prompt_tokens == 0 {
                    let prefix = (run.model.clone(), run.adapter.clone(), run.shared_tokens);
                    self.prefix_cache.insert(prefix, now_us);
                }
                continue;
            }
            run.generated_tokens += 1;
            let is_last = run.generated_tokens >= run.output_tokens;
            if run.generated_tokens % spec.event_tokens != 0 && !is_last {
                continue;
            }
            if run.last_event_us == 0 {
                events.push(StepEvent::First(run.request));
            } else {
                run.longest_gap_us = run.longest_gap_us.max(now_us - run.last_event_us);
            }
            run.last_event_us = now_us;
            if is_last {
                events.push(StepEvent::Done(run.request, run.longest_gap_us));
            }
        }
        self.running.retain(|run| run.generated_tokens < run.output_tokens);
        self.evict_prefixes(spec);
        events
    }

    /// Returns where a load of a model would read its weights.
    pub(super) fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::WeightStore
        }
    }

    /// Handles an order whose sender expects the engine to have accepted `expected` orders. `fits`
    /// is whether the model or adapter to load has room, `load_us` the duration of a model's load.
    pub(super) fn handle_order(
        &mut self,
        order: &Order,
        expected: u64,
        fits: bool,
        load_us: u64,
        now_us: u64,
    ) -> OrderOutcome {
        let answer = |answer| OrderOutcome { answer, check_at_us: None, overfills: false };
        if self.is_fulfilled(order) {
            return answer(OrderAnswer::Fulfilled);
        }
        if self.active_order.is_some() || expected != self.order_count {
            return answer(OrderAnswer::Conflict);
        }
        if !fits {
            return OrderOutcome {
                answer: OrderAnswer::Invalid,
                check_at_us: None,
                overfills: true,
            };
        }
        self.order_count += 1;
        let (active_order, duration_us) = match order {
            Order::LoadModel(model) => (ActiveOrder::Load(model.clone()), load_us),
            Order::UnloadModel(model) => (ActiveOrder::Unload(model.clone()), UNLOAD_US),
            Order::LoadAdapter(model, adapter) => {
                (ActiveOrder::LoadAdapter(model.clone(), adapter.clone()), ADAPTER_LOAD_US)
            }
            Order::UnloadAdapter(model, adapter) => {
                if let Some(adapters) = self.held.get_mut(model) {
                    adapters.remove(adapter);
                }
                // An adapter is unloaded at once, which still counts as an accepted order.
                return answer(OrderAnswer::Fulfilled);
            }
        };
        let done_us = now_us + duration_us;
        self.active_order = Some((active_order, done_us));
        OrderOutcome { answer: OrderAnswer::Accepted, check_at_us: Some(done_us), overfills: false }
    }

    /// Returns whether the engine is already in the state that an order asks for.
    fn is_fulfilled(&self, order: &Order) -> bool {
        let has = |model: &ModelName, adapter: &AdapterName| {
            self.held.get(model).is_some_and(|adapters| adapters.contains(adapter))
        };
        match order {
            Order::LoadModel(model) => self.held.contains_key(model),
            Order::UnloadModel(model) => !self.held.contains_key(model),
            Order::LoadAdapter(model, adapter) => has(model, adapter),
            Order::UnloadAdapter(model, adapter) => !has(model, adapter),
        }
    }

    /// Returns whether an order is being executed.
    pub(super) fn is_busy(&self) -> bool {
        self.active_order.is_some()
    }

    /// Completes the current order if its time has come and, for an unload, no request uses the
    /// model. Returns the model if it was a load of one.
    pub(super) fn complete_due_order(&mut self, now_us: u64) -> Option<ModelName> {
        let (active_order, done_us) = self.active_order.take()?;
        let must_wait = match &active_order {
            ActiveOrder::Unload(model) => self.runs(model),
            ActiveOrder::Load(_) | ActiveOrder::LoadAdapter(..) => false,
        };
        if now_us < done_us || must_wait {
            self.active_order = Some((active_order, done_us));
            return None;
        }
        match active_order {
            ActiveOrder::Load(model) => {
                self.held.entry(model.clone()).or_default();
                self.in_memory.insert(model.clone());
                self.on_disk.insert(model.clone());
                return Some(model);
            }
            ActiveOrder::Unload(model) => {
                self.held.remove(&model);
                self.prefix_cache.retain(|(cached, ..), _| *cached != model);
            }
            ActiveOrder::LoadAdapter(model, adapter) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.insert(adapter);
                }
            }
        }
        None
    }
}
