//! Orders to an owned endpoint, and the evaluation of their answers.

use super::{FAILED_LOAD_RETRY_MS, InFlight, OwnedEndpoint, ResidentModel};
use crate::{
    catalog::{Catalog, Fencing},
    endpoint_row::EndpointRow,
    fence::Fence,
    names::ModelName,
    order::{ModelReport, Order, OrderKind, OrderOutcome, Phase, Report},
    permit::PERMIT_USE_MS,
};
use std::collections::BTreeMap;

/// Time within which a permit of an earlier owner reaches its entry daemon.
const PERMIT_DELIVERY_MS: u64 = 500;
/// Interval of status probes while a model is being loaded or unloaded.
const BUSY_STATUS_PROBE_MS: u64 = 100;
/// Urgency and deadline of a load that no request waits for.
const EXPECTED_LOAD_PRIORITY: (u8, u64) = (u8::MAX, u64::MAX);

impl OwnedEndpoint {
    /// Returns the order to send now; `None` if none is due.
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

    /// Applies the outcome of an order; returns the larger fencing number if the endpoint has
    /// accepted an order of another owner.
    pub fn on_order(&mut self, fence: Fence, outcome: OrderOutcome, now_ms: u64) -> Option<Fence> {
        let in_flight = self.in_flight.take_if(|f| f.order.fence == fence)?;
        self.record_answer(outcome != OrderOutcome::Unknown);
        match outcome {
            OrderOutcome::Accepted(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.apply_report(&report, now_ms);
                None
            }
            OrderOutcome::Impossible(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.record_failed_load(&in_flight.order.kind, now_ms);
                self.apply_report(&report, now_ms);
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

    /// Treats an order as lost once it has had no answer for twice the resend interval.
    pub fn time_out_order(&mut self, now_ms: u64) {
        let limit_ms = self.timing.order_ms;
        let overdue = |f: &mut InFlight| now_ms >= f.sent_ms.saturating_add(2 * limit_ms);
        if let Some(lost) = self.in_flight.take_if(overdue) {
            self.to_resend = Some(lost.order.kind);
            self.record_answer(false);
        }
    }

    /// Returns whether a status probe is due.
    fn is_status_probe_due(&self, now_ms: u64) -> bool {
        let Some(accepted_sent_ms) = self.accepted_sent_ms else { return true };
        let is_changing = self.resident.values().any(|resident| resident.phase != Phase::Ready);
        let is_used = !self.queue.is_empty() || !self.permits.is_empty();
        let interval_ms = match (is_changing, is_used) {
            (true, _) => BUSY_STATUS_PROBE_MS,
            (false, true) => self.timing.grant_ms / 2,
            (false, false) => self.timing.status_probe_ms,
        };
        now_ms >= accepted_sent_ms + interval_ms
    }

    fn record_answer(&mut self, answered: bool) {
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
        let load = self.next_load(placed, now_ms).filter(|_| !self.draining);
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
                unneeded.or_else(|| self.least_recently_used().filter(|_| needs_room))
            }
            Fencing::Ignored => self.idle_exclusive(),
        };
        let unload = idle.and_then(|model| self.unload_or_probe(model, now_ms));
        unload.or_else(|| self.is_status_probe_due(now_ms).then_some(OrderKind::Claim))
    }

    /// Returns the order that unloads an idle model, or first a status probe that shows whether the
    /// model really is idle; `None` while neither may be sent yet.
    ///
    /// This owner does not know the permits of earlier owners. A permit has to be used at once or
    /// not at all, so some time after this owner was confirmed, the state of the endpoint shows
    /// every request that used one. Only the answer to an order shows the state after that order,
    /// so a status probe is sent first.
    fn unload_or_probe(&self, model: ModelName, now_ms: u64) -> Option<OrderKind> {
        let earlier_permits_ms = self.timing.grant_ms + PERMIT_USE_MS + PERMIT_DELIVERY_MS;
        let settled_ms = self.confirmed_ms? + earlier_permits_ms;
        if now_ms < settled_ms {
            return None;
        }
        let is_idle = self.resident.get(&model).is_some_and(|resident| resident.running == 0);
        let accepted_sent_ms =
            self.accepted_sent_ms.filter(|accepted_sent_ms| *accepted_sent_ms >= settled_ms);
        match accepted_sent_ms {
            Some(_) if is_idle => Some(OrderKind::Unload { model }),
            Some(accepted_sent_ms) if now_ms < accepted_sent_ms + BUSY_STATUS_PROBE_MS => None,
            _ => Some(OrderKind::Claim),
        }
    }

    /// Returns urgency and deadline of the first request that the next load is for; `None` if no
    /// load is due.
    pub fn first_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(u8, u64)> {
        let (model, _) = self.next_load(placed, now_ms).filter(|_| self.is_confirmed())?;
        Some(self.queue.first_for(&model).unwrap_or(EXPECTED_LOAD_PRIORITY))
    }

    /// Returns the models that are being loaded.
    pub fn loading(&self) -> impl Iterator<Item = &ModelName> {
        let loading = self.resident.iter().filter(|(_, resident)| resident.phase == Phase::Loading);
        loading.map(|(model, _)| model)
    }

    /// Returns the models without a load so far that requests of the given urgency, or more urgent
    /// ones, wait for.
    pub fn waiting_for_load(&self, urgency: u8) -> impl Iterator<Item = &ModelName> {
        let requested_models = self.queue.requested_at(urgency).into_iter();
        requested_models.filter(|model| !self.resident.contains_key(*model))
    }

    /// Returns the loads that have completed since the last call, and how long each took.
    pub fn take_completed_loads(&mut self) -> Vec<(ModelName, u64)> {
        std::mem::take(&mut self.completed_loads)
    }

    fn next_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(ModelName, u64)> {
        let is_due = |model: &ModelName| match self.resident.get(model) {
            Some(resident) => {
                resident.phase == Phase::Loading
                    && now_ms >= resident.since_ms + self.timing.load_ms
            }
            None => self.failed_ms.get(model).is_none_or(|at| now_ms >= at + FAILED_LOAD_RETRY_MS),
        };
        let may_load = |model: &&ModelName| placed.is_active(model) && is_due(model);
        let memory_of = |model: &ModelName| placed.placed[model].memory_bytes;
        if let Some(model) = self.queue.requested_models().into_iter().find(may_load) {
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
                let resident = ResidentModel {
                    phase: Phase::Loading,
                    since_ms: now_ms,
                    memory_bytes: *memory_bytes,
                    running: 0,
                };
                self.resident.entry(model.clone()).or_insert(resident).since_ms = now_ms;
            }
            OrderKind::Unload { model } => {
                self.unload_sent_ms = Some(now_ms);
                if let Some(resident) = self.resident.get_mut(model) {
                    resident.phase = Phase::Unloading;
                }
            }
        }
    }

