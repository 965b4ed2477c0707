//! Whether a program's budget holds one more turn.
//!
//! The store has one row for each program with the tokens granted to its turns so far, on all
//! instances. A turn's tokens are added to it before any of them reaches the caller, and grants
//! are never taken back: what is handed out never exceeds what the row says, over any loss of
//! instances. What a turn did not use stays with its instance for the program's next turn there.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// A program without a turn for so long is forgotten; what it had left stays granted.
const FORGOTTEN_MS: u64 = 60_000;

/// What an instance was granted of a program's budget and has not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Left {
    tokens: u64,
    used: Time,
}

/// The programs with a turn here lately.
#[derive(Debug, Default)]
pub struct Ledger {
    programs: BTreeMap<Arc<str>, Left>,
}

/// What becomes of a program's row for one more turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The row's new sum.
    Sum(u64),
    /// The budget is spent.
    Spent,
}

/// Decides on a grant of `tokens` when `granted` of `budget` are granted.
///
/// The last turn may begin while anything is left: what all turns hand out stays within the
/// budget and the most of one turn.
#[must_use]
pub const fn grant(granted: u64, budget: u64, tokens: u64) -> Grant {
    if granted >= budget {
        return Grant::Spent;
    }
    Grant::Sum(granted.saturating_add(tokens))
}

impl Ledger {
    /// Takes up to `most` tokens that earlier turns left over, and returns how many.
    pub fn take(&mut self, program: &str, most: u64, now: Time) -> u64 {
        let Some(left) = self.programs.get_mut(program) else {
            return 0;
        };
        let taken = left.tokens.min(most);
        left.tokens -= taken;
        left.used = now;
        taken
    }

    /// Puts back what a turn did not use.
    pub fn put(&mut self, program: &Arc<str>, tokens: u64, now: Time) {
        if tokens == 0 {
            return;
        }
        let left = self.programs.entry(Arc::clone(program)).or_default();
        left.tokens += tokens;
        left.used = now;
    }

    /// Forgets programs that had no turn for long.
    pub fn expire(&mut self, now: Time) {
        self.programs
            .retain(|_, left| now.since(left.used) < FORGOTTEN_MS);
    }
}
