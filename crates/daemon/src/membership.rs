//! Cluster membership: instance leases and the ownership of partitions.

mod claim;
mod handover;
pub(crate) mod state;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::lease::Timing;
use basilramp_platform::table::Client;
use basilramp_wire::record::{self, InstanceState};
use basilramp_wire::{operator, record::Instance};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{clock, commit, settings::Settings};
use state::{MembershipState, Stage};
use watch::Watcher;

/// An instance and its address for peer traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The instance's id.
    pub id: id::Instance,
    /// The incarnation of its lease, which increases each time it is acquired.
    pub incarnation: id::Incarnation,
    /// The address on which it receives frames.
    pub address: SocketAddr,
}

/// A change in the partitions that this instance owns.
#[derive(Debug)]
pub enum OwnershipChange {
    /// This instance now owns a partition, under a term.
    Gained(id::Partition, id::Term),
    /// A partition is about to be handed over. The receiver of the change signals the sender once
    /// the partition's programs are unloaded.
    Losing(id::Partition, oneshot::Sender<()>),
    /// A partition has been handed over, and the new owner may be notified.
    HandedOver(id::Partition, Peer),
    /// The instance was fenced and owns no partition any more.
    Fenced,
}

/// Queries membership and partition ownership.
#[derive(Clone, Debug)]
pub struct Handle {
    state: MembershipState,
    commit: commit::Handle,
    wake: Arc<Notify>,
}

/// Acquires this instance's lease under a new incarnation, retrying without limit, and starts the
/// commit loop and the watcher of the other instances' leases.
///
/// Returns the handles and the stream of ownership changes.
pub async fn join(
    table: &Client,
    settings: &Settings,
    peer_address: SocketAddr,
    clock: clock::Clock,
) -> (
    Handle,
    commit::Handle,
    mpsc::UnboundedReceiver<OwnershipChange>,
) {
    let (sender, changes) = mpsc::unbounded_channel();
    let own = id::Instance::new(settings.instance.id.as_str());
    let record = initial_lease_record(settings, peer_address);
    let state = MembershipState::open(own, record, clock, lease_timing(settings), sender);
    let (commit, mut runner) = commit::Handle::open(table.clone(), state.clone(), settings);
    let acquired = runner.acquire().await;
    tokio::spawn(runner.run(acquired));
    let wake = Arc::new(Notify::new());
    let watcher = Watcher::new(
        table.clone(),
        state.clone(),
        commit.clone(),
        Arc::clone(&wake),
        settings,
    );
    tokio::spawn(watcher.run());
    let handle = Handle {
        state,
        commit: commit.clone(),
        wake,
    };
    (handle, commit, changes)
}

impl Handle {
    /// Returns the term under which this instance owns a partition, if it does.
    ///
    /// Returns `None` for every partition once the lease has expired, counted from before the last
    /// renewal was sent.
    #[must_use]
    pub fn owned_term(&self, partition: id::Partition) -> Option<id::Term> {
        let term = self.state.term(partition)?;
        self.state.is_valid().then_some(term)
    }

    /// Returns the term under which this instance last owned a partition, even if the lease has
    /// expired since. Only a commit can show whether the ownership still holds.
    #[must_use]
    pub fn last_known_term(&self, partition: id::Partition) -> Option<id::Term> {
        self.state.term(partition)
    }

