//! A model of one engine.
//!
//! Running requests make one token each in a step. A step lasts longer the more of them run,
//! and while prompts are read, a piece at a time. Running requests and kept prompt parts share
//! the memory for tokens; parts that were used longest ago yield. One order at a time is
//! carried out; what it concerns is refused meanwhile.

use crate::deployment::Engines;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use trestle_core::names::{AdapterName, EndpointName, ModelName};
use trestle_dispatch::{
    endpoint::Held,
    orders::{Order, OrderAnswer},
};

/// Time of an adapter's load.
const ADAPTER_LOAD_US: u64 = 7_000;
/// Time of an unload with nothing running.
const UNLOAD_US: u64 = 70_000;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) request: usize,
    pub(super) model: ModelName,
    pub(super) adapter: Option<AdapterName>,
    pub(super) priority: u8,
    pub(super) shared_tokens: u32,
    prompt_left: u32,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    made_tokens: u32,
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
            prompt_left: prompt_tokens,
            prompt_tokens,
            output_tokens,
            made_tokens: 0,
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

/// What a step has led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Made {
    /// A request's first event.
    First(usize),
    /// A request's end, with the longest gap between two of its events.
    Done(usize, u64),
}

/// What an order needs of the world: the time of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    Memory,
    Disk,
    WeightStore,
}

#[derive(Debug, Clone)]
enum Work {
    Load(ModelName),
    Unload(ModelName),
    LoadAdapter(ModelName, AdapterName),
}

/// One engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: EndpointName,
    pub(super) domain: String,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// Until when nothing reaches it.
    pub(super) silent_until_us: u64,
    /// How many times as long everything takes.
    pub(super) slowness: f64,
    /// Share of its requests that it fails.
    pub(super) failing_share: f64,
    pub(super) held: Held,
    pub(super) in_memory: BTreeSet<ModelName>,
    pub(super) on_disk: BTreeSet<ModelName>,
    pub(super) order_count: u64,
    work: Option<(Work, u64)>,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Kept prompt parts with the time of their last use.
    kept: BTreeMap<(ModelName, Option<AdapterName>, u32), u64>,
    /// Whether a step is under way, and the prompt tokens that it reads.
    step: Option<u32>,
    /// Steps of engines that came before at this place never end here.
    pub(super) start: u64,
}

/// What an order has led to at an engine.
pub(super) struct Ordered {
    pub(super) answer: OrderAnswer,
    /// When to look whether it is carried out.
    pub(super) look_at_us: Option<u64>,
    pub(super) overfills: bool,
}

impl Engine {
    pub(super) fn new(name: &str, domain: String, start: u64) -> Self {
        Self {
            name: name.into(),
            domain,
            is_alive: true,
            is_leaving: false,
            silent_until_us: 0,
            slowness: 1.0,
            failing_share: 0.0,
            held: Held::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            order_count: 0,
            work: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            kept: BTreeMap::new(),
            step: None,
            start,
        }
    }

