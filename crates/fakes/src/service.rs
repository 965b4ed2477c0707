//! Stand-in for a plain service, some of whose calls must not be repeated.
//!
//! `POST` on any path takes effect once for each idempotency key, or once for each request if
//! keys are not honoured. `GET {status path}/{key}` tells the outcome of an earlier call:
//! status 200 with the answer, or 404 if no call with that key took effect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_wire::engine::{IDEMPOTENCY_HEADER, REQUEST_HEADER};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::digest;
use crate::http::{Answer, Closed, Server, Switch, whole};

/// What a service is like.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether a repeated idempotency key gets the first answer without another effect.
    pub honours_keys: bool,
    /// The path of the status look-up, if there is one.
    pub status_path: Option<String>,
    /// Milliseconds that each call takes.
    pub takes_ms: u64,
}

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection closes after the request was read; the call took no effect.
    CloseBefore,
    /// The connection closes after the call took effect.
    CloseAfter,
    /// The call takes effect and no answer ever comes.
    Hang,
    /// The call takes no effect and no answer ever comes.
    HangBefore,
    /// The call takes effect and its answer comes so many milliseconds later.
    Late(u64),
    /// The call takes effect so many milliseconds later, whether or not the caller still waits.
    Delay(u64),
    /// The call takes no effect and is answered with status 500.
    Refuse,
}

/// A call that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
    /// The idempotency key; empty if there was none.
    pub key: String,
    /// The request id; empty if there was none.
    pub request: String,
    /// The `traceparent` header; empty if there was none.
    pub traceparent: String,
    /// When it took effect; for a receipt, when it was read.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    options: Options,
    effects: Vec<Effect>,
    receipts: Vec<Effect>,
    lookups: u64,
    next: Vec<Fault>,
    always: Option<Fault>,
    hits: u64,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    state: Arc<Mutex<State>>,
    server: Server,
    switch: Switch,
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
    let switch = Switch::new();
    let shared = Arc::clone(&state);
    let server = Server::spawn(&switch, move |request| handle(Arc::clone(&shared), request));
    Service {
        state,
        server,
        switch,
    }
}

/// Returns the answer that any service gives to a body on a path.
#[must_use]
pub fn answer(path: &str, body: &str) -> String {
    format!("ok {:016x} {path}", digest::of([path, body]))
}

impl Service {
    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies a fault to the next call; several of them apply in order.
    pub fn fault_next(&self, fault: Fault) {
        lock(&self.state).next.push(fault);
    }

    /// Applies a fault to every call, or to none.
    pub fn fault_always(&self, fault: Option<Fault>) {
        lock(&self.state).always = fault;
    }

    /// Ends all faults, those still to come as well.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.state);
        state.next.clear();
        state.always = None;
    }

    /// Closes the listener and all connections, or opens it again.
    pub fn down(&self, down: bool) {
        self.switch.set_open(!down);
    }

    /// Returns the calls that took effect, in order.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        lock(&self.state).effects.clone()
    }

    /// Returns the calls that were read, whether or not they took effect, in order.
    #[must_use]
    pub fn receipts(&self) -> Vec<Effect> {
        lock(&self.state).receipts.clone()
    }

    /// Returns how many status look-ups were answered.
    #[must_use]
    pub fn lookups(&self) -> u64 {
        lock(&self.state).lookups
    }

    /// Returns how many calls a fault was applied to.
    #[must_use]
    pub fn hits(&self) -> u64 {
        lock(&self.state).hits
    }
}

fn lock(state: &Arc<Mutex<State>>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn take_fault(&mut self) -> Option<Fault> {
        let fault = if self.next.is_empty() {
            self.always
        } else {
            Some(self.next.remove(0))
        };
        self.hits += u64::from(fault.is_some());
        fault
    }

    fn take_effect(&mut self, effect: Effect) {
        let repeated = self.options.honours_keys
            && !effect.key.is_empty()
            && self.effects.iter().any(|old| old.key == effect.key);
        if !repeated {
            let at = Instant::now();
            self.effects.push(Effect { at, ..effect });
        }
    }

    fn look_up(&mut self, key: &str) -> Answer {
        self.lookups += 1;
        let found = self.effects.iter().find(|effect| effect.key == key);
        Ok(match found {
            Some(effect) => whole(StatusCode::OK, answer(&effect.path, &effect.body)),
            None => whole(StatusCode::NOT_FOUND, Bytes::new()),
        })
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    if head.method == Method::GET {
        let mut state = lock(&state);
        let status_path = state.options.status_path.clone();
        let key = status_path.and_then(|prefix| Some(path.strip_prefix(&prefix)?.to_owned()));
        return match key {
            Some(key) => state.look_up(key.trim_start_matches('/')),
            None => Ok(whole(StatusCode::NOT_FOUND, Bytes::new())),
        };
    }
    if head.method != Method::POST {
        return Ok(whole(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()));
    }
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let effect = Effect {
        path,
        body: String::from_utf8_lossy(&body).into_owned(),
        key: header(&head.headers, IDEMPOTENCY_HEADER),
        request: header(&head.headers, REQUEST_HEADER),
        traceparent: header(&head.headers, "traceparent"),
        at: Instant::now(),
    };
    call(state, effect).await
}

async fn call(state: Arc<Mutex<State>>, effect: Effect) -> Answer {
    let (fault, takes_ms) = {
        let mut state = lock(&state);
        state.receipts.push(effect.clone());
        (state.take_fault(), state.options.takes_ms)
    };
    let text = answer(&effect.path, &effect.body);
    match fault {
        Some(Fault::CloseBefore) => return Err(Closed),
        Some(Fault::HangBefore) => return std::future::pending().await,
        Some(Fault::Refuse) => {
            return Ok(whole(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
        }
        Some(Fault::Delay(ms)) => {
            let later = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                lock(&state).take_effect(effect);
            });
            later.await.map_err(|_| Closed)?;
            return Ok(whole(StatusCode::OK, text));
        }
        None | Some(Fault::CloseAfter | Fault::Hang | Fault::Late(_)) => {}
    }
    tokio::time::sleep(Duration::from_millis(takes_ms)).await;
    lock(&state).take_effect(effect);
    match fault {
        Some(Fault::CloseAfter) => Err(Closed),
        Some(Fault::Hang) => std::future::pending().await,
        Some(Fault::Late(ms)) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Ok(whole(StatusCode::OK, text))
        }
        _ => Ok(whole(StatusCode::OK, text)),
    }
}
