//! The lease on the right to give orders, held in one row of the store.
//!
//! The holder counts its time from just before it sent its last successful renewal, on its own
//! monotonic clock; an observer counts from the moment at which it first saw that renewal. The
//! first is never later than the second, so the holder has stopped before an observer's conditional
//! write can replace it. An engine must not receive orders of two VMs shortly after each other, so
//! a new holder also keeps a quiet time, in which it gives no orders.
//!
//! A holder whose lease has expired steps down and reports so to the others. It gives no further
//! order under that token, so the others need to keep the quiet time only at engines that it has
//! ordered lately.
//!
//! A daemon that is about to terminate releases its leases. From then on it holds none, whether or
//! not the store's answer arrives. Its successor counts the quiet time from the release, so the row
//! is written only when no order is in flight any more.
//!
//! No clocks are compared, and no daemon takes over without the store.
//!
//! A store that is restored from a copy has an earlier row, or none. Another daemon may have acquired
//! the lease after the copy, and may hold it for as long as after any renewal. So a row that was
//! last written before the restore counts as renewed by an unknown VM when it is first seen, whatever
//! it says. Only a holder whose lease has not expired goes on: nobody else can have acquired it.
//! Each era has fencing numbers of its own, which also tell in which era a row was written.
//!
//! A row that is not understood, such as one of a later release or of another writer, counts in the
//! same way as renewed by an unknown VM when it is first seen.

mod order_window;
mod resignation;
mod row;
mod token;

pub use self::{
    order_window::OrderWindow,
    resignation::Resignation,
    row::{LeaseRow, LeaseWrite},
};

use self::{
    resignation::ReceivedResignation,
    token::{era_of, is_valid, next_token},
};
use crate::store_version::StoreVersion;
use std::net::SocketAddr;

/// Durations of the lease.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct LeaseTiming {
    /// Time between two renewals.
    pub renew_ms: u64,
    /// Time for which a renewal lets the holder give orders.
    pub hold_ms: u64,
    /// Least time between the last order of one VM and the first of another.
    pub quiet_ms: u64,
    /// Time for which an order may be in flight.
    pub in_flight_ms: u64,
}

/// Added where one VM waits for another's time to pass, for clock drift and orders in flight.
const MARGIN_MS: u64 = 300;
/// Time for which a holder that stepped down leaves the lease to others.
const STEPPED_DOWN_MS: u64 = 600;
/// Pause after a write that the store rejected or whose outcome is unknown.
const RETRY_MS: u64 = 250;
/// One daemon's view of the lease.
#[derive(Debug)]
pub struct Lease {
    identity: Identity,
    timing: LeaseTiming,
    seen: Option<SeenRow>,
    /// Time until which orders may be given.
    held_until_ms: u64,
    /// Fencing number under which the lease is held until then.
    held_token: u64,
    /// Highest fencing number of all rows that were seen.
    highest_token: Option<u64>,
    /// Time from which on orders may be given.
    quiet_until_ms: u64,
    /// Time from which on orders of earlier holders can no longer take effect.
    settled_ms: u64,
    /// Time until which other VMs must keep quiet because of orders that an earlier daemon of this
    /// VM may have given; this daemon does not know those orders.
    unknown_until_ms: u64,
    /// The token under which this daemon gives no further order.
    resigned_token: Option<u64>,
    received: Option<ReceivedResignation>,
    next_write_ms: u64,
    is_writing: bool,
    /// Whether this daemon stepped down while a write was in flight.
    has_resigned_while_writing: bool,
    is_releasing: bool,
    /// Whether orders of this daemon may still arrive.
    has_orders_in_flight: bool,
    /// Number of daemons that sync with this one; before it holds the lease, with the last holder.
    daemons: u32,
    /// Number of daemons that synced with the last other holder.
    daemons_before: u32,
}

/// The daemon that takes part in the lease.
#[trestle_macros::plain]
pub struct Identity {
    /// The VM, by a name and address that no other VM has.
    pub vm: String,
    /// Address of the daemon for other daemons.
    pub address: SocketAddr,
    /// CPU of the VM, in thousandths of a core.
    pub millicores: u32,
    /// A random number that identifies this start of the daemon.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
struct SeenRow {
    row: Option<LeaseRow>,
    version: StoreVersion,
    since_ms: u64,
    /// Whether the row was last written before the store was restored from a copy, so that later
    /// writes may be lost.
    is_restored: bool,
}

impl SeenRow {
    /// Returns whether an unknown VM may have renewed the lease until the row was first seen.
    fn has_unknown_holder(&self) -> bool {
        let is_unreadable = self.row.is_none() && self.version.is_of_existing_row();
        self.is_restored || is_unreadable
    }

