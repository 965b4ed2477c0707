//! Fake plain service that records the effect of each call.
//!
//! `POST` on any path has an effect once per idempotency key, or once per request if the service
//! does not deduplicate keys. `GET {status path}/{key}` returns the outcome of an earlier call:
//! status 200 with its response, or 404 if no call with that key had an effect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_wire::engine::{IDEMPOTENCY_HEADER, REQUEST_HEADER};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::digest;
use crate::http::{ConnectionClosed, HandlerResult, ListenerControl, Server, full_response};

/// Options of a service.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether a repeated idempotency key returns the first response without another effect.
    pub deduplicates_keys: bool,
    /// Path prefix of the status look-up; none if the service has no look-up.
    pub status_path: Option<String>,
    /// Milliseconds before the effect of each call.
    pub latency_ms: u64,
}

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Closes the connection after reading the request; the call has no effect.
    CloseBeforeEffect,
    /// Closes the connection after the effect of the call.
    CloseAfterEffect,
    /// The call has its effect but no response is ever sent.
    HangAfterEffect,
    /// The call has no effect and no response is ever sent.
    HangBeforeEffect,
    /// Sends the response this many milliseconds after the effect.
    DelayResponse(u64),
    /// Delays the effect by this many milliseconds; it occurs even if the client disconnects.
    DelayEffect(u64),
    /// Responds with status 500; the call has no effect.
    ServerError,
}

/// A call that was received or that had an effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Idempotency key (`idempotency-key`); empty if absent.
    pub idempotency_key: String,
    /// Request id (`x-request-id`); empty if absent.
    pub request_id: String,
    /// `traceparent` header; empty if absent.
    pub traceparent: String,
    /// Time of the effect; for a receipt, the time at which the request was read.
    pub occurred_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    options: Options,
    effects: Vec<Effect>,
    receipts: Vec<Effect>,
    status_lookups: u64,
    next_faults: Vec<Fault>,
    default_fault: Option<Fault>,
    faulted_calls: u64,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    state: Arc<Mutex<State>>,
    server: Server,
    listener: ListenerControl,
}

/// Starts a service.
///
/// # Panics
///
/// Panics outside a tokio runtime.
#[must_use]
pub fn spawn(options: Options) -> Service {
    let state = State {
        options,
        ..State::default()
    };
    let state = Arc::new(Mutex::new(state));
    let listener = ListenerControl::new();
    let shared = Arc::clone(&state);
    let server = Server::spawn(&listener, move |request| {
        handle_request(Arc::clone(&shared), request)
    });
    Service {
        state,
        server,
        listener,
    }
}

/// Returns the response text of any fake service for a path and body.
#[must_use]
pub fn response_text(path: &str, body: &str) -> String {
    format!("ok {:016x} {path}", digest::hash_texts([path, body]))
}

impl Service {
    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Queues a fault for the next call; queued faults apply in order, one per call.
    pub fn fault_next(&self, fault: Fault) {
        lock(&self.state).next_faults.push(fault);
    }

    /// Sets the fault that applies to every call without a queued one.
    pub fn fault_always(&self, fault: Option<Fault>) {
        lock(&self.state).default_fault = fault;
    }

    /// Clears the queued faults and the fault that applies to every call.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.state);
        state.next_faults.clear();
        state.default_fault = None;
    }

    /// Closes the listener and all connections, or reopens the listener.
    pub fn set_down(&self, down: bool) {
        self.listener.set_open(!down);
    }

    /// Returns the calls that had an effect, in order of their effects.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        lock(&self.state).effects.clone()
    }

    /// Returns all received calls, with or without an effect, in order of arrival.
    #[must_use]
    pub fn receipts(&self) -> Vec<Effect> {
        lock(&self.state).receipts.clone()
    }

    /// Returns the number of status look-ups served.
    #[must_use]
    pub fn status_lookups(&self) -> u64 {
        lock(&self.state).status_lookups
    }

    /// Returns the number of calls that had a fault injected.
    #[must_use]
    pub fn faulted_calls(&self) -> u64 {
        lock(&self.state).faulted_calls
    }
}

