//! Membership state: this instance's lease, the other lease rows and the partition rows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::clock::Time;
use basilramp_core::lease::{OwnLease, Timing};
use basilramp_core::{id, partition};
use basilramp_wire::record::{self, InstanceState};
use tokio::sync::{mpsc, oneshot, watch};

use super::{OwnershipChange, Peer};
use crate::clock;

/// An instance's lease row as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseRow {
    pub(crate) version: u64,
    pub(crate) record: record::Instance,
}

/// A partition row as last read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PartitionRow {
    pub(crate) version: u64,
    pub(crate) record: record::Partition,
}

/// The handover phase of a partition owned here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No handover has begun.
    Owned,
    /// The partition's programs are being unloaded.
    HandingOver,
    /// The partition's programs are unloaded, and nothing is written for them any more.
    Released,
}

#[derive(Clone, Copy, Debug)]
struct OwnedPartition {
    term: id::Term,
    phase: Phase,
}

#[derive(Debug)]
struct State {
    record: record::Instance,
    incarnation: Option<id::Incarnation>,
    lease: OwnLease,
    members: BTreeMap<id::Instance, LeaseRow>,
    partitions: BTreeMap<id::Partition, PartitionRow>,
    owned: BTreeMap<id::Partition, OwnedPartition>,
    changes: mpsc::UnboundedSender<OwnershipChange>,
}

/// The lifecycle stage of this instance, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The instance joins and owns partitions.
    Active,
    /// The instance is draining and owns nothing any more.
    Drained,
    /// The instance does not join again.
    Ended,
}

/// Membership state, shared by the commit loop, the watcher and the handles.
#[derive(Clone, Debug)]
pub(crate) struct MembershipState {
    own: id::Instance,
    clock: clock::Clock,
    timing: Timing,
    state: Arc<Mutex<State>>,
    stage: watch::Sender<Stage>,
}

/// The partitions owned here at one point in time.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipSnapshot {
    incarnation: Option<id::Incarnation>,
    terms: BTreeMap<id::Partition, id::Term>,
}

impl OwnershipSnapshot {
    /// Returns the incarnation, or `None` if the lease is lost.
    pub(crate) fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
    }

    /// Returns the term under which a partition is owned.
    pub(crate) fn term(&self, partition: id::Partition) -> Option<id::Term> {
        self.terms.get(&partition).copied()
    }
}

impl MembershipState {
    pub(super) fn open(
        own: id::Instance,
        record: record::Instance,
        clock: clock::Clock,
        timing: Timing,
        changes: mpsc::UnboundedSender<OwnershipChange>,
    ) -> Self {
        let state = State {
            record,
            incarnation: None,
            lease: OwnLease::default(),
            members: BTreeMap::new(),
            partitions: BTreeMap::new(),
            owned: BTreeMap::new(),
            changes,
        };
        Self {
            own,
            clock,
            timing,
            state: Arc::new(Mutex::new(state)),
            stage: watch::Sender::new(Stage::Active),
        }
    }

