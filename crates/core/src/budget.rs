//! The budget of a program tree and its use.
//!
//! Tokens are allocated to a call before it is sent. Allocations are limited to the part of the
//! budget that is reserved durably. After a change of owner, the whole reservation counts as spent,
//! so a budget may be under-used but is never exceeded.

use crate::clock::Time;

/// Limits on a program tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Prompt and output tokens of all calls of the tree.
    pub tokens: u64,
    /// Number of calls in the whole tree.
    pub turns: u32,
    /// Time from creation to the start of the last call, in milliseconds.
    pub wall_ms: u64,
    /// Levels of sub-agents below the root.
    pub depth: u32,
}

/// The limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exceeded {
    /// Tokens.
    Tokens,
    /// Number of calls.
    Turns,
    /// Wall-clock time.
    Wall,
    /// Levels of sub-agents.
    Depth,
}

/// The result of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// The tokens are allocated.
    Allocated,
    /// Nothing is allocated. A reservation of this many tokens must become durable first.
    NeedsReservation(u64),
}

/// Token accounts of a tree: limit, durable reservation, spent and allocated tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    limit: u64,
    reserved: u64,
    /// Value of the latest reservation write, durable or not.
    requested: u64,
    /// Reservation writes in progress.
    pending_writes: u32,
    spent: u64,
    allocated: u64,
}

impl Ledger {
    /// Creates the ledger of a new tree with `reserved` durably reserved tokens.
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

    /// Creates the ledger of a tree taken over from another owner. The reservation counts as spent.
    #[must_use]
    pub fn load(limit: u64, reserved: u64) -> Self {
        let mut ledger = Self::new(limit, reserved);
        ledger.spent = reserved;
        ledger
    }

    /// Allocates `tokens` to a call, or returns the reservation that must become durable first.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not cover the tokens.
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

    /// Releases `allocated` tokens, of which `spent` were used.
    pub fn settle(&mut self, allocated: u64, spent: u64) {
        self.allocated = self.allocated.saturating_sub(allocated);
        self.spent = self.spent.saturating_add(spent.min(allocated));
    }

    /// Starts a write of the reservation and returns the value to write, at least `wanted`.
    ///
    /// The reservation is lowered only if no other write is in progress. A lower value limits
    /// allocations from now on.
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

    /// Records whether the write of `value` succeeded.
    pub fn end_write(&mut self, value: u64, durable: bool) {
        self.pending_writes = self.pending_writes.saturating_sub(1);
        if durable {
            self.reserved = self.reserved.max(value).min(self.requested);
        }
    }

    /// Returns the tokens that are spent or allocated.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.spent.saturating_add(self.allocated)
    }

    /// Returns whether no write of the reservation is in progress.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending_writes == 0
    }

    /// Returns the spent tokens.
    #[must_use]
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the durably reserved tokens.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.reserved
    }
}

/// Returns whether the time budget of a tree created at `created` is used up.
#[must_use]
pub fn is_expired(budget: &Budget, created: Time, now: Time) -> bool {
    now.since(created) >= budget.wall_ms
}
