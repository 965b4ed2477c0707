//! Bodies of the HTTP API for callers.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreateProgram {
    /// Idempotency key chosen by the caller; a repeated id returns the same program.
    pub request_id: String,
    /// Budget of the program tree; set for a root only. Sub-agents use the budget of their root.
    #[serde(default)]
    pub budget: Option<Budget>,
    /// Parent program, for a sub-agent.
    #[serde(default)]
    pub parent: Option<String>,
}

/// Limits of a whole program tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Prompt and output tokens of all calls.
    pub tokens: u64,
    /// Number of calls.
    #[serde(default = "Budget::default_turns")]
    pub turns: u32,
    /// Milliseconds after creation in which calls may start.
    #[serde(default = "Budget::default_wall_ms")]
    pub wall_ms: u64,
    /// Maximum nesting of sub-agents below the root.
    #[serde(default = "Budget::default_depth")]
    pub depth: u32,
}

impl Budget {
    /// Creates a budget of `tokens`, with default limits otherwise.
    #[must_use]
    pub const fn of_tokens(tokens: u64) -> Self {
        Self {
            tokens,
            turns: Self::default_turns(),
            wall_ms: Self::default_wall_ms(),
            depth: Self::default_depth(),
        }
    }

    const fn default_turns() -> u32 {
        180
    }

    const fn default_wall_ms() -> u64 {
        3_600_000
    }

    const fn default_depth() -> u32 {
        4
    }
}

/// Body of `POST /v1/programs/{id}/calls`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Idempotency key chosen by the caller, unique within the program. A repeated id returns the
    /// recorded result.
    pub request_id: String,
    /// Zero-based position of the call in the program.
    pub position: u32,
    /// Name of the configured service to call.
    pub service: String,
    /// Prompt for a model, or request body for a plain service.
    pub input: String,
    /// Maximum output tokens of a model.
    #[serde(default = "Call::default_max_tokens")]
    pub max_tokens: u32,
    /// Requests the final event before the turn is durable; the event is then marked provisional.
    #[serde(default)]
    pub provisional: bool,
}

impl Call {
    const fn default_max_tokens() -> u32 {
        256
    }
}

/// A server-sent event of a call's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The next part of the output.
    Token(TokenEvent),
    /// The complete output; last event of the stream.
    Final(FinalEvent),
    /// The call failed; last event of the stream.
    Error(crate::error::Error),
}

/// A part of a call's output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// Text to append.
    pub text: String,
}

/// Result of a completed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalEvent {
    /// Id of the program.
    pub program: String,
    /// Zero-based position of the call in the program.
    pub position: u32,
    /// Complete output.
    pub output: String,
    /// Tokens that the call used.
    pub usage: Usage,
    /// Chained hash of the history up to and including this turn, in hexadecimal.
    pub hash: String,
    /// Whether the turn is not yet durable.
    #[serde(default)]
    pub provisional: bool,
    /// Whether the result was recorded by an earlier request with the same id.
    #[serde(default)]
    pub recorded: bool,
}

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, including the history.
    pub prompt: u64,
    /// Prompt tokens that the upstream had cached.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
}

impl Usage {
    /// Returns the tokens charged to the budget.
    #[must_use]
    pub const fn charged(self) -> u64 {
        self.prompt + self.output
    }
}

/// Response to `GET /v1/programs/{id}`, and to the creation or end of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Id.
    pub id: String,
    /// Parent program, for a sub-agent.
    pub parent: Option<String>,
    /// `running` or `ended`.
    pub state: String,
    /// Position of the next call.
    pub next_position: u32,
    /// Budget of the tree.
    pub budget: Budget,
    /// Tokens charged to the tree.
    pub spent: u64,
    /// Turns in order of position.
    pub turns: Vec<Turn>,
}

/// A turn of a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Zero-based position.
    pub position: u32,
    /// Request id of the call.
    pub request_id: String,
    /// Name of the called service.
    pub service: String,
    /// `done`, `in_doubt` or `failed`.
    pub state: String,
    /// Input of the call.
    pub input: String,
    /// Output of the call; empty unless `state` is `done`.
    pub output: String,
    /// Tokens that the call used.
    pub usage: Usage,
    /// Chained hash of the history up to and including this turn, in hexadecimal.
    pub hash: String,
}
