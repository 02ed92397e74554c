//! One VM: its processor and link, and the state of its daemon.

use std::{collections::BTreeMap, ops::Range};
use trestle_core::names::{DomainName, VmName};
use trestle_dispatch::{
    groups::Groups,
    lease::{Identity, Lease, LeaseTiming},
    member_count::MemberCount,
    outage::Outage,
    placement_log::{PlacementLog, PlacementMirror},
};

/// Longest delay between two calls to an unavailable store: a third of the shortest bound.
const MAX_RETRY_DELAY_MS: u64 = 1_333;

/// A processor or link that does work in the order of its arrival, at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Resource {
    /// Amount of work that is done in a second.
    rate_per_s: f64,
    /// Time at which all work added so far is done.
    free_us: u64,
    /// Amount of work added so far.
    pub(super) done: f64,
}

impl Resource {
    pub(super) fn new(rate_per_s: f64) -> Self {
        Self { rate_per_s, free_us: 0, done: 0.0 }
    }

    /// Adds an amount of work and returns the time at which it is done.
    pub(super) fn add(&mut self, amount: f64, now_us: u64) -> u64 {
        let duration_us = (amount * 1e6 / self.rate_per_s) as u64;
        self.free_us = self.free_us.max(now_us) + duration_us;
        self.done += amount;
        self.free_us
    }

    /// Drops all pending work.
    pub(super) fn drop_pending(&mut self, now_us: u64) {
        self.free_us = now_us;
    }
}

/// The state of one VM and its daemon.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: VmName,
    pub(super) domain: DomainName,
    pub(super) millicores: u32,
    /// The processor; work is in core-seconds.
    pub(super) processor: Resource,
    /// The outgoing link; work is in bytes.
    pub(super) link: Resource,
    pub(super) is_alive: bool,
    /// Number of the daemon's starts; events of an earlier start are ignored.
    pub(super) start: u64,
    pub(super) started_ms: u64,
    /// Time from which calls of the daemon reach the store.
    pub(super) reaches_store_from_us: u64,
    /// The current or latest suspension, from its beginning to its end.
    pub(super) suspended_us: Range<u64>,
    /// Total time of earlier suspensions.
    pub(super) earlier_suspension_us: u64,
    pub(super) groups: Groups,
    pub(super) leases: BTreeMap<DomainName, Lease>,
    /// Whether the daemon has to read the lease rows.
    pub(super) must_read: bool,
    /// Whether a read of the lease rows is in progress.
    pub(super) is_reading: bool,
    pub(super) next_read_ms: u64,
    pub(super) outage: Outage,
    /// The log of placements from which a leader answers other daemons.
    pub(super) log: PlacementLog,
    /// When the daemon last updated its log.
    pub(super) log_updated_ms: u64,
    pub(super) members: MemberCount,
    pub(super) was_leader: bool,
    /// Placements received from leaders.
    pub(super) mirror: PlacementMirror,
    /// Number of daemons that sync with the same leader.
    pub(super) leader_clients: usize,
    /// Version of the configuration in force at the daemon.
    pub(super) config_version: usize,
    /// Number of the daemon's last sync request.
    pub(super) last_request: u64,
    /// Whether the daemon waits for the answer to its last sync request.
    pub(super) awaits_answer: bool,
    /// Number of syncs since the last answer of a leader; selects the leader to query next.
    pub(super) attempt: usize,
    /// Time until which a leader's answers replace reads of the store.
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
            processor: Resource::new(processor_cores),
            link: Resource::new(link_per_s),
            is_alive: false,
            start: 0,
            started_ms: 0,
            reaches_store_from_us: 0,
            suspended_us: 0..0,
            earlier_suspension_us: 0,
            groups: Groups::default(),
            leases: BTreeMap::new(),
            must_read: true,
            is_reading: false,
            next_read_ms: 0,
            outage: Outage::new(MAX_RETRY_DELAY_MS),
            log: PlacementLog::new(0),
            log_updated_ms: 0,
            members: MemberCount::default(),
            was_leader: false,
            mirror: PlacementMirror::default(),
            leader_clients: 1,
            config_version: 0,
            last_request: 0,
            awaits_answer: false,
            attempt: 0,
            relayed_until_ms: 0,
        }
    }

    /// Starts the daemon with empty state.
    pub(super) fn start_daemon(&mut self, groups: Groups, timing: LeaseTiming, now_us: u64) {
        let start = self.start + 1;
        let (processor, link) = (self.processor, self.link);
        let initial = Self::new(0, self.domain.clone(), 1.0, 1.0);
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
            // Each start of a daemon begins a log with a number of its own.
            log: PlacementLog::new(start * 1_000 + u64::from(self.millicores) + 1),
            last_request: self.last_request + 1,
            ..initial
        };
        self.processor.drop_pending(now_us);
        self.link.drop_pending(now_us);
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

    /// Returns the total time for which the VM has been suspended.
    pub(super) fn total_suspended_us(&self, now_us: u64) -> u64 {
        let Range { start, end } = self.suspended_us;
        self.earlier_suspension_us + now_us.clamp(start, end) - start
    }

    /// Returns the groups whose leases the daemon holds.
    pub(super) fn led_groups(&self, now_ms: u64) -> std::collections::BTreeSet<DomainName> {
        let led = self.leases.iter().filter(|(_, lease)| lease.is_holder(now_ms));
        led.map(|(group, _)| group.clone()).collect()
    }
}
