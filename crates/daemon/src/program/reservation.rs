//! Durable reservation of tokens before they are used.
//!
//! The reservation is stored in the head row of the tree's root.

use basilramp_core::budget::Allocation;
use basilramp_core::id;
use basilramp_platform::table::{Condition, Write};
use basilramp_wire::error::Error;

use super::loaded_trees::{LoadedTree, TreeKey};
use super::{Shared, rejection};
use crate::commit::{Failure, QueuePermit, Submission};

/// Attempts to reserve tokens for a call while concurrent calls use them up. After that, the call
/// is rejected.
const MAX_RESERVE_ATTEMPTS: u32 = 16;

/// How a write of the root's row changes the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationChange {
    /// The reservation stays unchanged.
    Keep,
    /// The reservation becomes this many tokens more than are used.
    Advance(u64),
}

/// A queued write of the root's row and the rows that are written with it.
#[derive(Debug)]
pub(crate) struct QueuedWrite {
    reserved: u64,
    submission: Submission,
}

/// Queues a write of the root's row together with other writes.
///
/// The caller holds the tree's lock, so the rows of a tree are written in the order in which the
/// tree changed.
pub(crate) fn queue_root_write(
    loaded: &mut LoadedTree,
    change: ReservationChange,
    mut writes: Vec<Write>,
    permit: Option<QueuePermit>,
) -> Result<QueuedWrite, Failure> {
    let reserved = match change {
        ReservationChange::Keep => loaded.tree.start_write_keeping_reservation(),
        ReservationChange::Advance(tokens) => loaded.tree.start_write(tokens),
    };
    writes.extend(loaded.put_head(0, reserved, Condition::None));
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
    /// Waits without a timeout until the writes are durable.
    pub(crate) async fn wait(self, shared: &Shared, tree: TreeKey) -> Result<(), Failure> {
        let result = self.submission.wait().await;
        shared.with_tree(tree, |loaded| {
            loaded.tree.end_write(self.reserved, result.is_ok());
        });
        result
    }

    /// Waits until the writes are durable, at most for the `store_wait_ms` of the settings.
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
    Allocated,
    Write(QueuedWrite),
}

/// Allocates tokens of a tree to a call, and reserves more durably if necessary.
///
/// # Errors
///
/// Fails if the budget does not cover the tokens or the store is unavailable. Then nothing is
/// allocated.
pub(crate) async fn allocate_tokens(
    shared: &Shared,
    tree: TreeKey,
    tokens: u64,
) -> Result<(), Error> {
    for _ in 0..MAX_RESERVE_ATTEMPTS {
        let step = shared.with_tree(tree, |loaded| next_step(loaded, tokens));
        match step.ok_or_else(rejection::program_lost)?? {
            Step::Allocated => return Ok(()),
            Step::Write(queued) => {
                let result = queued.wait_with_timeout(shared, tree).await;
                result.map_err(|failure| rejection::from_write_failure(&failure))?;
            }
        }
    }
    Err(rejection::store_unavailable())
}

fn next_step(loaded: &mut LoadedTree, tokens: u64) -> Result<Step, Error> {
    match loaded
        .tree
        .allocate_tokens(tokens)
        .map_err(rejection::from_tree)?
    {
        Allocation::Allocated => Ok(Step::Allocated),
        Allocation::NeedsReservation(_) => {
            queue_root_write(loaded, ReservationChange::Advance(tokens), Vec::new(), None)
                .map(Step::Write)
                .map_err(|failure| rejection::from_write_failure(&failure))
        }
    }
}

/// Releases the unused reservations of all trees of a partition.
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
