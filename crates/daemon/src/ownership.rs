//! Forwards changes of partition ownership to the programs and to the new owners.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_wire::frame::Body;
use tokio::sync::{mpsc, oneshot};

use crate::log::{self, Event, event};
use crate::membership::{OwnershipChange, Peer};
use crate::{peer_client, program};

/// Maximum number of changes handled in one batch.
const MAX_BATCH: usize = 256;

/// Forwards ownership changes to the programs and to new owners until the channel is closed.
pub(crate) async fn forward_changes(
    mut changes: mpsc::UnboundedReceiver<OwnershipChange>,
    programs: program::Handle,
    peers: peer_client::Client,
    log: log::Handle,
) {
    let mut batch = Vec::new();
    while changes.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut handed_over = BTreeMap::new();
        for change in batch.drain(..) {
            match change {
                OwnershipChange::Gained(partition, _) => programs.acquire_partition(partition),
                OwnershipChange::Losing(partition, done) => {
                    release_partition(&programs, partition, done)
                }
                OwnershipChange::HandedOver(partition, peer) => {
                    group_by_owner(&mut handed_over, partition, peer)
                }
                OwnershipChange::Fenced => {
                    event!(log, Event::Fenced);
                    programs.unload_all();
                }
            }
        }
        for (peer, partitions) in handed_over.into_values() {
            notify_new_owner(&peers, peer, partitions);
        }
    }
}

/// Handed-over partitions, grouped by their new owner.
type HandedOver = BTreeMap<id::Instance, (Peer, Vec<u16>)>;

fn group_by_owner(handed_over: &mut HandedOver, partition: id::Partition, peer: Peer) {
    let id = peer.id.clone();
    let (_, partitions) = handed_over.entry(id).or_insert((peer, Vec::new()));
    partitions.push(partition.0);
}

/// Unloads a partition's programs, and signals `done` once no call of them is in progress here.
fn release_partition(
    programs: &program::Handle,
    partition: id::Partition,
    done: oneshot::Sender<()>,
) {
    let programs = programs.clone();
    tokio::spawn(async move {
        programs.release_partition(partition).await;
        // The watcher may have stopped waiting meanwhile.
        let _ = done.send(());
    });
}

/// Notifies a new owner to read its partition rows immediately rather than at its next heartbeat.
fn notify_new_owner(peers: &peer_client::Client, peer: Peer, partitions: Vec<u16>) {
    let peers = peers.clone();
    tokio::spawn(async move {
        let _ = peers.request(&peer, Body::HandOver { partitions }).await;
    });
}
