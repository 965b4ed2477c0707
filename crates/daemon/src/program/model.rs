//! Calls of models: held tokens, a slot, a streamed answer, and retries.

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_wire::api::{Event, TokenEvent};
use basilramp_wire::config::Target;
use basilramp_wire::engine::{Completion, StreamOptions};
use basilramp_wire::error::{Error, Kind};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use super::attempt::{self, Admitted, Fault};
use super::call::Run;
use super::prompt::{self, Prompt};
use super::turn::{self, Ended};
use super::{refusal, reserve};
use crate::engine::{self, Ask};
use crate::grant::{CallOutcome, Grant};
use crate::trace::{self, Hop};

/// The answer of a model.
struct Answer {
    text: String,
    usage: Usage,
}

/// What a call has come to over its attempts.
struct Progress {
    prompt: Prompt,
    /// Text that the caller has been sent.
    shown: String,
}

/// Runs a call of a model to its end.
pub(crate) async fn run(run: Run) {
    let service = run.service_id();
    let prompt = run.with(|entry| {
        let history = entry.tree.history(run.member)?;
        Some(prompt::build(history, &service, &run.call.input))
    });
    let Some(Some(prompt)) = prompt else {
        return run.refuse(refusal::lost()).await;
    };
    let held = prompt.bound + u64::from(run.call.max_tokens);
    let mut progress = Progress {
        prompt,
        shown: String::new(),
    };
    match attempts(&run, &mut progress, held).await {
        Ok(answer) => {
            let outcome = Outcome {
                state: State::Done,
                output: answer.text.into(),
                usage: answer.usage,
            };
            let next_output = u64::from(run.call.max_tokens);
            let ended = Ended {
                outcome,
                held,
                intended: false,
                next_output,
            };
            turn::finish(run, ended).await;
        }
        Err(error) => run.refuse(error).await,
    }
}

async fn attempts(run: &Run, progress: &mut Progress, held: u64) -> Result<Answer, Error> {
    let mut tries = attempt::Tries::open(&run.shared);
    loop {
        let number = tries.start();
        let fault = match one(run, progress, held, number, tries.avoid()).await {
            Ok(answer) => return Ok(answer),
            Err(fault) => fault,
        };
        tries.failed(fault)?;
    }
}

async fn one(
    run: &Run,
    progress: &mut Progress,
    held: u64,
    number: u32,
    avoid: &[id::Upstream],
) -> Result<Answer, Fault> {
    reserve::hold(&run.shared, run.tree, held).await?;
    let result = granted(run, progress, number, avoid).await;
    if let Err(fault) = &result {
        let spent = if fault.sent { held } else { 0 };
        run.with(|entry| entry.tree.settle_tokens(held, spent));
    }
    result
}

async fn granted(
    run: &Run,
    progress: &mut Progress,
    number: u32,
    avoid: &[id::Upstream],
) -> Result<Answer, Fault> {
    let admitted = attempt::admit(run, progress.prompt.bound, avoid).await?;
    let streaming = stream(run, progress, number, &admitted.grant);
    let streamed = trace::span(Hop::Upstream, streaming).await;
    let Admitted { grant, pass } = admitted;
    let grants = &run.shared.parts.grants;
    match streamed {
        Ok(answer) => {
            grants.release(grant, CallOutcome::Completed(answer.usage.into()));
            pass.completed();
            Ok(answer)
        }
        Err(Broken::Cancelled) => {
            grants.release(grant, CallOutcome::Cancelled);
            pass.abandoned();
            let error = Error::new(Kind::Interrupted, "the caller went away");
            Err(Fault::last(error, true))
        }
        Err(Broken::Diverged) => {
            grants.release(grant, CallOutcome::Cancelled);
            pass.abandoned();
            let message = "the upstream failed part-way and its replacement answered differently";
            Err(Fault::last(Error::new(Kind::UpstreamFailed, message), true))
        }
        Err(Broken::Upstream(failure)) => Err(attempt::failed(run, pass, grant, failure).await),
    }
}

