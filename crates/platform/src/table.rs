//! Client of the transactional table service.

mod client;
mod codec;

use std::sync::Arc;

pub use client::Client;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The partition key.
    pub partition: Arc<str>,
    /// The sort key.
    pub sort: Arc<str>,
}

impl Key {
    /// Makes a key.
    pub fn new(partition: impl Into<Arc<str>>, sort: impl Into<Arc<str>>) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
        }
    }
}

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: u64,
    /// The id of the transaction that wrote it.
    pub write_id: Arc<str>,
    /// Its JSON body.
    pub body: Arc<str>,
}

/// The order of rows by their sort keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The least first.
    Ascending,
    /// The greatest first.
    Descending,
}

/// Some rows of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in the order asked for.
    pub rows: Vec<Row>,
    /// Whether there are more after them.
    pub has_more: bool,
}

/// What must hold for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    None,
    /// The row does not exist.
    Absent,
    /// The row exists.
    Present,
    /// The row has this version.
    Version(u64),
}

/// What a write does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sets the row.
    Put {
        /// Its new version.
        version: u64,
        /// Its new JSON body.
        body: Arc<str>,
    },
    /// Deletes the row.
    Delete,
    /// Only checks the row.
    Check,
}

/// One part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// The condition.
    pub condition: Condition,
    /// The change.
    pub action: Action,
}

/// Why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Conditions failed, at these places of the transaction; nothing was written.
    ConditionsFailed(Vec<usize>),
    /// Over the rate; nothing was done.
    Throttled,
    /// The service was not reached; nothing was sent.
    NotSent,
    /// No answer came; a write may have taken effect, or may still do so.
    Unknown,
    /// The service found the request malformed; nothing was done.
    Invalid(Arc<str>),
}
