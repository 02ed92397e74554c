//! Callers' requests, from the first attempt to the end, but for their sends.

use super::simulation::{Event, Simulation, adapter_name};
use crate::outcome::RequestEnd;
use trestle_dispatch::{
    admission,
    endpoint::Endpoint,
    request::RequestHead,
    selection::{self, RequestContext, Selection},
    sends::Sends,
};

/// Longest interval between two endpoint selections for a waiting request.
pub(super) const MAX_RECHECK_MS: u64 = 250;
/// A rejected caller retries after at most its remaining time divided by this number.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// The phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request is on its way to a daemon, or its caller waits before a retry.
    AtCaller,
    /// The request waits at a daemon.
    Waiting,
    /// The request was sent to an engine.
    Sent,
    /// The request has ended.
    Finished,
}

/// The state of one caller's request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) phase: Phase,
    /// Number of attempts that the caller has made; each may be sent to several engines.
    pub(super) attempt: u32,
    pub(super) class: usize,
    pub(super) model: usize,
    pub(super) daemon: usize,
    pub(super) head: RequestHead,
    /// Time at which the caller made its first attempt.
    pub(super) first_attempt_us: u64,
    /// Time at which the current attempt reached a daemon.
    pub(super) arrived_us: u64,
    /// Time that the caller had left when the current attempt reached the daemon.
    pub(super) allowed_ms: u64,
    pub(super) sends: Sends,
    /// Number of sends to engines over all attempts.
    pub(super) send: u32,
    pub(super) endpoint: Option<Endpoint>,
    pub(super) engine: Option<usize>,
    /// Key of the request's entry in the daemon's local demand, while it waits.
    demand_id: Option<u64>,
    /// Number of endpoint selections so far; a scheduled recheck with another number is ignored.
    selection_turn: u64,
    /// Time from the first attempt to the first event of the answer; `None` before that event.
    pub(super) first_ms: Option<u64>,
    /// Whether no engine held the model when the request was made.
    was_cold: bool,
    pub(super) was_sent: bool,
}

impl Request {
    /// Returns whether the request is at this daemon, waiting or sent to an engine.
    pub(super) fn is_at_daemon(&self, daemon: usize) -> bool {
        self.daemon == daemon && matches!(self.phase, Phase::Waiting | Phase::Sent)
    }
}

