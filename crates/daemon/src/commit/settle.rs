//! Settles a transaction whose answer was lost, before anything is said about it.

use std::sync::Arc;

use basilramp_platform::table::{self, Action, Condition, Key, Row, Write};

use super::Failure;
use super::backoff::Backoff;
use super::queue::Entry;
use super::run::{Lease, Loop, lease_write, new_token};

const FIRST_TIMEOUT_MS: u64 = 1_500;
const LAST_TIMEOUT_MS: u64 = 12_000;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It took effect.
    Done,
    /// It did not take effect and never will; nothing speaks against trying anew.
    Delayed,
    /// It did not take effect and never will: conditions failed at these places.
    Refused(Vec<usize>),
    /// It did not take effect and never will: the service can't read it.
    Malformed,
    /// The lease was lost; what that means for the submissions.
    Lost(Result<(), Failure>),
}

impl From<Result<(), table::Failure>> for Outcome {
    /// Converts an answer that leaves nothing open.
    fn from(answer: Result<(), table::Failure>) -> Self {
        match answer {
            Ok(()) => Self::Done,
            Err(table::Failure::ConditionsFailed(parts)) => Self::Refused(parts),
            Err(table::Failure::Invalid(_)) => Self::Malformed,
            Err(table::Failure::Throttled | table::Failure::NotSent) => Self::Delayed,
            Err(table::Failure::Unknown) => Self::Lost(Err(Failure::Unknown)),
        }
    }
}

impl Loop {
    /// Sends the same transaction with the same token until its outcome is known.
    ///
    /// A refusal of a later attempt proves nothing about an earlier one that may still be on its
    /// way. Before it counts, the lease row's version is raised, which dooms the earlier one.
    pub(super) async fn settle(
        &mut self,
        lease: &mut Lease,
        token: &str,
        writes: &[Write],
        batch: &[Entry],
    ) -> Outcome {
        let mut backoff = Backoff::new();
        let mut timeout_ms = FIRST_TIMEOUT_MS;
        self.queue.counters.count_unknown();
        loop {
            backoff.wait().await;
            self.queue.counters.count_retry();
            let client = self.client.with_timeout(timeout_ms);
            match client.transact(token, writes).await {
                Ok(()) => return Outcome::Done,
                Err(table::Failure::Unknown) => {
                    self.queue.counters.count_unknown();
                    timeout_ms = (timeout_ms * 2).min(LAST_TIMEOUT_MS);
                }
                Err(table::Failure::Throttled | table::Failure::NotSent) => {}
                Err(refusal) => {
                    let refusal = Outcome::from(Err(refusal));
                    return self.supersede(lease, token, batch, refusal).await;
                }
            }
        }
    }

    /// Raises the lease row's version unless the transaction with `token` has done so.
    async fn supersede(
        &mut self,
        lease: &mut Lease,
        token: &str,
        batch: &[Entry],
        refusal: Outcome,
    ) -> Outcome {
        let mut backoff = Backoff::new();
        let check = Condition::Version(lease.version);
        let renewal = [lease_write(
            &self.key,
            check,
            lease.version + 1,
            &lease.record,
        )];
        let renewal_token = new_token();
        let sent = self.state.now();
        let client = self.client.with_timeout(LAST_TIMEOUT_MS);
        loop {
            let answer = client.transact(&renewal_token, &renewal).await;
            let writer = match answer {
                Ok(()) => Some(Writer::from_id(&*renewal_token, lease.version + 1)),
                Err(_) => self.read_writer(lease.version).await,
            };
            match writer {
                Some(writer) if &*writer.id == token => return Outcome::Done,
                Some(writer) if *writer.id == *renewal_token => {
                    lease.version += 1;
                    self.state.renew_lease(sent);
                    return without_lease(refusal);
                }
                Some(writer) => return self.trace(lease.version, &writer, token, batch).await,
                None => backoff.wait().await,
            }
        }
    }

    /// Returns who wrote the lease row last, once its version has moved on from `version`.
    async fn read_writer(&self, version: u64) -> Option<Writer> {
        let row = self.client.get(&self.key).await.ok()?;
        match row {
            Some(row) if row.version == version => None,
            Some(row) => Some(Writer::from_id(row.write_id, row.version)),
            None => Some(Writer::from_id("", 0)),
        }
    }

    /// Finds out whether the transaction with `token` took effect before the lease was lost.
    async fn trace(&self, version: u64, writer: &Writer, token: &str, batch: &[Entry]) -> Outcome {
        if writer.version == version + 1 {
            // The writer's condition was the version that the transaction needed too.
            return Outcome::Lost(Err(Failure::Fenced));
        }
        let mut writes = batch.iter().flat_map(|entry| &entry.writes);
        let put = writes.find(|write| matches!(write.action, Action::Put { .. }));
        let Some(put) = put else {
            return Outcome::Lost(Err(Failure::Unknown));
        };
        let row = self.read_until_answered(&put.key).await;
        match row {
            Some(row) if &*row.write_id == token => Outcome::Lost(Ok(())),
            _ => Outcome::Lost(Err(Failure::Unknown)),
        }
    }

    async fn read_until_answered(&self, key: &Key) -> Option<Row> {
        let mut backoff = Backoff::new();
        loop {
            if let Ok(row) = self.client.get(key).await {
                return row;
            }
            backoff.wait().await;
        }
    }
}

/// The transaction that wrote the lease row last.
#[derive(Debug)]
struct Writer {
    id: Arc<str>,
    version: u64,
}

impl Writer {
    fn from_id(id: impl Into<Arc<str>>, version: u64) -> Self {
        Self {
            id: id.into(),
            version,
        }
    }
}

/// Leaves the lease row out of a refusal, for it has turned out to be in order.
fn without_lease(refusal: Outcome) -> Outcome {
    match refusal {
        Outcome::Refused(parts) if parts.contains(&0) => Outcome::Delayed,
        refusal => refusal,
    }
}
