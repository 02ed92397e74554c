//! The sequence of orders that carries out one change at one engine.
//!
//! An engine counts the orders that it accepts and rejects an order that expects another count.
//! Every order here names the count that it expects, so an order that got no answer cannot take
//! effect after a later one: the same order is sent again with the same count, and the engine
//! rejects whichever arrives second.
//!
//! Reports of engines are some hundred ms old, so they are requested only if the count is not
//! known. Whether a load is done is found by sending the same order again: the engine answers at
//! once that it is fulfilled.

use crate::{
    catalog::EngineSpec,
    endpoint::{EngineReport, Held},
};
use std::{collections::BTreeSet, sync::Arc};
use trestle_core::names::{AdapterName, ModelName};

/// Pause before an order is sent again while the engine is unloading.
const BUSY_PAUSE_MS: u64 = 70;
/// Pause before an order is sent again while the engine finishes a load that should be done.
const CONFIRM_PAUSE_MS: u64 = 50;
/// Pause before an order without an answer is sent again.
const UNANSWERED_PAUSE_MS: u64 = 100;
/// Pause between two requests for an engine's report.
const REPORT_PAUSE_MS: u64 = 100;
/// Largest age of a report; one received this long after the last accepted order has the right
/// count.
const REPORT_AGE_MS: u64 = 600;
/// Time until a report shows whether an adapter has been unloaded.
const ADAPTER_REPORT_MS: u64 = 300;
/// Longest time of an unload while no request runs: it takes 70 to 150 ms, and the next order is
/// tried in steps of [`BUSY_PAUSE_MS`].
const IDLE_UNLOAD_MS: u64 = 220;
/// Sends of one order without an answer after which the change fails.
const MAX_UNANSWERED: u32 = 6;
/// Conflicts in a row after which the engine's report is requested.
const CONFLICTS_BEFORE_REPORT: u32 = 6;

/// An order to an engine.
#[trestle_macros::plain]
pub enum Order {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a loaded model.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// An engine's answer to an order.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum OrderAnswer {
    /// The engine is carrying out the order.
    Accepted,
    /// The order is already fulfilled.
    Fulfilled,
    /// Another order is in progress, or the expected count is wrong.
    Conflict,
    /// The engine has received an order with a higher fencing number.
    Fenced,
    /// Another endpoint answers at the address.
    Replaced,
    /// The engine does not understand the order or cannot carry it out.
    Invalid,
    /// No answer arrived: the order may be carried out now, later or never.
    Unknown,
}

/// The next step of an order chain.
#[trestle_macros::plain]
pub enum NextStep {
    /// Send this order, expecting this count.
    Send(Order, u64),
    /// Request the engine's report.
    Report,
    /// The change is done.
    Done,
    /// The change has failed.
    Failed(Failure),
}

/// Why a change failed.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Failure {
    /// The engine is gone, or another endpoint has its address.
    Replaced,
    /// The engine did not answer for too long.
    Silent,
    /// Another leader with a higher fencing number gives orders.
    Fenced,
    /// The engine rejects the order for good.
    Invalid,
    /// The engine does not hold what the plan assumed.
    Changed,
}

/// The sequence of orders that carries out one change at one engine.
#[derive(Debug)]
pub struct OrderChain {
    spec: Arc<EngineSpec>,
    steps: Vec<Order>,
    position: usize,
    held: Held,
    order_count: u64,
    /// Whether the count is certain enough to send an order with it.
    is_counted: bool,
    /// Whether the last order was accepted and its effect is not confirmed yet.
    is_confirming: bool,
    /// Expected time of the load in the last order.
    load_ms: u64,
    accepted_ms: u64,
    /// When the first unload was accepted.
    unload_ms: Option<u64>,
    /// How much later than the first unload the load was accepted.
    unloaded_after_ms: Option<u64>,
    unanswered: u32,
    conflicts: u32,
    not_before_ms: u64,
    failure: Option<Failure>,
}