    /// Returns whether a row with this version is newer than this one.
    fn is_replaced_by(&self, version: StoreVersion) -> bool {
        match version.is_of_existing_row() {
            true => version > self.version,
            // A row that does not exist has no version of its own, so only the era counts.
            false => {
                version.era > self.version.era
                    || (version.era == self.version.era && self.version.is_of_existing_row())
            }
        }
    }
}

impl Lease {
    /// Creates the view of a daemon that has not read the row yet.
    pub fn new(identity: Identity, timing: LeaseTiming) -> Self {
        Self {
            identity,
            timing,
            seen: None,
            held_until_ms: 0,
            held_token: 0,
            highest_token: None,
            quiet_until_ms: 0,
            settled_ms: 0,
            unknown_until_ms: 0,
            resigned_token: None,
            received: None,
            next_write_ms: 0,
            is_writing: false,
            has_resigned_while_writing: false,
            is_releasing: false,
            has_orders_in_flight: false,
            daemons: 0,
            daemons_before: 0,
        }
    }

    /// Returns the quiet time between orders of two VMs.
    pub fn quiet_ms(&self) -> u64 {
        self.timing.quiet_ms
    }

    /// Sets the quiet time that the next takeover keeps.
    pub fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.timing.quiet_ms = quiet_ms;
    }

    /// Updates the view with the row as read from the store or reported by its holder; the number of
    /// the version is 0 if there is no row, and the row is `None` if it is not understood. A row that
    /// is not newer than the known one is ignored.
    pub fn observed(&mut self, row: Option<LeaseRow>, version: StoreVersion, now_ms: u64) {
        if self.seen.as_ref().is_some_and(|seen| !seen.is_replaced_by(version)) {
            return;
        }
        let row = row.filter(|row| is_valid(row.token));
        self.highest_token = self.highest_token.max(row.as_ref().map(|row| row.token));
        let is_restored = match &row {
            Some(row) => era_of(row.token) < version.era,
            // A daemon that has just started cannot know of an earlier era.
            None => version.era > self.seen.as_ref().map_or(0, |seen| seen.version.era),
        };
        if !row.as_ref().is_some_and(|row| self.is_own(row)) {
            self.held_until_ms = 0;
            self.daemons = row.as_ref().map_or(0, |row| row.daemons);
            self.daemons_before = self.daemons;
        }
        self.seen = Some(SeenRow { row, version, since_ms: now_ms, is_restored });
    }

    /// Returns the write that is due now, if any. Its outcome must be passed to
    /// [`Self::write_finished`].
    pub fn due_write(&mut self, now_ms: u64) -> Option<LeaseWrite> {
        let must_wait = self.is_releasing && self.has_orders_in_flight;
        if self.is_writing || must_wait || now_ms < self.next_write_ms {
            return None;
        }
        let seen = self.seen.clone()?;
        let row = match &seen.row {
            Some(row) if self.is_own(row) && row.is_released => return None,
            Some(row) if self.may_renew(&seen, row, now_ms) => {
                let token = match seen.is_restored && now_ms < self.held_until_ms {
                    true => next_token(Some(row.token.max(self.held_token)), seen.version.era),
                    false => row.token,
                };
                let has_begun = row.has_begun || now_ms >= self.settled_ms;
                let (is_released, daemons) = (self.is_releasing, self.daemons);
                let renewals = row.renewals + 1;
                LeaseRow { token, renewals, has_begun, is_released, daemons, ..row.clone() }
            }
            _ if self.is_releasing => return None,
            _ if self.free_from_ms().is_none_or(|from_ms| now_ms < from_ms) => return None,
            other => {
                // Even if its answer is lost, this write may acquire the lease.
                self.quiet_until_ms = self.quiet_until_ms.max(self.quiet_end_ms(now_ms));
                let received_settled_ms =
                    self.received_for(&seen).map_or(0, |received| received.settled_ms);
                self.settled_ms = self.settled_ms.max(self.quiet_until_ms).max(received_settled_ms);
                if other.as_ref().is_some_and(|row| self.is_same_vm(row)) {
                    let quiet_ms = self.timing.in_flight_ms + self.timing.quiet_ms + MARGIN_MS;
                    self.unknown_until_ms = now_ms + quiet_ms;
                }
                let has_begun = self.settled_ms <= now_ms;
                self.first_row(next_token(self.highest_token, seen.version.era), has_begun)
            }
        };
        self.is_writing = true;
        Some(LeaseWrite { expected: seen.version, row })
    }

