//! The engine's prefix cache, with one cached prefix per holder.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_wire::engine::{CacheEvent, CachedPrefix, Message};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::text;
use crate::digest;

/// A cached message: the hash of its content and its length in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MessageBlock {
    hash: u64,
    tokens: u64,
}

#[derive(Debug, Default)]
struct Prefix {
    blocks: Vec<MessageBlock>,
    last_used: u64,
}

impl Prefix {
    fn tokens(&self) -> u64 {
        self.blocks.iter().map(|block| block.tokens).sum()
    }
}

/// An LRU cache of prompt prefixes with a capacity in tokens.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: u64,
    /// Logical clock for the LRU order, incremented by each insertion.
    insertions: u64,
    prefixes: BTreeMap<String, Prefix>,
    events: Vec<(Instant, CacheEvent)>,
    sequence: u64,
    event_loss: Option<(f64, ChaCha8Rng)>,
    pub(crate) lag: Duration,
    pub(crate) evictions: u64,
    pub(crate) lost_events: u64,
}

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    pub(crate) const fn new(capacity: u64) -> Self {
        Self {
            capacity,
            insertions: 0,
            prefixes: BTreeMap::new(),
            events: Vec::new(),
            sequence: 0,
            event_loss: None,
            lag: Duration::ZERO,
            evictions: 0,
            lost_events: 0,
        }
    }

    pub(crate) const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Drops events with a probability, using a seeded RNG; zero turns it off.
    pub(crate) fn set_event_loss(&mut self, probability: f64, seed: u64) {
        let event_loss = (probability, ChaCha8Rng::seed_from_u64(seed));
        self.event_loss = (probability > 0.0).then_some(event_loss);
    }

    /// Removes all prefixes and events, and restarts the sequence numbers.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
        self.sequence = 0;
    }

    /// Returns the number of cached tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.prefixes.values().map(Prefix::tokens).sum()
    }

    /// Returns the number of leading prompt tokens that are cached for a holder.
    pub(crate) fn cached_tokens(&self, holder: &str, messages: &[Message]) -> u64 {
        let Some(prefix) = self.prefixes.get(holder) else {
            return 0;
        };
        prefix
            .blocks
            .iter()
            .zip(message_blocks(messages))
            .take_while(|(cached, block)| *cached == block)
            .map(|(cached, _)| cached.tokens)
            .sum()
    }

    /// Caches a prompt for a holder, and evicts the least recently used prefixes of other holders
    /// while the cache is over capacity.
    pub(crate) fn insert(&mut self, holder: &str, messages: &[Message]) {
        self.insertions += 1;
        let prefix = Prefix {
            blocks: message_blocks(messages).collect(),
            last_used: self.insertions,
        };
        let tokens = prefix.tokens();
        if holder.is_empty() || tokens > self.capacity {
            return;
        }
        self.prefixes.insert(holder.to_owned(), prefix);
        self.record_event(holder, tokens);
        while self.tokens() > self.capacity {
            self.evict(holder);
        }
    }

    /// Evicts the least recently used prefix of any holder but `except`.
    fn evict(&mut self, except: &str) {
        let least_recently_used = self
            .prefixes
            .iter()
            .filter(|(holder, _)| *holder != except)
            .min_by_key(|(_, prefix)| prefix.last_used);
        if let Some(holder) = least_recently_used.map(|(holder, _)| holder.clone()) {
            self.evictions += 1;
            self.release(&holder);
        }
    }

    /// Removes the prefix of a holder.
    pub(crate) fn release(&mut self, holder: &str) {
        if self.prefixes.remove(holder).is_some() {
            self.record_event(holder, 0);
        }
    }

    /// Returns the cached prefix of each holder.
    pub(crate) fn cached_prefixes(&self) -> Vec<CachedPrefix> {
        self.prefixes
            .iter()
            .map(|(holder, prefix)| CachedPrefix {
                holder: holder.clone(),
                tokens: prefix.tokens(),
            })
            .collect()
    }

    /// Returns the events after a sequence number that are older than the lag.
    pub(crate) fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Appends an event with the holder's new token count, or drops it if it is to be lost.
    fn record_event(&mut self, holder: &str, tokens: u64) {
        self.sequence += 1;
        let is_lost = match &mut self.event_loss {
            Some((probability, random)) => random.random_bool(*probability),
            None => false,
        };
        if is_lost {
            self.lost_events += 1;
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            holder: holder.to_owned(),
            tokens,
        };
        self.events.push((Instant::now(), event));
    }
}

fn message_blocks(messages: &[Message]) -> impl Iterator<Item = MessageBlock> {
    messages.iter().map(|message| MessageBlock {
        hash: digest::hash_texts([message.content.as_str()]),
        tokens: text::count_tokens(&message.content),
    })
}
