//! The commit loop: sends batches as transactions, each of which renews the lease.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_platform::table::{self, Action, Client, Condition, Key, Row, Write};
use basilramp_wire::record::{self, InstanceState};
use tokio::time::Duration;

use super::backoff::Backoff;
use super::queue::{Entry, Queue};
use super::resolve::Outcome;
use super::{Failure, MAX_WRITES, guard};
use crate::membership::state::{MembershipState, Stage};
use crate::settings::Settings;

/// Partition key of the instances' lease rows.
pub(crate) const INSTANCE_PARTITION_KEY: &str = "instance";

/// The lease row as this instance last wrote it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) version: u64,
    pub(super) record: record::Instance,
}

/// The reason why the loop stopped serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServeEnd {
    /// Another instance, or a later process of this instance, wrote the lease row.
    Fenced,
    /// This instance wrote `fenced` to its own lease row.
    Retired,
}

/// The commit loop of this instance.
#[derive(Debug)]
pub(crate) struct Loop {
    pub(super) client: Client,
    pub(super) queue: Arc<Queue>,
    pub(super) state: MembershipState,
    pub(super) key: Key,
    pub(super) backoff: Backoff,
    heartbeat_ms: u64,
    writes_per_s: u64,
    last_sent: Time,
    next_send_at: Time,
    single_sends_left: usize,
}

impl Loop {
    pub(super) fn new(
        client: Client,
        queue: Arc<Queue>,
        state: MembershipState,
        settings: &Settings,
    ) -> Self {
        Self {
            client,
            queue,
            key: Key::new(INSTANCE_PARTITION_KEY, state.own().as_str()),
            state,
            backoff: Backoff::new(),
            heartbeat_ms: settings.timing.heartbeat_ms,
            writes_per_s: u64::from(settings.store.writes_per_s.max(1)),
            last_sent: Time::ZERO,
            next_send_at: Time::ZERO,
            single_sends_left: 0,
        }
    }

    /// Acquires the instance's lease row with a new incarnation. Retries without a limit.
    pub(crate) async fn acquire(&mut self) -> AcquiredLease {
        loop {
            if let Some(lease) = self.try_acquire().await {
                self.backoff = Backoff::new();
                return AcquiredLease(lease);
            }
            self.backoff.wait().await;
        }
    }

    /// Serves the queue until this instance retires or is superseded by a later process.
    ///
    /// Acquires the lease again whenever another instance fences this one.
    pub(crate) async fn run(mut self, acquired: AcquiredLease) {
        let mut lease = acquired.0;
        loop {
            let incarnation = lease.record.incarnation;
            let end = self.serve(lease).await;
            self.state.lose_lease();
            self.queue.fail_all(&Failure::Fenced);
            let rejoins =
                end == ServeEnd::Fenced && self.state.target_state() == InstanceState::Live;
            if !rejoins || self.is_superseded(incarnation).await {
                self.queue.close();
                self.state.advance_stage(Stage::Ended);
                return;
            }
            lease = self.acquire().await.0;
        }
    }

    /// Returns whether a later process of this instance has acquired the lease row.
    async fn is_superseded(&self, incarnation: u64) -> bool {
        let row = self.read_lease().await;
        let record = row.and_then(|row| parse_record(&row.body));
        record.is_some_and(|record| {
            record.incarnation > incarnation && record.state != InstanceState::Fenced
        })
    }

    /// Reads this instance's lease row. Retries without a limit.
    async fn read_lease(&self) -> Option<Row> {
        let mut backoff = Backoff::new();
        loop {
            if let Ok(row) = self.client.get(&self.key).await {
                return row;
            }
            backoff.wait().await;
        }
    }