impl Simulation<'_> {
    pub(super) fn caller_arrived(&mut self, number: usize) {
        let arrival = &self.arrivals[number];
        let class = self.deployment.classes.iter().position(|class| class.name == arrival.class);
        let Some(class) = class else { return };
        if arrival.model >= self.names.len() {
            return;
        }
        let head = RequestHead {
            id: format!("r{number}"),
            deadline_ms: Some(self.deployment.classes[class].deadline_ms),
            model: Some(self.names[arrival.model].clone()),
            adapter: arrival.adapter.map(adapter_name),
            ..RequestHead::default()
        };
        let model = arrival.model;
        self.model_requests.entry(model).or_insert((0, false)).0 += 1;
        let holds_model =
            |engine: &super::engine::Engine| engine.held.contains_key(&self.names[model]);
        let was_cold = !self.engines.iter().any(holds_model);
        self.requests.push(Request {
            phase: Phase::AtCaller,
            attempt: 0,
            class,
            model,
            daemon: 0,
            head,
            first_attempt_us: self.now_us,
            arrived_us: self.now_us,
            allowed_ms: 0,
            sends: Sends::default(),
            send: 0,
            endpoint: None,
            engine: None,
            demand_id: None,
            selection_turn: 0,
            first_ms: None,
            was_cold,
            was_sent: false,
        });
        let delay_us = self.caller_delay_us();
        let request = self.requests.len() - 1;
        self.queue.push(self.now_us + delay_us, Event::CallerAttempt(request));
    }

    pub(super) fn begin_attempt(&mut self, request: usize) {
        let Some(daemon) = self.draw_daemon() else { return self.caller_left(request) };
        let now_us = self.now_us;
        let now_ms = self.now_ms();
        let request_state = &mut self.requests[request];
        let route = &self.routes[request_state.class];
        let since_first_ms = (now_us - request_state.first_attempt_us) / 1_000;
        request_state.daemon = daemon;
        request_state.attempt += 1;
        request_state.arrived_us = now_us;
        request_state.allowed_ms = route.timeout_ms.saturating_sub(since_first_ms);
        request_state.sends = Sends::default();
        request_state.phase = Phase::Waiting;
        let caller_timeout_ms = admission::caller_timeout_ms(route, request_state.allowed_ms);
        let attempt = request_state.attempt;
        self.queue.push(now_us + caller_timeout_ms * 1_000, Event::CallerLeaves(request, attempt));
        let local_view = &mut self.daemons[daemon].local_view;
        local_view.retry_budgets.request_arrived(&self.service, now_ms);
        if let Some(model) = &request_state.head.model {
            local_view.model_request_arrived(&self.service, model, now_ms);
        }
        self.select_endpoint(request);
    }

    pub(super) fn recheck(&mut self, request: usize, turn: u64) {
        let request_state = &self.requests[request];
        if request_state.phase == Phase::Waiting && request_state.selection_turn == turn {
            self.select_endpoint(request);
        }
    }

    /// Decides by the daemon's functions whether a request is sent, waits or is rejected.
    pub(super) fn select_endpoint(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let random = self.random_u64();
        let request_state = &mut self.requests[request];
        request_state.selection_turn += 1;
        let elapsed_ms = (self.now_us - request_state.arrived_us) / 1_000;
        let context = RequestContext {
            route: &self.routes[request_state.class],
            service: &self.service,
            head: &request_state.head,
            allowed_ms: request_state.allowed_ms,
            elapsed_ms,
            demand_id: request_state.demand_id,
            version: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
            assignment: None,
            is_unscheduled: false,
        };
        let local_view = &mut self.daemons[request_state.daemon].local_view;
        match selection::select(local_view, context, &request_state.sends, random, now_ms) {
            Selection::Send(endpoint) => self.send(request, endpoint),
            Selection::Wait { until_ms } => self.wait(request, until_ms, elapsed_ms),
            Selection::CheckEndpoint(_) | Selection::RequestTrial => {
                unreachable!("simulated engines never crash under requests")
            }
            Selection::Schedule(_) => unreachable!("simulated requests report no size"),
            Selection::ChargeQuota => unreachable!("simulated teams have no limits"),
            Selection::RequestSendPermit(_)
            | Selection::RequestSlot(_)
            | Selection::Throttled(_) => {
                unreachable!("simulated engines announce no limits")
            }
            Selection::Refuse { retry_after_ms, .. } => self.reject(request, retry_after_ms),
        }
    }

    fn wait(&mut self, request: usize, until_ms: u64, elapsed_ms: u64) {
        if self.requests[request].demand_id.is_none() {
            self.register_demand(request);
        }
        let wait_ms = until_ms.saturating_sub(elapsed_ms).clamp(1, MAX_RECHECK_MS);
        let turn = self.requests[request].selection_turn;
        self.queue.push(self.now_us + wait_ms * 1_000, Event::Recheck(request, turn));
    }

    /// Adds a waiting request to the daemon's local demand, and schedules an early report.
    fn register_demand(&mut self, request: usize) {
        let request_state = &mut self.requests[request];
        let daemon = &mut self.daemons[request_state.daemon];
        let due_ms =
            request_state.arrived_us / 1_000 + self.routes[request_state.class].objective_ms;
        let context = RequestContext {
            route: &self.routes[request_state.class],
            service: &self.service,
            head: &request_state.head,
            allowed_ms: request_state.allowed_ms,
            elapsed_ms: 0,
            demand_id: None,
            version: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
            assignment: None,
            is_unscheduled: false,
        };
        let Some(pending_demand) = selection::pending_demand(context, due_ms) else { return };
        daemon.next_demand_id += 1;
        request_state.demand_id = Some(daemon.next_demand_id);
        daemon
            .local_view
            .local_demand_for(&self.service)
            .waiting
            .insert(daemon.next_demand_id, pending_demand);
        daemon.waiting.insert(request);
        let number = request_state.daemon;
        self.expedite_sync(number);
    }

    /// Removes a request from the daemon's local demand.
    pub(super) fn withdraw_demand(&mut self, request: usize) {
        let request_state = &mut self.requests[request];
        let daemon = &mut self.daemons[request_state.daemon];
        daemon.waiting.remove(&request);
        if let Some(demand_id) = request_state.demand_id.take() {
            daemon.local_view.local_demand_for(&self.service).waiting.remove(&demand_id);
        }
    }

    pub(super) fn reject(&mut self, request: usize, retry_after_ms: u64) {
        self.withdraw_demand(request);
        let now_ms = self.now_ms();
        let request_state = &mut self.requests[request];
        let context = RequestContext {
            route: &self.routes[request_state.class],
            service: &self.service,
            head: &request_state.head,
            allowed_ms: request_state.allowed_ms,
            elapsed_ms: (self.now_us - request_state.arrived_us) / 1_000,
            demand_id: None,
            version: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
            assignment: None,
            is_unscheduled: false,
        };
        let daemon = &mut self.daemons[request_state.daemon];
        let pending_demand =
            selection::returning_demand(self.policy, context, retry_after_ms, now_ms);
        if let Some(pending_demand) = pending_demand {
            daemon.next_demand_id += 1;
            daemon
                .local_view
                .local_demand_for(&self.service)
                .returning
                .insert(daemon.next_demand_id, pending_demand);
        }
        let number = request_state.daemon;
        let class = &self.deployment.classes[request_state.class];
        let since_first_ms = (self.now_us - request_state.first_attempt_us) / 1_000;
        let remaining_ms = class.deadline_ms.saturating_sub(since_first_ms);
        request_state.phase = Phase::AtCaller;
        if request_state.attempt > class.retries || remaining_ms == 0 {
            if request_state.attempt > 1 {
                let name = class.name.clone();
                self.outcome.record_repeated_refusal(&name);
            }
            return self.finish_request(request, RequestEnd::Refused);
        }
        let retry_delay_ms = retry_after_ms.min(remaining_ms / RETRY_DELAY_DIVISOR);
        let round_trip_us = 2 * self.caller_delay_us();
        self.queue.push(
            self.now_us + retry_delay_ms * 1_000 + round_trip_us,
            Event::CallerAttempt(request),
        );
        self.expedite_sync(number);
    }

    /// Ends a request whose caller leaves. A stream that has begun continues, and a caller that
    /// was rejected still retries.
    pub(super) fn caller_left(&mut self, request: usize) {
        let request_state = &self.requests[request];
        let is_streaming = request_state.phase == Phase::Sent && request_state.first_ms.is_some();
        if is_streaming || matches!(request_state.phase, Phase::Finished | Phase::AtCaller) {
            return;
        }
        self.cancel(request);
        self.finish_request(request, RequestEnd::Left);
    }

    pub(super) fn finish_request(&mut self, request: usize, end: RequestEnd) {
        self.withdraw_demand(request);
        self.release_endpoint(request);
        let request_state = &mut self.requests[request];
        request_state.phase = Phase::Finished;
        let class = &self.deployment.classes[request_state.class];
        let is_served = matches!(end, RequestEnd::OnTime | RequestEnd::Late);
        let held_ms = (self.now_us - request_state.arrived_us) as f64 / 1e3;
        let left_unsent = end == RequestEnd::Left && !request_state.was_sent;
        let wasted_share = held_ms / class.deadline_ms as f64 * f64::from(u8::from(left_unsent));
        let cold_ms = request_state.first_ms.filter(|_| is_served).unwrap_or(class.deadline_ms);
        if request_state.was_cold {
            // Recording fails only for values beyond the length of any run.
            let _ = self.outcome.cold_ms.record(cold_ms);
        }
        if is_served {
            self.model_requests.entry(request_state.model).or_insert((0, false)).1 = true;
        }
        let first_ms = request_state.first_ms.filter(|_| is_served);
        self.outcome.record_end(&class.name, end, first_ms, wasted_share);
    }
}
