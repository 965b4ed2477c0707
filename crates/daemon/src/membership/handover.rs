//! Hands partitions over to the instances that they belong with.

use basilramp_core::{id, partition};
use basilramp_wire::record;
use basilramp_wire::record::InstanceState;

use super::state::{Known, Shared, peer};
use super::{Peer, claim};
use crate::commit;

/// The most partitions that are being handed over at once while this instance stays.
const HANDOVERS_AT_ONCE: usize = 16;

/// Starts to hand over partitions that belong elsewhere; returns whether there were any.
///
/// Only instances that `is_fresh` finds renewed of late are given anything.
pub(super) fn start(
    state: &Shared,
    commit: &commit::Handle,
    is_fresh: impl Fn(&id::Instance) -> bool,
) -> bool {
    let settled = state.settled();
    let under_way = state.count() - settled.len();
    let leaving = state.target() != InstanceState::Live;
    let limit = if leaving {
        settled.len()
    } else {
        HANDOVERS_AT_ONCE.saturating_sub(under_way)
    };
    let receivers = receivers(state, is_fresh);
    let moves = settled.into_iter().filter_map(|partition| {
        let to = receiver(partition, state.own(), &receivers, leaving)?;
        Some((partition, to))
    });
    let moves: Vec<_> = moves.take(limit).collect();
    let any = !moves.is_empty();
    for (partition, to) in moves {
        tokio::spawn(run(state.clone(), commit.clone(), partition, to));
    }
    any
}

/// An instance that partitions may go to, and whether it was renewed of late.
struct Receiver {
    peer: Peer,
    fresh: bool,
}

/// Where a partition goes.
enum Destination {
    /// To an instance.
    Peer(Peer),
    /// To whoever claims it.
    Nobody,
}

fn receivers(state: &Shared, is_fresh: impl Fn(&id::Instance) -> bool) -> Vec<Receiver> {
    let members = state.members();
    let live = members.iter().filter(|(instance, member)| {
        let is_own = *instance == state.own();
        is_own || member.record.state == InstanceState::Live
    });
    let receivers = live.filter_map(|(instance, member)| {
        let fresh = instance == state.own() || is_fresh(instance);
        peer(instance, &member.record).map(|peer| Receiver { peer, fresh })
    });
    receivers.collect()
}

fn receiver(
    partition: id::Partition,
    own: &id::Instance,
    receivers: &[Receiver],
    leaving: bool,
) -> Option<Destination> {
    let eligible = receivers
        .iter()
        .filter(|receiver| !leaving || (receiver.fresh && receiver.peer.id != *own));
    let ids = eligible.map(|receiver| &receiver.peer.id);
    let Some(wanted) = partition::preferred_instance(&partition::hash_key(partition), ids) else {
        return leaving.then_some(Destination::Nobody);
    };
    let chosen = receivers
        .iter()
        .find(|receiver| receiver.peer.id == *wanted)?;
    let moves = chosen.fresh && chosen.peer.id != *own;
    moves.then(|| Destination::Peer(chosen.peer.clone()))
}

async fn run(state: Shared, commit: commit::Handle, partition: id::Partition, to: Destination) {
    let Some(let_go) = state.lose(partition) else {
        return;
    };
    // A receiver that dropped the sender holds no programs of the partition.
    let _ = let_go.await;
    state.release(partition);
    let Some(before) = state.partitions().remove(&partition) else {
        return;
    };
    let after = Known {
        version: before.version + 1,
        record: record::Partition {
            owner: to.owner(),
            incarnation: to.incarnation(),
            term: before.record.term + 1,
        },
    };
    let write = claim::write(partition, Some(&before), &after);
    state.note_move();
    match commit.submit(vec![write]).await {
        Ok(()) => state.hand_over(partition, after, to.peer()),
        Err(_) => state.forget(partition),
    }
}

impl Destination {
    fn owner(&self) -> String {
        match self {
            Self::Peer(peer) => peer.id.to_string(),
            Self::Nobody => String::new(),
        }
    }

    fn incarnation(&self) -> u64 {
        match self {
            Self::Peer(peer) => peer.incarnation.0,
            Self::Nobody => 0,
        }
    }

    fn peer(self) -> Option<Peer> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Nobody => None,
        }
    }
}
