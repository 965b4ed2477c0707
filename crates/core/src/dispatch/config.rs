//! Configuration of routes, services and limits, as set by the operator.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::account::Accounts;

/// A complete configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version number. It increases with each change, not necessarily by one.
    pub version: u64,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Client accounts. `None` if callers need no key.
    pub accounts: Option<Accounts>,
}

/// Maps requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that requests must address.
    pub host: Arc<str>,
    /// Path prefix. It begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once, and whether responses are streamed.
    pub kind: RouteKind,
    /// Whether callers need no key although there are accounts.
    pub is_public: bool,
    /// Target services with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds: a response has its full value within this time.
    pub latency_objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Maximum gap between the events of a stream that callers accept, in milliseconds; 0 if none is
    /// stated.
    pub max_event_gap_ms: u64,
    /// How long the turns of the route's programs are stored, in milliseconds. `None` if each
    /// request carries its whole prompt.
    pub retention_ms: Option<u64>,
}

/// Idempotence and response type of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once and returns a stream of events.
    Stream,
    /// Returns a stream of events that another upstream can resume.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that routes refer to by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Parameters of its model engine. `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Parameters of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}
