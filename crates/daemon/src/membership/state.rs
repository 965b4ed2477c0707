//! What this instance knows about itself, its peers and the partitions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::clock::Time;
use basilramp_core::lease::{OwnLease, Timing};
use basilramp_core::{id, partition};
use basilramp_wire::record::{self, InstanceState};
use tokio::sync::{mpsc, oneshot, watch};

use super::{Change, Peer};
use crate::clock;

/// A lease row as it was last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) version: u64,
    pub(crate) record: record::Instance,
}

/// A partition row as it was last read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    pub(crate) version: u64,
    pub(crate) record: record::Partition,
}

/// How far a partition that is owned here has been handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its programs run here.
    Owned,
    /// Its programs are being let go.
    Losing,
    /// Its programs are let go; nothing is written for them any more.
    Released,
}

#[derive(Clone, Copy, Debug)]
struct Mine {
    term: id::Term,
    phase: Phase,
}

#[derive(Debug)]
struct State {
    record: record::Instance,
    incarnation: Option<id::Incarnation>,
    held: OwnLease,
    members: BTreeMap<id::Instance, Member>,
    partitions: BTreeMap<id::Partition, Known>,
    mine: BTreeMap<id::Partition, Mine>,
    changes: mpsc::UnboundedSender<Change>,
}

/// How far an instance's life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// It joins and takes partitions.
    Member,
    /// It is leaving and owns nothing any more.
    Emptied,
    /// It does not join again.
    Ended,
}

/// The state, shared by the commit loop, the watcher and the handles.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    own: id::Instance,
    clock: clock::Source,
    terms: Timing,
    state: Arc<Mutex<State>>,
    stage: watch::Sender<Stage>,
}

/// What is owned here at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Ownership {
    incarnation: Option<id::Incarnation>,
    terms: BTreeMap<id::Partition, id::Term>,
}

impl Ownership {
    /// Returns the incarnation, unless the lease is lost.
    pub(crate) fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
    }

    /// Returns the term under which a partition is owned.
    pub(crate) fn term(&self, partition: id::Partition) -> Option<id::Term> {
        self.terms.get(&partition).copied()
    }
}

impl Shared {
    pub(super) fn open(
        own: id::Instance,
        record: record::Instance,
        clock: clock::Source,
        terms: Timing,
        changes: mpsc::UnboundedSender<Change>,
    ) -> Self {
        let state = State {
            record,
            incarnation: None,
            held: OwnLease::default(),
            members: BTreeMap::new(),
            partitions: BTreeMap::new(),
            mine: BTreeMap::new(),
            changes,
        };
        Self {
            own,
            clock,
            terms,
            state: Arc::new(Mutex::new(state)),
            stage: watch::Sender::new(Stage::Member),
        }
    }

