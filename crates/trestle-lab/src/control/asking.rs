//! Questions of daemons, and what their leaders answer.

use super::{
    plan::Telling,
    vm::Vm,
    world::{Event, MESSAGE_CORE_S, World},
};
use bincode::Options;
use std::collections::BTreeMap;
use trestle_core::names::{DomainName, EndpointName};
use trestle_dispatch::{
    endpoint::Held,
    groups,
    lease::LeaseRow,
    placement_log::{PlacementDelta, PlacementPosition},
    sync_intervals::SyncIntervals,
};
use trestle_wire::placements::WireDelta;

/// Age up to which what was told to one daemon is told to the next, as in the daemon.
const TOLD_MS: u64 = 30;
/// Time after which an answer is given up on, as in the daemon.
const ANSWER_US: u64 = 600_000;
/// Between two reads of a daemon that follows the store itself, as in the daemon.
pub(super) const ALONE_US: u64 = 450_000;
/// Processor time of each KB of a message, in core-seconds: some 0.1 ms were measured for an
/// answer of 5 KB.
const KB_CORE_S: f64 = 8e-6;
/// Bytes of a question, and of an answer besides what it tells of engines.
const QUESTION_BYTES: f64 = 500.0;
const ANSWER_BYTES: f64 = 300.0;
/// Bytes of the whole list of endpoints, for each, as the store answers it.
const ENTRY_BYTES: f64 = 700.0;

/// An answer on its way.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) to: usize,
    question: u64,
    is_leader: bool,
    delta: PlacementDelta,
    config: usize,
    askers: usize,
    rows: Vec<(DomainName, LeaseRow, u64)>,
}

