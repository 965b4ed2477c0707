//! Fake model engine with streamed completions, a prefix cache, load reports and orders.

mod cache;
mod control;
mod generate;
mod state;
mod text;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_wire::engine::CachedPrefix;
use http::{Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::{ConnectionClosed, HandlerResult, ListenerControl, Server};

pub use state::{OrderRecord, RequestRecord, Stage};
pub use text::{
    completion_start, completion_text, completion_tokens, count_prompt_tokens, count_tokens,
};

use state::State;

/// Options of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seed of the generated completions; the same for all engines of a deployment.
    pub seed: u64,
    /// Models that are loaded at the start, as `model@version+adapter`.
    pub models: Vec<String>,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Prompt tokens processed per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds per output token.
    pub decode_ms_per_token: f64,
    /// Divisor of all simulated durations; 10 runs ten times as fast.
    pub speed: f64,
    /// Milliseconds that it takes to load a model, before `speed` applies.
    pub model_load_ms: u64,
    /// Milliseconds until a change of load is visible in load reports.
    pub load_report_lag_ms: u64,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fencing: bool,
    /// Text that crashes the engine when a prompt contains it; empty for none.
    pub poison_marker: String,
    /// Milliseconds from a crash until the engine accepts connections again.
    pub restart_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            models: vec!["base@1".to_owned()],
            slots: 8,
            cache_tokens: 200_000,
            prefill_tokens_per_ms: 8.0,
            decode_ms_per_token: 10.0,
            speed: 10.0,
            model_load_ms: 2_000,
            load_report_lag_ms: 0,
            checks_fencing: true,
            poison_marker: "POISON".to_owned(),
            restart_ms: 500,
        }
    }
}

/// A fault that is injected into a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Breaks the stream halfway through the output.
    BreakStream,
    /// Crashes the whole engine halfway through the output.
    Crash,
    /// Sends nothing more from halfway through the output, and keeps the stream open.
    Hang,
    /// Starts the prefill after this many milliseconds.
    DelayStart(u64),
    /// Sends every event twice with the same event id.
    DuplicateEvents,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    listener: ListenerControl,
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Closes all connections, clears the cache, and reopens the listener after the restart time.
    fn crash(self: &Arc<Self>) {
        let restart_ms = {
            let mut state = lock(self);
            state.crash();
            state.options.restart_ms
        };
        self.listener.set_open(false);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(restart_ms)).await;
            shared.listener.set_open(true);
        });
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

/// Starts an engine.
///
/// # Panics
///
/// Panics outside a tokio runtime.
#[must_use]
pub fn spawn(options: Options) -> Engine {
    let mut state = State::new(options);
    let lag_ms = state.options.load_report_lag_ms;
    state.load.set_lag(lag_ms);
    let listener = ListenerControl::new();
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        listener: listener.clone(),
    });
    let handler = Arc::clone(&shared);
    let server = Server::spawn(&listener, move |request| {
        handle_request(Arc::clone(&handler), request)
    });
    Engine { shared, server }
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    if parts.method == Method::POST && parts.uri.path() == "/v1/chat/completions" {
        return generate::handle(shared, &parts.headers, &body);
    }
    control::handle(shared, &parts.method, &parts.uri, &parts.headers, &body).await
}

impl Engine {
    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Crashes the engine: all streams break, the cache is lost, and the engine restarts with a new
    /// epoch.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Clears the queued faults and the fault that applies to every request.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.shared);
        state.next_faults.clear();
        state.default_fault = None;
    }

    /// Closes the listener and all connections without a crash, or reopens the listener.
    pub fn set_down(&self, down: bool) {
        self.shared.listener.set_open(!down);
    }

    /// Queues a fault for the next request; queued faults apply in order, one per request.
    pub fn fault_next(&self, fault: Fault) {
        lock(&self.shared).next_faults.push(fault);
    }

    /// Sets the fault that applies to every request without a queued one.
    pub fn fault_always(&self, fault: Option<Fault>) {
        lock(&self.shared).default_fault = fault;
    }

    /// Multiplies all simulated durations by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.shared).slowdown = factor;
    }

    /// Reports that the engine is draining. It still runs and records the requests that it receives.
    pub fn start_draining(&self) {
        let mut state = lock(&self.shared);
        state.draining = true;
        state.publish_load();
    }

    /// Delays cache events by `lag_ms` and drops each with probability `lost`, using a seeded RNG.
    pub fn set_cache_event_faults(&self, lag_ms: u64, lost: f64, seed: u64) {
        let mut state = lock(&self.shared);
        state.cache.lag = Duration::from_millis(lag_ms);
        state.cache.set_event_loss(lost, seed);
    }

    /// Returns the accepted requests in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.shared).requests.clone()
    }

    /// Returns the received orders in order of arrival.
    #[must_use]
    pub fn received_orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared).orders.clone()
    }

    /// Returns the cached prefix of each holder.
    #[must_use]
    pub fn cached_prefixes(&self) -> Vec<CachedPrefix> {
        lock(&self.shared).cache.cached_prefixes()
    }

    /// Returns the loaded models.
    #[must_use]
    pub fn models(&self) -> Vec<String> {
        lock(&self.shared).models.iter().cloned().collect()
    }

    /// Returns the number of cache release requests.
    #[must_use]
    pub fn release_requests(&self) -> u64 {
        lock(&self.shared).releases
    }

    /// Returns the number of crashes, whatever their cause.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        lock(&self.shared).crashes
    }

    /// Returns the number of crashes caused by a prompt with the poison marker.
    #[must_use]
    pub fn poison_crashes(&self) -> u64 {
        lock(&self.shared).poison_crashes
    }

    /// Returns the number of prefixes evicted because the cache was full.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        lock(&self.shared).cache.evictions
    }

    /// Returns the number of dropped cache events.
    #[must_use]
    pub fn lost_events(&self) -> u64 {
        lock(&self.shared).cache.lost_events
    }

    /// Returns the number of requests that had a fault injected.
    #[must_use]
    pub fn faulted_requests(&self) -> u64 {
        lock(&self.shared).faulted_requests
    }
}
