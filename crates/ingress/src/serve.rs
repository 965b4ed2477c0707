//! One request, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use basilramp_adapter::store::Error;
use basilramp_adapter::{caller, header};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::{Failure, Next, Tries};
use basilramp_core::dispatch::call::{Head, Refusal};
use basilramp_core::dispatch::config::Route;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::place::Choice;
use basilramp_core::dispatch::route;
use basilramp_core::dispatch::transcript::Draft;
use basilramp_process::event;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use crate::budget::{self, Denied};
use crate::job::{FULL_RETRY_MS, Job, Times};
use crate::log_event::Event;
use crate::metric::Outcome;
use crate::state::State;
use crate::stream::Stream;
use crate::{exchange, history};

/// When a caller may come back that was refused since no configuration is known yet.
const START_RETRY_MS: u64 = 300;

/// When a caller may come back that met an instance at the end of its stop: at once, as its next
/// connection mostly leads to another one.
const CLOSING_RETRY_MS: u64 = 50;

/// The answer's body.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// The answer broke off.
#[derive(Debug)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// Serves a request of a caller.
pub(crate) async fn serve(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let (parts, body) = request.into_parts();
    let call = caller::parse_headers(&parts.headers);
    let attempt = call.attempt.clone();
    // The length of a chunked body is the sender's word alone; what follows it on the
    // connection is not read, lest it is part of another request's body.
    let is_chunked = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let result = accept(&state, parts, call, body, arrived).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let id = attempt.as_deref();
            refused(&state, id, refusal, arrived);
            caller::error_response(refusal, id).map(whole)
        }
    };
    // Without the store, the caller's next connection mostly leads to a better instance.
    if is_chunked || state.is_store_down() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

fn refused(state: &State, attempt: Option<&str>, refusal: Refusal, arrived: Time) {
    let ms = state.now().since(arrived);
    state.metrics.request("", Outcome::Refused(refusal), ms);
    if !state.admits(Event::Refused) {
        return;
    }
    event!(
        state.log,
        Event::Refused,
        "request" => attempt.unwrap_or_default().to_owned(),
        "refusal" => format!("{refusal:?}"),
        "store_down_ms" => state.store_down_ms(),
        "ms" => ms
    );
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

async fn accept(
    state: &Arc<State>,
    mut parts: Parts,
    call: Head,
    body: Incoming,
    arrived: Time,
) -> Result<Response<Body>, Refusal> {
    let attempt = call.attempt.clone().ok_or(Refusal::Malformed)?;
    if state.is_closing() {
        return Err(Refusal::NotRun(CLOSING_RETRY_MS));
    }
    let table = state.table().ok_or(Refusal::NotRun(START_RETRY_MS))?;
    let host = host(&parts).ok_or(Refusal::Malformed)?;
    let route = table
        .select(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let limit_ms = call.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let ends = arrived.after(limit_ms);
    let left = Duration::from_millis(limit_ms);
    let max_bytes = table.config().limits.body_bytes;
    let body = tokio::time::timeout(left, read(body, max_bytes))
        .await
        .map_err(|_| Refusal::NotRun(FULL_RETRY_MS))??;
    header::remove_hop_by_hop(&mut parts.headers);
    header::remove_internal(&mut parts.headers);
    let service = route::service(route, subject(&call, &attempt));
    let service = service.ok_or(Refusal::NotRun(FULL_RETRY_MS))?;
    let known = table.config().services.get(service);
    let mut job = Job {
        state: Arc::clone(state),
        parts,
        attempt,
        body,
        kind: route.kind,
        max_attempts: route.max_attempts,
        retention_ms: route.retention_ms.unwrap_or_default(),
        service: Arc::clone(service),
        engine: known.and_then(|service| service.engine.clone()),
        arrived,
        ends,
        tries: Tries::default(),
        tried: Vec::new(),
        last: None,
        times: Times::default(),
        is_told: AtomicBool::new(false),
        rank: route.rank,
        call,
    };
    let prepared = tokio::try_join!(look_up_budget(&job), load_history(&job, route));
    let (account, draft) = prepared.inspect_err(|_| job.told())?;
    job.times.loaded = job.elapsed_ms();
    job.last = account.as_ref().and_then(|account| account.last()).cloned();
    if let Some(account) = &account {
        enter(&job, account)?;
    }
    let draft = draft.map(|(draft, upstream)| {
        job.last = upstream.or(job.last.take());
        job.body = Bytes::copy_from_slice(draft.prompt());
        draft
    });
    dispatch(job, account, draft).await
}

/// Returns what a split route keeps together: a program, or else the attempt alone.
fn subject<'a>(call: &'a Head, attempt: &'a str) -> &'a str {
    call.program.as_ref().map_or(attempt, |program| &program.id)
}

fn host(parts: &Parts) -> Option<&str> {
    let header = header::get_str(&parts.headers, &http::header::HOST);
    header.or_else(|| parts.uri.host())
}

async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLong),
        Err(_) => Err(Refusal::Malformed),
    }
}

async fn look_up_budget(job: &Job) -> Result<Option<budget::Account>, Refusal> {
    let Some(program) = job.call.program.as_ref().filter(|_| job.kind.is_stream()) else {
        return Ok(None);
    };
    let Some(budget) = program.budget else {
        return Ok(None);
    };
    let most = u64::from(job.call.most_output);
    budget::look_up(&job.state, program, budget, most, job.ends)
        .await
        .map(Some)
}

