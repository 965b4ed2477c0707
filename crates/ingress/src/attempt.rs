//! One attempt to send a request to an upstream.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::connection::Sender;
use basilramp_adapter::header;
use basilramp_adapter::upstream::{self, ConnectionReuse, ForwardParameters, ResponseClass};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::fleet::{AttemptOutcome, UpstreamKey};
use basilramp_core::dispatch::placement::Placement;
use basilramp_process::event;
use bytes::Bytes;
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::state::State;

/// Maximum size of a response body that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// Records an attempt in the fleet's state; dropping it ends the attempt.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Arc<State>,
    key: UpstreamKey,
    unread_tokens: u64,
    outcome: AttemptOutcome,
    started: Time,
    expected_ms: f64,
}

impl AttemptGuard {
    /// Records that the upstream has read the prompt.
    pub(crate) fn record_prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if unread_tokens > 0 {
            self.state
                .fleet()
                .record_prompt_read(self.key, unread_tokens);
        }
    }

    /// Records that the response has started. Its latency relative to the expected one updates the
    /// upstream's state.
    pub(crate) fn record_response(&mut self) {
        let ms = self.state.now().since(self.started) as f64;
        let latency_ratio = (self.expected_ms > 0.0).then(|| ms / self.expected_ms);
        self.outcome = AttemptOutcome::Succeeded { latency_ratio };
        self.record_prompt_read();
    }

    /// Sets the outcome of the attempt.
    pub(crate) const fn fail(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record_prompt_read();
        let now = self.state.now();
        self.state.fleet().end_attempt(self.key, self.outcome, now);
    }
}

/// Response of an upstream, with its body not yet read.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) guard: AttemptGuard,
    pub(crate) upstream: Arc<str>,
    sender: Sender,
    reuse: ConnectionReuse,
}

/// Sends a request to the selected upstream and waits for the response head.
///
/// # Errors
///
/// Returns a [`Failure`] that tells whether the request may have run.
pub(crate) async fn send(
    request: &ActiveRequest,
    placement: &Placement,
    last_event: Option<u64>,
    timeout_ms: u64,
) -> Result<UpstreamResponse, Failure> {
    let state = &request.state;
    let now = state.now();
    let mut guard = start_attempt(request, placement, now);
    let result = exchange(request, placement, last_event, timeout_ms).await;
    let (head, body, sender) = match result {
        Ok(answer) => answer,
        Err((failure, error)) => {
            guard.fail(AttemptOutcome::Failed);
            record_failure(request, &placement.id, failure, &error);
            return Err(failure);
        }
    };
    let reuse = upstream::parse_reuse(&head);
    let (failure, outcome) = match upstream::classify_response(&head, &request.attempt_id) {
        ResponseClass::Matching => {
            return Ok(UpstreamResponse {
                head,
                body,
                guard,
                upstream: Arc::clone(&placement.id),
                sender,
                reuse,
            });
        }
        ResponseClass::NotRun => (Failure::NotRun, AttemptOutcome::Full),
        ResponseClass::OtherUpstream => (Failure::OtherUpstream, AttemptOutcome::Displaced),
        ResponseClass::Mismatched => (Failure::Unknown, AttemptOutcome::Failed),
    };
    guard.fail(outcome);
    record_failure(
        request,
        &placement.id,
        failure,
        &format!("{} {failure:?}", head.status),
    );
    if failure == Failure::NotRun && drain(body).await {
        state
            .pool
            .release(placement.key, sender, reuse, state.now());
    }
    Err(failure)
}

type Exchanged = (response::Parts, Incoming, Sender);

async fn exchange(
    request: &ActiveRequest,
    placement: &Placement,
    last_event: Option<u64>,
    timeout_ms: u64,
) -> Result<Exchanged, (Failure, String)> {
    let state = &request.state;
    let not_sent = |error: String| (Failure::NotSent, error);
    let address = state
        .fleet()
        .get(placement.key)
        .map(|entry| entry.upstream.address);
    let address = address.ok_or_else(|| not_sent("upstream left".into()))?;
    let is_idempotent = request.kind.is_idempotent();
    let mut sender = state
        .pool
        .acquire(
            placement.key,
            address,
            is_idempotent,
            request.remaining_ms(),
            state.now(),
        )
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    sender
        .ready()
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let order = ForwardParameters {
        upstream: &placement.id,
        deadline_ms: request.remaining_ms(),
        last_event_id: last_event,
    };
    let upstream_request = upstream::build_request(&request.parts, request.body.clone(), &order);
    let limit = Duration::from_millis(timeout_ms.min(request.remaining_ms()));
    match tokio::time::timeout(limit, sender.try_send_request(upstream_request)).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            Ok((head, body, sender))
        }
        Ok(Err(mut error)) => {
            let failure = if error.take_message().is_some() {
                Failure::NotSent
            } else {
                Failure::Unknown
            };
            Err((failure, error.into_error().to_string()))
        }
        Err(_) => Err((Failure::Unknown, "no answer in time".into())),
    }
}

fn start_attempt(request: &ActiveRequest, placement: &Placement, now: Time) -> AttemptGuard {
    let state = &request.state;
    let mut fleet = state.fleet();
    fleet.start_attempt(
        placement.key,
        &request.headers.prompt,
        placement.unread_tokens,
        now,
    );
    AttemptGuard {
        state: Arc::clone(state),
        key: placement.key,
        unread_tokens: placement.unread_tokens,
        outcome: AttemptOutcome::Abandoned,
        started: now,
        expected_ms: placement.expected_ms,
    }
}

/// Counts and logs a failed attempt.
pub(crate) fn record_failure(
    request: &ActiveRequest,
    upstream: &str,
    failure: Failure,
    error: &str,
) {
    request.state.metrics.attempt_failed(failure);
    if !request.state.allows_log_line(Event::AttemptFailed) {
        return;
    }
    event!(
        request.state.log,
        Event::AttemptFailed,
        "request" => &*request.attempt_id,
        "upstream" => upstream.to_owned(),
        "ran" => if failure.did_not_run() { "no" } else { "unknown" },
        "left_ms" => request.remaining_ms(),
        "error" => error.to_owned()
    );
}

/// Reads the rest of a rejection's body, so that the connection can be reused.
async fn drain(body: Incoming) -> bool {
    Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .is_ok()
}

impl UpstreamResponse {
    /// Reads the whole response body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the response is interrupted or times out.
    pub(crate) async fn collect(
        mut self,
        request: &ActiveRequest,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, Failure> {
        let limit = Duration::from_millis(timeout_ms.min(request.remaining_ms()));
        let body = Limited::new(self.body, MAX_RESPONSE_BYTES).collect();
        let error = match tokio::time::timeout(limit, body).await {
            Ok(Ok(body)) => {
                self.guard.record_response();
                let is_done = self.head.status.is_success();
                if is_done {
                    let state = &request.state;
                    state
                        .pool
                        .release(self.guard.key, self.sender, self.reuse, state.now());
                }
                header::remove_hop_by_hop(&mut self.head.headers);
                return Ok(Response::from_parts(self.head, body.to_bytes()));
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no whole answer in time".into(),
        };
        self.guard.fail(AttemptOutcome::Failed);
        record_failure(request, &self.upstream, Failure::Unknown, &error);
        Err(Failure::Unknown)
    }

    /// Returns the connection of a completely read stream to the pool.
    pub(crate) fn finish(self) {
        let state = Arc::clone(&self.guard.state);
        state
            .pool
            .release(self.guard.key, self.sender, self.reuse, state.now());
    }
}
