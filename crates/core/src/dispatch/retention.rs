//! When the rows of turns may go: nothing expires in the store by itself.
//!
//! An instance remembers which rows it wrote and removes them once nobody can continue their
//! turns, together with the next row that it writes to the same partition, so that removal costs no
//! call. Rows of an instance that was lost stay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Time;

/// How much longer than promised rows are stored: an answer ends after its turn is stored, and a
/// caller's next turn may be on its way.
const MARGIN_MS: u64 = 5_000;

/// Turns that are remembered: some megabytes, and minutes of turns at an instance's peak.
const MAX_TURNS: usize = 20_000;

/// Turns that one write removes: its entries and those of its own rows stay below the store's
/// bound of a hundred.
const MAX_REMOVED_PER_WRITE: usize = 16;

/// A turn whose rows lie in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredTurn {
    /// The turn.
    pub turn: Arc<str>,
    /// How many rows it has.
    pub rows: usize,
    expires_at: Time,
}

/// Turns whose rows this instance has written, by their partition.
#[derive(Debug, Default)]
pub struct Retention {
    partitions: BTreeMap<Arc<str>, VecDeque<StoredTurn>>,
    count: usize,
}

impl Retention {
    /// Notes a turn that is to be stored for `retention_ms` from now on.
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

    /// Takes turns of a partition that nobody can continue any more.
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
