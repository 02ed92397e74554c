//! Requests: who may wait, who may go, and who is refused.

use super::{OwnedEndpoint, Permit, is_ready};
use crate::{
    catalog::{Catalog, Fencing, ModelSpec},
    endpoint_row::EndpointRow,
    load_limiter::Forecast,
    names::{ModelName, VmName},
    order::Phase,
    permit::{PermitAnswer, PermitRequest, Refusal, Ticket},
};
use std::{collections::BTreeMap, ops::RangeInclusive};

/// Requests of one tenant that may wait at one endpoint.
const MAX_WAITING_PER_TENANT: usize = 256;
/// Shortest and longest time to come back that a refusal names.
const RETRY_AFTER_MS: RangeInclusive<u64> = 200..=60_000;
/// Share of an old average in a new one, in eighths.
const AVERAGE_EIGHTHS: u64 = 7;
/// How much longer than declared a request is expected to run at most.
///
/// Without a bound, a few long requests could have all others refused, and no
/// shorter one would be measured any more.
const LONGEST_SERVICE: u64 = 2;
/// Time beyond its deadline for which a permit stays out.
const PERMIT_GRACE_MS: u64 = 1_000;
/// Part of an expected wait for others that is added to it, so that what is
/// admitted ends in time.
const QUEUE_MARGIN: u64 = 4;
/// How much faster than declared a load may be.
const FASTEST_LOAD: u64 = 4;

impl OwnedEndpoint {
    /// Takes an ask; answers at once unless it has to wait.
    pub fn request_permit(
        &mut self,
        mut request: PermitRequest,
        placed: &EndpointRow,
        catalog: &Catalog,
        forecast: Forecast,
        now_ms: u64,
    ) -> Option<PermitAnswer> {
        let may_serve = placed.is_active(&request.model)
            || self.serves_retiring(&request.model, placed, now_ms);
        let model = catalog.models.get(&request.model).filter(|_| may_serve);
        let Some(model) = model else {
            return Some(PermitAnswer::NotPlaced);
        };
        if self.leaving {
            return Some(refused(Refusal::Draining, model.load_ms));
        }
        if self.is_silent() {
            return Some(refused(Refusal::EndpointSilent, self.timing.order_ms));
        }
        if self.queue.waiting_of(&request.tenant) >= MAX_WAITING_PER_TENANT {
            return Some(refused(Refusal::TenantQueueFull, self.queue_ms(request.urgency, model)));
        }
        let wait_ms = self.expected_wait_ms(&request, model, forecast, now_ms);
        let is_loaded = self.is_ready(&request.model);
        if is_loaded && request.wait_limit_ms.is_some_and(|wait_limit_ms| wait_ms > wait_limit_ms) {
            return Some(PermitAnswer::Busy { wait_ms });
        }
        let margin_ms = self.queue_ms(request.urgency, model) / QUEUE_MARGIN;
        let end_ms = now_ms + wait_ms + margin_ms + self.service_of(&request.model, Some(model));
        if end_ms > request.deadline_ms {
            return Some(refused(Refusal::DeadlineTooClose, end_ms - request.deadline_ms));
        }
        request.cold = !is_loaded;
        self.note_gap(&request.model, model.load_ms, now_ms);
        self.came.insert(request.model.clone());
        self.used_ms.insert(request.model.clone(), now_ms);
        self.queue.push(request);
        None
    }

    /// Grants every permit that can be granted now.
    pub fn grant(&mut self, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let mut granted = Vec::new();
        while self.may_grant(now_ms) && self.out() < self.spec.slots {
            let held = &self.held;
            let Some(request) = self.queue.pop(|model| is_ready(held, model)) else { break };
            granted.push((request.ticket, PermitAnswer::Granted { cold: request.cold }));
            self.used_ms.insert(request.model.clone(), now_ms);
            self.permits.insert(
                request.ticket,
                Permit {
                    entry: request.entry,
                    model: request.model,
                    granted_ms: now_ms,
                    deadline_ms: request.deadline_ms,
                },
            );
        }
        granted
    }

    /// Refuses every waiting request that cannot be served any more.
    pub fn refuse_late(&mut self, catalog: &Catalog, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let shortest: BTreeMap<ModelName, u64> = self
            .queue
            .wanted()
            .into_iter()
            .map(|model| (model.clone(), self.shortest_ms(model, catalog, now_ms)))
            .collect();
        let leaving = self.leaving;
        let is_late = |request: &PermitRequest| {
            leaving
                || now_ms + shortest.get(&request.model).copied().unwrap_or(0) > request.deadline_ms
        };
        let late = self.queue.drain_if(is_late);
        late.into_iter()
            .map(|request| (request.ticket, self.late_answer(&request, catalog)))
            .collect()
    }

