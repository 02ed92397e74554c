//! Who may give orders: a lease in one row of the store.
//!
//! The holder counts from the moment before it sent its last renewal that
//! succeeded, on a clock of its own that never stands still; an observer counts from the moment at
//! which it first knew of that renewal. Since the first is never later than the
//! second, the holder has stopped before an observer's conditional write can
//! replace it. Engines may judge orders of two machines that come close after
//! each other, so a new holder also lets a quiet time pass.
//!
//! A holder whose lease has run out steps down and tells the others. It gives no
//! order under that token again, so they need to be quiet only where it has
//! ordered lately.
//!
//! No clocks are compared, and nobody takes over without the store.

use crate::{crashes::CrashReport, departures::Departure};
use std::net::SocketAddr;

/// Times of the lease.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct LeaseTiming {
    /// Between two renewals.
    pub renew_ms: u64,
    /// For which a renewal lets its holder give orders.
    pub hold_ms: u64,
    /// Between the last order of one machine and the first of another.
    pub quiet_ms: u64,
    /// For which an order may be on its way.
    pub in_flight_ms: u64,
}

/// Added where one machine waits for another's time to pass, for differences in
/// the pace of clocks and orders that are on their way.
const MARGIN_MS: u64 = 300;
/// Time that a holder which stepped down leaves the lease to others.
const STEPPED_DOWN_MS: u64 = 600;
/// Pause after a write whose outcome is not known, or that the store refused.
const RETRY_MS: u64 = 250;

/// The row.
#[trestle_macros::plain]
pub struct LeaseRow {
    /// The machine that holds the lease.
    pub holder: String,
    /// Where its daemon answers others.
    pub address: SocketAddr,
    /// Processor of that machine, in thousandths of a core.
    pub millicores: u32,
    /// The start of that daemon, as a random number.
    pub incarnation: u64,
    /// Fencing number; grows with each holder.
    pub token: u64,
    /// Renewals of this holder.
    pub renewals: u64,
    /// Whether the quiet time after the holder before is over. A daemon that is
    /// started anew on the holder's machine may go on at once only then.
    pub has_begun: bool,
    /// Whether the holder has given the lease up.
    pub is_released: bool,
    /// Daemons that ask the holder, as it last counted them.
    pub daemons: u32,
    /// Requests that are refused because endpoints ended under them. They lie here so that
    /// daemons which all start anew need not lose endpoints to find out again.
    pub refused: Vec<CrashReport>,
    /// Endpoints that left or are gone, for daemons that start anew and may be told otherwise.
    pub departures: Vec<Departure>,
}

/// A conditional write of the row.
#[trestle_macros::plain]
pub struct LeaseWrite {
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The new row.
    pub row: LeaseRow,
}

/// What a holder says once it has stepped down.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Resignation {
    /// The token under which it gives no order any more.
    pub token: u64,
    /// Time for which nobody may give any order, because of holders before it.
    pub quiet_for_ms: u64,
    /// Time after which its orders and those before it no longer matter anywhere.
    pub settled_for_ms: u64,
}

/// A resignation that was heard.
#[derive(Debug, Clone, Copy)]
struct SignalChange {
    token: u64,
    at_ms: u64,
    quiet_until_ms: u64,
    settled_ms: u64,
}

/// One daemon's view of the lease.
#[derive(Debug)]
pub struct Lease {
    me: Identity,
    timing: LeaseTiming,
    seen: Option<Seen>,
    /// Orders may be given until then.
    held_until_ms: u64,
    /// Orders may be given from then on.
    quiet_until_ms: u64,
    /// Nothing of the holders before matters from then on.
    settled_ms: u64,
    /// Until when other machines must be quiet because of orders that a daemon which ran here
    /// before may have given: this one does not know them.
    unknown_until_ms: u64,
    /// The token under which this daemon gives no order any more.
    resigned_token: Option<u64>,
    heard: Option<SignalChange>,
    next_write_ms: u64,
    is_writing: bool,
    is_leaving: bool,
    /// Daemons that ask this one; before it holds the lease, those that asked the last holder.
    daemons: u32,
}

/// The daemon that takes part.
#[trestle_macros::plain]
pub struct Identity {
    /// The machine, by a name and address that no other has.
    pub vm: String,
    /// Where the daemon answers others.
    pub address: SocketAddr,
    /// Processor of the machine, in thousandths of a core.
    pub millicores: u32,
    /// This start of the daemon.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
struct Seen {
    row: Option<LeaseRow>,
    version: u64,
    since_ms: u64,
}

impl Lease {
    /// A daemon's view before it has read anything.
    pub fn new(me: Identity, timing: LeaseTiming) -> Self {
        Self {
            me,
            timing,
            seen: None,
            held_until_ms: 0,
            quiet_until_ms: 0,
            settled_ms: 0,
            unknown_until_ms: 0,
            resigned_token: None,
            heard: None,
            next_write_ms: 0,
            is_writing: false,
            is_leaving: false,
            daemons: 0,
        }
    }