    pub(crate) fn own(&self) -> &id::Instance {
        &self.own
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn timing(&self) -> Timing {
        self.timing
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// This instance's own lease.
impl MembershipState {
    /// Returns the body of the lease row under `incarnation`.
    pub(crate) fn lease_record(&self, incarnation: u64) -> record::Instance {
        let record = self.lock().record.clone();
        record::Instance {
            incarnation,
            ..record
        }
    }

    /// Returns the state that the next write of the lease row sets.
    pub(crate) fn target_state(&self) -> InstanceState {
        self.lock().record.state
    }

    /// Sets the state that the next write of the lease row sets.
    pub(super) fn set_target_state(&self, target: InstanceState) {
        self.lock().record.state = target;
    }

    /// Increments the move counter in the lease row, from which the other instances learn that
    /// partitions have changed owners.
    pub(super) fn record_move(&self) {
        self.lock().record.moves += 1;
    }

    /// Returns the current incarnation, or `None` if the lease is lost.
    pub(crate) fn incarnation(&self) -> Option<id::Incarnation> {
        self.lock().incarnation
    }

    /// Records that the lease was acquired by a write sent at `sent`.
    pub(crate) fn acquire_lease(&self, incarnation: u64, sent: Time) {
        let mut state = self.lock();
        state.incarnation = Some(id::Incarnation(incarnation));
        state.lease.renew(sent, self.timing);
    }

    /// Records a lease renewal that was first sent at `sent`.
    pub(crate) fn renew_lease(&self, sent: Time) {
        self.lock().lease.renew(sent, self.timing);
    }

    /// Records that the lease is lost, and every owned partition with it.
    pub(crate) fn lose_lease(&self) {
        let mut state = self.lock();
        state.incarnation = None;
        state.lease.mark_lost();
        state.owned.clear();
        // The receiver is dropped when the daemon stops.
        let _ = state.changes.send(OwnershipChange::Fenced);
    }

    /// Advances the lifecycle stage. An earlier stage than the current one has no effect.
    pub(crate) fn advance_stage(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            *current = stage.max(*current);
            is_later
        });
    }

    /// Waits until the instance has reached `stage`.
    pub(super) async fn wait_for_stage(&self, stage: Stage) {
        let mut current = self.stage.subscribe();
        // The sender is part of this state, so it is not dropped while this method waits.
        let _ = current.wait_for(|current| *current >= stage).await;
    }

    /// Returns whether the lease is valid now.
    pub(crate) fn is_valid(&self) -> bool {
        let now = self.now();
        self.lock().lease.is_valid(now)
    }
}

// Partitions.
impl MembershipState {
    /// Returns the partitions owned here, whether or not the lease is valid.
    pub(crate) fn ownership_snapshot(&self) -> OwnershipSnapshot {
        let state = self.lock();
        let owned = state.owned.iter();
        let owned = owned.filter(|(_, owned)| owned.phase != Phase::Released);
        OwnershipSnapshot {
            incarnation: state.incarnation,
            terms: owned
                .map(|(partition, owned)| (*partition, owned.term))
                .collect(),
        }
    }

    /// Returns the term under which a partition is owned here, whether or not the lease is valid.
    pub(crate) fn term(&self, partition: id::Partition) -> Option<id::Term> {
        let state = self.lock();
        let owned = state.owned.get(&partition)?;
        (owned.phase != Phase::Released).then_some(owned.term)
    }

    /// Records partition rows that are not older than the known ones, and takes ownership of those
    /// that name this instance and its incarnation as the owner.
    pub(super) fn apply_rows(&self, rows: impl IntoIterator<Item = (id::Partition, PartitionRow)>) {
        let mut state = self.lock();
        for (partition, row) in rows {
            let before = state.partitions.get(&partition);
            if before.is_none_or(|before| before.version <= row.version) {
                state.apply_row(partition, row, &self.own);
            }
        }
    }

    /// Starts to hand over a partition. The returned receiver is signalled once the partition's
    /// programs are unloaded.
    pub(super) fn begin_handover(&self, partition: id::Partition) -> Option<oneshot::Receiver<()>> {
        let mut state = self.lock();
        let owned = state.owned.get_mut(&partition)?;
        owned.phase = Phase::HandingOver;
        let (sender, receiver) = oneshot::channel();
        // If the channel is closed, the sender is dropped, which the caller treats as a signal.
        let _ = state
            .changes
            .send(OwnershipChange::Losing(partition, sender));
        Some(receiver)
    }

    /// Records that a partition's programs are unloaded.
    pub(super) fn mark_released(&self, partition: id::Partition) {
        if let Some(owned) = self.lock().owned.get_mut(&partition) {
            owned.phase = Phase::Released;
        }
    }

    /// Records that a partition has been handed over, with its new row.
    pub(super) fn complete_handover(
        &self,
        partition: id::Partition,
        row: PartitionRow,
        to: Option<Peer>,
    ) {
        let mut state = self.lock();
        state.owned.remove(&partition);
        state.partitions.insert(partition, row);
        if let Some(to) = to {
            let _ = state
                .changes
                .send(OwnershipChange::HandedOver(partition, to));
        }
    }

    /// Removes a partition after a failed write, since its row may differ from the known one.
    pub(super) fn remove_partition(&self, partition: id::Partition) {
        let mut state = self.lock();
        state.owned.remove(&partition);
        state.partitions.remove(&partition);
    }

