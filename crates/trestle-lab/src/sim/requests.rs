//! Callers' requests, from the first attempt to the end.

use super::{
    engine::{Run, StepEvent},
    simulation::{Event, Simulation, adapter_name},
};
use crate::outcome::RequestEnd;
use rand::RngExt;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    admission,
    endpoint::Endpoint,
    loadable::Loadable,
    request::RequestHead,
    selection::{self, RequestContext, Selection},
    sends::{NextSend, SendEnd, Sends},
    wait_limit,
};

/// Longest interval between two endpoint selections for a waiting request.
const MAX_RECHECK_MS: u64 = 250;
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
    class: usize,
    model: usize,
    daemon: usize,
    head: RequestHead,
    /// Time at which the caller made its first attempt.
    first_attempt_us: u64,
    /// Time at which the current attempt reached a daemon.
    arrived_us: u64,
    /// Time that the caller had left when the current attempt reached the daemon.
    allowed_ms: u64,
    sends: Sends,
    /// Number of sends to engines over all attempts.
    pub(super) send: u32,
    endpoint: Option<Endpoint>,
    engine: Option<usize>,
    /// Key of the request's entry in the daemon's local demand, while it waits.
    demand_id: Option<u64>,
    /// Number of endpoint selections so far; a scheduled recheck with another number is ignored.
    selection_turn: u64,
    /// Time from the first attempt to the first event of the answer; `None` before that event.
    first_ms: Option<u64>,
    /// Whether no engine held the model when the request was made.
    was_cold: bool,
    was_sent: bool,
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
    fn withdraw_demand(&mut self, request: usize) {
        let request_state = &mut self.requests[request];
        let daemon = &mut self.daemons[request_state.daemon];
        daemon.waiting.remove(&request);
        if let Some(demand_id) = request_state.demand_id.take() {
            daemon.local_view.local_demand_for(&self.service).waiting.remove(&demand_id);
        }
    }

    fn send(&mut self, request: usize, endpoint: Endpoint) {
        self.withdraw_demand(request);
        let now_ms = self.now_ms();
        let request_state = &mut self.requests[request];
        let local_view = &mut self.daemons[request_state.daemon].local_view;
        let route = &self.routes[request_state.class];
        let next = request_state.sends.reserve_next(route, &self.service, local_view, now_ms);
        if next != NextSend::Allowed {
            return self.reject(request, MAX_RECHECK_MS);
        }
        request_state.sends.record_send(&endpoint.name);
        local_view.request_started(
            &endpoint,
            request_state.head.model.as_ref(),
            request_state.head.adapter.as_ref(),
        );
        request_state.phase = Phase::Sent;
        request_state.was_sent = true;
        request_state.send += 1;
        let (send, wait_limit_ms) = (request_state.send, wait_limit::first_event_ms(route));
        let engine = self.engines.iter().position(|engine| engine.name == endpoint.name);
        request_state.engine = engine;
        request_state.endpoint = Some(endpoint);
        self.outcome.sends += 1;
        let delay_us = self.delay_us();
        match engine {
            Some(engine) => {
                let start = self.engines[engine].start;
                let event = Event::SendArrives { request, send, engine, start };
                self.queue.push(self.now_us + delay_us, event);
            }
            None => self.queue.push(self.now_us + delay_us, Event::SendFailed { request, send }),
        }
        let timeout_us = self.now_us + wait_limit_ms * 1_000;
        self.queue.push(timeout_us, Event::FirstEventTimeout { request, send });
    }

    /// Returns whether a request is at an engine with this send.
    fn is_current_send(&self, request: usize, send: u32) -> bool {
        let request_state = &self.requests[request];
        request_state.phase == Phase::Sent && request_state.send == send
    }

    pub(super) fn send_arrived(&mut self, request: usize, send: u32, engine: usize, start: u64) {
        if !self.is_current_send(request, send) || self.is_silent(engine) {
            return;
        }
        let delay_us = self.delay_us();
        let (is_running, share) = {
            let engine_state = &self.engines[engine];
            (engine_state.start == start && engine_state.is_alive, engine_state.failure_share)
        };
        if !is_running || self.random.random::<f64>() < share {
            return self.queue.push(self.now_us + delay_us, Event::SendFailed { request, send });
        }
        let request_state = &self.requests[request];
        let class = &self.deployment.classes[request_state.class];
        let Some(model) = request_state.head.model.clone() else { return };
        let tokens = [class.shared_tokens, class.own_tokens, class.output_tokens];
        let run =
            Run::new(request, model, request_state.head.adapter.clone(), class.priority, tokens);
        match self.engines[engine].submit(run, &self.deployment.engines) {
            Ok(()) => self.begin_step(engine),
            Err(is_missing) => {
                self.outcome.refused_sends += 1;
                let event = Event::SendRejected { request, send, is_missing };
                self.queue.push(self.now_us + delay_us, event);
            }
        }
    }

    pub(super) fn begin_step(&mut self, engine: usize) {
        let spec = &self.deployment.engines;
        let start = self.engines[engine].start;
        if let Some(duration_us) = self.engines[engine].begin_step(spec, self.now_us) {
            self.queue.push(self.now_us + duration_us, Event::StepEnd { engine, start });
        }
    }

    pub(super) fn step_end(&mut self, engine: usize, start: u64) {
        if self.engines[engine].start != start || !self.engines[engine].is_alive {
            return;
        }
        let events = self.engines[engine].end_step(&self.deployment.engines, self.now_us);
        if events.iter().any(|event| matches!(event, StepEvent::Done(..))) {
            // An unload may have waited for the request that has ended.
            self.check_order(engine, start);
        }
        let is_silent = self.is_silent(engine);
        for event in events.into_iter().filter(|_| !is_silent) {
            let delay_us = self.delay_us() + self.caller_delay_us();
            match event {
                StepEvent::First(request) => {
                    let send = self.requests[request].send;
                    self.queue.push(self.now_us + delay_us, Event::AnswerBegins { request, send });
                }
                StepEvent::Done(request, gap_us) => {
                    let send = self.requests[request].send;
                    let event = Event::AnswerEnds { request, send, gap_us };
                    self.queue.push(self.now_us + delay_us + 1, event);
                }
            }
        }
        self.begin_step(engine);
    }

    /// Records in the daemon's view that a request is no longer at its endpoint.
    fn release_endpoint(&mut self, request: usize) {
        let request_state = &mut self.requests[request];
        if let Some(endpoint) = request_state.endpoint.take() {
            let local_view = &mut self.daemons[request_state.daemon].local_view;
            local_view.request_ended(
                &endpoint,
                request_state.head.model.as_ref(),
                request_state.head.adapter.as_ref(),
            );
        }
        request_state.engine = None;
    }

    fn current_endpoint(&self, request: usize) -> Option<EndpointName> {
        self.requests[request].endpoint.as_ref().map(|endpoint| endpoint.name.clone())
    }

    /// Records a send that ended without an answer, and selects another endpoint.
    fn retry_elsewhere(&mut self, request: usize, end: SendEnd) {
        let endpoint = self.current_endpoint(request);
        self.release_endpoint(request);
        let now_ms = self.now_ms();
        let request_state = &mut self.requests[request];
        let local_view = &mut self.daemons[request_state.daemon].local_view;
        if let Some(endpoint) = endpoint {
            request_state.sends.record_end(&endpoint, end, &self.service, local_view, now_ms);
        }
        request_state.phase = Phase::Waiting;
        self.select_endpoint(request);
    }

    pub(super) fn send_rejected(&mut self, request: usize, send: u32, is_missing: bool) {
        if !self.is_current_send(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        if let (true, Some(name)) = (is_missing, self.current_endpoint(request)) {
            let request_state = &self.requests[request];
            if let Some(model) = &request_state.head.model {
                let loadable = Loadable::new(model, request_state.head.adapter.as_ref());
                self.daemons[request_state.daemon]
                    .local_view
                    .records
                    .reported_missing(&name, loadable, now_ms);
            }
        }
        self.retry_elsewhere(request, SendEnd::NotRun);
    }

    pub(super) fn send_failed(&mut self, request: usize, send: u32) {
        if !self.is_current_send(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        let daemon = self.requests[request].daemon;
        if let Some(name) = self.current_endpoint(request) {
            self.daemons[daemon].local_view.records.failed(&name, now_ms);
        }
        let request_state = &self.requests[request];
        match request_state.sends.has_attempt_left(&self.routes[request_state.class]) {
            true => self.retry_elsewhere(request, SendEnd::MayHaveRun),
            false => self.finish_request(request, RequestEnd::Failed),
        }
    }

    pub(super) fn first_event_timed_out(&mut self, request: usize, send: u32) {
        if !self.is_current_send(request, send) || self.requests[request].first_ms.is_some() {
            return;
        }
        let now_ms = self.now_ms();
        let request_state = &self.requests[request];
        let route = &self.routes[request_state.class];
        let context = RequestContext {
            route,
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
        let local_view = &mut self.daemons[request_state.daemon].local_view;
        let can_move = request_state.sends.has_attempt_left(route)
            && selection::has_alternative(local_view, context, &request_state.sends, now_ms);
        if !can_move {
            let next_timeout_us = self.now_us + wait_limit::first_event_ms(route) * 1_000;
            return self.queue.push(next_timeout_us, Event::FirstEventTimeout { request, send });
        }
        if let Some(name) = self.current_endpoint(request) {
            self.daemons[self.requests[request].daemon].local_view.records.failed(&name, now_ms);
        }
        self.cancel(request);
        self.retry_elsewhere(request, SendEnd::TimedOut);
    }

    fn cancel(&mut self, request: usize) {
        if let Some(engine) = self.requests[request].engine {
            self.engines[engine].cancel(request);
            self.check_order(engine, self.engines[engine].start);
        }
    }

    pub(super) fn answer_began(&mut self, request: usize, send: u32) {
        if !self.is_current_send(request, send) {
            return;
        }
        let request_state = &mut self.requests[request];
        request_state
            .first_ms
            .get_or_insert((self.now_us - request_state.first_attempt_us) / 1_000);
    }

    pub(super) fn answer_ended(&mut self, request: usize, send: u32, gap_us: u64) {
        if !self.is_current_send(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(name) = self.current_endpoint(request) {
            let daemon = self.requests[request].daemon;
            self.daemons[daemon].local_view.records.succeeded(&name, now_ms);
        }
        let request_state = &self.requests[request];
        let class = &self.deployment.classes[request_state.class];
        let is_on_time =
            request_state.first_ms.is_some_and(|first_ms| first_ms <= class.objective_ms)
                && gap_us <= class.pause_ms * 1_000;
        self.finish_request(
            request,
            if is_on_time { RequestEnd::OnTime } else { RequestEnd::Late },
        );
    }

    fn reject(&mut self, request: usize, retry_after_ms: u64) {
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

    fn finish_request(&mut self, request: usize, end: RequestEnd) {
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
