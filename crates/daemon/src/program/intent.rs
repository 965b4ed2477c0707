//! Calls of services that are not idempotent.
//!
//! An intent is made durable before the request is sent, and the request is sent at most once.

use std::sync::Arc;

use basilramp_wire::api::{Event as CallEvent, Usage};
use basilramp_wire::error::{Error, Kind};

use super::attempt::{self, Admitted};
use super::call::ActiveCall;
use super::loaded_trees::LoadedTree;
use super::reservation::{self, QueuedWrite, ReservationChange};
use super::turn::{self, CompletedCall, TurnLocation};
use super::{Shared, plain, rejection, row, settle};
use crate::commit::Failure;
use crate::engine;
use crate::grant::{CallOutcome, Grant};
use crate::log::{Event, event};
use crate::service::ServiceResponse;
use crate::trace::{self, Hop};

/// Status queries for a call whose connection broke, before the caller gets the `InDoubt` error.
const STATUS_QUERIES: u32 = 3;

/// Interval between status queries.
const STATUS_QUERY_INTERVAL_MS: u64 = 200;

/// Runs a call of a service that is not idempotent.
///
/// Once its intent is written, the call continues even if the caller disconnects.
pub(crate) async fn run(active: ActiveCall) {
    let Admitted { grant, permit } = match attempt::admit(&active, 0, &[]).await {
        Ok(admitted) => admitted,
        Err(error) => return active.abandon_with_error(error).await,
    };
    let grants = active.shared.dependencies.grants.clone();
    let position = match write_intent(&active).await {
        Ok(position) => position,
        Err(error) => {
            grants.release(grant, CallOutcome::Cancelled);
            permit.abandon();
            let _ = active.events.send(CallEvent::Error(error)).await;
            return;
        }
    };
    if !is_still_owned(&active) {
        grants.release(grant, CallOutcome::Cancelled);
        permit.abandon();
        delete_intent(&active.shared, active.turn_location(), position);
        let error = rejection::from_write_failure(&Failure::Fenced);
        let _ = active.events.send(CallEvent::Error(error)).await;
        return;
    }
    match send(&active, &grant).await {
        Ok(response) => {
            grants.release(grant, CallOutcome::Completed(Usage::default()));
            permit.complete();
            let completed = CompletedCall {
                outcome: plain::outcome_from_response(response),
                allocated_tokens: 0,
                has_intent: true,
                next_output_tokens: 0,
            };
            turn::finish(active, completed).await;
        }
        Err(engine::Failure::NotSent) => {
            grants.release(grant, CallOutcome::Failed);
            permit.abandon();
            delete_intent(&active.shared, active.turn_location(), position);
            let error = Error::new(
                Kind::UpstreamUnavailable,
                "could not connect to the upstream",
            );
            let _ = active.events.send(CallEvent::Error(error)).await;
        }
        Err(failure) => {
            let probe = attempt::crash_probe(&active, &grant);
            grants.release(grant, CallOutcome::Failed);
            if failure == engine::Failure::BrokenResponse {
                attempt::handle_broken_connection(&active, permit, probe).await;
            } else {
                permit.abandon();
            }
            resolve_doubt(active, position).await;
        }
    }
}

/// Sends the request once, on a connection of its own.
async fn send(active: &ActiveCall, grant: &Grant) -> Result<ServiceResponse, engine::Failure> {
    let request = plain::build_request(active, 1, grant);
    let services = &active.shared.services;
    let sending = services.send_once(&request, active.service.timeout_ms);
    trace::in_child_span(Hop::Upstream, sending).await
}

/// Makes the intent durable and returns its position.
///
/// On an error, nothing was or will be sent. Either the intent does not exist, or it is deleted
/// before the position is free again.
async fn write_intent(active: &ActiveCall) -> Result<u32, Error> {
    let intent = active
        .with_tree(|loaded| queue_intent(loaded, active.turn_location()))
        .flatten();
    let (position, queued) =
        intent.ok_or_else(|| rejection::from_write_failure(&Failure::Fenced))?;
    let written = match queued {
        Ok(queued) => queued.wait_with_timeout(&active.shared, active.tree).await,
        Err(failure) => Err(failure),
    };
    match written {
        Ok(()) => return Ok(position),
        Err(Failure::Unknown) => delete_intent(&active.shared, active.turn_location(), position),
        Err(_) => {
            active.with_tree(|loaded| loaded.tree.finish_withdrawal(active.member));
        }
    }
    written
        .map(|()| position)
        .map_err(|failure| rejection::from_write_failure(&failure))
}

type QueuedIntent = (u32, Result<QueuedWrite, Failure>);

/// Queues the intent's row after all earlier writes of its tree.
fn queue_intent(loaded: &mut LoadedTree, location: TurnLocation) -> Option<QueuedIntent> {
    let position = loaded.tree.record_intent(location.member)?;
    let turn = loaded.tree.history(location.member)?.intent()?;
    let write = row::put_turn(location.program, position, turn, false);
    let queued = reservation::queue_root_write(loaded, ReservationChange::Keep, vec![write], None);
    Some((position, queued))
}

/// Returns whether the program is still owned in the term in which it was loaded.
fn is_still_owned(active: &ActiveCall) -> bool {
    let term = active.with_tree(|loaded| loaded.term);
    let owned = active
        .shared
        .dependencies
        .membership
        .owned_term(active.program.partition());
    term.is_some() && term == owned
}

/// Deletes the intent of a call that was not sent, and then frees its position.
fn delete_intent(shared: &Arc<Shared>, location: TurnLocation, position: u32) {
    shared.with_tree(location.tree, |loaded| {
        loaded.tree.start_withdrawal(location.member)
    });
    let Some(commit) = shared.with_tree(location.tree, |loaded| loaded.commit.clone()) else {
        return;
    };
    let activity = shared.activity.start(location.program.partition());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let write = row::delete_intent(location.program, position);
        if commit.submit(vec![write]).await.is_ok() {
            shared.with_tree(location.tree, |loaded| {
                loaded.tree.finish_withdrawal(location.member)
            });
        }
        drop(activity);
    });
}

/// Queries the service for the outcome of a call in doubt, and sends it or an `InDoubt` error to
/// the caller.
async fn resolve_doubt(active: ActiveCall, position: u32) {
    active.with_tree(|loaded| loaded.tree.mark_in_doubt(active.member));
    event!(active.shared.dependencies.log, Event::CallInDoubt,
        "program" => %active.program, "position" => position);
    for _ in 0..STATUS_QUERIES {
        if !settle::has_status_path(&active.service) {
            break;
        }
        if settle::resolve_by_status(&active.shared, active.tree, active.program).await {
            let event = turn::final_event(&active.shared, active.turn_location(), position);
            let _ = active.events.send(event).await;
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(STATUS_QUERY_INTERVAL_MS)).await;
    }
    let error = rejection::from_tree(basilramp_core::tree::Rejection::InDoubt);
    let _ = active.events.send(CallEvent::Error(error)).await;
}
