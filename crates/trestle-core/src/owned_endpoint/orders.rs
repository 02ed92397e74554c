//! Orders to the endpoint, and what their answers say.

use super::{FAILED_LOAD_PAUSE_MS, Held, InFlight, OwnedEndpoint};
use crate::{
    catalog::{Catalog, Fencing},
    endpoint_row::EndpointRow,
    fence::Fence,
    names::ModelName,
    order::{ModelReport, Order, OrderKind, OrderOutcome, Phase, Report},
    permit::PERMIT_USE_MS,
};
use std::collections::BTreeMap;

/// Time for a permit of an earlier owner to reach its entry daemon.
const PERMIT_MARGIN_MS: u64 = 500;
/// Time between two looks while something is loaded or unloaded.
const BUSY_STATUS_PROBE_MS: u64 = 100;
/// Urgency and deadline of a load that no request waits for.
const EXPECTED_LOAD: (u8, u64) = (u8::MAX, u64::MAX);

impl OwnedEndpoint {
    /// The order to send now, if any.
    pub fn next_order(
        &mut self,
        placed: &EndpointRow,
        catalog: &Catalog,
        may_load: bool,
        now_ms: u64,
    ) -> Option<Order> {
        if self.in_flight.is_some() || now_ms < self.resend_at_ms {
            return None;
        }
        let kind = self.next_kind(placed, catalog, may_load, now_ms)?;
        self.reserve(&kind, now_ms);
        self.fence = self.fence.next();
        let order = Order { fence: self.fence, kind };
        self.in_flight = Some(InFlight { order: order.clone(), sent_ms: now_ms });
        Some(order)
    }

    /// Takes what is known of an order; tells the larger number on a refusal.
    pub fn on_order(&mut self, fence: Fence, outcome: OrderOutcome, now_ms: u64) -> Option<Fence> {
        let in_flight = self.in_flight.take_if(|f| f.order.fence == fence)?;
        self.note_answer(outcome != OrderOutcome::Unknown);
        match outcome {
            OrderOutcome::Accepted(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.take_state(&report, now_ms);
                None
            }
            OrderOutcome::Impossible(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.note_failure(&in_flight.order.kind, now_ms);
                self.take_state(&report, now_ms);
                None
            }
            OrderOutcome::Unknown => {
                self.to_resend = Some(in_flight.order.kind);
                self.resend_at_ms = now_ms + self.timing.order_ms;
                None
            }
            OrderOutcome::Refused(larger) if larger.same_owner(self.fence) => {
                self.to_resend = Some(in_flight.order.kind);
                None
            }
            OrderOutcome::Refused(larger) => Some(larger),
        }
    }

    /// Treats an order without an answer as lost after a while.
    pub fn give_up_order(&mut self, now_ms: u64) {
        let limit_ms = self.timing.order_ms;
        let overdue = |f: &mut InFlight| now_ms >= f.sent_ms.saturating_add(2 * limit_ms);
        if let Some(lost) = self.in_flight.take_if(overdue) {
            self.to_resend = Some(lost.order.kind);
            self.note_answer(false);
        }
    }

    /// Whether it is time to look at the endpoint.
    fn is_status_probe_due(&self, now_ms: u64) -> bool {
        let Some(probed_ms) = self.probed_ms else { return true };
        let is_changing = self.held.values().any(|held| held.phase != Phase::Ready);
        let is_used = !self.queue.is_empty() || !self.permits.is_empty();
        let interval_ms = match (is_changing, is_used) {
            (true, _) => BUSY_STATUS_PROBE_MS,
            (false, true) => self.timing.grant_ms / 2,
            (false, false) => self.timing.status_probe_ms,
        };
        now_ms >= probed_ms + interval_ms
    }

    fn note_answer(&mut self, answered: bool) {
        self.unanswered = if answered { 0 } else { self.unanswered.saturating_add(1) };
    }

    fn next_kind(
        &mut self,
        placed: &EndpointRow,
        catalog: &Catalog,
        may_load: bool,
        now_ms: u64,
    ) -> Option<OrderKind> {
        if !self.is_confirmed() {
            return Some(OrderKind::Claim);
        }
        if let Some(kind) = self.to_resend.take() {
            return Some(kind);
        }
        let load = self.next_load(placed, now_ms).filter(|_| !self.leaving);
        if let Some((model, memory_bytes)) = &load
            && may_load
            && self.free_bytes() >= *memory_bytes
        {
            let (model, memory_bytes) = (model.clone(), *memory_bytes);
            return Some(OrderKind::Load { model, memory_bytes });
        }
        let idle = match self.spec.fencing {
            Fencing::Checked => {
                let needs_room = load.is_some();
                let unneeded = self.unneeded(placed, catalog, now_ms);
                unneeded.or_else(|| self.victim().filter(|_| needs_room))
            }
            Fencing::Ignored => self.idle_released(),
        };
        let unload = idle.and_then(|model| self.unload_or_probe(model, now_ms));
        unload.or_else(|| self.is_status_probe_due(now_ms).then_some(OrderKind::Claim))
    }

