//! Whether a program's budget holds one more turn.
//!
//! The store has one row for each program with the tokens granted to its turns so far, on all
//! instances. A turn's tokens are added to it before any of them reaches the caller, and grants
//! are never taken back: what is handed out never exceeds what the row says, over any loss of
//! instances. What a turn did not use stays with its instance for the program's next turn there,
//! and some is granted ahead, so that most turns which follow there need no call of the store and
//! go on while it is away.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// A program without a turn for so long is forgotten; what it had left stays granted.
const FORGOTTEN_MS: u64 = 60_000;

/// Turns of the usual size that are granted ahead: about as many as a program sends to the same
/// instance one after the other.
const AHEAD_TURNS: f64 = 4.0;

/// One part in so many of a budget may be granted ahead, over all instances: what is lost with
/// an instance, or lies idle at one, leaves the most of the budget to the program.
const AHEAD_SHARE: u64 = 4;

/// Weight of one more turn in the usual size of turns: the last twenty or so count.
const SMOOTHING: f64 = 0.1;

/// Lines of a program whose upstreams an instance remembers: those of its sub-agents too.
const MAX_LINES: usize = 32;

/// Tokens granted to a program, on all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Granted {
    /// All of them.
    pub tokens: u64,
    /// Those of them that no turn needed yet when they were granted.
    pub ahead: u64,
}

/// What becomes of a program's row for one more turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// So many tokens are granted.
    Tokens(u64, Granted),
    /// The budget is spent.
    Spent,
}

/// Decides on a grant for a turn that needs `missing` tokens, its program having been granted
/// `granted` of `budget`. `usual` is what a turn mostly hands out.
///
/// The last turn may begin while anything is left: what all turns hand out stays within the
/// budget and the most of one turn.
#[must_use]
pub fn grant(granted: Granted, budget: u64, missing: u64, usual: f64) -> Grant {
    if granted.tokens >= budget {
        return Grant::Spent;
    }
    let tokens = granted.tokens.saturating_add(missing);
    let share = (budget / AHEAD_SHARE).saturating_sub(granted.ahead);
    let ahead = (usual * AHEAD_TURNS) as u64;
    let ahead = ahead.min(share).min(budget.saturating_sub(tokens));
    let row = Granted {
        tokens: tokens + ahead,
        ahead: granted.ahead + ahead,
    };
    Grant::Tokens(missing + ahead, row)
}

/// What an instance knows of a program, and was granted of its budget and has not used.
#[derive(Debug, Default)]
struct Entry {
    tokens: u64,
    used: Time,
    /// Where its lines ran last, by the hash of the line's id.
    lines: BTreeMap<u64, Arc<str>>,
}

/// The programs with a turn here lately.
#[derive(Debug, Default)]
pub struct Ledger {
    programs: BTreeMap<Arc<str>, Entry>,
    /// Tokens that a turn hands out, as a running mean.
    usual: f64,
}

impl Ledger {
    /// Takes up to `most` tokens that earlier turns left over, and returns how many.
    pub fn take(&mut self, program: &str, most: u64, now: Time) -> u64 {
        let Some(entry) = self.programs.get_mut(program) else {
            return 0;
        };
        let taken = entry.tokens.min(most);
        entry.tokens -= taken;
        entry.used = now;
        taken
    }

    /// Puts back what a turn that handed out `spent` tokens did not use.
    pub fn put(&mut self, program: &Arc<str>, left: u64, spent: u64, now: Time) {
        if spent > 0 {
            self.usual += (spent as f64 - self.usual) * SMOOTHING;
        }
        if left > 0 {
            let entry = self.programs.entry(Arc::clone(program)).or_default();
            entry.tokens += left;
            entry.used = now;
        }
    }

    /// Returns the tokens that a turn mostly hands out.
    #[must_use]
    pub const fn usual(&self) -> f64 {
        self.usual
    }

    /// Notes where a line of a program runs.
    pub fn note_line(&mut self, program: &Arc<str>, line: u64, upstream: &Arc<str>, now: Time) {
        let entry = self.programs.entry(Arc::clone(program)).or_default();
        if entry.lines.len() >= MAX_LINES {
            entry.lines.clear();
        }
        entry.lines.insert(line, Arc::clone(upstream));
        entry.used = now;
    }

    /// Returns where a line of a program ran last, if it ran here.
    #[must_use]
    pub fn line(&self, program: &str, line: u64) -> Option<&Arc<str>> {
        self.programs.get(program)?.lines.get(&line)
    }

    /// Forgets programs that had no turn for long.
    pub fn expire(&mut self, now: Time) {
        self.programs
            .retain(|_, entry| now.since(entry.used) < FORGOTTEN_MS);
    }
}
