//! A queue that orders the requests of programs by least attained service.
//!
//! The rank depends on the service that a program has attained over all its calls, not on a single
//! call: less attained service means earlier service. Each doubling of the attained service adds a
//! fixed delay to the arrival time that a request is sorted by. The delay is bounded, which
//! prevents starvation: a request is overtaken only by those that arrive within that bound.
//!
//! This is the policy of multi-level feedback queues with the levels mapped onto the time axis. The
//! order of two queued requests never changes, so an ordered map can hold them.
//!
//! Fairness between accounts works the same way: each queued request of an account adds a fixed
//! delay to the next request of that account.

use std::collections::BTreeMap;

use crate::clock::Time;

/// Delay added by each level of attained service, in milliseconds.
pub const LEVEL_MS: u64 = 500;

/// Attained service below which a program is on the lowest level, in tokens.
pub const FIRST_LEVEL_TOKENS: u64 = 1_024;

/// The highest level.
pub const MAX_LEVEL: u64 = 10;

/// Delay added if the upstream does not have the program's prefix in its cache, in milliseconds.
pub const CACHED_STEP_MS: u64 = 1_000;

/// Delay added by each queued request of the same account, in milliseconds.
pub const BACKLOG_STEP_MS: u64 = 200;

/// Maximum time by which a request can arrive later and still overtake one of an account without
/// backlog, in milliseconds.
pub const OVERTAKE_MS: u64 = LEVEL_MS * MAX_LEVEL + CACHED_STEP_MS;

/// The inputs that determine the service order of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Time at which the request began to wait.
    pub arrived: Time,
    /// Tokens that the program has used so far.
    pub attained: u64,
    /// Whether the upstream has the program's prefix in its cache.
    pub cached: bool,
    /// Queued requests of the same account.
    pub backlog: u32,
}

/// Identifies an item in a queue and sorts it by its effective arrival time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    due_ms: u64,
    sequence: u64,
}

/// A queue of items ordered by [`Rank`].
#[derive(Clone, Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Key, T>,
    sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item and returns its key.
    pub fn push(&mut self, rank: Rank, item: T) -> Key {
        self.sequence += 1;
        let key = Key {
            due_ms: due_ms(rank),
            sequence: self.sequence,
        };
        self.waiting.insert(key, item);
        key
    }

    /// Removes and returns the item to serve next.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, item)| item)
    }

    /// Removes and returns the item with this key.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.waiting.remove(&key)
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the items in service order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }
}

/// Returns the effective arrival time of a request, in milliseconds.
fn due_ms(rank: Rank) -> u64 {
    let cached = if rank.cached { 0 } else { CACHED_STEP_MS };
    let backlog = u64::from(rank.backlog) * BACKLOG_STEP_MS;
    let later = level(rank.attained) * LEVEL_MS + cached + backlog;
    rank.arrived.after(later).as_ms()
}

/// Returns the level for `attained` tokens: zero below [`FIRST_LEVEL_TOKENS`], one more with each
/// doubling from there.
fn level(attained: u64) -> u64 {
    let blocks = attained / FIRST_LEVEL_TOKENS;
    let doublings = u64::from(u64::BITS - blocks.leading_zeros());
    doublings.min(MAX_LEVEL)
}
