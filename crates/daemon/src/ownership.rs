//! Follows changes of what this instance owns.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_wire::frame::Body;
use tokio::sync::{mpsc, oneshot};

use crate::log::{self, Event, event};
use crate::membership::{Change, Peer};
use crate::{peer, program};

/// Changes that are handled in one go.
const BATCH: usize = 256;

/// Passes changes on to the programs and to new owners, until the instance ends.
pub(crate) async fn follow(
    mut changes: mpsc::UnboundedReceiver<Change>,
    programs: program::Handle,
    peers: peer::Client,
    log: log::Handle,
) {
    let mut batch = Vec::new();
    while changes.recv_many(&mut batch, BATCH).await > 0 {
        let mut handed_over = BTreeMap::new();
        for change in batch.drain(..) {
            match change {
                Change::Gained(partition, _) => programs.acquire_partition(partition),
                Change::Losing(partition, done) => let_go(&programs, partition, done),
                Change::HandedOver(partition, peer) => note(&mut handed_over, partition, peer),
                Change::Fenced => {
                    event!(log, Event::Fenced);
                    programs.unload_all();
                }
            }
        }
        for (peer, partitions) in handed_over.into_values() {
            tell_owner(&peers, peer, partitions);
        }
    }
}

/// Partitions by their new owner.
type HandedOver = BTreeMap<id::Instance, (Peer, Vec<u16>)>;

fn note(handed_over: &mut HandedOver, partition: id::Partition, peer: Peer) {
    let id = peer.id.clone();
    let (_, partitions) = handed_over.entry(id).or_insert((peer, Vec::new()));
    partitions.push(partition.0);
}

/// Answers once no call of the partition is under way here.
fn let_go(programs: &program::Handle, partition: id::Partition, done: oneshot::Sender<()>) {
    let programs = programs.clone();
    tokio::spawn(async move {
        programs.release_partition(partition).await;
        // The watcher that asked may have given up meanwhile.
        let _ = done.send(());
    });
}

/// Has the new owner look at once; without it, the owner looks at its next heartbeat.
fn tell_owner(peers: &peer::Client, peer: Peer, partitions: Vec<u16>) {
    let peers = peers.clone();
    tokio::spawn(async move {
        let _ = peers.ask(&peer, Body::HandOver { partitions }).await;
    });
}
