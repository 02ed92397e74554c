//! Keeps the lease on giving orders: reads and writes its row when that is due.

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
};
use async_channel::Sender;
use std::sync::Arc;
use trestle_dispatch::{
    candidate::Candidate,
    lease::{Identity, Lease, LeaseRow, LeaseTiming, LeaseWrite, Resignation},
    store::{ConditionalWrite, RowKey, WriteOutcome},
};
use trestle_wire::replicas::{WireLease, WireResigned};

/// Where the row stands.
const TABLE: &str = "trestle";
const KEY: &str = "leader";
/// Between two renewals: three fit into the time that one of them holds.
const RENEW_MS: u64 = 600;
/// For which a renewal lets its holder give orders. Longer outlasts a slow store,
/// shorter lets a successor begin sooner.
const HOLD_MS: u64 = 2_000;
/// Time that an order may be on its way; none leaves when less than that is left.
const FLIGHT_MS: u64 = 500;
/// Between two reads of the row while the leader does not answer.
const READ_GAP_MS: u64 = 800;

/// Keeps the lease on giving orders.
#[derive(Debug)]
pub(crate) struct Leasing {
    daemon: Arc<Daemon>,
    lease: Lease,
    is_acting: bool,
    next_read_ms: u64,
    is_reading: bool,
    must_read: bool,
    left: Option<Sender<()>>,
}

