//! The commit loop: gathers writes and sends them as transactions.
//!
//! Every transaction is conditional on the version of this instance's lease row
//! and raises it, so a fenced instance can write nothing.

use basilramp_platform::table::Write;

/// Why writes were not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The instance was fenced; nothing was written and never will be.
    Fenced,
    /// A check failed; nothing was written and never will be.
    Conflict,
    /// The time ran out before they were sent; they were taken back and never will be sent.
    Withdrawn,
    /// The time ran out after they were sent; they may have been written or may still be.
    Unknown,
}

/// Gives writes to the commit loop.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Writes all or none, and returns once they are durable, however long that takes.
    pub(crate) async fn submit(&self, _writes: Vec<Write>) -> Result<(), Failure> {
        Err(Failure::Fenced)
    }

    /// Writes all or none, and gives up after `wait_ms` milliseconds.
    pub(crate) async fn submit_within(
        &self,
        _writes: Vec<Write>,
        _wait_ms: u64,
    ) -> Result<(), Failure> {
        Err(Failure::Withdrawn)
    }
}
