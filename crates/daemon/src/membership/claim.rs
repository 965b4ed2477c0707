//! Claims partitions that have no owner.

use basilramp_core::{id, partition};
use basilramp_platform::table::{Action, Condition, Key, Write};
use basilramp_wire::record;
use basilramp_wire::record::InstanceState;
use futures_util::future::join_all;

use super::state::{LeaseRow, MembershipState, PartitionRow};
use super::watch::{PARTITION_ROWS_KEY, record_body};
use crate::commit;

/// Maximum number of partitions claimed in one round.
const MAX_CLAIMS_PER_ROUND: usize = 256;

/// Claims the unowned partitions that map to this instance. Returns whether there were any.
pub(super) async fn claim_free_partitions(
    state: &MembershipState,
    commit: &commit::Handle,
) -> bool {
    let Some(incarnation) = state.incarnation() else {
        return false;
    };
    if state.target_state() != InstanceState::Live {
        return false;
    }
    let free = free_partitions(state);
    let claims = free.into_iter().map(|(partition, previous)| {
        let row = claimed_row(state.own(), incarnation, previous.as_ref());
        claim_partition(state, commit, partition, previous, row)
    });
    let claims: Vec<_> = claims.collect();
    let any = !claims.is_empty();
    join_all(claims).await;
    any
}

/// Returns the unowned partitions that map to this instance, with their rows.
fn free_partitions(state: &MembershipState) -> Vec<(id::Partition, Option<PartitionRow>)> {
    let members = state.members();
    let live = members
        .iter()
        .filter(|(_, member)| member.record.state == InstanceState::Live);
    let live: Vec<&id::Instance> = live.map(|(instance, _)| instance).collect();
    let partitions = state.partitions();
    let all_partitions = (0..id::PARTITIONS).map(id::Partition);
    let wanted = all_partitions.filter(|partition| {
        let key = partition::hash_key(*partition);
        partition::preferred_instance(&key, live.iter().copied()) == Some(state.own())
    });
    let rows = wanted.map(|partition| (partition, partitions.get(&partition).cloned()));
    let free = rows.filter(|(_, row)| {
        row.as_ref()
            .is_none_or(|row| is_unowned(&row.record, &members))
    });
    free.take(MAX_CLAIMS_PER_ROUND).collect()
}

/// Returns whether a partition row has no owner, or an owner that can no longer write.
///
/// An owner whose lease row was not read may just have joined, so its partitions are not free.
fn is_unowned(
    row: &record::Partition,
    members: &std::collections::BTreeMap<id::Instance, LeaseRow>,
) -> bool {
    if row.owner.is_empty() {
        return true;
    }
    let owner = members.get(&id::Instance::new(row.owner.as_str()));
    owner.is_some_and(|owner| {
        let fenced = owner.record.state == InstanceState::Fenced;
        owner.record.incarnation > row.incarnation
            || (fenced && owner.record.incarnation == row.incarnation)
    })
}

fn claimed_row(
    own: &id::Instance,
    incarnation: id::Incarnation,
    previous: Option<&PartitionRow>,
) -> PartitionRow {
    PartitionRow {
        version: previous.map_or(0, |row| row.version) + 1,
        record: record::Partition {
            owner: own.to_string(),
            incarnation: incarnation.0,
            term: previous.map_or(0, |row| row.record.term) + 1,
        },
    }
}

async fn claim_partition(
    state: &MembershipState,
    commit: &commit::Handle,
    partition: id::Partition,
    previous: Option<PartitionRow>,
    row: PartitionRow,
) {
    let write = partition_write(partition, previous.as_ref(), &row);
    state.record_move();
    match commit.submit(vec![write]).await {
        Ok(()) => state.apply_rows([(partition, row)]),
        Err(_) => state.remove_partition(partition),
    }
}

/// Returns the write that replaces a partition's row, conditional on the previous version.
pub(super) fn partition_write(
    partition: id::Partition,
    previous: Option<&PartitionRow>,
    next: &PartitionRow,
) -> Write {
    Write {
        key: Key::new(PARTITION_ROWS_KEY, format!("{:04}", partition.0)),
        condition: previous.map_or(Condition::Absent, |row| Condition::Version(row.version)),
        action: Action::Put {
            version: next.version,
            body: record_body(&next.record),
        },
    }
}
