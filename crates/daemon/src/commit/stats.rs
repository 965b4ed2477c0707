//! Statistics of the commit loop.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Statistics of the commit loop since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Transactions that took effect.
    pub transactions: u64,
    /// Transactions that only renewed the lease.
    pub heartbeats: u64,
    /// Rows written, without the lease row.
    pub items: u64,
    /// Submissions that became durable.
    pub submissions: u64,
    /// Largest number of submissions in one transaction.
    pub largest_batch: u64,
    /// Retries of transactions.
    pub retries: u64,
    /// Attempts whose response was lost.
    pub unknown: u64,
    /// Submissions whose conditions failed, or that the store rejected as invalid.
    pub conflicts: u64,
    /// Submissions in the queue now.
    pub queued: u64,
    /// Bytes that are queued or being sent now.
    pub queued_bytes: u64,
}

/// Counters that the loop increments.
#[derive(Debug, Default)]
pub(super) struct Counters {
    transactions: AtomicU64,
    heartbeats: AtomicU64,
    items: AtomicU64,
    submissions: AtomicU64,
    largest_batch: AtomicU64,
    retries: AtomicU64,
    unknown: AtomicU64,
    conflicts: AtomicU64,
}

impl Counters {
    /// Counts a transaction that took effect.
    pub(super) fn count_transaction(&self, submissions: usize, items: usize) {
        let submissions = submissions as u64;
        self.transactions.fetch_add(1, Relaxed);
        self.items.fetch_add(items as u64, Relaxed);
        self.submissions.fetch_add(submissions, Relaxed);
        self.largest_batch.fetch_max(submissions, Relaxed);
        if submissions == 0 {
            self.heartbeats.fetch_add(1, Relaxed);
        }
    }

    /// Counts a retry.
    pub(super) fn count_retry(&self) {
        self.retries.fetch_add(1, Relaxed);
    }

    /// Counts an attempt whose response was lost.
    pub(super) fn count_unknown(&self) {
        self.unknown.fetch_add(1, Relaxed);
    }

    /// Counts submissions whose conditions failed.
    pub(super) fn count_conflicts(&self, submissions: usize) {
        self.conflicts.fetch_add(submissions as u64, Relaxed);
    }

    /// Returns a snapshot of the counters; `queued` and `queued_bytes` are zero.
    pub(super) fn read(&self) -> Stats {
        Stats {
            transactions: self.transactions.load(Relaxed),
            heartbeats: self.heartbeats.load(Relaxed),
            items: self.items.load(Relaxed),
            submissions: self.submissions.load(Relaxed),
            largest_batch: self.largest_batch.load(Relaxed),
            retries: self.retries.load(Relaxed),
            unknown: self.unknown.load(Relaxed),
            conflicts: self.conflicts.load(Relaxed),
            ..Stats::default()
        }
    }
}
