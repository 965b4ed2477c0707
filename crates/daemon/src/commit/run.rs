//! The loop itself: renews the lease with every transaction.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_platform::table::{self, Action, Client, Condition, Key, Row, Write};
use basilramp_wire::record::{self, InstanceState};
use tokio::time::Duration;

use super::backoff::Backoff;
use super::queue::{Entry, Queue};
use super::settle::Outcome;
use super::{Failure, MAX_WRITES, guard};
use crate::membership::state::{MembershipState, Stage};
use crate::settings::Settings;

/// The partition key of lease rows.
pub(crate) const INSTANCES: &str = "instance";

/// The lease row as this instance last wrote it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) version: u64,
    pub(super) record: record::Instance,
}

/// Why the loop stopped serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Another instance, or a later start of this one, wrote the lease row.
    Fenced,
    /// This instance wrote its own end.
    Retired,
}

/// A commit loop.
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
    not_before: Time,
    singles: usize,
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
            key: Key::new(INSTANCES, state.own().as_str()),
            state,
            backoff: Backoff::new(),
            heartbeat_ms: settings.timing.heartbeat_ms,
            writes_per_s: u64::from(settings.store.writes_per_s.max(1)),
            last_sent: Time::ZERO,
            not_before: Time::ZERO,
            singles: 0,
        }
    }

    /// Takes over the instance's lease row under a new incarnation, however long that takes.
    pub(crate) async fn acquire(&mut self) -> Acquired {
        loop {
            if let Some(lease) = self.try_acquire().await {
                self.backoff = Backoff::new();
                return Acquired(lease);
            }
            self.backoff.wait().await;
        }
    }

    /// Serves the queue until this instance retires or a later start of it takes its place; joins
    /// again whenever a watcher fences it.
    pub(crate) async fn run(mut self, acquired: Acquired) {
        let mut lease = acquired.0;
        loop {
            let incarnation = lease.record.incarnation;
            let end = self.serve(lease).await;
            self.state.lose_lease();
            self.queue.fail_all(&Failure::Fenced);
            let stays = end == End::Fenced && self.state.target_state() == InstanceState::Live;
            if !stays || self.is_superseded(incarnation).await {
                self.queue.close();
                self.state.advance_stage(Stage::Ended);
                return;
            }
            lease = self.acquire().await.0;
        }
    }

    /// Tells whether a later start of this instance has taken its place.
    async fn is_superseded(&self, incarnation: u64) -> bool {
        let row = self.read_lease().await;
        let record = row.and_then(|row| read_record(&row.body));
        record.is_some_and(|record| {
            record.incarnation > incarnation && record.state != InstanceState::Fenced
        })
    }

    /// Reads this instance's lease row, however long that takes.
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
        let before = row.as_ref().and_then(|row| read_record(&row.body));
        let incarnation = before.map_or(0, |record| record.incarnation) + 1;
        let record = self.state.lease_record(incarnation);
        let (check, version) = match &row {
            Some(row) => (Condition::Version(row.version), row.version + 1),
            None => (Condition::Absent, 1),
        };
        let write = lease_write(&self.key, check, version, &record);
        let sent = self.state.now();
        let token = new_token();
        match self.client.transact(&token, &[write]).await {
            Ok(()) => {}
            // Whether it took effect shows in the row.
            Err(_) => self.find_write(&token).await?,
        }
        self.queue.counters.count_transaction(0, 0);
        self.state.acquire_lease(incarnation, sent);
        self.last_sent = sent;
        Some(Lease { version, record })
    }

    async fn find_write(&self, token: &str) -> Option<()> {
        let row = self.client.get(&self.key).await.ok()??;
        (&*row.write_id == token).then_some(())
    }

    async fn serve(&mut self, mut lease: Lease) -> End {
        loop {
            self.pace(&lease).await;
            let batch = self.take();
            let outcome = self.commit(&mut lease, batch).await;
            if let Some(end) = outcome {
                return end;
            }
        }
    }

    /// Waits until there is something to write and the store's share allows it.
    async fn pace(&self, lease: &Lease) {
        loop {
            let flush = self.last_sent.after(self.flush_interval_ms());
            let idle = self.queue.is_empty() && !self.has_news(lease);
            let due = if idle {
                self.last_sent.after(self.heartbeat_ms)
            } else {
                flush
            };
            let due = due.max(self.not_before);
            let now = self.state.now();
            if now >= due {
                return;
            }
            let wait = Duration::from_millis(due.since(now));
            // Early news only shortens the wait; an elapsed wait is looked at above.
            let _ = tokio::time::timeout(wait, self.queue.woken()).await;
        }
    }

    fn flush_interval_ms(&self) -> u64 {
        let live = self.state.lease_holder_count().max(1) as u64;
        (1_000 * live).div_ceil(self.writes_per_s)
    }

    fn has_news(&self, lease: &Lease) -> bool {
        lease.record.state != self.state.target_state()
    }

    fn take(&mut self) -> Vec<Entry> {
        let limit = if self.singles > 0 { 1 } else { MAX_WRITES };
        self.singles = self.singles.saturating_sub(1);
        let ownership = self.state.ownership_snapshot();
        self.queue
            .take(limit, |entry| guard::permits(&ownership, entry))
    }

    /// Sends one transaction; returns why to stop serving, if so.
    async fn commit(&mut self, lease: &mut Lease, batch: Vec<Entry>) -> Option<End> {
        let record = self.state.lease_record(lease.record.incarnation);
        let token = new_token();
        let writes = self.writes(lease, &record, &batch);
        let sent = self.state.now();
        self.last_sent = sent;
        let answer = self.client.transact(&token, &writes).await;
        let outcome = match answer {
            Err(table::Failure::Unknown) => self.settle(lease, &token, &writes, &batch).await,
            answer => Outcome::from(answer),
        };
        self.conclude(lease, record, sent, batch, outcome).await
    }

    fn writes(&self, lease: &Lease, record: &record::Instance, batch: &[Entry]) -> Vec<Write> {
        let check = Condition::Version(lease.version);
        let own = lease_write(&self.key, check, lease.version + 1, record);
        let mut writes = vec![own];
        writes.extend(batch.iter().flat_map(|entry| entry.writes.iter().cloned()));
        writes
    }

    async fn conclude(
        &mut self,
        lease: &mut Lease,
        record: record::Instance,
        sent: Time,
        batch: Vec<Entry>,
        outcome: Outcome,
    ) -> Option<End> {
        match outcome {
            Outcome::Done => self.finish(lease, record, sent, batch),
            Outcome::Delayed => {
                self.queue.put_back(batch.into_iter());
                self.queue.counters.count_retry();
                self.not_before = self
                    .state
                    .now()
                    .after(self.backoff.next().as_millis() as u64);
                None
            }
            Outcome::Refused(parts) if parts.contains(&0) => self.check_lease(lease, batch).await,
            Outcome::Refused(parts) => {
                self.split(batch, &parts);
                None
            }
            Outcome::Malformed => {
                self.isolate(batch);
                None
            }
            Outcome::Lost(outcome) => {
                answer_all(batch, &outcome);
                Some(End::Fenced)
            }
        }
    }

    fn finish(
        &mut self,
        lease: &mut Lease,
        record: record::Instance,
        sent: Time,
        batch: Vec<Entry>,
    ) -> Option<End> {
        let items = batch.iter().map(|entry| entry.writes.len()).sum();
        self.queue.counters.count_transaction(batch.len(), items);
        self.backoff = Backoff::new();
        lease.version += 1;
        lease.record = record;
        let retired = lease.record.state == InstanceState::Fenced;
        if !retired {
            self.state.renew_lease(sent);
        }
        answer_all(batch, &Ok(()));
        retired.then_some(End::Retired)
    }

    /// Fails the submissions whose checks failed; the others go with the next transaction.
    fn split(&self, batch: Vec<Entry>, parts: &[usize]) {
        let mut first = 1;
        let mut rest = Vec::new();
        let mut conflicts = 0;
        for entry in batch {
            let end = first + entry.writes.len();
            if parts.iter().any(|part| (first..end).contains(part)) {
                conflicts += 1;
                entry.answer(Err(Failure::Conflict));
            } else {
                rest.push(entry);
            }
            first = end;
        }
        self.queue.counters.count_conflicts(conflicts);
        self.queue.put_back(rest.into_iter());
    }

    /// Sends the submissions of a malformed transaction one by one, and fails a lone one.
    fn isolate(&mut self, batch: Vec<Entry>) {
        if batch.len() <= 1 {
            self.queue.counters.count_conflicts(batch.len());
            answer_all(batch, &Err(Failure::Conflict));
            self.not_before = self
                .state
                .now()
                .after(self.backoff.next().as_millis() as u64);
            return;
        }
        self.singles = batch.len();
        self.queue.put_back(batch.into_iter());
    }

    /// Learns why the lease row's condition failed.
    async fn check_lease(&self, lease: &Lease, batch: Vec<Entry>) -> Option<End> {
        let row = self.read_lease().await;
        if row.is_some_and(|row| row.version == lease.version) {
            self.queue.put_back(batch.into_iter());
            return None;
        }
        answer_all(batch, &Err(Failure::Fenced));
        Some(End::Fenced)
    }
}

/// A lease that was taken over and is not served yet.
#[derive(Debug)]
pub(crate) struct Acquired(Lease);

/// Returns the write of a lease row.
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

/// Returns a token that no other transaction carries.
pub(super) fn new_token() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn read_record(body: &str) -> Option<record::Instance> {
    serde_json::from_str(body).ok()
}

fn answer_all(batch: Vec<Entry>, outcome: &Result<(), Failure>) {
    for entry in batch {
        entry.answer(outcome.clone());
    }
}