impl World<'_> {
    /// Where the leader is that a daemon asks next.
    fn leader(&self, number: usize) -> Option<usize> {
        let vm = &self.vms[number];
        let now_ms = self.clock_ms(number);
        if !vm.led(now_ms).is_empty() {
            return Some(number);
        }
        let at = |group: &DomainName| {
            let (row, _) = vm.leases.get(group)?.seen()?;
            let is_other = row.holder != vm.name.as_str() && !row.is_released;
            is_other.then(|| self.vms.iter().position(|other| other.name.as_str() == row.holder))?
        };
        let home = vm.groups.home_group(&vm.domain);
        let mut others: Vec<&DomainName> =
            vm.groups.all().iter().filter(|group| *group != home).collect();
        others.sort_by_key(|group| groups::rank(vm.name.as_str(), group));
        let all: Vec<usize> = std::iter::once(home).chain(others).filter_map(at).collect();
        all.get(vm.attempt % all.len().max(1)).copied()
    }

    pub(super) fn ask(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let Some(to) = self.leader(number) else { return self.silent(number) };
        let vm = &mut self.vms[number];
        vm.question += 1;
        vm.is_waiting = true;
        let question = vm.question;
        let done_us = vm.processor.add(MESSAGE_CORE_S, self.now_us);
        let sent_us = vm.link.add(QUESTION_BYTES, done_us);
        let way_us = if to == number { 0 } else { (self.plan.way_ms * 1e3) as u64 };
        self.push(sent_us + way_us, Event::Question { from: number, question, to });
        self.push(self.now_us + ANSWER_US, Event::GiveUp { vm: number, question });
    }

    /// No leader answers.
    fn silent(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.must_read = true;
        vm.attempt += 1;
        let (start, pace) = (vm.start, SyncIntervals::new(vm.askers, self.plan.bound_ms));
        self.push(self.now_us + pace.waiting_ms() * 1_000, Event::Ask { vm: number, start });
    }

    pub(super) fn give_up(&mut self, number: usize, question: u64) {
        let vm = &mut self.vms[number];
        if vm.is_alive && vm.is_waiting && vm.question == question {
            vm.is_waiting = false;
            self.silent(number);
        }
    }

    pub(super) fn question(&mut self, from: usize, question: u64, to: usize) {
        if !self.vms[to].is_alive {
            return;
        }
        let done_us = self.vms[to].processor.add(MESSAGE_CORE_S, self.now_us);
        self.push(done_us, Event::AnswerMade { from, question, to });
    }

    pub(super) fn answer_made(&mut self, from: usize, question: u64, to: usize) {
        if !self.vms[to].is_alive {
            return;
        }
        let now_ms = self.clock_ms(to);
        let asker = &self.vms[from];
        let (position, asker_config, asker_name) =
            (asker.mirror.position(), asker.config, asker.name.clone());
        let home = asker.groups.home_group(&asker.domain).clone();
        let leader = &mut self.vms[to];
        let led = leader.led(now_ms);
        let is_leader = !led.is_empty();
        let rows =
            leader.leases.iter().filter(|(group, _)| led.contains(*group) || **group == home);
        let rows = rows.filter_map(|(group, lease)| {
            let (row, version) = lease.seen()?;
            Some((group.clone(), row.clone(), version))
        });
        let rows: Vec<_> = rows.collect();
        let mut bytes = ANSWER_BYTES;
        let mut delta = PlacementDelta::default();
        let mut config = asker_config;
        if is_leader {
            leader.members.report_received(asker_name, now_ms);
            if asker_config < self.config {
                config = self.config;
                bytes += self.plan.config_bytes as f64;
            }
            match self.plan.telling {
                Telling::Whole { answer_bytes } => bytes += answer_bytes as f64,
                Telling::ByChange => {
                    delta = tell(leader, &self.held, position, now_ms);
                    bytes += encoded_bytes(&delta) + self.plan.engines as f64;
                }
            }
        }
        let work = bytes / 1e3 * KB_CORE_S;
        let done_us = leader.processor.add(work, self.now_us);
        let sent_us = leader.link.add(bytes, done_us);
        let askers = leader.members.current();
        let answer = Answer { to: from, question, is_leader, delta, config, askers, rows };
        self.answers.push(answer);
        let number = self.answers.len() - 1;
        let way_us = if to == from { 0 } else { (self.plan.way_ms * 1e3) as u64 };
        self.push(sent_us + way_us, Event::Answer { number });
    }

    pub(super) fn answered(&mut self, number: usize) {
        let now_ms = self.clock_ms(self.answers[number].to);
        let answer = &mut self.answers[number];
        let vm = &mut self.vms[answer.to];
        if !vm.is_alive || !vm.is_waiting || vm.question != answer.question {
            return;
        }
        vm.is_waiting = false;
        for (group, row, version) in answer.rows.drain(..) {
            if let Some(lease) = vm.leases.get_mut(&group) {
                lease.observed(Some(row), version, now_ms);
            }
        }
        let to = answer.to;
        if !answer.is_leader {
            return self.silent(to);
        }
        vm.attempt = 0;
        vm.mirror.apply_delta(std::mem::take(&mut answer.delta));
        vm.askers = answer.askers.max(1);
        vm.config = answer.config;
        let pace = SyncIntervals::new(vm.askers, self.plan.bound_ms);
        vm.relayed_until_ms = now_ms + 3 * pace.idle_ms();
        let start = vm.start;
        self.push(self.now_us + pace.idle_ms() * 1_000, Event::Ask { vm: to, start });
    }

    /// A daemon that hears no leader follows the store itself.
    pub(super) fn alone(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let now_ms = self.clock_ms(number);
        let is_leader = !self.vms[number].led(now_ms).is_empty();
        if is_leader || now_ms >= self.vms[number].relayed_until_ms {
            let size = if is_leader { 1.0 } else { self.plan.engines as f64 };
            self.call(number);
            let work = MESSAGE_CORE_S + size * ENTRY_BYTES / 1e3 * KB_CORE_S;
            let now_us = self.now_us;
            self.vms[number].processor.add(work, now_us);
            if self.reaches_store(number) {
                self.vms[number].config = self.config;
            }
        }
        self.push(self.now_us + ALONE_US, Event::Alone { vm: number, start });
    }
}

/// What a leader tells a daemon that has so much of its log.
fn tell(
    leader: &mut Vm,
    held: &BTreeMap<EndpointName, Held>,
    have: PlacementPosition,
    now_ms: u64,
) -> PlacementDelta {
    if now_ms >= leader.told_ms + TOLD_MS {
        leader.told_ms = now_ms;
        leader.log.update(held.iter());
    }
    leader.log.delta(have)
}

/// Size of a message on the wire.
fn encoded_bytes(delta: &PlacementDelta) -> f64 {
    let wire = WireDelta::from(delta.clone());
    bincode::DefaultOptions::new().serialized_size(&wire).unwrap_or_default() as f64
}
