//! Claims partitions that nobody owns.

use basilramp_core::{id, partition};
use basilramp_platform::table::{Action, Check, Key, Write};
use basilramp_wire::record;
use basilramp_wire::record::InstanceState;
use futures_util::future::join_all;

use super::state::{Known, Member, Shared};
use super::watch::{PARTITIONS, body};
use crate::commit;

/// The most partitions claimed in one round.
const CLAIMS_PER_ROUND: usize = 256;

/// Claims free partitions that belong here; returns whether there were any.
pub(super) async fn run(state: &Shared, commit: &commit::Handle) -> bool {
    let Some(incarnation) = state.incarnation() else {
        return false;
    };
    if state.target() != InstanceState::Live {
        return false;
    }
    let free = free(state);
    let claims = free.into_iter().map(|(partition, before)| {
        let known = claimed(state.own(), incarnation, before.as_ref());
        claim(state, commit, partition, before, known)
    });
    let claims: Vec<_> = claims.collect();
    let any = !claims.is_empty();
    join_all(claims).await;
    any
}

/// Returns the partitions that belong here and that no instance owns, with their rows.
fn free(state: &Shared) -> Vec<(id::Partition, Option<Known>)> {
    let members = state.members();
    let live = members
        .iter()
        .filter(|(_, member)| member.record.state == InstanceState::Live);
    let live: Vec<&id::Instance> = live.map(|(instance, _)| instance).collect();
    let partitions = state.partitions();
    let all = (0..id::PARTITIONS).map(id::Partition);
    let wanted = all.filter(|partition| {
        let key = partition::hash_key(*partition);
        partition::preferred_instance(&key, live.iter().copied()) == Some(state.own())
    });
    let rows = wanted.map(|partition| (partition, partitions.get(&partition).cloned()));
    let free = rows.filter(|(_, known)| {
        known
            .as_ref()
            .is_none_or(|known| is_free(&known.record, &members))
    });
    free.take(CLAIMS_PER_ROUND).collect()
}

/// Tells whether a row's owner can write nothing any more.
///
/// An owner whose row was not read may just have joined.
fn is_free(
    row: &record::Partition,
    members: &std::collections::BTreeMap<id::Instance, Member>,
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

fn claimed(own: &id::Instance, incarnation: id::Incarnation, before: Option<&Known>) -> Known {
    Known {
        version: before.map_or(0, |known| known.version) + 1,
        record: record::Partition {
            owner: own.to_string(),
            incarnation: incarnation.0,
            term: before.map_or(0, |known| known.record.term) + 1,
        },
    }
}

async fn claim(
    state: &Shared,
    commit: &commit::Handle,
    partition: id::Partition,
    before: Option<Known>,
    known: Known,
) {
    let write = write(partition, before.as_ref(), &known);
    state.note_move();
    match commit.submit(vec![write]).await {
        Ok(()) => state.learn([(partition, known)]),
        Err(_) => state.forget(partition),
    }
}

/// Returns the write that replaces a partition's row.
pub(super) fn write(partition: id::Partition, before: Option<&Known>, after: &Known) -> Write {
    Write {
        key: Key::new(PARTITIONS, format!("{:04}", partition.0)),
        check: before.map_or(Check::Absent, |known| Check::Version(known.version)),
        action: Action::Put {
            version: after.version,
            body: body(&after.record),
        },
    }
}
