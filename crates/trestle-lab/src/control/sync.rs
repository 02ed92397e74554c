//! Sync requests of daemons, and the answers of their leaders.

use super::{
    plan::AnswerFormat,
    simulation::{Event, MESSAGE_CORE_S, Simulation},
    vm::Vm,
};
use bincode::Options;
use std::collections::BTreeMap;
use trestle_core::names::{DomainName, EndpointName};
use trestle_dispatch::{
    endpoint::Held,
    groups,
    lease::LeaseRow,
    placement_log::{PlacementDelta, PlacementPosition},
    store_version::StoreVersion,
    sync_intervals::SyncIntervals,
};
use trestle_wire::placements::WirePlacementDelta;

/// Age up to which a leader answers from its log without updating it, as in the daemon.
const LOG_REUSE_MS: u64 = 30;
/// Time after which a daemon stops waiting for an answer, as in the daemon.
const ANSWER_TIMEOUT_US: u64 = 600_000;
/// Interval between two reads of a daemon that polls the store itself, as in the daemon.
pub(super) const STORE_POLL_US: u64 = 450_000;
/// Processor time of each KB of a message, in core-seconds; an answer of 5 KB takes some 0.1 ms in
/// the daemon.
const KB_CORE_S: f64 = 8e-6;
/// Bytes of a request, and of an answer without its placements.
const REQUEST_BYTES: f64 = 500.0;
const ANSWER_BYTES: f64 = 300.0;
/// Bytes of each entry in the store's list of endpoints.
const ENTRY_BYTES: f64 = 700.0;

/// An answer of a leader in transit.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) to: usize,
    request: u64,
    is_leader: bool,
    delta: PlacementDelta,
    config_version: usize,
    leader_clients: usize,
    rows: Vec<(DomainName, LeaseRow, StoreVersion)>,
}

