//! What the operator configured.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Increases with each change, in uneven steps.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Route>,
    /// Every service, by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of its requests.
    pub host: Arc<str>,
    /// Its path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that it goes to, with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// The longest that a request is kept waiting.
    pub timeout_ms: u64,
    /// The time in which an answer is worth the most.
    pub latency_objective_ms: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Upstreams that may run one attempt.
    pub max_attempts: u32,
    /// How long turns of its programs are kept; none if they carry their whole prompt.
    pub retention_ms: Option<u64>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another upstream may go on with.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its model engine, if it has one.
    pub engine: Option<Engine>,
}

/// How a service's model engines work.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens of memory.
    pub kv_capacity_tokens: u64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Milliseconds that a connection may be idle.
    pub idle_timeout_ms: u64,
}
