//! Hands partitions over to the instances that they map to.

use basilramp_core::{id, partition};
use basilramp_wire::record;
use basilramp_wire::record::InstanceState;

use super::state::{MembershipState, PartitionRow, peer_from_record};
use super::{Peer, claim};
use crate::commit;

/// Maximum number of concurrent handovers while this instance is not draining.
const MAX_CONCURRENT_HANDOVERS: usize = 16;

/// Starts to hand over partitions that map to other instances. Returns whether there were any.
///
/// Partitions only go to instances whose lease was renewed recently, as `is_fresh` reports. A
/// draining instance hands over all its partitions at once.
pub(super) fn start_handovers(
    state: &MembershipState,
    commit: &commit::Handle,
    is_fresh: impl Fn(&id::Instance) -> bool,
) -> bool {
    let settled = state.settled_partitions();
    let in_progress = state.owned_count() - settled.len();
    let draining = state.target_state() != InstanceState::Live;
    let limit = if draining {
        settled.len()
    } else {
        MAX_CONCURRENT_HANDOVERS.saturating_sub(in_progress)
    };
    let candidates = list_candidates(state, is_fresh);
    let handovers = settled.into_iter().filter_map(|partition| {
        let to = choose_destination(partition, state.own(), &candidates, draining)?;
        Some((partition, to))
    });
    let handovers: Vec<_> = handovers.take(limit).collect();
    let any = !handovers.is_empty();
    for (partition, to) in handovers {
        tokio::spawn(hand_over(state.clone(), commit.clone(), partition, to));
    }
    any
}

/// An instance that may receive partitions, and whether its lease was renewed recently.
struct Candidate {
    peer: Peer,
    fresh: bool,
}

/// The destination of a handover.
enum Destination {
    /// Another instance becomes the owner.
    Peer(Peer),
    /// The partition is left unowned, for any instance to claim.
    Unowned,
}

fn list_candidates(
    state: &MembershipState,
    is_fresh: impl Fn(&id::Instance) -> bool,
) -> Vec<Candidate> {
    let members = state.members();
    let live = members.iter().filter(|(instance, member)| {
        let is_own = *instance == state.own();
        is_own || member.record.state == InstanceState::Live
    });
    let candidates = live.filter_map(|(instance, member)| {
        let fresh = instance == state.own() || is_fresh(instance);
        peer_from_record(instance, &member.record).map(|peer| Candidate { peer, fresh })
    });
    candidates.collect()
}

fn choose_destination(
    partition: id::Partition,
    own: &id::Instance,
    candidates: &[Candidate],
    draining: bool,
) -> Option<Destination> {
    let eligible = candidates
        .iter()
        .filter(|candidate| !draining || (candidate.fresh && candidate.peer.id != *own));
    let ids = eligible.map(|candidate| &candidate.peer.id);
    let Some(chosen_id) = partition::preferred_instance(&partition::hash_key(partition), ids)
    else {
        return draining.then_some(Destination::Unowned);
    };
    let chosen = candidates
        .iter()
        .find(|candidate| candidate.peer.id == *chosen_id)?;
    let must_move = chosen.fresh && chosen.peer.id != *own;
    must_move.then(|| Destination::Peer(chosen.peer.clone()))
}

async fn hand_over(
    state: MembershipState,
    commit: commit::Handle,
    partition: id::Partition,
    to: Destination,
) {
    let Some(released) = state.begin_handover(partition) else {
        return;
    };
    // If the sender was dropped, no programs of the partition are loaded here.
    let _ = released.await;
    state.mark_released(partition);
    let Some(previous) = state.partitions().remove(&partition) else {
        return;
    };
    let next = PartitionRow {
        version: previous.version + 1,
        record: record::Partition {
            owner: to.owner(),
            incarnation: to.incarnation(),
            term: previous.record.term + 1,
        },
    };
    let write = claim::partition_write(partition, Some(&previous), &next);
    state.record_move();
    match commit.submit(vec![write]).await {
        Ok(()) => state.complete_handover(partition, next, to.peer()),
        Err(_) => state.remove_partition(partition),
    }
}

impl Destination {
    fn owner(&self) -> String {
        match self {
            Self::Peer(peer) => peer.id.to_string(),
            Self::Unowned => String::new(),
        }
    }

    fn incarnation(&self) -> u64 {
        match self {
            Self::Peer(peer) => peer.incarnation.0,
            Self::Unowned => 0,
        }
    }

    fn peer(self) -> Option<Peer> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Unowned => None,
        }
    }
}
