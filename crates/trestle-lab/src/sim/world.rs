//! Everything in a played day, and the loop over its events.

use super::{
    Load, demand,
    engine::{Engine, Source},
    leading::Leader,
    queue::Queue,
    requests::{Request, State},
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

/// Time after an engine's leaving for which daemons may still send to it.
const LEAVING_MS: u64 = 2_000;
/// Time before callers come, in which daemons learn of the engines.
const LEAD_IN_US: u64 = 1_000_000;
/// Time after the last arrival for which requests are seen through.
const LEAD_OUT_US: u64 = 30_000_000;
/// Time between two samples of idle memory.
const SAMPLE_US: u64 = 100_000;
/// Retries that the budget allows, as in the settings of small deployments.
const RETRY_BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 60 };

/// Something that happens.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller makes a request for the first time.
    Arrive(usize),
    /// A caller's try reaches a daemon.
    Try(usize),
    /// A daemon looks at a request that waits, if it is still this look's turn.
    Look(usize, u64),
    /// A caller leaves, if it is still at this try.
    Leave(usize, u32),
    /// A request reaches an engine, at this send.
    AtEngine { request: usize, send: u32, engine: usize, start: u64 },
    /// An engine's refusal reaches the daemon; true if it has not what was asked for.
    EngineRefused { request: usize, send: u32, has_not: bool },
    /// Nothing has come from an engine for long.
    Impatient { request: usize, send: u32 },
    /// A first event reaches the caller.
    First { request: usize, send: u32 },
    /// The whole answer has reached the caller, with the longest gap between events.
    Done { request: usize, send: u32, gap_us: u64 },
    /// An engine failed a request, or broke off.
    Broke { request: usize, send: u32 },
    /// An engine's step ends.
    StepEnd { engine: usize, start: u64 },
    /// An engine's order may be carried out.
    OrderLook { engine: usize, start: u64 },
    /// A daemon tells the leader, if it is still this telling's turn.
    Sync { daemon: usize, turn: u64 },
    /// A daemon's telling reaches the leader.
    Told { daemon: usize, turn: u64, telling: Box<super::leading::Telling> },
    /// The leader's answer reaches a daemon.
    Learnt { daemon: usize, turn: u64, answer: Box<super::leading::Answer> },
    /// The leader plans.
    Plan { term: u64 },
    /// A change at an engine goes on.
    ChangeStep { term: u64, engine: usize },
    /// An order reaches an engine.
    OrderAt {
        term: u64,
        engine: usize,
        start: u64,
        order: Box<(trestle_dispatch::orders::Order, u64)>,
    },
    /// An order's answer reaches the leader.
    OrderAnswered { term: u64, engine: usize, answer: trestle_dispatch::orders::OrderAnswer },
    /// An engine's report reaches the leader.
    Reported {
        term: u64,
        engine: usize,
        report: Option<Box<trestle_dispatch::endpoint::EngineReport>>,
    },
    /// An engine writes its entry.
    Heartbeat { engine: usize, start: u64 },
    /// The leader reads what has changed in the store.
    StoreRead,
    /// A fault begins, or goes on to its next part.
    Trouble { fault: usize, part: usize },
    /// A fault ends.
    TroubleEnds { fault: usize },
    /// Idle memory is sampled.
    Sample,
}

/// One daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) local_view: LocalView,
    pub(super) is_alive: bool,
    pub(super) sync_turn: u64,
    pub(super) next_sync_us: u64,
    pub(super) last_sync_us: u64,
    pub(super) told_term: u64,
    /// Version of the store's list that it has.
    pub(super) list_version: usize,
    pub(super) waiting: BTreeSet<usize>,
    pub(super) next_number: u64,
}

/// A change of the store's list of engines.
#[derive(Debug, Clone)]
pub(super) enum Entry {
    Written(Endpoint),
    Removed(trestle_core::names::EndpointName),
}

/// Everything in a played day.
pub(super) struct World<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) policy: &'a Policy,
    pub(super) service: ServiceName,
    pub(super) spec: Arc<EngineSpec>,
    pub(super) routes: Vec<Route>,
    pub(super) names: Vec<ModelName>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) now_us: u64,
    pub(super) queue: Queue<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) daemons: Vec<Daemon>,
    pub(super) engines: Vec<Engine>,
    pub(super) requests: Vec<Request>,
    pub(super) leader: Leader,
    /// Changes of the store's list with the times at which they can be read.
    pub(super) list: Vec<(u64, Entry)>,
    pub(super) is_store_away: bool,
    pub(super) remote_loads: BTreeMap<(usize, u64), u64>,
    pub(super) served: BTreeMap<usize, (u64, bool)>,
    pub(super) outcome: Outcome,
    pub(super) next_entry: u64,
    idle_mb: f64,
    sampled_mb: f64,
}

