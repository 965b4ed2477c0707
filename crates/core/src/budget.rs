//! What a program tree may use, and what it has used.
//!
//! Tokens are held for a call before it is sent, within a part of the budget that has been
//! reserved durably. What is reserved counts as spent after a change of owner, so a budget can be
//! under-used but never exceeded.

use crate::clock::Time;

/// What a program tree may use up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Prompt and output tokens over all calls of the tree.
    pub tokens: u64,
    /// Calls over the whole tree.
    pub turns: u32,
    /// Milliseconds from creation to the last call's start.
    pub wall_ms: u64,
    /// Levels of sub-agents below the root.
    pub depth: u32,
}

/// The part of a budget that does not cover a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exceeded {
    /// Tokens.
    Tokens,
    /// Calls.
    Turns,
    /// Wall-clock time.
    Wall,
    /// Levels of sub-agents.
    Depth,
}

/// Whether tokens are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// They are held.
    Allocated,
    /// Nothing is held; this many tokens have to be reserved durably first.
    NeedsReservation(u64),
}

/// The tokens of a tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    limit: u64,
    reserved: u64,
    requested: u64,
    pending_writes: u32,
    spent: u64,
    allocated: u64,
}

impl Ledger {
    /// Opens the ledger of a new tree of which `reserved` tokens are durable.
    #[must_use]
    pub fn new(limit: u64, reserved: u64) -> Self {
        Self {
            limit,
            reserved,
            requested: reserved,
            pending_writes: 0,
            spent: 0,
            allocated: 0,
        }
    }

    /// Opens the ledger of a tree that another owner had: all that was reserved counts as spent.
    #[must_use]
    pub fn load(limit: u64, reserved: u64) -> Self {
        let mut ledger = Self::new(limit, reserved);
        ledger.spent = reserved;
        ledger
    }

    /// Holds `tokens` for a call, or tells what has to be reserved first.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not cover them.
    pub fn allocate(&mut self, tokens: u64) -> Result<Allocation, Exceeded> {
        let wanted = self.used().saturating_add(tokens);
        if wanted > self.limit {
            return Err(Exceeded::Tokens);
        }
        if wanted > self.reserved {
            return Ok(Allocation::NeedsReservation(wanted));
        }
        self.allocated += tokens;
        Ok(Allocation::Allocated)
    }

    /// Lets go of `held` tokens, of which `spent` were used.
    pub fn settle(&mut self, allocated: u64, spent: u64) {
        self.allocated = self.allocated.saturating_sub(allocated);
        self.spent = self.spent.saturating_add(spent.min(allocated));
    }

    /// Starts a write of the reservation and returns the value to write: at least `wanted`.
    ///
    /// A smaller value than what is reserved is used only while no other write is under way. From
    /// then on only that much is used.
    pub fn start_write(&mut self, wanted: u64) -> u64 {
        let wanted = wanted.clamp(self.used().min(self.limit), self.limit);
        let value = if self.pending_writes == 0 {
            wanted
        } else {
            wanted.max(self.requested)
        };
        self.requested = value;
        self.reserved = self.reserved.min(value);
        self.pending_writes += 1;
        value
    }

    /// Notes how the write of `value` ended.
    pub fn end_write(&mut self, value: u64, durable: bool) {
        self.pending_writes = self.pending_writes.saturating_sub(1);
        if durable {
            self.reserved = self.reserved.max(value).min(self.requested);
        }
    }

    /// Returns the tokens that are spent or held.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.spent.saturating_add(self.allocated)
    }

    /// Tells whether no write of the reservation is under way.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending_writes == 0
    }

    /// Returns the tokens spent.
    #[must_use]
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the tokens reserved durably.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.reserved
    }
}

/// Returns whether the wall-clock budget of a tree created at `created` has run out.
#[must_use]
pub fn is_expired(budget: &Budget, created: Time, now: Time) -> bool {
    now.since(created) >= budget.wall_ms
}