    /// Takes a permit back.
    pub fn release(&mut self, ticket: Ticket, now_ms: u64) {
        let Some(permit) = self.permits.remove(&ticket) else {
            self.foreign_running = self.foreign_running.saturating_sub(1);
            return;
        };
        self.used_ms.insert(permit.model.clone(), now_ms);
        let took_ms = now_ms.saturating_sub(permit.granted_ms);
        let average = self.service_ms.entry(permit.model).or_insert(took_ms);
        *average = (*average * AVERAGE_EIGHTHS + took_ms) / (AVERAGE_EIGHTHS + 1);
    }

    /// Forgets a waiting request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Takes back the permits of entry daemons that are gone, and overdue ones.
    pub fn lapse(&mut self, is_gone: impl Fn(&VmName) -> bool, now_ms: u64) {
        self.permits.retain(|_, permit| {
            let lapses_ms = permit.deadline_ms.saturating_add(PERMIT_GRACE_MS);
            !is_gone(&permit.entry) && now_ms < lapses_ms
        });
    }

    /// Gives up every waiting request, for another owner to serve.
    pub fn abandon(&mut self) -> Vec<Ticket> {
        self.queue.drain_if(|_| true).into_iter().map(|request| request.ticket).collect()
    }

    /// Whether a model that is on its way out can still be served.
    ///
    /// Where the endpoint ignores numbers, an idle model is unloaded by taking
    /// its placement away. Until the unload is sent, only this owner can send
    /// it, so a request that comes in time is served.
    fn serves_retiring(&self, model: &ModelName, placed: &EndpointRow, now_ms: u64) -> bool {
        let is_placed = placed.placed.contains_key(model);
        self.spec.fencing == Fencing::Ignored && is_placed && self.is_staying(model, now_ms)
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let is_heard = self.probed_ms.is_some_and(|at_ms| now_ms < at_ms + self.timing.grant_ms);
        self.is_confirmed() && is_heard && !self.leaving
    }

    fn out(&self) -> usize {
        self.permits.len() + self.foreign_running
    }

    fn service_of(&self, model: &ModelName, spec: Option<&ModelSpec>) -> u64 {
        let declared = spec.map_or(0, |spec| spec.service_ms);
        let measured = self.service_ms.get(model).copied().unwrap_or(declared);
        measured.min(declared * LONGEST_SERVICE)
    }

    fn queue_ms(&self, urgency: u8, model: &ModelSpec) -> u64 {
        let before =
            (self.queue.ahead_of(urgency) + self.out() + 1).saturating_sub(self.spec.slots);
        before as u64 * model.service_ms / self.spec.slots.max(1) as u64
    }

    fn load_left_ms(&self, model: &ModelName, load_ms: u64, now_ms: u64) -> u64 {
        match self.held.get(model) {
            Some(held) if held.phase == Phase::Ready => 0,
            Some(held) if held.phase == Phase::Loading => {
                load_ms.saturating_sub(now_ms.saturating_sub(held.since_ms))
            }
            _ => load_ms,
        }
    }

    fn expected_wait_ms(
        &self,
        request: &PermitRequest,
        model: &ModelSpec,
        forecast: Forecast,
        now_ms: u64,
    ) -> u64 {
        let load_ms = forecast.load_ms(model.load_ms);
        let begun = self.held.contains_key(&request.model);
        let ahead_ms = if begun { 0 } else { forecast.ahead_ms };
        let load_ms = ahead_ms + self.load_left_ms(&request.model, load_ms, now_ms);
        self.queue_ms(request.urgency, model).max(load_ms)
    }

    /// The shortest time in which a waiting request for the model can still be answered.
    fn shortest_ms(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        let load_ms = self.load_left_ms(model, spec.load_ms / FASTEST_LOAD, now_ms);
        load_ms + self.service_of(model, Some(spec))
    }

    fn late_answer(&self, request: &PermitRequest, catalog: &Catalog) -> PermitAnswer {
        let reason = if self.leaving {
            Refusal::Draining
        } else if self.is_confirmed() {
            Refusal::DeadlinePassed
        } else {
            Refusal::EndpointSilent
        };
        let retry_ms = catalog
            .models
            .get(&request.model)
            .map_or(0, |spec| self.queue_ms(request.urgency, spec).max(spec.load_ms / 2));
        refused(reason, retry_ms)
    }
}

fn refused(reason: Refusal, retry_after_ms: u64) -> PermitAnswer {
    let retry_after_ms = retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
    PermitAnswer::Refused { reason, retry_after_ms }
}
