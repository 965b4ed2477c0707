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
use super::reserve::{self, Reservation};
use super::shelf::{Entry, TreeKey};
use super::{Shared, end, refusal, row, view};
use crate::log::{self, event};
use crate::{clock, commit};

/// Milliseconds that a provisional answer waits for its turn to become durable.
const PROVISIONAL_WAIT_MS: u64 = 200;

/// Tokens that are reserved along with a turn for the next input.
const NEXT_INPUT_TOKENS: u64 = 1_024;

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
    writes: Vec<Write>,
    root: Reservation,
}

impl Pending {
    /// Has something else written with the turn.
    pub(crate) fn also(&mut self, write: Write) {
        self.writes.push(write);
    }
}

/// Commits the turn and sends the last event.
pub(crate) async fn finish(run: Run, ended: Ended) {
    let provisional = run.call.provisional && !ended.intended;
    let place = run.place();
    let pending = run.with(|entry| append(entry, place, &ended));
    let Some(Some(pending)) = pending else {
        let _ = run.events.send(Event::Error(refusal::lost())).await;
        return;
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
        async move {
            let written = write(&shared, place, pending).await;
            drop(work);
            written
        }
    });
    let mut written = None;
    if provisional {
        let wait = Duration::from_millis(PROVISIONAL_WAIT_MS);
        written = timeout(wait, &mut writing).await.ok();
    }
    if provisional && written.is_none() {
        shared.with(place.tree, |entry| entry.tree.overtake(place.member));
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

/// Returns the last event of a call whose turn is recorded.
pub(crate) fn last_event(shared: &Shared, place: Place, position: u32) -> Event {
    let event = shared.with(place.tree, |entry| {
        view::recorded(&entry.tree, place.member, place.program, position)
    });
    event.unwrap_or_else(|| Event::Error(refusal::lost()))
}

/// Appends the turn of the call in progress to its program's history.
pub(crate) fn append(entry: &mut Entry, place: Place, ended: &Ended) -> Option<Pending> {
    let usage = ended.outcome.usage;
    entry.tree.settle_tokens(ended.held, usage.charged());
    let outcome = ended.outcome.clone();
    let (position, _) = entry.tree.finish(place.member, outcome)?;
    let history = entry.tree.history(place.member)?;
    let turn = history.turns().get(position as usize)?;
    let bytes = turn.ask.input.len() + turn.outcome.output.len();
    let turn = row::turn(place.program, position, turn, ended.intended);
    let next = usage.charged() + NEXT_INPUT_TOKENS + ended.next_output;
    let root = reserve::start(entry, next)?;
    Some(Pending {
        position,
        bytes,
        writes: vec![turn],
        root,
    })
}

/// Writes a turn, however long that takes.
///
/// # Errors
///
/// `Interrupted` if this instance lost the program.
pub(crate) async fn write(
    shared: &Arc<Shared>,
    place: Place,
    pending: Pending,
) -> Result<(), Error> {
    let Pending {
        position,
        bytes,
        mut writes,
        root,
    } = pending;
    writes.push(root.write);
    shared.lock().add_uncommitted(bytes);
    let written = shared.parts.commit.submit(writes).await;
    shared.lock().sub_uncommitted(bytes);
    let exhausted = shared.with(place.tree, |entry| {
        entry.tree.end_write(root.reserved, written.is_ok());
        if written.is_ok() {
            entry.tree.committed(place.member, position + 1);
        }
        end::release_late(shared, entry, place.program);
        entry.tree.is_exhausted(Time::from_ms(clock::wall_ms()))
    });
    match written {
        Ok(()) => {
            if exhausted == Some(true) {
                end::spawn(shared, place.program.tree());
            }
            Ok(())
        }
        Err(commit::Failure::Conflict) => {
            event!(shared.parts.log, log::Event::CommitConflict,
                "program" => %place.program, "position" => position);
            shared.lock().remove(place.tree);
            Err(Error::new(Kind::Internal, "the turn was not recorded"))
        }
        Err(_) => Err(refusal::lost()),
    }
}
