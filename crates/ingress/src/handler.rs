//! Handles one request from its headers to its response.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use basilramp_adapter::store::Error;
use basilramp_adapter::{caller, header};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::{Attempts, Decision, Failure};
use basilramp_core::dispatch::config_view::Certainty;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::placement::Placement;
use basilramp_core::dispatch::request::{Rejection, RequestHeaders};
use basilramp_core::dispatch::route::{self, RouteTable};
use basilramp_core::dispatch::transcript::TranscriptBuilder;
use basilramp_process::event;
use basilramp_wire as wire;
use basilramp_wire::relay::Decline;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use crate::active_request::{ActiveRequest, Identity, NO_UPSTREAM_RETRY_MS, Timings};
use crate::budget::{self, GrantError};
use crate::buffer::{self, BufferedBody, CollectError, Reservation};
use crate::log_event::Event;
use crate::metric::Outcome;
use crate::quota::SpentPermit;
use crate::relay::Delegation;
use crate::server::ConnectionGuard;
use crate::source::{Origin, Source};
use crate::state::State;
use crate::stream::Stream;
use crate::stream_log::StreamLog;
use crate::{
    attempt, client, config_copy, crash, prepare, quota, relay, stream_log, stream_version,
    suspect, version_history,
};

/// Retry delay sent to a caller when no configuration is loaded yet.
const START_RETRY_MS: u64 = 300;

/// Time within which the configuration is read from the store for a request that may need a newer one, in
/// milliseconds.
const CONFIRMATION_LIMIT_MS: u64 = 1_000;

/// Retry delay sent to a caller whose request arrives at the end of a shutdown. It is short, as the
/// caller's next connection usually reaches another instance.
const SHUTDOWN_RETRY_MS: u64 = 50;

/// Retry delay sent to a caller when the memory for buffered bytes is used up: the duration of
/// several requests.
const MEMORY_RETRY_MS: u64 = 500;

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, ResponseAborted>;

/// The response was aborted before its end.
#[derive(Debug)]
pub(crate) struct ResponseAborted;

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response aborted before its end")
    }
}

impl std::error::Error for ResponseAborted {}

/// Keeps a guard until a body has ended.
pub(crate) fn hold(body: Body, guard: ConnectionGuard) -> Body {
    let held = body.map_frame(move |frame| {
        let _held = &guard;
        frame
    });
    held.boxed_unsync()
}

