//! The HTTP bodies of callers.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreateProgram {
    /// Chosen by the caller; the same id gives the same program.
    pub request_id: String,
    /// What the whole tree may use. A sub-agent draws on its root's budget and leaves this out.
    #[serde(default)]
    pub budget: Option<Budget>,
    /// The program that spawns this one as a sub-agent.
    #[serde(default)]
    pub parent: Option<String>,
}

/// What a program tree may use up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Prompt and output tokens over all calls of the tree.
    pub tokens: u64,
    /// Calls over the whole tree.
    #[serde(default = "Budget::default_turns")]
    pub turns: u32,
    /// Milliseconds from creation to the last call's start.
    #[serde(default = "Budget::default_wall_ms")]
    pub wall_ms: u64,
    /// Levels of sub-agents below the root.
    #[serde(default = "Budget::default_depth")]
    pub depth: u32,
}

impl Budget {
    /// Makes a budget of tokens, with the defaults for all else.
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
    /// Chosen by the caller, unique within the program; repeated, it gets the recorded answer.
    pub request_id: String,
    /// The call's place in the program, from zero.
    pub position: u32,
    /// The configured service that is called.
    pub service: String,
    /// The prompt for a model, or the body for a plain service.
    pub input: String,
    /// The most output tokens that a model may generate.
    #[serde(default = "Call::default_max_tokens")]
    pub max_tokens: u32,
    /// Asks for the final event before the turn is durable, marked as provisional.
    #[serde(default)]
    pub provisional: bool,
}

impl Call {
    const fn default_max_tokens() -> u32 {
        256
    }
}

/// One server-sent event of a call's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// More of the answer's text.
    Token(TokenEvent),
    /// The whole answer; nothing follows.
    Final(FinalEvent),
    /// The call failed; nothing follows.
    Error(crate::error::Error),
}

/// A piece of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The text to append.
    pub text: String,
}

/// The end of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalEvent {
    /// The program called.
    pub program: String,
    /// The call's place in the program.
    pub position: u32,
    /// The whole answer.
    pub output: String,
    /// What the call used.
    pub usage: Usage,
    /// The hash of the history up to and with this turn, in hexadecimal.
    pub hash: String,
    /// Whether the turn is not durable yet.
    #[serde(default)]
    pub provisional: bool,
    /// Whether the answer was recorded by an earlier request of the same id.
    #[serde(default)]
    pub recorded: bool,
}

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt with its history.
    pub prompt: u64,
    /// How many of those the upstream had cached.
    pub cached: u64,
    /// Tokens generated.
    pub output: u64,
}

impl Usage {
    /// Returns what the call counts against the budget.
    #[must_use]
    pub const fn charged(self) -> u64 {
        self.prompt + self.output
    }
}

/// Body of `GET /v1/programs/{id}`, and of the answer to a creation or an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The program's id.
    pub id: String,
    /// Its parent, for a sub-agent.
    pub parent: Option<String>,
    /// `running` or `ended`.
    pub state: String,
    /// The position of the next call.
    pub next_position: u32,
    /// The tree's budget.
    pub budget: Budget,
    /// Tokens charged to the tree.
    pub spent: u64,
    /// The turns in order.
    pub turns: Vec<Turn>,
}

/// One turn of a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn's place, from zero.
    pub position: u32,
    /// The caller's request id.
    pub request_id: String,
    /// The service called.
    pub service: String,
    /// `done`, `in_doubt` or `failed`.
    pub state: String,
    /// What was asked.
    pub input: String,
    /// What was answered; empty unless done.
    pub output: String,
    /// What it used.
    pub usage: Usage,
    /// The hash of the history up to and with this turn, in hexadecimal.
    pub hash: String,
}
