//! Which instances live, and which of them owns what.

mod claim;
mod handover;
pub(crate) mod state;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::lease::Terms;
use basilramp_platform::table::Client;
use basilramp_wire::record::{self, InstanceState};
use basilramp_wire::{operator, record::Instance};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{clock, commit, settings::Settings};
use state::{MembershipState, Stage};
use watch::Watcher;

/// An instance that can be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: id::Instance,
    /// Its start.
    pub incarnation: id::Incarnation,
    /// Where it takes frames.
    pub address: SocketAddr,
}

/// What changed in what this instance owns.
#[derive(Debug)]
pub enum OwnershipChange {
    /// A partition is owned from now on.
    Gained(id::Partition, id::Term),
    /// A partition is to be handed over; the sender is answered once its programs are let go.
    Losing(id::Partition, oneshot::Sender<()>),
    /// A partition has been handed over; the new owner may be told to look.
    HandedOver(id::Partition, Peer),
    /// The instance was fenced: everything it owned is lost at once.
    Fenced,
}

/// Answers questions about membership.
#[derive(Clone, Debug)]
pub struct Handle {
    state: MembershipState,
    commit: commit::Handle,
    wake: Arc<Notify>,
}

/// Takes over this instance's lease row under a new incarnation, however long that takes, and
/// starts the commit loop and the watcher of the other leases.
pub async fn join(
    table: &Client,
    settings: &Settings,
    peer_address: SocketAddr,
    clock: clock::Source,
) -> (
    Handle,
    commit::Handle,
    mpsc::UnboundedReceiver<OwnershipChange>,
) {
    let (sender, changes) = mpsc::unbounded_channel();
    let own = id::Instance::new(settings.instance.id.as_str());
    let record = initial_lease_record(settings, peer_address);
    let state = MembershipState::open(own, record, clock, lease_terms(settings), sender);
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
    /// Returns the term under which this instance owns a partition now, if it does.
    ///
    /// Nothing is owned while the lease, counted from before the last renewal was sent, has run
    /// out.
    #[must_use]
    pub fn owned_term(&self, partition: id::Partition) -> Option<id::Term> {
        let term = self.state.term(partition)?;
        self.state.is_valid().then_some(term)
    }

    /// Returns the term under which this instance last knew that it owned a partition, even if the
    /// lease has run out since; only a commit can tell whether it still holds.
    #[must_use]
    pub fn last_known_term(&self, partition: id::Partition) -> Option<id::Term> {
        self.state.term(partition)
    }

    /// Returns how many partitions are owned here, those being handed over among them.
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
        self.state.instance_for_key(upstream.as_str().as_bytes())
    }

    /// Returns the instance that anything else with a key belongs with.
    #[must_use]
    pub fn instance_for_key(&self, key: &[u8]) -> Option<Peer> {
        self.state.instance_for_key(key)
    }

    /// Returns the instances that live, this one among them.
    #[must_use]
    pub fn live_instances(&self) -> Vec<Peer> {
        self.state.live_instances()
    }

    /// Returns this instance.
    #[must_use]
    pub fn own_id(&self) -> id::Instance {
        self.state.own().clone()
    }

    /// Returns the current incarnation, unless the lease is lost.
    #[must_use]
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.state.incarnation()
    }

    /// Tells whether the lease is held now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.state.is_valid()
    }

    /// Returns every instance that has a lease row, for operators.
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

    /// Returns once this instance has written its own end, or a later start of the same instance
    /// has taken its place. It owns nothing any more and does not join again.
    pub async fn wait_until_ended(&self) {
        self.state.wait_for_stage(Stage::Ended).await;
    }

    /// Has the watcher read the rows again at once.
    pub fn wake_watcher(&self) {
        self.wake.notify_one();
    }

    /// Hands all partitions over within `wait_ms` milliseconds, then writes this instance's end.
    ///
    /// Returns whether all were handed over. What is left is taken over by the others once they
    /// see the end.
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

/// The longest gap between reads that still counts as continuous watching, in heartbeats.
const MAX_READ_GAP_HEARTBEATS: u64 = 2;

fn lease_terms(settings: &Settings) -> Terms {
    Terms {
        lease_ms: settings.timing.lease_ms,
        margin_ms: settings.timing.lease_margin_ms,
        gap_ms: settings.timing.heartbeat_ms * MAX_READ_GAP_HEARTBEATS,
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