    /// The quiet time between orders of two machines.
    pub fn quiet_ms(&self) -> u64 {
        self.timing.quiet_ms
    }

    /// Sets the quiet time that the next takeover keeps.
    pub fn set_quiet_ms(&mut self, quiet_ms: u64) {
        self.timing.quiet_ms = quiet_ms;
    }

    /// Takes the row as it was read, or as its holder tells it; version 0 if there is none.
    pub fn observed(&mut self, row: Option<LeaseRow>, version: u64, now_ms: u64) {
        if self.seen.as_ref().is_some_and(|seen| seen.version >= version && version > 0) {
            return;
        }
        if self.seen.as_ref().is_some_and(|seen| seen.version == 0 && version == 0) {
            return;
        }
        if !row.as_ref().is_some_and(|row| self.is_mine(row)) {
            self.held_until_ms = 0;
            self.daemons = row.as_ref().map_or(0, |row| row.daemons);
        }
        self.seen = Some(Seen { row, version, since_ms: now_ms });
    }

    /// The write that is due now. Its outcome must be told to [`Self::written`].
    pub fn due_write(&mut self, now_ms: u64) -> Option<LeaseWrite> {
        if self.is_writing || now_ms < self.next_write_ms {
            return None;
        }
        let seen = self.seen.clone()?;
        let row = match &seen.row {
            Some(row) if self.is_mine(row) && row.is_released => return None,
            Some(row) if self.is_mine(row) && (self.is_leaving || !self.has_resigned(row)) => {
                let has_begun = row.has_begun || now_ms >= self.settled_ms;
                let (is_released, daemons) = (self.is_leaving, self.daemons);
                let renewals = row.renewals + 1;
                LeaseRow { renewals, has_begun, is_released, daemons, ..row.clone() }
            }
            _ if self.is_leaving => return None,
            Some(_) if self.free_from_ms().is_none_or(|from_ms| now_ms < from_ms) => return None,
            other => {
                // Whatever becomes of the answer, this may be the write that takes the lease.
                self.quiet_until_ms = self.quiet_until_ms.max(self.quiet_end_ms(now_ms));
                let heard_ms = self.heard_of(&seen).map_or(0, |heard| heard.settled_ms);
                self.settled_ms = self.settled_ms.max(self.quiet_until_ms).max(heard_ms);
                if other.as_ref().is_some_and(|row| self.is_same_machine(row)) {
                    let quiet_ms = self.timing.in_flight_ms + self.timing.quiet_ms + MARGIN_MS;
                    self.unknown_until_ms = now_ms + quiet_ms;
                }
                let has_begun = self.settled_ms <= now_ms;
                self.first_row(other.as_ref().map_or(0, |row| row.token) + 1, has_begun)
            }
        };
        self.is_writing = true;
        Some(LeaseWrite { expected: seen.version, row })
    }

    /// Takes the outcome of a write that was sent at `sent_ms`: the version it got, if it
    /// is known to have taken effect.
    pub fn write_finished(
        &mut self,
        write: LeaseWrite,
        version: Option<u64>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        self.is_writing = false;
        let Some(version) = version else {
            self.next_write_ms = now_ms + RETRY_MS;
            return;
        };
        self.next_write_ms = sent_ms + self.timing.renew_ms;
        self.held_until_ms = sent_ms + self.timing.hold_ms;
        if write.row.is_released || self.has_resigned(&write.row) {
            self.held_until_ms = 0;
        }
        self.seen = Some(Seen { row: Some(write.row), version, since_ms: now_ms });
    }

    /// The fencing number under which an order may be sent now, if any may.
    pub fn may_order(&self, now_ms: u64) -> Option<u64> {
        let row = self.seen.as_ref()?.row.as_ref()?;
        let is_time = now_ms >= self.quiet_until_ms && now_ms < self.held_until_ms;
        (is_time && self.is_mine(row) && !row.is_released).then_some(row.token)
    }

    /// The time in which orders may be sent: from, and until.
    pub fn order_window(&self) -> (u64, u64) {
        (self.quiet_until_ms, self.held_until_ms)
    }

