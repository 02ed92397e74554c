//! Holds the lease that entitles a daemon to give orders to one group of engines: writes the lease
//! row when a write is due.

use crate::{
    control::message::{Leader, Message},
    crashes,
    daemon::Daemon,
    departures,
};
use std::sync::Arc;
use trestle_core::names::DomainName;
use trestle_dispatch::{
    candidate,
    lease::{Identity, Lease, LeaseRow, LeaseTiming, LeaseWrite, Resignation},
    store::{ConditionalWrite, Row, RowKey, RowPage, WriteOutcome},
    store_version::StoreVersion,
};
use trestle_wire::replicas::{WireLeaseRow, WireResignation};

/// The table of the lease rows.
pub(crate) const TABLE: &str = "trestle";
/// The prefix of each row's key; the name of the group follows.
const KEY: &str = "leader/";
/// Time between two renewals; three renewals fit into the time that one of them holds.
const RENEW_MS: u64 = 600;
/// Time for which a renewal entitles its holder to give orders. A lease with a longer time outlasts
/// slower answers of the store; with a shorter time, a successor begins sooner.
const HOLD_MS: u64 = 2_000;
/// Longest time that an order may be in transit; no order is sent when less than this is left of
/// the lease.
const IN_FLIGHT_MS: u64 = 500;

/// The lease on giving orders to one group of engines, as one daemon sees it.
#[derive(Debug)]
pub(crate) struct GroupLease {
    daemon: Arc<Daemon>,
    group: DomainName,
    lease: Lease,
    is_acting: bool,
    /// When this daemon last stepped down because it was cut off from the engines.
    stepped_down_ms: Option<u64>,
}

impl GroupLease {
    /// Returns a lease of which no row has been read yet.
    pub(crate) fn new(daemon: Arc<Daemon>, group: DomainName, incarnation: u64) -> Self {
        let settings = &daemon.settings;
        let identity = Identity {
            vm: format!("{}@{}", settings.vm, settings.address),
            address: daemon.peers_address(),
            millicores: settings.millicores(),
            incarnation,
        };
        let timing = LeaseTiming {
            renew_ms: RENEW_MS,
            hold_ms: HOLD_MS,
            quiet_ms: settings.bounds.order_quiet_ms,
            in_flight_ms: IN_FLIGHT_MS,
        };
        let lease = Lease::new(identity, timing);
        Self { daemon, group, lease, is_acting: false, stepped_down_ms: None }
    }

