//! Calls of plain services that may be repeated.

use std::sync::Arc;

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind};

use super::attempt::{self, Admitted, Fault, Tries};
use super::call::Run;
use super::turn::{self, Ended};
use crate::grant::{CallOutcome, Grant};
use crate::service::{Answer, Ask};
use crate::trace::{self, Hop};

/// Runs a call of a plain service that may be repeated.
pub(crate) async fn run(run: Run) {
    let mut tries = Tries::open(&run.shared);
    let answer = loop {
        let number = tries.start();
        let fault = match one(&run, number, tries.avoid()).await {
            Ok(answer) => break answer,
            Err(fault) => fault,
        };
        if let Err(error) = tries.failed(fault) {
            return run.refuse(error).await;
        }
    };
    let ended = Ended {
        outcome: outcome(answer),
        held: 0,
        intended: false,
        next_output: 0,
    };
    turn::finish(run, ended).await;
}

async fn one(run: &Run, number: u32, avoid: &[id::Upstream]) -> Result<Answer, Fault> {
    let Admitted { grant, pass } = attempt::admit(run, 0, avoid).await?;
    let ask = ask(run, number, &grant);
    let sending = run.shared.services.send(&ask, run.service.timeout_ms);
    let sending = trace::span(Hop::Upstream, sending);
    let sent = tokio::select! {
        sent = sending => sent,
        () = run.events.closed() => {
            run.shared.parts.grants.release(grant, CallOutcome::Cancelled);
            pass.abandoned();
            let error = Error::new(Kind::Interrupted, "the caller went away");
            return Err(Fault::last(error, true));
        }
    };
    let grants = &run.shared.parts.grants;
    match sent {
        Ok(answer) if answer.status.is_server_error() => {
            grants.release(grant.clone(), CallOutcome::Failed);
            pass.abandoned();
            let message = format!("the service answered with status {}", answer.status);
            Err(Fault {
                error: Error::new(Kind::UpstreamFailed, message),
                sent: true,
                retry: Some(grant.upstream),
            })
        }
        Ok(answer) => {
            grants.release(
                grant,
                CallOutcome::Completed(basilramp_wire::api::Usage::default()),
            );
            pass.completed();
            Ok(answer)
        }
        Err(failure) => Err(attempt::failed(run, pass, grant, failure).await),
    }
}

/// Returns what is sent for a call.
pub(crate) fn ask(run: &Run, number: u32, grant: &Grant) -> Ask {
    let path = match &run.service.target {
        Target::Plain { path, .. } => path.clone(),
        Target::Model { .. } => String::new(),
    };
    Ask {
        address: grant.address,
        path,
        request: format!("{}/{}/{number}", run.program, run.call.position),
        key: key(run.program, run.call.position),
        body: Arc::from(run.call.input.as_str()),
    }
}

/// Returns the idempotency key of a call, which names it in look-ups.
pub(crate) fn key(program: id::Program, position: u32) -> String {
    format!("{program}.{position}")
}

/// Returns the outcome that an answer stands for.
pub(crate) fn outcome(answer: Answer) -> Outcome {
    let usage = Usage::default();
    if answer.status.is_success() {
        return Outcome {
            state: State::Done,
            output: answer.body,
            usage,
        };
    }
    let text = format!("status {}: {}", answer.status, answer.body);
    Outcome {
        state: State::Failed,
        output: text.into(),
        usage,
    }
}