    /// Whether this daemon holds the lease, also while it must still be quiet.
    pub fn is_holder(&self, now_ms: u64) -> bool {
        let row = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        now_ms < self.held_until_ms && row.is_some_and(|row| self.is_mine(row))
    }

    /// The row as last seen, with its version.
    pub fn seen(&self) -> Option<(&LeaseRow, u64)> {
        let seen = self.seen.as_ref()?;
        Some((seen.row.as_ref()?, seen.version))
    }

    /// Since when, or from when on, this daemon may take the lease from whoever had it last.
    pub fn free_from_ms(&self) -> Option<u64> {
        let seen = self.seen.as_ref()?;
        if let Some(heard) = self.heard_of(seen) {
            return Some(heard.at_ms);
        }
        Some(match &seen.row {
            Some(row) if !row.is_released && !self.is_same_machine(row) => {
                seen.since_ms + self.timing.hold_ms + MARGIN_MS
            }
            _ => seen.since_ms,
        })
    }

    /// Whether this daemon's lease has run out without its having stepped down.
    ///
    /// Not sooner: while the store is slow a renewal may still come in time.
    pub fn has_run_out(&self, now_ms: u64) -> bool {
        let is_mine = self.seen().is_some_and(|(row, _)| self.is_mine(row));
        is_mine && self.held_until_ms > 0 && now_ms >= self.held_until_ms
    }

    /// Gives no order any more under the present token.
    pub fn resign(&mut self, now_ms: u64) {
        self.resigned_token = self.seen().map(|(row, _)| row.token);
        self.held_until_ms = 0;
        self.next_write_ms = now_ms + STEPPED_DOWN_MS;
    }

    /// What others are told as long as nobody else has taken the lease. `settled_for_ms` is
    /// the time after which this machine's orders no longer matter.
    pub fn resignation(&self, settled_for_ms: u64, now_ms: u64) -> Option<Resignation> {
        let (row, _) = self.seen()?;
        (self.is_mine(row) && self.has_resigned(row)).then(|| Resignation {
            token: row.token,
            quiet_for_ms: self.quiet_until_ms.max(self.unknown_until_ms).saturating_sub(now_ms),
            settled_for_ms: settled_for_ms.max(self.settled_ms.saturating_sub(now_ms)),
        })
    }

    /// Takes what a holder says that has stepped down.
    pub fn resignation_received(&mut self, resignation: Resignation, now_ms: u64) {
        if self.heard.is_some_and(|heard| heard.token >= resignation.token) {
            return;
        }
        self.heard = Some(SignalChange {
            token: resignation.token,
            at_ms: now_ms,
            quiet_until_ms: now_ms + resignation.quiet_for_ms,
            settled_ms: now_ms + resignation.settled_for_ms,
        });
    }

    /// Sets how many daemons ask this one, for whoever holds the lease next.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Gives the lease up with the next write, and takes it no more.
    pub fn release(&mut self) {
        self.is_leaving = true;
        self.next_write_ms = 0;
    }

    /// Whether nothing is left to write before the daemon may end.
    pub fn is_release_done(&self) -> bool {
        let row = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        self.is_leaving && !row.is_some_and(|row| self.is_mine(row) && !row.is_released)
    }

    fn is_mine(&self, row: &LeaseRow) -> bool {
        row.holder == self.me.vm && row.incarnation == self.me.incarnation
    }

    fn has_resigned(&self, row: &LeaseRow) -> bool {
        self.resigned_token == Some(row.token)
    }

    /// What its holder said of the lease that was seen, if it has stepped down.
    fn heard_of(&self, seen: &Seen) -> Option<SignalChange> {
        let row = seen.row.as_ref()?;
        self.heard.filter(|heard| heard.token == row.token && !self.is_mine(row))
    }

    fn is_same_machine(&self, row: &LeaseRow) -> bool {
        row.holder == self.me.vm
    }

    fn first_row(&self, token: u64, has_begun: bool) -> LeaseRow {
        LeaseRow {
            holder: self.me.vm.clone(),
            address: self.me.address,
            millicores: self.me.millicores,
            incarnation: self.me.incarnation,
            token,
            renewals: 0,
            has_begun,
            is_released: false,
            daemons: self.daemons,
            refused: Vec::new(),
            departures: Vec::new(),
        }
    }

    /// When the first order may be given, for a lease that was taken just now.
    fn quiet_end_ms(&self, now_ms: u64) -> u64 {
        let Some(seen) = &self.seen else { return now_ms };
        let Some(row) = &seen.row else { return now_ms };
        if let Some(heard) = self.heard_of(seen) {
            return heard.quiet_until_ms.max(now_ms);
        }
        if self.is_same_machine(row) {
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