    /// Sets the quiet time that the next takeover observes.
    pub(crate) fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.lease.set_quiet_ms(quiet_ms);
    }

    /// Returns how many daemons synced with the last other holder; `None` while the row has not been
    /// read.
    pub(crate) fn daemons_before(&self) -> Option<u32> {
        self.lease.daemons_before()
    }

    /// Sets the number of daemons that sync with this one, which the next holder reads from the
    /// row.
    pub(crate) fn set_daemons(&mut self, daemons: u32) {
        self.lease.set_daemons(daemons);
    }

    /// Records the row as read from the store or received from a daemon.
    pub(crate) fn observe(&mut self, row: Option<LeaseRow>, version: StoreVersion, now_ms: u64) {
        if let Some(row) = &row {
            crashes::receive(&self.daemon, &row.refused);
            departures::receive(&self.daemon, &row.departures);
        }
        let was_restored = self.lease.is_restored();
        self.lease.observed(row, version, now_ms);
        if self.lease.is_restored() && !was_restored {
            self.log_restored(now_ms);
        }
    }

    /// Records the outcome of a write. Returns whether the row must be read again.
    pub(crate) fn write_finished(
        &mut self,
        write: LeaseWrite,
        outcome: WriteOutcome,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let version = match &outcome {
            WriteOutcome::Written(version) => Some(*version),
            _ => None,
        };
        let is_confirmed = version.is_none_or(|version| write.is_confirmed_by(version));
        if let WriteOutcome::Conflict(row) = &outcome {
            let (expected, expected_era) = (write.expected.number, write.expected.era);
            let version = row.as_ref().map_or(0, |row| row.version.number);
            let (group, era) = (&self.group, self.daemon.store.era());
            tracing::info!(%group, expected, expected_era, version, era, "lease: The row has another version than expected; nothing was written.");
        }
        self.lease.write_finished(write, version, sent_ms, now_ms);
        match outcome {
            WriteOutcome::Conflict(Some(row)) => {
                let version = row.version;
                self.observe(decode(&row.value), version, now_ms);
                false
            }
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => true,
            WriteOutcome::Written(_) => !is_confirmed,
            WriteOutcome::Refused => false,
        }
    }

    /// Gives up the lease if this daemon is cut off from the group's engines. Others learn of it from
    /// their next sync and can lead at once.
    pub(crate) fn step_down_if_cut_off(&mut self, is_cut_off: bool, now_ms: u64) {
        let is_due = candidate::should_step_down(is_cut_off, self.stepped_down_ms, now_ms);
        if is_due && self.lease.is_holder(now_ms) {
            self.lease.resign(now_ms);
            self.stepped_down_ms = Some(now_ms);
            tracing::warn!(group = %self.group, "lease: This daemon is cut off from engines that others reach; it steps down.");
        }
    }

    /// Does the work that is due. `may_acquire` returns whether this daemon may acquire the lease,
    /// given the time since which the lease has been free and the row of its last holder.
    pub(crate) fn tick(
        &mut self,
        may_acquire: impl Fn(u64, Option<&LeaseRow>) -> bool,
        now_ms: u64,
    ) {
        if self.lease.has_run_out(now_ms) {
            self.lease.resign(now_ms);
            tracing::info!(group = %self.group, "lease: The lease has expired; this daemon steps down.");
        }
        self.update_orders(now_ms);
        let may_write = self.lease.is_holder(now_ms) || self.lease.is_releasing();
        let last = self.lease.seen().map(|(row, _)| row);
        let may_acquire =
            || self.lease.free_from_ms().is_some_and(|free_ms| may_acquire(free_ms, last));
        if (may_write || (may_acquire() && self.daemon.store.may_try()))
            && let Some(mut write) = self.lease.due_write(now_ms)
        {
            write.row.refused = crashes::rejected_for_row(&self.daemon);
            write.row.departures = departures::for_row(&self.daemon);
            let (daemon, group) = (Arc::clone(&self.daemon), self.group.clone());
            smol::spawn(send(daemon, group, write, now_ms)).detach();
        }
        self.log_role_change(now_ms);
    }

    /// Permits orders as the lease now stands, and then checks whether any is in flight. A task checks
    /// the permit and records its order under the lock of the order log, so none is missed.
    fn update_orders(&mut self, now_ms: u64) {
        self.daemon.order_permits.set(&self.group, self.lease.order_window());
        let has_orders_in_flight = self.daemon.with_order_log(|log| log.has_in_flight(now_ms));
        self.lease.set_orders_in_flight(has_orders_in_flight);
    }

    /// Returns the report to other daemons after this daemon has stepped down.
    pub(crate) fn resignation(&self, now_ms: u64) -> Option<WireResignation> {
        let quiet_ms = self.lease.quiet_ms();
        let engines = self.daemon.with_order_log(|log| log.quiet_for_ms(quiet_ms, now_ms));
        let settled_for_ms = engines.values().copied().max().unwrap_or_default();
        let resignation = self.lease.resignation(settled_for_ms, now_ms)?;
        Some(WireResignation::new(resignation, engines))
    }

    /// Records the report of a leader that has stepped down.
    pub(crate) fn resignation_received(&mut self, resignation: Resignation, now_ms: u64) {
        self.lease.resignation_received(resignation, now_ms);
    }

    /// Releases the lease, and never acquires it again.
    pub(crate) fn release(&mut self) {
        self.lease.release();
    }

    /// Returns whether nothing is left to write before the daemon may terminate.
    pub(crate) fn is_release_done(&self) -> bool {
        self.lease.is_release_done()
    }

    /// Returns whether this daemon holds the lease.
    pub(crate) fn is_holder(&self, now_ms: u64) -> bool {
        self.lease.is_holder(now_ms)
    }

    /// Returns the row as last seen.
    pub(crate) fn seen_row(&self) -> Option<&LeaseRow> {
        self.lease.seen().map(|(row, _)| row)
    }

    /// Returns the row as it is sent to other daemons, with its version.
    pub(crate) fn row(&self) -> Option<(WireLeaseRow, StoreVersion)> {
        self.lease.seen().map(|(row, version)| (WireLeaseRow::from(row), version))
    }

    /// Returns where the leader of the group is.
    pub(crate) fn leader(&self, now_ms: u64) -> Leader {
        match self.lease.seen() {
            Some(_) if self.lease.is_holder(now_ms) => {
                Leader::Here { group: self.group.clone(), token: self.lease.held_token() }
            }
            Some((row, _)) if !row.is_released && row.address != self.daemon.peers_address() => {
                let group = self.group.clone();
                Leader::At { address: row.address, group, token: row.token }
            }
            _ => Leader::Nobody,
        }
    }

    /// Returns the last holder of the lease, even if its lease has expired; nobody if it released the
    /// lease. It may not give orders by this.
    pub(crate) fn last_holder(&self) -> Leader {
        let group = self.group.clone();
        match self.lease.seen() {
            Some((row, _)) if row.is_released => Leader::Nobody,
            Some((row, _)) if row.address == self.daemon.peers_address() => {
                match self.lease.is_releasing() {
                    true => Leader::Nobody,
                    // An earlier process of this daemon may have held it; others ask this one.
                    false => Leader::Here { group, token: row.token },
                }
            }
            Some((row, _)) => Leader::At { address: row.address, group, token: row.token },
            None => Leader::Nobody,
        }
    }

    fn log_restored(&self, now_ms: u64) {
        let is_held = self.lease.is_holder(now_ms);
        let free_in_ms = self.lease.free_from_ms().map(|free_ms| free_ms.saturating_sub(now_ms));
        let token = self.lease.seen().map(|(row, _)| row.token);
        tracing::info!(
            group = %self.group, token, is_held, free_in_ms,
            "lease: The restored store has an earlier row; unless this daemon holds the lease, it counts as held."
        );
    }

    fn log_role_change(&mut self, now_ms: u64) {
        let is_holder = self.lease.is_holder(now_ms);
        if self.is_acting == is_holder {
            return;
        }
        self.is_acting = is_holder;
        let (token, StoreVersion { era, number: version }) =
            self.lease.seen().map_or_else(Default::default, |(row, version)| (row.token, version));
        if is_holder {
            let quiet_ms = self.lease.order_window().from_ms.saturating_sub(now_ms);
            let group = &self.group;
            tracing::info!(%group, token, version, era, quiet_ms, "lease: This daemon leads.");
        } else {
            tracing::info!(group = %self.group, token, version, era, "lease: This daemon leads no more.");
        }
    }
}

