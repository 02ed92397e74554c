//! Keeps the lease on giving orders to one group of engines: writes its row when that is due.

use crate::{
    control::message::{Leader, Message},
    crashes,
    daemon::Daemon,
    departures,
};
use std::sync::Arc;
use trestle_core::names::DomainName;
use trestle_dispatch::{
    lease::{Identity, Lease, LeaseRow, LeaseTiming, LeaseWrite, Resignation},
    store::{ConditionalWrite, Row, RowKey, WriteOutcome},
};
use trestle_wire::replicas::{WireLease, WireResigned};

/// Where the rows stand.
pub(crate) const TABLE: &str = "trestle";
/// What the key of each row begins with; the name of the group follows.
const KEY: &str = "leader/";
/// Between two renewals: three fit into the time that one of them holds.
const RENEW_MS: u64 = 600;
/// For which a renewal lets its holder give orders. Longer outlasts a slow store,
/// shorter lets a successor begin sooner.
const HOLD_MS: u64 = 2_000;
/// Time that an order may be on its way; none leaves when less than that is left.
const FLIGHT_MS: u64 = 500;

/// Keeps the lease on giving orders to one group of engines.
#[derive(Debug)]
pub(crate) struct Leasing {
    daemon: Arc<Daemon>,
    group: DomainName,
    lease: Lease,
    is_acting: bool,
    is_leaving: bool,
}

impl Leasing {
    /// Nothing is known yet.
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
            in_flight_ms: FLIGHT_MS,
        };
        let lease = Lease::new(identity, timing);
        Self { daemon, group, lease, is_acting: false, is_leaving: false }
    }

    /// Sets the quiet time that the next takeover keeps.
    pub(crate) fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.lease.set_quiet_ms(quiet_ms);
    }

    /// Sets how many daemons ask this one, for whoever holds the lease next.
    pub(crate) fn set_daemons(&mut self, daemons: u32) {
        self.lease.set_daemons(daemons);
    }

    /// Takes the row as it was read or told.
    pub(crate) fn seen(&mut self, row: Option<LeaseRow>, version: u64, now_ms: u64) {
        if let Some(row) = &row {
            crashes::heard(&self.daemon, &row.refused);
            departures::heard(&self.daemon, &row.departures);
        }
        self.lease.observed(row, version, now_ms);
    }

    /// Takes the outcome of a write; returns whether the row must be read.
    pub(crate) fn written(
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
        self.lease.write_finished(write, version, sent_ms, now_ms);
        match outcome {
            WriteOutcome::Conflict(Some(row)) => {
                let version = row.version;
                self.seen(decode(&row.value), version, now_ms);
                false
            }
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => true,
            WriteOutcome::Written(_) | WriteOutcome::Refused => false,
        }
    }

    /// Does what is due. `may_take` says whether the lease may be taken, given since when it
    /// has been free, and the row of its last holder.
    pub(crate) fn look(&mut self, may_take: impl Fn(u64, Option<&LeaseRow>) -> bool, now_ms: u64) {
        if self.lease.has_run_out(now_ms) && !self.is_leaving {
            self.lease.resign(now_ms);
            tracing::info!(group = %self.group, "lease: It has run out; this daemon steps down.");
        }
        let may_write = self.lease.is_holder(now_ms) || self.is_leaving;
        let last = self.lease.seen().map(|(row, _)| row);
        let may_take = || self.lease.free_from_ms().is_some_and(|free_ms| may_take(free_ms, last));
        if (may_write || (may_take() && self.daemon.store.may_try()))
            && let Some(mut write) = self.lease.due_write(now_ms)
        {
            write.row.refused = crashes::refused_for_row(&self.daemon);
            write.row.departures = departures::for_row(&self.daemon);
            let (daemon, group) = (Arc::clone(&self.daemon), self.group.clone());
            smol::spawn(send(daemon, group, write, now_ms)).detach();
        }
        let (from_ms, held_until_ms) = self.lease.order_window();
        let token = self.lease.seen().map_or(0, |(row, _)| row.token);
        let window = (from_ms, held_until_ms.saturating_sub(FLIGHT_MS));
        self.daemon.order_permits.set(&self.group, token, window, held_until_ms);
        self.note_change(now_ms);
    }

    /// What others are told once this daemon has stepped down.
    pub(crate) fn resignation(&self, now_ms: u64) -> Option<WireResigned> {
        let quiet_ms = self.lease.quiet_ms();
        let engines = self.daemon.with_order_log(|log| log.quiet_for_ms(quiet_ms, now_ms));
        let settled_for_ms = engines.values().copied().max().unwrap_or_default();
        let resignation = self.lease.resignation(settled_for_ms, now_ms)?;
        Some(WireResigned::new(resignation, engines))
    }

    /// Takes what a leader says that has stepped down.
    pub(crate) fn heard(&mut self, resignation: Resignation, now_ms: u64) {
        self.lease.resignation_received(resignation, now_ms);
    }

    /// Gives the lease up, and takes it no more.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        self.lease.release();
    }

    /// Whether nothing is left to write before the daemon may end.
    pub(crate) fn has_left(&self) -> bool {
        self.lease.is_release_done()
    }

    /// Whether this daemon holds the lease.
    pub(crate) fn is_holder(&self, now_ms: u64) -> bool {
        self.lease.is_holder(now_ms)
    }

    /// The row as last seen.
    pub(crate) fn seen_row(&self) -> Option<&LeaseRow> {
        self.lease.seen().map(|(row, _)| row)
    }

    /// The same as it is told, with its version.
    pub(crate) fn row(&self) -> Option<(WireLease, u64)> {
        self.lease.seen().map(|(row, version)| (WireLease::from(row), version))
    }

    /// Where the leader is.
    pub(crate) fn leader(&self, now_ms: u64) -> Leader {
        match self.lease.seen() {
            Some((row, _)) if self.lease.is_holder(now_ms) => {
                Leader::Here { group: self.group.clone(), token: row.token }
            }
            Some((row, _)) if !row.is_released && row.address != self.daemon.peers_address() => {
                let group = self.group.clone();
                Leader::At { address: row.address, group, token: row.token }
            }
            _ => Leader::Nobody,
        }
    }

    fn note_change(&mut self, now_ms: u64) {
        let is_holder = self.lease.is_holder(now_ms);
        if self.is_acting == is_holder {
            return;
        }
        self.is_acting = is_holder;
        let (token, version) = self.lease.seen().map_or((0, 0), |(row, v)| (row.token, v));
        if is_holder {
            let quiet_ms = self.lease.order_window().0.saturating_sub(now_ms);
            let group = &self.group;
            tracing::info!(%group, token, version, quiet_ms, "lease: This daemon leads.");
        } else {
            tracing::info!(group = %self.group, token, version, "lease: This daemon leads no more.");
        }
    }
}

