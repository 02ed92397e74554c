//! The events of control, one after the other.

use super::{
    asking::{ALONE_US, Answer},
    faults::at_s,
    leasing::Write,
    outcome::Outcome,
    plan::{Clocks, ControlPlan, Leaders},
    vm::Vm,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};
use trestle_core::names::{DomainName, EndpointName, ModelName};
use trestle_dispatch::{
    endpoint::Held,
    groups::Groups,
    lease::{LeaseRow, LeaseTiming},
};

/// Times of the lease, as in the daemon.
const RENEW_MS: u64 = 600;
const HOLD_MS: u64 = 2_000;
const FLIGHT_MS: u64 = 500;
/// Between two looks at who may give orders.
const MEASURE_US: u64 = 20_000;
/// Processor time of a message at either side, in core-seconds, besides that of its bytes.
pub(super) const MESSAGE_CORE_S: f64 = 60e-6;
/// Bytes of a call to the store.
pub(super) const CALL_BYTES: f64 = 500.0;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Start { vm: usize },
    Look { vm: usize, start: u64 },
    Ask { vm: usize, start: u64 },
    Question { from: usize, question: u64, to: usize },
    AnswerMade { from: usize, question: u64, to: usize },
    Answer { number: usize },
    GiveUp { vm: usize, question: u64 },
    Alone { vm: usize, start: u64 },
    Write { number: usize },
    Committed { number: usize },
    WriteAnswered { number: usize },
    Read { vm: usize, start: u64 },
    Change,
    Config,
    Fault { number: usize },
    FaultEnds { number: usize },
    Measure,
}

pub(super) struct World<'a> {
    pub(super) plan: &'a ControlPlan,
    pub(super) lots: ChaCha8Rng,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) events: u64,
    pub(super) now_us: u64,
    pub(super) vms: Vec<Vm>,
    pub(super) rows: BTreeMap<DomainName, (LeaseRow, u64)>,
    pub(super) version: u64,
    /// How many times as long as usual the store takes.
    pub(super) store_times: f64,
    /// Until when transactions occupy each partition.
    pub(super) partitions: BTreeMap<Option<DomainName>, u64>,
    pub(super) held: BTreeMap<EndpointName, Held>,
    pub(super) answers: Vec<Answer>,
    pub(super) writes: Vec<Write>,
    pub(super) config: usize,
    pub(super) config_since_us: u64,
    pub(super) group_of_leader: BTreeMap<DomainName, (usize, u64)>,
    pub(super) last_fault_us: u64,
    pub(super) outcome: Outcome,
}

