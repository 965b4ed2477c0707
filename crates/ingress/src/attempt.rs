//! One attempt to send a request to an upstream.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::connection::Sender;
use basilramp_adapter::header;
use basilramp_adapter::upstream::{self, ConnectionReuse, ResponseClass};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::RunningTurn;
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::fleet::{AttemptOutcome, HealthChange, UpstreamKey};
use basilramp_core::dispatch::placement::Placement;
use basilramp_process::event;
use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::active_request::ActiveRequest;
use crate::buffer::{BufferedBody, CollectError, Reservation};
use crate::exchange::{self, Exchanged};
use crate::log_event::Event;
use crate::metric::AttemptKind;
use crate::state::State;
use crate::{leaving, rate_limit, suspect};

/// Maximum size of a response body that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// Remaining time up to which a gateway timeout of an upstream is due to the caller's deadline, in
/// milliseconds: the time that the response takes on its way.
const DEADLINE_MARGIN_MS: u64 = 50;

/// Limits on the body of a rejection that is read for its connection to be reused: several times the
/// usual size, and a few round trips.
const MAX_DRAIN_BYTES: usize = 64 * 1_024;

/// Size of a rejected request's body up to which the connection is reused. The upstream may not have
/// read a longer one, and what follows on the connection would wait behind it in the sockets' buffers.
const MAX_REJECTED_BODY_BYTES: usize = 64 * 1_024;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Records an attempt in the fleet's state; dropping it ends the attempt.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    pub(crate) state: Arc<State>,
    key: UpstreamKey,
    unread_tokens: u64,
    is_suspect: bool,
    outcome: AttemptOutcome,
    started: Time,
    expected_ms: f64,
    /// The turn as admission control counts it.
    turn: Option<RunningTurn>,
}

impl AttemptGuard {
    /// Records the number of events that the turn has had so far.
    pub(crate) fn record_events(&self, events: u64) {
        if let Some(turn) = &self.turn {
            let now = self.state.now();
            self.state.admission().record_events(turn, events, now);
        }
    }

    /// Returns the turn as admission control counts it, if it does.
    pub(crate) const fn turn(&self) -> Option<&RunningTurn> {
        self.turn.as_ref()
    }

    /// Records that the upstream has read the prompt.
    pub(crate) fn record_prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if unread_tokens > 0 {
            self.state
                .fleet()
                .record_prompt_read(self.key, unread_tokens);
        }
    }

    /// Records that the response has started. The latency of a success relative to the expected one
    /// updates the upstream's state. Returns the latency in milliseconds.
    pub(crate) fn record_response(&mut self, status: StatusCode) -> f64 {
        let ms = self.state.now().since(self.started) as f64;
        let is_measured = status.is_success() && self.expected_ms > 0.0;
        let latency_ratio = is_measured.then(|| ms / self.expected_ms);
        self.outcome = if status.is_server_error() {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Succeeded { latency_ratio }
        };
        self.record_prompt_read();
        ms
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
        if let Some(turn) = &self.turn {
            self.state.admission().end_turn(turn, now);
        }
        let change = {
            let mut fleet = self.state.fleet();
            if self.is_suspect {
                fleet.end_suspect(self.key);
            }
            let change = fleet.end_attempt(self.key, self.outcome, now);
            let entry = change.and_then(|change| Some((change, fleet.get(self.key)?)));
            entry.map(|(change, entry)| (change, Arc::clone(&entry.upstream.id)))
        };
        if let Some((change, upstream)) = change {
            log_health_change(&self.state, &upstream, change, self.outcome);
        }
    }
}

fn log_health_change(state: &State, upstream: &str, change: HealthChange, outcome: AttemptOutcome) {
    let event = match change {
        HealthChange::Ejected { .. } => Event::UpstreamEjected,
        HealthChange::Restored => Event::UpstreamRestored,
    };
    if !state.allows_log_line(event) {
        return;
    }
    match change {
        HealthChange::Ejected { ms, rate } => event!(
            state.log,
            event,
            "upstream" => upstream.to_owned(),
            "outcome" => format!("{outcome:?}"),
            "service_failure_rate" => rate,
            "ms" => ms
        ),
        HealthChange::Restored => {
            event!(state.log, event, "upstream" => upstream.to_owned());
        }
    }
}

