//! Parsed request headers, and the rejections that this system sends itself.

use std::sync::Arc;

/// Parsed headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// Id of the caller's attempt. Each retry by the caller has a new id.
    pub attempt_id: Option<Arc<str>>,
    /// Milliseconds that the caller waits for the response.
    pub deadline_ms: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Program that the request belongs to.
    pub program: Option<Program>,
    /// Attempt id of the turn that this request continues.
    pub previous_turn: Option<Arc<str>>,
    /// Key of the object that the request concerns. Requests with the same key prefer the same
    /// upstream.
    pub affinity_key: Option<Arc<str>>,
    /// Id of the last event that the caller received, if it takes up a stream again.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumed_attempt: Option<Arc<str>>,
}

impl RequestHeaders {
    /// Returns whether the request says that it is a turn of a program.
    #[must_use]
    pub fn is_turn(&self) -> bool {
        let program = self.program.as_ref();
        program.is_some_and(|program| program.budget.is_some())
    }
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Content id. Parts with the same id start with the same tokens.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Program that a request belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Id of the program.
    pub id: Arc<str>,
    /// Id of the session, a sequence of turns within the program.
    pub session: Arc<str>,
    /// Milliseconds until the program's deadline.
    pub remaining_ms: Option<u64>,
    /// Maximum number of tokens that all turns of the program may generate. Only turns carry it.
    pub budget: Option<u64>,
}

/// Error response sent by this system instead of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the request.
    NoRoute,
    /// The request has no key, or one that belongs to no account. It did not run.
    Unauthorized,
    /// The turn to continue does not exist, or belongs to another account.
    NoTurn,
    /// The request is malformed.
    Malformed,
    /// The body exceeds the configured limit.
    TooLong,
    /// The program's budget is spent. The turn did not run.
    BudgetSpent,
    /// The request did not run and will not run. The caller may retry after this many milliseconds.
    NotRun(u64),
    /// The account has used up its quota. The request did not run and will not run; the caller may
    /// retry after this many milliseconds.
    OverQuota(u64),
    /// This instance has no path to the upstreams. The request did not run.
    Unreachable,
    /// This instance has an older configuration than the request needs. The request did not run.
    Outdated,
    /// The request was relayed as one that may be repeated, and must not be according to the newer
    /// configuration of this instance. The request did not run.
    Superseded,
    /// The request may have run.
    Unknown,
    /// The request crashed upstreams earlier and is not sent again.
    Quarantined,
    /// The deadline has passed. The request may have run.
    TimedOut,
}
