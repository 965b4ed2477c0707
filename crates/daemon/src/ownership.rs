//! Follows changes of what this instance owns.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_wire::frame::Body;
use tokio::sync::{mpsc, oneshot};

use crate::log::{self, Event, event};
use crate::membership::{OwnershipChange, Peer};
use crate::{peer, program};

/// Changes that are handled in one go.
const MAX_BATCH: usize = 256;

/// Passes changes on to the programs and to new owners, until the instance ends.
pub(crate) async fn forward_changes(
    mut changes: mpsc::UnboundedReceiver<OwnershipChange>,
    programs: program::Handle,
    peers: peer::Client,
    log: log::Handle,
) {
    let mut batch = Vec::new();
    while changes.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut handed_over = BTreeMap::new();
        for change in batch.drain(..) {
            match change {
                OwnershipChange::Gained(partition, _) => programs.gained(partition),
                OwnershipChange::Losing(partition, done) => {
                    release_partition(&programs, partition, done)
                }
                OwnershipChange::HandedOver(partition, peer) => {
                    group_by_owner(&mut handed_over, partition, peer)
                }
                OwnershipChange::Fenced => {
                    event!(log, Event::Fenced);
                    programs.fenced();
                }
            }
        }
        for (peer, partitions) in handed_over.into_values() {
            notify_new_owner(&peers, peer, partitions);
        }
    }
}

/// Partitions by their new owner.
type HandedOver = BTreeMap<id::Instance, (Peer, Vec<u16>)>;

fn group_by_owner(handed_over: &mut HandedOver, partition: id::Partition, peer: Peer) {
    let id = peer.id.clone();
    let (_, partitions) = handed_over.entry(id).or_insert((peer, Vec::new()));
    partitions.push(partition.0);
}

/// Answers once no call of the partition is under way here.
fn release_partition(
    programs: &program::Handle,
    partition: id::Partition,
    done: oneshot::Sender<()>,
) {
    let programs = programs.clone();
    tokio::spawn(async move {
        programs.let_go(partition).await;
        // The watcher that asked may have given up meanwhile.
        let _ = done.send(());
    });
}

/// Has the new owner look at once; without it, the owner looks at its next heartbeat.
fn notify_new_owner(peers: &peer::Client, peer: Peer, partitions: Vec<u16>) {
    let peers = peers.clone();
    tokio::spawn(async move {
        let _ = peers.ask(&peer, Body::HandOver { partitions }).await;
    });
}
