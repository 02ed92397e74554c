//! The state of the simulated control plane, and the loop over its events.

use super::{
    faults::at_s,
    leases::PendingWrite,
    outcome::Outcome,
    plan::{Clocks, ControlPlan, Leaders},
    sync::{Answer, STORE_POLL_US},
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
    store_version::StoreVersion,
};

/// Times of the lease, as in the daemon.
const RENEW_MS: u64 = 600;
const HOLD_MS: u64 = 2_000;
const IN_FLIGHT_MS: u64 = 500;
/// Interval between two samples of which daemons may give orders.
const SAMPLE_US: u64 = 20_000;
/// Processor time of a message at either side, in core-seconds, besides that of its bytes.
pub(super) const MESSAGE_CORE_S: f64 = 60e-6;
/// Bytes of a call to the store.
pub(super) const CALL_BYTES: f64 = 500.0;

/// An event of the simulation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Start { vm: usize },
    LeaseTick { vm: usize, start: u64 },
    Sync { vm: usize, start: u64 },
    SyncRequest { from: usize, request: u64, to: usize },
    AnswerReady { from: usize, request: u64, to: usize },
    AnswerArrives { number: usize },
    SyncTimeout { vm: usize, request: u64 },
    StorePoll { vm: usize, start: u64 },
    WriteArrives { number: usize },
    Committed { number: usize },
    WriteAnswered { number: usize },
    LeasesRead { vm: usize, start: u64 },
    PlacementChange,
    ConfigChange,
    FaultBegins { number: usize },
    FaultEnds { number: usize },
    Sample,
}

/// The state of the simulated control plane.
pub(super) struct Simulation<'a> {
    pub(super) plan: &'a ControlPlan,
    pub(super) random: ChaCha8Rng,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) events: u64,
    pub(super) now_us: u64,
    pub(super) vms: Vec<Vm>,
    /// Lease rows in the store, with their versions.
    pub(super) rows: BTreeMap<DomainName, (LeaseRow, StoreVersion)>,
    /// Version of the latest write to the store.
    pub(super) version: StoreVersion,
    /// Factor by which the store is slower than usual.
    pub(super) store_slowdown: f64,
    /// Time until which transactions occupy each partition; the key is `None` where all leases
    /// share one.
    pub(super) partitions: BTreeMap<Option<DomainName>, u64>,
    /// Models that each engine holds.
    pub(super) held: BTreeMap<EndpointName, Held>,
    pub(super) answers: Vec<Answer>,
    pub(super) writes: Vec<PendingWrite>,
    /// Version of the latest configuration.
    pub(super) config_version: usize,
    /// Time of the latest change of the configuration.
    pub(super) config_changed_us: u64,
    /// The daemon that last might give orders to each group, and when.
    pub(super) last_leaders: BTreeMap<DomainName, (usize, u64)>,
    /// Time at which a fault last ended; 0 before the first end.
    pub(super) last_fault_us: u64,
    pub(super) outcome: Outcome,
}