    /// Whether a model can be asked for now, and an adapter of it.
    fn has(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let goes = matches!(&self.work, Some((Work::Unload(going), _)) if going == model);
        let Some(adapters) = self.held.get(model) else { return false };
        !goes && adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Takes a request.
    ///
    /// # Errors
    ///
    /// Fails if it has not what the request needs (true), or is full (false).
    pub(super) fn submit(&mut self, run: Run, spec: &Engines) -> Result<(), bool> {
        if !self.has(&run.model, run.adapter.as_ref()) {
            return Err(true);
        }
        if self.waiting.len() >= spec.queue || run.tokens() > spec.kv_tokens {
            return Err(false);
        }
        let at = self.waiting.iter().position(|other| other.priority > run.priority);
        self.waiting.insert(at.unwrap_or(self.waiting.len()), run);
        Ok(())
    }

    /// Drops a request whose caller has gone.
    pub(super) fn cancel(&mut self, request: usize) {
        self.running.retain(|run| run.request != request);
        self.waiting.retain(|run| run.request != request);
    }

    /// All its requests, when it ends.
    pub(super) fn drain(&mut self) -> Vec<usize> {
        let waiting = self.waiting.drain(..).map(|run| run.request);
        self.running.drain(..).map(|run| run.request).chain(waiting).collect()
    }

    /// Whether requests for a model run.
    pub(super) fn runs(&self, model: &ModelName) -> bool {
        self.running.iter().chain(&self.waiting).any(|run| run.model == *model)
    }

    /// Begins a step if there is work and none is under way; returns how long it takes.
    pub(super) fn begin_step(&mut self, spec: &Engines, now_us: u64) -> Option<u64> {
        if self.step.is_some() || !self.is_alive {
            return None;
        }
        self.admit(spec, now_us);
        if self.running.is_empty() {
            return None;
        }
        let unread = self.running.iter().map(|run| run.prompt_left).sum::<u32>();
        let piece = unread.min(spec.piece_tokens);
        self.step = Some(piece);
        let read_us = f64::from(piece) / spec.prompt_tokens_per_ms * 1e3;
        let step_us = spec.step_us + spec.step_request_us * self.running.len() as f64;
        Some(((step_us + read_us) * self.slowness) as u64)
    }

    fn admit(&mut self, spec: &Engines, now_us: u64) {
        while self.running.len() < spec.slots as usize {
            let used: u64 = self.running.iter().map(Run::tokens).sum();
            let Some(next) = self.waiting.front() else { return };
            if used + next.tokens() > spec.kv_tokens && !self.running.is_empty() {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else { return };
            let (model, adapter) = run.key();
            let part = (model, adapter, run.shared_tokens);
            if let Some(used_us) = self.kept.get_mut(&part) {
                *used_us = now_us;
                run.prompt_left -= run.shared_tokens;
            }
            self.running.push(run);
            self.yield_parts(spec);
        }
    }

    /// Drops kept parts, those used longest ago first, until all fits in.
    fn yield_parts(&mut self, spec: &Engines) {
        let running: u64 = self.running.iter().map(Run::tokens).sum();
        loop {
            let kept: u64 = self.kept.keys().map(|(_, _, tokens)| u64::from(*tokens)).sum();
            if running + kept <= spec.kv_tokens || self.kept.is_empty() {
                return;
            }
            let oldest = self.kept.iter().min_by_key(|(_, used_us)| **used_us);
            let Some(oldest) = oldest.map(|(part, _)| part.clone()) else { return };
            self.kept.remove(&oldest);
        }
    }

    /// Ends the step that is under way.
    pub(super) fn end_step(&mut self, spec: &Engines, now_us: u64) -> Vec<Made> {
        let mut piece = self.step.take().unwrap_or_default();
        let mut made = Vec::new();
        for run in &mut self.running {
            if run.prompt_left > 0 {
                let read = run.prompt_left.min(piece);
                run.prompt_left -= read;
                piece -= read;
                if run.prompt_left == 0 {
                    let part = (run.model.clone(), run.adapter.clone(), run.shared_tokens);
                    self.kept.insert(part, now_us);
                }
                continue;
            }
            run.made_tokens += 1;
            let is_last = run.made_tokens >= run.output_tokens;
            if run.made_tokens % spec.event_tokens != 0 && !is_last {
                continue;
            }
            if run.last_event_us == 0 {
                made.push(Made::First(run.request));
            } else {
                run.longest_gap_us = run.longest_gap_us.max(now_us - run.last_event_us);
            }
            run.last_event_us = now_us;
            if is_last {
                made.push(Made::Done(run.request, run.longest_gap_us));
            }
        }
        self.running.retain(|run| run.made_tokens < run.output_tokens);
        self.yield_parts(spec);
        made
    }

    /// From where a model would come.
    pub(super) fn source(&self, model: &ModelName) -> Source {
        if self.in_memory.contains(model) {
            Source::Memory
        } else if self.on_disk.contains(model) {
            Source::Disk
        } else {
            Source::WeightStore
        }
    }

    /// Takes an order that expects a count of accepted orders. `fits` says whether what it
    /// would load has room, `load_us` how long the load of a model would take.
    pub(super) fn order(
        &mut self,
        order: &Order,
        expected: u64,
        fits: bool,
        load_us: u64,
        now_us: u64,
    ) -> Ordered {
        let answer = |answer| Ordered { answer, look_at_us: None, overfills: false };
        if self.is_fulfilled(order) {
            return answer(OrderAnswer::Fulfilled);
        }
        if self.work.is_some() || expected != self.order_count {
            return answer(OrderAnswer::Conflict);
        }
        if !fits {
            return Ordered { answer: OrderAnswer::Invalid, look_at_us: None, overfills: true };
        }
        self.order_count += 1;
        let (work, takes_us) = match order {
            Order::LoadModel(model) => (Work::Load(model.clone()), load_us),
            Order::UnloadModel(model) => (Work::Unload(model.clone()), UNLOAD_US),
            Order::LoadAdapter(model, adapter) => {
                (Work::LoadAdapter(model.clone(), adapter.clone()), ADAPTER_LOAD_US)
            }
            Order::UnloadAdapter(model, adapter) => {
                if let Some(adapters) = self.held.get_mut(model) {
                    adapters.remove(adapter);
                }
                // One that nobody uses goes at once, and that counts as an order.
                return answer(OrderAnswer::Fulfilled);
            }
        };
        let done_us = now_us + takes_us;
        self.work = Some((work, done_us));
        Ordered { answer: OrderAnswer::Accepted, look_at_us: Some(done_us), overfills: false }
    }

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

    /// Whether an order is being carried out.
    pub(super) fn is_busy(&self) -> bool {
        self.work.is_some()
    }

    /// Ends the work of an order if it is due and nothing stands against it; returns the model
    /// that has been loaded, if one has.
    pub(super) fn look_at_work(&mut self, now_us: u64) -> Option<ModelName> {
        let (work, done_us) = self.work.take()?;
        let waits = match &work {
            Work::Unload(model) => self.runs(model),
            Work::Load(_) | Work::LoadAdapter(..) => false,
        };
        if now_us < done_us || waits {
            self.work = Some((work, done_us));
            return None;
        }
        match work {
            Work::Load(model) => {
                self.held.entry(model.clone()).or_default();
                self.in_memory.insert(model.clone());
                self.on_disk.insert(model.clone());
                return Some(model);
            }
            Work::Unload(model) => {
                self.held.remove(&model);
                self.kept.retain(|(of, ..), _| *of != model);
            }
            Work::LoadAdapter(model, adapter) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.insert(adapter);
                }
            }
        }
        None
    }
}
