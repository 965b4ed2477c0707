//! Makes the turn of a completed call durable and sends the response to the caller.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::history::Outcome;
use basilramp_core::id;
use basilramp_core::tree::Key;
use basilramp_platform::table::Write;
use basilramp_wire::api::Event;
use basilramp_wire::error::{Error, Kind};
use tokio::time::timeout;

use super::call::ActiveCall;
use super::loaded_trees::{LoadedTree, TreeKey};
use super::reservation::{self, QueuedWrite, ReservationChange};
use super::{Shared, end, rejection, row, view};
use crate::commit::{Failure, QueuePermit};
use crate::trace::{self, Hop};
use crate::{clock, log};

/// Time that a call waits for its turn to become durable before it sends a provisional response.
const PROVISIONAL_TIMEOUT_MS: u64 = 200;

/// Tokens that are reserved with a turn for the input of the next call.
const NEXT_INPUT_TOKENS: u64 = 1_024;

/// Space reserved in the commit queue for a turn's rows, without its input and output.
const TURN_OVERHEAD_BYTES: usize = 4_096;

/// A call that has completed, before its turn is durable.
#[derive(Clone, Debug)]
pub(crate) struct CompletedCall {
    /// The outcome of the call.
    pub(crate) outcome: Outcome,
    /// Tokens that were allocated to the call.
    pub(crate) allocated_tokens: u64,
    /// Whether the call has a durable intent.
    pub(crate) has_intent: bool,
    /// Output tokens that the next call is expected to request.
    pub(crate) next_output_tokens: u64,
}

/// The tree and program of a turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnLocation {
    pub(crate) tree: TreeKey,
    pub(crate) member: Key,
    pub(crate) program: id::Program,
}

/// A turn whose write is queued.
#[derive(Debug)]
pub(crate) struct PendingTurn {
    position: u32,
    bytes: usize,
    queued: QueuedWrite,
}

/// Commits the turn and sends the last event.
///
/// If the caller accepts a provisional response and the call has no intent, the event is sent after
/// [`PROVISIONAL_TIMEOUT_MS`] even if the turn is not durable yet.
pub(crate) async fn finish(active: ActiveCall, completed: CompletedCall) {
    let provisional = active.call.provisional && !completed.has_intent;
    let location = active.turn_location();
    let pending = match queue_turn(&active, location, &completed).await {
        Ok(pending) => pending,
        Err(error) => {
            let _ = active.events.send(Event::Error(error)).await;
            return;
        }
    };
    let position = pending.position;
    let ActiveCall {
        shared,
        events,
        activity,
        ..
    } = active;
    let mut write = tokio::spawn({
        let shared = Arc::clone(&shared);
        trace::in_child_span(Hop::Commit, async move {
            let written = wait_durable(&shared, location, pending).await;
            // Once the activity ends, a handover may unload the program, so the event is read before.
            let event = match written {
                Ok(()) => final_event(&shared, location, position),
                Err(error) => Event::Error(error),
            };
            drop(activity);
            event
        })
    });
    let mut written = None;
    if provisional {
        let wait = Duration::from_millis(PROVISIONAL_TIMEOUT_MS);
        written = timeout(wait, &mut write).await.ok();
    }
    if provisional && written.is_none() {
        shared.with_tree(location.tree, |loaded| {
            loaded.tree.release_call(location.member)
        });
        let _ = events.send(final_event(&shared, location, position)).await;
        return;
    }
    let written = match written {
        Some(written) => written,
        None => write.await,
    };
    let event = written.unwrap_or_else(|_| {
        let cause = "the task that writes the turn panicked";
        Event::Error(shared.program_lost(location.program, cause))
    });
    let _ = events.send(event).await;
}

async fn queue_turn(
    active: &ActiveCall,
    location: TurnLocation,
    completed: &CompletedCall,
) -> Result<PendingTurn, Error> {
    let permit = acquire_permit(&active.shared, location, completed).await?;
    let pending = active
        .with_tree(|loaded| append_and_queue(loaded, location, completed, Vec::new(), permit));
    pending.unwrap_or_else(|| {
        let cause = "the program was unloaded before the turn was queued";
        Err(active.shared.program_lost(location.program, cause))
    })
}

