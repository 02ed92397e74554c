//! Adoption of failure domains that have lost all their daemons.
//!
//! A domain without live daemons is adopted through the table: a daemon of another domain
//! joins its membership row as an adopter, expels the members whose leases have expired, and
//! owns the endpoints until the domain has a daemon of its own again. To keep the cost low,
//! only one daemon of each domain observes the leases of a given other domain; rendezvous
//! hashing selects it. Several daemons may adopt a domain at once, and then they are ordinary
//! members of it.

use crate::{
    lease_row::LeaseRow,
    membership_row::MembershipRow,
    names::{DomainName, VmName},
    rendezvous,
    row::{Row, RowKey, Rows, Versioned},
    timing::Timing,
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of lease expiry times without any renewal after which the first-ranked domain adopts.
const UNCHANGED_EXPIRIES: u64 = 2;

/// What one daemon has observed of the leases of another domain.
#[trestle_macros::plain]
pub struct Adoption {
    domain: DomainName,
    timing: Timing,
    leases: BTreeMap<VmName, LeaseRow>,
    has_read: bool,
    unchanged_ms: u64,
    last_read_ms: Option<u64>,
}

impl Adoption {
    /// Starts the observation of a domain.
    pub fn new(domain: DomainName, timing: Timing) -> Self {
        Self {
            domain,
            timing,
            leases: BTreeMap::new(),
            has_read: false,
            unchanged_ms: 0,
            last_read_ms: None,
        }
    }

    /// Returns the keys of the rows to read.
    pub fn keys(&self) -> Vec<RowKey> {
        let leases = self.leases.keys().map(|vm| self.lease_key(vm));
        leases.chain([RowKey::Membership(self.domain.clone())]).collect()
    }

    /// Updates the observation from the rows that were read; `rows` is `None` if the read failed.
    ///
    /// Time counts as for any lease: between two successful reads while the observer's own lease
    /// is fresh.
    pub fn on_read(&mut self, rows: Option<&Rows>, own_lease_is_fresh: bool, now_ms: u64) {
        let Some(rows) = rows else {
            self.last_read_ms = None;
            return;
        };
        let leases = self.leases_in(rows);
        let elapsed_ms = self.last_read_ms.map_or(0, |last_ms| now_ms.saturating_sub(last_ms));
        self.last_read_ms = Some(now_ms);
        if leases != self.leases || !self.has_read {
            self.unchanged_ms = 0;
        } else if own_lease_is_fresh {
            self.unchanged_ms += elapsed_ms.min(2 * self.timing.lease_ms);
        }
        self.has_read = true;
        self.leases = leases;
    }

    /// Returns whether a daemon of the domain `own` should adopt the observed domain.
    ///
    /// A domain with a higher rank waits longer, so that it adopts only if those before it are gone
    /// as well.
    pub fn is_due(&self, own: &DomainName, domains: &BTreeSet<DomainName>) -> bool {
        let others = domains.iter().filter(|domain| **domain != self.domain);
        let ranked = rendezvous::ranked(self.domain.as_str(), others);
        let Some(rank) = ranked.iter().position(|domain| *domain == own) else { return false };
        self.unchanged_ms >= UNCHANGED_EXPIRIES * (rank as u64 + 1) * self.timing.expiry_ms
    }

    fn leases_in(&self, rows: &Rows) -> BTreeMap<VmName, LeaseRow> {
        let Some(Versioned { row: Some(Row::Membership(row)), .. }) =
            rows.get(&RowKey::Membership(self.domain.clone()))
        else {
            return BTreeMap::new();
        };
        let lease_of = |vm: &VmName| match rows.get(&self.lease_key(vm)) {
            Some(Versioned { row: Some(Row::Lease(lease)), .. }) => *lease,
            _ => LeaseRow::default(),
        };
        row.members.keys().map(|vm| (vm.clone(), lease_of(vm))).collect()
    }

    fn lease_key(&self, vm: &VmName) -> RowKey {
        RowKey::Lease(self.domain.clone(), vm.clone())
    }
}

/// Returns whether the member `own_vm` observes another domain on behalf of its own domain.
pub fn follows(own: &MembershipRow, own_vm: &VmName, other: &DomainName) -> bool {
    rendezvous::ranked(other.as_str(), own.members.keys()).first() == Some(&own_vm)
}