impl OrderChain {
    /// Creates the chain for an engine that holds `held` and has accepted `order_count` orders.
    ///
    /// Without a count the engine's report is requested first. `load_ms` is the expected time of
    /// the load at the end of the change.
    pub fn new(
        spec: Arc<EngineSpec>,
        steps: Vec<Order>,
        held: Held,
        order_count: Option<u64>,
        load_ms: u64,
    ) -> Self {
        let mut chain = Self {
            spec,
            steps,
            position: 0,
            held,
            order_count: order_count.unwrap_or_default(),
            is_counted: order_count.is_some(),
            is_confirming: false,
            load_ms,
            accepted_ms: 0,
            unload_ms: None,
            unloaded_after_ms: None,
            unanswered: 0,
            conflicts: 0,
            not_before_ms: 0,
            failure: None,
        };
        if chain.is_counted {
            chain.check_room();
        }
        chain
    }

    /// Returns the next step, and the earliest time for it.
    pub fn next(&self) -> (NextStep, u64) {
        let step =
            if self.is_confirming { self.position.checked_sub(1) } else { Some(self.position) };
        let step = step.and_then(|position| self.steps.get(position));
        let next = match (self.failure, step) {
            (Some(failure), _) => NextStep::Failed(failure),
            (None, _) if !self.is_counted => NextStep::Report,
            (None, None) => NextStep::Done,
            (None, Some(step)) => NextStep::Send(step.clone(), self.order_count),
        };
        (next, self.not_before_ms)
    }

    /// Records the answer to the order that was sent last.
    pub fn apply_answer(&mut self, answer: OrderAnswer, now_ms: u64) {
        if answer != OrderAnswer::Unknown {
            self.unanswered = 0;
        }
        match answer {
            OrderAnswer::Accepted => self.accepted(now_ms),
            OrderAnswer::Fulfilled => self.fulfilled(now_ms),
            OrderAnswer::Conflict => self.conflicted(now_ms),
            OrderAnswer::Unknown => {
                self.not_before_ms = now_ms + UNANSWERED_PAUSE_MS;
                self.count_unanswered();
            }
            OrderAnswer::Fenced => self.failure = Some(Failure::Fenced),
            OrderAnswer::Replaced => self.failure = Some(Failure::Replaced),
            OrderAnswer::Invalid => self.failure = Some(Failure::Invalid),
        }
    }

    /// Records the engine's report; `None` if the engine did not answer.
    pub fn apply_report(&mut self, report: Option<&EngineReport>, now_ms: u64) {
        self.not_before_ms = now_ms + REPORT_PAUSE_MS;
        let Some(report) = report else {
            self.count_unanswered();
            return;
        };
        self.unanswered = 0;
        let may_be_old = now_ms < self.accepted_ms + REPORT_AGE_MS && self.accepted_ms > 0;
        if (may_be_old && report.order_count < self.order_count) || report.is_busy {
            return;
        }
        self.not_before_ms = now_ms;
        self.is_counted = true;
        self.is_confirming = false;
        self.conflicts = 0;
        self.order_count = report.order_count;
        self.held.clone_from(&report.held);
        while self.steps.get(self.position).is_some_and(|step| is_in_place(step, &self.held)) {
            self.position += 1;
        }
        if self.steps[..self.position].iter().any(|step| !is_in_place(step, &self.held)) {
            self.failure = Some(Failure::Changed);
        }
        self.check_room();
    }

    /// Returns what the engine holds once all accepted orders are carried out.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Returns the number of orders that the engine has accepted; `None` if it is not certain.
    pub fn order_count(&self) -> Option<u64> {
        (self.is_counted && self.unanswered == 0 && self.conflicts == 0).then_some(self.order_count)
    }

    /// Returns how long evicted models have waited for their running requests; `None` if they had
    /// none or the load is not accepted yet.
    pub fn run_wait_ms(&self) -> Option<u64> {
        let waited_ms = self.unloaded_after_ms?.checked_sub(IDLE_UNLOAD_MS)?;
        (waited_ms > 0).then_some(waited_ms)
    }

    /// Returns whether the change failed because the engine does not answer.
    pub fn is_silent(&self) -> bool {
        self.failure == Some(Failure::Silent)
    }

    /// Returns whether the change is done.
    pub fn is_done(&self) -> bool {
        self.next().0 == NextStep::Done
    }

