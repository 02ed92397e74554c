//! Rows of the external store, and the results of its operations.

/// The key of a row.
#[trestle_macros::key]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Partition of the table; the store serializes the transactions of one partition.
    pub partition: String,
    /// Key of the row in its partition.
    pub key: String,
}

/// One row.
#[trestle_macros::plain]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Content of the row.
    pub value: Vec<u8>,
    /// Number of the transaction that wrote the row.
    pub version: u64,
}

/// One page of rows that were read from a partition.
#[trestle_macros::plain]
pub struct RowPage {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether the partition has more rows after the last one.
    pub has_more: bool,
    /// Number of the newest transaction that the page reflects.
    pub version: u64,
}

/// One change of a table.
#[trestle_macros::plain]
pub enum RowChange {
    /// A row was written.
    Written(Row),
    /// A row was removed by the transaction with this number.
    Removed(RowKey, u64),
}

/// The changes of a table since a transaction.
#[trestle_macros::plain]
pub enum Feed {
    /// The changes, and the number of the transaction from which to continue.
    Changes(Vec<RowChange>, u64),
    /// The store's history no longer reaches back to that transaction; the table must be read
    /// again.
    Forgotten,
}

/// A write that takes effect only if the row has an expected version.
#[trestle_macros::plain]
pub struct ConditionalWrite {
    /// Key of the row.
    pub key: RowKey,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The new content; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// The result of a conditional write.
#[trestle_macros::plain]
pub enum WriteOutcome {
    /// The write took effect with this version.
    Written(u64),
    /// The row has another version; the value is the row, if it exists.
    Conflict(Option<Row>),
    /// The store answered that it did nothing.
    Refused,
    /// No answer arrived: the write may have taken effect, or may still do so.
    Unknown,
}