    /// Returns the number of partitions owned here, including those being handed over.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.state.owned_count()
    }

    /// Returns the instance believed to own a partition.
    #[must_use]
    pub fn owner(&self, partition: id::Partition) -> Option<Peer> {
        self.state.owner(partition)
    }

    /// Returns the home instance of an upstream.
    #[must_use]
    pub fn home(&self, upstream: &id::Upstream) -> Option<Peer> {
        self.state.preferred_instance(upstream.as_str().as_bytes())
    }

    /// Returns the live instance that a key maps to by rendezvous hashing.
    #[must_use]
    pub fn preferred_instance(&self, key: &[u8]) -> Option<Peer> {
        self.state.preferred_instance(key)
    }

    /// Returns the live instances, including this one and those that are draining.
    #[must_use]
    pub fn live_instances(&self) -> Vec<Peer> {
        self.state.live_instances()
    }

    /// Returns the other instances that have a lease row, including those that are fenced: they may
    /// still run.
    #[must_use]
    pub fn known_peers(&self) -> Vec<Peer> {
        self.state.known_peers()
    }

    /// Returns the id of this instance.
    #[must_use]
    pub fn own_id(&self) -> id::Instance {
        self.state.own().clone()
    }

    /// Returns the current incarnation, or `None` if the lease is lost.
    #[must_use]
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.state.incarnation()
    }

    /// Returns whether this instance's lease is valid now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.state.is_valid()
    }

    /// Returns every instance that has a lease row, as shown to operators.
    #[must_use]
    pub fn instances(&self) -> Vec<operator::Instance> {
        let mut owned: BTreeMap<(&str, u64), u32> = BTreeMap::new();
        let partitions = self.state.partitions();
        for row in partitions.values() {
            let record = &row.record;
            *owned
                .entry((record.owner.as_str(), record.incarnation))
                .or_default() += 1;
        }
        let members = self.state.members();
        let described = members.iter().map(|(instance, member)| {
            let key = (instance.as_str(), member.record.incarnation);
            let partitions = owned.get(&key).copied().unwrap_or(0);
            describe_instance(instance, &member.record, partitions)
        });
        described.collect()
    }

    /// Waits until this instance has fenced its own lease, or a later start of the same instance has
    /// replaced it. From then on it owns nothing and does not join again.
    pub async fn wait_until_ended(&self) {
        self.state.wait_for_stage(Stage::Ended).await;
    }

    /// Wakes the watcher, which reads the lease and partition rows again.
    pub fn wake_watcher(&self) {
        self.wake.notify_one();
    }

    /// Hands over all partitions within `wait_ms` milliseconds, then fences this instance's own
    /// lease.
    ///
    /// Returns whether all partitions were handed over and the fence was written in time. The other
    /// instances claim any remaining partitions once they read the fence.
    pub async fn leave(&self, wait_ms: u64) -> bool {
        self.state.set_target_state(InstanceState::Leaving);
        self.commit.wake();
        self.wake_watcher();
        let wait = Duration::from_millis(wait_ms);
        let drained = tokio::time::timeout(wait, self.state.wait_for_stage(Stage::Drained))
            .await
            .is_ok();
        self.state.set_target_state(InstanceState::Fenced);
        self.commit.wake();
        let final_write = Duration::from_millis(FINAL_WRITE_TIMEOUT_MS);
        let written =
            tokio::time::timeout(final_write, self.state.wait_for_stage(Stage::Ended)).await;
        drained && written.is_ok()
    }
}

const FINAL_WRITE_TIMEOUT_MS: u64 = 3_000;

/// Maximum gap between two reads of the lease rows that still counts as continuous observation, in
/// heartbeats.
const MAX_READ_GAP_HEARTBEATS: u64 = 2;

fn lease_timing(settings: &Settings) -> Timing {
    Timing {
        lease_ms: settings.timing.lease_ms,
        margin_ms: settings.timing.lease_margin_ms,
        max_gap_ms: settings.timing.heartbeat_ms * MAX_READ_GAP_HEARTBEATS,
    }
}

fn initial_lease_record(settings: &Settings, peer_address: SocketAddr) -> record::Instance {
    record::Instance {
        incarnation: 0,
        peer_address: peer_address.to_string(),
        failure_domain: settings.instance.failure_domain.clone(),
        state: InstanceState::Live,
        moves: 0,
    }
}

fn describe_instance(
    instance: &id::Instance,
    record: &Instance,
    partitions: u32,
) -> operator::Instance {
    let state = match record.state {
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
        InstanceState::Fenced => "fenced",
    };
    operator::Instance {
        id: instance.to_string(),
        failure_domain: record.failure_domain.clone(),
        incarnation: record.incarnation,
        state: state.to_owned(),
        peer_address: record.peer_address.clone(),
        partitions,
    }
}
