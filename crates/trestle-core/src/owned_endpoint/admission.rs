//! Admission of permit requests at an owned endpoint: queueing, granting and refusing.

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

/// Maximum number of requests of one tenant that may wait at one endpoint.
const MAX_WAITING_PER_TENANT: usize = 256;
/// Bounds of the retry delay that a refusal names.
const RETRY_AFTER_MS: RangeInclusive<u64> = 200..=60_000;
/// Weight of the previous average in a new one, in eighths.
const OLD_AVERAGE_EIGHTHS: u64 = 7;
/// Upper bound of the expected run time of a request, as a multiple of the declared one.
///
/// Without a bound, a few long requests could cause all others to be refused, and no shorter
/// request would be measured any more.
const MAX_SERVICE_FACTOR: u64 = 2;
/// Time between the deadline of a request and the expiry of its permit.
const PERMIT_GRACE_MS: u64 = 1_000;
/// Divisor for the safety margin: the expected wait for other requests, divided by this, is added
/// to the expected time, so that admitted requests end in time.
const QUEUE_MARGIN_DIVISOR: u64 = 4;
/// Upper bound of how many times faster than declared a load may be.
const MAX_LOAD_SPEEDUP: u64 = 4;

impl OwnedEndpoint {
    /// Admits a permit request to the queue and returns `None`, or returns the answer if the
    /// request cannot wait.
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
        if self.draining {
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
        let margin_ms = self.queue_ms(request.urgency, model) / QUEUE_MARGIN_DIVISOR;
        let end_ms =
            now_ms + wait_ms + margin_ms + self.expected_service_ms(&request.model, Some(model));
        if end_ms > request.deadline_ms {
            return Some(refused(Refusal::DeadlineTooClose, end_ms - request.deadline_ms));
        }
        request.cold = !is_loaded;
        self.record_gap(&request.model, model.load_ms, now_ms);
        self.requested_in_bin.insert(request.model.clone());
        self.last_used_ms.insert(request.model.clone(), now_ms);
        self.queue.push(request);
        None
    }

    /// Grants every permit that can be granted now and returns the answers.
    pub fn grant(&mut self, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let mut granted = Vec::new();
        while self.may_grant(now_ms) && self.slots_in_use() < self.spec.slots {
            let resident = &self.resident;
            let Some(request) = self.queue.pop(|model| is_ready(resident, model)) else { break };
            granted.push((request.ticket, PermitAnswer::Granted { cold: request.cold }));
            self.last_used_ms.insert(request.model.clone(), now_ms);
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

    /// Refuses every waiting request that can no longer be served by its deadline and returns the
    /// answers.
    pub fn refuse_late(&mut self, catalog: &Catalog, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let shortest: BTreeMap<ModelName, u64> = self
            .queue
            .requested_models()
            .into_iter()
            .map(|model| (model.clone(), self.shortest_ms(model, catalog, now_ms)))
            .collect();
        let draining = self.draining;
        let is_late = |request: &PermitRequest| {
            draining
                || now_ms + shortest.get(&request.model).copied().unwrap_or(0) > request.deadline_ms
        };
        let late = self.queue.drain_if(is_late);
        late.into_iter()
            .map(|request| (request.ticket, self.late_answer(&request, catalog)))
            .collect()
    }

    /// Takes back the permit of a ticket; if this owner granted none, a permit of an earlier owner
    /// counts as given back.
    pub fn release(&mut self, ticket: Ticket, now_ms: u64) {
        let Some(permit) = self.permits.remove(&ticket) else {
            self.inherited_running = self.inherited_running.saturating_sub(1);
            return;
        };
        self.last_used_ms.insert(permit.model.clone(), now_ms);
        let took_ms = now_ms.saturating_sub(permit.granted_ms);
        let average = self.average_service_ms.entry(permit.model).or_insert(took_ms);
        *average = (*average * OLD_AVERAGE_EIGHTHS + took_ms) / (OLD_AVERAGE_EIGHTHS + 1);
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Removes the permits of entry daemons whose VMs are gone, and overdue permits.
    pub fn expire_permits(&mut self, is_gone: impl Fn(&VmName) -> bool, now_ms: u64) {
        self.permits.retain(|_, permit| {
            let expires_ms = permit.deadline_ms.saturating_add(PERMIT_GRACE_MS);
            !is_gone(&permit.entry) && now_ms < expires_ms
        });
    }

    /// Empties the queue and returns its tickets, so that another owner can serve the requests.
    pub fn drain_queue(&mut self) -> Vec<Ticket> {
        self.queue.drain_if(|_| true).into_iter().map(|request| request.ticket).collect()
    }

    /// Returns whether a model whose placement is retiring can still be served.
    ///
    /// At an endpoint that ignores fencing numbers, an idle model is unloaded by retiring its
    /// placement. Only this owner can send the unload order, so a request that comes before it is
    /// served.
    fn serves_retiring(&self, model: &ModelName, placed: &EndpointRow, now_ms: u64) -> bool {
        let is_placed = placed.placed.contains_key(model);
        self.spec.fencing == Fencing::Ignored && is_placed && self.stays_loaded(model, now_ms)
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let is_recent =
            self.accepted_sent_ms.is_some_and(|at_ms| now_ms < at_ms + self.timing.grant_ms);
        self.is_confirmed() && is_recent && !self.draining
    }

    fn slots_in_use(&self) -> usize {
        self.permits.len() + self.inherited_running
    }

    fn expected_service_ms(&self, model: &ModelName, spec: Option<&ModelSpec>) -> u64 {
        let declared = spec.map_or(0, |spec| spec.service_ms);
        let measured = self.average_service_ms.get(model).copied().unwrap_or(declared);
        measured.min(declared * MAX_SERVICE_FACTOR)
    }

    fn queue_ms(&self, urgency: u8, model: &ModelSpec) -> u64 {
        let ahead = (self.queue.ahead_of(urgency) + self.slots_in_use() + 1)
            .saturating_sub(self.spec.slots);
        ahead as u64 * model.service_ms / self.spec.slots.max(1) as u64
    }

    fn remaining_load_ms(&self, model: &ModelName, load_ms: u64, now_ms: u64) -> u64 {
        match self.resident.get(model) {
            Some(resident) if resident.phase == Phase::Ready => 0,
            Some(resident) if resident.phase == Phase::Loading => {
                load_ms.saturating_sub(now_ms.saturating_sub(resident.since_ms))
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
        let has_begun = self.resident.contains_key(&request.model);
        let ahead_ms = if has_begun { 0 } else { forecast.ahead_ms };
        let load_ms = ahead_ms + self.remaining_load_ms(&request.model, load_ms, now_ms);
        self.queue_ms(request.urgency, model).max(load_ms)
    }

    /// Returns the shortest time in which a waiting request for the model can still be answered.
    fn shortest_ms(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        let load_ms = self.remaining_load_ms(model, spec.load_ms / MAX_LOAD_SPEEDUP, now_ms);
        load_ms + self.expected_service_ms(model, Some(spec))
    }

    fn late_answer(&self, request: &PermitRequest, catalog: &Catalog) -> PermitAnswer {
        let reason = if self.draining {
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
