//! An endpoint as its owner sees it.
//!
//! The owner sends one order at a time. Each order has a larger fencing number
//! than the one before, so an order that was delayed and overtaken is refused
//! by an endpoint that checks. The answer to an order carries the state of the
//! endpoint right after it. An order that does nothing, a *look*, asks for that
//! state alone; reports that lag are not used.
//!
//! Memory is held for a model from the moment an order to load it is sent until
//! the answer to that order or a later one shows it gone.
//!
//! Permits are given only for a while after the sending of an order that the
//! endpoint has accepted. An owner that was frozen, and has been replaced in the
//! meantime, has to look first, and then learns that it is the owner no longer.
//! Looks are sent when requests come, so an endpoint without any costs nothing.

mod admission;
mod keeping;
mod orders;

use crate::{
    catalog::{Catalog, EngineSpec},
    endpoint_row::EndpointRow,
    fence::Fence,
    keep::Gaps,
    names::{ModelName, VmName},
    order::{Order, OrderKind, Phase},
    permit::Ticket,
    queue::Queue,
    timing::Timing,
    usage_profile::{Bin, UsageProfile},
};
use std::collections::{BTreeMap, BTreeSet};

/// Orders without an answer after which an endpoint counts as silent.
const SILENT_AFTER: u32 = 3;
/// Time after which a load that the endpoint could not carry out is tried again.
const FAILED_LOAD_PAUSE_MS: u64 = 1_000;

/// An endpoint as its owner sees it.
#[trestle_macros::plain]
pub struct OwnedEndpoint {
    spec: EngineSpec,
    timing: Timing,
    fence: Fence,
    confirmed_ms: Option<u64>,
    probed_ms: Option<u64>,
    in_flight: Option<InFlight>,
    to_resend: Option<OrderKind>,
    held: BTreeMap<ModelName, Held>,
    permits: BTreeMap<Ticket, Permit>,
    foreign_running: usize,
    queue: Queue,
    used_ms: BTreeMap<ModelName, u64>,
    gaps: BTreeMap<ModelName, Gaps>,
    expected: BTreeSet<ModelName>,
    habits: BTreeMap<ModelName, UsageProfile>,
    bin: Option<Bin>,
    came: BTreeSet<ModelName>,
    service_ms: BTreeMap<ModelName, u64>,
    failed_ms: BTreeMap<ModelName, u64>,
    ended_loads: Vec<(ModelName, u64)>,
    leaving: bool,
    released: BTreeSet<ModelName>,
    inherited: BTreeSet<ModelName>,
    unload_sent_ms: Option<u64>,
    unanswered: u32,
    resend_at_ms: u64,
}

/// An order without an answer yet.
#[trestle_macros::plain]
struct InFlight {
    order: Order,
    sent_ms: u64,
}

/// A model that takes memory.
#[trestle_macros::plain]
#[derive(Copy)]
struct Held {
    phase: Phase,
    since_ms: u64,
    memory_bytes: u64,
    running: usize,
}

/// A permit that is out.
#[trestle_macros::plain]
struct Permit {
    entry: VmName,
    model: ModelName,
    granted_ms: u64,
    deadline_ms: u64,
}

impl OwnedEndpoint {
    /// An endpoint whose owner has yet to claim it.
    ///
    /// Placements that were on their way out before are inherited: an earlier
    /// owner may have sent an unload for them.
    pub fn new(spec: EngineSpec, fence: Fence, placed: &EndpointRow, timing: Timing) -> Self {
        let retiring = placed.placed.keys().filter(|model| !placed.is_active(model));
        let inherited = retiring.cloned().collect();
        Self {
            spec,
            timing,
            fence,
            confirmed_ms: None,
            probed_ms: None,
            in_flight: None,
            to_resend: None,
            held: BTreeMap::new(),
            permits: BTreeMap::new(),
            foreign_running: 0,
            queue: Queue::default(),
            used_ms: BTreeMap::new(),
            gaps: BTreeMap::new(),
            expected: BTreeSet::new(),
            habits: BTreeMap::new(),
            bin: None,
            came: BTreeSet::new(),
            service_ms: BTreeMap::new(),
            failed_ms: BTreeMap::new(),
            ended_loads: Vec::new(),
            leaving: false,
            released: BTreeSet::new(),
            inherited,
            unload_sent_ms: None,
            unanswered: 0,
            resend_at_ms: 0,
        }
    }

    /// Claims the endpoint anew under a larger number, keeping its waiting requests.
    pub fn reclaim(&mut self, fence: Fence) {
        self.fence = fence;
        self.confirmed_ms = None;
        self.probed_ms = None;
        self.released.clear();
        self.in_flight = None;
        self.to_resend = None;
    }

    /// The number of the latest order.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether the endpoint has accepted an order of this owner in this epoch.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// Marks that the platform's list says the endpoint is leaving, or not.
    pub fn set_draining(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the model takes no memory there, in a state newer than every order.
    pub fn is_absent(&self, model: &ModelName) -> bool {
        self.is_confirmed() && !self.held.contains_key(model) && !self.concerns_in_flight(model)
    }

    /// The phase of each model that takes memory.
    pub fn phases(&self) -> impl Iterator<Item = (&ModelName, Phase)> {
        self.held.iter().map(|(model, held)| (model, held.phase))
    }

    /// Whether the endpoint has not answered its owner for a while.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_AFTER
    }

    /// Whether every unload that this owner has sent has reached the endpoint, or never will.
    pub fn unloads_have_settled(&self, now_ms: u64) -> bool {
        let settle_ms = self.timing.order_settle_ms;
        self.unload_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + settle_ms)
    }

    /// Whether requests run on the model or wait for it, or did a short while ago.
    pub fn is_in_use(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> bool {
        let keep_ms = self.keep_ms(model, catalog);
        let used_ms = self.used_ms.get(model);
        let is_staying = self.is_staying(model, now_ms);
        is_staying && used_ms.is_some_and(|used_ms| now_ms < used_ms.saturating_add(keep_ms))
    }

    /// Sets the models that no other owner can give permits for any more.
    pub fn set_released(&mut self, models: BTreeSet<ModelName>) {
        self.released = models;
    }

    /// Whether the permit is out.
    pub fn has_permit(&self, ticket: Ticket) -> bool {
        self.permits.contains_key(&ticket)
    }

    /// Permits that are out.
    pub fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether the model is ready, and no unload of any owner can still reach it.
    fn is_staying(&self, model: &ModelName, now_ms: u64) -> bool {
        let is_inherited = self.inherited.contains(model);
        self.is_ready(model) && !is_inherited && self.unloads_have_settled(now_ms)
    }

    fn is_ready(&self, model: &ModelName) -> bool {
        is_ready(&self.held, model)
    }
}

fn is_ready(held: &BTreeMap<ModelName, Held>, model: &ModelName) -> bool {
    held.get(model).is_some_and(|held| held.phase == Phase::Ready)
}
