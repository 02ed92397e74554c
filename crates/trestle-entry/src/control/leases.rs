//! The leases of all groups of engines, as one daemon sees them.

use crate::{
    control::{
        group_lease::{self, GroupLease, TABLE},
        message::{Leader, Message},
    },
    daemon::Daemon,
};
use async_channel::Sender;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};
use trestle_core::names::DomainName;
use trestle_dispatch::{
    candidate::Candidate,
    decision_leaders::DecisionLeaders,
    groups::{self, Groups},
    lease::{LeaseRow, LeaseWrite, Resignation},
    local_view::LocalView,
    member_count::DaemonCount,
    store::WriteOutcome,
    store_version::StoreVersion,
};
use trestle_wire::{
    replicas::{WireGroupLease, WireResignation},
    store_version::WireStoreVersion,
};

/// Shortest time between two reads of the rows while a leader does not answer.
const READ_GAP_MS: u64 = 800;
/// Shortest time between two reads of other groups' rows at a daemon that leads no group. Each row
/// is a separate call, and each of sixty daemons that have lost their leader needs the rows once,
/// to sync with another leader.
const OTHERS_READ_GAP_MS: u64 = 5_000;

/// The leases of all groups of engines.
#[derive(Debug)]
pub(crate) struct Leases {
    daemon: Arc<Daemon>,
    incarnation: u64,
    domain: DomainName,
    groups: Groups,
    /// The group whose leader this daemon syncs with, and since when.
    home_group: Option<(DomainName, u64)>,
    by_group: BTreeMap<DomainName, GroupLease>,
    decision_leaders: DecisionLeaders,
    quiet_ms: u64,
    next_read_ms: u64,
    is_reading: bool,
    /// Groups whose rows must be read.
    to_read: BTreeSet<DomainName>,
    /// When all rows are read again if this daemon's leader still does not answer.
    others_read_ms: Option<u64>,
    /// Since when this daemon has been ready to lead; `None` while it is not.
    ready_since_ms: Option<u64>,
    is_acting: bool,
    is_releasing: bool,
    released: Option<Sender<()>>,
}

