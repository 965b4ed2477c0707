//! Tokens that are reserved durably before they are used, and the root's row that says so.

use basilramp_core::budget::Allocation;
use basilramp_core::id;
use basilramp_platform::table::{Condition, Write};
use basilramp_wire::error::Error;

use super::shelf::{Entry, TreeKey};
use super::{Shared, refusal};
use crate::commit::{Failure, Room, Submission};

/// Rounds of reserving before a call that always finds its tokens taken by others is refused.
const ROUNDS: u32 = 16;

/// What a write of the root's row does to the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reserve {
    /// It stays as it is.
    Keep,
    /// It becomes so many tokens more than are used.
    Ahead(u64),
}

/// A queued write of the root's row, and of what goes with it.
#[derive(Debug)]
pub(crate) struct Queued {
    reserved: u64,
    submission: Submission,
}

/// Queues a write of the root's row together with others.
///
/// It is queued while the tree is locked, so rows of a tree are written in the order in which the
/// tree changed.
pub(crate) fn queue(
    entry: &mut Entry,
    reserve: Reserve,
    mut writes: Vec<Write>,
    room: Option<Room>,
) -> Result<Queued, Failure> {
    let reserved = match reserve {
        Reserve::Keep => entry.tree.start_write_keeping_reservation(),
        Reserve::Ahead(tokens) => entry.tree.start_write(tokens),
    };
    writes.extend(entry.head(0, reserved, Condition::None));
    let queued = match room {
        Some(room) => entry.commit.enqueue(writes, room),
        None => entry.commit.enqueue_now(writes),
    };
    match queued {
        Ok(submission) => Ok(Queued {
            reserved,
            submission,
        }),
        Err(failure) => {
            entry.tree.end_write(reserved, false);
            Err(failure)
        }
    }
}

impl Queued {
    /// Waits until the writes are durable, however long that takes.
    pub(crate) async fn settled(self, shared: &Shared, tree: TreeKey) -> Result<(), Failure> {
        let written = self.submission.settled().await;
        shared.with(tree, |entry| {
            entry.tree.end_write(self.reserved, written.is_ok());
        });
        written
    }

    /// Waits until the writes are durable, for as long as a refusable write waits.
    pub(crate) async fn within(self, shared: &Shared, tree: TreeKey) -> Result<(), Failure> {
        let wait_ms = shared.parts.timing.store_wait_ms;
        let written = self.submission.within(wait_ms).await;
        shared.with(tree, |entry| {
            entry.tree.end_write(self.reserved, written.is_ok());
        });
        written
    }
}

enum Step {
    Held,
    Write(Queued),
}

/// Holds tokens of a tree for a call, within what is reserved durably.
///
/// # Errors
///
/// Fails if the budget or the store does not allow it; then nothing is held.
pub(crate) async fn hold(shared: &Shared, tree: TreeKey, tokens: u64) -> Result<(), Error> {
    for _ in 0..ROUNDS {
        let step = shared.with(tree, |entry| next_step(entry, tokens));
        match step.ok_or_else(refusal::lost)?? {
            Step::Held => return Ok(()),
            Step::Write(queued) => {
                let written = queued.within(shared, tree).await;
                written.map_err(|failure| refusal::unsent(&failure))?;
            }
        }
    }
    Err(refusal::store())
}

fn next_step(entry: &mut Entry, tokens: u64) -> Result<Step, Error> {
    match entry.tree.allocate_tokens(tokens).map_err(refusal::error)? {
        Allocation::Allocated => Ok(Step::Held),
        Allocation::NeedsReservation(_) => queue(entry, Reserve::Ahead(tokens), Vec::new(), None)
            .map(Step::Write)
            .map_err(|failure| refusal::unsent(&failure)),
    }
}

/// Gives back what is reserved and not used in all trees of a partition.
pub(crate) async fn give_back(shared: &Shared, partition: id::Partition) {
    let trees = shared.lock().keys(partition);
    let mut writes = Vec::new();
    for tree in trees {
        let queued = shared.with(tree, |entry| {
            queue(entry, Reserve::Ahead(0), Vec::new(), None)
        });
        if let Some(Ok(queued)) = queued {
            writes.push(queued.within(shared, tree));
        }
    }
    futures_util::future::join_all(writes).await;
}