    fn accepted(&mut self, now_ms: u64) {
        self.order_count += 1;
        self.accepted_ms = now_ms;
        self.conflicts = 0;
        if self.is_confirming {
            // The engine did not hold the model after all and has begun to load it again.
            self.not_before_ms = now_ms + self.load_ms;
            return;
        }
        let step = &self.steps[self.position];
        match (step, self.unload_ms) {
            (Order::UnloadModel(_), None) => self.unload_ms = Some(now_ms),
            (Order::LoadModel(_), Some(at_ms)) => self.unloaded_after_ms = Some(now_ms - at_ms),
            _ => {}
        }
        apply(step, &mut self.held);
        self.not_before_ms = match step {
            Order::LoadModel(_) => now_ms + self.load_ms,
            Order::UnloadModel(_) => now_ms + BUSY_PAUSE_MS,
            Order::LoadAdapter(..) => now_ms,
            Order::UnloadAdapter(..) => now_ms + ADAPTER_REPORT_MS,
        };
        self.is_confirming = matches!(step, Order::LoadModel(_));
        // An adapter in use is unloaded when its requests have ended, and the engine is not busy
        // meanwhile: only its report tells whether there is room.
        self.is_counted &= !matches!(step, Order::UnloadAdapter(..));
        self.position += 1;
        self.check_room();
    }

    fn fulfilled(&mut self, now_ms: u64) {
        self.conflicts = 0;
        self.not_before_ms = now_ms;
        if self.is_confirming {
            self.is_confirming = false;
            return;
        }
        let Some(step) = self.steps.get(self.position) else { return };
        apply(step, &mut self.held);
        // An adapter that no request uses is unloaded at once, and that counts as an order; one
        // that was already gone does not. A load that expects one order too many may be carried out
        // seconds later, when other orders have filled the engine: 3 adapters in 2 slots.
        if matches!(step, Order::UnloadAdapter(..)) {
            self.order_count += 1;
            self.accepted_ms = now_ms;
            self.is_counted = false;
            self.not_before_ms = now_ms + ADAPTER_REPORT_MS;
        }
        self.position += 1;
        self.check_room();
    }

    fn conflicted(&mut self, now_ms: u64) {
        self.conflicts += 1;
        let is_waiting = self.is_confirming || self.position > 0;
        if !is_waiting || self.conflicts.is_multiple_of(CONFLICTS_BEFORE_REPORT) {
            self.is_counted = false;
            self.not_before_ms = now_ms;
            return;
        }
        let pause_ms = if self.is_confirming { CONFIRM_PAUSE_MS } else { BUSY_PAUSE_MS };
        self.not_before_ms = now_ms + pause_ms;
    }

    fn count_unanswered(&mut self) {
        self.unanswered += 1;
        if self.unanswered >= MAX_UNANSWERED {
            self.failure = Some(Failure::Silent);
        }
    }

    /// Fails the change if the next order does not fit what the engine holds.
    fn check_room(&mut self) {
        let Some(step) = self.steps.get(self.position) else { return };
        let adapters: usize = self.held.values().map(BTreeSet::len).sum();
        let fits = match step {
            Order::LoadModel(model) => {
                self.spec.held_mb(&self.held) + self.spec.weights_mb(model) <= self.spec.memory_mb
            }
            Order::LoadAdapter(model, _) => {
                let has_slot = (adapters as u64) < u64::from(self.spec.adapter_slots);
                let needed_mb = self.spec.held_mb(&self.held) + self.spec.adapter_mb(model);
                has_slot && needed_mb <= self.spec.memory_mb && self.held.contains_key(model)
            }
            Order::UnloadModel(_) | Order::UnloadAdapter(..) => true,
        };
        if !fits {
            self.failure = Some(Failure::Changed);
        }
    }
}

/// Returns whether the effect of an order is in place.
fn is_in_place(order: &Order, held: &Held) -> bool {
    let has = |model: &ModelName, adapter: &AdapterName| {
        held.get(model).is_some_and(|adapters| adapters.contains(adapter))
    };
    match order {
        Order::LoadModel(model) => held.contains_key(model),
        Order::UnloadModel(model) => !held.contains_key(model),
        Order::LoadAdapter(model, adapter) => has(model, adapter),
        Order::UnloadAdapter(model, adapter) => !has(model, adapter),
    }
}

fn apply(order: &Order, held: &mut Held) {
    match order {
        Order::LoadModel(model) => {
            held.entry(model.clone()).or_default();
        }
        Order::UnloadModel(model) => {
            held.remove(model);
        }
        Order::LoadAdapter(model, adapter) => {
            held.entry(model.clone()).or_default().insert(adapter.clone());
        }
        Order::UnloadAdapter(model, adapter) => {
            if let Some(adapters) = held.get_mut(model) {
                adapters.remove(adapter);
            }
        }
    }
}