/// Response of an upstream, with its body not yet read.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) guard: AttemptGuard,
    pub(crate) upstream: Arc<str>,
    /// Memory for the buffered part of the body.
    pub(crate) memory: Reservation,
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
    let mut guard = start_attempt(request, placement, last_event, now);
    if state.fleet().rate_limits().rate(&placement.id).is_some() {
        state.metrics.limited_attempt(match last_event {
            Some(_) => AttemptKind::Continuation,
            None if request.tried.len() > 1 => AttemptKind::Retry,
            None => AttemptKind::First,
        });
    }
    let result = exchange::exchange(request, placement, last_event, timeout_ms).await;
    let Exchanged {
        mut head,
        body,
        sender,
        is_first,
    } = match result {
        Ok(answer) => answer,
        Err(error) => {
            guard.fail(error.outcome());
            record_failure(request, &placement.id, error.failure(), &error.to_string());
            return Err(error.failure());
        }
    };
    let reuse = upstream::parse_reuse(&head);
    let class = upstream::classify_response(&head, &request.attempt_id, is_first);
    rate_limit::observe(state, &placement.id, class, &head, now);
    leaving::observe(request, placement.key, class, &mut head.headers);
    let (failure, outcome) = match class {
        ResponseClass::Matching => {
            return Ok(UpstreamResponse {
                head,
                body,
                guard,
                upstream: Arc::clone(&placement.id),
                memory: state.memory.reservation(),
                sender,
                reuse,
            });
        }
        ResponseClass::NotRun => (Failure::NotRun, AttemptOutcome::Full),
        ResponseClass::OtherUpstream => (Failure::OtherUpstream, AttemptOutcome::Displaced),
        ResponseClass::Mismatched => (Failure::Unknown, AttemptOutcome::Broken),
    };
    guard.fail(outcome);
    record_failure(
        request,
        &placement.id,
        failure,
        &format!("{} {failure:?}", head.status),
    );
    if failure == Failure::NotRun && request.body.len() <= MAX_REJECTED_BODY_BYTES {
        tokio::spawn(drain(Arc::clone(state), body, placement.key, sender, reuse));
    }
    Err(failure)
}

fn start_attempt(
    request: &ActiveRequest,
    placement: &Placement,
    last_event: Option<u64>,
    now: Time,
) -> AttemptGuard {
    let state = &request.state;
    // How much of a stream is left that continues elsewhere is not known.
    let is_turn = request.kind.is_stream() && request.engine.is_some() && last_event.is_none();
    let turn = is_turn.then(|| {
        let account = request.account_name();
        let mut admission = state.admission();
        admission.start_turn(&request.service, &account, placement.unread_tokens, now)
    });
    let is_suspect = suspect::is_suspect(request);
    let mut fleet = state.fleet();
    if is_suspect {
        fleet.start_suspect(placement.key);
    }
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
        is_suspect,
        outcome: AttemptOutcome::Abandoned,
        started: now,
        expected_ms: placement.expected_ms,
        turn: turn.flatten(),
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
        "account" => request.account(),
        "upstream" => upstream.to_owned(),
        "ran" => if failure.did_not_run() { "no" } else { "unknown" },
        "fingerprint" => (!failure.did_not_run()).then(|| request.fingerprint().to_string()),
        "left_ms" => request.remaining_ms(),
        "error" => error.to_owned()
    );
}

/// Reads the rest of a rejection's body, so that the connection can be reused. A body that is long
/// or slow costs more than a new connection.
async fn drain(
    state: Arc<State>,
    body: Incoming,
    upstream: UpstreamKey,
    sender: Sender,
    reuse: ConnectionReuse,
) {
    let rest = Limited::new(body, MAX_DRAIN_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
        state.pool.release(upstream, sender, reuse, state.now());
    }
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
    ) -> Result<Response<BufferedBody>, Failure> {
        let limit = Duration::from_millis(timeout_ms.min(request.remaining_ms()));
        let memory = request.state.memory.reservation();
        let body = BufferedBody::read(self.body, MAX_RESPONSE_BYTES, memory);
        let (outcome, failure, error) = match tokio::time::timeout(limit, body).await {
            Ok(Ok(body)) => {
                let ms = self.guard.record_response(self.head.status);
                if self.head.status == StatusCode::GATEWAY_TIMEOUT
                    && request.remaining_ms() <= DEADLINE_MARGIN_MS
                {
                    // The request took longer than its caller allows, as some are meant to.
                    self.guard.fail(AttemptOutcome::Abandoned);
                }
                let is_done = self.head.status.is_success();
                if is_done && request.engine.is_none() {
                    let mut fleet = request.state.fleet();
                    fleet.speed_mut(&request.service).record_plain(ms);
                }
                if is_done {
                    let state = &request.state;
                    state
                        .pool
                        .release(self.guard.key, self.sender, self.reuse, state.now());
                }
                header::remove_hop_by_hop(&mut self.head.headers);
                return Ok(Response::from_parts(self.head, body));
            }
            Ok(Err(CollectError::Broken(error))) => {
                (AttemptOutcome::Broken, Failure::Interrupted, error)
            }
            Ok(Err(CollectError::TooLong)) => (
                AttemptOutcome::Broken,
                Failure::Unknown,
                "the body is too long".into(),
            ),
            // The other requests may have used the memory, so it tells nothing about the upstream.
            Ok(Err(CollectError::Exhausted)) => (
                AttemptOutcome::Abandoned,
                Failure::Unknown,
                "no memory is left for the body".into(),
            ),
            Err(_) => (
                AttemptOutcome::Silent,
                Failure::Unknown,
                "no whole answer in time".into(),
            ),
        };
        self.guard.fail(outcome);
        record_failure(request, &self.upstream, failure, &error);
        Err(failure)
    }

    /// Returns the connection of a completely read stream to the pool.
    pub(crate) fn finish(self) {
        let state = Arc::clone(&self.guard.state);
        state
            .pool
            .release(self.guard.key, self.sender, self.reuse, state.now());
    }
}