/// Lets a new program in, or turns it away before anything of it has run.
fn enter(job: &Job, account: &budget::Account) -> Result<(), Refusal> {
    let Some(program) = job.call.program.as_ref().filter(|_| account.is_new()) else {
        return Ok(());
    };
    let state = &job.state;
    let now = state.now();
    let refused = state
        .door()
        .refuses(&job.service, &program.id, rand::random(), now);
    let Some(retry_ms) = refused else {
        return Ok(());
    };
    job.told();
    if state.admits(Event::TurnedAway) {
        let slowdown = state.door().slowdown(&job.service, now);
        event!(
            state.log,
            Event::TurnedAway,
            "request" => &*job.attempt,
            "program" => &*program.id,
            "service" => &*job.service,
            "slowdown" => slowdown,
            "retry_ms" => retry_ms
        );
    }
    Err(Refusal::NotRun(retry_ms))
}

/// Returns the start of the turn's transcript, and the upstream of the turn before.
async fn load_history(
    job: &Job,
    route: &Route,
) -> Result<Option<(Draft, Option<Arc<str>>)>, Refusal> {
    if route.retention_ms.is_none() {
        return Ok(None);
    }
    let earlier = match &job.call.previous {
        Some(previous) => Some(history::load(&job.state, previous, job.ends).await?),
        None => None,
    };
    let transcript = earlier.as_ref().map(|turn| &*turn.transcript);
    let draft = Draft::new(transcript, &job.body);
    Ok(Some((draft, earlier.map(|turn| turn.upstream))))
}

async fn dispatch(
    mut job: Job,
    mut account: Option<budget::Account>,
    draft: Option<Draft>,
) -> Result<Response<Body>, Refusal> {
    let mut granting = None;
    let mut taken = None;
    loop {
        let Some(choice) = job.pick() else {
            job.told();
            return Err(job.tries.refusal(FULL_RETRY_MS));
        };
        // The upstream reads the prompt while the store takes the grant.
        if let Some(account) = account.take() {
            let is_near_end = account.is_near_end();
            let grant = account.grant(Arc::clone(&choice.id));
            if is_near_end {
                // It may find the budget spent, and a turn that is told so must not have run.
                taken = Some(grant.await.map_err(|error| ungranted(&job, &error, 0))?);
            } else {
                granting = Some(tokio::spawn(grant));
            }
        }
        let failure = match attempt(&job, &choice).await {
            Ok(Attempt::Whole(response)) => {
                job.answered(&choice, response.status().as_u16(), 0);
                return Ok(response.map(whole));
            }
            Ok(Attempt::Begun(stream)) => {
                job.times.first = job.elapsed_ms();
                let waited_ms = job.times.first.saturating_sub(job.times.placed);
                let metrics = &job.state.metrics;
                metrics.first_event(job.times.first, waited_ms, choice.expected_ms);
                if let Some(granting) = granting {
                    // No event goes out before its tokens are granted.
                    taken = Some(granted(&job, granting).await?);
                }
                return Ok(stream.respond(job, choice, taken, draft));
            }
            Err(failure) => failure,
        };
        if let Next::Give(refusal) = job.after(failure) {
            job.told();
            let is_late = refusal == Refusal::Unknown && job.left_ms() == 0;
            return Err(if is_late { Refusal::TimedOut } else { refusal });
        }
    }
}

/// What an attempt came to.
enum Attempt {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream whose first event has come.
    Begun(Box<Stream>),
}

async fn attempt(job: &Job, choice: &Choice) -> Result<Attempt, Failure> {
    let patience_ms = job.patience_ms(choice);
    let reply = exchange::send(job, choice, None, patience_ms).await?;
    if job.kind.is_stream() && reply.head.status.is_success() {
        let stream = Stream::first(job, reply, patience_ms).await?;
        return Ok(Attempt::Begun(Box::new(stream)));
    }
    reply.collect(job, patience_ms).await.map(Attempt::Whole)
}

/// Waits for the grant of a turn that has begun to run.
async fn granted(
    job: &Job,
    granting: JoinHandle<Result<budget::Taken, Denied>>,
) -> Result<budget::Taken, Refusal> {
    let denied = match granting.await {
        Ok(Ok(taken)) => return Ok(taken),
        Ok(Err(denied)) => denied,
        Err(error) => Denied::Store(Error::Unknown(error.to_string())),
    };
    Err(ungranted(job, &denied, 1))
}

/// Returns the answer to a turn without a grant that was sent to `sent` upstreams.
fn ungranted(job: &Job, denied: &Denied, sent: u32) -> Refusal {
    job.told();
    if let Denied::Store(error) = denied {
        event!(
            job.state.log,
            Event::GrantFailed,
            "request" => &*job.attempt,
            "error" => format!("{error:?}"),
            "sent" => sent,
            "ms" => job.elapsed_ms()
        );
    }
    match denied {
        _ if sent > 0 => Refusal::Unknown,
        Denied::Spent => Refusal::BudgetSpent,
        Denied::Store(_) => Refusal::NotRun(outage::retry_after_hold_ms()),
    }
}
