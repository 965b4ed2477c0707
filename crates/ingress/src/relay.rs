//! Relays requests to another instance while this one has no path to the upstreams.
//!
//! The other instance handles a request like one of its own caller's: it loads, places and records it.
//! This instance passes the response on.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::{caller, header, upstream};
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::relay::Outcome;
use basilramp_core::dispatch::request::Rejection;
use basilramp_process::event;
use basilramp_wire::relay::{self, Decline};
use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;

use crate::active_request::ActiveRequest;
use crate::buffer::Reservation;
use crate::config_copy;
use crate::handler::{Body, ResponseAborted};
use crate::leaving;
use crate::log_event::Event;
use crate::membership;
use crate::metric;
use crate::peer_connection::{self, Connection};
use crate::quota::{self, SpentPermit};
use crate::state::State;

/// Maximum number of instances that are tried for a request.
const MAX_INSTANCES: usize = 5;

/// Time for which the end of a response is waited for beyond the caller's deadline, in milliseconds:
/// the other instance ends it at the deadline.
const DEADLINE_MARGIN_MS: u64 = 100;

/// Minimum time for a response before a request that may be repeated goes to another instance, in
/// milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 1_000;

/// Retry delay sent to a caller if no other instance has a path either, in milliseconds.
const NO_INSTANCE_RETRY_MS: u64 = 500;

/// Retry delay sent to a caller whose request was relayed as an older configuration allows, in
/// milliseconds. It is short, as this instance has the newer one by then.
const SUPERSEDED_RETRY_MS: u64 = 50;

/// Returns why this instance declines relayed requests at present.
pub(crate) fn decline_reason(state: &State) -> Option<Decline> {
    if state.is_stopping() {
        Some(Decline::Stopping)
    } else if state.path().is_lost() {
        Some(Decline::NoPath)
    } else if state.table().is_none() || state.is_store_down() {
        Some(Decline::NotReady)
    } else {
        None
    }
}

/// A request at another instance; dropping it ends it.
struct RelayGuard {
    state: Arc<State>,
    instance: Arc<str>,
    outcome: Outcome,
}

impl RelayGuard {
    fn start(state: &Arc<State>, instance: &Arc<str>) -> Self {
        state.relays().start(instance);
        Self {
            state: Arc::clone(state),
            instance: Arc::clone(instance),
            outcome: Outcome::Abandoned,
        }
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.relays().end(&self.instance, self.outcome, now);
        self.state.metrics.relay(self.outcome);
    }
}

/// Response of another instance that handles a request.
struct Answer {
    response: Response<Incoming>,
    connection: Connection,
    guard: RelayGuard,
}

/// Relays a request and returns the response of the instance that handles it.
///
/// # Errors
///
/// Returns a rejection if no other instance handles the request, or its response was interrupted.
pub(crate) async fn forward(mut request: ActiveRequest) -> Result<Response<Body>, Rejection> {
    match send(&mut request, None).await {
        Ok(answer) => Ok(pass_on(request, answer)),
        Err(rejection) => {
            request.mark_logged();
            Err(rejection)
        }
    }
}

/// The rest of a stream, as another instance passes it on.
pub(crate) struct Continuation {
    body: Incoming,
    connection: Connection,
    guard: RelayGuard,
    memory: Reservation,
}

/// Continues a stream through another instance after the event `last_event`. Returns `None` if no
/// instance continues it.
pub(crate) async fn continue_stream(
    request: &mut ActiveRequest,
    last_event: u64,
) -> Option<Continuation> {
    let answer = send(request, Some(last_event)).await.ok()?;
    if !answer.response.status().is_success() {
        return None;
    }
    Some(Continuation {
        body: answer.response.into_body(),
        connection: answer.connection,
        guard: answer.guard,
        memory: request.state.memory.reservation(),
    })
}

impl Continuation {
    /// Returns the id of the instance.
    pub(crate) const fn instance(&self) -> &Arc<str> {
        &self.guard.instance
    }

    /// Records that the stream was interrupted.
    pub(crate) const fn fail(&mut self) {
        self.guard.outcome = Outcome::Failed;
    }

    /// Returns the body, and the memory for its buffered part.
    pub(crate) const fn body(&mut self) -> (&mut Incoming, &mut Reservation) {
        (&mut self.body, &mut self.memory)
    }

    /// Keeps the connection of a completely read stream.
    pub(crate) fn finish(self) {
        let guard = &self.guard;
        self.connection.release(&guard.state, &guard.instance);
    }
}

/// Result of relaying a request that this instance could also handle itself.
pub(crate) enum Delegation {
    /// Another instance handles the request.
    Answered(Response<Body>),
    /// This instance has to handle it.
    Returned(Box<ActiveRequest>),
}

/// Relays a stream whose version this instance can't store or look up. It is returned if no other
/// instance handles it.
///
/// # Errors
///
/// Returns a rejection if the request may have run at another instance, which did not respond.
pub(crate) async fn delegate(mut request: ActiveRequest) -> Result<Delegation, Rejection> {
    match send(&mut request, None).await {
        Ok(answer) => Ok(Delegation::Answered(pass_on(request, answer))),
        Err(Rejection::NotRun(_)) => Ok(Delegation::Returned(Box::new(request))),
        Err(rejection) => {
            request.mark_logged();
            Err(rejection)
        }
    }
}

