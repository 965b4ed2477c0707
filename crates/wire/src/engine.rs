//! Bodies of the model engines.
//!
//! Generation is the OpenAI chat completions API with streaming. Load, cache
//! events, holdings and orders are the engines' control API.

use serde::{Deserialize, Serialize};

/// Header of a call that names the request: program, position and attempt.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that names who holds the cached prefix: the program's id.
pub const HOLDER_HEADER: &str = "x-cache-holder";

/// Header of an order that carries its fencing number.
pub const FENCING_HEADER: &str = "x-fencing-token";

/// Header of a call to a plain service that makes it idempotent there, if the service can.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Model, and adapter and version where there are any: `model@version+adapter`.
    pub model: String,
    /// The history and the new prompt.
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Must be true.
    pub stream: bool,
    /// Asks for the usage at the end.
    pub stream_options: StreamOptions,
    /// Lower runs sooner.
    #[serde(default)]
    pub priority: i64,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Asks for the usage at the end.
    pub include_usage: bool,
}

/// A message of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `user`, `assistant` or `tool`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One streamed chunk; the stream ends with the text `[DONE]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The same over the whole answer.
    pub id: String,
    /// One choice, or none in the chunk with the usage.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// In the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// A choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// More text.
    pub delta: Delta,
    /// Why the answer ended: `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// More text of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

/// Tokens that a completion used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// More on the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// More on a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were cached.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl From<Usage> for crate::api::Usage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt: usage.prompt_tokens,
            cached: usage.prompt_tokens_details.cached_tokens,
            output: usage.completion_tokens,
        }
    }
}

/// Answer to `GET /load`. It lags behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Raised at each start of the engine.
    pub epoch: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub waiting: u32,
    /// The most requests in the batch.
    pub slots: u32,
    /// Tokens held in the cache.
    pub cached_tokens: u64,
    /// Tokens that the cache can hold.
    pub cache_tokens: u64,
    /// What is loaded, as in [`Completion::model`].
    pub models: Vec<String>,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// The highest fencing number it has taken.
    pub fencing: u64,
}

/// Answer to `GET /cache/events?after={sequence}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events in order; numbers may be missing.
    pub events: Vec<CacheEvent>,
}

/// A change of what an engine has cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Consecutive within an epoch.
    pub sequence: u64,
    /// Whose prefix.
    pub holder: String,
    /// Tokens now held for it; zero once evicted.
    pub tokens: u64,
}

/// Answer to `GET /cache/holders`. `DELETE /cache/holders/{holder}` releases one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holders {
    /// What is held, by holder.
    pub holders: Vec<CachedPrefix>,
}

/// What is held for one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// The program's id.
    pub holder: String,
    /// Tokens held.
    pub tokens: u64,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    Load {
        /// As in [`Completion::model`].
        model: String,
    },
    /// Unload a model.
    Unload {
        /// As in [`Completion::model`].
        model: String,
    },
}
