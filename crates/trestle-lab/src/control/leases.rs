//! Leases: daemons acquire, renew and read them through the store.

use super::{
    plan::LeaseRows,
    simulation::{CALL_BYTES, Event, MESSAGE_CORE_S, Simulation},
    vm::Vm,
};
use trestle_core::names::DomainName;
use trestle_dispatch::{
    candidate::Candidate,
    lease::{LeaseRow, LeaseWrite},
    store_version::StoreVersion,
};

/// Shortest interval between two reads of the rows, as in the daemon.
const READ_GAP_MS: u64 = 800;
/// Interval between two checks of the leases by a leader, and by another daemon, as in the daemon.
const LEADER_TICK_US: u64 = 100_000;
const TICK_US: u64 = 250_000;
/// Longest wait for a partition; the store refuses writes that would wait longer.
const MAX_PARTITION_WAIT_US: u64 = 1_000_000;
/// Bytes of the message in which one leader sends another its leases.
const LEADER_BYTES: f64 = 300.0;
/// Time after which a daemon stops waiting for the store, as in the daemon.
const CALL_TIMEOUT_US: u64 = 1_500_000;

/// A write of a lease row that was sent to the store.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) vm: usize,
    start: u64,
    group: DomainName,
    write: LeaseWrite,
    sent_ms: u64,
    /// Whether the sender has received the result or stopped waiting for it; the write may still
    /// take effect.
    is_resolved: bool,
    outcome: Option<WriteOutcome>,
}

/// The result of a write.
#[derive(Debug)]
enum WriteOutcome {
    /// The row was written, with this version.
    Written(StoreVersion),
    /// The store has this row instead of the expected one, with its version.
    Conflict(LeaseRow, StoreVersion),
    /// The store refused the write without carrying it out.
    Refused,
}

