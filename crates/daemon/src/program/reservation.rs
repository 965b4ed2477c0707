//! Tokens that are reserved durably before they are used, and the root's row that says so.

use basilramp_core::budget::Hold;
use basilramp_core::id;
use basilramp_platform::table::{Check, Write};
use basilramp_wire::error::Error;

use super::loaded_trees::{LoadedTree, TreeKey};
use super::{Shared, rejection};
use crate::commit::{Failure, QueuePermit, Submission};

/// Rounds of reserving before a call that always finds its tokens taken by others is refused.
const MAX_RESERVE_ATTEMPTS: u32 = 16;

/// What a write of the root's row does to the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationChange {
    /// It stays as it is.
    Keep,
    /// It becomes so many tokens more than are used.
    Advance(u64),
}

/// A queued write of the root's row, and of what goes with it.
#[derive(Debug)]
pub(crate) struct QueuedWrite {
    reserved: u64,
    submission: Submission,
}

/// Queues a write of the root's row together with others.
///
/// It is queued while the tree is locked, so rows of a tree are written in the order in which the
/// tree changed.
pub(crate) fn queue_root_write(
    loaded: &mut LoadedTree,
    reserve: ReservationChange,
    mut writes: Vec<Write>,
    permit: Option<QueuePermit>,
) -> Result<QueuedWrite, Failure> {
    let reserved = match reserve {
        ReservationChange::Keep => loaded.tree.start_write_keeping(),
        ReservationChange::Advance(tokens) => loaded.tree.start_write(tokens),
    };
    writes.extend(loaded.put_head(0, reserved, Check::None));
    let queued = match permit {
        Some(permit) => loaded.commit.enqueue(writes, permit),
        None => loaded.commit.try_enqueue(writes),
    };
    match queued {
        Ok(submission) => Ok(QueuedWrite {
            reserved,
            submission,
        }),
        Err(failure) => {
            loaded.tree.end_write(reserved, false);
            Err(failure)
        }
    }
}

impl QueuedWrite {
    /// Waits until the writes are durable, however long that takes.
    pub(crate) async fn wait(self, shared: &Shared, tree: TreeKey) -> Result<(), Failure> {
        let result = self.submission.wait().await;
        shared.with_tree(tree, |loaded| {
            loaded.tree.end_write(self.reserved, result.is_ok());
        });
        result
    }

    /// Waits until the writes are durable, for as long as a refusable write waits.
    pub(crate) async fn wait_with_timeout(
        self,
        shared: &Shared,
        tree: TreeKey,
    ) -> Result<(), Failure> {
        let wait_ms = shared.dependencies.timing.store_wait_ms;
        let result = self.submission.wait_with_timeout(wait_ms).await;
        shared.with_tree(tree, |loaded| {
            loaded.tree.end_write(self.reserved, result.is_ok());
        });
        result
    }
}

enum Step {
    Held,
    Write(QueuedWrite),
}

/// Holds tokens of a tree for a call, within what is reserved durably.
///
/// # Errors
///
/// Fails if the budget or the store does not allow it; then nothing is held.
pub(crate) async fn hold_tokens(shared: &Shared, tree: TreeKey, tokens: u64) -> Result<(), Error> {
    for _ in 0..MAX_RESERVE_ATTEMPTS {
        let step = shared.with_tree(tree, |loaded| next_step(loaded, tokens));
        match step.ok_or_else(rejection::program_lost)?? {
            Step::Held => return Ok(()),
            Step::Write(queued) => {
                let result = queued.wait_with_timeout(shared, tree).await;
                result.map_err(|failure| rejection::from_write_failure(&failure))?;
            }
        }
    }
    Err(rejection::store_unavailable())
}

fn next_step(loaded: &mut LoadedTree, tokens: u64) -> Result<Step, Error> {
    match loaded.tree.hold(tokens).map_err(rejection::from_tree)? {
        Hold::Held => Ok(Step::Held),
        Hold::Reserve(_) => {
            queue_root_write(loaded, ReservationChange::Advance(tokens), Vec::new(), None)
                .map(Step::Write)
                .map_err(|failure| rejection::from_write_failure(&failure))
        }
    }
}

/// Gives back what is reserved and not used in all trees of a partition.
pub(crate) async fn release_unused(shared: &Shared, partition: id::Partition) {
    let trees = shared.lock().partition_keys(partition);
    let mut writes = Vec::new();
    for tree in trees {
        let queued = shared.with_tree(tree, |loaded| {
            queue_root_write(loaded, ReservationChange::Advance(0), Vec::new(), None)
        });
        if let Some(Ok(queued)) = queued {
            writes.push(queued.wait_with_timeout(shared, tree));
        }
    }
    futures_util::future::join_all(writes).await;
}