/// Plays control from a seed.
pub fn play(plan: &ControlPlan, seed: u64) -> Outcome {
    let mut world = World::new(plan, seed);
    let end_us = (plan.duration_s * 1e6) as u64;
    while let Some(Reverse((at_us, _, event))) = world.queue.pop() {
        if at_us > end_us {
            break;
        }
        world.now_us = at_us;
        world.take(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(plan: &'a ControlPlan, seed: u64) -> Self {
        let mut world = Self {
            plan,
            lots: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: 0,
            now_us: 0,
            vms: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            store_times: 1.0,
            partitions: BTreeMap::new(),
            held: BTreeMap::new(),
            answers: Vec::new(),
            writes: Vec::new(),
            config: 1,
            config_since_us: 0,
            group_of_leader: BTreeMap::new(),
            last_fault_us: 0,
            outcome: Outcome {
                store_calls: 0,
                takeovers: 0,
                orderless_s: BTreeMap::new(),
                overlaps: 0,
                most_bytes_per_s: 0.0,
                middle_bytes_per_s: 0.0,
                most_cores: 0.0,
                config_ms: 0,
                recovered_ms: 0,
            },
        };
        let kinds = plan.vms.iter().flat_map(|kind| std::iter::repeat_n(kind, kind.count));
        for (number, kind) in kinds.enumerate() {
            let domain = domain(number % plan.domains);
            world.vms.push(Vm::new(number, domain, kind.processor_cores, kind.link_bytes_per_s));
            let at_us = world.lots.random_range(0..300_000);
            world.push(at_us, Event::Start { vm: number });
        }
        for engine in 0..plan.engines {
            let name = EndpointName::from(format!("i-{engine:08}"));
            let held = (0..3).map(|_| (world.any_model(), BTreeSet::new())).collect();
            world.held.insert(name, held);
        }
        world.push(0, Event::Change);
        world.push(1_000_000, Event::Measure);
        for at_s in &plan.config_at_s {
            world.push((at_s * 1e6) as u64, Event::Config);
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            world.push((at_s(fault) * 1e6) as u64, Event::Fault { number });
        }
        world
    }

    pub(super) fn push(&mut self, at_us: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at_us, self.events, event)));
    }

    pub(super) fn any_model(&mut self) -> ModelName {
        format!("m{:06}", self.lots.random_range(0..self.plan.models)).into()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// The time on a daemon's clock.
    pub(super) fn clock_ms(&self, vm: usize) -> u64 {
        let uncounted_us = match self.plan.clocks {
            Clocks::Counting => 0,
            Clocks::Standing => self.vms[vm].slept_us(self.now_us),
        };
        (self.now_us - uncounted_us) / 1_000
    }

    pub(super) fn is_suspended(&self, vm: usize) -> bool {
        self.vms[vm].suspended_us.contains(&self.now_us)
    }

    /// The VM that has to do something about an event.
    fn doer(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Start { vm }
            | Event::Look { vm, .. }
            | Event::Ask { vm, .. }
            | Event::GiveUp { vm, .. }
            | Event::Alone { vm, .. }
            | Event::Read { vm, .. } => Some(*vm),
            Event::Question { to, .. } | Event::AnswerMade { to, .. } => Some(*to),
            Event::Answer { number } => Some(self.answers[*number].to),
            Event::WriteAnswered { number } => Some(self.writes[*number].vm),
            Event::Write { .. }
            | Event::Committed { .. }
            | Event::Change
            | Event::Config
            | Event::Fault { .. }
            | Event::FaultEnds { .. }
            | Event::Measure => None,
        }
    }

    fn take(&mut self, event: Event) {
        // What comes to a VM that is suspended waits there.
        if let Some(vm) = self.doer(&event).filter(|vm| self.is_suspended(*vm)) {
            return self.push(self.vms[vm].suspended_us.end, event);
        }
        match event {
            Event::Start { vm } => self.start(vm),
            Event::Look { vm, start } => self.look(vm, start),
            Event::Ask { vm, start } => self.ask(vm, start),
            Event::Question { from, question, to } => self.question(from, question, to),
            Event::AnswerMade { from, question, to } => self.answer_made(from, question, to),
            Event::Answer { number } => self.answered(number),
            Event::GiveUp { vm, question } => self.give_up(vm, question),
            Event::Alone { vm, start } => self.alone(vm, start),
            Event::Write { number } => self.write(number),
            Event::Committed { number } => self.committed(number),
            Event::WriteAnswered { number } => self.write_answered(number),
            Event::Read { vm, start } => self.read(vm, start),
            Event::Change => self.change(),
            Event::Config => {
                self.config += 1;
                self.config_since_us = self.now_us;
            }
            Event::Fault { number } => self.fault(number),
            Event::FaultEnds { number } => self.fault_ends(number),
            Event::Measure => self.measure(),
        }
    }

    fn start(&mut self, number: usize) {
        let timing = LeaseTiming {
            renew_ms: RENEW_MS,
            hold_ms: HOLD_MS,
            quiet_ms: self.plan.quiet_ms,
            in_flight_ms: FLIGHT_MS,
        };
        let mut groups = Groups::default();
        match self.plan.leaders {
            Leaders::One => groups.update([domain(0)].into(), 1, 0),
            Leaders::EachDomain => {
                groups.update((0..self.plan.domains).map(domain).collect(), self.plan.engines, 0);
            }
        }
        let vm = &mut self.vms[number];
        vm.begin(groups, timing, self.now_us);
        vm.config = self.config;
        let start = vm.start;
        // The configuration and the list of endpoints are read first.
        self.outcome.store_calls += 2;
        self.push(self.now_us + 20_000, Event::Look { vm: number, start });
        self.push(self.now_us + 40_000, Event::Ask { vm: number, start });
        self.push(self.now_us + ALONE_US, Event::Alone { vm: number, start });
    }

    pub(super) fn is_current(&self, vm: usize, start: u64) -> bool {
        self.vms[vm].is_alive && self.vms[vm].start == start
    }

    fn change(&mut self) {
        let models: Vec<ModelName> = (0..2).map(|_| self.any_model()).collect();
        let number = self.lots.random_range(0..self.held.len());
        if let Some(held) = self.held.values_mut().nth(number) {
            held.pop_first();
            held.extend(models.into_iter().take(1).map(|model| (model, BTreeSet::new())));
        }
        if self.plan.changes_per_s > 0.0 {
            let gap_us = (1e6 / self.plan.changes_per_s) as u64;
            self.push(self.now_us + gap_us.max(1), Event::Change);
        }
    }

    /// Looks at who may give orders, and what is in force.
    fn measure(&mut self) {
        let now_ms = self.now_ms();
        let clocks: Vec<u64> = (0..self.vms.len()).map(|vm| self.clock_ms(vm)).collect();
        let groups: Vec<DomainName> = match self.plan.leaders {
            Leaders::One => vec![domain(0)],
            Leaders::EachDomain => (0..self.plan.domains).map(domain).collect(),
        };
        for group in groups {
            let may_order = |number: &usize| {
                let lease = self.vms[*number].leases.get(&group);
                let is_running = self.vms[*number].is_alive && !self.is_suspended(*number);
                is_running && lease.is_some_and(|l| l.may_order(clocks[*number]).is_some())
            };
            let able: Vec<usize> = (0..self.vms.len()).filter(may_order).collect();
            self.outcome.overlaps += u64::from(able.len() > 1);
            let Some(leader) = able.first() else {
                let orderless_s = self.outcome.orderless_s.entry(group).or_default();
                *orderless_s += MEASURE_US as f64 / 1e6;
                if self.last_fault_us > 0 {
                    self.outcome.recovered_ms = (self.now_us - self.last_fault_us) / 1_000;
                }
                continue;
            };
            let last = self.group_of_leader.insert(group, (*leader, now_ms));
            let is_close = last.is_some_and(|(before, at_ms)| {
                before != *leader && now_ms < at_ms + self.plan.quiet_ms
            });
            self.outcome.overlaps += u64::from(is_close);
        }
        let is_behind = self.vms.iter().any(|vm| vm.is_alive && vm.config < self.config);
        if is_behind {
            let behind_ms = (self.now_us - self.config_since_us) / 1_000;
            self.outcome.config_ms = self.outcome.config_ms.max(behind_ms);
        }
        self.push(self.now_us + MEASURE_US, Event::Measure);
    }

    fn finish(mut self) -> Outcome {
        let seconds = self.plan.duration_s;
        let mut bytes: Vec<f64> = self.vms.iter().map(|vm| vm.link.done / seconds).collect();
        bytes.sort_by(f64::total_cmp);
        self.outcome.most_bytes_per_s = bytes.last().copied().unwrap_or_default();
        self.outcome.middle_bytes_per_s = bytes[bytes.len() / 2];
        let cores = self.vms.iter().map(|vm| vm.processor.done / seconds);
        self.outcome.most_cores = cores.fold(0.0, f64::max);
        self.outcome
    }
}

pub(super) fn domain(number: usize) -> DomainName {
    format!("d{number}").into()
}
