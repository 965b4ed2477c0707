//! What a turn's upstream has to read: every turn before it, then its own input.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Collects what a turn adds to its transcript.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TranscriptBuilder {
    bytes: Vec<u8>,
}

impl TranscriptBuilder {
    /// Starts the transcript of a turn: those before it, and its input.
    #[must_use]
    pub fn new(previous_transcript: Option<&[u8]>, input: &[u8]) -> Self {
        let previous_transcript = previous_transcript.unwrap_or_default();
        let mut bytes = Vec::with_capacity(previous_transcript.len() + input.len());
        bytes.extend_from_slice(previous_transcript);
        bytes.extend_from_slice(input);
        Self { bytes }
    }

    /// Returns what the upstream has to read.
    #[must_use]
    pub fn prompt(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds the data of an event.
    pub fn push_event(&mut self, data: &[u8]) {
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
pub struct TurnCache<T> {
    capacity: usize,
    bytes: usize,
    turns: BTreeMap<Arc<str>, CacheEntry<T>>,
    /// Turns by the order of their last use.
    order: BTreeMap<u64, Arc<str>>,
    next_use: u64,
}

#[derive(Debug)]
struct CacheEntry<T> {
    content: T,
    bytes: usize,
    last_used: u64,
}

impl<T: Clone> TurnCache<T> {
    /// Makes a cache that holds `capacity` bytes.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bytes: 0,
            turns: BTreeMap::new(),
            order: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// Returns a turn, which becomes the most recently last_used one.
    pub fn get(&mut self, turn: &str) -> Option<T> {
        let entry = self.turns.get_mut(turn)?;
        if let Some(key) = self.order.remove(&entry.last_used) {
            self.order.insert(self.next_use, key);
        }
        entry.last_used = self.next_use;
        self.next_use += 1;
        Some(entry.content.clone())
    }

    /// Keeps a turn of `bytes` bytes; those that were not last_used for the longest time make room.
    pub fn insert(&mut self, turn: Arc<str>, content: T, bytes: usize) {
        self.remove(&turn);
        self.bytes += bytes;
        let last_used = self.next_use;
        self.next_use += 1;
        self.order.insert(last_used, Arc::clone(&turn));
        let entry = CacheEntry {
            content,
            bytes,
            last_used,
        };
        self.turns.insert(turn, entry);
        while self.bytes > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.remove(&oldest);
        }
    }

    /// Forgets a turn.
    pub fn remove(&mut self, turn: &str) {
        if let Some(entry) = self.turns.remove(turn) {
            self.bytes -= entry.bytes;
            self.order.remove(&entry.last_used);
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
