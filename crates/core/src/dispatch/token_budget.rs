//! Grants tokens from a program's budget to its turns.
//!
//! The store has one row per program with the number of tokens granted to its turns by all
//! instances. A turn's tokens are added to the row before any of them reaches the caller, and
//! grants are never taken back. So the tokens sent never exceed the row, even when instances are
//! lost. Tokens that a turn did not use stay with its instance for the program's next turn there.
//! Each grant also includes some tokens in advance, so that most of the following turns at the same
//! instance need no store call and continue while the store is unavailable.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// Time without a turn after which an instance drops its entry of a program. The unused tokens in
/// it stay granted in the program's row.
const EXPIRY_MS: u64 = 60_000;

/// Number of turns of mean size to grant in advance: about as many as a program sends to the same
/// instance in a row.
const ADVANCE_TURNS: f64 = 4.0;

/// Divisor of the budget that limits advance grants over all instances to a quarter. Tokens that
/// idle at an instance or are lost with it thus leave most of the budget to the program.
const ADVANCE_SHARE: u64 = 4;

/// EWMA weight of a new turn in the mean turn size. About the last twenty turns count.
const EWMA_WEIGHT: f64 = 0.1;

/// Maximum number of sessions per program whose upstreams an instance remembers, including the
/// sessions of sub-agents.
const MAX_SESSIONS: usize = 32;

/// Tokens granted to a program by all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantedTokens {
    /// Total number of granted tokens, including those granted in advance.
    pub tokens: u64,
    /// Number of tokens granted in advance, before a turn needed them.
    pub advance: u64,
}

/// Result of a grant decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// Number of tokens granted now, and the program's new totals.
    Tokens(u64, GrantedTokens),
    /// The budget is spent.
    Spent,
}

/// Decides on a grant for a turn that needs `missing` tokens, when `granted` tokens of `budget` are
/// already granted. `mean_turn_tokens` is the mean number of tokens that a turn uses.
///
/// The last turn may start while any tokens are left. All turns together thus use at most the
/// budget plus the maximum of one turn.
#[must_use]
pub fn decide_grant(
    granted: GrantedTokens,
    budget: u64,
    missing: u64,
    mean_turn_tokens: f64,
) -> Grant {
    if granted.tokens >= budget {
        return Grant::Spent;
    }
    let tokens = granted.tokens.saturating_add(missing);
    let share = (budget / ADVANCE_SHARE).saturating_sub(granted.advance);
    let advance = (mean_turn_tokens * ADVANCE_TURNS) as u64;
    let advance = advance.min(share).min(budget.saturating_sub(tokens));
    let row = GrantedTokens {
        tokens: tokens + advance,
        advance: granted.advance + advance,
    };
    Grant::Tokens(missing + advance, row)
}

/// A write of a grant. Its id is in the row that it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantWrite {
    /// Random id of the write.
    pub id: u64,
    /// Version that the row must have.
    pub base: u64,
    /// Number of tokens granted by it.
    pub tokens: u64,
    /// The program's new totals.
    pub totals: GrantedTokens,
}

/// A grant until a write of it is known to be done.
///
/// A write without a response may be done later, as long as the row has the version that it requires.
/// Until the row has another version, the same write is repeated; what is computed again, with another
/// mean for example, would not be what the store counts. Once the row has another version, either a
/// write was done, or none of the writes so far will be.
#[derive(Clone, Debug, Default)]
pub struct PendingGrant {
    writes: Vec<GrantWrite>,
}

impl PendingGrant {
    /// Returns the next write, or `None` if the budget is spent. `granted` and `base` are the totals and
    /// the version of the row as last read; `id` is a new random id.
    pub fn next_write(
        &mut self,
        granted: GrantedTokens,
        base: u64,
        budget: u64,
        missing: u64,
        mean_turn_tokens: f64,
        id: u64,
    ) -> Option<GrantWrite> {
        if let Some(write) = self.writes.last()
            && write.base == base
        {
            return Some(*write);
        }
        let Grant::Tokens(tokens, totals) =
            decide_grant(granted, budget, missing, mean_turn_tokens)
        else {
            return None;
        };
        let write = GrantWrite {
            id,
            base,
            tokens,
            totals,
        };
        self.writes.push(write);
        Some(write)
    }

    /// Returns the write that was done, if a row holds the id of one.
    #[must_use]
    pub fn find_done(&self, ids: &[u64]) -> Option<GrantWrite> {
        let mut writes = self.writes.iter();
        writes.find(|write| ids.contains(&write.id)).copied()
    }
}

/// Unused granted tokens and session upstreams of a program at this instance.
#[derive(Debug, Default)]
struct ProgramTokens {
    tokens: u64,
    last_used: Time,
    /// Latest upstream of each session, by the hash of the session id.
    sessions: BTreeMap<u64, Arc<str>>,
}

/// Unused tokens of the programs that recently had a turn at this instance.
#[derive(Debug, Default)]
pub struct TokenLedger {
    programs: BTreeMap<Arc<str>, ProgramTokens>,
    /// Smoothed mean (EWMA) of the tokens that a turn uses.
    mean_turn_tokens: f64,
}

impl TokenLedger {
    /// Reserves up to `max` unused tokens of earlier turns, and returns how many were reserved.
    pub fn reserve(&mut self, program: &str, max: u64, now: Time) -> u64 {
        let Some(entry) = self.programs.get_mut(program) else {
            return 0;
        };
        let reserved = entry.tokens.min(max);
        entry.tokens -= reserved;
        entry.last_used = now;
        reserved
    }

    /// Returns whether a program had a turn at this instance lately.
    #[must_use]
    pub fn knows(&self, program: &str) -> bool {
        self.programs.contains_key(program)
    }

    /// Releases the unused tokens of a turn that used `used` tokens.
    pub fn release(&mut self, program: &Arc<str>, unused: u64, used: u64, now: Time) {
        if used > 0 {
            self.mean_turn_tokens += (used as f64 - self.mean_turn_tokens) * EWMA_WEIGHT;
        }
        if unused > 0 {
            let entry = self.programs.entry(Arc::clone(program)).or_default();
            entry.tokens += unused;
            entry.last_used = now;
        }
    }

    /// Returns the smoothed mean of the tokens that a turn uses.
    #[must_use]
    pub const fn mean_turn_tokens(&self) -> f64 {
        self.mean_turn_tokens
    }

    /// Records the upstream that a session runs at.
    pub fn record_session(
        &mut self,
        program: &Arc<str>,
        session: u64,
        upstream: &Arc<str>,
        now: Time,
    ) {
        let entry = self.programs.entry(Arc::clone(program)).or_default();
        if entry.sessions.len() >= MAX_SESSIONS {
            entry.sessions.clear();
        }
        entry.sessions.insert(session, Arc::clone(upstream));
        entry.last_used = now;
    }

    /// Returns the latest upstream of a session, if the session ran at this instance.
    #[must_use]
    pub fn session_upstream(&self, program: &str, session: u64) -> Option<&Arc<str>> {
        self.programs.get(program)?.sessions.get(&session)
    }

    /// Removes programs that had no turn for a minute.
    pub fn expire(&mut self, now: Time) {
        self.programs
            .retain(|_, entry| now.since(entry.last_used) < EXPIRY_MS);
    }
}
