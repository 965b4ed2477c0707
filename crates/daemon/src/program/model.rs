//! Calls of models.
//!
//! Each attempt allocates tokens of the budget, acquires a slot and streams the response to the
//! caller. A retry must produce the text that the caller has already received.

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_wire::api::{Event, TokenEvent};
use basilramp_wire::config::Target;
use basilramp_wire::engine::{Completion, StreamOptions};
use basilramp_wire::error::{Error, Kind};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use super::attempt::{self, Admitted, FailedAttempt};
use super::call::ActiveCall;
use super::prompt::{self, Prompt};
use super::reservation;
use super::turn::{self, CompletedCall};
use crate::engine::{self, CompletionRequest};
use crate::grant::{CallOutcome, Grant};
use crate::trace::{self, Hop};

/// The complete response of a model.
struct Response {
    text: String,
    usage: Usage,
}

/// State of a call that is shared by its attempts.
struct Progress {
    prompt: Prompt,
    /// Text that was sent to the caller.
    sent_text: String,
}

/// Runs a call of a model.
pub(crate) async fn run(active: ActiveCall) {
    let service = active.service_id();
    let prompt = active.with_tree(|loaded| {
        let history = loaded.tree.history(active.member)?;
        Some(prompt::build(history, &service, &active.call.input))
    });
    let Some(Some(prompt)) = prompt else {
        let cause = "the program was unloaded before its prompt was read";
        let error = active.shared.program_lost(active.program, cause);
        return active.abandon_with_error(error).await;
    };
    let allocated_tokens = prompt.max_tokens + u64::from(active.call.max_tokens);
    let mut progress = Progress {
        prompt,
        sent_text: String::new(),
    };
    match run_attempts(&active, &mut progress, allocated_tokens).await {
        Ok(response) => {
            let outcome = Outcome {
                state: State::Done,
                output: response.text.into(),
                usage: response.usage,
            };
            let next_output_tokens = u64::from(active.call.max_tokens);
            let completed = CompletedCall {
                outcome,
                allocated_tokens,
                has_intent: false,
                next_output_tokens,
            };
            turn::finish(active, completed).await;
        }
        Err(error) => active.abandon_with_error(error).await,
    }
}