/// How a streamed answer broke off.
enum Broken {
    Cancelled,
    Diverged,
    Upstream(engine::Failure),
}

impl From<engine::Failure> for Broken {
    fn from(failure: engine::Failure) -> Self {
        Self::Upstream(failure)
    }
}

async fn stream(
    run: &Run,
    progress: &mut Progress,
    number: u32,
    grant: &Grant,
) -> Result<Answer, Broken> {
    let deadline = Instant::now() + Duration::from_millis(run.service.timeout_ms);
    let request = request(run, &progress.prompt, number, grant)?;
    let opening = run.shared.engines.complete(request);
    let mut stream = tokio::select! {
        stream = opening => stream?,
        () = run.events.closed() => return Err(Broken::Cancelled),
        () = sleep_until(deadline) => return Err(engine::Failure::TimedOut.into()),
    };
    let max_tokens = u64::from(run.call.max_tokens);
    let worst = Usage {
        prompt: progress.prompt.bound,
        cached: 0,
        output: max_tokens,
    };
    let mut text = String::new();
    let mut usage = None;
    let mut pieces = 0;
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk?,
            () = run.events.closed() => return Err(Broken::Cancelled),
            () = sleep_until(deadline) => return Err(engine::Failure::TimedOut.into()),
        };
        let Some(chunk) = chunk else {
            break;
        };
        usage = chunk.usage.or(usage);
        for piece in chunk
            .choices
            .into_iter()
            .filter_map(|one| one.delta.content)
        {
            if piece.is_empty() {
                continue;
            }
            pieces += 1;
            if pieces > max_tokens {
                return whole(text, worst, &progress.shown);
            }
            text.push_str(&piece);
            show(run, &text, &mut progress.shown, deadline).await?;
        }
    }
    let usage = usage.map(|usage| Usage::from(basilramp_wire::api::Usage::from(usage)));
    let usage = usage.filter(|usage| usage.prompt > 0).unwrap_or(worst);
    whole(text, usage.capped(worst.charged()), &progress.shown)
}

/// Returns the answer, if it is the one that the caller has seen the beginning of.
fn whole(text: String, usage: Usage, shown: &str) -> Result<Answer, Broken> {
    if text.len() < shown.len() {
        return Err(Broken::Diverged);
    }
    Ok(Answer { text, usage })
}

/// Sends the caller what is new in `text`. An attempt that differs from what was sent is given up.
async fn show(run: &Run, text: &str, shown: &mut String, deadline: Instant) -> Result<(), Broken> {
    if shown.starts_with(text) {
        return Ok(());
    }
    let Some(new) = text.strip_prefix(shown.as_str()) else {
        return Err(Broken::Diverged);
    };
    let token = TokenEvent {
        text: new.to_owned(),
    };
    let sending = run.events.send(Event::Token(token));
    match timeout_at(deadline, sending).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) | Err(_) => return Err(Broken::Cancelled),
    }
    shown.push_str(new);
    Ok(())
}

fn request(run: &Run, prompt: &Prompt, number: u32, grant: &Grant) -> Result<Ask, Broken> {
    let Target::Model {
        model,
        adapter,
        version,
    } = &run.service.target
    else {
        return Err(engine::Failure::Unsent.into());
    };
    let mut name = format!("{model}@{version}");
    if let Some(adapter) = adapter {
        name.push('+');
        name.push_str(adapter);
    }
    let completion = Completion {
        model: name,
        messages: prompt.messages.clone(),
        max_tokens: run.call.max_tokens,
        stream: true,
        stream_options: StreamOptions {
            include_usage: true,
        },
        priority: 0,
    };
    Ok(Ask {
        address: grant.address,
        request: format!("{}/{}/{number}", run.program, run.call.position),
        holder: run.program.to_string(),
        completion,
    })
}