impl Leases {
    /// Returns the leases before any row has been read.
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        let configured = daemon.settings.domains.iter().map(|domain| domain.as_str().into());
        let configured = configured.collect();
        Self {
            incarnation: fastrand::u64(1..),
            domain: daemon.settings.domain.as_str().into(),
            groups: Groups::with_domains(configured),
            home_group: None,
            by_group: BTreeMap::new(),
            decision_leaders: DecisionLeaders::default(),
            quiet_ms: daemon.settings.bounds.order_quiet_ms,
            next_read_ms: 0,
            is_reading: false,
            to_read: BTreeSet::new(),
            others_read_ms: None,
            ready_since_ms: None,
            is_acting: false,
            is_releasing: false,
            released: None,
            daemon,
        }
    }

    /// Sets the quiet time that the next takeovers observe.
    pub(crate) fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.quiet_ms = quiet_ms;
        self.by_group.values_mut().for_each(|lease| lease.set_quiet_ms(quiet_ms));
    }

    /// Sets how many daemons sync with this one.
    pub(crate) fn set_daemons(&mut self, daemons: usize, now_ms: u64) {
        let led = self.led(now_ms);
        let per_group = daemons.div_ceil(led.len().max(1)) as u32;
        for (group, lease) in &mut self.by_group {
            if led.contains(group) {
                lease.set_daemons(per_group);
            }
        }
    }

    /// Returns how many daemons synced with the holders before this daemon: of the groups that it
    /// leads, and of all groups. Returns `None` while a row has not been read.
    pub(crate) fn daemons_before(&self, now_ms: u64) -> Option<DaemonCount> {
        let led = self.led(now_ms);
        let mut before = DaemonCount::default();
        for (group, lease) in &self.by_group {
            let daemons = lease.daemons_before()? as usize;
            before.all += daemons;
            if led.contains(group) {
                before.members += daemons;
            }
        }
        Some(before)
    }

    /// Returns how many daemons synced with the last holders of some groups, as counted by these
    /// holders.
    pub(crate) fn daemons_of<'a>(&self, groups: impl Iterator<Item = &'a DomainName>) -> usize {
        let rows = groups.filter_map(|group| self.by_group.get(group)?.seen_row());
        rows.map(|row| row.daemons as usize).sum()
    }

    /// Records leases as sent by their holder.
    pub(crate) fn receive(&mut self, leases: Vec<WireGroupLease>, now_ms: u64) {
        for received in leases {
            let group = DomainName::from(received.group);
            match received.version.try_into() {
                Ok(version) => {
                    self.lease(&group).observe(Some(received.row.into()), version, now_ms)
                }
                // A leader of an earlier release does not report in which era the row has its version.
                Err(_) => _ = self.to_read.insert(group),
            }
        }
    }

    /// Records leases as read from the store.
    pub(crate) fn record_rows(
        &mut self,
        rows: BTreeMap<DomainName, (Option<LeaseRow>, StoreVersion)>,
        now_ms: u64,
    ) {
        self.is_reading = false;
        for (group, (row, version)) in rows {
            self.to_read.remove(&group);
            self.lease(&group).observe(row, version, now_ms);
        }
        self.record_read_attempt();
    }

    /// Records that the leases could not be read.
    pub(crate) fn record_read_failure(&mut self, now_ms: u64) {
        self.is_reading = false;
        self.next_read_ms = now_ms + READ_GAP_MS;
        self.record_read_attempt();
    }

    /// Records in the local view that a read of the lease rows was tried.
    fn record_read_attempt(&self) {
        let is_first =
            |local_view: &mut LocalView| !std::mem::replace(&mut local_view.are_leases_read, true);
        if self.daemon.shared_view.with(is_first) {
            self.daemon.shared_view.notify_changed();
        }
    }

    /// Handles a leader that does not answer.
    pub(crate) fn leader_unresponsive(&mut self, now_ms: u64) {
        if now_ms < self.next_read_ms {
            return;
        }
        self.to_read.insert(self.groups.home_group(&self.domain).clone());
        let others_read_ms = *self.others_read_ms.get_or_insert(now_ms + OTHERS_READ_GAP_MS);
        let reads_all = self.is_acting || now_ms >= others_read_ms;
        if reads_all {
            self.others_read_ms = None;
        }
        let others = self.by_group.iter();
        let others = others.filter(|(_, lease)| reads_all || lease.seen_row().is_none());
        self.to_read.extend(others.map(|(group, _)| group.clone()));
    }

    /// Records the outcome of a write.
    pub(crate) fn write_finished(
        &mut self,
        group: &DomainName,
        write: LeaseWrite,
        outcome: WriteOutcome,
        sent_ms: u64,
        now_ms: u64,
    ) {
        if self.lease(group).write_finished(write, outcome, sent_ms, now_ms) {
            self.to_read.insert(group.clone());
        }
    }

    /// Records the report of a leader that has stepped down.
    pub(crate) fn resignation_received(
        &mut self,
        group: &DomainName,
        resignation: Resignation,
        now_ms: u64,
    ) {
        self.lease(group).resignation_received(resignation, now_ms);
    }

    fn lease(&mut self, group: &DomainName) -> &mut GroupLease {
        let make = || {
            let mut lease =
                GroupLease::new(Arc::clone(&self.daemon), group.clone(), self.incarnation);
            lease.set_quiet_ms(self.quiet_ms);
            if self.is_releasing {
                lease.release();
            }
            lease
        };
        self.by_group.entry(group.clone()).or_insert_with(make)
    }

    /// Does the work that is due.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        match self.daemon.is_ready() {
            true => _ = self.ready_since_ms.get_or_insert(now_ms),
            false => self.ready_since_ms = None,
        }
        self.update_groups(now_ms);
        self.read_if_due(now_ms);
        let led = self.led(now_ms);
        let millicores = self.daemon.settings.millicores();
        let cut_off = cut_off_groups(&self.daemon, now_ms);
        for (group, lease) in &mut self.by_group {
            let is_cut_off = cut_off.contains(group);
            lease.step_down_if_cut_off(is_cut_off, now_ms);
            let takeover_delay_ms =
                self.groups.takeover_delay_ms(group, &self.domain, &led, now_ms);
            let home_since_ms = self
                .home_group
                .as_ref()
                .filter(|(home_group, _)| home_group == group)
                .map(|(_, since_ms)| *since_ms);
            let may_acquire = |free_from_ms: u64, last: Option<&LeaseRow>| {
                let (Some(ready_since_ms), Some(wait_ms)) =
                    (self.ready_since_ms, takeover_delay_ms)
                else {
                    return false;
                };
                let from_ms = match home_since_ms {
                    // Stronger VMs may acquire the lease first, even if the group has only now
                    // become the home group of all VMs.
                    Some(home_since_ms) => {
                        let ready_since_ms = ready_since_ms.max(home_since_ms);
                        let candidate =
                            Candidate { millicores, age_ms: now_ms, ready_since_ms, is_cut_off };
                        candidate.may_acquire_from_ms(free_from_ms, last)
                    }
                    None if is_cut_off => return false,
                    None => free_from_ms,
                };
                now_ms >= from_ms + wait_ms
            };
            lease.tick(may_acquire, now_ms);
        }
        let held = self.daemon.order_permits.held(now_ms);
        let groups = self.groups.max_groups();
        self.daemon.with_quota_allocator(|quota_allocator| {
            quota_allocator.set_group_count(groups);
            quota_allocator.set_leases(&held, now_ms);
        });
        self.update_acting(now_ms);
        let mut last_holders = self.by_group.values().map(GroupLease::last_holder);
        let is_last_holder = last_holders.any(|leader| matches!(leader, Leader::Here { .. }));
        self.daemon.is_last_holder.store(is_last_holder, Ordering::Relaxed);
        self.update_decision_leaders(now_ms);
        let is_release_done = self.by_group.values().all(GroupLease::is_release_done);
        if let Some(released) = self.released.take_if(|_| is_release_done) {
            let _ = released.try_send(());
        }
    }

    fn update_groups(&mut self, now_ms: u64) {
        let (domains, engines) = self.daemon.shared_view.with(|local_view| {
            (local_view.directory.domains(), local_view.directory.iter().count())
        });
        self.groups.update(domains, engines, now_ms);
        let home_group = self.groups.home_group(&self.domain).clone();
        if self.home_group.as_ref().is_none_or(|(known, _)| *known != home_group) {
            self.home_group = Some((home_group.clone(), now_ms));
            self.to_read.insert(home_group.clone());
        }
        let mut needed: BTreeSet<DomainName> = self.groups.all().clone();
        needed.insert(home_group);
        for group in needed {
            if !self.by_group.contains_key(&group) {
                self.lease(&group);
                // A daemon that leads no group receives the row from its leader.
                if self.is_acting {
                    self.to_read.insert(group);
                }
            }
        }
    }

    fn read_if_due(&mut self, now_ms: u64) {
        let is_due = !self.to_read.is_empty() && !self.is_reading;
        if is_due && now_ms >= self.next_read_ms && self.daemon.store.may_try() {
            self.is_reading = true;
            self.next_read_ms = now_ms + READ_GAP_MS;
            smol::spawn(read(Arc::clone(&self.daemon), self.to_read.clone())).detach();
        }
    }

    fn update_acting(&mut self, now_ms: u64) {
        let is_acting = self.is_leading(now_ms);
        if self.is_acting != is_acting {
            self.is_acting = is_acting;
            self.daemon.freshness.set_leader(is_acting);
            if is_acting {
                // A leader syncs with the other leaders, and acquires groups that have no leader.
                let unread = self.by_group.iter();
                let unread = unread.filter(|(_, lease)| lease.seen_row().is_none());
                self.to_read.extend(unread.map(|(group, _)| group.clone()));
                self.next_read_ms = self.next_read_ms.min(now_ms);
            }
        }
    }

    /// Releases all leases, and sends a reply once that is done.
    pub(crate) fn release(&mut self, reply: Sender<()>) {
        self.is_releasing = true;
        self.by_group.values_mut().for_each(GroupLease::release);
        self.released = Some(reply);
    }

    /// Returns whether leases are still to be released.
    pub(crate) fn is_release_pending(&self) -> bool {
        self.released.is_some()
    }

    /// Returns whether this daemon holds any lease.
    pub(crate) fn is_leading(&self, now_ms: u64) -> bool {
        self.by_group.values().any(|lease| lease.is_holder(now_ms))
    }

    /// Returns whether this daemon held a lease at the last tick.
    pub(crate) fn is_acting(&self) -> bool {
        self.is_acting
    }

    /// Returns the groups whose leases this daemon holds.
    pub(crate) fn led(&self, now_ms: u64) -> BTreeSet<DomainName> {
        let led = self.by_group.iter().filter(|(_, lease)| lease.is_holder(now_ms));
        led.map(|(group, _)| group.clone()).collect()
    }

    /// Returns the lease rows for a requester that addressed a group's leader: those held by this
    /// daemon, and that of the group. Requesters of earlier releases know no eras.
    pub(crate) fn rows_for(
        &self,
        group: &str,
        knows_eras: bool,
        now_ms: u64,
    ) -> Vec<WireGroupLease> {
        let sent = self
            .by_group
            .iter()
            .filter(|(name, lease)| lease.is_holder(now_ms) || name.as_str() == group);
        let rows = sent.filter_map(|(group, lease)| {
            let (mut row, version) = lease.row()?;
            // These lists are sent once per requester, not with each answer.
            row.refused.clear();
            row.departures.clear();
            let version = match knows_eras {
                true => WireStoreVersion::from(version),
                false => WireStoreVersion::without_era(version),
            };
            Some(WireGroupLease { group: group.to_string(), row, version })
        });
        rows.collect()
    }

    /// Returns the reports to other daemons on groups for which this daemon has stepped down.
    pub(crate) fn resignations(&self, now_ms: u64) -> Vec<(String, WireResignation)> {
        let each = self
            .by_group
            .iter()
            .filter_map(|(group, lease)| Some((group.to_string(), lease.resignation(now_ms)?)));
        each.collect()
    }

    /// Returns the leader that this daemon should sync with after `attempt` consecutive leaders did
    /// not answer.
    ///
    /// The leader of its own group comes first. If that one does not answer, any other leader
    /// knows the contents of the store and where models are loaded; daemons spread over these
    /// leaders.
    pub(crate) fn leader(&self, attempt: usize, now_ms: u64) -> Leader {
        let mut leading = self.by_group.values().map(|lease| lease.leader(now_ms));
        if let Some(here) = leading.find(|leader| matches!(leader, Leader::Here { .. })) {
            return here;
        }
        let home_group = self.groups.home_group(&self.domain);
        let home_leader = self.by_group.get(home_group).map(|lease| lease.leader(now_ms));
        let home_leader = home_leader.into_iter().filter(|leader| *leader != Leader::Nobody);
        let vm = self.daemon.settings.vm.as_str();
        let mut others: Vec<(u64, Leader)> = self
            .by_group
            .iter()
            .filter(|(group, _)| *group != home_group)
            .map(|(group, lease)| (groups::rank(vm, group), lease.leader(now_ms)))
            .filter(|(_, leader)| *leader != Leader::Nobody)
            .collect();
        others.sort_by_key(|(rank, _)| *rank);
        let all: Vec<Leader> =
            home_leader.chain(others.into_iter().map(|(_, leader)| leader)).collect();
        all.get(attempt % all.len().max(1)).cloned().unwrap_or(Leader::Nobody)
    }

    /// Returns the leader that makes the decisions on a name for all daemons, and since when if
    /// another leader may have made them before. Leaders know of the same groups, so they agree on
    /// it. While no lease can be renewed, the last holders go on deciding. Unlike an order, such a
    /// decision needs no lease: if another leader decides as well, one attempt more runs at a time.
    pub(crate) fn decision_leader(&mut self, name: &str, now_ms: u64) -> (Leader, Option<u64>) {
        self.update_decision_leaders(now_ms);
        let group = self.decision_leaders.group_for(name);
        let lease = group.and_then(|group| self.by_group.get(group));
        let leader = lease.map_or(Leader::Nobody, GroupLease::last_holder);
        (leader, self.decision_leaders.decides_since_ms(name))
    }

    fn update_decision_leaders(&mut self, now_ms: u64) {
        let here = self.daemon.peers_address();
        for (group, lease) in &self.by_group {
            let leader = match lease.last_holder() {
                Leader::Here { token, .. } => Some((here, token)),
                Leader::At { address, token, .. } => Some((address, token)),
                Leader::Nobody => None,
            };
            self.decision_leaders.record_leader(group, leader, now_ms);
        }
    }

    /// Returns where the leader of a group is.
    pub(crate) fn leader_of(&self, group: &DomainName, now_ms: u64) -> Leader {
        let lease = self.by_group.get(group);
        lease.map_or(Leader::Nobody, |lease| lease.leader(now_ms))
    }

    /// Returns the addresses of other leaders, each with a group that the other leader leads, and
    /// the other leader's fencing number there.
    pub(crate) fn other_leaders(&self, now_ms: u64) -> BTreeMap<SocketAddr, (DomainName, u64)> {
        let each = self.by_group.values().filter_map(|lease| match lease.leader(now_ms) {
            Leader::At { address, group, token } => Some((address, (group, token))),
            Leader::Here { .. } | Leader::Nobody => None,
        });
        each.collect()
    }
}