async fn run_attempts(
    active: &ActiveCall,
    progress: &mut Progress,
    allocated_tokens: u64,
) -> Result<Response, Error> {
    let mut attempts = attempt::Attempts::new(&active.shared);
    loop {
        let attempt_number = attempts.start_next();
        let failure = match run_attempt(
            active,
            progress,
            allocated_tokens,
            attempt_number,
            attempts.failed_upstreams(),
        )
        .await
        {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        attempts.record_failure(failure)?;
    }
}

async fn run_attempt(
    active: &ActiveCall,
    progress: &mut Progress,
    allocated_tokens: u64,
    attempt_number: u32,
    failed_upstreams: &[id::Upstream],
) -> Result<Response, FailedAttempt> {
    reservation::allocate_tokens(&active.shared, active.tree, allocated_tokens).await?;
    let result = run_with_grant(active, progress, attempt_number, failed_upstreams).await;
    if let Err(failure) = &result {
        let spent = if failure.may_have_run {
            allocated_tokens
        } else {
            0
        };
        active.with_tree(|loaded| loaded.tree.settle_tokens(allocated_tokens, spent));
    }
    result
}

async fn run_with_grant(
    active: &ActiveCall,
    progress: &mut Progress,
    attempt_number: u32,
    failed_upstreams: &[id::Upstream],
) -> Result<Response, FailedAttempt> {
    let admitted = attempt::admit(active, progress.prompt.max_tokens, failed_upstreams).await?;
    let streaming = stream(active, progress, attempt_number, &admitted.grant);
    let result = trace::in_child_span(Hop::Upstream, streaming).await;
    let Admitted { grant, permit } = admitted;
    let grants = &active.shared.dependencies.grants;
    match result {
        Ok(response) => {
            grants.release(grant, CallOutcome::Completed(response.usage.into()));
            permit.complete();
            Ok(response)
        }
        Err(StreamFailure::Cancelled) => {
            grants.release(grant, CallOutcome::Cancelled);
            permit.abandon();
            let error = Error::new(Kind::Interrupted, "the caller disconnected");
            Err(FailedAttempt::without_retry(error, true))
        }
        Err(StreamFailure::Diverged) => {
            grants.release(grant, CallOutcome::Cancelled);
            permit.abandon();
            let message =
                "the upstream failed during the response and a retry returned a different text";
            Err(FailedAttempt::without_retry(
                Error::new(Kind::UpstreamFailed, message),
                true,
            ))
        }
        Err(StreamFailure::Upstream(failure)) => {
            Err(attempt::handle_failure(active, permit, grant, failure).await)
        }
    }
}

/// The reason why a streamed response is incomplete.
enum StreamFailure {
    Cancelled,
    Diverged,
    Upstream(engine::Failure),
}

impl From<engine::Failure> for StreamFailure {
    fn from(failure: engine::Failure) -> Self {
        Self::Upstream(failure)
    }
}

async fn stream(
    active: &ActiveCall,
    progress: &mut Progress,
    attempt_number: u32,
    grant: &Grant,
) -> Result<Response, StreamFailure> {
    let deadline = Instant::now() + Duration::from_millis(active.service.timeout_ms);
    let request = build_request(active, &progress.prompt, attempt_number, grant)?;
    let opening = active.shared.engines.complete(request);
    let mut stream = tokio::select! {
        stream = opening => stream?,
        () = active.events.closed() => return Err(StreamFailure::Cancelled),
        () = sleep_until(deadline) => return Err(engine::Failure::TimedOut.into()),
    };
    let max_tokens = u64::from(active.call.max_tokens);
    let max_usage = Usage {
        prompt: progress.prompt.max_tokens,
        cached: 0,
        output: max_tokens,
    };
    let mut text = String::new();
    let mut usage = None;
    let mut token_count = 0;
    loop {
        let chunk = tokio::select! {
            chunk = stream.next_chunk() => chunk?,
            () = active.events.closed() => return Err(StreamFailure::Cancelled),
            () = sleep_until(deadline) => return Err(engine::Failure::TimedOut.into()),
        };
        let Some(chunk) = chunk else {
            break;
        };
        usage = chunk.usage.or(usage);
        for piece in chunk
            .choices
            .into_iter()
            .filter_map(|choice| choice.delta.content)
        {
            if piece.is_empty() {
                continue;
            }
            token_count += 1;
            if token_count > max_tokens {
                return finish_response(text, max_usage, &progress.sent_text);
            }
            text.push_str(&piece);
            send_new_text(active, &text, &mut progress.sent_text, deadline).await?;
        }
    }
    let usage = usage.map(|usage| Usage::from(basilramp_wire::api::Usage::from(usage)));
    let usage = usage.filter(|usage| usage.prompt > 0).unwrap_or(max_usage);
    finish_response(text, usage.capped(max_usage.charged()), &progress.sent_text)
}

/// Returns the response, unless it is shorter than the text that the caller has received.
fn finish_response(text: String, usage: Usage, sent_text: &str) -> Result<Response, StreamFailure> {
    if text.len() < sent_text.len() {
        return Err(StreamFailure::Diverged);
    }
    Ok(Response { text, usage })
}

/// Sends the new part of `text` to the caller. Fails if `text` differs from what was sent before.
async fn send_new_text(
    active: &ActiveCall,
    text: &str,
    sent_text: &mut String,
    deadline: Instant,
) -> Result<(), StreamFailure> {
    if sent_text.starts_with(text) {
        return Ok(());
    }
    let Some(new_text) = text.strip_prefix(sent_text.as_str()) else {
        return Err(StreamFailure::Diverged);
    };
    let token = TokenEvent {
        text: new_text.to_owned(),
    };
    let sending = active.events.send(Event::Token(token));
    match timeout_at(deadline, sending).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) | Err(_) => return Err(StreamFailure::Cancelled),
    }
    sent_text.push_str(new_text);
    Ok(())
}

fn build_request(
    active: &ActiveCall,
    prompt: &Prompt,
    attempt_number: u32,
    grant: &Grant,
) -> Result<CompletionRequest, StreamFailure> {
    let Target::Model {
        model,
        adapter,
        version,
    } = &active.service.target
    else {
        return Err(engine::Failure::NotSent.into());
    };
    let mut name = format!("{model}@{version}");
    if let Some(adapter) = adapter {
        name.push('+');
        name.push_str(adapter);
    }
    let completion = Completion {
        model: name,
        messages: prompt.messages.clone(),
        max_tokens: active.call.max_tokens,
        stream: true,
        stream_options: StreamOptions {
            include_usage: true,
        },
        priority: 0,
    };
    Ok(CompletionRequest {
        address: grant.address,
        attempt_id: format!(
            "{}/{}/{attempt_number}",
            active.program, active.call.position
        ),
        holder: active.program.to_string(),
        body: completion,
    })
}
