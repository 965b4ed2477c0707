//! Client of the transactional table service.

mod client;
mod codec;

use std::sync::Arc;

pub use client::Client;

/// The primary key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The partition key.
    pub partition: Arc<str>,
    /// The sort key.
    pub sort: Arc<str>,
}

impl Key {
    /// Creates a key.
    pub fn new(partition: impl Into<Arc<str>>, sort: impl Into<Arc<str>>) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
        }
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Primary key.
    pub key: Key,
    /// Version, which conditions of writes refer to.
    pub version: u64,
    /// Id of the transaction that wrote the row.
    pub write_id: Arc<str>,
    /// JSON body.
    pub body: Arc<str>,
}

/// The order of rows by their sort keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Smallest sort key first.
    Ascending,
    /// Greatest sort key first.
    Descending,
}

/// A page of rows of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows in the requested order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Unconditional.
    None,
    /// The row does not exist.
    Absent,
    /// The row exists.
    Present,
    /// The row has this version.
    Version(u64),
}

/// What a write does to its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replaces the row.
    Put {
        /// New version.
        version: u64,
        /// New JSON body.
        body: Arc<str>,
    },
    /// Deletes the row.
    Delete,
    /// Only checks the condition.
    Check,
}

/// One item of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Row that is written or checked.
    pub key: Key,
    /// Precondition.
    pub condition: Condition,
    /// Change to the row.
    pub action: Action,
}

/// Why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The conditions of the writes at these indexes failed; nothing was written.
    ConditionsFailed(Vec<usize>),
    /// The service's rate limit was exceeded; nothing was done.
    Throttled,
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The outcome is unknown; a write may have taken effect, or may still do so.
    Unknown,
    /// The request was rejected as malformed and nothing was done, or a row lacks an attribute.
    Invalid(Arc<str>),
}