/// Returns the groups from whose engines this daemon is cut off while other daemons reach them.
fn cut_off_groups(daemon: &Daemon, now_ms: u64) -> BTreeSet<DomainName> {
    daemon.shared_view.with(|local_view| {
        let reachability = &local_view.reachability;
        if reachability.blocked() == 0 {
            return BTreeSet::new();
        }
        let is_cut_off = |group: &DomainName| {
            let directory = local_view.directory.iter();
            let engines = directory
                .filter(|endpoint| endpoint.domain == *group && local_view.is_engine(endpoint));
            reachability.is_cut_off_from(engines, now_ms)
        };
        local_view.directory.domains().into_iter().filter(is_cut_off).collect()
    })
}

async fn read(daemon: Arc<Daemon>, groups: BTreeSet<DomainName>) {
    let mut rows = BTreeMap::new();
    for group in groups {
        match daemon.store.read(TABLE, group_lease::partition(&group)).await {
            Ok(page) => {
                let lease = group_lease::find(&group, &page);
                rows.insert(group, lease);
            }
            Err(error) => {
                tracing::warn!(%error, "lease: The lease rows cannot be read.");
                daemon.send(Message::LeaseReadFailed);
                return;
            }
        }
    }
    daemon.send(Message::LeasesRead(rows));
}
