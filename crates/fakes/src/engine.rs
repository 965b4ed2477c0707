//! Stand-in for a model engine: streamed completions, a prefix cache, load reports and orders.

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

/// What an engine is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seed of the answers; engines of one deployment share it.
    pub seed: u64,
    /// What is loaded at the start, as `model@version+adapter`.
    pub models: Vec<String>,
    /// The most requests in the batch.
    pub slots: u32,
    /// Tokens that the cache can hold.
    pub cache_tokens: u64,
    /// Prompt tokens computed in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for an output token.
    pub decode_ms_per_token: f64,
    /// Divides all of the engine's times.
    pub speed: f64,
    /// Milliseconds that loading a model takes.
    pub model_load_ms: u64,
    /// Milliseconds before a change of load shows.
    pub load_report_lag_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// A prompt that contains this text crashes the engine; empty for none.
    pub poison_marker: String,
    /// Milliseconds from a crash until the engine is back.
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

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The stream breaks in the middle.
    BreakStream,
    /// The whole engine crashes in the middle.
    Crash,
    /// Nothing more comes from the middle on.
    Hang,
    /// Work starts so many milliseconds later.
    DelayStart(u64),
    /// Every event is sent twice, the second time with the same event id.
    DuplicateEvents,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    switch: ListenerControl,
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Closes all connections, forgets the cache, and comes back after the restart time.
    fn crash(self: &Arc<Self>) {
        let restart_ms = {
            let mut state = lock(self);
            state.crash();
            state.options.restart_ms
        };
        self.switch.set_open(false);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(restart_ms)).await;
            shared.switch.set_open(true);
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
    let switch = ListenerControl::new();
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        switch: switch.clone(),
    });
    let handler = Arc::clone(&shared);
    let server = Server::spawn(&switch, move |request| {
        handle_request(Arc::clone(&handler), request)
    });
    Engine { shared, server }
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    if head.method == Method::POST && head.uri.path() == "/v1/chat/completions" {
        return generate::handle(shared, &head.headers, &body);
    }
    control::handle(shared, &head.method, &head.uri, &head.headers, &body).await
}

impl Engine {
    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Crashes it: all streams break, the cache is lost, and it comes back under a new epoch.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Ends all faults, those still to come as well.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.shared);
        state.next_faults.clear();
        state.default_fault = None;
    }

    /// Closes the listener and all connections without a crash, or opens it again.
    pub fn set_down(&self, down: bool) {
        self.shared.switch.set_open(!down);
    }

    /// Applies a fault to the next request; several of them apply in order.
    pub fn fault_next(&self, fault: Fault) {
        lock(&self.shared).next_faults.push(fault);
    }

    /// Applies a fault to every request, or to none.
    pub fn fault_always(&self, fault: Option<Fault>) {
        lock(&self.shared).default_fault = fault;
    }

    /// Multiplies all of its times by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.shared).slowdown = factor;
    }

    /// Makes it report that it is leaving. It still runs what it is sent, and records it.
    pub fn start_draining(&self) {
        let mut state = lock(&self.shared);
        state.draining = true;
        state.publish_load();
    }

    /// Makes cache events show late, and loses them with a probability from a seed.
    pub fn set_cache_event_faults(&self, lag_ms: u64, lost: f64, seed: u64) {
        let mut state = lock(&self.shared);
        state.cache.lag = Duration::from_millis(lag_ms);
        state.cache.set_event_loss(lost, seed);
    }

    /// Returns every request that it took, in order.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.shared).runs.clone()
    }

    /// Returns every order that it was given, in order.
    #[must_use]
    pub fn received_orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared).orders.clone()
    }

    /// Returns what its cache holds, by holder.
    #[must_use]
    pub fn cached_prefixes(&self) -> Vec<CachedPrefix> {
        lock(&self.shared).cache.cached_prefixes()
    }

    /// Returns what it has loaded.
    #[must_use]
    pub fn models(&self) -> Vec<String> {
        lock(&self.shared).models.iter().cloned().collect()
    }

    /// Returns how often a release was asked for.
    #[must_use]
    pub fn release_requests(&self) -> u64 {
        lock(&self.shared).releases
    }

    /// Returns how often it crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        lock(&self.shared).crashes
    }

    /// Returns how often a poisoned prompt crashed it.
    #[must_use]
    pub fn poison_crashes(&self) -> u64 {
        lock(&self.shared).poison_crashes
    }

    /// Returns how many prefixes were evicted for want of room.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        lock(&self.shared).cache.evictions
    }

    /// Returns how many cache events were lost.
    #[must_use]
    pub fn lost_events(&self) -> u64 {
        lock(&self.shared).cache.lost_events
    }

    /// Returns how many requests a fault was applied to.
    #[must_use]
    pub fn faulted_requests(&self) -> u64 {
        lock(&self.shared).faulted_requests
    }
}
