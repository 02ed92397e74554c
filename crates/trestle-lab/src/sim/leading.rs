//! The daemon that leads, and what the others tell it and learn from it.

use super::{
    engine::Source,
    world::{Entry, Event, World},
};
use std::{collections::BTreeMap, sync::Arc};
use trestle_core::names::{EndpointName, VmName};
use trestle_dispatch::{
    demand::DemandReport,
    endpoint::{Endpoint, EngineReport, Incarnation},
    orders::{NextStep, Order, OrderAnswer, OrderChain},
    replicas::ReplicaView,
    service_state::ServiceState,
    sync_intervals::SyncIntervals,
};

/// Shortest time between two plans, as in the daemon.
const PLAN_GAP_US: u64 = 15_000;
/// Longest time between two plans.
const PLAN_TICK_US: u64 = 100_000;
/// Time between two reads of the store.
const STORE_READ_US: u64 = 120_000;
/// Time after which a daemon that has no answer counts the leader as silent.
const ANSWER_US: u64 = 300_000;
/// Time after which what the leader said is no longer believed.
const BELIEVED_MS: u64 = 3_000;
/// Time for an engine to answer an order.
const ORDER_US: u64 = 500_000;
/// Bound on what every daemon must know, for the pace of tellings.
const BOUND_MS: u64 = 2_000;

/// What a daemon tells.
#[derive(Debug)]
pub(super) struct Telling {
    term: u64,
    digest: DemandReport,
    list_version: usize,
}

/// What the leader answers.
#[derive(Debug)]
pub(super) struct Answer {
    term: u64,
    view: ReplicaView,
    planned: u64,
    list_version: usize,
    entries: Vec<Entry>,
}

/// A change that is under way at one engine.
#[derive(Debug)]
struct UnderWay {
    chain: OrderChain,
    incarnation: Incarnation,
    /// Orders sent so far; an answer to an older one no longer counts.
    sent: u64,
    answered: u64,
}

/// The daemon that leads.
#[derive(Debug, Default)]
pub(super) struct Leader {
    /// Grows with each daemon that begins to lead.
    pub(super) term: u64,
    pub(super) daemon: usize,
    /// Whether there is one.
    pub(super) is_there: bool,
    state: ServiceState,
    planned_us: u64,
    under_way: BTreeMap<usize, UnderWay>,
}

impl Leader {
    /// Another daemon begins to lead, and knows nothing.
    pub(super) fn begin(&mut self, daemon: usize, now_us: u64) {
        *self = Self {
            term: self.term + 1,
            daemon,
            is_there: true,
            planned_us: now_us,
            ..Self::default()
        };
    }
}

