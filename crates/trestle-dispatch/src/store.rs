//! Rows of the external store, and the results of its operations.

use crate::store_version::StoreVersion;

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
    /// The transaction that wrote the row.
    pub version: StoreVersion,
}

/// One page of rows that were read from a partition.
#[trestle_macros::plain]
pub struct RowPage {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether the partition has more rows after the last one.
    pub has_more: bool,
    /// The newest transaction that the page reflects.
    pub version: StoreVersion,
}

/// One change of a table.
#[trestle_macros::plain]
pub enum RowChange {
    /// A row was written.
    Written(Row),
    /// A row was removed by this transaction.
    Removed(RowKey, StoreVersion),
}

/// The changes of a table since a transaction.
#[trestle_macros::plain]
pub enum Feed {
    /// The changes, and the transaction from which to continue. They are all changes since the
    /// requested transaction only if both are of the same era.
    Changes(Vec<RowChange>, StoreVersion),
    /// The store's history does not contain that transaction; the table must be read again.
    Forgotten,
}

impl Feed {
    /// Returns the feed for a reader that requested the changes after a transaction. If the store was
    /// restored since, that transaction may have been given out again, and the reader lacks the
    /// earlier changes of the new era.
    pub fn requested_after(self, after: StoreVersion) -> Self {
        match self {
            Self::Changes(_, version) if version.era != after.era => Self::Forgotten,
            feed => feed,
        }
    }
}

/// A write that takes effect only if the row has an expected version.
#[trestle_macros::plain]
pub struct ConditionalWrite {
    /// Key of the row.
    pub key: RowKey,
    /// The version that the row must have; its number is 0 if the row must not exist. The store
    /// compares only the number, so a write of an earlier era may take effect by coincidence.
    pub expected: StoreVersion,
    /// The new content; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// The result of a conditional write.
#[trestle_macros::plain]
pub enum WriteOutcome {
    /// The write took effect with this version.
    Written(StoreVersion),
    /// The row has another version; the value is the row, if it exists.
    Conflict(Option<Row>),
    /// The store answered that it did nothing.
    Refused,
    /// No answer arrived: the write may have taken effect, or may still do so.
    Unknown,
}
