//! One request, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use basilramp_adapter::store::Error;
use basilramp_adapter::{header, ingress};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::{Failure, Next, Tries};
use basilramp_core::dispatch::call::{Head, Refusal};
use basilramp_core::dispatch::config::{Engine, Kind, Route};
use basilramp_core::dispatch::fleet::Key;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::place::{self, Ask, Choice, Prompt};
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
use crate::log_event::Event;
use crate::metric::Outcome;
use crate::state::State;
use crate::stream::Stream;
use crate::{exchange, history};

/// When a caller may come back that was refused since no upstream took its request.
const FULL_RETRY_MS: u64 = 250;

/// When a caller may come back that was refused since no configuration is known yet.
const START_RETRY_MS: u64 = 300;

/// Time after which a repeatable request is sent to another upstream, in milliseconds: several
/// times what the slowest plain call takes at a sound one.
const REPEAT_AFTER_MS: u64 = 400;

/// Time after which a resumable stream without its first event goes to another upstream, beyond
/// twice what was expected.
const RESUME_AFTER_MS: u64 = 1_200;

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

/// A request under way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) state: Arc<State>,
    /// The head to pass on, without what concerns one connection.
    pub(crate) parts: Parts,
    pub(crate) call: Head,
    pub(crate) attempt: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) kind: Kind,
    pub(crate) max_attempts: u32,
    pub(crate) service: Arc<str>,
    pub(crate) engine: Option<Engine>,
    pub(crate) arrived: Time,
    pub(crate) ends: Time,
    /// How urgent its route is; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) tries: Tries,
    tried: Vec<Key>,
    /// The upstream of the turn before.
    last: Option<Arc<str>>,
    pub(crate) times: Times,
    /// Its end is in the log.
    is_told: AtomicBool,
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.is_told.load(Ordering::Relaxed) {
            return;
        }
        let ms = self.elapsed_ms();
        self.state
            .metrics
            .request(&self.service, Outcome::CallerLeft, ms);
        if self.state.admits(Event::CallerLeft) {
            event!(
                self.state.log,
                Event::CallerLeft,
                "request" => &*self.attempt,
                "attempts" => self.tried.len(),
                "ms" => ms
            );
        }
    }
}

/// When the steps of a request were done, in milliseconds from its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// The program's budget and the turns before were at hand.
    loaded: u64,
    /// The last attempt was placed.
    placed: u64,
    /// The first event came.
    pub(crate) first: u64,
    /// The last event came.
    pub(crate) last: u64,
}

impl Job {
    /// Returns the milliseconds that are left to the caller.
    pub(crate) fn left_ms(&self) -> u64 {
        self.ends.since(self.state.now())
    }

    /// Returns the line of turns that the request belongs to.
    fn line(&self) -> Arc<str> {
        let program = self.call.program.as_ref();
        program.map_or_else(
            || Arc::clone(&self.attempt),
            |program| Arc::clone(&program.line),
        )
    }

    /// Returns the milliseconds since the request arrived.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.state.now().since(self.arrived)
    }

    /// Notes that the log says how the request ended.
    pub(crate) fn told(&self) {
        self.is_told.store(true, Ordering::Relaxed);
    }

    /// Logs that the caller has its whole answer.
    pub(crate) fn answered(&self, choice: &Choice, status: u16, events: u64) {
        self.told();
        self.state
            .metrics
            .request(&self.service, Outcome::Answered, self.elapsed_ms());
        if !self.state.admits(Event::Answered) {
            return;
        }
        let program = self.call.program.as_ref();
        event!(
            self.state.log,
            Event::Answered,
            "request" => &*self.attempt,
            "program" => program.map_or("", |program| &*program.id),
            "service" => &*self.service,
            "rank" => self.rank,
            "upstream" => &*choice.id,
            "status" => status,
            "attempts" => self.tried.len(),
            "prompt_tokens" => self.call.prompt_tokens,
            "unread_tokens" => choice.unread,
            "expected_ms" => choice.expected_ms,
            "events" => events,
            "loaded_ms" => self.times.loaded,
            "placed_ms" => self.times.placed,
            "first_ms" => self.times.first,
            "last_ms" => self.times.last,
            "ms" => self.elapsed_ms()
        );
    }

    /// Picks the upstream of the next attempt.
    pub(crate) fn pick(&mut self) -> Option<Choice> {
        let program = self.call.program.as_ref();
        let ask = Ask {
            service: &self.service,
            prompt: self.engine.as_ref().map(|_| Prompt {
                tokens: u64::from(self.call.prompt_tokens),
                parts: &self.call.prompt,
            }),
            subject: match self.engine {
                Some(_) => program.map(|program| &*program.id),
                None => self.call.affinity.as_deref(),
            },
            last: self.last.as_deref(),
            failure_domain: &self.state.settings.failure_domain,
            tried: &self.tried,
        };
        let now = self.state.now();
        let choice = place::pick(&self.state.fleet(), &ask, now, rand::random())?;
        self.tried.push(choice.key);
        self.times.placed = self.elapsed_ms();
        Some(choice)
    }

    /// Notes a failed attempt, and returns what follows.
    pub(crate) fn after(&mut self, failure: Failure) -> Next {
        self.tries.note(failure);
        let left_ms = self.left_ms();
        self.tries
            .next(self.kind, self.max_attempts, left_ms, FULL_RETRY_MS)
    }

    /// Returns how long an attempt may take until another one is better.
    fn patience_ms(&self, choice: &Choice) -> u64 {
        let may_repeat = self.tries.ran + 1 < self.max_attempts;
        match self.kind {
            Kind::Safe if may_repeat => REPEAT_AFTER_MS,
            Kind::ResumableStream if may_repeat => RESUME_AFTER_MS + 2 * choice.expected_ms as u64,
            _ => u64::MAX,
        }
    }
}

/// Serves a request of a caller.
pub(crate) async fn serve(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let (parts, body) = request.into_parts();
    let call = ingress::read(&parts.headers);
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
            ingress::answer(refusal, id).map(whole)
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
    header::strip_hop(&mut parts.headers);
    header::strip_internal(&mut parts.headers);
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
    let line = job.call.program.as_ref().map(|program| &*program.line);
    let last = account
        .as_ref()
        .zip(line)
        .and_then(|(account, line)| account.last(line));
    job.last = last.cloned();
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
    let header = header::text(&parts.headers, &http::header::HOST);
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
    budget::look_up(&job.state, &program.id, budget, most, job.ends)
        .await
        .map(Some)
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
            let grant = account.grant(job.line(), Arc::clone(&choice.id));
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