    /// Records that the endpoint has accepted this owner's fencing number.
    fn confirm(&mut self, report: &Report, answered: &InFlight, now_ms: u64) {
        if self.confirmed_ms.is_none() {
            self.confirmed_ms = Some(now_ms);
            self.inherited_running = report.running().saturating_sub(self.permits.len());
        }
        self.accepted_sent_ms = Some(answered.sent_ms);
    }

    fn apply_report(&mut self, report: &Report, now_ms: u64) {
        self.inherited_running = self.inherited_running.min(report.running());
        let mut resident = BTreeMap::new();
        for (model, state) in &report.models {
            let before = self.resident.get(model);
            if let Some(before) = before.filter(|_| state.phase == Phase::Ready)
                && before.phase == Phase::Loading
            {
                let took_ms = now_ms.saturating_sub(before.since_ms);
                self.completed_loads.push((model.clone(), took_ms));
            }
            let since_ms = before.filter(|b| b.phase == state.phase).map_or(now_ms, |b| b.since_ms);
            let ModelReport { phase, memory_bytes, running } = *state;
            resident
                .insert(model.clone(), ResidentModel { phase, since_ms, memory_bytes, running });
        }
        for model in self.unsettled_models() {
            if let Some(before) = self.resident.get(&model) {
                resident.insert(model, *before);
            }
        }
        self.resident = resident;
    }

    /// Returns the models whose latest order has no answer yet.
    fn unsettled_models(&self) -> Vec<ModelName> {
        let in_flight = self.in_flight.as_ref().map(|f| &f.order.kind);
        let kinds = in_flight.into_iter().chain(self.to_resend.as_ref());
        kinds.filter_map(|kind| kind.model()).cloned().collect()
    }

    pub(super) fn has_unsettled_order(&self, model: &ModelName) -> bool {
        self.unsettled_models().contains(model)
    }

    fn record_failed_load(&mut self, kind: &OrderKind, now_ms: u64) {
        if let OrderKind::Load { model, .. } = kind {
            self.failed_ms.insert(model.clone(), now_ms);
        }
    }

    fn free_bytes(&self) -> u64 {
        let resident: u64 = self.resident.values().map(|resident| resident.memory_bytes).sum();
        self.spec.memory_bytes.saturating_sub(resident)
    }
}