/// Handles a request.
pub(crate) async fn handle(
    state: Arc<State>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = state.now();
    let (mut parts, body) = request.into_parts();
    let source = match Source::read(&state, origin, &mut parts) {
        Ok(source) => source,
        Err(response) => return *response,
    };
    let is_relayed = source.relayed_by.is_some();
    let tells_config = source.basis.is_some();
    let headers = caller::parse_headers(&parts.headers);
    let attempt_id = headers.attempt_id.clone();
    // The end of a chunked body is defined by its sender alone. Close the connection, so that bytes
    // after it are not read as another request (request smuggling).
    let is_chunked = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let account = OnceLock::new();
    let handling = prepare_and_dispatch(&state, source, parts, headers, body, arrived, &account);
    let result = tokio::select! {
        biased;
        result = handling => result,
        // It may have run.
        () = state.wait_for_exit() => Err(Rejection::Unknown),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(rejection) => {
            let id = attempt_id.as_deref();
            let account = account.get().map(|name: &Arc<str>| &**name);
            record_rejection(&state, id, account, rejection, arrived);
            let mut response = caller::error_response(rejection, id).map(full_body);
            let headers = response.headers_mut();
            match rejection {
                Rejection::Unknown => wire::relay::mark_unserved(headers),
                Rejection::Unreachable => Decline::NoPath.insert_into(headers),
                Rejection::Outdated => Decline::Outdated.insert_into(headers),
                Rejection::Superseded => Decline::Superseded.insert_into(headers),
                _ => {}
            }
            if !is_relayed {
                wire::relay::remove_headers(headers);
            }
            response
        }
    };
    if tells_config {
        wire::relay::insert_config_version(response.headers_mut(), state.config_version());
    }
    if is_relayed {
        return response;
    }
    // During a store outage, the caller's next connection probably reaches a better instance.
    if is_chunked || state.is_store_down() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

fn record_rejection(
    state: &State,
    attempt: Option<&str>,
    account: Option<&str>,
    rejection: Rejection,
    arrived: Time,
) {
    let ms = state.now().since(arrived);
    state.metrics.request("", Outcome::Rejected(rejection), ms);
    if !state.allows_log_line(Event::Refused) {
        return;
    }
    event!(
        state.log,
        Event::Refused,
        "request" => attempt.unwrap_or_default().to_owned(),
        "account" => account,
        "refusal" => format!("{rejection:?}"),
        "store_down_ms" => state.store_outage_ms(),
        "ms" => ms
    );
}

/// Returns a complete body.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Sets `account` to the name of the client account, once that is known.
async fn prepare_and_dispatch(
    state: &Arc<State>,
    source: Source,
    mut parts: Parts,
    headers: RequestHeaders,
    body: Incoming,
    arrived: Time,
    account: &OnceLock<Arc<str>>,
) -> Result<Response<Body>, Rejection> {
    let attempt_id = headers.attempt_id.clone().ok_or(Rejection::Malformed)?;
    let shutdown = state.shutdown();
    if shutdown.is_some_and(|shutdown| arrived >= shutdown.accept_until()) {
        return Err(Rejection::NotRun(SHUTDOWN_RETRY_MS));
    }
    source.catch_up(state).await?;
    let host = request_host(&parts).ok_or(Rejection::Malformed)?;
    let (table, certainty) = current_table(state, host, &parts, &headers, arrived).await?;
    let route = table.select(host, parts.uri.path());
    let route = route.ok_or(Rejection::NoRoute)?;
    source.check_repeats(route)?;
    let client = client::find(
        state,
        &table,
        certainty,
        route,
        source.client.as_ref(),
        &parts.headers,
    )?;
    if let Some(client) = &client {
        account.get_or_init(|| Arc::clone(&client.account.name));
    }
    let limit_ms = headers
        .deadline_ms
        .unwrap_or(u64::MAX)
        .min(route.timeout_ms);
    let mut deadline = arrived.after(limit_ms);
    if let Some(shutdown) = shutdown {
        if !shutdown.may_send(deadline, route.kind.is_idempotent(), arrived) {
            return Err(Rejection::NotRun(SHUTDOWN_RETRY_MS));
        }
        deadline = deadline.min(shutdown.respond_by());
    }
    let time_limit = Duration::from_millis(limit_ms);
    let max_bytes = table.config().limits.max_body_bytes;
    let mut memory = state.memory.reservation();
    let body = tokio::time::timeout(time_limit, read_body(body, max_bytes, &mut memory))
        .await
        .map_err(|_| Rejection::NotRun(NO_UPSTREAM_RETRY_MS))??;
    header::remove_hop_by_hop(&mut parts.headers);
    header::remove_internal(&mut parts.headers);
    let earlier_scope = client::earlier_scope(state, &table, client.as_ref(), &parts.headers);
    if table.config().accounts.is_some() {
        let account = client.as_ref().map(|client| &*client.account.name);
        caller::set_account(&mut parts.headers, account);
    }
    let service = route::select_service(route, split_key(&headers, &attempt_id));
    let service = service.ok_or(Rejection::NotRun(NO_UPSTREAM_RETRY_MS))?;
    let service_config = table.config().services.get(service);
    let mut request = ActiveRequest {
        state: Arc::clone(state),
        parts,
        attempt_id,
        identity: Identity::new(source.caller, body.clone()),
        priority: client
            .as_ref()
            .and_then(|client| client.account.priority)
            .unwrap_or(route.priority),
        scope: client::scope(client.as_ref()),
        earlier_scope,
        client,
        config_version: table.config().version,
        body,
        memory,
        kind: route.kind,
        max_attempts: certainty
            .limit_attempts(route.max_attempts)
            .min(source.max_attempts),
        retention_ms: route.retention_ms.unwrap_or_default(),
        max_event_gap_ms: route.max_event_gap_ms,
        service: Arc::clone(service),
        route: Arc::clone(&route.name),
        engine: service_config.and_then(|service| service.engine.clone()),
        arrived,
        deadline,
        version: None,
        begins_unrecorded: false,
        may_have_begun: source.basis.is_some_and(|basis| basis.possibly_ran > 0),
        stream_span_ms: version_history::stream_span_ms(route.timeout_ms),
        starts_program: false,
        attempts: Attempts::default(),
        tried: Vec::new(),
        previous_upstream: None,
        timings: Timings::default(),
        relayed_by: source.relayed_by,
        is_counted: false,
        permit: None,
        trial: None,
        is_logged: AtomicBool::new(false),
        headers,
    };
    let recheck = |request: &ActiveRequest| {
        let result = client::recheck(&request.state, request.client.as_ref());
        result.inspect_err(|_| request.mark_logged())
    };
    recheck(&request)?;
    suspect::check(&request).inspect_err(|_| request.mark_logged())?;
    let is_outdated = request.relayed_by.is_none() && config_copy::is_outdated(state);
    if is_outdated || state.path().is_lost() {
        return relay_or_reject(request).await;
    }
    if stream_version::lacks_store(&mut request) {
        if request.relayed_by.is_some() {
            return relay_or_reject(request).await;
        }
        match relay::delegate(request).await? {
            Delegation::Answered(response) => return Ok(response),
            Delegation::Returned(returned) => request = *returned,
        }
        stream_version::await_store(&mut request)
            .await
            .inspect_err(|_| request.mark_logged())?;
    }
    let prepared = tokio::try_join!(
        prepare::load_budget(&request),
        prepare::load_transcript(&request, route),
        stream_version::load(&request),
        stream_log::open(&request, route)
    );
    let (budget, transcript, version, stream_log) =
        prepared.inspect_err(|_| request.mark_logged())?;
    recheck(&request)?;
    request.version = version;
    request.timings.loaded_ms = request.elapsed_ms();
    request.previous_upstream = budget
        .as_ref()
        .and_then(|budget| budget.previous_upstream())
        .cloned();
    if let Some(budget) = &budget {
        prepare::check_admission(&request, budget)?;
        request.starts_program = budget.is_new();
    }
    if request.starts_program {
        quota::start_program(&mut request)
            .await
            .inspect_err(|_| request.mark_logged())?;
    }
    let transcript = match transcript {
        Some((mut transcript, upstream)) => {
            request.previous_upstream = upstream.or(request.previous_upstream.take());
            let events = stream_log.as_ref().map_or(&[][..], StreamLog::events);
            let event_bytes: usize = events.iter().map(|event| event.data.len()).sum();
            // The prompt exists twice, as the transcript grows while the prompt is sent, and so do the
            // events that the caller has, in their log.
            let added = 2 * (transcript.prompt().len() + event_bytes);
            if request.memory.grow(added).is_err() {
                request.mark_logged();
                return Err(Rejection::NotRun(MEMORY_RETRY_MS));
            }
            request.body = Bytes::copy_from_slice(transcript.prompt());
            for event in events {
                transcript.push_event(&event.data);
            }
            Some(transcript)
        }
        None => None,
    };
    let turn = Turn {
        transcript,
        stream_log,
    };
    dispatch(request, budget, turn).await
}

/// Returns the configuration in force, and how certain it is that there is no newer one. It is certain
/// that a newer one would not have another route for a request that has none or that continues a turn
/// which its route doesn't retain.
///
/// # Errors
///
/// Returns a rejection if there may be a newer one.
async fn current_table(
    state: &State,
    host: &str,
    parts: &Parts,
    headers: &RequestHeaders,
    arrived: Time,
) -> Result<(Arc<RouteTable>, Certainty), Rejection> {
    let unknown = Rejection::NotRun(START_RETRY_MS);
    let limit_ms = headers.deadline_ms.unwrap_or(CONFIRMATION_LIMIT_MS);
    let deadline = arrived.after(limit_ms.min(CONFIRMATION_LIMIT_MS));
    state.table().ok_or(unknown)?;
    let certainty = config_copy::assess(state, deadline).await;
    let table = state.table().ok_or(unknown)?;
    let route = table.select(host, parts.uri.path());
    let retains_turns = route.is_some_and(|route| route.retention_ms.is_some());
    let may_be_turn = route.is_some_and(|route| route.kind.is_stream()) || headers.is_turn();
    if may_be_turn && !retains_turns && !certainty.allows_unretained_turns() {
        return Err(unknown);
    }
    if headers.previous_turn.is_some() && !retains_turns {
        if !config_copy::confirm(state, arrived, deadline).await {
            return Err(unknown);
        }
        let table = state.table().ok_or(unknown)?;
        return Ok((table, Certainty::Confirmed));
    }
    if route.is_none() && (!certainty.is_confirmed() || state.is_store_down()) {
        return Err(unknown);
    }
    Ok((table, certainty))
}

/// Returns the key by which a split route selects the service: the program id, or else the attempt
/// id.
fn split_key<'a>(headers: &'a RequestHeaders, attempt: &'a str) -> &'a str {
    headers
        .program
        .as_ref()
        .map_or(attempt, |program| &program.id)
}

fn request_host(parts: &Parts) -> Option<&str> {
    let header = header::get_str(&parts.headers, &http::header::HOST);
    header.or_else(|| parts.uri.host())
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    memory: &mut Reservation,
) -> Result<Bytes, Rejection> {
    buffer::collect(body, max_bytes, memory)
        .await
        .map_err(|error| match error {
            CollectError::TooLong => Rejection::TooLong,
            CollectError::Exhausted => Rejection::NotRun(MEMORY_RETRY_MS),
            CollectError::Broken(_) => Rejection::Malformed,
        })
}

/// What is stored of a turn.
#[derive(Debug)]
pub(crate) struct Turn {
    /// Transcript, if the turn is retained.
    pub(crate) transcript: Option<TranscriptBuilder>,
    /// Log of the events, if the turn can also be taken up by its caller.
    pub(crate) stream_log: Option<StreamLog>,
}

async fn dispatch(
    mut request: ActiveRequest,
    mut budget: Option<budget::TurnBudget>,
    turn: Turn,
) -> Result<Response<Body>, Rejection> {
    let mut pending_grant = None;
    let mut reserved = None;
    // An upstream's error, which is the response unless another upstream has a better one.
    let mut server_error = None;
    loop {
        if server_error.is_none() && request.state.path().is_lost() {
            return relay_or_reject(request).await;
        }
        if request.outlasts_shutdown() {
            request.mark_logged();
            return Err(Rejection::NotRun(SHUTDOWN_RETRY_MS));
        }
        if let Err(rejection) = quota::acquire(&mut request).await {
            if let Some(error) = server_error {
                return Ok(complete(&request, error));
            }
            request.mark_logged();
            return Err(request.attempts.after(rejection));
        }
        let Some(placement) = request.place().await else {
            if let Some(error) = server_error {
                return Ok(complete(&request, error));
            }
            if request.lacks_upstreams() {
                return relay_or_reject(request).await;
            }
            request.mark_logged();
            return Err(request.attempts.rejection(request.retry_after_ms()));
        };
        if let Err(rejection) = suspect::admit(&mut request, &placement).await {
            request.mark_logged();
            return Err(request.attempts.after(rejection));
        }
        // The upstream reads the prompt while the store writes the grant.
        if let Some(budget) = budget.take() {
            let is_nearly_spent = budget.is_nearly_spent();
            let grant = budget.grant(Arc::clone(&placement.id));
            if is_nearly_spent {
                // The budget may turn out to be spent, and a turn rejected for that must not have
                // run.
                reserved = Some(
                    grant
                        .await
                        .map_err(|error| reject_ungranted(&request, &error, 0))?,
                );
            } else {
                pending_grant = Some(tokio::spawn(grant));
            }
        }
        let key = placement.key;
        let permit = match quota::spend(&mut request).await {
            Ok(permit) => permit,
            Err(rejection) => {
                if let Some(error) = server_error {
                    return Ok(complete(&request, error));
                }
                request.mark_logged();
                return Err(request.attempts.after(rejection));
            }
        };
        let failure = match run_attempt(&request, &placement).await {
            Ok(AttemptResult::Complete(response)) => {
                if !response.status().is_server_error() {
                    return Ok(complete(&request, (placement, response)));
                }
                let status = response.status();
                let error = format!("{status}");
                attempt::record_failure(&request, &placement.id, Failure::Unknown, &error);
                server_error = Some((placement, response));
                Failure::Unknown
            }
            Ok(AttemptResult::Streaming(stream)) => {
                request.timings.first_event_ms = request.elapsed_ms();
                if let Some(after) = request.headers.last_event {
                    let begun_by = request.headers.resumed_attempt.as_deref();
                    let begun_version = request.version.as_deref().unwrap_or_default();
                    let begun_by = begun_by.unwrap_or_default();
                    request.log_continuation(&placement, after, begun_by, begun_version);
                }
                request.version = Some(Arc::clone(&placement.version));
                // No event is sent before its tokens are granted and any instance could continue
                // the stream. A record that failed may still be stored, so that the stream can't begin
                // at another version.
                let recorded = stream_version::record(&request, &placement.version).await;
                recorded.map_err(|error| reject_unrecorded(&request, &error))?;
                let waited_ms = request
                    .timings
                    .first_event_ms
                    .saturating_sub(request.timings.placed_ms);
                let metrics = &request.state.metrics;
                metrics.first_event(
                    request.timings.first_event_ms,
                    waited_ms,
                    placement.expected_ms,
                );
                if let Some(pending_grant) = pending_grant {
                    reserved = Some(await_grant(&request, pending_grant).await?);
                }
                return Ok(stream.respond(request, placement, reserved, turn));
            }
            Err(failure) => failure,
        };
        if failure.did_not_run() {
            request.permit = permit.map(SpentPermit::restore);
        }
        let decision = request.record_failure(failure);
        if failure == Failure::Interrupted {
            let investigation = crash::investigate(&mut request, key);
            if decision == Decision::Retry {
                crash::wait_for(&request.state, investigation).await;
            }
        }
        if let Decision::Reject(rejection) = decision {
            if let Some(error) = server_error {
                return Ok(complete(&request, error));
            }
            request.mark_logged();
            let is_late = rejection == Rejection::Unknown && request.remaining_ms() == 0;
            return Err(if is_late {
                Rejection::TimedOut
            } else {
                rejection
            });
        }
    }
}

/// Relays a request to another instance, while this one has no path to the upstreams. One that was
/// relayed already is rejected instead.
async fn relay_or_reject(request: ActiveRequest) -> Result<Response<Body>, Rejection> {
    if request.relayed_by.is_none() {
        return relay::forward(request).await;
    }
    request.mark_logged();
    Err(match request.attempts.rejection(NO_UPSTREAM_RETRY_MS) {
        Rejection::NotRun(_) => Rejection::Unreachable,
        other => other,
    })
}

/// Records a complete response and returns it for the caller.
fn complete(
    request: &ActiveRequest,
    (placement, response): (Placement, Response<BufferedBody>),
) -> Response<Body> {
    request.record_completion(&placement, response.status().as_u16(), 0);
    response.map(|body| body.map_err(|never| match never {}).boxed_unsync())
}

/// Result of a successful attempt.
enum AttemptResult {
    /// A complete response.
    Complete(Response<BufferedBody>),
    /// A stream whose first event has arrived.
    Streaming(Box<Stream>),
}

async fn run_attempt(
    request: &ActiveRequest,
    placement: &Placement,
) -> Result<AttemptResult, Failure> {
    let attempt_timeout_ms = request.attempt_timeout_ms(placement);
    let reply = attempt::send(request, placement, None, attempt_timeout_ms).await?;
    if request.kind.is_stream() && reply.head.status.is_success() {
        let stream = Stream::open(request, reply, attempt_timeout_ms).await?;
        return Ok(AttemptResult::Streaming(Box::new(stream)));
    }
    reply
        .collect(request, attempt_timeout_ms)
        .await
        .map(AttemptResult::Complete)
}

/// Waits for the grant of a turn that is already running.
async fn await_grant(
    request: &ActiveRequest,
    pending_grant: JoinHandle<Result<budget::ReservedTokens, GrantError>>,
) -> Result<budget::ReservedTokens, Rejection> {
    let error = match pending_grant.await {
        Ok(Ok(reserved)) => return Ok(reserved),
        Ok(Err(error)) => error,
        Err(error) => GrantError::Store(Error::Unknown(error.to_string())),
    };
    Err(reject_ungranted(request, &error, 1))
}

/// Logs that the version of a stream could not be stored, and returns the rejection.
fn reject_unrecorded(request: &ActiveRequest, error: &Error) -> Rejection {
    request.mark_logged();
    event!(
        request.state.log,
        Event::VersionNotStored,
        "request" => &*request.attempt_id,
        "error" => format!("{error:?}"),
        "ms" => request.elapsed_ms()
    );
    Rejection::Unknown
}

/// Logs a failed grant and returns the rejection of its turn, which was sent to `sent` upstreams.
fn reject_ungranted(request: &ActiveRequest, error: &GrantError, sent: u32) -> Rejection {
    request.mark_logged();
    if let GrantError::Store(error) = error {
        event!(
            request.state.log,
            Event::GrantFailed,
            "request" => &*request.attempt_id,
            "error" => format!("{error:?}"),
            "sent" => sent,
            "ms" => request.elapsed_ms()
        );
    }
    match error {
        _ if sent > 0 => Rejection::Unknown,
        GrantError::Spent => Rejection::BudgetSpent,
        GrantError::Store(_) => Rejection::NotRun(outage::retry_after_hold_ms()),
    }
}
