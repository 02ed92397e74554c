//! One VM: its processor and link, and what its daemon knows.

use std::{collections::BTreeMap, ops::Range};
use trestle_core::names::{DomainName, VmName};
use trestle_dispatch::{
    groups::Groups,
    lease::{Identity, Lease, LeaseTiming},
    member_count::MemberCount,
    outage::Outage,
    placement_log::{PlacementLog, PlacementMirror},
};

/// Longest pause between two tries of a store that is away: a third of the shortest bound.
const LONGEST_PAUSE_MS: u64 = 1_333;

/// Work that is done one after the other, so much a second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Queue {
    per_s: f64,
    free_us: u64,
    pub(super) done: f64,
}

impl Queue {
    pub(super) fn new(per_s: f64) -> Self {
        Self { per_s, free_us: 0, done: 0.0 }
    }

    /// When an amount of work that comes now is done.
    pub(super) fn add(&mut self, amount: f64, now_us: u64) -> u64 {
        let took_us = (amount * 1e6 / self.per_s) as u64;
        self.free_us = self.free_us.max(now_us) + took_us;
        self.done += amount;
        self.free_us
    }

    /// Everything in it is gone.
    pub(super) fn clear(&mut self, now_us: u64) {
        self.free_us = now_us;
    }
}

/// One VM with its daemon.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: VmName,
    pub(super) domain: DomainName,
    pub(super) millicores: u32,
    /// Core-seconds.
    pub(super) processor: Queue,
    /// Bytes that leave.
    pub(super) link: Queue,
    pub(super) is_alive: bool,
    /// Grows with each start; what belongs to an earlier one comes to nothing.
    pub(super) start: u64,
    pub(super) started_ms: u64,
    pub(super) reaches_store_from_us: u64,
    /// From when to when it is, or was last, suspended.
    pub(super) suspended_us: Range<u64>,
    /// Time for which it was suspended before.
    pub(super) slept_us: u64,
    pub(super) groups: Groups,
    pub(super) leases: BTreeMap<DomainName, Lease>,
    pub(super) must_read: bool,
    pub(super) is_reading: bool,
    pub(super) next_read_ms: u64,
    pub(super) outage: Outage,
    /// What it tells while it leads.
    pub(super) log: PlacementLog,
    pub(super) told_ms: u64,
    pub(super) members: MemberCount,
    pub(super) was_leader: bool,
    /// What it has heard.
    pub(super) mirror: PlacementMirror,
    pub(super) askers: usize,
    pub(super) config: usize,
    /// Number of its last question, and whether it waits for the answer.
    pub(super) question: u64,
    pub(super) is_waiting: bool,
    pub(super) attempt: usize,
    /// Until when a leader's word stands for the store's.
    pub(super) relayed_until_ms: u64,
}

impl Vm {
    pub(super) fn new(
        number: usize,
        domain: DomainName,
        processor_cores: f64,
        link_per_s: f64,
    ) -> Self {
        Self {
            name: format!("v{number:03}").into(),
            domain,
            millicores: (processor_cores * 1e3) as u32,
            processor: Queue::new(processor_cores),
            link: Queue::new(link_per_s),
            is_alive: false,
            start: 0,
            started_ms: 0,
            reaches_store_from_us: 0,
            suspended_us: 0..0,
            slept_us: 0,
            groups: Groups::default(),
            leases: BTreeMap::new(),
            must_read: true,
            is_reading: false,
            next_read_ms: 0,
            outage: Outage::new(LONGEST_PAUSE_MS),
            log: PlacementLog::new(0),
            told_ms: 0,
            members: MemberCount::default(),
            was_leader: false,
            mirror: PlacementMirror::default(),
            askers: 1,
            config: 0,
            question: 0,
            is_waiting: false,
            attempt: 0,
            relayed_until_ms: 0,
        }
    }

    /// The daemon starts, and knows nothing.
    pub(super) fn begin(&mut self, groups: Groups, timing: LeaseTiming, now_us: u64) {
        let start = self.start + 1;
        let (processor, link) = (self.processor, self.link);
        let fresh = Self::new(0, self.domain.clone(), 1.0, 1.0);
        *self = Self {
            name: self.name.clone(),
            millicores: self.millicores,
            processor,
            link,
            is_alive: true,
            start,
            started_ms: now_us / 1_000,
            reaches_store_from_us: self.reaches_store_from_us,
            groups,
            // Each start of a daemon has a log of its own.
            log: PlacementLog::new(start * 1_000 + u64::from(self.millicores) + 1),
            question: self.question + 1,
            ..fresh
        };
        self.processor.clear(now_us);
        self.link.clear(now_us);
        for group in self.groups.all().clone() {
            let identity = Identity {
                vm: self.name.to_string(),
                address: ([127, 0, 0, 1], 7_000).into(),
                millicores: self.millicores,
                incarnation: start,
            };
            self.leases.insert(group, Lease::new(identity, timing));
        }
    }

    /// Time for which it has been suspended by now.
    pub(super) fn slept_us(&self, now_us: u64) -> u64 {
        let Range { start, end } = self.suspended_us;
        self.slept_us + now_us.clamp(start, end) - start
    }

    /// The groups whose leases it holds.
    pub(super) fn led(&self, now_ms: u64) -> std::collections::BTreeSet<DomainName> {
        let led = self.leases.iter().filter(|(_, lease)| lease.is_holder(now_ms));
        led.map(|(group, _)| group.clone()).collect()
    }
}