async fn send(daemon: Arc<Daemon>, group: DomainName, write: LeaseWrite, sent_ms: u64) {
    let value = serde_json::to_vec(&WireLeaseRow::from(&write.row)).ok();
    let key = RowKey {
        table: TABLE.to_owned(),
        partition: partition(&group).to_owned(),
        key: format!("{KEY}{group}"),
    };
    let conditional = ConditionalWrite { key, expected: write.expected, value };
    let outcome = daemon.store.write(&conditional).await;
    daemon.send(Message::LeaseWritten { group, write, outcome, sent_ms });
}

/// Returns the partition of a group's lease row. Each group has its own, because the store
/// executes the transactions of one partition one after another. When a transaction took 384 ms,
/// five leaders that renewed in the same partition waited 1.9 s, and all of them lost their
/// leases.
pub(crate) fn partition(group: &DomainName) -> &str {
    group.as_str()
}

/// Returns the lease in a page of its group's partition, with its version; the number of the version
/// is 0 if there is none.
pub(crate) fn find(group: &DomainName, page: &RowPage) -> (Option<LeaseRow>, StoreVersion) {
    let is_lease = |row: &&Row| row.key.key.strip_prefix(KEY) == Some(group.as_str());
    let absent = StoreVersion { number: 0, ..page.version };
    let found = page.rows.iter().find(is_lease);
    found.map_or((None, absent), |row| (decode(&row.value), row.version))
}

fn decode(value: &[u8]) -> Option<LeaseRow> {
    match serde_json::from_slice::<WireLeaseRow>(value) {
        Ok(wire) => Some(wire.into()),
        Err(error) => {
            tracing::error!(%error, "lease: The row is not understood; the lease counts as held.");
            None
        }
    }
}