impl Leasing {
    /// Nothing is known yet.
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        let settings = &daemon.settings;
        let identity = Identity {
            machine: format!("{}@{}", settings.vm, settings.address),
            address: daemon.peers_address(),
            millicores: settings.millicores(),
            incarnation: fastrand::u64(1..),
        };
        let timing = LeaseTiming {
            renew_ms: RENEW_MS,
            hold_ms: HOLD_MS,
            quiet_ms: settings.bounds.order_quiet_ms,
            flight_ms: FLIGHT_MS,
        };
        let lease = Lease::new(identity, timing);
        Self {
            daemon,
            lease,
            is_acting: false,
            next_read_ms: 0,
            is_reading: false,
            must_read: false,
            left: None,
        }
    }

    /// Sets the quiet time that the next takeover keeps.
    pub(crate) fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.lease.set_quiet_ms(quiet_ms);
    }

    /// Has the row read.
    pub(crate) fn read_soon(&mut self) {
        self.must_read = true;
    }

    /// Takes the row as it was read or told.
    pub(crate) fn seen(&mut self, row: Option<LeaseRow>, version: u64, now_ms: u64) {
        self.is_reading = false;
        self.must_read = false;
        self.lease.observed(row, version, now_ms);
    }

    /// Takes that the row could not be read.
    pub(crate) fn unread(&mut self, now_ms: u64) {
        self.is_reading = false;
        self.next_read_ms = now_ms + READ_GAP_MS;
    }

    /// Takes that the leader does not answer.
    pub(crate) fn leader_silent(&mut self, now_ms: u64) {
        if now_ms >= self.next_read_ms {
            self.must_read = true;
        }
    }

    /// Takes the outcome of a write.
    pub(crate) fn written(
        &mut self,
        write: LeaseWrite,
        outcome: WriteOutcome,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let version = match &outcome {
            WriteOutcome::Written(version) => Some(*version),
            _ => None,
        };
        self.lease.written(write, version, sent_ms, now_ms);
        match outcome {
            WriteOutcome::Conflict(Some(row)) => {
                let version = row.version;
                self.seen(decode(&row.value), version, now_ms);
            }
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => self.must_read = true,
            WriteOutcome::Written(_) | WriteOutcome::Refused => {}
        }
    }

    /// Does what is due.
    pub(crate) fn look(&mut self, now_ms: u64) {
        if self.must_read
            && !self.is_reading
            && now_ms >= self.next_read_ms
            && self.daemon.store.may_try()
        {
            self.is_reading = true;
            self.next_read_ms = now_ms + READ_GAP_MS;
            smol::spawn(read(Arc::clone(&self.daemon))).detach();
        }
        if self.lease.has_run_out(now_ms) && self.left.is_none() {
            self.lease.resign(now_ms);
            tracing::info!("lease: It has run out; this daemon steps down.");
        }
        let may_write = self.lease.is_holder(now_ms) || self.left.is_some();
        if (may_write || (self.may_take(now_ms) && self.daemon.store.may_try()))
            && let Some(write) = self.lease.due_write(now_ms)
        {
            smol::spawn(send(Arc::clone(&self.daemon), write, now_ms)).detach();
        }
        let (from_ms, until_ms) = self.lease.order_window();
        let token = self.lease.seen().map_or(0, |(row, _)| row.token);
        self.daemon.order_permit.set(token, from_ms, until_ms.saturating_sub(FLIGHT_MS));
        self.note_change(now_ms);
        if self.lease.has_left()
            && let Some(left) = self.left.take()
        {
            let _ = left.try_send(());
        }
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
        self.lease.heard(resignation, now_ms);
    }

    /// Gives the lease up, and says when that is done.
    pub(crate) fn leave(&mut self, reply: Sender<()>) {
        self.lease.leave();
        self.left = Some(reply);
    }

    /// Whether this daemon holds the lease.
    pub(crate) fn is_holder(&self, now_ms: u64) -> bool {
        self.lease.is_holder(now_ms)
    }

    /// Whether it held the lease at the last look.
    pub(crate) fn is_acting(&self) -> bool {
        self.is_acting
    }

    /// The row as last seen.
    pub(crate) fn row(&self) -> Option<(WireLease, u64)> {
        self.lease.seen().map(|(row, version)| (WireLease::from(row), version))
    }

    /// Where the leader is.
    pub(crate) fn leader(&self, now_ms: u64) -> Leader {
        match self.lease.seen() {
            Some((row, _)) if self.lease.is_holder(now_ms) => Leader::Here { token: row.token },
            Some((row, _)) if !row.is_released && row.address != self.daemon.peers_address() => {
                Leader::At { address: row.address, token: row.token }
            }
            _ => Leader::Nobody,
        }
    }

    /// Whether this daemon should take the lease now if it is free.
    fn may_take(&self, now_ms: u64) -> bool {
        let Some(free_from_ms) = self.lease.free_from_ms() else { return false };
        let millicores = self.daemon.settings.millicores();
        let candidate = Candidate { millicores, age_ms: now_ms };
        let last = self.lease.seen().map(|(row, _)| row);
        self.daemon.is_ready() && now_ms >= free_from_ms + candidate.others_first_ms(last)
    }

    fn note_change(&mut self, now_ms: u64) {
        let is_holder = self.lease.is_holder(now_ms);
        if self.is_acting == is_holder {
            return;
        }
        self.is_acting = is_holder;
        self.daemon.freshness.set_leader(is_holder);
        let (token, version) = self.lease.seen().map_or((0, 0), |(row, v)| (row.token, v));
        if is_holder {
            let quiet_ms = self.lease.order_window().0.saturating_sub(now_ms);
            tracing::info!(token, version, quiet_ms, "lease: This daemon leads.");
        } else {
            tracing::info!(token, version, "lease: This daemon leads no more.");
        }
    }
}

async fn read(daemon: Arc<Daemon>) {
    let message = match daemon.store.read(TABLE).await {
        Ok(page) => {
            let row = page.rows.iter().find(|row| row.key.key == KEY);
            let version = row.map_or(0, |row| row.version);
            Message::LeaseSeen { row: row.and_then(|row| decode(&row.value)), version }
        }
        Err(error) => {
            tracing::warn!(%error, "lease: The row cannot be read.");
            Message::LeaseUnread
        }
    };
    daemon.tell(message);
}

async fn send(daemon: Arc<Daemon>, write: LeaseWrite, sent_ms: u64) {
    let value = serde_json::to_vec(&WireLease::from(&write.row)).ok();
    let key = RowKey { table: TABLE.to_owned(), key: KEY.to_owned() };
    let conditional = ConditionalWrite { key, expected: write.expected, value };
    let outcome = daemon.store.write(&conditional).await;
    daemon.tell(Message::LeaseWritten { write, outcome, sent_ms });
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
