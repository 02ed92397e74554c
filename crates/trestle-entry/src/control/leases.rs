//! The leases of all groups of engines, as one daemon sees them.

use crate::{
    control::{
        leasing::{self, Leasing, TABLE},
        message::{Leader, Message},
    },
    daemon::Daemon,
};
use async_channel::Sender;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use trestle_core::names::DomainName;
use trestle_dispatch::{
    candidate::Candidate,
    decision_leaders::DecisionLeaders,
    groups::{self, Groups},
    lease::{LeaseRow, LeaseWrite, Resignation},
    local_view::LocalView,
    store::WriteOutcome,
};
use trestle_wire::replicas::{WireGroupLease, WireResigned};

/// Between two reads of the rows while a leader does not answer.
const READ_GAP_MS: u64 = 800;
/// The same of other groups' rows, at a daemon that leads none: each row is a call of its own,
/// and of sixty daemons whose leader is lost each needs them once, to ask another leader.
const OTHERS_READ_GAP_MS: u64 = 5_000;

/// The leases of all groups of engines.
#[derive(Debug)]
pub(crate) struct Leases {
    daemon: Arc<Daemon>,
    incarnation: u64,
    domain: DomainName,
    groups: Groups,
    /// The group whose leader this daemon asks, and since when.
    home: Option<(DomainName, u64)>,
    by_group: BTreeMap<DomainName, Leasing>,
    decision_leaders: DecisionLeaders,
    quiet_ms: u64,
    next_read_ms: u64,
    is_reading: bool,
    /// Groups whose rows must be read.
    to_read: BTreeSet<DomainName>,
    /// When all rows must be read again while this daemon's leader does not answer.
    others_read_ms: Option<u64>,
    /// Since when the daemon has been ready to lead.
    ready_since_ms: Option<u64>,
    is_acting: bool,
    left: Option<Sender<()>>,
}

