//! Watches the other instances' leases and the partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::lease::{Scan, Tracker};
use basilramp_core::{id, partition};
use basilramp_platform::table::{Action, Check, Client, Key, Row, Write};
use basilramp_wire::record::{self, InstanceState};
use futures_util::future::join_all;
use rand::Rng;
use tokio::sync::Notify;

use super::claim;
use super::handover;
use super::state::{Known, Member, Shared, Stage};
use crate::commit::{self, INSTANCE_PARTITION_KEY};
use crate::settings::Settings;

/// The partition key of partition rows.
pub(super) const PARTITIONS: &str = "partition";

/// Rounds after which partition rows are read again though no instance tells of a change.
const QUIET_ROUNDS: u32 = 60;

/// Rounds for which partition rows are read each time after the instances have changed.
const UNSETTLED_ROUNDS: u32 = 20;

/// Rounds for each heartbeat while the instances or partitions change.
const UNSETTLED_RATE: u64 = 4;

/// Heartbeats within which an instance that is given partitions must have renewed its lease.
const FRESH_HEARTBEATS: u64 = 3;

/// Heartbeats that a fence waits to be sent.
const FENCE_HEARTBEATS: u64 = 2;

/// Reads the rows round by round and acts on what they show.
#[derive(Debug)]
pub(super) struct Watcher {
    client: Client,
    state: Shared,
    commit: commit::Handle,
    refresh: Arc<Notify>,
    heartbeat_ms: u64,
    watch: Tracker,
    live: BTreeSet<(id::Instance, u64)>,
    rounds_to_read: u32,
    unsettled_rounds: u32,
    /// What the lease rows told of changes before the partition rows were last read.
    moves: Moves,
    /// When this instance's own row was first read as leaving.
    leaving_since: Option<Time>,
}

/// For each instance its incarnation and [`record::Instance::moves`].
type Moves = BTreeMap<id::Instance, (u64, u64)>;

impl Watcher {
    pub(super) fn new(
        client: Client,
        state: Shared,
        commit: commit::Handle,
        refresh: Arc<Notify>,
        settings: &Settings,
    ) -> Self {
        Self {
            client,
            watch: Tracker::new(state.terms()),
            state,
            commit,
            refresh,
            heartbeat_ms: settings.timing.heartbeat_ms,
            live: BTreeSet::new(),
            rounds_to_read: 0,
            unsettled_rounds: UNSETTLED_ROUNDS,
            moves: Moves::new(),
            leaving_since: None,
        }
    }

    /// Runs rounds until this instance has written its own end.
    pub(super) async fn run(mut self) {
        let state = self.state.clone();
        tokio::select! {
            () = state.reached(Stage::Ended) => {}
            () = self.rounds() => {}
        }
    }

    async fn rounds(&mut self) {
        loop {
            self.round().await;
            let wait = Duration::from_millis(self.wait_ms());
            let hint = tokio::time::timeout(wait, self.refresh.notified()).await;
            if hint.is_ok() {
                self.rounds_to_read = 0;
            }
        }
    }

    /// Returns the time until the next round, with jitter.
    fn wait_ms(&self) -> u64 {
        let rate = if self.unsettled_rounds > 0 {
            UNSETTLED_RATE
        } else {
            1
        };
        let wait_ms = self.heartbeat_ms / rate;
        rand::rng().random_range(wait_ms * 4 / 5..=wait_ms)
    }

    async fn round(&mut self) {
        if !self.read_members().await {
            return;
        }
        self.fence_lapsed().await;
        self.note_live();
        self.unsettled_rounds = self.unsettled_rounds.saturating_sub(1);
        let quiet = self.unsettled_rounds == 0 && self.leaving_since.is_none();
        let moves = self.moves();
        if self.rounds_to_read > 0 && quiet && moves == self.moves {
            self.rounds_to_read -= 1;
            return;
        }
        let started = self.state.now();
        if self.read_partitions().await {
            self.rounds_to_read = QUIET_ROUNDS;
            self.moves = moves;
            self.place().await;
            self.note_emptied(started);
        }
    }

    /// Returns what the lease rows tell of changes of ownership.
    fn moves(&self) -> Moves {
        let members = self.state.members().into_iter();
        let told = members.map(|(instance, member)| {
            let record = member.record;
            (instance, (record.incarnation, record.moves))
        });
        told.collect()
    }