/// Simulates a plan and returns the outcome; the same seed gives the same outcome.
pub fn run(plan: &ControlPlan, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(plan, seed);
    let end_us = (plan.duration_s * 1e6) as u64;
    while let Some(Reverse((at_us, _, event))) = simulation.queue.pop() {
        if at_us > end_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a ControlPlan, seed: u64) -> Self {
        let mut simulation = Self {
            plan,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: 0,
            now_us: 0,
            vms: Vec::new(),
            rows: BTreeMap::new(),
            version: StoreVersion::default(),
            store_slowdown: 1.0,
            partitions: BTreeMap::new(),
            held: BTreeMap::new(),
            answers: Vec::new(),
            writes: Vec::new(),
            config_version: 1,
            config_changed_us: 0,
            last_leaders: BTreeMap::new(),
            last_fault_us: 0,
            outcome: Outcome {
                store_calls: 0,
                takeovers: 0,
                without_orders_s: BTreeMap::new(),
                overlaps: 0,
                max_bytes_per_s: 0.0,
                median_bytes_per_s: 0.0,
                max_cores: 0.0,
                config_rollout_ms: 0,
                recovery_ms: 0,
            },
        };
        let kinds = plan.vms.iter().flat_map(|kind| std::iter::repeat_n(kind, kind.count));
        for (number, kind) in kinds.enumerate() {
            let domain = domain(number % plan.domains);
            simulation.vms.push(Vm::new(
                number,
                domain,
                kind.processor_cores,
                kind.link_bytes_per_s,
            ));
            let at_us = simulation.random.random_range(0..300_000);
            simulation.push(at_us, Event::Start { vm: number });
        }
        for engine in 0..plan.engines {
            let name = EndpointName::from(format!("i-{engine:08}"));
            let held = (0..3).map(|_| (simulation.random_model(), BTreeSet::new())).collect();
            simulation.held.insert(name, held);
        }
        simulation.push(0, Event::PlacementChange);
        simulation.push(1_000_000, Event::Sample);
        for at_s in &plan.config_at_s {
            simulation.push((at_s * 1e6) as u64, Event::ConfigChange);
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            simulation.push((at_s(fault) * 1e6) as u64, Event::FaultBegins { number });
        }
        simulation
    }

    pub(super) fn push(&mut self, at_us: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at_us, self.events, event)));
    }

    pub(super) fn random_model(&mut self) -> ModelName {
        format!("m{:06}", self.random.random_range(0..self.plan.models)).into()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Returns the time on a daemon's clock.
    pub(super) fn clock_ms(&self, vm: usize) -> u64 {
        let uncounted_us = match self.plan.clocks {
            Clocks::Counting => 0,
            Clocks::Standing => self.vms[vm].total_suspended_us(self.now_us),
        };
        (self.now_us - uncounted_us) / 1_000
    }

    pub(super) fn is_suspended(&self, vm: usize) -> bool {
        self.vms[vm].suspended_us.contains(&self.now_us)
    }

    /// Returns the VM that handles an event, or `None` for events outside the VMs.
    fn acting_vm(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Start { vm }
            | Event::LeaseTick { vm, .. }
            | Event::Sync { vm, .. }
            | Event::SyncTimeout { vm, .. }
            | Event::StorePoll { vm, .. }
            | Event::LeasesRead { vm, .. } => Some(*vm),
            Event::SyncRequest { to, .. } | Event::AnswerReady { to, .. } => Some(*to),
            Event::AnswerArrives { number } => Some(self.answers[*number].to),
            Event::WriteAnswered { number } => Some(self.writes[*number].vm),
            Event::WriteArrives { .. }
            | Event::Committed { .. }
            | Event::PlacementChange
            | Event::ConfigChange
            | Event::FaultBegins { .. }
            | Event::FaultEnds { .. }
            | Event::Sample => None,
        }
    }

    fn handle(&mut self, event: Event) {
        // Events of a suspended VM wait until it continues.
        if let Some(vm) = self.acting_vm(&event).filter(|vm| self.is_suspended(*vm)) {
            return self.push(self.vms[vm].suspended_us.end, event);
        }
        match event {
            Event::Start { vm } => self.start_daemon(vm),
            Event::LeaseTick { vm, start } => self.lease_tick(vm, start),
            Event::Sync { vm, start } => self.sync(vm, start),
            Event::SyncRequest { from, request, to } => self.sync_requested(from, request, to),
            Event::AnswerReady { from, request, to } => self.answer_ready(from, request, to),
            Event::AnswerArrives { number } => self.answer_arrived(number),
            Event::SyncTimeout { vm, request } => self.sync_timed_out(vm, request),
            Event::StorePoll { vm, start } => self.poll_store(vm, start),
            Event::WriteArrives { number } => self.write_arrived(number),
            Event::Committed { number } => self.committed(number),
            Event::WriteAnswered { number } => self.write_answered(number),
            Event::LeasesRead { vm, start } => self.leases_read(vm, start),
            Event::PlacementChange => self.change_placement(),
            Event::ConfigChange => {
                self.config_version += 1;
                self.config_changed_us = self.now_us;
            }
            Event::FaultBegins { number } => self.fault_begins(number),
            Event::FaultEnds { number } => self.fault_ends(number),
            Event::Sample => self.sample(),
        }
    }

    fn start_daemon(&mut self, number: usize) {
        let timing = LeaseTiming {
            renew_ms: RENEW_MS,
            hold_ms: HOLD_MS,
            quiet_ms: self.plan.quiet_ms,
            in_flight_ms: IN_FLIGHT_MS,
        };
        let mut groups = Groups::default();
        match self.plan.leaders {
            Leaders::One => groups.update([domain(0)].into(), 1, 0),
            Leaders::EachDomain => {
                groups.update((0..self.plan.domains).map(domain).collect(), self.plan.engines, 0);
            }
        }
        let vm = &mut self.vms[number];
        vm.start_daemon(groups, timing, self.now_us);
        vm.config_version = self.config_version;
        let start = vm.start;
        // A daemon first reads the configuration and the list of endpoints.
        self.outcome.store_calls += 2;
        self.push(self.now_us + 20_000, Event::LeaseTick { vm: number, start });
        self.push(self.now_us + 40_000, Event::Sync { vm: number, start });
        self.push(self.now_us + STORE_POLL_US, Event::StorePoll { vm: number, start });
    }

    /// Returns whether a daemon runs and has not been restarted since this start.
    pub(super) fn is_current(&self, vm: usize, start: u64) -> bool {
        self.vms[vm].is_alive && self.vms[vm].start == start
    }

    /// Replaces one model of a random engine.
    fn change_placement(&mut self) {
        let models: Vec<ModelName> = (0..2).map(|_| self.random_model()).collect();
        let number = self.random.random_range(0..self.held.len());
        if let Some(held) = self.held.values_mut().nth(number) {
            held.pop_first();
            held.extend(models.into_iter().take(1).map(|model| (model, BTreeSet::new())));
        }
        if self.plan.changes_per_s > 0.0 {
            let gap_us = (1e6 / self.plan.changes_per_s) as u64;
            self.push(self.now_us + gap_us.max(1), Event::PlacementChange);
        }
    }

    /// Samples which daemons may give orders, and whether the latest configuration is in force.
    fn sample(&mut self) {
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
                is_running && lease.is_some_and(|lease| lease.may_order(clocks[*number]).is_some())
            };
            let eligible: Vec<usize> = (0..self.vms.len()).filter(may_order).collect();
            self.outcome.overlaps += u64::from(eligible.len() > 1);
            let Some(leader) = eligible.first() else {
                let without_orders_s = self.outcome.without_orders_s.entry(group).or_default();
                *without_orders_s += SAMPLE_US as f64 / 1e6;
                if self.last_fault_us > 0 {
                    self.outcome.recovery_ms = (self.now_us - self.last_fault_us) / 1_000;
                }
                continue;
            };
            let previous = self.last_leaders.insert(group, (*leader, now_ms));
            let is_close = previous.is_some_and(|(previous_leader, at_ms)| {
                previous_leader != *leader && now_ms < at_ms + self.plan.quiet_ms
            });
            self.outcome.overlaps += u64::from(is_close);
        }
        let is_outdated =
            self.vms.iter().any(|vm| vm.is_alive && vm.config_version < self.config_version);
        if is_outdated {
            let outdated_ms = (self.now_us - self.config_changed_us) / 1_000;
            self.outcome.config_rollout_ms = self.outcome.config_rollout_ms.max(outdated_ms);
        }
        self.push(self.now_us + SAMPLE_US, Event::Sample);
    }

    fn finish(mut self) -> Outcome {
        let seconds = self.plan.duration_s;
        let mut bytes: Vec<f64> = self.vms.iter().map(|vm| vm.link.done / seconds).collect();
        bytes.sort_by(f64::total_cmp);
        self.outcome.max_bytes_per_s = bytes.last().copied().unwrap_or_default();
        self.outcome.median_bytes_per_s = bytes[bytes.len() / 2];
        let cores = self.vms.iter().map(|vm| vm.processor.done / seconds);
        self.outcome.max_cores = cores.fold(0.0, f64::max);
        self.outcome
    }
}

pub(super) fn domain(number: usize) -> DomainName {
    format!("d{number}").into()
}
