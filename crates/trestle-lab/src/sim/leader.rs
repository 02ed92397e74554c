//! The leader, the reports that daemons send it, and the answers they get.

use super::{
    engine::LoadSource,
    simulation::{Entry, Event, Simulation},
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

/// Shortest interval between two plans, as in the daemon.
const PLAN_GAP_US: u64 = 15_000;
/// Longest interval between two plans.
const PLAN_TICK_US: u64 = 100_000;
/// Interval between two reads of the store.
const STORE_READ_US: u64 = 120_000;
/// Time without an answer after which a daemon sends its next report.
const ANSWER_TIMEOUT_US: u64 = 300_000;
/// Time after which a daemon without a leader discards the leader's last answer.
const VIEW_VALID_MS: u64 = 3_000;
/// Time after which an order without an answer counts as unknown.
const ORDER_TIMEOUT_US: u64 = 500_000;
/// Bound on the age of what every daemon must know, from which the sync intervals follow.
const BOUND_MS: u64 = 2_000;

/// What a daemon reports to the leader.
#[derive(Debug)]
pub(super) struct SyncReport {
    term: u64,
    demand_report: DemandReport,
    list_version: usize,
}

/// The leader's answer to a report.
#[derive(Debug)]
pub(super) struct SyncAnswer {
    term: u64,
    view: ReplicaView,
    /// Number of the daemon's last report that the leader has planned with.
    last_planned: u64,
    list_version: usize,
    entries: Vec<Entry>,
}

/// A change in progress at one engine.
#[derive(Debug)]
struct ActiveChange {
    chain: OrderChain,
    incarnation: Incarnation,
    /// Number of orders sent so far; answers beyond this number are ignored.
    sent: u64,
    answered: u64,
}

/// The state of the leader.
#[derive(Debug, Default)]
pub(super) struct Leader {
    /// Number of the current leadership; grows each time a daemon begins to lead.
    pub(super) term: u64,
    pub(super) daemon: usize,
    /// Whether a daemon leads now.
    pub(super) is_present: bool,
    state: ServiceState,
    planned_us: u64,
    changes: BTreeMap<usize, ActiveChange>,
}

impl Leader {
    /// Makes another daemon the leader; it starts with empty state.
    pub(super) fn replace(&mut self, daemon: usize, now_us: u64) {
        *self = Self {
            term: self.term + 1,
            daemon,
            is_present: true,
            planned_us: now_us,
            ..Self::default()
        };
    }
}

impl Simulation<'_> {
    pub(super) fn schedule_sync(&mut self, daemon: usize, at_us: u64) {
        let daemon_state = &mut self.daemons[daemon];
        daemon_state.sync_turn += 1;
        daemon_state.next_sync_us = at_us;
        let turn = daemon_state.sync_turn;
        self.queue.push(at_us, Event::Sync { daemon, turn });
    }

    fn sync_intervals(&self, daemon: usize) -> SyncIntervals {
        SyncIntervals::new(self.daemons[daemon].local_view.retry_budgets.daemons, BOUND_MS)
    }

    /// Schedules the next report as early as the intervals allow, since the daemon's local demand
    /// has changed.
    pub(super) fn expedite_sync(&mut self, daemon: usize) {
        let min_us = self.sync_intervals(daemon).min_ms() * 1_000;
        let daemon_state = &self.daemons[daemon];
        let earliest_us = self.now_us.max(daemon_state.last_sync_us + min_us);
        // A report in progress is soon followed by another one.
        if daemon_state.next_sync_us > earliest_us {
            self.schedule_sync(daemon, earliest_us);
        }
    }

    pub(super) fn sync(&mut self, daemon: usize, turn: u64) {
        let now_ms = self.now_ms();
        let daemon_state = &mut self.daemons[daemon];
        if daemon_state.sync_turn != turn || !daemon_state.is_alive {
            return;
        }
        daemon_state.last_sync_us = self.now_us;
        let is_first = daemon_state.reported_term != self.leader.term;
        let demand_report =
            daemon_state.local_view.local_demand_for(&self.service).report(is_first, now_ms);
        let report = SyncReport {
            term: self.leader.term,
            demand_report,
            list_version: daemon_state.list_version,
        };
        let delay_us = if daemon == self.leader.daemon { 0 } else { self.delay_us() };
        if self.leader.is_present {
            let report = Box::new(report);
            self.queue
                .push(self.now_us + delay_us, Event::SyncReportArrives { daemon, turn, report });
        }
        // Schedules the next report for the case that no answer arrives.
        self.daemons[daemon].sync_turn += 1;
        let turn = self.daemons[daemon].sync_turn;
        self.daemons[daemon].next_sync_us = self.now_us + ANSWER_TIMEOUT_US;
        self.queue.push(self.now_us + ANSWER_TIMEOUT_US, Event::Sync { daemon, turn });
        if !self.leader.is_present {
            self.record_lost_leader(daemon);
        }
    }

    /// Records that a daemon's report found no leader, and discards replicas that are too old.
    fn record_lost_leader(&mut self, daemon: usize) {
        let now_ms = self.now_ms();
        let local_view = &mut self.daemons[daemon].local_view;
        local_view.record_leader(false, now_ms);
        if now_ms > local_view.received_ms + VIEW_VALID_MS {
            local_view.replicas.clear();
        }
        self.recheck_waiting(daemon);
    }

    /// Selects an endpoint again for each request that waits at a daemon.
    fn recheck_waiting(&mut self, daemon: usize) {
        let waiting: Vec<usize> = self.daemons[daemon].waiting.iter().copied().collect();
        for request in waiting {
            if self.daemons[daemon].waiting.contains(&request) {
                self.select_endpoint(request);
            }
        }
    }

    pub(super) fn sync_report_arrived(&mut self, daemon: usize, turn: u64, report: SyncReport) {
        if !self.leader.is_present || report.term != self.leader.term {
            return;
        }
        let now_ms = self.now_ms();
        let vm = VmName::from(format!("v{daemon:03}"));
        self.leader.state.demand.report_received(vm.clone(), report.demand_report, now_ms);
        if self.now_us >= self.leader.planned_us + PLAN_GAP_US {
            self.plan();
        }
        let leader_version = self.daemons[self.leader.daemon].list_version;
        let entries = self.list[report.list_version.min(leader_version)..leader_version].iter();
        let directory = &self.daemons[self.leader.daemon].local_view.directory;
        let answer = SyncAnswer {
            term: self.leader.term,
            view: self.leader.state.view(&self.service, directory, now_ms),
            last_planned: self.leader.state.demand.last_planned(&vm),
            list_version: leader_version,
            entries: entries.map(|(_, entry)| entry.clone()).collect(),
        };
        let delay_us = if daemon == self.leader.daemon { 0 } else { self.delay_us() };
        let answer = Box::new(answer);
        self.queue.push(self.now_us + delay_us, Event::SyncAnswerArrives { daemon, turn, answer });
    }

    pub(super) fn sync_answer_arrived(&mut self, daemon: usize, turn: u64, answer: SyncAnswer) {
        let now_ms = self.now_ms();
        let daemon_state = &mut self.daemons[daemon];
        // Only the answer to the latest report counts.
        if !daemon_state.is_alive || daemon_state.sync_turn != turn + 1 {
            return;
        }
        daemon_state.reported_term = answer.term;
        let was_lost = !daemon_state.local_view.has_leader;
        daemon_state.local_view.record_leader(true, now_ms);
        if daemon_state.list_version < answer.list_version {
            for entry in answer.entries {
                apply_entry(&mut daemon_state.local_view.directory, entry, now_ms);
            }
            daemon_state.list_version = answer.list_version;
        }
        let is_changed = daemon_state.local_view.update_replicas(
            self.service.clone(),
            answer.view,
            answer.last_planned,
            now_ms,
        );
        let is_waiting = !daemon_state.waiting.is_empty();
        let intervals = self.sync_intervals(daemon);
        let next_ms = if is_waiting { intervals.waiting_ms() } else { intervals.idle_ms() };
        self.schedule_sync(daemon, self.now_us + next_ms * 1_000);
        if is_changed || was_lost {
            self.recheck_waiting(daemon);
        }
    }

    pub(super) fn store_read(&mut self) {
        let now_ms = self.now_ms();
        if self.leader.is_present && !self.is_store_away {
            let daemon_state = &mut self.daemons[self.leader.daemon];
            while let Some((at_us, entry)) = self.list.get(daemon_state.list_version) {
                if *at_us > self.now_us {
                    break;
                }
                apply_entry(&mut daemon_state.local_view.directory, entry.clone(), now_ms);
                daemon_state.list_version += 1;
            }
        }
        self.queue.push(self.now_us + STORE_READ_US, Event::StoreRead);
    }

    pub(super) fn plan_tick(&mut self, term: u64) {
        if term != self.leader.term || !self.leader.is_present {
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
        let started_changes =
            self.leader.state.plan(&self.spec, self.policy, &directory, 0, |_| true, now_ms);
        for (endpoint, _, chain) in started_changes {
            let engine = self.engines.iter().position(|engine| engine.name == endpoint.name);
            let Some(engine) = engine else {
                self.leader.state.finish_change(&endpoint.incarnation(), &chain, now_ms);
                continue;
            };
            let change =
                ActiveChange { chain, incarnation: endpoint.incarnation(), sent: 0, answered: 0 };
            self.leader.changes.insert(engine, change);
            let term = self.leader.term;
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    /// Takes the next step of a change at an engine: an order, a request for a report, or its end.
    pub(super) fn change_step(&mut self, term: u64, engine: usize) {
        if term != self.leader.term || !self.leader.is_present {
            return;
        }
        let now_ms = self.now_ms();
        let Some(change) = self.leader.changes.get_mut(&engine) else { return };
        let (next, not_before_ms) = change.chain.next();
        if now_ms < not_before_ms {
            let at_us = not_before_ms * 1_000;
            return self.queue.push(at_us, Event::ChangeStep { term, engine });
        }
        match next {
            NextStep::Done | NextStep::Failed(_) => {
                if let Some(finished) = self.leader.changes.remove(&engine) {
                    self.leader.state.finish_change(&finished.incarnation, &finished.chain, now_ms);
                }
                if self.now_us >= self.leader.planned_us + PLAN_GAP_US {
                    self.plan();
                }
            }
            NextStep::Report => self.request_engine_report(term, engine),
            NextStep::Send(order, count) => {
                change.sent += 1;
                let start = self.engines[engine].start;
                let delay_us = self.delay_us();
                let order = Box::new((order, count));
                let event = Event::OrderArrives { term, engine, start, order };
                self.queue.push(self.now_us + delay_us, event);
                if self.is_silent(engine) || !self.engines[engine].is_alive {
                    let answer = OrderAnswer::Unknown;
                    let event = Event::OrderAnswered { term, engine, answer };
                    self.queue.push(self.now_us + ORDER_TIMEOUT_US, event);
                }
            }
        }
    }

    fn request_engine_report(&mut self, term: u64, engine: usize) {
        let engine_state = &self.engines[engine];
        let is_reachable = engine_state.is_alive && !self.is_silent(engine);
        let report = is_reachable.then(|| {
            Box::new(EngineReport {
                started_unix_ms: 0,
                held: engine_state.held.clone(),
                is_busy: engine_state.is_busy(),
                order_count: engine_state.order_count,
                waiting: 0,
                running: 0,
            })
        });
        let duration_us = if is_reachable { 2 * self.delay_us() } else { ORDER_TIMEOUT_US };
        self.queue
            .push(self.now_us + duration_us, Event::EngineReportArrives { term, engine, report });
    }

    pub(super) fn engine_report_arrived(
        &mut self,
        term: u64,
        engine: usize,
        report: Option<&EngineReport>,
    ) {
        if term != self.leader.term {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(change) = self.leader.changes.get_mut(&engine) {
            change.chain.apply_report(report, now_ms);
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    pub(super) fn order_arrived(
        &mut self,
        term: u64,
        engine: usize,
        start: u64,
        order: &Order,
        count: u64,
    ) {
        let delay_us = self.delay_us();
        if self.is_silent(engine) || !self.engines[engine].is_alive {
            return;
        }
        if self.engines[engine].start != start {
            let answer = OrderAnswer::Replaced;
            let event = Event::OrderAnswered { term, engine, answer };
            return self.queue.push(self.now_us + delay_us, event);
        }
        let fits = self.fits(engine, order);
        let (load_us, source) = match order {
            Order::LoadModel(model) => self.load_us(engine, model),
            _ => (0, LoadSource::Memory),
        };
        let outcome = self.engines[engine].handle_order(order, count, fits, load_us, self.now_us);
        if let (OrderAnswer::Accepted, Order::LoadModel(_)) = (outcome.answer, order) {
            match source {
                LoadSource::WeightStore => {
                    self.outcome.remote_loads += 1;
                    let ends_us = self.now_us + load_us;
                    self.remote_loads.insert((engine, self.now_us), ends_us);
                }
                LoadSource::Memory | LoadSource::Disk => self.outcome.local_loads += 1,
            }
        }
        self.outcome.orders += u64::from(outcome.answer == OrderAnswer::Accepted);
        self.outcome.overfilled += u64::from(outcome.overfills);
        if let Some(at_us) = outcome.check_at_us {
            self.queue.push(at_us, Event::OrderCheck { engine, start });
        }
        let event = Event::OrderAnswered { term, engine, answer: outcome.answer };
        self.queue.push(self.now_us + delay_us, event);
    }

    /// Returns whether an engine has room for what an order loads.
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
        let Some(change) = self.leader.changes.get_mut(&engine) else { return };
        change.answered += 1;
        if change.answered <= change.sent {
            change.chain.apply_answer(answer, now_ms);
            self.queue.push(self.now_us, Event::ChangeStep { term, engine });
        }
    }

    /// Completes an engine's current order if it is due.
    pub(super) fn check_order(&mut self, engine: usize, start: u64) {
        if self.engines[engine].start != start {
            return;
        }
        self.engines[engine].complete_due_order(self.now_us);
    }
}

fn apply_entry(directory: &mut trestle_dispatch::directory::Directory, entry: Entry, now_ms: u64) {
    match entry {
        Entry::Written(endpoint) => {
            directory.apply_written(endpoint);
        }
        Entry::Removed(name) => directory.apply_removal(&name, now_ms),
    }
}