    async fn try_acquire(&mut self) -> Option<Lease> {
        let row = self.client.get(&self.key).await.ok()?;
        let previous = row.as_ref().and_then(|row| parse_record(&row.body));
        let incarnation = previous.map_or(0, |record| record.incarnation) + 1;
        let record = self.state.lease_record(incarnation);
        let (check, version) = match &row {
            Some(row) => (Condition::Version(row.version), row.version + 1),
            None => (Condition::Absent, 1),
        };
        let write = lease_write(&self.key, check, version, &record);
        let sent_at = self.state.now();
        let token = new_token();
        match self.client.transact(&token, &[write]).await {
            Ok(()) => {}
            // The write may have taken effect despite the error; the row's write id shows it.
            Err(_) => self.confirm_write(&token).await?,
        }
        self.queue.counters.count_transaction(0, 0);
        self.state.acquire_lease(incarnation, sent_at);
        self.last_sent = sent_at;
        Some(Lease { version, record })
    }

    async fn confirm_write(&self, token: &str) -> Option<()> {
        let row = self.client.get(&self.key).await.ok()??;
        (&*row.write_id == token).then_some(())
    }

    async fn serve(&mut self, mut lease: Lease) -> ServeEnd {
        loop {
            self.wait_until_due(&lease).await;
            let batch = self.take_batch();
            let outcome = self.commit(&mut lease, batch).await;
            if let Some(end) = outcome {
                return end;
            }
        }
    }

    /// Waits until there is something to write, or a heartbeat is due, and this instance's share of
    /// the store's write rate allows a transaction.
    async fn wait_until_due(&self, lease: &Lease) {
        loop {
            let flush = self.last_sent.after(self.flush_interval_ms());
            let idle = self.queue.is_empty() && !self.has_state_change(lease);
            let due = if idle {
                self.last_sent.after(self.heartbeat_ms)
            } else {
                flush
            };
            let due = due.max(self.next_send_at);
            let now = self.state.now();
            if now >= due {
                return;
            }
            let wait = Duration::from_millis(due.since(now));
            // A wakeup only ends the wait early; the loop checks again whether the time has come.
            let _ = tokio::time::timeout(wait, self.queue.notified()).await;
        }
    }

    fn flush_interval_ms(&self) -> u64 {
        let live = self.state.lease_holder_count().max(1) as u64;
        (1_000 * live).div_ceil(self.writes_per_s)
    }

    fn has_state_change(&self, lease: &Lease) -> bool {
        lease.record.state != self.state.target_state()
    }

    fn take_batch(&mut self) -> Vec<Entry> {
        let limit = if self.single_sends_left > 0 {
            1
        } else {
            MAX_WRITES
        };
        self.single_sends_left = self.single_sends_left.saturating_sub(1);
        let ownership = self.state.ownership_snapshot();
        self.queue
            .take_batch(limit, |entry| guard::permits(&ownership, entry))
    }

    /// Sends one transaction. Returns a reason if the loop must stop serving.
    async fn commit(&mut self, lease: &mut Lease, batch: Vec<Entry>) -> Option<ServeEnd> {
        let record = self.state.lease_record(lease.record.incarnation);
        let token = new_token();
        let writes = self.transaction_writes(lease, &record, &batch);
        let sent_at = self.state.now();
        self.last_sent = sent_at;
        let response = self.client.transact(&token, &writes).await;
        let outcome = match response {
            Err(table::Failure::Unknown) => {
                self.resolve_unknown(lease, &token, &writes, &batch).await
            }
            response => Outcome::from(response),
        };
        self.apply_outcome(lease, record, sent_at, batch, outcome)
            .await
    }

    fn transaction_writes(
        &self,
        lease: &Lease,
        record: &record::Instance,
        batch: &[Entry],
    ) -> Vec<Write> {
        let check = Condition::Version(lease.version);
        let own = lease_write(&self.key, check, lease.version + 1, record);
        let mut writes = vec![own];
        writes.extend(batch.iter().flat_map(|entry| entry.writes.iter().cloned()));
        writes
    }