/// Returns the last event of a call from its recorded turn.
pub(crate) fn final_event(shared: &Shared, location: TurnLocation, position: u32) -> Event {
    let event = shared.with_tree(location.tree, |loaded| {
        view::recorded_event(&loaded.tree, location.member, location.program, position)
    });
    event.unwrap_or_else(|| {
        let cause = "the program was unloaded before the response was read";
        Event::Error(shared.program_lost(location.program, cause))
    })
}

/// Waits for space in the commit queue for a turn.
pub(crate) async fn acquire_permit(
    shared: &Shared,
    location: TurnLocation,
    completed: &CompletedCall,
) -> Result<QueuePermit, Error> {
    let queue = shared.with_tree(location.tree, |loaded| {
        let history = loaded.tree.history(location.member);
        let intent = history.and_then(|history| history.intent());
        let input = intent.map_or(0, |turn| turn.request.input.len());
        (loaded.commit.clone(), input)
    });
    let (commit, input) = queue.ok_or_else(rejection::program_lost)?;
    let bytes = TURN_OVERHEAD_BYTES + input + completed.outcome.output.len();
    Ok(commit.acquire_permit(bytes).await)
}

/// Appends the turn of the call in progress to its program's history and queues its row.
pub(crate) fn append_and_queue(
    loaded: &mut LoadedTree,
    location: TurnLocation,
    completed: &CompletedCall,
    extra_writes: Vec<Write>,
    permit: QueuePermit,
) -> Result<PendingTurn, Error> {
    let usage = completed.outcome.usage;
    loaded
        .tree
        .settle_tokens(completed.allocated_tokens, usage.charged());
    let outcome = completed.outcome.clone();
    let finished = loaded.tree.finish_call(location.member, outcome);
    let (position, _) = finished.ok_or_else(rejection::program_lost)?;
    let history = loaded
        .tree
        .history(location.member)
        .ok_or_else(rejection::program_lost)?;
    let turn = history.turns().get(position as usize);
    let turn = turn.ok_or_else(rejection::program_lost)?;
    let bytes = turn.request.input.len() + turn.outcome.output.len();
    let mut writes = extra_writes;
    writes.push(row::put_turn(
        location.program,
        position,
        turn,
        completed.has_intent,
    ));
    let advance = usage.charged() + NEXT_INPUT_TOKENS + completed.next_output_tokens;
    let queued = reservation::queue_root_write(
        loaded,
        ReservationChange::Advance(advance),
        writes,
        Some(permit),
    );
    Ok(PendingTurn {
        position,
        bytes,
        queued: queued.map_err(|_| rejection::program_lost())?,
    })
}

/// Waits without a timeout until a turn is durable.
///
/// # Errors
///
/// Returns `Interrupted` if this instance lost the program, and `Internal` if a row was changed
/// unexpectedly.
pub(crate) async fn wait_durable(
    shared: &Arc<Shared>,
    location: TurnLocation,
    pending: PendingTurn,
) -> Result<(), Error> {
    let PendingTurn {
        position,
        bytes,
        queued,
    } = pending;
    shared.lock().add_uncommitted_bytes(bytes);
    let written = queued.wait(shared, location.tree).await;
    shared.lock().sub_uncommitted_bytes(bytes);
    let exhausted = shared.with_tree(location.tree, |loaded| {
        if written.is_ok() {
            loaded.tree.mark_durable(location.member, position + 1);
        }
        end::release_if_ended(shared, loaded, location.program);
        loaded
            .tree
            .is_exhausted(Time::from_ms(clock::unix_time_ms()))
    });
    match written {
        Ok(()) => {
            if exhausted == Some(true) {
                end::spawn(shared, location.program.tree_root());
            }
            Ok(())
        }
        Err(Failure::Conflict) => {
            log::event!(shared.dependencies.log, log::Event::HistoryBroken,
                "program" => %location.program, "position" => position);
            shared.lock().remove(location.tree);
            Err(Error::new(Kind::Internal, "the turn was not recorded"))
        }
        Err(failure) => {
            let cause = format!("the write of the turn failed: {failure:?}");
            Err(shared.program_lost(location.program, &cause))
        }
    }
}
