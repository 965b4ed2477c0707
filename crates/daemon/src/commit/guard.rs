//! Checks that the ownership under which a submission was made is still valid.

use basilramp_core::id;
use basilramp_platform::table::{Action, Write};

use super::queue::Entry;
use crate::membership::state::OwnershipSnapshot;

/// Returns whether a submission may still be sent.
///
/// It must be from the current incarnation, the partition of its scope must be owned in the same
/// term, and every partition whose rows it writes must be owned.
pub(super) fn permits(ownership: &OwnershipSnapshot, entry: &Entry) -> bool {
    let scoped = entry
        .scope
        .is_none_or(|scope| ownership.term(scope.partition) == Some(scope.term));
    let owned = entry
        .writes
        .iter()
        .filter_map(changed_partition)
        .all(|partition| ownership.term(partition).is_some());
    Some(entry.incarnation) == ownership.incarnation() && scoped && owned
}

/// Returns the partition whose program or live rows a write changes, if any.
fn changed_partition(write: &Write) -> Option<id::Partition> {
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