/// Sends a request to one instance after the other, until one of them handles it. `last_event` is the
/// last event that the caller has, if a stream is continued.
async fn send(request: &mut ActiveRequest, last_event: Option<u64>) -> Result<Answer, Rejection> {
    let state = Arc::clone(&request.state);
    let mut tried: Vec<Arc<str>> = Vec::new();
    if state.relays().is_empty() && !state.is_store_down() {
        membership::refresh(&state).await;
    }
    while tried.len() < MAX_INSTANCES && request.remaining_ms() > 0 {
        let domain = &state.settings.failure_domain;
        let now = state.now();
        let selected = state.relays().select(domain, &tried, rand::random(), now);
        let Some(instance) = selected else {
            break;
        };
        tried.push(Arc::clone(&instance));
        let permit = quota::spend(request)
            .await
            .map_err(|rejection| request.attempts.after(rejection))?;
        let mut guard = RelayGuard::start(&state, &instance);
        let result = exchange(request, &instance, last_event).await;
        if let Ok((response, _)) = &result {
            leaving::observe_relayed(&state, response.headers());
            if let Some(version) = relay::config_version(response.headers()) {
                config_copy::require(&state, version, &instance);
            }
        }
        let error = match result {
            Ok((response, _))
                if relay::decline_reason(response.headers()) == Some(Decline::Superseded) =>
            {
                guard.outcome = Outcome::Handled;
                config_copy::catch_up(&state).await;
                return Err(request.attempts.rejection(SUPERSEDED_RETRY_MS));
            }
            Ok((response, _)) if let Some(reason) = relay::decline_reason(response.headers()) => {
                guard.outcome = match reason {
                    Decline::NotReady => Outcome::LacksStore,
                    _ => Outcome::Declined,
                };
                RelayError::NotSent(format!("declined: {}", reason.label()))
            }
            Ok((response, _))
                if relay::is_unserved(response.headers()) && request.kind.is_idempotent() =>
            {
                guard.outcome = Outcome::Handled;
                RelayError::Broken("no upstream responded there".into())
            }
            // An earlier build may pass it on.
            Ok((response, _)) if !upstream::is_final_status(response.status()) => {
                guard.outcome = Outcome::Handled;
                RelayError::Broken("no HTTP status".into())
            }
            // It did not run there, but may have run before.
            Ok((response, _))
                if request.attempts.possibly_ran > 0
                    && caller::promises_not_run(response.status()) =>
            {
                guard.outcome = Outcome::Handled;
                return Err(Rejection::Unknown);
            }
            Ok((response, connection)) => {
                guard.outcome = Outcome::Handled;
                if caller::promises_not_run(response.status()) {
                    request.permit = permit.map(SpentPermit::restore);
                }
                return Ok(Answer {
                    response,
                    connection,
                    guard,
                });
            }
            Err(error) => {
                guard.outcome = Outcome::Failed;
                error
            }
        };
        log_failure(request, &instance, &error);
        match error {
            RelayError::NotSent(_) => request.permit = permit.map(SpentPermit::restore),
            RelayError::Broken(_) | RelayError::Late => {
                request.attempts.possibly_ran += hop_attempts(request);
                let is_over = request.attempts.possibly_ran >= request.max_attempts;
                if is_over || !may_repeat_elsewhere(request) {
                    let is_late = request.remaining_ms() == 0;
                    return Err(if is_late {
                        Rejection::TimedOut
                    } else {
                        Rejection::Unknown
                    });
                }
            }
        }
    }
    // Addresses and certificates may have changed.
    tokio::spawn(async move { membership::refresh(&state).await });
    Err(request.attempts.rejection(NO_INSTANCE_RETRY_MS))
}

/// Why there is no response of another instance.
#[derive(Debug)]
pub(crate) enum RelayError {
    /// Nothing was handled there.
    NotSent(String),
    /// The connection failed after a part of the request was sent.
    Broken(String),
    /// No response arrived in time.
    Late,
}

async fn exchange(
    request: &ActiveRequest,
    instance: &Arc<str>,
    last_event: Option<u64>,
) -> Result<(Response<Incoming>, Connection), RelayError> {
    let state = &request.state;
    let connection = peer_connection::open(state, instance).await;
    let mut connection = connection.map_err(RelayError::NotSent)?;
    let sender = &mut connection.sender;
    let limit = Duration::from_millis(response_timeout_ms(request));
    let response = sender.try_send_request(build_request(request, last_event));
    match tokio::time::timeout(limit, response).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            let text = error.into_error().to_string();
            Err(if is_unsent {
                RelayError::NotSent(text)
            } else {
                RelayError::Broken(text)
            })
        }
        Err(_) => Err(RelayError::Late),
    }
}

