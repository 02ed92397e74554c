//! The state of a simulated deployment, and the loop over its events.

use super::{
    Workload,
    engine::{Engine, LoadSource},
    leader::Leader,
    queue::Queue,
    requests::{Phase, Request},
    workload,
};
use crate::{
    deployment::{Deployment, Fault},
    outcome::Outcome,
    record::Arrival,
};
use rand::{Rng, RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_core::names::{AdapterName, ModelName, ServiceName};
use trestle_dispatch::{
    catalog::{EngineSpec, ModelSpec},
    endpoint::Endpoint,
    local_view::LocalView,
    policy::Policy,
    retry_share::RetryBounds,
    route::{Route, RouteKind, Target},
};

/// Time after an engine begins to drain for which daemons may still send to it.
const DRAINING_MS: u64 = 2_000;
/// Time before the first requests, in which daemons learn of the engines.
const WARM_UP_US: u64 = 1_000_000;
/// Time after the last arrival for which the remaining requests are simulated.
const COOL_DOWN_US: u64 = 30_000_000;
/// Interval between two samples of idle memory.
const SAMPLE_US: u64 = 100_000;
/// Bounds of the retry budget, as in the settings of small deployments.
const RETRY_BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 60 };

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// The caller of the arrival with this index makes its request for the first time.
    CallerArrives(usize),
    /// A caller's attempt at a request reaches a daemon.
    CallerAttempt(usize),
    /// A daemon selects an endpoint again for a waiting request; ignored unless the turn is that of
    /// the request's latest selection.
    Recheck(usize, u64),
    /// The caller of a request leaves, if this attempt of the caller is still the current one.
    CallerLeaves(usize, u32),
    /// A request reaches an engine. `send` counts the sends of the request; the event is ignored
    /// if the request was sent again since.
    SendArrives { request: usize, send: u32, engine: usize, start: u64 },
    /// An engine's rejection reaches the daemon; `is_missing` if the model or adapter is not
    /// loaded there.
    SendRejected { request: usize, send: u32, is_missing: bool },
    /// The time limit for the first event of an answer has passed.
    FirstEventTimeout { request: usize, send: u32 },
    /// The first event of an answer reaches the caller.
    AnswerBegins { request: usize, send: u32 },
    /// The end of an answer reaches the caller; `gap_us` is the longest gap between two events.
    AnswerEnds { request: usize, send: u32, gap_us: u64 },
    /// A daemon learns that an engine has failed a request or stopped.
    SendFailed { request: usize, send: u32 },
    /// A step of an engine ends.
    StepEnd { engine: usize, start: u64 },
    /// The current order of an engine may be complete.
    OrderCheck { engine: usize, start: u64 },
    /// A daemon sends its report to the leader, unless another sync was scheduled since.
    Sync { daemon: usize, turn: u64 },
    /// A daemon's report reaches the leader.
    SyncReportArrives { daemon: usize, turn: u64, report: Box<super::leader::SyncReport> },
    /// The leader's answer to a report reaches a daemon.
    SyncAnswerArrives { daemon: usize, turn: u64, answer: Box<super::leader::SyncAnswer> },
    /// The leader plans changes, if its term is still this one.
    Plan { term: u64 },
    /// The leader continues a change at an engine.
    ChangeStep { term: u64, engine: usize },
    /// An order reaches an engine, with the count of orders that the leader expects there.
    OrderArrives {
        term: u64,
        engine: usize,
        start: u64,
        order: Box<(trestle_dispatch::orders::Order, u64)>,
    },
    /// The answer to an order reaches the leader.
    OrderAnswered { term: u64, engine: usize, answer: trestle_dispatch::orders::OrderAnswer },
    /// An engine's report reaches the leader; `None` if the engine did not answer in time.
    EngineReportArrives {
        term: u64,
        engine: usize,
        report: Option<Box<trestle_dispatch::endpoint::EngineReport>>,
    },
    /// An engine writes its entry to the store.
    Heartbeat { engine: usize, start: u64 },
    /// The leader reads the changes of the store's list of engines.
    StoreRead,
    /// A fault begins, or continues with a later stage.
    FaultBegins { fault: usize, stage: usize },
    /// A fault ends.
    FaultEnds { fault: usize },
    /// The memory of idle models is sampled.
    Sample,
}

