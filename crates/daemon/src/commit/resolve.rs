//! Determines the outcome of a transaction whose response was lost, before it is reported.

use std::sync::Arc;

use basilramp_platform::table::{self, Action, Condition, Key, Row, Write};

use super::Failure;
use super::backoff::Backoff;
use super::queue::Entry;
use super::run::{Lease, Loop, lease_write, new_token};

const INITIAL_TIMEOUT_MS: u64 = 1_500;
const MAX_TIMEOUT_MS: u64 = 12_000;

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The transaction took effect.
    Done,
    /// The transaction did not and will not take effect. Its writes may be sent again.
    NotApplied,
    /// The transaction did not and will not take effect: the conditions of the items with these
    /// indices failed.
    Rejected(Vec<usize>),
    /// The transaction did not and will not take effect: the store rejected it as invalid.
    Invalid,
    /// The lease was lost. Holds the outcome of the submissions.
    Lost(Result<(), Failure>),
}

impl From<Result<(), table::Failure>> for Outcome {
    /// Converts a response that tells the outcome.
    fn from(response: Result<(), table::Failure>) -> Self {
        match response {
            Ok(()) => Self::Done,
            Err(table::Failure::ConditionsFailed(indices)) => Self::Rejected(indices),
            Err(table::Failure::Invalid(_)) => Self::Invalid,
            Err(table::Failure::Throttled | table::Failure::NotSent) => Self::NotApplied,
            Err(table::Failure::Unknown) => Self::Lost(Err(Failure::Unknown)),
        }
    }
}

impl Loop {
    /// Retries a transaction with the same token until its outcome is known.
    ///
    /// A rejected retry does not prove that an earlier attempt failed, as that attempt may still
    /// be in flight. So the lease row's version is incremented before a rejection is accepted,
    /// which makes the condition of the earlier attempt fail.
    pub(super) async fn resolve_unknown(
        &mut self,
        lease: &mut Lease,
        token: &str,
        writes: &[Write],
        batch: &[Entry],
    ) -> Outcome {
        let mut backoff = Backoff::new();
        let mut timeout_ms = INITIAL_TIMEOUT_MS;
        self.queue.counters.count_unknown();
        loop {
            backoff.wait().await;
            self.queue.counters.count_retry();
            let client = self.client.with_timeout(timeout_ms);
            match client.transact(token, writes).await {
                Ok(()) => return Outcome::Done,
                Err(table::Failure::Unknown) => {
                    self.queue.counters.count_unknown();
                    timeout_ms = (timeout_ms * 2).min(MAX_TIMEOUT_MS);
                }
                Err(table::Failure::Throttled | table::Failure::NotSent) => {}
                Err(rejection) => {
                    let rejection = Outcome::from(Err(rejection));
                    return self.supersede(lease, token, batch, rejection).await;
                }
            }
        }
    }

    /// Increments the lease row's version, unless the transaction with `token` has done so.
    async fn supersede(
        &mut self,
        lease: &mut Lease,
        token: &str,
        batch: &[Entry],
        rejection: Outcome,
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
        let sent_at = self.state.now();
        let client = self.client.with_timeout(MAX_TIMEOUT_MS);
        loop {
            let response = client.transact(&renewal_token, &renewal).await;
            let writer = match response {
                Ok(()) => Some(Writer::new(&*renewal_token, lease.version + 1)),
                Err(_) => self.read_last_writer(lease.version).await,
            };
            match writer {
                Some(writer) if &*writer.id == token => return Outcome::Done,
                Some(writer) if *writer.id == *renewal_token => {
                    lease.version += 1;
                    self.state.renew_lease(sent_at);
                    return ignore_lease_conflict(rejection);
                }
                Some(writer) => {
                    return self
                        .resolve_after_lost_lease(lease.version, &writer, token, batch)
                        .await;
                }
                None => backoff.wait().await,
            }
        }
    }

    /// Returns the last writer of the lease row, or `None` if its version is still `version` or the
    /// read failed.
    async fn read_last_writer(&self, version: u64) -> Option<Writer> {
        let row = self.client.get(&self.key).await.ok()?;
        match row {
            Some(row) if row.version == version => None,
            Some(row) => Some(Writer::new(row.write_id, row.version)),
            None => Some(Writer::new("", 0)),
        }
    }

    /// Determines whether the transaction with `token` took effect before the lease was lost.
    ///
    /// Reads a row that the transaction writes and compares the row's write id with the token.
    async fn resolve_after_lost_lease(
        &self,
        version: u64,
        writer: &Writer,
        token: &str,
        batch: &[Entry],
    ) -> Outcome {
        if writer.version == version + 1 {
            // Only one write can have passed the check of `version`, and it was the other one.
            return Outcome::Lost(Err(Failure::Fenced));
        }
        let mut writes = batch.iter().flat_map(|entry| &entry.writes);
        let put = writes.find(|write| matches!(write.action, Action::Put { .. }));
        let Some(put) = put else {
            return Outcome::Lost(Err(Failure::Unknown));
        };
        let row = self.read_with_retries(&put.key).await;
        match row {
            Some(row) if &*row.write_id == token => Outcome::Lost(Ok(())),
            _ => Outcome::Lost(Err(Failure::Unknown)),
        }
    }

    async fn read_with_retries(&self, key: &Key) -> Option<Row> {
        let mut backoff = Backoff::new();
        loop {
            if let Ok(row) = self.client.get(key).await {
                return row;
            }
            backoff.wait().await;
        }
    }
}

/// The last transaction that wrote the lease row.
#[derive(Debug)]
struct Writer {
    id: Arc<str>,
    version: u64,
}

impl Writer {
    fn new(id: impl Into<Arc<str>>, version: u64) -> Self {
        Self {
            id: id.into(),
            version,
        }
    }
}

/// Converts a rejection that includes the lease row's condition into [`Outcome::NotApplied`], as
/// the lease was found to be valid.
fn ignore_lease_conflict(rejection: Outcome) -> Outcome {
    match rejection {
        Outcome::Rejected(indices) if indices.contains(&0) => Outcome::NotApplied,
        rejection => rejection,
    }
}
