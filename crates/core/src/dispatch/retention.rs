//! When the rows of turns may go: nothing expires in the store by itself.
//!
//! An instance remembers which rows it wrote and removes them once nobody can continue their
//! turns, together with the next row that it writes to the same part, so that removal costs no
//! call. Rows of an instance that was lost stay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Time;

/// How much longer than promised rows are kept: an answer ends after its turn is stored, and a
/// caller's next turn may be on its way.
const MARGIN_MS: u64 = 5_000;

/// Turns that are remembered: some megabytes, and minutes of turns at an instance's peak.
const MAX_TURNS: usize = 20_000;

/// Turns that one write removes: its entries and those of its own rows stay below the store's
/// bound of a hundred.
const MOST_REMOVED: usize = 16;

/// A turn whose rows lie in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// The turn.
    pub turn: Arc<str>,
    /// How many rows it has.
    pub rows: usize,
    until: Time,
}

/// Turns whose rows this instance has written, by their part.
#[derive(Debug, Default)]
pub struct Retention {
    parts: BTreeMap<Arc<str>, VecDeque<Kept>>,
    count: usize,
}

impl Retention {
    /// Notes a turn that is to be kept for `retention_ms` from now on.
    pub fn keep(&mut self, part: &str, turn: Arc<str>, rows: usize, retention_ms: u64, now: Time) {
        if self.count >= MAX_TURNS {
            return;
        }
        self.count += 1;
        let kept = Kept {
            turn,
            rows,
            until: now.after(retention_ms.saturating_add(MARGIN_MS)),
        };
        self.parts.entry(part.into()).or_default().push_back(kept);
    }

    /// Takes turns of a part that nobody can continue any more.
    pub fn take_expired(&mut self, part: &str, now: Time) -> Vec<Kept> {
        let Some(turns) = self.parts.get_mut(part) else {
            return Vec::new();
        };
        let expired = turns.iter().take(MOST_REMOVED);
        let count = expired.take_while(|kept| kept.until <= now).count();
        let taken = turns.drain(..count).collect();
        if turns.is_empty() {
            self.parts.remove(part);
        }
        self.count -= count;
        taken
    }
}