fn lock(state: &Arc<Mutex<State>>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Returns the fault of the current call, and consumes a queued one.
    fn next_fault(&mut self) -> Option<Fault> {
        let fault = if self.next_faults.is_empty() {
            self.default_fault
        } else {
            Some(self.next_faults.remove(0))
        };
        self.faulted_calls += u64::from(fault.is_some());
        fault
    }

    /// Records the effect of a call, unless its idempotency key is a duplicate.
    fn record_effect(&mut self, effect: Effect) {
        let repeated = self.options.deduplicates_keys
            && !effect.idempotency_key.is_empty()
            && self
                .effects
                .iter()
                .any(|old| old.idempotency_key == effect.idempotency_key);
        if !repeated {
            let occurred_at = Instant::now();
            self.effects.push(Effect {
                occurred_at,
                ..effect
            });
        }
    }

    /// Responds to a status look-up with the outcome of an earlier call.
    fn look_up_status(&mut self, key: &str) -> HandlerResult {
        self.status_lookups += 1;
        let found = self
            .effects
            .iter()
            .find(|effect| effect.idempotency_key == key);
        Ok(match found {
            Some(effect) => {
                full_response(StatusCode::OK, response_text(&effect.path, &effect.body))
            }
            None => full_response(StatusCode::NOT_FOUND, Bytes::new()),
        })
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn handle_request(state: Arc<Mutex<State>>, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    if parts.method == Method::GET {
        let mut state = lock(&state);
        let status_path = state.options.status_path.clone();
        let key = status_path.and_then(|prefix| Some(path.strip_prefix(&prefix)?.to_owned()));
        return match key {
            Some(key) => state.look_up_status(key.trim_start_matches('/')),
            None => Ok(full_response(StatusCode::NOT_FOUND, Bytes::new())),
        };
    }
    if parts.method != Method::POST {
        return Ok(full_response(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()));
    }
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let effect = Effect {
        path,
        body: String::from_utf8_lossy(&body).into_owned(),
        idempotency_key: header_text(&parts.headers, IDEMPOTENCY_HEADER),
        request_id: header_text(&parts.headers, REQUEST_HEADER),
        traceparent: header_text(&parts.headers, "traceparent"),
        occurred_at: Instant::now(),
    };
    handle_call(state, effect).await
}

async fn handle_call(state: Arc<Mutex<State>>, effect: Effect) -> HandlerResult {
    let (fault, takes_ms) = {
        let mut state = lock(&state);
        state.receipts.push(effect.clone());
        (state.next_fault(), state.options.latency_ms)
    };
    let response = response_text(&effect.path, &effect.body);
    match fault {
        Some(Fault::CloseBeforeEffect) => return Err(ConnectionClosed),
        Some(Fault::HangBeforeEffect) => return std::future::pending().await,
        Some(Fault::ServerError) => {
            return Ok(full_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::new(),
            ));
        }
        Some(Fault::DelayEffect(ms)) => {
            let delayed = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                lock(&state).record_effect(effect);
            });
            delayed.await.map_err(|_| ConnectionClosed)?;
            return Ok(full_response(StatusCode::OK, response));
        }
        None | Some(Fault::CloseAfterEffect | Fault::HangAfterEffect | Fault::DelayResponse(_)) => {
        }
    }
    tokio::time::sleep(Duration::from_millis(takes_ms)).await;
    lock(&state).record_effect(effect);
    match fault {
        Some(Fault::CloseAfterEffect) => Err(ConnectionClosed),
        Some(Fault::HangAfterEffect) => std::future::pending().await,
        Some(Fault::DelayResponse(ms)) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Ok(full_response(StatusCode::OK, response))
        }
        _ => Ok(full_response(StatusCode::OK, response)),
    }
}
