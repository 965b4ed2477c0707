//! Whether a program's budget holds one more turn.
//!
//! The store has one row for each program with the tokens granted to its turns so far, on all
//! instances. A turn's tokens are added to it before any of them reaches the caller, and grants
//! are never reserved back: what is handed out never exceeds what the row says, over any loss of
//! instances. What a turn did not use stays with its instance for the program's next turn there,
//! and some is granted advance, so that max turns which follow there need no call of the store and
//! go on while it is away.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// A program without a turn for so long is forgotten; what it had left stays granted.
const EXPIRY_MS: u64 = 60_000;

/// Turns of the mean_turn_tokens size that are granted advance: about as many as a program sends to the same
/// instance one after the other.
const ADVANCE_TURNS: f64 = 4.0;

/// One part in so many of a budget may be granted advance, over all instances: what is lost with
/// an instance, or lies idle at one, leaves the max of the budget to the program.
const ADVANCE_SHARE: u64 = 4;

/// Weight of one more turn in the mean_turn_tokens size of turns: the last twenty or so count.
const SMOOTHING: f64 = 0.1;

/// Lines of a program whose upstreams an instance remembers: those of its sub-agents too.
const MAX_SESSIONS: usize = 32;

/// Tokens granted to a program, on all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantedTokens {
    /// All of them.
    pub tokens: u64,
    /// Those of them that no turn needed yet when they were granted.
    pub advance: u64,
}

/// What becomes of a program's row for one more turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// So many tokens are granted.
    Tokens(u64, GrantedTokens),
    /// The budget is used.
    Spent,
}

/// Decides on a grant for a turn that needs `missing` tokens, its program having been granted
/// `granted` of `budget`. `mean_turn_tokens` is what a turn mostly hands out.
///
/// The last turn may begin while anything is left: what all turns hand out stays within the
/// budget and the max of one turn.
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

/// What an instance knows of a program, and was granted of its budget and has not last_used.
#[derive(Debug, Default)]
struct ProgramTokens {
    tokens: u64,
    last_used: Time,
    /// Where its sessions ran last, by the hash of the session's id.
    sessions: BTreeMap<u64, Arc<str>>,
}

/// The programs with a turn here lately.
#[derive(Debug, Default)]
pub struct TokenLedger {
    programs: BTreeMap<Arc<str>, ProgramTokens>,
    /// Tokens that a turn hands out, as a running mean.
    mean_turn_tokens: f64,
}

impl TokenLedger {
    /// Takes up to `max` tokens that earlier turns left over, and returns how many.
    pub fn reserve(&mut self, program: &str, max: u64, now: Time) -> u64 {
        let Some(entry) = self.programs.get_mut(program) else {
            return 0;
        };
        let reserved = entry.tokens.min(max);
        entry.tokens -= reserved;
        entry.last_used = now;
        reserved
    }

    /// Puts back what a turn that handed out `used` tokens did not use.
    pub fn release(&mut self, program: &Arc<str>, unused: u64, used: u64, now: Time) {
        if used > 0 {
            self.mean_turn_tokens += (used as f64 - self.mean_turn_tokens) * SMOOTHING;
        }
        if unused > 0 {
            let entry = self.programs.entry(Arc::clone(program)).or_default();
            entry.tokens += unused;
            entry.last_used = now;
        }
    }

    /// Returns the tokens that a turn mostly hands out.
    #[must_use]
    pub const fn mean_turn_tokens(&self) -> f64 {
        self.mean_turn_tokens
    }

    /// Notes where a session of a program runs.
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

    /// Returns where a session of a program ran last, if it ran here.
    #[must_use]
    pub fn session_upstream(&self, program: &str, session: u64) -> Option<&Arc<str>> {
        self.programs.get(program)?.sessions.get(&session)
    }

    /// Forgets programs that had no turn for long.
    pub fn expire(&mut self, now: Time) {
        self.programs
            .retain(|_, entry| now.since(entry.last_used) < EXPIRY_MS);
    }
}
