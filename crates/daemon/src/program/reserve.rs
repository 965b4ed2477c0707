//! Tokens that are reserved durably before they are used.

use basilramp_core::budget::Hold;
use basilramp_core::id;
use basilramp_platform::table::{Check, Write};
use basilramp_wire::error::Error;

use super::shelf::{Entry, TreeKey};
use super::{Shared, refusal};

/// Rounds of reserving before a call that always finds its tokens taken by others is refused.
const ROUNDS: u32 = 16;

/// A write of the root's head that is under way.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// The tokens that it reserves.
    pub(crate) reserved: u64,
    /// The write.
    pub(crate) write: Write,
}

/// Starts a write of the root's head that reserves `ahead` tokens more than are used.
pub(crate) fn start(entry: &mut Entry, ahead: u64) -> Option<Reservation> {
    let reserved = entry.tree.start_write(ahead);
    let write = entry.head(0, reserved, Check::None);
    close(entry, reserved, write)
}

/// Starts a write of the root's head that leaves the reservation as it is.
pub(crate) fn start_keeping(entry: &mut Entry) -> Option<Reservation> {
    let reserved = entry.tree.start_write_keeping();
    let write = entry.head(0, reserved, Check::None);
    close(entry, reserved, write)
}

fn close(entry: &mut Entry, reserved: u64, write: Option<Write>) -> Option<Reservation> {
    if write.is_none() {
        entry.tree.end_write(reserved, false);
    }
    let write = write?;
    Some(Reservation { reserved, write })
}

enum Step {
    Held,
    Write(Reservation),
}

/// Holds tokens of a tree for a call, within what is reserved durably.
///
/// # Errors
///
/// Fails if the budget or the store does not allow it; then nothing is held.
pub(crate) async fn hold(shared: &Shared, tree: TreeKey, tokens: u64) -> Result<(), Error> {
    for _ in 0..ROUNDS {
        let step = shared.with(tree, |entry| next_step(entry, tokens));
        let reservation = match step.ok_or_else(refusal::lost)?? {
            Step::Held => return Ok(()),
            Step::Write(reservation) => reservation,
        };
        let wait_ms = shared.parts.timing.store_wait_ms;
        let commit = &shared.parts.commit;
        let written = commit.submit_within(vec![reservation.write], wait_ms).await;
        shared.with(tree, |entry| {
            entry.tree.end_write(reservation.reserved, written.is_ok());
        });
        written.map_err(|failure| refusal::unsent(&failure))?;
    }
    Err(refusal::store())
}

fn next_step(entry: &mut Entry, tokens: u64) -> Result<Step, Error> {
    match entry.tree.hold(tokens).map_err(refusal::error)? {
        Hold::Held => Ok(Step::Held),
        Hold::Reserve(_) => start(entry, tokens)
            .map(Step::Write)
            .ok_or_else(refusal::lost),
    }
}

/// Gives back what is reserved and not used in all trees of a partition.
pub(crate) async fn give_back(shared: &Shared, partition: id::Partition) {
    let trees = shared.lock().keys(partition);
    for tree in trees {
        let Some(Some(reservation)) = shared.with(tree, |entry| start(entry, 0)) else {
            continue;
        };
        let wait_ms = shared.parts.timing.store_wait_ms;
        let commit = &shared.parts.commit;
        let written = commit.submit_within(vec![reservation.write], wait_ms).await;
        shared.with(tree, |entry| {
            entry.tree.end_write(reservation.reserved, written.is_ok());
        });
        if written.is_err() {
            return;
        }
    }
}
