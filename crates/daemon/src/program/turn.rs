//! Makes the turn of a call that ran durable, and answers the caller.

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

use super::call::Run;
use super::reserve::{self, Queued, Reserve};
use super::shelf::{Entry, TreeKey};
use super::{Shared, end, refusal, row, view};
use crate::commit::{Failure, Room};
use crate::trace::{self, Hop};
use crate::{clock, log};

/// Milliseconds that a provisional answer waits for its turn to become durable.
const PROVISIONAL_WAIT_MS: u64 = 200;

/// Tokens that are reserved along with a turn for the next input.
const NEXT_INPUT_TOKENS: u64 = 1_024;

/// Room in the commit queue for a turn's rows besides its texts.
const ROW_BYTES: usize = 4_096;

/// A call that ran, before its turn is durable.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    /// What came of it.
    pub(crate) outcome: Outcome,
    /// Tokens that were held for it.
    pub(crate) held: u64,
    /// Whether its intent is durable.
    pub(crate) intended: bool,
    /// Output tokens that the next call is expected to ask for.
    pub(crate) next_output: u64,
}

/// Where a turn belongs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) tree: TreeKey,
    pub(crate) member: Key,
    pub(crate) program: id::Program,
}

/// A turn that is being written.
#[derive(Debug)]
pub(crate) struct Pending {
    position: u32,
    bytes: usize,
    queued: Queued,
}

/// Commits the turn and sends the last event.
pub(crate) async fn finish(run: Run, ended: Ended) {
    let provisional = run.call.provisional && !ended.intended;
    let place = run.place();
    let pending = match begin(&run, place, &ended).await {
        Ok(pending) => pending,
        Err(error) => {
            let _ = run.events.send(Event::Error(error)).await;
            return;
        }
    };
    let position = pending.position;
    let Run {
        shared,
        events,
        work,
        ..
    } = run;
    let mut writing = tokio::spawn({
        let shared = Arc::clone(&shared);
        trace::span(Hop::Commit, async move {
            let written = settled(&shared, place, pending).await;
            drop(work);
            written
        })
    });
    let mut written = None;
    if provisional {
        let wait = Duration::from_millis(PROVISIONAL_WAIT_MS);
        written = timeout(wait, &mut writing).await.ok();
    }
    if provisional && written.is_none() {
        shared.with(place.tree, |entry| entry.tree.release_call(place.member));
        let _ = events.send(last_event(&shared, place, position)).await;
        return;
    }
    let written = match written {
        Some(written) => written,
        None => writing.await,
    };
    let event = match written {
        Ok(Ok(())) => last_event(&shared, place, position),
        Ok(Err(error)) => Event::Error(error),
        Err(_) => Event::Error(refusal::lost()),
    };
    let _ = events.send(event).await;
}

async fn begin(run: &Run, place: Place, ended: &Ended) -> Result<Pending, Error> {
    let room = room(&run.shared, place, ended).await?;
    let pending = run.with(|entry| append(entry, place, ended, Vec::new(), room));
    pending.ok_or_else(refusal::lost)?
}

/// Returns the last event of a call whose turn is recorded.
pub(crate) fn last_event(shared: &Shared, place: Place, position: u32) -> Event {
    let event = shared.with(place.tree, |entry| {
        view::recorded(&entry.tree, place.member, place.program, position)
    });
    event.unwrap_or_else(|| Event::Error(refusal::lost()))
}

/// Waits for room in the commit queue for a turn.
pub(crate) async fn room(shared: &Shared, place: Place, ended: &Ended) -> Result<Room, Error> {
    let wanted = shared.with(place.tree, |entry| {
        let history = entry.tree.history(place.member);
        let intent = history.and_then(|history| history.intent());
        let input = intent.map_or(0, |turn| turn.request.input.len());
        (entry.commit.clone(), input)
    });
    let (commit, input) = wanted.ok_or_else(refusal::lost)?;
    let bytes = ROW_BYTES + input + ended.outcome.output.len();
    Ok(commit.reserve(bytes).await)
}

/// Appends the turn of the call in progress to its program's history and queues its row.
pub(crate) fn append(
    entry: &mut Entry,
    place: Place,
    ended: &Ended,
    also: Vec<Write>,
    room: Room,
) -> Result<Pending, Error> {
    let usage = ended.outcome.usage;
    entry.tree.settle_tokens(ended.held, usage.charged());
    let outcome = ended.outcome.clone();
    let finished = entry.tree.finish_call(place.member, outcome);
    let (position, _) = finished.ok_or_else(refusal::lost)?;
    let history = entry.tree.history(place.member).ok_or_else(refusal::lost)?;
    let turn = history.turns().get(position as usize);
    let turn = turn.ok_or_else(refusal::lost)?;
    let bytes = turn.request.input.len() + turn.outcome.output.len();
    let mut writes = also;
    writes.push(row::turn(place.program, position, turn, ended.intended));
    let next = usage.charged() + NEXT_INPUT_TOKENS + ended.next_output;
    let queued = reserve::queue(entry, Reserve::Ahead(next), writes, Some(room));
    Ok(Pending {
        position,
        bytes,
        queued: queued.map_err(|_| refusal::lost())?,
    })
}

/// Waits until a turn is durable, however long that takes.
///
/// # Errors
///
/// `Interrupted` if this instance lost the program.
pub(crate) async fn settled(
    shared: &Arc<Shared>,
    place: Place,
    pending: Pending,
) -> Result<(), Error> {
    let Pending {
        position,
        bytes,
        queued,
    } = pending;
    shared.lock().add_uncommitted(bytes);
    let written = queued.settled(shared, place.tree).await;
    shared.lock().sub_uncommitted(bytes);
    let exhausted = shared.with(place.tree, |entry| {
        if written.is_ok() {
            entry.tree.mark_durable(place.member, position + 1);
        }
        end::release_late(shared, entry, place.program);
        entry
            .tree
            .is_exhausted(Time::from_ms(clock::unix_time_ms()))
    });
    match written {
        Ok(()) => {
            if exhausted == Some(true) {
                end::spawn(shared, place.program.tree_root());
            }
            Ok(())
        }
        Err(Failure::Conflict) => {
            log::event!(shared.parts.log, log::Event::HistoryBroken,
                "program" => %place.program, "position" => position);
            shared.lock().remove(place.tree);
            Err(Error::new(Kind::Internal, "the turn was not recorded"))
        }
        Err(_) => Err(refusal::lost()),
    }
}