impl Simulation<'_> {
    /// Checks the leases of a daemon, as its control thread does periodically: resigns, acquires
    /// or renews them, and reads the rows where it must.
    pub(super) fn lease_tick(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let now_ms = self.clock_ms(number);
        let mut due = Vec::new();
        let vm = &mut self.vms[number];
        let led = vm.led_groups(now_ms);
        let ready_since_ms = vm.started_ms + 20;
        let groups: Vec<DomainName> = vm.leases.keys().cloned().collect();
        for group in groups {
            let takeover_delay_ms = vm.groups.takeover_delay_ms(&group, &vm.domain, &led, now_ms);
            let is_home_group = group == *vm.groups.home_group(&vm.domain);
            let candidate = Candidate {
                millicores: vm.millicores,
                age_ms: now_ms - vm.started_ms,
                ready_since_ms,
                is_cut_off: false,
            };
            let Some(lease) = vm.leases.get_mut(&group) else { continue };
            if lease.has_run_out(now_ms) {
                lease.resign(now_ms);
            }
            let last = lease.seen().map(|(row, _)| row);
            let from_ms = lease.free_from_ms().map(|free_ms| match is_home_group {
                true => candidate.may_acquire_from_ms(free_ms, last),
                false => free_ms,
            });
            let from_ms =
                from_ms.zip(takeover_delay_ms).map(|(from_ms, wait_ms)| from_ms + wait_ms);
            let may_acquire = from_ms.is_some_and(|from_ms| now_ms >= from_ms);
            if (lease.is_holder(now_ms) || (may_acquire && vm.outage.may_try(now_ms)))
                && let Some(write) = lease.due_write(now_ms)
            {
                due.push((group, write));
            }
        }
        for (group, write) in due {
            self.send_write(number, group, write);
        }
        let vm = &mut self.vms[number];
        let is_leader = !vm.led_groups(now_ms).is_empty();
        if is_leader && !vm.was_leader {
            vm.members.begin(now_ms);
        }
        vm.was_leader = is_leader;
        if is_leader {
            self.send_leases_to_leaders(number);
        }
        let vm = &mut self.vms[number];
        let may_read = now_ms >= vm.next_read_ms && vm.outage.may_try(now_ms);
        if vm.must_read && !vm.is_reading && may_read {
            vm.is_reading = true;
            vm.next_read_ms = now_ms + READ_GAP_MS;
            let arrives_us = self.call(number);
            self.push(arrives_us, Event::LeasesRead { vm: number, start });
        }
        let next_us = if is_leader { LEADER_TICK_US } else { TICK_US };
        self.push(self.now_us + next_us, Event::LeaseTick { vm: number, start });
    }

    /// Sends the leases that a leader holds to the other leaders. The message arrives at once, but
    /// takes the sender's bandwidth and the processor time of a message at both sides.
    fn send_leases_to_leaders(&mut self, number: usize) {
        let (now_ms, now_us) = (self.clock_ms(number), self.now_us);
        let held = self.vms[number].leases.iter();
        let held = held.filter(|(_, lease)| lease.is_holder(now_ms));
        let rows = held.filter_map(|(group, lease)| {
            let (row, version) = lease.seen()?;
            Some((group.clone(), row.clone(), version))
        });
        let rows: Vec<(DomainName, LeaseRow, StoreVersion)> = rows.collect();
        let is_recipient = |vm: &Vm| vm.is_alive && vm.was_leader;
        let recipients = (0..self.vms.len()).filter(|other| *other != number);
        let recipients = recipients
            .filter(|other| is_recipient(&self.vms[*other]) && !self.is_suspended(*other));
        let recipients: Vec<usize> = recipients.collect();
        for other in recipients {
            self.vms[number].link.add(LEADER_BYTES, now_us);
            for vm in [number, other] {
                self.vms[vm].processor.add(MESSAGE_CORE_S, now_us);
            }
            let received_ms = self.clock_ms(other);
            for (group, row, version) in &rows {
                if let Some(lease) = self.vms[other].leases.get_mut(group) {
                    lease.observed(Some(row.clone()), *version, received_ms);
                }
            }
        }
    }

    /// Sends a call to the store, and returns the time at which the store handles it.
    pub(super) fn call(&mut self, number: usize) -> u64 {
        self.outcome.store_calls += 1;
        let done_us = self.vms[number].processor.add(MESSAGE_CORE_S, self.now_us);
        let sent_us = self.vms[number].link.add(CALL_BYTES, done_us);
        sent_us + (self.plan.store_ms * self.store_slowdown * 1e3) as u64
    }

    pub(super) fn reaches_store(&self, number: usize) -> bool {
        self.now_us >= self.vms[number].reaches_store_from_us
    }

    fn send_write(&mut self, vm: usize, group: DomainName, write: LeaseWrite) {
        let (start, sent_ms) = (self.vms[vm].start, self.clock_ms(vm));
        let (is_resolved, outcome) = (false, None);
        self.writes.push(PendingWrite { vm, start, group, write, sent_ms, is_resolved, outcome });
        let number = self.writes.len() - 1;
        let arrives_us = self.call(vm);
        self.push(arrives_us, Event::WriteArrives { number });
        self.push(self.now_us + CALL_TIMEOUT_US, Event::WriteAnswered { number });
    }

    /// Queues a write at its partition of the store, which carries out one write at a time.
    pub(super) fn write_arrived(&mut self, number: usize) {
        let PendingWrite { vm, start, group, .. } = &self.writes[number];
        if !self.is_current(*vm, *start) || !self.reaches_store(*vm) {
            return;
        }
        let partition = match self.plan.lease_rows {
            LeaseRows::Together => None,
            LeaseRows::Apart => Some(group.clone()),
        };
        let duration_us = (self.plan.transaction_ms * self.store_slowdown * 1e3) as u64;
        let free_us = self.partitions.entry(partition).or_default();
        if *free_us > self.now_us + MAX_PARTITION_WAIT_US {
            self.writes[number].outcome = Some(WriteOutcome::Refused);
            self.push(self.now_us + 1_000, Event::WriteAnswered { number });
            return;
        }
        *free_us = (*free_us).max(self.now_us) + duration_us;
        let done_us = *free_us;
        self.push(done_us, Event::Committed { number });
    }

    /// Ends a transaction, which takes effect if the row still has the expected version.
    pub(super) fn committed(&mut self, number: usize) {
        let PendingWrite { group, write, .. } = &self.writes[number];
        let (group, write) = (group.clone(), write.clone());
        let current = self.rows.get(&group);
        let outcome = match current {
            Some((row, version)) if *version != write.expected => {
                WriteOutcome::Conflict(row.clone(), *version)
            }
            None if write.expected.is_of_existing_row() => return,
            _ => {
                self.version.number += 3;
                self.outcome.takeovers += u64::from(write.row.renewals == 0);
                self.rows.insert(group, (write.row, self.version));
                WriteOutcome::Written(self.version)
            }
        };
        self.writes[number].outcome = Some(outcome);
        self.push(self.now_us + 1_000, Event::WriteAnswered { number });
    }

    pub(super) fn write_answered(&mut self, number: usize) {
        let (now_ms, now_us) = (self.clock_ms(self.writes[number].vm), self.now_us);
        let PendingWrite { vm, start, group, write, sent_ms, is_resolved, outcome } =
            &mut self.writes[number];
        // Of the answer and the timeout, whichever comes first counts.
        if std::mem::replace(is_resolved, true) {
            return;
        }
        let (vm, start, group, sent_ms) = (*vm, *start, group.clone(), *sent_ms);
        let write = write.clone();
        let outcome = outcome.take();
        if !self.is_current(vm, start) {
            return;
        }
        let is_cut_off = now_us < self.vms[vm].reaches_store_from_us;
        let vm_state = &mut self.vms[vm];
        let Some(lease) = vm_state.leases.get_mut(&group) else { return };
        match outcome.filter(|_| !is_cut_off) {
            Some(WriteOutcome::Written(version)) => {
                vm_state.outage.answered();
                lease.write_finished(write, Some(version), sent_ms, now_ms);
            }
            Some(WriteOutcome::Conflict(row, version)) => {
                vm_state.outage.answered();
                lease.write_finished(write, None, sent_ms, now_ms);
                lease.observed(Some(row), version, now_ms);
            }
            Some(WriteOutcome::Refused) => {
                vm_state.outage.failed(now_ms);
                lease.write_finished(write, None, sent_ms, now_ms);
            }
            None => {
                lease.write_finished(write, None, sent_ms, now_ms);
                vm_state.must_read = true;
            }
        }
    }

    pub(super) fn leases_read(&mut self, number: usize, start: u64) {
        if !self.is_current(number, start) {
            return;
        }
        let now_ms = self.clock_ms(number);
        let reaches = self.reaches_store(number);
        let vm = &mut self.vms[number];
        vm.is_reading = false;
        if !reaches {
            return;
        }
        vm.must_read = false;
        vm.outage.answered();
        for (group, lease) in &mut vm.leases {
            match self.rows.get(group) {
                Some((row, version)) => lease.observed(Some(row.clone()), *version, now_ms),
                None => lease.observed(None, StoreVersion::default(), now_ms),
            }
        }
    }
}
