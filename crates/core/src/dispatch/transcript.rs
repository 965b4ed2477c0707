//! Transcripts of turns: the prompt of a turn consists of all previous turns and its own input.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Builds the transcript of a turn while its events arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TranscriptBuilder {
    bytes: Vec<u8>,
}

impl TranscriptBuilder {
    /// Creates a builder from the transcript of the previous turns and the input of this one.
    #[must_use]
    pub fn new(previous_transcript: Option<&[u8]>, input: &[u8]) -> Self {
        let previous_transcript = previous_transcript.unwrap_or_default();
        let mut bytes = Vec::with_capacity(previous_transcript.len() + input.len());
        bytes.extend_from_slice(previous_transcript);
        bytes.extend_from_slice(input);
        Self { bytes }
    }

    /// Returns the bytes collected so far. Before the first event this is the prompt for the
    /// upstream.
    #[must_use]
    pub fn prompt(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the memory that an event with `data_bytes` bytes of data takes. The transcript may have room
    /// for twice as many.
    #[must_use]
    pub const fn event_memory_bytes(data_bytes: usize) -> usize {
        2 * (data_bytes + 1)
    }

    /// Appends the data of an event.
    pub fn push_event(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        self.bytes.push(b'\n');
    }

    /// Returns the finished transcript.
    #[must_use]
    pub fn finish(self) -> Arc<[u8]> {
        self.bytes.into()
    }
}

/// LRU cache of recent turns, limited in bytes. The store holds all turns.
#[derive(Debug)]
pub struct TurnCache<T> {
    capacity: usize,
    bytes: usize,
    turns: BTreeMap<Arc<str>, CacheEntry<T>>,
    /// Turns by the sequence number of their last use.
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
    /// Creates a cache with a capacity in bytes.
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

    /// Returns a turn and marks it as the most recently used.
    pub fn get(&mut self, turn: &str) -> Option<T> {
        let entry = self.turns.get_mut(turn)?;
        if let Some(key) = self.order.remove(&entry.last_used) {
            self.order.insert(self.next_use, key);
        }
        entry.last_used = self.next_use;
        self.next_use += 1;
        Some(entry.content.clone())
    }

    /// Inserts a turn of `bytes` bytes. Evicts the least recently used turns if the capacity is
    /// exceeded.
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

    /// Removes a turn.
    pub fn remove(&mut self, turn: &str) {
        if let Some(entry) = self.turns.remove(turn) {
            self.bytes -= entry.bytes;
            self.order.remove(&entry.last_used);
        }
    }

    /// Returns the size of the cached turns, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