impl World<'_> {
    pub(super) fn schedule_sync(&mut self, daemon: usize, at_us: u64) {
        let of = &mut self.daemons[daemon];
        of.sync_turn += 1;
        of.next_sync_us = at_us;
        let turn = of.sync_turn;
        self.queue.push(at_us, Event::Sync { daemon, turn });
    }

    fn pace(&self, daemon: usize) -> SyncIntervals {
        SyncIntervals::new(self.daemons[daemon].local_view.daemons, BOUND_MS)
    }

    /// A request has begun to wait: the leader should hear of it soon.
    pub(super) fn hurry_sync(&mut self, daemon: usize) {
        let least_us = self.pace(daemon).min_ms() * 1_000;
        let of = &self.daemons[daemon];
        let soon_us = self.now_us.max(of.last_sync_us + least_us);
        // One that is under way is followed by another soon after its answer.
        if of.next_sync_us > soon_us {
            self.schedule_sync(daemon, soon_us);
        }
    }

    pub(super) fn sync(&mut self, daemon: usize, turn: u64) {
        let now_ms = self.now_ms();
        let of = &mut self.daemons[daemon];
        if of.sync_turn != turn || !of.is_alive {
            return;
        }
        of.last_sync_us = self.now_us;
        let is_first = of.told_term != self.leader.term;
        let digest = of.local_view.local_demand_for(&self.service).report(is_first, now_ms);
        let telling = Telling { term: self.leader.term, digest, list_version: of.list_version };
        let way_us = if daemon == self.leader.daemon { 0 } else { self.way_us() };
        if self.leader.is_there {
            let telling = Box::new(telling);
            self.queue.push(self.now_us + way_us, Event::Told { daemon, turn, telling });
        }
        // The next telling, should no answer come.
        self.daemons[daemon].sync_turn += 1;
        let turn = self.daemons[daemon].sync_turn;
        self.daemons[daemon].next_sync_us = self.now_us + ANSWER_US;
        self.queue.push(self.now_us + ANSWER_US, Event::Sync { daemon, turn });
        if !self.leader.is_there {
            self.lose_leader(daemon);
        }
    }

    fn lose_leader(&mut self, daemon: usize) {
        let now_ms = self.now_ms();
        let local_view = &mut self.daemons[daemon].local_view;
        local_view.record_leader(false, now_ms);
        if now_ms > local_view.received_ms + BELIEVED_MS {
            local_view.replicas.clear();
        }
        self.look_at_waiting(daemon);
    }

    fn look_at_waiting(&mut self, daemon: usize) {
        let waiting: Vec<usize> = self.daemons[daemon].waiting.iter().copied().collect();
        for request in waiting {
            if self.daemons[daemon].waiting.contains(&request) {
                self.look(request);
            }
        }
    }

    pub(super) fn told(&mut self, daemon: usize, turn: u64, telling: Telling) {
        if !self.leader.is_there || telling.term != self.leader.term {
            return;
        }
        let now_ms = self.now_ms();
        let vm = VmName::from(format!("v{daemon:03}"));
        self.leader.state.demand.report_received(vm.clone(), telling.digest, now_ms);
        if self.now_us >= self.leader.planned_us + PLAN_GAP_US {
            self.plan();
        }
        let of_leader = self.daemons[self.leader.daemon].list_version;
        let entries = self.list[telling.list_version.min(of_leader)..of_leader].iter();
        let directory = &self.daemons[self.leader.daemon].local_view.directory;
        let answer = Answer {
            term: self.leader.term,
            view: self.leader.state.view(&self.service, directory, now_ms),
            planned: self.leader.state.demand.last_planned(&vm),
            list_version: of_leader,
            entries: entries.map(|(_, entry)| entry.clone()).collect(),
        };
        let way_us = if daemon == self.leader.daemon { 0 } else { self.way_us() };
        let answer = Box::new(answer);
        self.queue.push(self.now_us + way_us, Event::Learnt { daemon, turn, answer });
    }

    pub(super) fn learnt(&mut self, daemon: usize, turn: u64, answer: Answer) {
        let now_ms = self.now_ms();
        let of = &mut self.daemons[daemon];
        // Only the telling that waits for it is answered.
        if !of.is_alive || of.sync_turn != turn + 1 {
            return;
        }
        of.told_term = answer.term;
        let was_lost = !of.local_view.has_leader;
        of.local_view.record_leader(true, now_ms);
        if of.list_version < answer.list_version {
            for entry in answer.entries {
                take_entry(&mut of.local_view.directory, entry, now_ms);
            }
            of.list_version = answer.list_version;
        }
        let is_news = of.local_view.update_replicas(
            self.service.clone(),
            answer.view,
            answer.planned,
            now_ms,
        );
        let is_waiting = !of.waiting.is_empty();
        let pace = self.pace(daemon);
        let next_ms = if is_waiting { pace.waiting_ms() } else { pace.idle_ms() };
        self.schedule_sync(daemon, self.now_us + next_ms * 1_000);
        if is_news || was_lost {
            self.look_at_waiting(daemon);
        }
    }

    pub(super) fn store_read(&mut self) {
        let now_ms = self.now_ms();
        if self.leader.is_there && !self.is_store_away {
            let of = &mut self.daemons[self.leader.daemon];
            while let Some((at_us, entry)) = self.list.get(of.list_version) {
                if *at_us > self.now_us {
                    break;
                }
                take_entry(&mut of.local_view.directory, entry.clone(), now_ms);
                of.list_version += 1;
            }
        }
        self.queue.push(self.now_us + STORE_READ_US, Event::StoreRead);
    }

    pub(super) fn plan_tick(&mut self, term: u64) {
        if term != self.leader.term || !self.leader.is_there {
            return;
        }
        if self.now_us >= self.leader.planned_us + PLAN_GAP_US {
            self.plan();
        }
        self.queue.push(self.now_us + PLAN_TICK_US, Event::Plan { term });
    }

    fn plan(&mut self) {
        let now_ms = self.now_ms();
        self.leader.planned_us = self.now_us;
        let local_view = &self.daemons[self.leader.daemon].local_view;
        let directory: BTreeMap<EndpointName, Arc<Endpoint>> = local_view
            .directory
            .usable_shared(&self.service)
            .map(|endpoint| (endpoint.name.clone(), Arc::clone(endpoint)))
            .collect();
        let begun =
            self.leader.state.plan(&self.spec, self.policy, &directory, 0, |_| true, now_ms);
        for (endpoint, _, chain) in begun {
            let engine = self.engines.iter().position(|engine| engine.name == endpoint.name);
            let Some(engine) = engine else {
                self.leader.state.finish_change(&endpoint.incarnation(), &chain, now_ms);
                continue;
            };
            let under_way =
                UnderWay { chain, incarnation: endpoint.incarnation(), sent: 0, answered: 0 };
            self.leader.under_way.insert(engine, under_way);
            let term = self.leader.term;
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    pub(super) fn change_step(&mut self, term: u64, engine: usize) {
        if term != self.leader.term || !self.leader.is_there {
            return;
        }
        let now_ms = self.now_ms();
        let Some(under_way) = self.leader.under_way.get_mut(&engine) else { return };
        let (next, not_before_ms) = under_way.chain.next();
        if now_ms < not_before_ms {
            let at_us = not_before_ms * 1_000;
            return self.queue.push(at_us, Event::ChangeStep { term, engine });
        }
        match next {
            NextStep::Done | NextStep::Failed(_) => {
                if let Some(ended) = self.leader.under_way.remove(&engine) {
                    self.leader.state.finish_change(&ended.incarnation, &ended.chain, now_ms);
                }
                if self.now_us >= self.leader.planned_us + PLAN_GAP_US {
                    self.plan();
                }
            }
            NextStep::Report => self.ask_report(term, engine),
            NextStep::Send(order, count) => {
                under_way.sent += 1;
                let start = self.engines[engine].start;
                let way_us = self.way_us();
                let order = Box::new((order, count));
                let event = Event::OrderAt { term, engine, start, order };
                self.queue.push(self.now_us + way_us, event);
                if self.is_silent(engine) || !self.engines[engine].is_alive {
                    let answer = OrderAnswer::Unknown;
                    let event = Event::OrderAnswered { term, engine, answer };
                    self.queue.push(self.now_us + ORDER_US, event);
                }
            }
        }
    }

    fn ask_report(&mut self, term: u64, engine: usize) {
        let of = &self.engines[engine];
        let answers = of.is_alive && !self.is_silent(engine);
        let report = answers.then(|| {
            Box::new(EngineReport {
                started_unix_ms: 0,
                held: of.held.clone(),
                is_busy: of.is_busy(),
                order_count: of.order_count,
                waiting: 0,
                running: 0,
            })
        });
        let takes_us = if answers { 2 * self.way_us() } else { ORDER_US };
        self.queue.push(self.now_us + takes_us, Event::Reported { term, engine, report });
    }

    pub(super) fn reported(&mut self, term: u64, engine: usize, report: Option<&EngineReport>) {
        if term != self.leader.term {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(under_way) = self.leader.under_way.get_mut(&engine) {
            under_way.chain.apply_report(report, now_ms);
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    pub(super) fn order_at(
        &mut self,
        term: u64,
        engine: usize,
        start: u64,
        order: &Order,
        count: u64,
    ) {
        let way_us = self.way_us();
        if self.is_silent(engine) || !self.engines[engine].is_alive {
            return;
        }
        if self.engines[engine].start != start {
            let answer = OrderAnswer::Replaced;
            let event = Event::OrderAnswered { term, engine, answer };
            return self.queue.push(self.now_us + way_us, event);
        }
        let fits = self.fits(engine, order);
        let (load_us, source) = match order {
            Order::LoadModel(model) => self.load_us(engine, model),
            _ => (0, Source::Memory),
        };
        let ordered = self.engines[engine].order(order, count, fits, load_us, self.now_us);
        if let (OrderAnswer::Accepted, Order::LoadModel(_)) = (ordered.answer, order) {
            match source {
                Source::WeightStore => {
                    self.outcome.far_loads += 1;
                    let ends_us = self.now_us + load_us;
                    self.remote_loads.insert((engine, self.now_us), ends_us);
                }
                Source::Memory | Source::Disk => self.outcome.near_loads += 1,
            }
        }
        self.outcome.orders += u64::from(ordered.answer == OrderAnswer::Accepted);
        self.outcome.overfilled += u64::from(ordered.overfills);
        if let Some(at_us) = ordered.look_at_us {
            self.queue.push(at_us, Event::OrderLook { engine, start });
        }
        let event = Event::OrderAnswered { term, engine, answer: ordered.answer };
        self.queue.push(self.now_us + way_us, event);
    }

    fn fits(&self, engine: usize, order: &Order) -> bool {
        let held = &self.engines[engine].held;
        let adapters: usize = held.values().map(std::collections::BTreeSet::len).sum();
        match order {
            Order::LoadModel(model) => {
                self.spec.held_mb(held) + self.spec.weights_mb(model) <= self.spec.memory_mb
            }
            Order::LoadAdapter(..) => (adapters as u64) < u64::from(self.spec.adapter_slots),
            Order::UnloadModel(_) | Order::UnloadAdapter(..) => true,
        }
    }

    pub(super) fn order_answered(&mut self, term: u64, engine: usize, answer: OrderAnswer) {
        if term != self.leader.term {
            return;
        }
        let now_ms = self.now_ms();
        let Some(under_way) = self.leader.under_way.get_mut(&engine) else { return };
        under_way.answered += 1;
        if under_way.answered <= under_way.sent {
            under_way.chain.apply_answer(answer, now_ms);
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    /// Looks whether an engine's order is carried out.
    pub(super) fn look_at_order(&mut self, engine: usize, start: u64) {
        if self.engines[engine].start != start {
            return;
        }
        self.engines[engine].look_at_work(self.now_us);
    }
}

fn take_entry(directory: &mut trestle_dispatch::directory::Directory, entry: Entry, now_ms: u64) {
    match entry {
        Entry::Written(endpoint) => {
            directory.apply_written(endpoint);
        }
        Entry::Removed(name) => directory.apply_removal(&name, now_ms),
    }
}
