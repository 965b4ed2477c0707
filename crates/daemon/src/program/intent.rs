//! Calls that may not be repeated: a durable intent, one send, a durable outcome.

use std::sync::Arc;

use basilramp_platform::table::Write;
use basilramp_wire::api::{Event, Usage};
use basilramp_wire::error::{Error, Kind};

use super::attempt::{self, Admitted};
use super::call::Run;
use super::turn::{self, Ended, Place};
use super::{Shared, plain, refusal, row, settle};
use crate::commit;
use crate::engine::Failure;
use crate::grant::{End, Grant};
use crate::log::{self, event};
use crate::service::Answer;

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
            grants.give_back(grant, End::Cancelled);
            pass.abandoned();
            let _ = run.events.send(Event::Error(error)).await;
            return;
        }
    };
    if !owned(&run) {
        grants.give_back(grant, End::Cancelled);
        pass.abandoned();
        withdraw(&run.shared, run.place(), position);
        let error = refusal::unsent(&commit::Failure::Fenced);
        let _ = run.events.send(Event::Error(error)).await;
        return;
    }
    match send(&run, &grant).await {
        Ok(answer) => {
            grants.give_back(grant, End::Done(Usage::default()));
            pass.completed();
            let ended = Ended {
                outcome: plain::outcome(answer),
                held: 0,
                intended: true,
                next_output: 0,
            };
            turn::finish(run, ended).await;
        }
        Err(Failure::Unsent) => {
            grants.give_back(grant, End::Failed);
            pass.abandoned();
            withdraw(&run.shared, run.place(), position);
            let error = Error::new(Kind::UpstreamUnavailable, "the upstream was not reached");
            let _ = run.events.send(Event::Error(error)).await;
        }
        Err(failure) => {
            grants.give_back(grant, End::Failed);
            if failure == Failure::Broken {
                pass.crashed(&run.shared.parts.log).await;
            } else {
                pass.abandoned();
            }
            doubt(run, position).await;
        }
    }
}

/// Sends the call, once, on a connection of its own.
async fn send(run: &Run, grant: &Grant) -> Result<Answer, Failure> {
    let ask = plain::ask(run, 1, grant);
    let services = &run.shared.services;
    services.send_once(&ask, run.service.timeout_ms).await
}

/// Makes the intent durable and returns its position.
///
/// On an error nothing was sent, and nothing will be: either the intent does not exist, or it is
/// deleted before the position is free again.
async fn intend(run: &Run) -> Result<u32, Error> {
    let intent = run.with(|entry| {
        let position = entry.tree.intend(run.member)?;
        let turn = entry.tree.history(run.member)?.intent()?;
        Some((position, row::turn(run.program, position, turn, false)))
    });
    let Some((position, write)) = intent.flatten() else {
        return Err(refusal::unsent(&commit::Failure::Fenced));
    };
    let written = submit(&run.shared, write).await;
    let Err(failure) = written else {
        return Ok(position);
    };
    match failure {
        commit::Failure::Unknown => withdraw(&run.shared, run.place(), position),
        _ => {
            run.with(|entry| entry.tree.withdrawn(run.member));
        }
    }
    Err(refusal::unsent(&failure))
}

async fn submit(shared: &Shared, write: Write) -> Result<(), commit::Failure> {
    let wait_ms = shared.parts.timing.store_wait_ms;
    shared
        .parts
        .commit
        .submit_within(vec![write], wait_ms)
        .await
}

/// Tells whether the program is still owned under the term in which it was loaded.
fn owned(run: &Run) -> bool {
    let term = run.with(|entry| entry.term);
    let owned = run.shared.parts.membership.owned(run.program.partition());
    term.is_some() && term == owned
}

/// Deletes the intent of a call that was not sent, and only then frees its position.
fn withdraw(shared: &Arc<Shared>, place: Place, position: u32) {
    shared.with(place.tree, |entry| entry.tree.withdraw(place.member));
    let work = shared.busy.start(place.program.partition());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let write = row::withdrawal(place.program, position);
        let written = shared.parts.commit.submit(vec![write]).await;
        match written {
            Ok(()) => {
                shared.with(place.tree, |entry| entry.tree.withdrawn(place.member));
            }
            Err(_) => event!(shared.parts.log, log::Event::CommitUnknown,
                "program" => %place.program, "position" => position),
        }
        drop(work);
    });
}

/// Looks whether the service knows the outcome; else tells the caller of the doubt.
async fn doubt(run: Run, position: u32) {
    run.with(|entry| entry.tree.doubt(run.member));
    event!(run.shared.parts.log, log::Event::CallInDoubt,
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
    let error = refusal::error(basilramp_core::tree::Refusal::Doubt);
    let _ = run.events.send(Event::Error(error)).await;
}
