//! Membership of one daemon in its failure domain.
//!
//! One row lists the members and changes only by compare-and-set. Each member renews a lease
//! row of its own. Other members judge that lease by their own monotonic clocks: a lease has
//! expired once its renewals have not changed for [`Timing::expiry_ms`] of *counted* time. Time
//! counts only between two successful reads, and only while the observer's own renewals take
//! effect, so an outage of the platform, for reads or for writes, expires no lease.
//!
//! A write whose answer was lost needs no special handling: the next read shows whether it
//! took effect, and if it did not, the same decision follows again.

use crate::{
    lease_row::LeaseRow,
    membership_row::{Member, MembershipRow},
    names::{DomainName, VmName},
    row::{CommitOutcome, Row, RowKey, Rows, Txn, Versioned},
    timing::Timing,
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of successors in the ring of members whose leases a member observes.
const OBSERVED_SUCCESSORS: usize = 3;

/// Membership of one daemon in its failure domain.
#[trestle_macros::plain]
pub struct Membership {
    own_vm: VmName,
    member: Member,
    domain: DomainName,
    timing: Timing,
    row: MembershipRow,
    version: u64,
    lease: LeaseRow,
    observed: BTreeMap<VmName, Observed>,
    last_read_ms: Option<u64>,
    renewed_since_read: bool,
    last_renewed_ms: Option<u64>,
    renewal_sent_ms: u64,
    leaving: bool,
}

/// What a member has observed of another member's lease.
#[trestle_macros::plain]
#[derive(Copy)]
struct Observed {
    lease: LeaseRow,
    unchanged_ms: u64,
    has_renewed: bool,
}

impl Membership {
    /// Creates the membership of a daemon that is not a member yet.
    pub fn new(own_vm: VmName, member: Member, domain: DomainName, timing: Timing) -> Self {
        Self {
            own_vm,
            member,
            domain,
            timing,
            row: MembershipRow::default(),
            version: 0,
            lease: LeaseRow::default(),
            observed: BTreeMap::new(),
            last_read_ms: None,
            renewed_since_read: false,
            last_renewed_ms: None,
            renewal_sent_ms: 0,
            leaving: false,
        }
    }

    /// Returns the name of this daemon's VM.
    pub fn own_vm(&self) -> &VmName {
        &self.own_vm
    }

    /// Returns the failure domain of this daemon.
    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Returns the membership row as last read.
    pub fn row(&self) -> &MembershipRow {
        &self.row
    }

    /// Returns the version of the membership row as last read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this run of the daemon is a member.
    pub fn is_member(&self) -> bool {
        self.row.members.get(&self.own_vm) == Some(&self.member)
    }

    /// Returns whether the lease was renewed so recently that no observer can treat it as expired.
    pub fn lease_is_fresh(&self, now_ms: u64) -> bool {
        let Some(renewed_ms) = self.last_renewed_ms else { return false };
        self.is_member() && now_ms.saturating_sub(renewed_ms) < self.timing.expiry_ms / 2
    }

    /// Returns the key of the domain's membership row.
    pub fn key(&self) -> RowKey {
        RowKey::Membership(self.domain.clone())
    }

    /// Makes the daemon leave the domain with its next change of the row and never join again.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this daemon has been asked to leave and the row shows that it has left.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.is_member()
    }

    /// Returns the keys of the rows to read periodically.
    pub fn keys_to_read(&self) -> Vec<RowKey> {
        let mut keys = vec![self.key()];
        keys.extend(self.observed_members().into_iter().map(|vm| self.lease_key(vm)));
        keys
    }

    /// Returns the transaction that renews this daemon's lease and records the epoch it acts on.
    pub fn renewal(&mut self, now_ms: u64, acted_epoch: u64) -> Txn {
        self.renewal_sent_ms = now_ms;
        self.lease = LeaseRow { renewals: self.lease.renewals + 1, epoch: acted_epoch };
        let mut txn = Txn::default();
        txn.writes.insert(self.lease_key(&self.own_vm), Some(Row::Lease(self.lease)));
        txn
    }

    /// Records the outcome of a renewal.
    pub fn on_renewed(&mut self, outcome: CommitOutcome) {
        if outcome == CommitOutcome::Committed {
            self.renewed_since_read = true;
            self.last_renewed_ms = Some(self.renewal_sent_ms);
        }
    }

    /// Updates the membership from the rows of a periodic read; `rows` is `None` if the read
    /// failed.
    pub fn on_read(&mut self, rows: Option<&Rows>, now_ms: u64) {
        let Some(rows) = rows else {
            self.last_read_ms = None;
            return;
        };
        let counted_ms = self.counted_ms(now_ms);
        self.last_read_ms = Some(now_ms);
        self.renewed_since_read = false;
        self.update_row(rows.get(&self.key()));
        self.observe(rows, counted_ms);
    }

    /// Returns the transaction that changes the membership row; `None` if no change is due.
    ///
    /// `gone` holds the VMs that have been missing from the platform's list for long enough.
    pub fn due_change(&self, gone: BTreeSet<&str>) -> Option<Txn> {
        self.last_read_ms?;
        let row = self.changed_row(gone)?;
        let mut txn = Txn::default();
        txn.replace(self.key(), self.version, Some(Row::Membership(row)));
        Some(txn)
    }

    /// Returns the members whose leases have expired, as observed by this daemon.
    pub fn expired(&self) -> Vec<&VmName> {
        let expired = |observed: &Observed| observed.unchanged_ms >= self.timing.expiry_ms;
        self.observed.iter().filter(|(_, o)| expired(o)).map(|(vm, _)| vm).collect()
    }

    /// Returns whether this daemon is an adopter and has observed a renewal by a daemon of the
    /// domain itself.
    pub fn can_end_adoption(&self) -> bool {
        let is_native = |vm: &VmName| self.row.members.get(vm).is_some_and(|m| !m.is_adopter);
        let mut observed = self.observed.iter();
        self.member.is_adopter
            && observed.any(|(vm, observed)| observed.has_renewed && is_native(vm))
    }

    fn changed_row(&self, gone: BTreeSet<&str>) -> Option<MembershipRow> {
        if self.leaving {
            return self.is_member().then(|| self.row.without_member(&self.own_vm));
        }
        if !self.is_member() {
            return Some(self.row.with_member(&self.own_vm, &self.member));
        }
        if let Some(expired) = self.expired().first() {
            return Some(self.row.with_expelled(expired));
        }
        let is_gone = |vm: &&VmName| gone.contains(vm.as_str());
        let settled: BTreeSet<VmName> =
            self.row.unsettled.iter().filter(is_gone).cloned().collect();
        (!settled.is_empty()).then(|| self.row.without_unsettled(&settled))
    }

    fn counted_ms(&self, now_ms: u64) -> u64 {
        let Some(last_ms) = self.last_read_ms else { return 0 };
        if !self.renewed_since_read {
            return 0;
        }
        let longest_ms = 2 * self.timing.lease_ms;
        now_ms.saturating_sub(last_ms).min(longest_ms)
    }

    fn update_row(&mut self, read: Option<&Versioned>) {
        let read = read.unwrap_or(&Versioned::ABSENT);
        if read.version < self.version {
            return;
        }
        self.version = read.version;
        if let Some(Row::Membership(row)) = &read.row {
            self.row = row.clone();
        }
    }

    fn observe(&mut self, rows: &Rows, counted_ms: u64) {
        let members: Vec<VmName> = self.observed_members().into_iter().cloned().collect();
        self.observed.retain(|vm, _| members.contains(vm));
        for vm in members {
            let lease = match rows.get(&self.lease_key(&vm)) {
                Some(Versioned { row: Some(Row::Lease(lease)), .. }) => *lease,
                _ => LeaseRow::default(),
            };
            self.observe_lease(vm, lease, counted_ms);
        }
    }

    fn observe_lease(&mut self, vm: VmName, lease: LeaseRow, counted_ms: u64) {
        match self.observed.get_mut(&vm) {
            Some(observed) if observed.lease == lease => observed.unchanged_ms += counted_ms,
            earlier => {
                // The first lease row that is read replaces a default one, which is no renewal.
                let has_renewed = earlier.is_some_and(|earlier| earlier.lease.renewals > 0);
                self.observed.insert(vm, Observed { lease, unchanged_ms: 0, has_renewed });
            }
        }
    }

    fn observed_members(&self) -> Vec<&VmName> {
        let after = self.row.members.keys().skip_while(|vm| **vm <= self.own_vm);
        let before = self.row.members.keys().take_while(|vm| **vm < self.own_vm);
        after.chain(before).take(OBSERVED_SUCCESSORS).collect()
    }

    fn lease_key(&self, vm: &VmName) -> RowKey {
        RowKey::Lease(self.domain.clone(), vm.clone())
    }
}