/// Returns whether a request that may have been handled by another instance may be sent to a further
/// one. Both would store a retained turn under the same attempt, with different events.
const fn may_repeat_elsewhere(request: &ActiveRequest) -> bool {
    request.kind.is_idempotent() && request.retention_ms == 0
}

/// Returns whether the next instance may be given up and the request still be sent to a further one.
const fn may_go_on_elsewhere(request: &ActiveRequest) -> bool {
    may_repeat_elsewhere(request) && request.may_abandon_attempt()
}

/// Returns the number of upstreams that may run a request at the next instance. If the request may be
/// repeated, one is left for another instance. If it must not be, the other instance must not repeat it
/// either, whatever its own configuration says.
fn hop_attempts(request: &ActiveRequest) -> u32 {
    if !request.kind.is_idempotent() {
        return 1;
    }
    let possibly_ran = request.attempts.possibly_ran;
    let remaining = request.max_attempts.saturating_sub(possibly_ran);
    let kept = u32::from(may_go_on_elsewhere(request));
    remaining.saturating_sub(kept).max(1)
}

/// Returns how long the next instance may take until its response begins.
fn response_timeout_ms(request: &ActiveRequest) -> u64 {
    let remaining_ms = request.remaining_ms();
    if may_go_on_elsewhere(request) {
        remaining_ms.min(MIN_RESPONSE_TIMEOUT_MS.max(remaining_ms / 2))
    } else {
        remaining_ms + DEADLINE_MARGIN_MS
    }
}

fn build_request(request: &ActiveRequest, last_event: Option<u64>) -> Request<Full<Bytes>> {
    let body = request.identity.body().clone();
    let remaining_ms = request.remaining_ms();
    let mut relayed = upstream::build_relayed_request(&request.parts, body, remaining_ms);
    if let Some(last_event) = last_event {
        let begun_by = request.headers.resumed_attempt.as_deref();
        let begun_by = begun_by.unwrap_or(&request.attempt_id);
        upstream::resume_stream(relayed.headers_mut(), begun_by, last_event);
    }
    let headers = relay::Request {
        caller: request.identity.caller(),
        attempts: hop_attempts(request),
        basis: Some(relay::Basis {
            config_version: config_copy::required_version(&request.state),
            is_repeatable: may_repeat_elsewhere(request),
            possibly_ran: request.attempts.possibly_ran,
        }),
        client: request.client.as_ref().map(|client| relay::Client {
            account: Arc::clone(&client.account.name),
            key: client.key.to_string(),
            version: client.version,
        }),
    };
    headers.insert_into(relayed.headers_mut());
    relayed
}

/// A response that is passed on.
struct Passage {
    request: ActiveRequest,
    body: Incoming,
    connection: Connection,
    guard: RelayGuard,
    status: u16,
}

fn pass_on(mut request: ActiveRequest, answer: Answer) -> Response<Body> {
    request.release_body();
    let (mut head, body) = answer.response.into_parts();
    header::remove_hop_by_hop(&mut head.headers);
    relay::remove_headers(&mut head.headers);
    let passage = Passage {
        request,
        body,
        connection: answer.connection,
        guard: answer.guard,
        status: head.status.as_u16(),
    };
    let frames = stream::unfold(Some(passage), |passage| async move {
        let mut passage = passage?;
        match passage.next_frame().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(passage))),
            Ok(None) => {
                passage.finish();
                None
            }
            Err(error) => {
                passage.abort(&error);
                // The connection is closed at once for the error. Before that, it writes what it has.
                tokio::task::yield_now().await;
                Some((Err(ResponseAborted), None))
            }
        }
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

impl Passage {
    async fn next_frame(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let limit_ms = self.request.remaining_ms() + DEADLINE_MARGIN_MS;
            let limit = Duration::from_millis(limit_ms);
            let frame = tokio::time::timeout(limit, self.body.frame()).await;
            match frame.map_err(|_| RelayError::Late)? {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => return Err(RelayError::Broken(error.to_string())),
            }
        }
    }

    fn finish(self) {
        let request = &self.request;
        request.record_relayed(&self.guard.instance, self.status);
        self.connection
            .release(&request.state, &self.guard.instance);
    }

    fn abort(&mut self, error: &RelayError) {
        self.guard.outcome = Outcome::Failed;
        log_failure(&self.request, &self.guard.instance, error);
        self.request.mark_logged();
        let ms = self.request.elapsed_ms();
        let metrics = &self.request.state.metrics;
        metrics.request(&self.request.service, metric::Outcome::Broken, ms);
    }
}

fn log_failure(request: &ActiveRequest, instance: &Arc<str>, error: &RelayError) {
    let (failure, text) = match error {
        RelayError::NotSent(text) => (Failure::NotSent, &**text),
        RelayError::Broken(text) => (Failure::Unknown, &**text),
        RelayError::Late => (Failure::Unknown, "no answer in time"),
    };
    if request.state.allows_log_line(Event::RelayFailed) {
        event!(
            request.state.log,
            Event::RelayFailed,
            "request" => &*request.attempt_id,
            "by" => instance.to_string(),
            "ran" => if failure.did_not_run() { "no" } else { "unknown" },
            "error" => text.to_owned()
        );
    }
}
