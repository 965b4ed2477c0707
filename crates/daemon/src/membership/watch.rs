//! Watches the lease rows and the partition rows, fences instances with expired leases, and
//! rebalances partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::lease::{Scan, Tracker};
use basilramp_core::{id, partition};
use basilramp_platform::table::{Action, Client, Condition, Key, Row, Write};
use basilramp_wire::record::{self, InstanceState};
use futures_util::future::join_all;
use rand::Rng;
use tokio::sync::Notify;

use super::claim;
use super::handover;
use super::state::{LeaseRow, MembershipState, PartitionRow, Stage};
use crate::commit::{self, INSTANCE_PARTITION_KEY};
use crate::settings::Settings;

/// The partition key of partition rows.
pub(super) const PARTITION_ROWS_KEY: &str = "partition";

/// Rounds after which the partition rows are read although no lease row shows a change.
const MAX_ROUNDS_WITHOUT_PARTITION_READ: u32 = 60;

/// Rounds after a change of instances or partitions in which the partition rows are always read.
const UNSETTLED_ROUNDS: u32 = 20;

/// Rounds per heartbeat while instances or partitions are changing.
const UNSETTLED_ROUNDS_PER_HEARTBEAT: u64 = 4;

/// Maximum age of the last lease renewal of an instance that receives partitions, in heartbeats.
const MAX_RENEWAL_AGE_HEARTBEATS: u64 = 3;

/// Maximum time that the write of a fence waits to be sent, in heartbeats.
const FENCE_TIMEOUT_HEARTBEATS: u64 = 2;

/// Reads the lease and partition rows periodically and acts on changes.
#[derive(Debug)]
pub(super) struct Watcher {
    client: Client,
    state: MembershipState,
    commit: commit::Handle,
    wake: Arc<Notify>,
    heartbeat_ms: u64,
    tracker: Tracker,
    live_incarnations: BTreeSet<(id::Instance, u64)>,
    rounds_until_partition_read: u32,
    unsettled_rounds: u32,
    /// The move counters of the lease rows before the partition rows were last read.
    move_counters: MoveCounters,
    /// When this instance's own lease row was first read as draining.
    draining_since: Option<Time>,
}

/// The incarnation and [`record::Instance::moves`] of each instance.
type MoveCounters = BTreeMap<id::Instance, (u64, u64)>;

impl Watcher {
    pub(super) fn new(
        client: Client,
        state: MembershipState,
        commit: commit::Handle,
        wake: Arc<Notify>,
        settings: &Settings,
    ) -> Self {
        Self {
            client,
            tracker: Tracker::new(state.timing()),
            state,
            commit,
            wake,
            heartbeat_ms: settings.timing.heartbeat_ms,
            live_incarnations: BTreeSet::new(),
            rounds_until_partition_read: 0,
            unsettled_rounds: UNSETTLED_ROUNDS,
            move_counters: MoveCounters::new(),
            draining_since: None,
        }
    }

    /// Runs rounds until this instance reaches [`Stage::Ended`].
    pub(super) async fn run(mut self) {
        let state = self.state.clone();
        tokio::select! {
            () = state.wait_for_stage(Stage::Ended) => {}
            () = self.run_rounds() => {}
        }
    }

    async fn run_rounds(&mut self) {
        loop {
            self.run_round().await;
            let wait = Duration::from_millis(self.wait_ms());
            let woken = tokio::time::timeout(wait, self.wake.notified()).await;
            if woken.is_ok() {
                self.rounds_until_partition_read = 0;
            }
        }
    }

    /// Returns the time until the next round, with jitter.
    fn wait_ms(&self) -> u64 {
        let rate = if self.unsettled_rounds > 0 {
            UNSETTLED_ROUNDS_PER_HEARTBEAT
        } else {
            1
        };
        let wait_ms = self.heartbeat_ms / rate;
        rand::rng().random_range(wait_ms * 4 / 5..=wait_ms)
    }

    async fn run_round(&mut self) {
        if !self.read_members().await {
            return;
        }
        self.fence_expired().await;
        self.update_live_incarnations();
        self.unsettled_rounds = self.unsettled_rounds.saturating_sub(1);
        let quiet = self.unsettled_rounds == 0 && self.draining_since.is_none();
        let move_counters = self.current_move_counters();
        if self.rounds_until_partition_read > 0 && quiet && move_counters == self.move_counters {
            self.rounds_until_partition_read -= 1;
            return;
        }
        let started = self.state.now();
        if self.read_partitions().await {
            self.rounds_until_partition_read = MAX_ROUNDS_WITHOUT_PARTITION_READ;
            self.move_counters = move_counters;
            self.rebalance().await;
            self.report_if_drained(started);
        }
    }

    /// Returns the move counters of the lease rows, which change when partitions change owners.
    fn current_move_counters(&self) -> MoveCounters {
        let members = self.state.members().into_iter();
        let counters = members.map(|(instance, member)| {
            let record = member.record;
            (instance, (record.incarnation, record.moves))
        });
        counters.collect()
    }

