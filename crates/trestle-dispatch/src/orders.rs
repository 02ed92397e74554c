//! The orders of one change at one engine, one after the other.
//!
//! An engine counts the orders that it accepts, and refuses one that expects
//! another count. Every order here names the count it expects, so an order that
//! got no answer cannot take effect after a later one: the same order is sent
//! again with the same count, and whichever arrives second is refused.

use crate::endpoint::EngineReport;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, ModelName};

/// Pause before an order is sent again while the engine is carrying one out.
const BUSY_PAUSE_MS: u64 = 110;
/// Pause before an order is sent again that got no answer.
const UNANSWERED_PAUSE_MS: u64 = 100;
/// Pause between two looks at an engine's report; it is some 200 ms old anyway.
const REPORT_PAUSE_MS: u64 = 100;
/// Sends of one order without an answer after which the change is given up.
const MOST_UNANSWERED: u32 = 6;

/// One order.
#[trestle_macros::plain]
pub enum Order {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model, with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is there.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// How an engine answered an order.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum OrderAnswer {
    /// It is carrying the order out.
    Accepted,
    /// The order is fulfilled already.
    Fulfilled,
    /// Another order is under way, or the count was another.
    Conflict,
    /// An order with a higher fencing number came before.
    Fenced,
    /// Another endpoint answers at the address.
    Replaced,
    /// The order makes no sense to the engine.
    Invalid,
    /// No answer: it may be carried out now, later or never.
    Unknown,
}

/// What to do next.
#[trestle_macros::plain]
pub enum Next {
    /// Send this order, expecting this count.
    Send(Order, u64),
    /// Ask the engine for its report.
    Report,
    /// Everything is in place.
    Done,
    /// The change cannot be made.
    Failed(Failure),
}

/// Why a change cannot be made.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Failure {
    /// The engine is gone, or another took its address.
    Replaced,
    /// The engine did not answer for long.
    Silent,
    /// Someone with a higher fencing number gives the orders.
    Fenced,
    /// The engine refuses the order for good.
    Invalid,
    /// The engine holds something else than was planned with.
    Changed,
}

/// The orders of one change at one engine.
#[derive(Debug)]
pub struct OrderChain {
    steps: Vec<Order>,
    at: usize,
    held: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    order_count: Option<u64>,
    /// Whether the last step was accepted and must still be seen in a report.
    is_settling: bool,
    must_look: bool,
    unanswered: u32,
    not_before_ms: u64,
    failure: Option<Failure>,
}

impl OrderChain {
    /// A change of an engine that holds this, if it has accepted that many orders.
    ///
    /// Without a count the engine is asked first.
    pub fn new(
        steps: Vec<Order>,
        held: BTreeMap<ModelName, BTreeSet<AdapterName>>,
        order_count: Option<u64>,
    ) -> Self {
        Self {
            steps,
            at: 0,
            held,
            must_look: order_count.is_none(),
            order_count,
            is_settling: false,
            unanswered: 0,
            not_before_ms: 0,
            failure: None,
        }
    }

    /// What to do, and not before when.
    pub fn next(&self) -> (Next, u64) {
        let next = match (self.failure, self.steps.get(self.at), self.order_count) {
            (Some(failure), ..) => Next::Failed(failure),
            (None, None, Some(_)) if !self.is_settling && !self.must_look => Next::Done,
            (None, Some(step), Some(count)) if !self.must_look && !self.is_settling => {
                Next::Send(step.clone(), count)
            }
            _ => Next::Report,
        };
        (next, self.not_before_ms)
    }