impl Simulation<'_> {
    /// Returns the VM that a daemon queries next: itself if it leads, else a holder of a lease
    /// that it knows. It queries the holder for its home group first, and another holder after each
    /// failed sync.
    fn leader_to_query(&self, number: usize) -> Option<usize> {
        let vm = &self.vms[number];
        let now_ms = self.clock_ms(number);
        if !vm.led_groups(now_ms).is_empty() {
            return Some(number);
        }
        let holder_of = |group: &DomainName| {
            let (row, _) = vm.leases.get(group)?.seen()?;
            let is_other = row.holder != vm.name.as_str() && !row.is_released;
            is_other.then(|| self.vms.iter().position(|other| other.name.as_str() == row.holder))?
        };
        let home = vm.groups.home_group(&vm.domain);
        let mut other_groups: Vec<&DomainName> =
            vm.groups.all().iter().filter(|group| *group != home).collect();
        other_groups.sort_by_key(|group| groups::rank(vm.name.as_str(), group));
        let all: Vec<usize> =
            std::iter::once(home).chain(other_groups).filter_map(holder_of).collect();
        all.get(vm.attempt % all.len().max(1)).copied()
    }

    pub(super) fn sync(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let Some(to) = self.leader_to_query(number) else { return self.leader_unanswered(number) };
        let vm = &mut self.vms[number];
        vm.last_request += 1;
        vm.awaits_answer = true;
        let request = vm.last_request;
        let done_us = vm.processor.add(MESSAGE_CORE_S, self.now_us);
        let sent_us = vm.link.add(REQUEST_BYTES, done_us);
        let delay_us = if to == number { 0 } else { (self.plan.way_ms * 1e3) as u64 };
        self.push(sent_us + delay_us, Event::SyncRequest { from: number, request, to });
        self.push(self.now_us + ANSWER_TIMEOUT_US, Event::SyncTimeout { vm: number, request });
    }

    /// Handles a sync without an answer: the daemon reads the leases and tries again soon.
    fn leader_unanswered(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.must_read = true;
        vm.attempt += 1;
        let (start, intervals) =
            (vm.start, SyncIntervals::new(vm.leader_clients, self.plan.bound_ms));
        self.push(self.now_us + intervals.waiting_ms() * 1_000, Event::Sync { vm: number, start });
    }

    pub(super) fn sync_timed_out(&mut self, number: usize, request: u64) {
        let vm = &mut self.vms[number];
        if vm.is_alive && vm.awaits_answer && vm.last_request == request {
            vm.awaits_answer = false;
            self.leader_unanswered(number);
        }
    }

    pub(super) fn sync_requested(&mut self, from: usize, request: u64, to: usize) {
        if !self.vms[to].is_alive {
            return;
        }
        let done_us = self.vms[to].processor.add(MESSAGE_CORE_S, self.now_us);
        self.push(done_us, Event::AnswerReady { from, request, to });
    }

    pub(super) fn answer_ready(&mut self, from: usize, request: u64, to: usize) {
        if !self.vms[to].is_alive {
            return;
        }
        let now_ms = self.clock_ms(to);
        let requester = &self.vms[from];
        let (position, requester_version, requester_name) =
            (requester.mirror.position(), requester.config_version, requester.name.clone());
        let home = requester.groups.home_group(&requester.domain).clone();
        let leader = &mut self.vms[to];
        let led = leader.led_groups(now_ms);
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
        let mut config_version = requester_version;
        if is_leader {
            leader.members.report_received(requester_name, now_ms);
            if requester_version < self.config_version {
                config_version = self.config_version;
                bytes += self.plan.config_bytes as f64;
            }
            match self.plan.telling {
                AnswerFormat::Whole { answer_bytes } => bytes += answer_bytes as f64,
                AnswerFormat::ByChange => {
                    delta = placement_delta(leader, &self.held, position, now_ms);
                    bytes += encoded_bytes(&delta) + self.plan.engines as f64;
                }
            }
        }
        let core_s = bytes / 1e3 * KB_CORE_S;
        let done_us = leader.processor.add(core_s, self.now_us);
        let sent_us = leader.link.add(bytes, done_us);
        let leader_clients = leader.members.current();
        let answer =
            Answer { to: from, request, is_leader, delta, config_version, leader_clients, rows };
        self.answers.push(answer);
        let number = self.answers.len() - 1;
        let delay_us = if to == from { 0 } else { (self.plan.way_ms * 1e3) as u64 };
        self.push(sent_us + delay_us, Event::AnswerArrives { number });
    }

    pub(super) fn answer_arrived(&mut self, number: usize) {
        let now_ms = self.clock_ms(self.answers[number].to);
        let answer = &mut self.answers[number];
        let vm = &mut self.vms[answer.to];
        if !vm.is_alive || !vm.awaits_answer || vm.last_request != answer.request {
            return;
        }
        vm.awaits_answer = false;
        for (group, row, version) in answer.rows.drain(..) {
            if let Some(lease) = vm.leases.get_mut(&group) {
                lease.observed(Some(row), version, now_ms);
            }
        }
        let to = answer.to;
        if !answer.is_leader {
            return self.leader_unanswered(to);
        }
        vm.attempt = 0;
        vm.mirror.apply_delta(std::mem::take(&mut answer.delta));
        vm.leader_clients = answer.leader_clients.max(1);
        vm.config_version = answer.config_version;
        let intervals = SyncIntervals::new(vm.leader_clients, self.plan.bound_ms);
        vm.relayed_until_ms = now_ms + 3 * intervals.idle_ms();
        let start = vm.start;
        self.push(self.now_us + intervals.idle_ms() * 1_000, Event::Sync { vm: to, start });
    }

    /// Reads the store at a leader, and at a daemon that has had no leader's answer for too long.
    pub(super) fn poll_store(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let now_ms = self.clock_ms(number);
        let is_leader = !self.vms[number].led_groups(now_ms).is_empty();
        if is_leader || now_ms >= self.vms[number].relayed_until_ms {
            let entries = if is_leader { 1.0 } else { self.plan.engines as f64 };
            self.call(number);
            let core_s = MESSAGE_CORE_S + entries * ENTRY_BYTES / 1e3 * KB_CORE_S;
            let now_us = self.now_us;
            self.vms[number].processor.add(core_s, now_us);
            if self.reaches_store(number) {
                self.vms[number].config_version = self.config_version;
            }
        }
        self.push(self.now_us + STORE_POLL_US, Event::StorePoll { vm: number, start });
    }
}

/// Returns what a daemon lacks of the leader's log, which is updated first unless its last update
/// is more recent than [`LOG_REUSE_MS`].
fn placement_delta(
    leader: &mut Vm,
    held: &BTreeMap<EndpointName, Held>,
    position: PlacementPosition,
    now_ms: u64,
) -> PlacementDelta {
    if now_ms >= leader.log_updated_ms + LOG_REUSE_MS {
        leader.log_updated_ms = now_ms;
        leader.log.update(held.iter());
    }
    leader.log.delta(position)
}

/// Returns the size of a placement delta on the wire.
fn encoded_bytes(delta: &PlacementDelta) -> f64 {
    let wire = WirePlacementDelta::from(delta.clone());
    bincode::DefaultOptions::new().serialized_size(&wire).unwrap_or_default() as f64
}