    /// Unloads an idle model, or first looks whether it really is idle.
    ///
    /// Permits of an earlier owner are not known here. Each has to be used at
    /// once or not at all, so a while after this owner was confirmed every
    /// request that used one shows in the endpoint's state. A report may lag,
    /// but the answer to an order shows the state after it, so an order that
    /// does nothing is sent first.
    fn unload_or_probe(&self, model: ModelName, now_ms: u64) -> Option<OrderKind> {
        let earlier_permits_ms = self.timing.grant_ms + PERMIT_USE_MS + PERMIT_MARGIN_MS;
        let settled_ms = self.confirmed_ms? + earlier_permits_ms;
        if now_ms < settled_ms {
            return None;
        }
        let is_idle = self.held.get(&model).is_some_and(|held| held.running == 0);
        let probed_ms = self.probed_ms.filter(|probed_ms| *probed_ms >= settled_ms);
        match probed_ms {
            Some(_) if is_idle => Some(OrderKind::Unload { model }),
            Some(probed_ms) if now_ms < probed_ms + BUSY_STATUS_PROBE_MS => None,
            _ => Some(OrderKind::Claim),
        }
    }

    /// The request that a load is due for first: its urgency and deadline.
    pub fn first_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(u8, u64)> {
        let (model, _) = self.next_load(placed, now_ms).filter(|_| self.is_confirmed())?;
        Some(self.queue.first_for(&model).unwrap_or(EXPECTED_LOAD))
    }

    /// LoadLimiter under way.
    pub fn loading(&self) -> impl Iterator<Item = &ModelName> {
        let loading = self.held.iter().filter(|(_, held)| held.phase == Phase::Loading);
        loading.map(|(model, _)| model)
    }

    /// Models that requests of the urgency or a greater one wait for, and that no load has begun for.
    pub fn waiting_for_load(&self, urgency: u8) -> impl Iterator<Item = &ModelName> {
        let wanted = self.queue.wanted_at(urgency).into_iter();
        wanted.filter(|model| !self.held.contains_key(*model))
    }

    /// LoadLimiter that have ended since the last call, and how long each took.
    pub fn take_ended_loads(&mut self) -> Vec<(ModelName, u64)> {
        std::mem::take(&mut self.ended_loads)
    }

    fn next_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(ModelName, u64)> {
        let is_due = |model: &ModelName| match self.held.get(model) {
            Some(held) => {
                held.phase == Phase::Loading && now_ms >= held.since_ms + self.timing.load_ms
            }
            None => self.failed_ms.get(model).is_none_or(|at| now_ms >= at + FAILED_LOAD_PAUSE_MS),
        };
        let may_load = |model: &&ModelName| placed.is_active(model) && is_due(model);
        let memory_of = |model: &ModelName| placed.placed[model].memory_bytes;
        if let Some(model) = self.queue.wanted().into_iter().find(may_load) {
            return Some((model.clone(), memory_of(model)));
        }
        let free_bytes = self.free_bytes();
        let has_room = |model: &&ModelName| memory_of(model) <= free_bytes;
        let expected = self.expected.iter().filter(may_load).find(has_room)?;
        Some((expected.clone(), memory_of(expected)))
    }

    fn reserve(&mut self, kind: &OrderKind, now_ms: u64) {
        match kind {
            OrderKind::Claim => {}
            OrderKind::Load { model, memory_bytes } => {
                let held = Held {
                    phase: Phase::Loading,
                    since_ms: now_ms,
                    memory_bytes: *memory_bytes,
                    running: 0,
                };
                self.held.entry(model.clone()).or_insert(held).since_ms = now_ms;
            }
            OrderKind::Unload { model } => {
                self.unload_sent_ms = Some(now_ms);
                if let Some(held) = self.held.get_mut(model) {
                    held.phase = Phase::Unloading;
                }
            }
        }
    }

    /// Notes that the endpoint has taken this owner's number.
    fn confirm(&mut self, report: &Report, answered: &InFlight, now_ms: u64) {
        if self.confirmed_ms.is_none() {
            self.confirmed_ms = Some(now_ms);
            self.foreign_running = report.running().saturating_sub(self.permits.len());
        }
        self.probed_ms = Some(answered.sent_ms);
    }

    fn take_state(&mut self, report: &Report, now_ms: u64) {
        self.foreign_running = self.foreign_running.min(report.running());
        let mut held = BTreeMap::new();
        for (model, state) in &report.models {
            let before = self.held.get(model);
            if let Some(before) = before.filter(|_| state.phase == Phase::Ready)
                && before.phase == Phase::Loading
            {
                let took_ms = now_ms.saturating_sub(before.since_ms);
                self.ended_loads.push((model.clone(), took_ms));
            }
            let since_ms = before.filter(|h| h.phase == state.phase).map_or(now_ms, |h| h.since_ms);
            let ModelReport { phase, memory_bytes, running } = *state;
            held.insert(model.clone(), Held { phase, since_ms, memory_bytes, running });
        }
        for model in self.unsettled_models() {
            if let Some(before) = self.held.get(&model) {
                held.insert(model, *before);
            }
        }
        self.held = held;
    }

    /// Models whose latest order has no answer yet.
    fn unsettled_models(&self) -> Vec<ModelName> {
        let in_flight = self.in_flight.as_ref().map(|f| &f.order.kind);
        let kinds = in_flight.into_iter().chain(self.to_resend.as_ref());
        kinds.filter_map(|kind| kind.model()).cloned().collect()
    }

    pub(super) fn concerns_in_flight(&self, model: &ModelName) -> bool {
        self.unsettled_models().contains(model)
    }

    fn note_failure(&mut self, kind: &OrderKind, now_ms: u64) {
        if let OrderKind::Load { model, .. } = kind {
            self.failed_ms.insert(model.clone(), now_ms);
        }
    }

    fn free_bytes(&self) -> u64 {
        let held: u64 = self.held.values().map(|held| held.memory_bytes).sum();
        self.spec.memory_bytes.saturating_sub(held)
    }
}