    async fn read_members(&mut self) -> bool {
        let able = self.state.is_valid();
        let started = self.state.now();
        let Ok(rows) = self.client.query_all(INSTANCE_PARTITION_KEY, "").await else {
            return false;
        };
        let finished = self.state.now();
        let members: BTreeMap<id::Instance, Member> = rows.iter().filter_map(member).collect();
        let reading = Scan {
            started,
            finished,
            lease_valid: able && self.state.is_valid(),
        };
        let own = self.state.own();
        let others = members.iter().filter(|(instance, member)| {
            *instance != own && member.record.state != InstanceState::Fenced
        });
        let versions = others.map(|(instance, member)| (instance.clone(), member.version));
        self.watch.observe(reading, versions);
        self.state.set_members(members);
        true
    }

    /// Fences the instances whose leases have lapsed.
    async fn fence_lapsed(&self) {
        let members = self.state.members();
        let dead: BTreeSet<id::Instance> = self.watch.expired(|_| 0).into_keys().collect();
        let rank = |victim: &id::Instance| {
            let live = members.iter().filter(|(instance, member)| {
                member.record.state != InstanceState::Fenced && !dead.contains(instance)
            });
            let live = live.map(|(instance, _)| instance);
            partition::rank(victim.as_str().as_bytes(), self.state.own(), live) as u64
        };
        let stagger_ms = self.heartbeat_ms / UNSETTLED_RATE;
        let lapsed = self.watch.expired(|victim| rank(victim) * stagger_ms);
        let fences = lapsed.into_iter().filter_map(|(victim, version)| {
            let member = members.get(&victim)?;
            let member = (member.version == version).then_some(member)?;
            Some(self.fence(victim, member.clone()))
        });
        join_all(fences).await;
    }

    async fn fence(&self, victim: id::Instance, member: Member) {
        let fenced = Member {
            version: member.version + 1,
            record: record::Instance {
                state: InstanceState::Fenced,
                ..member.record
            },
        };
        let write = Write {
            key: Key::new(INSTANCE_PARTITION_KEY, victim.as_str()),
            check: Check::Version(member.version),
            action: Action::Put {
                version: fenced.version,
                body: body(&fenced.record),
            },
        };
        // A fence that waits for the store is made anew from what is read then.
        let wait_ms = self.heartbeat_ms * FENCE_HEARTBEATS;
        if self
            .commit
            .submit_with_timeout(vec![write], wait_ms)
            .await
            .is_ok()
        {
            self.state.set_member(victim, fenced);
        }
    }

    /// Notes whether the instances that hold a lease have changed.
    fn note_live(&mut self) {
        let members = self.state.members();
        let live = members
            .iter()
            .filter(|(_, member)| member.record.state == InstanceState::Live);
        let live = live.map(|(instance, member)| (instance.clone(), member.record.incarnation));
        let live: BTreeSet<_> = live.collect();
        let own = members.get(self.state.own());
        if own.is_some_and(|own| own.record.state == InstanceState::Leaving) {
            self.leaving_since.get_or_insert(self.state.now());
        }
        if live != self.live {
            self.live = live;
            self.unsettled_rounds = UNSETTLED_ROUNDS;
        }
    }

    /// Notes that nothing is owned any more, by a read of the partitions that began once the others
    /// had had a heartbeat's time to see that this instance leaves.
    fn note_emptied(&mut self, read_started: Time) {
        let Some(since) = self.leaving_since else {
            return;
        };
        if read_started >= since.after(self.heartbeat_ms) && self.state.count() == 0 {
            self.state.reach(Stage::Emptied);
        }
    }

    async fn read_partitions(&self) -> bool {
        let Ok(rows) = self.client.query_all(PARTITIONS, "").await else {
            return false;
        };
        self.state.learn(rows.iter().filter_map(known));
        true
    }

    /// Claims partitions that nobody owns, and hands over those that belong elsewhere.
    async fn place(&mut self) {
        if !self.state.is_valid() {
            return;
        }
        let claimed = claim::run(&self.state, &self.commit).await;
        let fresh_ms = self.heartbeat_ms * FRESH_HEARTBEATS;
        let handed = handover::start(&self.state, &self.commit, |peer| {
            self.watch.renewed_within(peer, fresh_ms)
        });
        if claimed || handed {
            self.unsettled_rounds = UNSETTLED_ROUNDS;
        }
    }
}

/// Returns a record as a row's body.
pub(super) fn body(record: &impl serde::Serialize) -> Arc<str> {
    serde_json::to_string(record).unwrap_or_default().into()
}

fn member(row: &Row) -> Option<(id::Instance, Member)> {
    let record = serde_json::from_str(&row.body).ok()?;
    let member = Member {
        version: row.version,
        record,
    };
    Some((id::Instance::new(Arc::clone(&row.key.sort)), member))
}

fn known(row: &Row) -> Option<(id::Partition, Known)> {
    let record = serde_json::from_str(&row.body).ok()?;
    let number = row.key.sort.parse().ok()?;
    let known = Known {
        version: row.version,
        record,
    };
    Some((id::Partition(number), known))
}
