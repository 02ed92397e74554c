//! Rows of the platform's table, and transactions over them.

use crate::{
    endpoint_row::EndpointRow,
    lease_row::LeaseRow,
    membership_row::MembershipRow,
    model_row::ModelRow,
    names::{DomainName, EndpointName, ModelName, VmName},
};
use std::collections::BTreeMap;

/// The key of a row.
#[trestle_macros::key]
pub enum RowKey {
    /// Members of a failure domain.
    Membership(DomainName),
    /// The lease of one member.
    Lease(DomainName, VmName),
    /// What is placed at an endpoint.
    Endpoint(EndpointName),
    /// Where a model is placed.
    Model(ModelName),
}

/// The content of a row.
#[trestle_macros::plain]
pub enum Row {
    /// Members of a failure domain.
    Membership(MembershipRow),
    /// The lease of one member.
    Lease(LeaseRow),
    /// What is placed at an endpoint.
    Endpoint(EndpointRow),
    /// Where a model is placed.
    Model(ModelRow),
}

/// A row with the version that a transaction checks.
#[trestle_macros::plain]
pub struct Versioned {
    /// Version of the row, 0 for one that was never written.
    pub version: u64,
    /// Content, `None` for an absent row.
    pub row: Option<Row>,
}

impl Versioned {
    /// A row that was never written.
    pub const ABSENT: Self = Self { version: 0, row: None };
}

/// Rows as one read returned them; absent rows are left out.
pub type Rows = BTreeMap<RowKey, Versioned>;

/// Writes that take effect together, if no checked row has changed.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Txn {
    /// Rows and the versions they must still have.
    pub checks: BTreeMap<RowKey, u64>,
    /// New contents; `None` deletes the row.
    pub writes: BTreeMap<RowKey, Option<Row>>,
}

impl Txn {
    /// Adds a write of a row that must still have the version.
    pub fn replace(&mut self, key: RowKey, version: u64, row: Option<Row>) {
        self.checks.insert(key.clone(), version);
        self.writes.insert(key, row);
    }
}

/// What is known of a transaction after it was sent.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum CommitOutcome {
    /// It took effect.
    Committed,
    /// A checked row had changed; it took no effect.
    Conflict,
    /// The answer was lost; it may have taken effect.
    Unknown,
}
