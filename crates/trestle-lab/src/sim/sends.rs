//! The sends of callers' requests to engines, and how each ends.

use super::{
    engine::{Run, StepEvent},
    requests::{MAX_RECHECK_MS, Phase},
    simulation::{Event, Simulation},
};
use crate::outcome::RequestEnd;
use rand::RngExt;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::Endpoint,
    loadable::Loadable,
    selection::{self, RequestContext},
    sends::{NextSend, SendEnd},
    wait_limit,
};

impl Simulation<'_> {
    /// Sends a request to an endpoint, unless the retry budget does not allow it.
    pub(super) fn send(&mut self, request: usize, endpoint: Endpoint) {
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
    pub(super) fn release_endpoint(&mut self, request: usize) {
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

    pub(super) fn cancel(&mut self, request: usize) {
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
}
