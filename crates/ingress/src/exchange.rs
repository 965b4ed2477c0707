//! One attempt at an upstream.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::connection::Sender;
use basilramp_adapter::header;
use basilramp_adapter::upstream::{self, ConnectionReuse, ForwardParameters, ResponseClass};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::fleet::{Key, Outcome};
use basilramp_core::dispatch::place::Choice;
use basilramp_process::event;
use bytes::Bytes;
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::job::Job;
use crate::log_event::Event;
use crate::state::State;

/// The longest whole answer that is held before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// Work under way at an upstream; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    state: Arc<State>,
    key: Key,
    unread: u64,
    outcome: Outcome,
    began: Time,
    expected_ms: f64,
}

impl Lease {
    /// Notes that the prompt has been read.
    pub(crate) fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.state.fleet().prompt_read(self.key, unread);
        }
    }

    /// Notes the first part of an answer; its time compares the upstream with others.
    pub(crate) fn answered(&mut self) {
        let ms = self.state.now().since(self.began) as f64;
        let ratio = (self.expected_ms > 0.0).then(|| ms / self.expected_ms);
        self.outcome = Outcome::Answered { ratio };
        self.prompt_read();
    }

    /// Notes how the attempt went.
    pub(crate) const fn fail(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.prompt_read();
        let now = self.state.now();
        self.state.fleet().end(self.key, self.outcome, now);
    }
}

/// The head of an upstream's answer, and what its body comes from.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
    pub(crate) upstream: Arc<str>,
    sender: Sender,
    reuse: ConnectionReuse,
}

/// Sends a request to the upstream that was chosen, and waits for the head of its answer.
///
/// # Errors
///
/// Says whether the request may have run.
pub(crate) async fn send(
    job: &Job,
    choice: &Choice,
    last_event: Option<u64>,
    limit_ms: u64,
) -> Result<Reply, Failure> {
    let state = &job.state;
    let now = state.now();
    let mut lease = begin(job, choice, now);
    let result = exchange(job, choice, last_event, limit_ms).await;
    let (head, body, sender) = match result {
        Ok(answer) => answer,
        Err((failure, error)) => {
            lease.fail(Outcome::Failed);
            failed(job, &choice.id, failure, &error);
            return Err(failure);
        }
    };
    let reuse = upstream::parse_reuse(&head);
    let (failure, outcome) = match upstream::classify_response(&head, &job.attempt) {
        ResponseClass::Matching => {
            return Ok(Reply {
                head,
                body,
                lease,
                upstream: Arc::clone(&choice.id),
                sender,
                reuse,
            });
        }
        ResponseClass::NotRun => (Failure::NotRun, Outcome::Full),
        ResponseClass::OtherUpstream => (Failure::OtherUpstream, Outcome::Displaced),
        ResponseClass::Mismatched => (Failure::Unknown, Outcome::Failed),
    };
    lease.fail(outcome);
    failed(
        job,
        &choice.id,
        failure,
        &format!("{} {failure:?}", head.status),
    );
    if failure == Failure::NotRun && drain(body).await {
        state.pool.put(choice.key, sender, reuse, state.now());
    }
    Err(failure)
}

type Answer = (response::Parts, Incoming, Sender);

async fn exchange(
    job: &Job,
    choice: &Choice,
    last_event: Option<u64>,
    limit_ms: u64,
) -> Result<Answer, (Failure, String)> {
    let state = &job.state;
    let not_sent = |error: String| (Failure::NotSent, error);
    let address = state
        .fleet()
        .get(choice.key)
        .map(|entry| entry.upstream.address);
    let address = address.ok_or_else(|| not_sent("upstream left".into()))?;
    let may_repeat = job.kind.is_idempotent();
    let mut sender = state
        .pool
        .get(choice.key, address, may_repeat, job.left_ms(), state.now())
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    sender
        .ready()
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let order = ForwardParameters {
        upstream: &choice.id,
        deadline_ms: job.left_ms(),
        last_event_id: last_event,
    };
    let request = upstream::build_request(&job.parts, job.body.clone(), &order);
    let limit = Duration::from_millis(limit_ms.min(job.left_ms()));
    match tokio::time::timeout(limit, sender.try_send_request(request)).await {
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

fn begin(job: &Job, choice: &Choice, now: Time) -> Lease {
    let state = &job.state;
    let mut fleet = state.fleet();
    fleet.begin(choice.key, &job.call.prompt, choice.unread, now);
    Lease {
        state: Arc::clone(state),
        key: choice.key,
        unread: choice.unread,
        outcome: Outcome::Abandoned,
        began: now,
        expected_ms: choice.expected_ms,
    }
}

/// Counts and logs a failed attempt.
pub(crate) fn failed(job: &Job, upstream: &str, failure: Failure, error: &str) {
    job.state.metrics.attempt_failed(failure);
    if !job.state.admits(Event::AttemptFailed) {
        return;
    }
    event!(
        job.state.log,
        Event::AttemptFailed,
        "request" => &*job.attempt,
        "upstream" => upstream.to_owned(),
        "ran" => if failure.is_harmless() { "no" } else { "unknown" },
        "left_ms" => job.left_ms(),
        "error" => error.to_owned()
    );
}

/// Reads what a refusal says, so that its connection can be used again.
async fn drain(body: Incoming) -> bool {
    Limited::new(body, MAX_ANSWER_BYTES).collect().await.is_ok()
}

impl Reply {
    /// Reads the whole answer, and keeps the connection.
    ///
    /// # Errors
    ///
    /// Fails if the answer breaks off or comes too late.
    pub(crate) async fn collect(
        mut self,
        job: &Job,
        limit_ms: u64,
    ) -> Result<Response<Bytes>, Failure> {
        let limit = Duration::from_millis(limit_ms.min(job.left_ms()));
        let body = Limited::new(self.body, MAX_ANSWER_BYTES).collect();
        let error = match tokio::time::timeout(limit, body).await {
            Ok(Ok(body)) => {
                self.lease.answered();
                let is_done = self.head.status.is_success();
                if is_done {
                    let state = &job.state;
                    state
                        .pool
                        .put(self.lease.key, self.sender, self.reuse, state.now());
                }
                header::remove_hop_by_hop(&mut self.head.headers);
                return Ok(Response::from_parts(self.head, body.to_bytes()));
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no whole answer in time".into(),
        };
        self.lease.fail(Outcome::Failed);
        failed(job, &self.upstream, Failure::Unknown, &error);
        Err(Failure::Unknown)
    }

    /// Ends a stream whose body was read to its end, and keeps the connection.
    pub(crate) fn finish(self) {
        let state = Arc::clone(&self.lease.state);
        state
            .pool
            .put(self.lease.key, self.sender, self.reuse, state.now());
    }
}
