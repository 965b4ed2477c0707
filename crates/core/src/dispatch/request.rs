//! A caller's request, and what the system itself may answer.

use std::sync::Arc;

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The attempt; each retry of the caller is another one.
    pub attempt_id: Option<Arc<str>>,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// The prompt's parts, first to last.
    pub prompt: Vec<PromptPart>,
    /// The program that the request belongs to.
    pub program: Option<Program>,
    /// The turn that this one continues.
    pub previous_turn: Option<Arc<str>>,
    /// The object that the request concerns.
    pub affinity_key: Option<Arc<str>>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What it holds; the same id is the same tokens.
    pub id: u64,
    /// How many tokens.
    pub tokens: u32,
}

/// The program of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Its id.
    pub id: Arc<str>,
    /// Its line of turns.
    pub session: Arc<str>,
    /// Milliseconds until it should be finished.
    pub remaining_ms: Option<u64>,
    /// Tokens that all its turns may generate; turns only.
    pub budget: Option<u64>,
}

/// An answer of the system itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route leads anywhere.
    NoRoute,
    /// The turn to continue does not exist.
    NoTurn,
    /// The request can't be read.
    Malformed,
    /// The body is longer than the operator allows.
    TooLong,
    /// The program's budget is spent; the turn did not run.
    BudgetSpent,
    /// It did not run and never will; it may come again after this many milliseconds.
    NotRun(u64),
    /// It may have run.
    Unknown,
    /// Its time is over; it may have run.
    TimedOut,
}
