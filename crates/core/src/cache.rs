//! What an engine is believed to hold, from its cache events.
//!
//! Events come late and with gaps. A gap makes the view stale: what it holds
//! is then believed only for a while, until a full reading replaces it. A
//! wrong belief costs a prefill, never an error.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

/// Milliseconds for which a stale view is believed.
pub const STALE_TTL_MS: u64 = 30_000;

/// One change of what an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Consecutive within an epoch of the engine.
    pub sequence: u64,
    /// The program whose prefix it is.
    pub program: id::Program,
    /// Tokens held from now on.
    pub tokens: u64,
}

/// What one engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct View {
    epoch: u64,
    sequence: u64,
    stale_since: Option<Time>,
    tokens_by_program: BTreeMap<id::Program, u64>,
}

impl View {
    /// Notes the engine's epoch; a new one means that it started with an empty cache.
    pub fn observe_epoch(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        *self = Self {
            epoch,
            ..Self::default()
        };
    }

    /// Applies an event; one that was applied before is left out.
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

    /// Replaces the view by a full reading.
    pub fn replace(&mut self, tokens_by_program: impl IntoIterator<Item = (id::Program, u64)>) {
        self.tokens_by_program = tokens_by_program
            .into_iter()
            .filter(|(_, tokens)| *tokens > 0)
            .collect();
        self.stale_since = None;
    }

    /// Notes what a call that just ended leaves there.
    pub fn set(&mut self, program: id::Program, tokens: u64) {
        if tokens == 0 {
            self.tokens_by_program.remove(&program);
        } else {
            self.tokens_by_program.insert(program, tokens);
        }
    }

    /// Returns the tokens believed to be held for a program.
    #[must_use]
    pub fn tokens(&self, now: Time, program: id::Program) -> u64 {
        let expired = |since| now.since(since) >= STALE_TTL_MS;
        if self.stale_since.is_some_and(expired) {
            return 0;
        }
        self.tokens_by_program.get(&program).copied().unwrap_or(0)
    }

    /// Tells whether events were missed since the last full reading.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// Returns the number of the last event applied.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }
}