impl<'a> World<'a> {
    pub(super) fn new(
        deployment: &'a Deployment,
        policy: &'a Policy,
        seed: u64,
        load: Load<'_>,
    ) -> Self {
        let arrivals = match load {
            Load::Drawn => demand::draw(deployment, seed),
            Load::Recorded(arrivals) => arrivals.to_vec(),
        };
        let service = ServiceName::from("engines");
        let names = (0..deployment.models.count).map(model_name).collect();
        let mut world = Self {
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
            served: BTreeMap::new(),
            outcome: Outcome::new(deployment),
            next_entry: 1,
            idle_mb: 0.0,
            sampled_mb: 0.0,
        };
        world.start_engines();
        world.start_daemons();
        world.schedule();
        world
    }

    fn start_engines(&mut self) {
        for number in 0..self.deployment.engines.count {
            let domain = domain_name(number % self.deployment.domains);
            let mut engine = Engine::new(&format!("e{number:03}"), domain, 0);
            self.fill_at_start(&mut engine, number);
            self.engines.push(engine);
            self.write_entry(number);
            let first_us = self.random.random_range(0..self.heartbeat_us());
            self.queue.push(first_us, Event::Heartbeat { engine: number, start: 0 });
        }
    }

    /// Busy models stand on many engines, and each other one on one, as far as there is room.
    fn fill_at_start(&mut self, engine: &mut Engine, number: usize) {
        let busy = self.deployment.models.busy_shares.len();
        let count = self.deployment.engines.count;
        let mut wanted: Vec<usize> =
            (0..busy).filter(|model| (number + model).is_multiple_of(busy + 1)).collect();
        wanted.extend((busy..self.names.len()).filter(|model| model % count == number));
        for model in wanted {
            let mut held = engine.held.clone();
            held.insert(self.names[model].clone(), BTreeSet::new());
            if self.spec.held_mb(&held) <= self.spec.memory_mb {
                engine.held = held;
            }
        }
        let mut others: Vec<usize> = (0..self.names.len()).collect();
        others.shuffle(&mut self.random);
        let copies = others.into_iter().take(self.deployment.engines.on_disk);
        engine.on_disk = copies.map(|model| self.names[model].clone()).collect();
        engine.on_disk.extend(engine.held.keys().cloned());
        engine.in_memory = engine.held.keys().cloned().collect();
    }

    fn start_daemons(&mut self) {
        for number in 0..self.deployment.daemons {
            let domain = domain_name(number % self.deployment.domains);
            let mut local_view = LocalView::new(domain.as_str().into(), LEAVING_MS, RETRY_BOUNDS);
            local_view.policy = self.policy.clone();
            local_view.daemons = self.deployment.daemons;
            self.daemons.push(Daemon {
                local_view,
                is_alive: true,
                sync_turn: 0,
                next_sync_us: 0,
                last_sync_us: 0,
                told_term: 0,
                list_version: 0,
                waiting: BTreeSet::new(),
                next_number: 0,
            });
            let first_us = 10_000 + self.random.random_range(0..300_000);
            self.schedule_sync(number, first_us);
        }
        self.leader.begin(0, 0);
        self.queue.push(0, Event::StoreRead);
        self.queue.push(1_000, Event::Plan { term: self.leader.term });
    }

    fn schedule(&mut self) {
        for number in 0..self.arrivals.len() {
            let at_us = LEAD_IN_US + self.arrivals[number].at_us;
            self.queue.push(at_us, Event::Arrive(number));
        }
        for fault in 0..self.deployment.faults.len() {
            let at_us = LEAD_IN_US + (self.deployment.faults[fault].at_s() * 1e6) as u64;
            self.queue.push(at_us, Event::Trouble { fault, part: 0 });
        }
        self.queue.push(LEAD_IN_US, Event::Sample);
    }

