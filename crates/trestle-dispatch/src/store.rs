//! Rows of the outside store, and what can be asked of it.

/// Where a row stands.
#[trestle_macros::key]
pub struct RowKey {
    /// Its table.
    pub table: String,
    /// Its partition in the table; the store carries out one transaction of a partition after
    /// the other.
    pub partition: String,
    /// Its key in the partition.
    pub key: String,
}

/// One row.
#[trestle_macros::plain]
pub struct Row {
    /// Where it stands.
    pub key: RowKey,
    /// Its content.
    pub value: Vec<u8>,
    /// The number of the transaction that wrote it.
    pub version: u64,
}

/// What was read of a partition.
#[trestle_macros::plain]
pub struct RowPage {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether there are more behind the last.
    pub has_more: bool,
    /// The newest transaction that the answer reflects.
    pub version: u64,
}

/// One change of a table.
#[trestle_macros::plain]
pub enum RowChange {
    /// A row was written.
    Written(Row),
    /// A row was removed, by this transaction.
    Removed(RowKey, u64),
}

/// Changes of a table after a transaction.
#[trestle_macros::plain]
pub enum Feed {
    /// The changes, and the transaction to go on from.
    Changes(Vec<RowChange>, u64),
    /// The history no longer reaches back so far; the table must be read anew.
    Forgotten,
}

/// A write that takes effect only if the row still has a version.
#[trestle_macros::plain]
pub struct ConditionalWrite {
    /// The row.
    pub key: RowKey,
    /// The version that it must have; 0 if it must not exist.
    pub expected: u64,
    /// Its new content; none removes it.
    pub value: Option<Vec<u8>>,
}

/// What became of a conditional write.
#[trestle_macros::plain]
pub enum WriteOutcome {
    /// It took effect with this version.
    Written(u64),
    /// The row has another version; this is it, if it exists.
    Conflict(Option<Row>),
    /// The store did nothing and says so.
    Refused,
    /// No answer: it may have taken effect, or may still do so.
    Unknown,
}