    /// Records the outcome of a write that was sent at `sent_ms`: the version of the row if the
    /// write is known to have succeeded, `None` otherwise. A write that took effect in another era
    /// than it was made for has not succeeded, and the row must be read again: another daemon may
    /// have written the row in between.
    pub fn write_finished(
        &mut self,
        write: LeaseWrite,
        version: Option<StoreVersion>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        self.is_writing = false;
        let has_resigned = std::mem::take(&mut self.has_resigned_while_writing);
        let Some(version) = version.filter(|version| write.is_confirmed_by(*version)) else {
            self.next_write_ms = self.next_write_ms.max(now_ms + RETRY_MS);
            return;
        };
        if self.seen.as_ref().is_some_and(|seen| seen.version > version) {
            // The row has been written again and read back in the meantime.
            return;
        }
        if has_resigned {
            self.resigned_token = Some(write.row.token);
        }
        self.next_write_ms = match self.is_releasing {
            true => now_ms,
            false => self.next_write_ms.max(sent_ms + self.timing.renew_ms),
        };
        self.held_until_ms = sent_ms + self.timing.hold_ms;
        self.held_token = write.row.token;
        self.highest_token = self.highest_token.max(Some(write.row.token));
        if write.row.is_released || self.has_resigned(&write.row) {
            self.held_until_ms = 0;
        }
        let row = Some(write.row);
        self.seen = Some(SeenRow { row, version, since_ms: now_ms, is_restored: false });
    }

    /// Returns the fencing number under which an order that takes no time may be sent now; `None` if
    /// none may.
    pub fn may_order(&self, now_ms: u64) -> Option<u64> {
        let window = self.order_window();
        (window.from_ms <= now_ms && window.is_held(now_ms)).then_some(window.token)
    }

    /// Returns the time in which orders may be sent. It is empty unless this daemon holds the lease.
    pub fn order_window(&self) -> OrderWindow {
        let held_until_ms = self.entitled_until_ms();
        OrderWindow {
            token: self.held_token,
            from_ms: self.quiet_until_ms,
            until_ms: held_until_ms.saturating_sub(self.timing.in_flight_ms),
            held_until_ms,
        }
    }

    /// Returns whether this daemon holds the lease, even if it must still keep quiet.
    pub fn is_holder(&self, now_ms: u64) -> bool {
        now_ms < self.entitled_until_ms()
    }

    /// Returns the time until which this daemon may do what only the holder may; 0 if it has stepped
    /// down, releases the lease, or does not hold it by the row as last seen.
    fn entitled_until_ms(&self) -> u64 {
        let is_held = self.seen().is_some_and(|(row, _)| self.is_own(row) && !row.is_released);
        match is_held && !self.is_releasing {
            true => self.held_until_ms,
            false => 0,
        }
    }

    /// Returns the fencing number under which this daemon last held the lease.
    pub fn held_token(&self) -> u64 {
        self.held_token
    }