    /// Plays to the end.
    pub(super) fn play(mut self) -> Outcome {
        let end_us = LEAD_IN_US + (self.deployment.duration_s * 1e6) as u64 + LEAD_OUT_US;
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > end_us || (at_us > end_us - LEAD_OUT_US && self.is_quiet()) {
                break;
            }
            self.now_us = at_us;
            self.happen(event);
        }
        self.finish()
    }

    fn is_quiet(&self) -> bool {
        self.requests.iter().all(|request| request.state == State::Ended)
    }

    fn finish(mut self) -> Outcome {
        for request in 0..self.requests.len() {
            self.leave(request);
        }
        let starved = self.served.values().filter(|(asked, served)| *asked >= 4 && !served);
        self.outcome.starved = starved.count() as u64;
        self.outcome.idle_share = self.idle_mb / self.sampled_mb.max(1.0);
        self.outcome.events = self.queue.count();
        self.outcome
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Try(request) => self.begin_try(request),
            Event::Look(request, turn) => self.look_again(request, turn),
            Event::Leave(request, attempt) => {
                if self.requests[request].attempt == attempt {
                    self.leave(request);
                }
            }
            Event::AtEngine { request, send, engine, start } => {
                self.reach_engine(request, send, engine, start);
            }
            Event::EngineRefused { request, send, has_not } => {
                self.engine_refused(request, send, has_not);
            }
            Event::Impatient { request, send } => self.impatient(request, send),
            Event::First { request, send } => self.first_event(request, send),
            Event::Done { request, send, gap_us } => self.done(request, send, gap_us),
            Event::Broke { request, send } => self.broke(request, send),
            Event::StepEnd { engine, start } => self.step_end(engine, start),
            Event::OrderLook { engine, start } => self.look_at_order(engine, start),
            Event::Sync { daemon, turn } => self.sync(daemon, turn),
            Event::Told { daemon, turn, telling } => self.told(daemon, turn, *telling),
            Event::Learnt { daemon, turn, answer } => self.learnt(daemon, turn, *answer),
            Event::Plan { term } => self.plan_tick(term),
            Event::ChangeStep { term, engine } => self.change_step(term, engine),
            Event::OrderAt { term, engine, start, order } => {
                self.order_at(term, engine, start, &order.0, order.1);
            }
            Event::OrderAnswered { term, engine, answer } => {
                self.order_answered(term, engine, answer);
            }
            Event::Reported { term, engine, report } => {
                self.reported(term, engine, report.as_deref());
            }
            Event::Heartbeat { engine, start } => self.heartbeat(engine, start),
            Event::StoreRead => self.store_read(),
            Event::Trouble { fault, part } => self.trouble(fault, part),
            Event::TroubleEnds { fault } => self.trouble_ends(fault),
            Event::Sample => self.sample(),
        }
    }

    /// Time on all clocks.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Time of one message between two VMs; it varies by a fifth.
    pub(super) fn way_us(&mut self) -> u64 {
        let way_us = self.deployment.way_ms * 1e3;
        (way_us * self.random.random_range(1.0..1.2)) as u64
    }

    pub(super) fn caller_way_us(&self) -> u64 {
        (self.deployment.caller_way_ms * 1e3) as u64
    }

    pub(super) fn heartbeat_us(&self) -> u64 {
        (self.deployment.engines.heartbeat_ms * 1e3).max(1.0) as u64
    }

    /// Whether nothing reaches an engine now.
    pub(super) fn is_silent(&self, engine: usize) -> bool {
        self.now_us < self.engines[engine].silent_until_us
    }

    /// Time of a load of a model at an engine, by where it comes from.
    pub(super) fn load_us(&mut self, engine: usize, model: &ModelName) -> (u64, Source) {
        let store = &self.deployment.weight_store;
        let source = self.engines[engine].source(model);
        let load_ms = match source {
            Source::Memory => store.memory_load_ms,
            Source::Disk => store.disk_load_ms,
            Source::WeightStore => {
                let now_us = self.now_us;
                self.remote_loads.retain(|_, ends_us| *ends_us > now_us);
                let under_way = self.remote_loads.len() + 1;
                let crowd = under_way as f64 / store.full_speed_loads.max(1) as f64;
                (store.load_ms as f64 * crowd.max(1.0)) as u64
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
            address: ([127, 0, 0, 1], 1).into(),
            domain: engine.domain.as_str().into(),
            slots: self.spec.slots,
            is_draining: engine.is_leaving,
            started_unix_ms: 0,
            entry_number: self.next_entry,
            held: engine.held.clone(),
            in_memory: engine.in_memory.clone(),
            on_disk: engine.on_disk.clone(),
        };
        self.next_entry += 1;
        self.publish(Entry::Written(endpoint));
    }

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
        if self.now_us < LEAD_IN_US + (self.deployment.duration_s * 1e6) as u64 {
            self.queue.push(self.now_us + SAMPLE_US, Event::Sample);
        }
    }

    /// A daemon of the living ones, for a caller.
    pub(super) fn draw_daemon(&mut self) -> Option<usize> {
        let living: Vec<usize> =
            (0..self.daemons.len()).filter(|number| self.daemons[*number].is_alive).collect();
        let lot = self.random.random_range(0..living.len().max(1));
        living.get(lot).copied()
    }

    pub(super) fn lot(&mut self) -> u64 {
        self.random.next_u64()
    }
}

impl Fault {
    /// When it begins.
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
        // Sizes are spread evenly, and not in the order of demand.
        weights_mb: models.least_mb + (number as u64 * 7 % 10) * span_mb / 9,
        adapter_mb: 1,
        adapters: demand::adapters_of(deployment, number) as u32,
        remote_load_ms: weight_store.load_ms,
        disk_load_ms: weight_store.disk_load_ms,
        memory_load_ms: weight_store.memory_load_ms,
    };
    EngineSpec {
        slots: engines.slots,
        memory_mb: engines.memory_mb,
        adapter_slots: engines.adapter_slots,
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