impl Leases {
    /// Nothing is known yet.
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        let configured = daemon.settings.domains.iter().map(|domain| domain.as_str().into());
        let configured = configured.collect();
        Self {
            incarnation: fastrand::u64(1..),
            domain: daemon.settings.domain.as_str().into(),
            groups: Groups::with_domains(configured),
            home: None,
            by_group: BTreeMap::new(),
            decision_leaders: DecisionLeaders::default(),
            quiet_ms: daemon.settings.bounds.order_quiet_ms,
            next_read_ms: 0,
            is_reading: false,
            to_read: BTreeSet::new(),
            others_read_ms: None,
            ready_since_ms: None,
            is_acting: false,
            left: None,
            daemon,
        }
    }

    /// Sets the quiet time that the next takeovers keep.
    pub(crate) fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.quiet_ms = quiet_ms;
        self.by_group.values_mut().for_each(|leasing| leasing.set_quiet_ms(quiet_ms));
    }

    /// Sets how many daemons ask this one.
    pub(crate) fn set_daemons(&mut self, daemons: usize, now_ms: u64) {
        let led = self.led(now_ms);
        let each = daemons.div_ceil(led.len().max(1)) as u32;
        for (group, leasing) in &mut self.by_group {
            if led.contains(group) {
                leasing.set_daemons(each);
            }
        }
    }

    /// Daemons that asked the last holders of some groups, as these have counted them.
    pub(crate) fn daemons_of<'a>(&self, groups: impl Iterator<Item = &'a DomainName>) -> usize {
        let rows = groups.filter_map(|group| self.by_group.get(group)?.seen_row());
        rows.map(|row| row.daemons as usize).sum()
    }

    /// Takes leases as their holder tells them.
    pub(crate) fn told(&mut self, leases: Vec<WireGroupLease>, now_ms: u64) {
        for lease in leases {
            let leasing = self.leasing(&lease.group.into());
            leasing.seen(Some(lease.row.into()), lease.version, now_ms);
        }
    }

    /// Takes leases as they were read.
    pub(crate) fn read(
        &mut self,
        rows: BTreeMap<DomainName, (Option<LeaseRow>, u64)>,
        now_ms: u64,
    ) {
        self.is_reading = false;
        for (group, (row, version)) in rows {
            self.to_read.remove(&group);
            self.leasing(&group).seen(row, version, now_ms);
        }
        self.note_read();
    }

    /// Takes that the leases could not be read.
    pub(crate) fn unread(&mut self, now_ms: u64) {
        self.is_reading = false;
        self.next_read_ms = now_ms + READ_GAP_MS;
        self.note_read();
    }

    /// Notes that it was tried to read leases' rows.
    fn note_read(&self) {
        let is_first =
            |local_view: &mut LocalView| !std::mem::replace(&mut local_view.are_leases_read, true);
        if self.daemon.knowledge.with(is_first) {
            self.daemon.knowledge.say_changed();
        }
    }

    /// Takes that a leader does not answer.
    pub(crate) fn leader_silent(&mut self, now_ms: u64) {
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
        let others = others.filter(|(_, leasing)| reads_all || leasing.seen_row().is_none());
        self.to_read.extend(others.map(|(group, _)| group.clone()));
    }

    /// Takes the outcome of a write.
    pub(crate) fn written(
        &mut self,
        group: &DomainName,
        write: LeaseWrite,
        outcome: WriteOutcome,
        sent_ms: u64,
        now_ms: u64,
    ) {
        if self.leasing(group).written(write, outcome, sent_ms, now_ms) {
            self.to_read.insert(group.clone());
        }
    }

    /// Takes what a leader says that has stepped down.
    pub(crate) fn heard(&mut self, group: &DomainName, resignation: Resignation, now_ms: u64) {
        self.leasing(group).heard(resignation, now_ms);
    }

    fn leasing(&mut self, group: &DomainName) -> &mut Leasing {
        let make = || {
            let mut leasing =
                Leasing::new(Arc::clone(&self.daemon), group.clone(), self.incarnation);
            leasing.set_quiet_ms(self.quiet_ms);
            leasing
        };
        self.by_group.entry(group.clone()).or_insert_with(make)
    }

    /// Does what is due.
    pub(crate) fn look(&mut self, now_ms: u64) {
        match self.daemon.is_ready() {
            true => _ = self.ready_since_ms.get_or_insert(now_ms),
            false => self.ready_since_ms = None,
        }
        self.follow_groups(now_ms);
        self.read_if_due(now_ms);
        let led = self.led(now_ms);
        let millicores = self.daemon.settings.millicores();
        for (group, leasing) in &mut self.by_group {
            let others_first_ms = self.groups.takeover_delay_ms(group, &self.domain, &led, now_ms);
            let home_since_ms =
                self.home.as_ref().filter(|(home, _)| home == group).map(|(_, since_ms)| *since_ms);
            let may_take = |free_from_ms: u64, last: Option<&LeaseRow>| {
                let (Some(ready_since_ms), Some(wait_ms)) = (self.ready_since_ms, others_first_ms)
                else {
                    return false;
                };
                let from_ms = match home_since_ms {
                    // Stronger ones have their turn also where the group has only now become
                    // that of all of them.
                    Some(home_since_ms) => {
                        let ready_since_ms = ready_since_ms.max(home_since_ms);
                        let candidate = Candidate { millicores, age_ms: now_ms, ready_since_ms };
                        candidate.may_acquire_from_ms(free_from_ms, last)
                    }
                    None => free_from_ms,
                };
                now_ms >= from_ms + wait_ms
            };
            leasing.look(may_take, now_ms);
        }
        let held = self.daemon.order_permits.held(now_ms);
        let groups = self.groups.max_groups();
        self.daemon.with_lender(|quota_allocator| {
            quota_allocator.set_group_count(groups);
            quota_allocator.set_leases(&held, now_ms);
        });
        self.note_acting(now_ms);
        self.note_deciders(now_ms);
        let has_left = self.by_group.values().all(Leasing::has_left);
        if let Some(left) = self.left.take_if(|_| has_left) {
            let _ = left.try_send(());
        }
    }

    fn follow_groups(&mut self, now_ms: u64) {
        let (domains, engines) = self.daemon.knowledge.with(|local_view| {
            (local_view.directory.domains(), local_view.directory.iter().count())
        });
        self.groups.update(domains, engines, now_ms);
        let home = self.groups.home_group(&self.domain).clone();
        if self.home.as_ref().is_none_or(|(known, _)| *known != home) {
            self.home = Some((home.clone(), now_ms));
            self.to_read.insert(home.clone());
        }
        let mut needed: BTreeSet<DomainName> = self.groups.all().clone();
        needed.insert(home);
        for group in needed {
            if !self.by_group.contains_key(&group) {
                self.leasing(&group);
                // Others hear of it from their leader.
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

    fn note_acting(&mut self, now_ms: u64) {
        let is_acting = self.is_leading(now_ms);
        if self.is_acting != is_acting {
            self.is_acting = is_acting;
            self.daemon.freshness.set_leader(is_acting);
            if is_acting {
                // A leader talks to the others, and takes groups that nobody leads.
                let unseen = self.by_group.iter();
                let unseen = unseen.filter(|(_, leasing)| leasing.seen_row().is_none());
                self.to_read.extend(unseen.map(|(group, _)| group.clone()));
                self.next_read_ms = self.next_read_ms.min(now_ms);
            }
        }
    }

    /// Gives all leases up, and says when that is done.
    pub(crate) fn leave(&mut self, reply: Sender<()>) {
        self.by_group.values_mut().for_each(Leasing::leave);
        self.left = Some(reply);
    }

    /// Whether this daemon holds any lease.
    pub(crate) fn is_leading(&self, now_ms: u64) -> bool {
        self.by_group.values().any(|leasing| leasing.is_holder(now_ms))
    }

    /// Whether it held one at the last look.
    pub(crate) fn is_acting(&self) -> bool {
        self.is_acting
    }

    /// The groups whose leases this daemon holds.
    pub(crate) fn led(&self, now_ms: u64) -> BTreeSet<DomainName> {
        let led = self.by_group.iter().filter(|(_, leasing)| leasing.is_holder(now_ms));
        led.map(|(group, _)| group.clone()).collect()
    }

    /// What an asker of a group's leader is told of leases: those that are held here, and that
    /// of its group.
    pub(crate) fn rows_for(&self, group: &str, now_ms: u64) -> Vec<WireGroupLease> {
        let told = self
            .by_group
            .iter()
            .filter(|(name, leasing)| leasing.is_holder(now_ms) || name.as_str() == group);
        let rows = told.filter_map(|(group, leasing)| {
            let (mut row, version) = leasing.row()?;
            // An asker is told of them once, not with each answer.
            row.refused.clear();
            row.departures.clear();
            Some(WireGroupLease { group: group.to_string(), row, version })
        });
        rows.collect()
    }

    /// What others are told of groups for which this daemon has stepped down.
    pub(crate) fn resignations(&self, now_ms: u64) -> Vec<(String, WireResigned)> {
        let each = self
            .by_group
            .iter()
            .filter_map(|(group, leasing)| Some((group.to_string(), leasing.resignation(now_ms)?)));
        each.collect()
    }

    /// Where a leader is that this daemon should ask, after so many that did not answer.
    ///
    /// Its own group's goes first. Where that does not answer, any other leader knows what the
    /// store says and where models are; daemons spread over them.
    pub(crate) fn leader(&self, attempt: usize, now_ms: u64) -> Leader {
        let mut leading = self.by_group.values().map(|leasing| leasing.leader(now_ms));
        if let Some(here) = leading.find(|leader| matches!(leader, Leader::Here { .. })) {
            return here;
        }
        let home = self.groups.home_group(&self.domain);
        let at_home = self.by_group.get(home).map(|leasing| leasing.leader(now_ms));
        let at_home = at_home.into_iter().filter(|leader| *leader != Leader::Nobody);
        let vm = self.daemon.settings.vm.as_str();
        let mut others: Vec<(u64, Leader)> = self
            .by_group
            .iter()
            .filter(|(group, _)| *group != home)
            .map(|(group, leasing)| (groups::rank(vm, group), leasing.leader(now_ms)))
            .filter(|(_, leader)| *leader != Leader::Nobody)
            .collect();
        others.sort_by_key(|(rank, _)| *rank);
        let all: Vec<Leader> =
            at_home.chain(others.into_iter().map(|(_, leader)| leader)).collect();
        all.get(attempt % all.len().max(1)).cloned().unwrap_or(Leader::Nobody)
    }

    /// Where the leader is that decides for all daemons on what has this name, and since when, if
    /// another one may have before. Leaders know of the same groups, so they agree on it.
    pub(crate) fn decider(&mut self, name: &str, now_ms: u64) -> (Leader, Option<u64>) {
        self.note_deciders(now_ms);
        let group = self.decision_leaders.group_for(name);
        let leader = group.map_or(Leader::Nobody, |group| self.leader_of(group, now_ms));
        (leader, self.decision_leaders.decides_since_ms(name))
    }

    fn note_deciders(&mut self, now_ms: u64) {
        let here = self.daemon.peers_address();
        for (group, leasing) in &self.by_group {
            let leader = match leasing.leader(now_ms) {
                Leader::Here { token, .. } => Some((here, token)),
                Leader::At { address, token, .. } => Some((address, token)),
                Leader::Nobody => None,
            };
            self.decision_leaders.record_leader(group, leader, now_ms);
        }
    }

    /// Where the leader of a group is.
    pub(crate) fn leader_of(&self, group: &DomainName, now_ms: u64) -> Leader {
        let leasing = self.by_group.get(group);
        leasing.map_or(Leader::Nobody, |leasing| leasing.leader(now_ms))
    }

    /// Where other leaders answer, each with a group that it leads and its fencing number there.
    pub(crate) fn others(&self, now_ms: u64) -> BTreeMap<SocketAddr, (DomainName, u64)> {
        let each = self.by_group.values().filter_map(|leasing| match leasing.leader(now_ms) {
            Leader::At { address, group, token } => Some((address, (group, token))),
            Leader::Here { .. } | Leader::Nobody => None,
        });
        each.collect()
    }
}

async fn read(daemon: Arc<Daemon>, groups: BTreeSet<DomainName>) {
    let mut rows = BTreeMap::new();
    for group in groups {
        match daemon.store.read(TABLE, leasing::partition(&group)).await {
            Ok(page) => {
                let lease = leasing::among(&group, &page.rows);
                rows.insert(group, lease);
            }
            Err(error) => {
                tracing::warn!(%error, "lease: The rows cannot be read.");
                daemon.tell(Message::LeasesUnread);
                return;
            }
        }
    }
    daemon.tell(Message::LeasesRead(rows));
}
