//! Estimated contents of an engine's prefix cache, derived from its cache events.
//!
//! Events arrive late and may be lost. After a gap the view is stale: it stays in use for a limited
//! time, until a full listing replaces it. A wrong estimate costs an additional prefill but never
//! causes an error.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

/// Time for which a stale view stays in use, in milliseconds.
pub const STALE_TTL_MS: u64 = 30_000;

/// A change of the cached tokens of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number, consecutive within an epoch of the engine.
    pub sequence: u64,
    /// The program whose prefix changed.
    pub program: id::Program,
    /// Cached tokens after the change; zero if the prefix was evicted.
    pub tokens: u64,
}

/// Estimated cache contents of one engine.
#[derive(Clone, Debug, Default)]
pub struct View {
    epoch: u64,
    sequence: u64,
    stale_since: Option<Time>,
    tokens_by_program: BTreeMap<id::Program, u64>,
}

impl View {
    /// Records the engine's epoch. A new epoch clears the view, because the engine starts with an
    /// empty cache.
    pub fn observe_epoch(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        *self = Self {
            epoch,
            ..Self::default()
        };
    }

    /// Applies an event. An event that was applied before is ignored.
    pub fn apply(&mut self, now: Time, event: Event) {
        if event.sequence <= self.sequence {
            return;
        }
        if event.sequence > self.sequence + 1 {
            self.stale_since.get_or_insert(now);
        }
        self.sequence = event.sequence;
        self.set(event.program, event.tokens);
    }

    /// Replaces the view with a full listing.
    pub fn replace(&mut self, tokens_by_program: impl IntoIterator<Item = (id::Program, u64)>) {
        self.tokens_by_program = tokens_by_program
            .into_iter()
            .filter(|(_, tokens)| *tokens > 0)
            .collect();
        self.stale_since = None;
    }

    /// Sets the cached tokens of a program; zero removes it.
    pub fn set(&mut self, program: id::Program, tokens: u64) {
        if tokens == 0 {
            self.tokens_by_program.remove(&program);
        } else {
            self.tokens_by_program.insert(program, tokens);
        }
    }

    /// Returns the estimated cached tokens of a program, or zero if the view has been stale for too
    /// long.
    #[must_use]
    pub fn tokens(&self, now: Time, program: id::Program) -> u64 {
        let expired = |since| now.since(since) >= STALE_TTL_MS;
        if self.stale_since.is_some_and(expired) {
            return 0;
        }
        self.tokens_by_program.get(&program).copied().unwrap_or(0)
    }

    /// Returns whether events were missed since the last full listing.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// Returns the sequence number of the last applied event.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }
}
