//! Rows of the platform's table, and transactions on them.

use crate::{
    endpoint_row::EndpointRow,
    lease_row::LeaseRow,
    membership_row::MembershipRow,
    model_row::ModelRow,
    names::{DomainName, EndpointName, ModelName, VmName},
};
use std::collections::BTreeMap;

/// Key of a row.
#[trestle_macros::key]
pub enum RowKey {
    /// Membership row of a failure domain.
    Membership(DomainName),
    /// Lease row of one member.
    Lease(DomainName, VmName),
    /// Row of the placements at an endpoint.
    Endpoint(EndpointName),
    /// Row of the replicas of a model.
    Model(ModelName),
}

/// Content of a row.
#[trestle_macros::plain]
pub enum Row {
    /// Members of a failure domain.
    Membership(MembershipRow),
    /// The lease of one member.
    Lease(LeaseRow),
    /// Placements at an endpoint.
    Endpoint(EndpointRow),
    /// Replicas of a model.
    Model(ModelRow),
}

/// A row and its version, which transactions check.
#[trestle_macros::plain]
pub struct Versioned {
    /// Version of the row; 0 if it was never written.
    pub version: u64,
    /// Content of the row; `None` if it is absent.
    pub row: Option<Row>,
}

impl Versioned {
    /// A row that was never written.
    pub const ABSENT: Self = Self { version: 0, row: None };
}

/// Rows that one read returned; rows that were never written are left out.
pub type Rows = BTreeMap<RowKey, Versioned>;

/// Writes that take effect together, unless a checked row has changed.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Txn {
    /// Versions that rows must still have.
    pub checks: BTreeMap<RowKey, u64>,
    /// New contents of rows; `None` deletes the row.
    pub writes: BTreeMap<RowKey, Option<Row>>,
}

impl Txn {
    /// Adds a write of a row that must still have the version.
    pub fn replace(&mut self, key: RowKey, version: u64, row: Option<Row>) {
        self.checks.insert(key.clone(), version);
        self.writes.insert(key, row);
    }
}

/// Outcome of a transaction, as far as the sender knows it.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum CommitOutcome {
    /// The transaction took effect.
    Committed,
    /// A checked row had changed, so the transaction had no effect.
    Conflict,
    /// The answer was lost; the transaction may have taken effect.
    Unknown,
}