    /// Returns whether the row was last written before the store was restored from a copy.
    pub fn is_restored(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.is_restored)
    }

    /// Returns the row as last seen, with its version.
    pub fn seen(&self) -> Option<(&LeaseRow, StoreVersion)> {
        let seen = self.seen.as_ref()?;
        Some((seen.row.as_ref()?, seen.version))
    }

    /// Returns the time from which on this daemon may acquire the lease from its last holder;
    /// `None` before the row has been read.
    pub fn free_from_ms(&self) -> Option<u64> {
        let seen = self.seen.as_ref()?;
        if seen.has_unknown_holder() {
            return Some(seen.since_ms + self.timing.hold_ms + MARGIN_MS);
        }
        if let Some(received) = self.received_for(seen) {
            return Some(received.at_ms);
        }
        Some(match &seen.row {
            Some(row) if !row.is_released && !self.is_same_vm(row) => {
                seen.since_ms + self.timing.hold_ms + MARGIN_MS
            }
            _ => seen.since_ms,
        })
    }

    /// Returns whether this daemon's lease has expired and it has not stepped down.
    ///
    /// It does not step down sooner: while the store is slow a renewal may still succeed in time.
    pub fn has_run_out(&self, now_ms: u64) -> bool {
        let until_ms = self.entitled_until_ms();
        until_ms > 0 && now_ms >= until_ms
    }

    /// Steps down: this daemon gives no further order under the present token.
    pub fn resign(&mut self, now_ms: u64) {
        self.resigned_token = self.seen().map(|(row, _)| row.token);
        self.has_resigned_while_writing = self.is_writing;
        self.held_until_ms = 0;
        self.next_write_ms = now_ms + STEPPED_DOWN_MS;
    }

    /// Returns the report to other daemons after this one stepped down; `None` if it has not, or
    /// once the lease has another holder. `settled_for_ms` is the time after which orders of this
    /// VM can no longer take effect.
    pub fn resignation(&self, settled_for_ms: u64, now_ms: u64) -> Option<Resignation> {
        let (row, _) = self.seen()?;
        (self.is_own(row) && self.has_resigned(row)).then(|| Resignation {
            token: row.token,
            quiet_for_ms: self.quiet_until_ms.max(self.unknown_until_ms).saturating_sub(now_ms),
            settled_for_ms: settled_for_ms.max(self.settled_ms.saturating_sub(now_ms)),
        })
    }

    /// Records the resignation of a holder.
    pub fn resignation_received(&mut self, resignation: Resignation, now_ms: u64) {
        if self.received.is_some_and(|received| received.token >= resignation.token) {
            return;
        }
        self.received = Some(ReceivedResignation {
            token: resignation.token,
            at_ms: now_ms,
            quiet_until_ms: now_ms + resignation.quiet_for_ms,
            settled_ms: now_ms + resignation.settled_for_ms,
        });
    }

    /// Returns how many daemons synced with the last other holder; `None` while the row has not been
    /// read.
    pub fn daemons_before(&self) -> Option<u32> {
        self.seen.as_ref().map(|_| self.daemons_before)
    }

    /// Sets the number of daemons that sync with this one, for the next holder.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Releases the lease: this daemon holds it no longer, writes so when none of its orders is in
    /// flight, and does not acquire it again.
    pub fn release(&mut self) {
        self.is_releasing = true;
        self.next_write_ms = 0;
    }

    /// Returns whether this daemon has released the lease, even if that is not written yet.
    pub fn is_releasing(&self) -> bool {
        self.is_releasing
    }

    /// Sets whether orders of this daemon may still arrive. While they may, a release is not written.
    pub fn set_orders_in_flight(&mut self, has_orders_in_flight: bool) {
        self.has_orders_in_flight = has_orders_in_flight;
    }

    /// Returns whether the daemon may stop because no write of the lease is left to do.
    pub fn is_release_done(&self) -> bool {
        let is_written = match self.seen() {
            Some((row, _)) if self.is_own(row) => row.is_released,
            // The write in flight may acquire the lease.
            _ => !self.is_writing,
        };
        self.is_releasing && is_written
    }

    /// Returns whether this daemon may write the row again as its holder, or to release it.
    fn may_renew(&self, seen: &SeenRow, row: &LeaseRow, now_ms: u64) -> bool {
        let is_held = !seen.is_restored || now_ms < self.held_until_ms;
        self.is_own(row) && (self.is_releasing || (is_held && !self.has_resigned(row)))
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.identity.vm && row.incarnation == self.identity.incarnation
    }

    fn has_resigned(&self, row: &LeaseRow) -> bool {
        self.resigned_token == Some(row.token)
    }

    /// Returns the resignation of the holder in the row that was seen, if it has stepped down.
    fn received_for(&self, seen: &SeenRow) -> Option<ReceivedResignation> {
        let row = seen.row.as_ref()?;
        self.received.filter(|received| received.token == row.token && !self.is_own(row))
    }

    fn is_same_vm(&self, row: &LeaseRow) -> bool {
        row.holder == self.identity.vm
    }

    fn first_row(&self, token: u64, has_begun: bool) -> LeaseRow {
        LeaseRow {
            holder: self.identity.vm.clone(),
            address: self.identity.address,
            millicores: self.identity.millicores,
            incarnation: self.identity.incarnation,
            token,
            renewals: 0,
            has_begun,
            is_released: false,
            daemons: self.daemons,
            refused: Vec::new(),
            departures: Vec::new(),
        }
    }

    /// Returns when the first order may be given under a lease that is acquired now.
    fn quiet_end_ms(&self, now_ms: u64) -> u64 {
        let Some(seen) = &self.seen else { return now_ms };
        if seen.has_unknown_holder() {
            return seen.since_ms + self.timing.hold_ms + self.timing.quiet_ms + MARGIN_MS;
        }
        let Some(row) = &seen.row else { return now_ms };
        if let Some(received) = self.received_for(seen) {
            return received.quiet_until_ms.max(now_ms);
        }
        if self.is_same_vm(row) {
            let quiet_ms = if row.has_begun { 0 } else { self.timing.quiet_ms + MARGIN_MS };
            return now_ms + quiet_ms;
        }
        let last_order_ms = match row.is_released {
            true => seen.since_ms,
            false => seen.since_ms + self.timing.hold_ms,
        };
        last_order_ms + self.timing.quiet_ms + MARGIN_MS
    }
}
