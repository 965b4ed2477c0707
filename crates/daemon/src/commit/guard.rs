//! Holds back submissions that were made under an ownership that has gone.

use basilramp_core::id;
use basilramp_platform::table::{Action, Write};

use super::queue::Entry;
use crate::membership::state::OwnershipSnapshot;

/// Tells whether a submission may still be sent.
///
/// It must be of the current incarnation, its scope must be owned under the same term, and
/// so must every partition whose programs it writes.
pub(super) fn permits(ownership: &OwnershipSnapshot, entry: &Entry) -> bool {
    let scoped = entry
        .scope
        .is_none_or(|scope| ownership.term(scope.partition) == Some(scope.term));
    let owned = entry
        .writes
        .iter()
        .filter_map(partition)
        .all(|partition| ownership.term(partition).is_some());
    Some(entry.incarnation) == ownership.incarnation() && scoped && owned
}

/// Returns the partition whose programs a write changes, if any.
fn partition(write: &Write) -> Option<id::Partition> {
    if write.action == Action::Check {
        return None;
    }
    let key = &write.key.partition;
    if let Some(program) = key.strip_prefix("program/") {
        let program: id::Program = program.parse().ok()?;
        return Some(program.partition());
    }
    let number = key.strip_prefix("live/")?;
    number.parse().ok().map(id::Partition)
}
