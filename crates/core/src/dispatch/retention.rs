//! Retention of turns. The store does not expire rows by itself.
//!
//! An instance remembers the rows that it wrote and removes them once their turns can no longer be
//! continued. The removal is part of the next write to the same partition, so it needs no extra
//! call. Rows of an instance that crashed are never removed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Time;

/// Extra retention time beyond the configured one: a response ends after its turn is stored, and
/// the caller's next turn may already be on its way.
const MARGIN_MS: u64 = 5_000;

/// Maximum number of turns in memory: some megabytes, and some minutes of turns at an instance's
/// peak rate.
const MAX_TURNS: usize = 20_000;

/// Maximum number of turns removed by one write. Together with the rows written, this stays below
/// the store's limit of one hundred entries.
const MAX_REMOVED_PER_WRITE: usize = 16;

/// A turn whose rows are in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredTurn {
    /// Attempt id of the turn.
    pub turn: Arc<str>,
    /// Number of rows.
    pub rows: usize,
    expires_at: Time,
}

/// Turns written by this instance, by partition key and in the order of writing.
#[derive(Debug, Default)]
pub struct Retention {
    partitions: BTreeMap<Arc<str>, VecDeque<StoredTurn>>,
    count: usize,
}

impl Retention {
    /// Records a turn that is retained for `retention_ms` from now on. Its rows are never removed
    /// if too many turns are already recorded.
    pub fn record_turn(
        &mut self,
        partition: &str,
        turn: Arc<str>,
        rows: usize,
        retention_ms: u64,
        now: Time,
    ) {
        if self.count >= MAX_TURNS {
            return;
        }
        self.count += 1;
        let stored = StoredTurn {
            turn,
            rows,
            expires_at: now.after(retention_ms.saturating_add(MARGIN_MS)),
        };
        self.partitions
            .entry(partition.into())
            .or_default()
            .push_back(stored);
    }

    /// Removes and returns expired turns of a partition, at most as many as one write may remove.
    pub fn take_expired(&mut self, partition: &str, now: Time) -> Vec<StoredTurn> {
        let Some(turns) = self.partitions.get_mut(partition) else {
            return Vec::new();
        };
        let expired = turns.iter().take(MAX_REMOVED_PER_WRITE);
        let count = expired
            .take_while(|stored| stored.expires_at <= now)
            .count();
        let expired_turns = turns.drain(..count).collect();
        if turns.is_empty() {
            self.partitions.remove(partition);
        }
        self.count -= count;
        expired_turns
    }
}