    async fn read_members(&mut self) -> bool {
        let valid_before = self.state.is_valid();
        let started = self.state.now();
        let Ok(rows) = self.client.query_all(INSTANCE_PARTITION_KEY, "").await else {
            return false;
        };
        let finished = self.state.now();
        let members: BTreeMap<id::Instance, LeaseRow> =
            rows.iter().filter_map(parse_lease_row).collect();
        let scan = Scan {
            started,
            finished,
            lease_valid: valid_before && self.state.is_valid(),
        };
        let own = self.state.own();
        let others = members.iter().filter(|(instance, member)| {
            *instance != own && member.record.state != InstanceState::Fenced
        });
        let versions = others.map(|(instance, member)| (instance.clone(), member.version));
        self.tracker.observe(scan, versions);
        self.state.set_members(members);
        true
    }

    /// Fences the instances whose leases have expired.
    ///
    /// The live instances try in an order that depends on the victim, each a fraction of a heartbeat
    /// after the one before, so that they rarely write the same fence at the same time.
    async fn fence_expired(&self) {
        let members = self.state.members();
        let expired_instances: BTreeSet<id::Instance> =
            self.tracker.expired(|_| 0).into_keys().collect();
        let rank = |victim: &id::Instance| {
            let live = members.iter().filter(|(instance, member)| {
                member.record.state != InstanceState::Fenced
                    && !expired_instances.contains(instance)
            });
            let live = live.map(|(instance, _)| instance);
            partition::rank(victim.as_str().as_bytes(), self.state.own(), live) as u64
        };
        let stagger_ms = self.heartbeat_ms / UNSETTLED_ROUNDS_PER_HEARTBEAT;
        let expired = self.tracker.expired(|victim| rank(victim) * stagger_ms);
        let fences = expired.into_iter().filter_map(|(victim, version)| {
            let member = members.get(&victim)?;
            let member = (member.version == version).then_some(member)?;
            Some(self.fence(victim, member.clone()))
        });
        join_all(fences).await;
    }

    async fn fence(&self, victim: id::Instance, member: LeaseRow) {
        let fenced = LeaseRow {
            version: member.version + 1,
            record: record::Instance {
                state: InstanceState::Fenced,
                ..member.record
            },
        };
        let write = Write {
            key: Key::new(INSTANCE_PARTITION_KEY, victim.as_str()),
            condition: Condition::Version(member.version),
            action: Action::Put {
                version: fenced.version,
                body: record_body(&fenced.record),
            },
        };
        // A fence that the store delays is dropped; a later round creates it from newer rows.
        let wait_ms = self.heartbeat_ms * FENCE_TIMEOUT_HEARTBEATS;
        if self
            .commit
            .submit_with_timeout(vec![write], wait_ms)
            .await
            .is_ok()
        {
            self.state.set_member(victim, fenced);
        }
    }

    /// Records the live instances, and speeds up the rounds if they have changed.
    fn update_live_incarnations(&mut self) {
        let members = self.state.members();
        let live = members
            .iter()
            .filter(|(_, member)| member.record.state == InstanceState::Live);
        let live = live.map(|(instance, member)| (instance.clone(), member.record.incarnation));
        let live: BTreeSet<_> = live.collect();
        let own = members.get(self.state.own());
        if own.is_some_and(|own| own.record.state == InstanceState::Leaving) {
            self.draining_since.get_or_insert(self.state.now());
        }
        if live != self.live_incarnations {
            self.live_incarnations = live;
            self.unsettled_rounds = UNSETTLED_ROUNDS;
        }
    }

    /// Advances to [`Stage::Drained`] if no partition is owned any more.
    ///
    /// The read of the partition rows must have begun a heartbeat after this instance was first seen
    /// as draining, so that the others have had time to read its state.
    fn report_if_drained(&mut self, read_started: Time) {
        let Some(since) = self.draining_since else {
            return;
        };
        if read_started >= since.after(self.heartbeat_ms) && self.state.owned_count() == 0 {
            self.state.advance_stage(Stage::Drained);
        }
    }

    async fn read_partitions(&self) -> bool {
        let Ok(rows) = self.client.query_all(PARTITION_ROWS_KEY, "").await else {
            return false;
        };
        self.state
            .apply_rows(rows.iter().filter_map(parse_partition_row));
        true
    }

    /// Claims unowned partitions and hands over those that map to other instances.
    async fn rebalance(&mut self) {
        if !self.state.is_valid() {
            return;
        }
        let claimed = claim::claim_free_partitions(&self.state, &self.commit).await;
        let max_age_ms = self.heartbeat_ms * MAX_RENEWAL_AGE_HEARTBEATS;
        let handing_over = handover::start_handovers(&self.state, &self.commit, |peer| {
            self.tracker.renewed_within(peer, max_age_ms)
        });
        if claimed || handing_over {
            self.unsettled_rounds = UNSETTLED_ROUNDS;
        }
    }
}

/// Serializes a record as a row body.
pub(super) fn record_body(record: &impl serde::Serialize) -> Arc<str> {
    serde_json::to_string(record).unwrap_or_default().into()
}

fn parse_lease_row(row: &Row) -> Option<(id::Instance, LeaseRow)> {
    let record = serde_json::from_str(&row.body).ok()?;
    let member = LeaseRow {
        version: row.version,
        record,
    };
    Some((id::Instance::new(Arc::clone(&row.key.sort)), member))
}

fn parse_partition_row(row: &Row) -> Option<(id::Partition, PartitionRow)> {
    let record = serde_json::from_str(&row.body).ok()?;
    let number = row.key.sort.parse().ok()?;
    let partition_row = PartitionRow {
        version: row.version,
        record,
    };
    Some((id::Partition(number), partition_row))
}