    /// Takes the answer to the order that was sent last.
    pub fn answered(&mut self, answer: OrderAnswer, now_ms: u64) {
        match answer {
            OrderAnswer::Accepted => {
                self.accept(now_ms);
                // A model takes its time to arrive; what it displaces is refused by the
                // engine until then, so only the last step needs to be seen.
                let is_model = matches!(self.steps.get(self.at - 1), Some(Order::LoadModel(_)));
                self.is_settling = is_model && self.at == self.steps.len();
            }
            OrderAnswer::Fulfilled => self.accept(now_ms),
            OrderAnswer::Conflict => {
                self.unanswered = 0;
                self.must_look = true;
                self.not_before_ms = now_ms;
            }
            OrderAnswer::Unknown => {
                self.unanswered += 1;
                self.not_before_ms = now_ms + UNANSWERED_PAUSE_MS;
                if self.unanswered >= MOST_UNANSWERED {
                    self.failure = Some(Failure::Silent);
                }
            }
            OrderAnswer::Fenced => self.failure = Some(Failure::Fenced),
            OrderAnswer::Replaced => self.failure = Some(Failure::Replaced),
            OrderAnswer::Invalid => self.failure = Some(Failure::Invalid),
        }
    }

    /// Takes the engine's report; `None` if it did not answer.
    pub fn reported(&mut self, report: Option<&EngineReport>, now_ms: u64) {
        self.not_before_ms = now_ms + REPORT_PAUSE_MS;
        let Some(report) = report else {
            self.unanswered += 1;
            if self.unanswered >= MOST_UNANSWERED {
                self.failure = Some(Failure::Silent);
            }
            return;
        };
        self.unanswered = 0;
        let is_stale = self.order_count.is_some_and(|count| report.order_count < count);
        if is_stale {
            return;
        }
        if self.is_settling {
            let is_settled = self.at > 0 && holds(&self.steps[self.at - 1], &report.held);
            self.is_settling = !is_settled;
            if !is_settled && !report.is_busy {
                self.failure = Some(Failure::Changed);
            }
            return;
        }
        let is_first = self.order_count.is_none();
        self.order_count = Some(report.order_count);
        if report.is_busy {
            self.not_before_ms = now_ms + BUSY_PAUSE_MS;
            self.must_look = true;
            return;
        }
        self.must_look = false;
        self.not_before_ms = now_ms;
        self.held.clone_from(&report.held);
        while self.steps.get(self.at).is_some_and(|step| holds(step, &report.held)) {
            self.at += 1;
        }
        if is_first && !self.fits() {
            self.failure = Some(Failure::Changed);
        }
    }

    /// What the engine holds once everything accepted so far is carried out.
    pub fn held(&self) -> &BTreeMap<ModelName, BTreeSet<AdapterName>> {
        &self.held
    }

    /// Orders that the engine has accepted, if that is certain.
    pub fn order_count(&self) -> Option<u64> {
        self.order_count.filter(|_| self.unanswered == 0 && !self.must_look)
    }

    /// Whether everything is in place.
    pub fn is_done(&self) -> bool {
        self.next().0 == Next::Done
    }

    fn accept(&mut self, now_ms: u64) {
        self.unanswered = 0;
        self.not_before_ms = now_ms;
        self.order_count = self.order_count.map(|count| count + 1);
        apply(&self.steps[self.at], &mut self.held);
        let was_unload = matches!(self.steps[self.at], Order::UnloadModel(_));
        self.at += 1;
        if was_unload {
            self.not_before_ms = now_ms + BUSY_PAUSE_MS;
        }
    }

    /// Whether what is to go is there, and what is to come is not.
    fn fits(&self) -> bool {
        self.steps[self.at..].iter().all(|step| match step {
            Order::UnloadModel(model) => self.held.contains_key(model),
            Order::LoadAdapter(model, _) => self.held.contains_key(model),
            Order::LoadModel(_) | Order::UnloadAdapter(..) => true,
        })
    }
}

/// Whether an order's effect is there.
fn holds(order: &Order, held: &BTreeMap<ModelName, BTreeSet<AdapterName>>) -> bool {
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

fn apply(order: &Order, held: &mut BTreeMap<ModelName, BTreeSet<AdapterName>>) {
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
