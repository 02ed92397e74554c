//! Callers' requests, from the first try to the end.

use super::{
    engine::{Made, Run},
    world::{Event, World, adapter_name},
};
use crate::outcome::End;
use rand::RngExt;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    admission,
    endpoint::Endpoint,
    loadable::Loadable,
    request::RequestHead,
    selection::{self, RequestContext, Selection},
    sends::{SendEnd, Sends},
    wait_limit,
};

/// Longest time without a look while a request waits.
const LOOK_MS: u64 = 250;
/// Part of its remaining time after which a refused caller comes back at the latest.
const COME_BACK_PART: u64 = 3;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// On its way to a daemon, or its caller stays away for a while.
    Away,
    /// At a daemon, waiting.
    Waiting,
    /// At an engine.
    Sent,
    /// Over.
    Ended,
}

/// One caller's request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) state: State,
    pub(super) attempt: u32,
    class: usize,
    model: usize,
    daemon: usize,
    head: RequestHead,
    first_try_us: u64,
    arrived_us: u64,
    allowed_ms: u64,
    sends: Sends,
    pub(super) send: u32,
    endpoint: Option<Endpoint>,
    engine: Option<usize>,
    wish: Option<u64>,
    look_turn: u64,
    first_ms: Option<u64>,
    was_cold: bool,
    was_sent: bool,
}

impl Request {
    /// Whether a daemon has it now.
    pub(super) fn is_at_daemon(&self, daemon: usize) -> bool {
        self.daemon == daemon && matches!(self.state, State::Waiting | State::Sent)
    }
}