/// The state of one daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) local_view: LocalView,
    pub(super) is_alive: bool,
    /// Number of the latest scheduled sync; a sync event with an earlier number is ignored.
    pub(super) sync_turn: u64,
    pub(super) next_sync_us: u64,
    pub(super) last_sync_us: u64,
    /// Term of the leader that last answered.
    pub(super) reported_term: u64,
    /// Number of changes of the store's list that the daemon has applied.
    pub(super) list_version: usize,
    /// Indexes of the requests that wait at the daemon.
    pub(super) waiting: BTreeSet<usize>,
    /// Last key given to an entry in the local demand.
    pub(super) next_demand_id: u64,
}

/// A change of the store's list of engines.
#[derive(Debug, Clone)]
pub(super) enum Entry {
    Written(Endpoint),
    Removed(trestle_core::names::EndpointName),
}

/// The state of a simulated deployment.
pub(super) struct Simulation<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) policy: &'a Policy,
    pub(super) service: ServiceName,
    pub(super) spec: Arc<EngineSpec>,
    pub(super) routes: Vec<Route>,
    /// Names of the models, by index.
    pub(super) names: Vec<ModelName>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) now_us: u64,
    pub(super) queue: Queue<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) daemons: Vec<Daemon>,
    pub(super) engines: Vec<Engine>,
    pub(super) requests: Vec<Request>,
    pub(super) leader: Leader,
    /// Changes of the store's list with the times from which they can be read.
    pub(super) list: Vec<(u64, Entry)>,
    pub(super) is_store_away: bool,
    /// End times of the loads from the weight store, by engine and start time.
    pub(super) remote_loads: BTreeMap<(usize, u64), u64>,
    /// Number of requests for each model, and whether one of them was served.
    pub(super) model_requests: BTreeMap<usize, (u64, bool)>,
    pub(super) outcome: Outcome,
    pub(super) next_entry: u64,
    /// Memory held by models without requests, summed over the samples.
    idle_mb: f64,
    /// Memory of all running engines, summed over the samples.
    sampled_mb: f64,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        deployment: &'a Deployment,
        policy: &'a Policy,
        seed: u64,
        workload: Workload<'_>,
    ) -> Self {
        let arrivals = match workload {
            Workload::Generated => workload::generate(deployment, seed),
            Workload::Recorded(arrivals) => arrivals.to_vec(),
        };
        let service = ServiceName::from("engines");
        let names = (0..deployment.models.count).map(model_name).collect();
        let mut simulation = Self {
            deployment,
            policy,
            spec: Arc::new(engine_spec(deployment)),
            routes: routes(deployment, &service),
            service,
            names,
            arrivals,
            now_us: 0,
            queue: Queue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            daemons: Vec::new(),
            engines: Vec::new(),
            requests: Vec::new(),
            leader: Leader::default(),
            list: Vec::new(),
            is_store_away: false,
            remote_loads: BTreeMap::new(),
            model_requests: BTreeMap::new(),
            outcome: Outcome::new(deployment),
            next_entry: 1,
            idle_mb: 0.0,
            sampled_mb: 0.0,
        };
        simulation.start_engines();
        simulation.start_daemons();
        simulation.schedule_arrivals_and_faults();
        simulation
    }

    fn start_engines(&mut self) {
        for number in 0..self.deployment.engines.count {
            let domain = domain_name(number % self.deployment.domains);
            let mut engine = Engine::new(&format!("e{number:03}"), domain, 0);
            self.place_initial_models(&mut engine, number);
            self.engines.push(engine);
            self.write_entry(number);
            let first_us = self.random.random_range(0..self.heartbeat_us());
            self.queue.push(first_us, Event::Heartbeat { engine: number, start: 0 });
        }
    }

    /// Loads models into an engine before the run: busy models into many engines and each other
    /// model into one, as far as there is room.
    fn place_initial_models(&mut self, engine: &mut Engine, number: usize) {
        let busy = self.deployment.models.busy_shares.len();
        let count = self.deployment.engines.count;
        let mut candidates: Vec<usize> =
            (0..busy).filter(|model| (number + model).is_multiple_of(busy + 1)).collect();
        candidates.extend((busy..self.names.len()).filter(|model| model % count == number));
        for model in candidates {
            let mut held = engine.held.clone();
            held.insert(self.names[model].clone(), BTreeSet::new());
            if self.spec.held_mb(&held) <= self.spec.memory_mb {
                engine.held = held;
            }
        }
        let mut shuffled: Vec<usize> = (0..self.names.len()).collect();
        shuffled.shuffle(&mut self.random);
        let copies = shuffled.into_iter().take(self.deployment.engines.on_disk);
        engine.on_disk = copies.map(|model| self.names[model].clone()).collect();
        engine.on_disk.extend(engine.held.keys().cloned());
        engine.in_memory = engine.held.keys().cloned().collect();
    }

    fn start_daemons(&mut self) {
        for number in 0..self.deployment.daemons {
            let domain = domain_name(number % self.deployment.domains);
            let mut local_view = LocalView::new(domain.as_str().into(), DRAINING_MS, RETRY_BOUNDS);
            local_view.policy = self.policy.clone();
            local_view.retry_budgets.daemons = self.deployment.daemons;
            self.daemons.push(Daemon {
                local_view,
                is_alive: true,
                sync_turn: 0,
                next_sync_us: 0,
                last_sync_us: 0,
                reported_term: 0,
                list_version: 0,
                waiting: BTreeSet::new(),
                next_demand_id: 0,
            });
            let first_us = 10_000 + self.random.random_range(0..300_000);
            self.schedule_sync(number, first_us);
        }
        self.leader.replace(0, 0);
        self.queue.push(0, Event::StoreRead);
        self.queue.push(1_000, Event::Plan { term: self.leader.term });
    }

    fn schedule_arrivals_and_faults(&mut self) {
        for number in 0..self.arrivals.len() {
            let at_us = WARM_UP_US + self.arrivals[number].at_us;
            self.queue.push(at_us, Event::CallerArrives(number));
        }
        for fault in 0..self.deployment.faults.len() {
            let at_us = WARM_UP_US + (self.deployment.faults[fault].at_s() * 1e6) as u64;
            self.queue.push(at_us, Event::FaultBegins { fault, stage: 0 });
        }
        self.queue.push(WARM_UP_US, Event::Sample);
    }

    /// Runs the simulation to its end and returns the outcome.
    pub(super) fn run(mut self) -> Outcome {
        let end_us = WARM_UP_US + (self.deployment.duration_s * 1e6) as u64 + COOL_DOWN_US;
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > end_us || (at_us > end_us - COOL_DOWN_US && self.all_finished()) {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.finish()
    }

    fn all_finished(&self) -> bool {
        self.requests.iter().all(|request| request.phase == Phase::Finished)
    }

    fn finish(mut self) -> Outcome {
        for request in 0..self.requests.len() {
            self.caller_left(request);
        }
        let starved =
            self.model_requests.values().filter(|(requested, served)| *requested >= 4 && !served);
        self.outcome.starved = starved.count() as u64;
        self.outcome.idle_share = self.idle_mb / self.sampled_mb.max(1.0);
        self.outcome.events = self.queue.count();
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrives(arrival) => self.caller_arrived(arrival),
            Event::CallerAttempt(request) => self.begin_attempt(request),
            Event::Recheck(request, turn) => self.recheck(request, turn),
            Event::CallerLeaves(request, attempt) => {
                if self.requests[request].attempt == attempt {
                    self.caller_left(request);
                }
            }
            Event::SendArrives { request, send, engine, start } => {
                self.send_arrived(request, send, engine, start);
            }
            Event::SendRejected { request, send, is_missing } => {
                self.send_rejected(request, send, is_missing);
            }
            Event::FirstEventTimeout { request, send } => self.first_event_timed_out(request, send),
            Event::AnswerBegins { request, send } => self.answer_began(request, send),
            Event::AnswerEnds { request, send, gap_us } => self.answer_ended(request, send, gap_us),
            Event::SendFailed { request, send } => self.send_failed(request, send),
            Event::StepEnd { engine, start } => self.step_end(engine, start),
            Event::OrderCheck { engine, start } => self.check_order(engine, start),
            Event::Sync { daemon, turn } => self.sync(daemon, turn),
            Event::SyncReportArrives { daemon, turn, report } => {
                self.sync_report_arrived(daemon, turn, *report)
            }
            Event::SyncAnswerArrives { daemon, turn, answer } => {
                self.sync_answer_arrived(daemon, turn, *answer)
            }
            Event::Plan { term } => self.plan_tick(term),
            Event::ChangeStep { term, engine } => self.change_step(term, engine),
            Event::OrderArrives { term, engine, start, order } => {
                self.order_arrived(term, engine, start, &order.0, order.1);
            }
            Event::OrderAnswered { term, engine, answer } => {
                self.order_answered(term, engine, answer);
            }
            Event::EngineReportArrives { term, engine, report } => {
                self.engine_report_arrived(term, engine, report.as_deref());
            }
            Event::Heartbeat { engine, start } => self.heartbeat(engine, start),
            Event::StoreRead => self.store_read(),
            Event::FaultBegins { fault, stage } => self.fault_begins(fault, stage),
            Event::FaultEnds { fault } => self.fault_ends(fault),
            Event::Sample => self.sample(),
        }
    }

    /// Returns the time in ms; all clocks agree.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Draws the one-way delay of a message between two VMs; it varies by a fifth.
    pub(super) fn delay_us(&mut self) -> u64 {
        let delay_us = self.deployment.way_ms * 1e3;
        (delay_us * self.random.random_range(1.0..1.2)) as u64
    }

    pub(super) fn caller_delay_us(&self) -> u64 {
        (self.deployment.caller_way_ms * 1e3) as u64
    }

    pub(super) fn heartbeat_us(&self) -> u64 {
        (self.deployment.engines.heartbeat_ms * 1e3).max(1.0) as u64
    }

    /// Returns whether messages to and from an engine are lost now.
    pub(super) fn is_silent(&self, engine: usize) -> bool {
        self.now_us < self.engines[engine].silent_until_us
    }

    /// Returns the duration of loading a model at an engine, and where its weights come from.
    pub(super) fn load_us(&mut self, engine: usize, model: &ModelName) -> (u64, LoadSource) {
        let store = &self.deployment.weight_store;
        let source = self.engines[engine].source(model);
        let load_ms = match source {
            LoadSource::Memory => store.memory_load_ms,
            LoadSource::Disk => store.disk_load_ms,
            LoadSource::WeightStore => {
                let now_us = self.now_us;
                self.remote_loads.retain(|_, ends_us| *ends_us > now_us);
                let concurrent_loads = self.remote_loads.len() + 1;
                let contention = concurrent_loads as f64 / store.full_speed_loads.max(1) as f64;
                (store.load_ms as f64 * contention.max(1.0)) as u64
            }
        };
        (load_ms * 1_000, source)
    }

    /// Writes an engine's entry to the store.
    pub(super) fn write_entry(&mut self, number: usize) {
        let engine = &self.engines[number];
        let endpoint = Endpoint {
            name: engine.name.clone(),
            service: self.service.clone(),
            software_version: None,
            address: ([127, 0, 0, 1], 1).into(),
            domain: engine.domain.as_str().into(),
            slots: self.spec.slots,
            is_draining: engine.is_draining,
            started_unix_ms: 0,
            entry_number: self.next_entry,
            held: engine.held.clone(),
            in_memory: engine.in_memory.clone(),
            on_disk: engine.on_disk.clone(),
        };
        self.next_entry += 1;
        self.publish(Entry::Written(endpoint));
    }

    /// Adds a change to the store's list; daemons can read it after the lag of the store.
    pub(super) fn publish(&mut self, entry: Entry) {
        let lag_us = (self.deployment.entry_lag_ms * 1e3) as u64;
        self.list.push((self.now_us + lag_us, entry));
    }

    fn heartbeat(&mut self, engine: usize, start: u64) {
        if self.engines[engine].start != start || !self.engines[engine].is_alive {
            return;
        }
        if !self.is_store_away && !self.is_silent(engine) {
            self.write_entry(engine);
        }
        let next_us = self.now_us + self.heartbeat_us();
        self.queue.push(next_us, Event::Heartbeat { engine, start });
    }

    fn sample(&mut self) {
        for engine in self.engines.iter().filter(|engine| engine.is_alive) {
            self.sampled_mb += self.spec.memory_mb as f64;
            let idle = engine.held.keys().filter(|model| !engine.runs(model));
            self.idle_mb += idle.map(|model| self.spec.weights_mb(model) as f64).sum::<f64>();
        }
        if self.now_us < WARM_UP_US + (self.deployment.duration_s * 1e6) as u64 {
            self.queue.push(self.now_us + SAMPLE_US, Event::Sample);
        }
    }

    /// Draws a running daemon for a caller, or `None` if no daemon runs.
    pub(super) fn draw_daemon(&mut self) -> Option<usize> {
        let alive: Vec<usize> =
            (0..self.daemons.len()).filter(|number| self.daemons[*number].is_alive).collect();
        let index = self.random.random_range(0..alive.len().max(1));
        alive.get(index).copied()
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.random.next_u64()
    }
}

