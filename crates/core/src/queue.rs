//! The order in which programs wait for a slot.
//!
//! Programs, not calls, are ranked: the less service a program has had, the
//! sooner it is served. Each doubling of the service counts as a fixed later
//! arrival, which is also the ageing: a waiting program is overtaken only by
//! those that arrive within that time, so nobody waits for ever. The source is
//! least attained service as in multi-level feedback queues, with the levels
//! laid out on the time axis so that the order of two waiting programs never
//! changes and an ordered map holds it.
//!
//! Accounts are kept apart in the same way: each request that an account has
//! waiting already counts as a fixed later arrival of the next.

use std::collections::BTreeMap;

use crate::clock::Time;

/// What each doubling of the attained service adds to a program's arrival, in milliseconds.
pub const LEVEL_MS: u64 = 500;

/// Attained tokens up to which a program is on the lowest level.
pub const FIRST_LEVEL_TOKENS: u64 = 1_024;

/// The highest level.
pub const MAX_LEVEL: u64 = 10;

/// What a cached prefix at the upstream takes off a program's arrival, in milliseconds.
pub const CACHED_STEP_MS: u64 = 1_000;

/// What each waiting request of an account adds to the arrival of its next, in milliseconds.
pub const BACKLOG_STEP_MS: u64 = 200;

/// The longest time by which a later arrival can overtake an earlier one of an account without
/// backlog, in milliseconds.
pub const OVERTAKE_MS: u64 = LEVEL_MS * MAX_LEVEL + CACHED_STEP_MS;

/// What decides a program's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// When it began to wait.
    pub arrived: Time,
    /// Tokens of service that it has had.
    pub attained: u64,
    /// Whether the upstream holds its prefix.
    pub cached: bool,
    /// Requests of the same account that wait already.
    pub backlog: u32,
}

/// Names a place in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    due_ms: u64,
    sequence: u64,
}

/// A queue of `T`, ordered by rank.
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
    /// Adds an item.
    pub fn push(&mut self, rank: Rank, item: T) -> Key {
        self.sequence += 1;
        let key = Key {
            due_ms: due_ms(rank),
            sequence: self.sequence,
        };
        self.waiting.insert(key, item);
        key
    }

    /// Takes the item that is served next.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, item)| item)
    }

    /// Takes the item at a place.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.waiting.remove(&key)
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the items in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }
}

/// Returns the arrival that a rank counts as.
fn due_ms(rank: Rank) -> u64 {
    let cached = if rank.cached { 0 } else { CACHED_STEP_MS };
    let backlog = u64::from(rank.backlog) * BACKLOG_STEP_MS;
    let later = level(rank.attained) * LEVEL_MS + cached + backlog;
    rank.arrived.after(later).as_ms()
}

/// Returns the level of a program that has had `attained` tokens of service.
fn level(attained: u64) -> u64 {
    let blocks = attained / FIRST_LEVEL_TOKENS;
    let doublings = u64::from(u64::BITS - blocks.leading_zeros());
    doublings.min(MAX_LEVEL)
}