impl World<'_> {
    pub(super) fn arrive(&mut self, number: usize) {
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
        self.served.entry(model).or_insert((0, false)).0 += 1;
        let held = |engine: &super::engine::Engine| engine.held.contains_key(&self.names[model]);
        let was_cold = !self.engines.iter().any(held);
        self.requests.push(Request {
            state: State::Away,
            attempt: 0,
            class,
            model,
            daemon: 0,
            head,
            first_try_us: self.now_us,
            arrived_us: self.now_us,
            allowed_ms: 0,
            sends: Sends::default(),
            send: 0,
            endpoint: None,
            engine: None,
            wish: None,
            look_turn: 0,
            first_ms: None,
            was_cold,
            was_sent: false,
        });
        let way_us = self.caller_way_us();
        let request = self.requests.len() - 1;
        self.queue.push(self.now_us + way_us, Event::Try(request));
    }

    pub(super) fn begin_try(&mut self, request: usize) {
        let Some(daemon) = self.draw_daemon() else { return self.leave(request) };
        let now_us = self.now_us;
        let now_ms = self.now_ms();
        let of = &mut self.requests[request];
        let route = &self.routes[of.class];
        let past_ms = (now_us - of.first_try_us) / 1_000;
        of.daemon = daemon;
        of.attempt += 1;
        of.arrived_us = now_us;
        of.allowed_ms = route.timeout_ms.saturating_sub(past_ms);
        of.sends = Sends::default();
        of.state = State::Waiting;
        let stays_ms = admission::caller_timeout_ms(route, of.allowed_ms);
        let attempt = of.attempt;
        self.queue.push(now_us + stays_ms * 1_000, Event::Leave(request, attempt));
        let local_view = &mut self.daemons[daemon].local_view;
        local_view.request_arrived(&self.service, now_ms);
        if let Some(model) = &of.head.model {
            local_view.model_request_arrived(&self.service, model, now_ms);
        }
        self.look(request);
    }

    pub(super) fn look_again(&mut self, request: usize, turn: u64) {
        let of = &self.requests[request];
        if of.state == State::Waiting && of.look_turn == turn {
            self.look(request);
        }
    }

    /// Looks what becomes of a request that is at its daemon.
    pub(super) fn look(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let lot = self.lot();
        let of = &mut self.requests[request];
        of.look_turn += 1;
        let elapsed_ms = (self.now_us - of.arrived_us) / 1_000;
        let asking = RequestContext {
            route: &self.routes[of.class],
            service: &self.service,
            head: &of.head,
            allowed_ms: of.allowed_ms,
            elapsed_ms,
            demand_id: of.wish,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        };
        let local_view = &mut self.daemons[of.daemon].local_view;
        match selection::select(local_view, asking, &of.sends, lot, now_ms) {
            Selection::Send(endpoint) => self.send(request, endpoint),
            Selection::Wait { until_ms } => self.wait(request, until_ms, elapsed_ms),
            Selection::RequestTrial => unreachable!("engines here do not end under requests"),
            Selection::ChargeQuota => unreachable!("teams here have no limits"),
            Selection::RequestSendPermit(_) | Selection::Throttled(_) => {
                unreachable!("engines here name no limits")
            }
            Selection::Refuse { retry_after_ms, .. } => self.refuse(request, retry_after_ms),
        }
    }

    fn wait(&mut self, request: usize, until_ms: u64, elapsed_ms: u64) {
        if self.requests[request].wish.is_none() {
            self.make_wish(request);
        }
        let wait_ms = until_ms.saturating_sub(elapsed_ms).clamp(1, LOOK_MS);
        let turn = self.requests[request].look_turn;
        self.queue.push(self.now_us + wait_ms * 1_000, Event::Look(request, turn));
    }

    fn make_wish(&mut self, request: usize) {
        let of = &mut self.requests[request];
        let daemon = &mut self.daemons[of.daemon];
        let due_ms = of.arrived_us / 1_000 + self.routes[of.class].objective_ms;
        let asking = RequestContext {
            route: &self.routes[of.class],
            service: &self.service,
            head: &of.head,
            allowed_ms: of.allowed_ms,
            elapsed_ms: 0,
            demand_id: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        };
        let Some(wish) = selection::pending_demand(asking, due_ms) else { return };
        daemon.next_number += 1;
        of.wish = Some(daemon.next_number);
        daemon.local_view.local_demand_for(&self.service).waiting.insert(daemon.next_number, wish);
        daemon.waiting.insert(request);
        let number = of.daemon;
        self.hurry_sync(number);
    }

    fn drop_wish(&mut self, request: usize) {
        let of = &mut self.requests[request];
        let daemon = &mut self.daemons[of.daemon];
        daemon.waiting.remove(&request);
        if let Some(number) = of.wish.take() {
            daemon.local_view.local_demand_for(&self.service).waiting.remove(&number);
        }
    }

    fn send(&mut self, request: usize, endpoint: Endpoint) {
        self.drop_wish(request);
        let now_ms = self.now_ms();
        let of = &mut self.requests[request];
        let local_view = &mut self.daemons[of.daemon].local_view;
        let route = &self.routes[of.class];
        if !of.sends.reserve_next(route, &self.service, local_view, now_ms) {
            return self.refuse(request, LOOK_MS);
        }
        of.sends.record_send(&endpoint.name);
        local_view.request_started(&endpoint, of.head.model.as_ref(), of.head.adapter.as_ref());
        of.state = State::Sent;
        of.was_sent = true;
        of.send += 1;
        let (send, patience_ms) = (of.send, wait_limit::first_event_ms(route));
        let engine = self.engines.iter().position(|engine| engine.name == endpoint.name);
        of.engine = engine;
        of.endpoint = Some(endpoint);
        self.outcome.sends += 1;
        let way_us = self.way_us();
        match engine {
            Some(engine) => {
                let start = self.engines[engine].start;
                let event = Event::AtEngine { request, send, engine, start };
                self.queue.push(self.now_us + way_us, event);
            }
            None => self.queue.push(self.now_us + way_us, Event::Broke { request, send }),
        }
        let impatient_us = self.now_us + patience_ms * 1_000;
        self.queue.push(impatient_us, Event::Impatient { request, send });
    }

    fn is_at(&self, request: usize, send: u32) -> bool {
        let of = &self.requests[request];
        of.state == State::Sent && of.send == send
    }

    pub(super) fn reach_engine(&mut self, request: usize, send: u32, engine: usize, start: u64) {
        if !self.is_at(request, send) || self.is_silent(engine) {
            return;
        }
        let way_us = self.way_us();
        let (is_here, share) = {
            let at = &self.engines[engine];
            (at.start == start && at.is_alive, at.failing_share)
        };
        if !is_here || self.random.random::<f64>() < share {
            return self.queue.push(self.now_us + way_us, Event::Broke { request, send });
        }
        let of = &self.requests[request];
        let class = &self.deployment.classes[of.class];
        let Some(model) = of.head.model.clone() else { return };
        let tokens = [class.shared_tokens, class.own_tokens, class.output_tokens];
        let run = Run::new(request, model, of.head.adapter.clone(), class.priority, tokens);
        match self.engines[engine].submit(run, &self.deployment.engines) {
            Ok(()) => self.begin_step(engine),
            Err(has_not) => {
                self.outcome.refused_sends += 1;
                let event = Event::EngineRefused { request, send, has_not };
                self.queue.push(self.now_us + way_us, event);
            }
        }
    }

    pub(super) fn begin_step(&mut self, engine: usize) {
        let spec = &self.deployment.engines;
        let start = self.engines[engine].start;
        if let Some(takes_us) = self.engines[engine].begin_step(spec, self.now_us) {
            self.queue.push(self.now_us + takes_us, Event::StepEnd { engine, start });
        }
    }

    pub(super) fn step_end(&mut self, engine: usize, start: u64) {
        if self.engines[engine].start != start || !self.engines[engine].is_alive {
            return;
        }
        let made = self.engines[engine].end_step(&self.deployment.engines, self.now_us);
        if made.iter().any(|made| matches!(made, Made::Done(..))) {
            // An unload may have waited for the run that has ended.
            self.look_at_order(engine, start);
        }
        let is_silent = self.is_silent(engine);
        for made in made.into_iter().filter(|_| !is_silent) {
            let way_us = self.way_us() + self.caller_way_us();
            match made {
                Made::First(request) => {
                    let send = self.requests[request].send;
                    self.queue.push(self.now_us + way_us, Event::First { request, send });
                }
                Made::Done(request, gap_us) => {
                    let send = self.requests[request].send;
                    let event = Event::Done { request, send, gap_us };
                    self.queue.push(self.now_us + way_us + 1, event);
                }
            }
        }
        self.begin_step(engine);
    }

    /// Takes a request back from its engine, however the send ended.
    fn end_send(&mut self, request: usize) {
        let of = &mut self.requests[request];
        if let Some(endpoint) = of.endpoint.take() {
            let local_view = &mut self.daemons[of.daemon].local_view;
            local_view.request_ended(&endpoint, of.head.model.as_ref(), of.head.adapter.as_ref());
        }
        of.engine = None;
    }

    fn last_endpoint(&self, request: usize) -> Option<EndpointName> {
        self.requests[request].endpoint.as_ref().map(|endpoint| endpoint.name.clone())
    }

    /// Looks for another endpoint after a send that brought nothing.
    fn send_failed(&mut self, request: usize, end: SendEnd) {
        self.end_send(request);
        let now_ms = self.now_ms();
        let of = &mut self.requests[request];
        of.sends.record_end(end, now_ms);
        of.state = State::Waiting;
        self.look(request);
    }

    pub(super) fn engine_refused(&mut self, request: usize, send: u32, has_not: bool) {
        if !self.is_at(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        if let (true, Some(name)) = (has_not, self.last_endpoint(request)) {
            let of = &self.requests[request];
            if let Some(model) = &of.head.model {
                let loadable = Loadable::new(model, of.head.adapter.as_ref());
                self.daemons[of.daemon]
                    .local_view
                    .records
                    .reported_missing(&name, loadable, now_ms);
            }
        }
        self.send_failed(request, SendEnd::NotRun);
    }

    pub(super) fn broke(&mut self, request: usize, send: u32) {
        if !self.is_at(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        let daemon = self.requests[request].daemon;
        if let Some(name) = self.last_endpoint(request) {
            self.daemons[daemon].local_view.records.failed(&name, now_ms);
        }
        let of = &self.requests[request];
        match of.sends.has_attempt_left(&self.routes[of.class]) {
            true => self.send_failed(request, SendEnd::MayHaveRun),
            false => self.end(request, End::Failed),
        }
    }

    pub(super) fn impatient(&mut self, request: usize, send: u32) {
        if !self.is_at(request, send) || self.requests[request].first_ms.is_some() {
            return;
        }
        let now_ms = self.now_ms();
        let of = &self.requests[request];
        let route = &self.routes[of.class];
        let asking = RequestContext {
            route,
            service: &self.service,
            head: &of.head,
            allowed_ms: of.allowed_ms,
            elapsed_ms: (self.now_us - of.arrived_us) / 1_000,
            demand_id: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        };
        let local_view = &mut self.daemons[of.daemon].local_view;
        let moves = of.sends.has_attempt_left(route)
            && selection::has_alternative(local_view, asking, &of.sends, now_ms);
        if !moves {
            let again_us = self.now_us + wait_limit::first_event_ms(route) * 1_000;
            return self.queue.push(again_us, Event::Impatient { request, send });
        }
        if let Some(name) = self.last_endpoint(request) {
            self.daemons[self.requests[request].daemon].local_view.records.failed(&name, now_ms);
        }
        self.cancel(request);
        self.send_failed(request, SendEnd::TimedOut);
    }

    fn cancel(&mut self, request: usize) {
        if let Some(engine) = self.requests[request].engine {
            self.engines[engine].cancel(request);
            self.look_at_order(engine, self.engines[engine].start);
        }
    }

    pub(super) fn first_event(&mut self, request: usize, send: u32) {
        if !self.is_at(request, send) {
            return;
        }
        let of = &mut self.requests[request];
        of.first_ms.get_or_insert((self.now_us - of.first_try_us) / 1_000);
    }

    pub(super) fn done(&mut self, request: usize, send: u32, gap_us: u64) {
        if !self.is_at(request, send) {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(name) = self.last_endpoint(request) {
            let daemon = self.requests[request].daemon;
            self.daemons[daemon].local_view.records.succeeded(&name, now_ms);
        }
        let of = &self.requests[request];
        let class = &self.deployment.classes[of.class];
        let is_on_time = of.first_ms.is_some_and(|first_ms| first_ms <= class.objective_ms)
            && gap_us <= class.pause_ms * 1_000;
        self.end(request, if is_on_time { End::OnTime } else { End::Late });
    }

    fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        self.drop_wish(request);
        let now_ms = self.now_ms();
        let of = &mut self.requests[request];
        let asking = RequestContext {
            route: &self.routes[of.class],
            service: &self.service,
            head: &of.head,
            allowed_ms: of.allowed_ms,
            elapsed_ms: (self.now_us - of.arrived_us) / 1_000,
            demand_id: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        };
        let daemon = &mut self.daemons[of.daemon];
        let wish = selection::returning_demand(self.policy, asking, retry_after_ms, now_ms);
        if let Some(wish) = wish {
            daemon.next_number += 1;
            daemon
                .local_view
                .local_demand_for(&self.service)
                .returning
                .insert(daemon.next_number, wish);
        }
        let number = of.daemon;
        let class = &self.deployment.classes[of.class];
        let past_ms = (self.now_us - of.first_try_us) / 1_000;
        let left_ms = class.deadline_ms.saturating_sub(past_ms);
        of.state = State::Away;
        if of.attempt > class.retries || left_ms == 0 {
            if of.attempt > 1 {
                let name = class.name.clone();
                self.outcome.refused_again(&name);
            }
            return self.end(request, End::Refused);
        }
        let pause_ms = retry_after_ms.min(left_ms / COME_BACK_PART);
        let ways_us = 2 * self.caller_way_us();
        self.queue.push(self.now_us + pause_ms * 1_000 + ways_us, Event::Try(request));
        self.hurry_sync(number);
    }

    /// A caller gives up on a stream without events; one that was refused comes back all the same.
    pub(super) fn leave(&mut self, request: usize) {
        let of = &self.requests[request];
        let has_events = of.state == State::Sent && of.first_ms.is_some();
        if has_events || matches!(of.state, State::Ended | State::Away) {
            return;
        }
        self.cancel(request);
        self.end(request, End::Left);
    }

    fn end(&mut self, request: usize, end: End) {
        self.drop_wish(request);
        self.end_send(request);
        let of = &mut self.requests[request];
        of.state = State::Ended;
        let class = &self.deployment.classes[of.class];
        let is_served = matches!(end, End::OnTime | End::Late);
        let held_ms = (self.now_us - of.arrived_us) as f64 / 1e3;
        let is_in_vain = end == End::Left && !of.was_sent;
        let held_part = held_ms / class.deadline_ms as f64 * f64::from(u8::from(is_in_vain));
        let cold_ms = of.first_ms.filter(|_| is_served).unwrap_or(class.deadline_ms);
        if of.was_cold {
            // Histograms grow as needed; only values past any day's length fail.
            let _ = self.outcome.cold_ms.record(cold_ms);
        }
        if is_served {
            self.served.entry(of.model).or_insert((0, false)).1 = true;
        }
        let first_ms = of.first_ms.filter(|_| is_served);
        self.outcome.ended(&class.name, end, first_ms, held_part);
    }
}
