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
use basilramp_core::lease::Timing;
use basilramp_platform::table::Client;
use basilramp_wire::record::{self, InstanceState};
use basilramp_wire::{operator, record::Instance};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{clock, commit, settings::Settings};
use state::{Shared, Stage};
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
pub enum Change {
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
    state: Shared,
    commit: commit::Handle,
    refresh: Arc<Notify>,
}

/// Takes over this instance's lease row under a new incarnation, however long that takes, and
/// starts the commit loop and the watcher of the other leases.
pub async fn join(
    table: &Client,
    settings: &Settings,
    peer_address: SocketAddr,
    clock: clock::Source,
) -> (Handle, commit::Handle, mpsc::UnboundedReceiver<Change>) {
    let (sender, changes) = mpsc::unbounded_channel();
    let own = id::Instance::new(settings.instance.id.as_str());
    let record = record(settings, peer_address);
    let state = Shared::open(own, record, clock, terms(settings), sender);
    let (commit, mut runner) = commit::Handle::open(table.clone(), state.clone(), settings);
    let acquired = runner.acquire().await;
    tokio::spawn(runner.run(acquired));
    let refresh = Arc::new(Notify::new());
    let watcher = Watcher::new(
        table.clone(),
        state.clone(),
        commit.clone(),
        Arc::clone(&refresh),
        settings,
    );
    tokio::spawn(watcher.run());
    let handle = Handle {
        state,
        commit: commit.clone(),
        refresh,
    };
    (handle, commit, changes)
}

impl Handle {
    /// Returns the term under which this instance owns a partition now, if it does.
    ///
    /// Nothing is owned while the lease, counted from before the last renewal was sent, has run
    /// out.
    #[must_use]
    pub fn owned(&self, partition: id::Partition) -> Option<id::Term> {
        let term = self.state.term(partition)?;
        self.state.is_valid().then_some(term)
    }

    /// Returns the term under which this instance last knew that it owned a partition, even if the
    /// lease has run out since; only a commit can tell whether it still holds.
    #[must_use]
    pub fn held(&self, partition: id::Partition) -> Option<id::Term> {
        self.state.term(partition)
    }

    /// Returns how many partitions are owned here, those being handed over among them.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state.count()
    }

    /// Returns the instance believed to own a partition.
    #[must_use]
    pub fn owner(&self, partition: id::Partition) -> Option<Peer> {
        self.state.owner(partition)
    }

    /// Returns the home instance of an upstream.
    #[must_use]
    pub fn home(&self, upstream: &id::Upstream) -> Option<Peer> {
        self.state.wanted(upstream.as_str().as_bytes())
    }

    /// Returns the instance that anything else with a key belongs with.
    #[must_use]
    pub fn wanted(&self, key: &[u8]) -> Option<Peer> {
        self.state.wanted(key)
    }

    /// Returns the instances that live, this one among them.
    #[must_use]
    pub fn live(&self) -> Vec<Peer> {
        self.state.live()
    }

    /// Returns this instance.
    #[must_use]
    pub fn own(&self) -> id::Instance {
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
        for known in partitions.values() {
            let record = &known.record;
            *owned
                .entry((record.owner.as_str(), record.incarnation))
                .or_default() += 1;
        }
        let members = self.state.members();
        let described = members.iter().map(|(instance, member)| {
            let start = (instance.as_str(), member.record.incarnation);
            let partitions = owned.get(&start).copied().unwrap_or(0);
            describe(instance, &member.record, partitions)
        });
        described.collect()
    }

    /// Returns once this instance has written its own end, or a later start of the same instance
    /// has taken its place. It owns nothing any more and does not join again.
    pub async fn ended(&self) {
        self.state.reached(Stage::Ended).await;
    }

    /// Has the watcher read the rows again at once.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }

    /// Hands all partitions over within `wait_ms` milliseconds, then writes this instance's end.
    ///
    /// Returns whether all were handed over. What is left is taken over by the others once they
    /// see the end.
    pub async fn leave(&self, wait_ms: u64) -> bool {
        self.state.set_target(InstanceState::Leaving);
        self.commit.wake();
        self.refresh();
        let wait = Duration::from_millis(wait_ms);
        let emptied = tokio::time::timeout(wait, self.state.reached(Stage::Emptied))
            .await
            .is_ok();
        self.state.set_target(InstanceState::Fenced);
        self.commit.wake();
        let last_write = Duration::from_millis(LAST_WRITE_WAIT_MS);
        let written = tokio::time::timeout(last_write, self.state.reached(Stage::Ended)).await;
        emptied && written.is_ok()
    }
}

const LAST_WRITE_WAIT_MS: u64 = 3_000;

/// The longest gap between reads that still counts as continuous watching, in heartbeats.
const GAP_HEARTBEATS: u64 = 2;

fn terms(settings: &Settings) -> Timing {
    Timing {
        lease_ms: settings.timing.lease_ms,
        margin_ms: settings.timing.lease_margin_ms,
        max_gap_ms: settings.timing.heartbeat_ms * GAP_HEARTBEATS,
    }
}

fn record(settings: &Settings, peer_address: SocketAddr) -> record::Instance {
    record::Instance {
        incarnation: 0,
        peer_address: peer_address.to_string(),
        failure_domain: settings.instance.failure_domain.clone(),
        state: InstanceState::Live,
        moves: 0,
    }
}

fn describe(instance: &id::Instance, record: &Instance, partitions: u32) -> operator::Instance {
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