impl Fault {
    /// Returns when the fault begins.
    pub(super) fn at_s(&self) -> f64 {
        match self {
            Self::ModelShift { at_s, .. }
            | Self::Burst { at_s, .. }
            | Self::EngineCrash { at_s, .. }
            | Self::EngineRelease { at_s, .. }
            | Self::EngineSlow { at_s, .. }
            | Self::EngineFails { at_s, .. }
            | Self::EngineSilent { at_s, .. }
            | Self::StoreAway { at_s, .. }
            | Self::LeaderLost { at_s, .. }
            | Self::DaemonsLost { at_s, .. } => *at_s,
        }
    }
}

pub(super) fn model_name(number: usize) -> ModelName {
    format!("m{number:04}").into()
}

pub(super) fn adapter_name(number: usize) -> AdapterName {
    format!("a{number:04}").into()
}

pub(super) fn domain_name(number: usize) -> String {
    format!("d{number}")
}

fn engine_spec(deployment: &Deployment) -> EngineSpec {
    let Deployment { engines, weight_store, models, .. } = deployment;
    let span_mb = models.most_mb - models.least_mb;
    let spec = |number: usize| ModelSpec {
        // Sizes are spread evenly, in an order unrelated to demand.
        weights_mb: models.least_mb + (number as u64 * 7 % 10) * span_mb / 9,
        adapter_mb: 1,
        adapters: workload::adapter_count(deployment, number) as u32,
        remote_load_ms: weight_store.load_ms,
        disk_load_ms: weight_store.disk_load_ms,
        memory_load_ms: weight_store.memory_load_ms,
    };
    EngineSpec {
        slots: engines.slots,
        memory_mb: engines.memory_mb,
        adapter_slots: engines.adapter_slots,
        cache_tokens: None,
        models: (0..models.count).map(|number| (model_name(number), spec(number))).collect(),
    }
}

fn routes(deployment: &Deployment, service: &ServiceName) -> Vec<Route> {
    let routes = deployment.classes.iter().map(|class| Route {
        name: class.name.clone(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream { is_resumable: true },
        timeout_ms: class.deadline_ms,
        objective_ms: class.objective_ms,
        pause_ms: class.pause_ms,
        attempts: class.attempts,
        priority: class.priority,
        is_public: true,
        targets: vec![Target { service: service.clone(), weight: 1 }],
    });
    routes.collect()
}
