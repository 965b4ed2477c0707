//! What a turn's upstream has to read: every turn before it, then its own input.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Collects what a turn adds to its transcript.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    bytes: Vec<u8>,
}

impl Draft {
    /// Starts the transcript of a turn: those before it, and its input.
    #[must_use]
    pub fn new(earlier: Option<&[u8]>, input: &[u8]) -> Self {
        let earlier = earlier.unwrap_or_default();
        let mut bytes = Vec::with_capacity(earlier.len() + input.len());
        bytes.extend_from_slice(earlier);
        bytes.extend_from_slice(input);
        Self { bytes }
    }

    /// Returns what the upstream has to read.
    #[must_use]
    pub fn prompt(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds the data of an event.
    pub fn push(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        self.bytes.push(b'\n');
    }

    /// Returns the transcript.
    #[must_use]
    pub fn finish(self) -> Arc<[u8]> {
        self.bytes.into()
    }
}

/// Recent turns, bounded in bytes. It is a cache: the store has them all.
#[derive(Debug)]
pub struct Cache<T> {
    capacity: usize,
    bytes: usize,
    turns: BTreeMap<Arc<str>, Slot<T>>,
    /// Turns by the order of their last use.
    order: BTreeMap<u64, Arc<str>>,
    next: u64,
}

#[derive(Debug)]
struct Slot<T> {
    content: T,
    bytes: usize,
    used: u64,
}

impl<T: Clone> Cache<T> {
    /// Makes a cache that holds `capacity` bytes.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bytes: 0,
            turns: BTreeMap::new(),
            order: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns a turn, which becomes the most recently used one.
    pub fn get(&mut self, turn: &str) -> Option<T> {
        let slot = self.turns.get_mut(turn)?;
        if let Some(key) = self.order.remove(&slot.used) {
            self.order.insert(self.next, key);
        }
        slot.used = self.next;
        self.next += 1;
        Some(slot.content.clone())
    }

    /// Keeps a turn of `bytes` bytes; those that were not used for the longest time make room.
    pub fn insert(&mut self, turn: Arc<str>, content: T, bytes: usize) {
        self.remove(&turn);
        self.bytes += bytes;
        let used = self.next;
        self.next += 1;
        self.order.insert(used, Arc::clone(&turn));
        let slot = Slot {
            content,
            bytes,
            used,
        };
        self.turns.insert(turn, slot);
        while self.bytes > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.remove(&oldest);
        }
    }

    /// Forgets a turn.
    pub fn remove(&mut self, turn: &str) {
        if let Some(slot) = self.turns.remove(turn) {
            self.bytes -= slot.bytes;
            self.order.remove(&slot.used);
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
