//! Calls that may not be repeated: a durable intent, one send, a durable outcome.

use std::sync::Arc;

use basilramp_wire::api::{Event as Answered, Usage};
use basilramp_wire::error::{Error, Kind};

use super::attempt::{self, Admitted};
use super::call::Run;
use super::reserve::{self, Queued, Reserve};
use super::shelf::Entry;
use super::turn::{self, Ended, Place};
use super::{Shared, plain, refusal, row, settle};
use crate::commit::Failure;
use crate::engine;
use crate::grant::{CallOutcome, Grant};
use crate::log::{Event, event};
use crate::service::Answer;
use crate::trace::{self, Hop};

/// Looks at the service's status of a call that broke off, before the caller is told of the doubt.
const LOOK_UPS: u32 = 3;

/// Milliseconds between those looks.
const LOOK_UP_PAUSE_MS: u64 = 200;

/// Runs a call that may not be repeated.
///
/// Once its intent is written the call goes on to its outcome even if the caller goes away.
pub(crate) async fn run(run: Run) {
    let Admitted { grant, pass } = match attempt::admit(&run, 0, &[]).await {
        Ok(admitted) => admitted,
        Err(error) => return run.refuse(error).await,
    };
    let grants = run.shared.parts.grants.clone();
    let position = match intend(&run).await {
        Ok(position) => position,
        Err(error) => {
            grants.release(grant, CallOutcome::Cancelled);
            pass.abandoned();
            let _ = run.events.send(Answered::Error(error)).await;
            return;
        }
    };
    if !owned(&run) {
        grants.release(grant, CallOutcome::Cancelled);
        pass.abandoned();
        withdraw(&run.shared, run.place(), position);
        let error = refusal::unsent(&Failure::Fenced);
        let _ = run.events.send(Answered::Error(error)).await;
        return;
    }
    match send(&run, &grant).await {
        Ok(answer) => {
            grants.release(grant, CallOutcome::Completed(Usage::default()));
            pass.completed();
            let ended = Ended {
                outcome: plain::outcome(answer),
                held: 0,
                intended: true,
                next_output: 0,
            };
            turn::finish(run, ended).await;
        }
        Err(engine::Failure::Unsent) => {
            grants.release(grant, CallOutcome::Failed);
            pass.abandoned();
            withdraw(&run.shared, run.place(), position);
            let error = Error::new(Kind::UpstreamUnavailable, "the upstream was not reached");
            let _ = run.events.send(Answered::Error(error)).await;
        }
        Err(failure) => {
            let probe = attempt::probe(&run, &grant);
            grants.release(grant, CallOutcome::Failed);
            if failure == engine::Failure::Broken {
                attempt::broken(&run, pass, probe).await;
            } else {
                pass.abandoned();
            }
            doubt(run, position).await;
        }
    }
}

/// Sends the call, once, on a connection of its own.
async fn send(run: &Run, grant: &Grant) -> Result<Answer, engine::Failure> {
    let ask = plain::ask(run, 1, grant);
    let services = &run.shared.services;
    let sending = services.send_once(&ask, run.service.timeout_ms);
    trace::span(Hop::Upstream, sending).await
}

/// Makes the intent durable and returns its position.
///
/// On an error nothing was sent, and nothing will be: either the intent does not exist, or it is
/// deleted before the position is free again.
async fn intend(run: &Run) -> Result<u32, Error> {
    let intent = run.with(|entry| queue(entry, run.place())).flatten();
    let (position, queued) = intent.ok_or_else(|| refusal::unsent(&Failure::Fenced))?;
    let written = match queued {
        Ok(queued) => queued.within(&run.shared, run.tree).await,
        Err(failure) => Err(failure),
    };
    match written {
        Ok(()) => return Ok(position),
        Err(Failure::Unknown) => withdraw(&run.shared, run.place(), position),
        Err(_) => {
            run.with(|entry| entry.tree.finish_withdrawal(run.member));
        }
    }
    written
        .map(|()| position)
        .map_err(|failure| refusal::unsent(&failure))
}

type Intent = (u32, Result<Queued, Failure>);

/// Queues the intent behind all that was written of its tree before.
fn queue(entry: &mut Entry, place: Place) -> Option<Intent> {
    let position = entry.tree.record_intent(place.member)?;
    let turn = entry.tree.history(place.member)?.intent()?;
    let write = row::turn(place.program, position, turn, false);
    let queued = reserve::queue(entry, Reserve::Keep, vec![write], None);
    Some((position, queued))
}

/// Tells whether the program is still owned under the term in which it was loaded.
fn owned(run: &Run) -> bool {
    let term = run.with(|entry| entry.term);
    let owned = run
        .shared
        .parts
        .membership
        .owned_term(run.program.partition());
    term.is_some() && term == owned
}

/// Deletes the intent of a call that was not sent, and only then frees its position.
fn withdraw(shared: &Arc<Shared>, place: Place, position: u32) {
    shared.with(place.tree, |entry| {
        entry.tree.start_withdrawal(place.member)
    });
    let Some(commit) = shared.with(place.tree, |entry| entry.commit.clone()) else {
        return;
    };
    let work = shared.busy.start(place.program.partition());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let write = row::withdrawal(place.program, position);
        if commit.submit(vec![write]).await.is_ok() {
            shared.with(place.tree, |entry| {
                entry.tree.finish_withdrawal(place.member)
            });
        }
        drop(work);
    });
}

/// Looks whether the service knows the outcome; else tells the caller of the doubt.
async fn doubt(run: Run, position: u32) {
    run.with(|entry| entry.tree.mark_in_doubt(run.member));
    event!(run.shared.parts.log, Event::CallInDoubt,
        "program" => %run.program, "position" => position);
    for _ in 0..LOOK_UPS {
        if !settle::has_status(&run.service) {
            break;
        }
        if settle::by_status(&run.shared, run.tree, run.program).await {
            let event = turn::last_event(&run.shared, run.place(), position);
            let _ = run.events.send(event).await;
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(LOOK_UP_PAUSE_MS)).await;
    }
    let error = refusal::error(basilramp_core::tree::Rejection::InDoubt);
    let _ = run.events.send(Answered::Error(error)).await;
}