    async fn apply_outcome(
        &mut self,
        lease: &mut Lease,
        record: record::Instance,
        sent_at: Time,
        batch: Vec<Entry>,
        outcome: Outcome,
    ) -> Option<ServeEnd> {
        match outcome {
            Outcome::Done => self.complete_batch(lease, record, sent_at, batch),
            Outcome::NotApplied => {
                self.queue.requeue(batch.into_iter());
                self.queue.counters.count_retry();
                self.next_send_at = self
                    .state
                    .now()
                    .after(self.backoff.next_delay().as_millis() as u64);
                None
            }
            Outcome::Rejected(indices) if indices.contains(&0) => {
                self.check_lease_conflict(lease, batch).await
            }
            Outcome::Rejected(indices) => {
                self.fail_conflicts(batch, &indices);
                None
            }
            Outcome::Invalid => {
                self.isolate_invalid(batch);
                None
            }
            Outcome::Lost(outcome) => {
                respond_all(batch, &outcome);
                Some(ServeEnd::Fenced)
            }
        }
    }

    fn complete_batch(
        &mut self,
        lease: &mut Lease,
        record: record::Instance,
        sent_at: Time,
        batch: Vec<Entry>,
    ) -> Option<ServeEnd> {
        let items = batch.iter().map(|entry| entry.writes.len()).sum();
        self.queue.counters.count_transaction(batch.len(), items);
        self.backoff = Backoff::new();
        lease.version += 1;
        lease.record = record;
        let retired = lease.record.state == InstanceState::Fenced;
        if !retired {
            self.state.renew_lease(sent_at);
        }
        respond_all(batch, &Ok(()));
        retired.then_some(ServeEnd::Retired)
    }

    /// Fails the submissions whose conditions failed, and requeues the others.
    ///
    /// `indices` are those of the failed items in the transaction; item 0 is the lease row.
    fn fail_conflicts(&self, batch: Vec<Entry>, indices: &[usize]) {
        let mut first = 1;
        let mut remaining = Vec::new();
        let mut conflicts = 0;
        for entry in batch {
            let end = first + entry.writes.len();
            if indices.iter().any(|index| (first..end).contains(index)) {
                conflicts += 1;
                entry.respond(Err(Failure::Conflict));
            } else {
                remaining.push(entry);
            }
            first = end;
        }
        self.queue.counters.count_conflicts(conflicts);
        self.queue.requeue(remaining.into_iter());
    }

    /// Requeues the submissions of an invalid transaction to be sent one by one. Fails a submission
    /// that was sent alone.
    fn isolate_invalid(&mut self, batch: Vec<Entry>) {
        if batch.len() <= 1 {
            self.queue.counters.count_conflicts(batch.len());
            respond_all(batch, &Err(Failure::Conflict));
            self.next_send_at = self
                .state
                .now()
                .after(self.backoff.next_delay().as_millis() as u64);
            return;
        }
        self.single_sends_left = batch.len();
        self.queue.requeue(batch.into_iter());
    }

    /// Reads the lease row after its condition failed.
    ///
    /// Requeues the batch if the row is unchanged; otherwise the instance is fenced.
    async fn check_lease_conflict(&self, lease: &Lease, batch: Vec<Entry>) -> Option<ServeEnd> {
        let row = self.read_lease().await;
        if row.is_some_and(|row| row.version == lease.version) {
            self.queue.requeue(batch.into_iter());
            return None;
        }
        respond_all(batch, &Err(Failure::Fenced));
        Some(ServeEnd::Fenced)
    }
}

/// A lease that was acquired before the loop runs.
#[derive(Debug)]
pub(crate) struct AcquiredLease(Lease);

/// Returns a write of a lease row.
pub(super) fn lease_write(
    key: &Key,
    check: Condition,
    version: u64,
    record: &record::Instance,
) -> Write {
    let body = serde_json::to_string(record).unwrap_or_default();
    Write {
        key: key.clone(),
        condition: check,
        action: Action::Put {
            version,
            body: body.into(),
        },
    }
}

/// Returns a unique idempotency token for a transaction.
pub(crate) fn new_token() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn parse_record(body: &str) -> Option<record::Instance> {
    serde_json::from_str(body).ok()
}

fn respond_all(batch: Vec<Entry>, outcome: &Result<(), Failure>) {
    for entry in batch {
        entry.respond(outcome.clone());
    }
}