    pub(crate) fn own(&self) -> &id::Instance {
        &self.own
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn terms(&self) -> Timing {
        self.terms
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// Commands and queries about this instance's own lease.
impl Shared {
    /// Returns the lease row's body under `incarnation`.
    pub(crate) fn record(&self, incarnation: u64) -> record::Instance {
        let record = self.lock().record.clone();
        record::Instance {
            incarnation,
            ..record
        }
    }

    /// Returns the state that the lease row is to have.
    pub(crate) fn target(&self) -> InstanceState {
        self.lock().record.state
    }

    /// Sets the state that the lease row is to have.
    pub(super) fn set_target(&self, target: InstanceState) {
        self.lock().record.state = target;
    }

    /// Has the transactions from now on tell the others that partitions change owners.
    pub(super) fn note_move(&self) {
        self.lock().record.moves += 1;
    }

    /// Returns the current incarnation, unless the lease is lost.
    pub(crate) fn incarnation(&self) -> Option<id::Incarnation> {
        self.lock().incarnation
    }

    /// Notes a lease taken over by a write that was sent at `sent`.
    pub(crate) fn join(&self, incarnation: u64, sent: Time) {
        let mut state = self.lock();
        state.incarnation = Some(id::Incarnation(incarnation));
        state.held.renew(sent, self.terms);
    }

    /// Notes a renewal that was first sent at `sent`.
    pub(crate) fn renew(&self, sent: Time) {
        self.lock().held.renew(sent, self.terms);
    }

    /// Notes that the lease is lost, and with it everything owned.
    pub(crate) fn lose_all(&self) {
        let mut state = self.lock();
        state.incarnation = None;
        state.held.mark_lost();
        state.mine.clear();
        // Nobody listens any more once the daemon stops.
        let _ = state.changes.send(Change::Fenced);
    }

    /// Notes how far the instance's life has come.
    pub(crate) fn reach(&self, stage: Stage) {
        self.stage.send_if_modified(|reached| {
            let is_later = stage > *reached;
            *reached = stage.max(*reached);
            is_later
        });
    }

    /// Returns once the instance's life has come as far as `stage`.
    pub(super) async fn reached(&self, stage: Stage) {
        let mut reached = self.stage.subscribe();
        // The sender lives as long as this state.
        let _ = reached.wait_for(|reached| *reached >= stage).await;
    }

    /// Tells whether the lease is held now.
    pub(crate) fn is_valid(&self) -> bool {
        let now = self.now();
        self.lock().held.is_valid(now)
    }
}

// Commands and queries about partitions.
impl Shared {
    /// Returns what is owned here, whether or not the lease is valid.
    pub(crate) fn ownership(&self) -> Ownership {
        let state = self.lock();
        let kept = state.mine.iter();
        let kept = kept.filter(|(_, mine)| mine.phase != Phase::Released);
        Ownership {
            incarnation: state.incarnation,
            terms: kept
                .map(|(partition, mine)| (*partition, mine.term))
                .collect(),
        }
    }

    /// Returns the term under which a partition is owned here, whether or not the lease is valid.
    pub(crate) fn term(&self, partition: id::Partition) -> Option<id::Term> {
        let state = self.lock();
        let mine = state.mine.get(&partition)?;
        (mine.phase != Phase::Released).then_some(mine.term)
    }

    /// Notes partition rows, and gains those that name this instance as their owner.
    pub(super) fn learn(&self, rows: impl IntoIterator<Item = (id::Partition, Known)>) {
        let mut state = self.lock();
        for (partition, known) in rows {
            let before = state.partitions.get(&partition);
            if before.is_none_or(|before| before.version <= known.version) {
                state.learn(partition, known, &self.own);
            }
        }
    }

    /// Starts to hand a partition over; the receiver is answered once its programs are let go.
    pub(super) fn lose(&self, partition: id::Partition) -> Option<oneshot::Receiver<()>> {
        let mut state = self.lock();
        let mine = state.mine.get_mut(&partition)?;
        mine.phase = Phase::Losing;
        let (sender, receiver) = oneshot::channel();
        // A receiver that has gone drops the sender, which counts as an answer.
        let _ = state.changes.send(Change::Losing(partition, sender));
        Some(receiver)
    }

    /// Notes that a partition's programs are let go.
    pub(super) fn release(&self, partition: id::Partition) {
        if let Some(mine) = self.lock().mine.get_mut(&partition) {
            mine.phase = Phase::Released;
        }
    }

    /// Notes that a partition has been handed over, by the row that now stands.
    pub(super) fn hand_over(&self, partition: id::Partition, known: Known, to: Option<Peer>) {
        let mut state = self.lock();
        state.mine.remove(&partition);
        state.partitions.insert(partition, known);
        if let Some(to) = to {
            let _ = state.changes.send(Change::HandedOver(partition, to));
        }
    }

    /// Forgets a partition whose row is not what this instance thought.
    pub(super) fn forget(&self, partition: id::Partition) {
        let mut state = self.lock();
        state.mine.remove(&partition);
        state.partitions.remove(&partition);
    }

    /// Returns the partition rows as they were last read or written.
    pub(super) fn partitions(&self) -> BTreeMap<id::Partition, Known> {
        self.lock().partitions.clone()
    }

    /// Returns the partitions owned here whose hand-over has not begun.
    pub(super) fn settled(&self) -> Vec<id::Partition> {
        let state = self.lock();
        let settled = state.mine.iter();
        let settled = settled.filter(|(_, mine)| mine.phase == Phase::Owned);
        settled.map(|(partition, _)| *partition).collect()
    }

    /// Returns how many partitions are owned here, those being handed over among them.
    pub(crate) fn count(&self) -> usize {
        self.lock().mine.len()
    }

    /// Returns the instance believed to own a partition.
    pub(super) fn owner(&self, partition: id::Partition) -> Option<Peer> {
        let state = self.lock();
        let known = state.partitions.get(&partition)?;
        let owner = id::Instance::new(known.record.owner.as_str());
        let member = state.members.get(&owner)?;
        let current = member.record.incarnation == known.record.incarnation;
        let alive = member.record.state != InstanceState::Fenced;
        (current && alive).then(|| peer(&owner, &member.record))?
    }
}

impl State {
    fn learn(&mut self, partition: id::Partition, known: Known, own: &id::Instance) {
        let is_own = known.record.owner == own.as_str()
            && self.incarnation == Some(id::Incarnation(known.record.incarnation));
        let term = id::Term(known.record.term);
        self.partitions.insert(partition, known);
        if !is_own {
            self.mine.remove(&partition);
        } else if self
            .mine
            .get(&partition)
            .is_none_or(|mine| mine.term != term)
        {
            let phase = Phase::Owned;
            self.mine.insert(partition, Mine { term, phase });
            let _ = self.changes.send(Change::Gained(partition, term));
        }
    }
}

// Commands and queries about the instances.
impl Shared {
    /// Notes the lease rows.
    pub(super) fn set_members(&self, members: BTreeMap<id::Instance, Member>) {
        self.lock().members = members;
    }

    /// Notes one lease row that this instance wrote.
    pub(super) fn set_member(&self, instance: id::Instance, member: Member) {
        self.lock().members.insert(instance, member);
    }

    /// Returns the lease rows as they were last read.
    pub(super) fn members(&self) -> BTreeMap<id::Instance, Member> {
        self.lock().members.clone()
    }

    /// Returns how many instances hold a lease.
    pub(crate) fn live_count(&self) -> usize {
        let state = self.lock();
        let live = state.members.values();
        live.filter(|member| member.record.state != InstanceState::Fenced)
            .count()
    }

    /// Returns the instances that hold a lease, this one among them.
    pub(super) fn live(&self) -> Vec<Peer> {
        let state = self.lock();
        let live = state.members.iter();
        let live = live.filter(|(_, member)| member.record.state != InstanceState::Fenced);
        live.filter_map(|(instance, member)| peer(instance, &member.record))
            .collect()
    }

    /// Returns the instance that takes part in new work and that `key` belongs with.
    pub(super) fn wanted(&self, key: &[u8]) -> Option<Peer> {
        let state = self.lock();
        let live = state.members.iter();
        let live = live.filter(|(_, member)| member.record.state == InstanceState::Live);
        let wanted = partition::preferred_instance(key, live.map(|(instance, _)| instance))?;
        peer(wanted, &state.members.get(wanted)?.record)
    }
}

/// Returns how an instance is reached, if its row says so.
pub(super) fn peer(instance: &id::Instance, record: &record::Instance) -> Option<Peer> {
    let address = record.peer_address.parse().ok()?;
    Some(Peer {
        id: instance.clone(),
        incarnation: id::Incarnation(record.incarnation),
        address,
    })
}