    /// Returns the partition rows as last read or written.
    pub(super) fn partitions(&self) -> BTreeMap<id::Partition, PartitionRow> {
        self.lock().partitions.clone()
    }

    /// Returns the partitions owned here that are not being handed over.
    pub(super) fn settled_partitions(&self) -> Vec<id::Partition> {
        let state = self.lock();
        let settled = state.owned.iter();
        let settled = settled.filter(|(_, owned)| owned.phase == Phase::Owned);
        settled.map(|(partition, _)| *partition).collect()
    }

    /// Returns the number of partitions owned here, including those being handed over.
    pub(crate) fn owned_count(&self) -> usize {
        self.lock().owned.len()
    }

    /// Returns the instance believed to own a partition.
    pub(super) fn owner(&self, partition: id::Partition) -> Option<Peer> {
        let state = self.lock();
        let row = state.partitions.get(&partition)?;
        let owner = id::Instance::new(row.record.owner.as_str());
        let member = state.members.get(&owner)?;
        let current = member.record.incarnation == row.record.incarnation;
        let is_live = member.record.state != InstanceState::Fenced;
        (current && is_live).then(|| peer_from_record(&owner, &member.record))?
    }
}

impl State {
    fn apply_row(&mut self, partition: id::Partition, row: PartitionRow, own: &id::Instance) {
        let is_own = row.record.owner == own.as_str()
            && self.incarnation == Some(id::Incarnation(row.record.incarnation));
        let term = id::Term(row.record.term);
        self.partitions.insert(partition, row);
        if !is_own {
            self.owned.remove(&partition);
        } else if self
            .owned
            .get(&partition)
            .is_none_or(|owned| owned.term != term)
        {
            let phase = Phase::Owned;
            self.owned.insert(partition, OwnedPartition { term, phase });
            let _ = self.changes.send(OwnershipChange::Gained(partition, term));
        }
    }
}

// Instances.
impl MembershipState {
    /// Replaces the known lease rows.
    pub(super) fn set_members(&self, members: BTreeMap<id::Instance, LeaseRow>) {
        self.lock().members = members;
    }

    /// Records one lease row that this instance wrote.
    pub(super) fn set_member(&self, instance: id::Instance, member: LeaseRow) {
        self.lock().members.insert(instance, member);
    }

    /// Returns the lease rows as last read.
    pub(super) fn members(&self) -> BTreeMap<id::Instance, LeaseRow> {
        self.lock().members.clone()
    }

    /// Returns the number of instances that are not fenced.
    pub(crate) fn lease_holder_count(&self) -> usize {
        let state = self.lock();
        let live = state.members.values();
        live.filter(|member| member.record.state != InstanceState::Fenced)
            .count()
    }

    /// Returns the instances that are not fenced, including this one.
    pub(super) fn live_instances(&self) -> Vec<Peer> {
        let state = self.lock();
        let live = state.members.iter();
        let live = live.filter(|(_, member)| member.record.state != InstanceState::Fenced);
        live.filter_map(|(instance, member)| peer_from_record(instance, &member.record))
            .collect()
    }

    /// Returns the other instances that have a lease row, whatever its state.
    pub(super) fn known_peers(&self) -> Vec<Peer> {
        let state = self.lock();
        let others = state.members.iter();
        let others = others.filter(|(instance, _)| **instance != self.own);
        others
            .filter_map(|(instance, member)| peer_from_record(instance, &member.record))
            .collect()
    }

    /// Returns the instance that `key` maps to, among those that are live and not draining.
    pub(super) fn preferred_instance(&self, key: &[u8]) -> Option<Peer> {
        let state = self.lock();
        let live = state.members.iter();
        let live = live.filter(|(_, member)| member.record.state == InstanceState::Live);
        let chosen_id = partition::preferred_instance(key, live.map(|(instance, _)| instance))?;
        peer_from_record(chosen_id, &state.members.get(chosen_id)?.record)
    }
}

/// Returns an instance's peer address, or `None` if its row has no valid one.
pub(super) fn peer_from_record(instance: &id::Instance, record: &record::Instance) -> Option<Peer> {
    let address = record.peer_address.parse().ok()?;
    Some(Peer {
        id: instance.clone(),
        incarnation: id::Incarnation(record.incarnation),
        address,
    })
}
