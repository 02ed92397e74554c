//! State of an endpoint at the daemon that owns it.
//!
//! The owner sends one order at a time. Each order carries a larger fencing number than the
//! one before, so an endpoint that checks the numbers refuses an order that arrives late. The
//! answer to an order carries the state of the endpoint right after it. A *status probe* is an
//! order that changes nothing and is sent for this state alone. The owner uses no other
//! reports, because they lag.
//!
//! Memory counts as reserved for a model from the sending of an order to load it until the
//! answer to that order, or to a later one, shows that the model is gone.
//!
//! The owner grants permits only for a limited time after it sent an order that the endpoint
//! has accepted. An owner that was suspended and replaced meanwhile therefore has to send a
//! status probe first, and the refusal tells it that it is no longer the owner. Status probes
//! are frequent only while there are requests, so an idle endpoint costs little.

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

/// Number of consecutive orders without an answer after which an endpoint counts as silent.
const SILENT_AFTER: u32 = 3;
/// Delay before a load that the endpoint could not carry out is ordered again.
const FAILED_LOAD_RETRY_MS: u64 = 1_000;

/// State of an endpoint at the daemon that owns it.
#[trestle_macros::plain]
pub struct OwnedEndpoint {
    spec: EngineSpec,
    timing: Timing,
    fence: Fence,
    /// Time at which the endpoint first accepted an order of this owner in this epoch.
    confirmed_ms: Option<u64>,
    /// Time at which the latest accepted order was sent.
    accepted_sent_ms: Option<u64>,
    in_flight: Option<InFlight>,
    /// Change of an order whose answer was lost, to be ordered again.
    to_resend: Option<OrderKind>,
    resident: BTreeMap<ModelName, ResidentModel>,
    permits: BTreeMap<Ticket, Permit>,
    /// Number of running requests that may use permits of earlier owners.
    inherited_running: usize,
    queue: Queue,
    last_used_ms: BTreeMap<ModelName, u64>,
    gaps: BTreeMap<ModelName, Gaps>,
    expected: BTreeSet<ModelName>,
    usage_profiles: BTreeMap<ModelName, UsageProfile>,
    bin: Option<Bin>,
    /// Models that were requested in the current time bin.
    requested_in_bin: BTreeSet<ModelName>,
    average_service_ms: BTreeMap<ModelName, u64>,
    failed_ms: BTreeMap<ModelName, u64>,
    completed_loads: Vec<(ModelName, u64)>,
    draining: bool,
    /// Models for which no other owner can still grant permits.
    exclusive: BTreeSet<ModelName>,
    /// Models that were already retiring when this daemon became the owner.
    inherited_retiring: BTreeSet<ModelName>,
    unload_sent_ms: Option<u64>,
    /// Number of consecutive orders without an answer.
    unanswered: u32,
    resend_at_ms: u64,
}

/// An order that was sent and has no answer yet.
#[trestle_macros::plain]
struct InFlight {
    order: Order,
    sent_ms: u64,
}

/// A model that occupies memory at the endpoint, or has memory reserved there.
#[trestle_macros::plain]
#[derive(Copy)]
struct ResidentModel {
    phase: Phase,
    since_ms: u64,
    memory_bytes: u64,
    running: usize,
}

/// A permit that was granted and neither given back nor expired.
#[trestle_macros::plain]
struct Permit {
    entry: VmName,
    model: ModelName,
    granted_ms: u64,
    deadline_ms: u64,
}

impl OwnedEndpoint {
    /// Creates the state of an endpoint that has not yet accepted an order of this owner.
    ///
    /// Placements that are already retiring count as inherited: an earlier owner may have sent an
    /// order to unload them.
    pub fn new(spec: EngineSpec, fence: Fence, placed: &EndpointRow, timing: Timing) -> Self {
        let retiring = placed.placed.keys().filter(|model| !placed.is_active(model));
        let inherited_retiring = retiring.cloned().collect();
        Self {
            spec,
            timing,
            fence,
            confirmed_ms: None,
            accepted_sent_ms: None,
            in_flight: None,
            to_resend: None,
            resident: BTreeMap::new(),
            permits: BTreeMap::new(),
            inherited_running: 0,
            queue: Queue::default(),
            last_used_ms: BTreeMap::new(),
            gaps: BTreeMap::new(),
            expected: BTreeSet::new(),
            usage_profiles: BTreeMap::new(),
            bin: None,
            requested_in_bin: BTreeSet::new(),
            average_service_ms: BTreeMap::new(),
            failed_ms: BTreeMap::new(),
            completed_loads: Vec::new(),
            draining: false,
            exclusive: BTreeSet::new(),
            inherited_retiring,
            unload_sent_ms: None,
            unanswered: 0,
            resend_at_ms: 0,
        }
    }

    /// Restarts the claim of the endpoint under a larger fencing number; waiting requests stay.
    pub fn reclaim(&mut self, fence: Fence) {
        self.fence = fence;
        self.confirmed_ms = None;
        self.accepted_sent_ms = None;
        self.exclusive.clear();
        self.in_flight = None;
        self.to_resend = None;
    }

    /// Returns the fencing number of the latest order.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether the endpoint has accepted an order of this owner in this epoch.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// Sets whether the platform's list shows the endpoint as draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns whether the model occupies no memory, according to a state that follows every order
    /// about the model.
    pub fn is_absent(&self, model: &ModelName) -> bool {
        self.is_confirmed()
            && !self.resident.contains_key(model)
            && !self.has_unsettled_order(model)
    }

    /// Returns the phase of each model that occupies memory.
    pub fn phases(&self) -> impl Iterator<Item = (&ModelName, Phase)> {
        self.resident.iter().map(|(model, resident)| (model, resident.phase))
    }

    /// Returns whether the endpoint has left several orders in a row unanswered.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_AFTER
    }

    /// Returns whether every unload order of this owner has either reached the endpoint or can no
    /// longer reach it.
    pub fn unloads_have_settled(&self, now_ms: u64) -> bool {
        let settle_ms = self.timing.order_settle_ms;
        self.unload_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + settle_ms)
    }

    /// Returns whether the model is ready, stays loaded and was used within its keep time.
    pub fn is_in_use(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> bool {
        let keep_ms = self.keep_ms(model, catalog);
        let last_used_ms = self.last_used_ms.get(model);
        let stays_loaded = self.stays_loaded(model, now_ms);
        stays_loaded
            && last_used_ms
                .is_some_and(|last_used_ms| now_ms < last_used_ms.saturating_add(keep_ms))
    }

    /// Sets the models for which no other owner can still grant permits.
    pub fn set_exclusive(&mut self, models: BTreeSet<ModelName>) {
        self.exclusive = models;
    }

    /// Returns whether the permit was granted and is still valid.
    pub fn has_permit(&self, ticket: Ticket) -> bool {
        self.permits.contains_key(&ticket)
    }

    /// Returns the number of permits that were granted and are still valid.
    pub fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of requests that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the model is ready and no order to unload it, of this or an earlier owner,
    /// can still reach the endpoint.
    fn stays_loaded(&self, model: &ModelName, now_ms: u64) -> bool {
        let is_inherited = self.inherited_retiring.contains(model);
        self.is_ready(model) && !is_inherited && self.unloads_have_settled(now_ms)
    }

    fn is_ready(&self, model: &ModelName) -> bool {
        is_ready(&self.resident, model)
    }
}

fn is_ready(resident: &BTreeMap<ModelName, ResidentModel>, model: &ModelName) -> bool {
    resident.get(model).is_some_and(|resident| resident.phase == Phase::Ready)
}
