//! Retention of rows in the store, which does not expire them by itself.
//!
//! An instance remembers the rows that it wrote and removes them once nobody needs them any more. The removal is part of the next write to the same partition, so it needs no extra
//! call. Rows of an instance that crashed are never removed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Time;

/// Extra retention time beyond the configured one: a response ends after its rows are stored, and
/// the caller's next request may already be on its way.
const MARGIN_MS: u64 = 5_000;

/// Maximum number of entries in memory: some megabytes, and some minutes of requests at an
/// instance's peak rate.
const MAX_ENTRIES: usize = 20_000;

/// Maximum number of entries removed by one write. Together with the rows written, this stays below
/// the store's limit of one hundred entries.
const MAX_REMOVED_PER_WRITE: usize = 16;

/// Rows of one request in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRows {
    /// Attempt id of the request.
    pub attempt: Arc<str>,
    /// Number of rows.
    pub rows: usize,
    expires_at: Time,
}

/// Rows written by this instance, by partition key and in the order of writing.
#[derive(Debug, Default)]
pub struct Retention {
    partitions: BTreeMap<Arc<str>, VecDeque<StoredRows>>,
    count: usize,
}

impl Retention {
    /// Records the rows of a request, which are retained for `retention_ms` from now on. They are
    /// never removed if too many are already recorded.
    pub fn record(
        &mut self,
        partition: &str,
        attempt: Arc<str>,
        rows: usize,
        retention_ms: u64,
        now: Time,
    ) {
        if self.count >= MAX_ENTRIES {
            return;
        }
        self.count += 1;
        let stored = StoredRows {
            attempt,
            rows,
            expires_at: now.after(retention_ms.saturating_add(MARGIN_MS)),
        };
        self.partitions
            .entry(partition.into())
            .or_default()
            .push_back(stored);
    }

    /// Removes and returns expired entries of a partition, at most as many as one write may remove.
    pub fn take_expired(&mut self, partition: &str, now: Time) -> Vec<StoredRows> {
        let Some(entries) = self.partitions.get_mut(partition) else {
            return Vec::new();
        };
        let expired = entries.iter().take(MAX_REMOVED_PER_WRITE);
        let count = expired
            .take_while(|stored| stored.expires_at <= now)
            .count();
        let expired_entries = entries.drain(..count).collect();
        if entries.is_empty() {
            self.partitions.remove(partition);
        }
        self.count -= count;
        expired_entries
    }
}