async fn send(daemon: Arc<Daemon>, group: DomainName, write: LeaseWrite, sent_ms: u64) {
    let value = serde_json::to_vec(&WireLease::from(&write.row)).ok();
    let key = RowKey {
        table: TABLE.to_owned(),
        partition: partition(&group).to_owned(),
        key: format!("{KEY}{group}"),
    };
    let conditional = ConditionalWrite { key, expected: write.expected, value };
    let outcome = daemon.store.write(&conditional).await;
    daemon.tell(Message::LeaseWritten { group, write, outcome, sent_ms });
}

/// The partition in which a group's lease lies: each has one of its own, since the store carries
/// out one transaction of a partition after the other. While it took 384 ms for each, five
/// leaders that renewed in one partition waited 1.9 s, and all lost their leases.
pub(crate) fn partition(group: &DomainName) -> &str {
    group.as_str()
}

/// The lease among the rows of its group's partition, with its version; version 0 if there is
/// none.
pub(crate) fn among(group: &DomainName, rows: &[Row]) -> (Option<LeaseRow>, u64) {
    let is_lease = |row: &&Row| row.key.key.strip_prefix(KEY) == Some(group.as_str());
    rows.iter().find(is_lease).map_or((None, 0), |row| (decode(&row.value), row.version))
}

fn decode(value: &[u8]) -> Option<LeaseRow> {
    match serde_json::from_slice::<WireLease>(value) {
        Ok(wire) => Some(wire.into()),
        Err(error) => {
            tracing::error!(%error, "lease: The row is not understood; it counts as held.");
            None
        }
    }
}
