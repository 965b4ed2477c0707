//! Group commit: batches queued writes into transactions on the store.
//!
//! Every transaction checks the version of this instance's lease row and increments it, so a
//! fenced instance can't write anything.

mod backoff;
mod guard;
mod queue;
mod resolve;
mod run;
mod stats;

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::id;
use basilramp_platform::table::{Client, Write};
use tokio::sync::oneshot;

use crate::membership::state::MembershipState;
use crate::settings::Settings;
use queue::{Queue, Scope};

pub(crate) use backoff::Backoff;
pub(crate) use run::{INSTANCE_PARTITION_KEY, Loop, new_token};
pub use stats::Stats;

/// Maximum number of rows that one submission may write. The lease row uses one of the
/// transaction's items.
pub const MAX_WRITES: usize = basilramp_wire::table::MAX_TRANSACT_ITEMS - 1;

/// The reason why a submission failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The instance is fenced, or no longer owns the partition. Nothing was or will be written.
    Fenced,
    /// A row's condition failed, the submission has too many rows, or the store rejected it as
    /// invalid. Nothing was or will be written.
    Conflict,
    /// The submission timed out before it was sent, or the queue was full. It was removed from the
    /// queue and will not be sent.
    Withdrawn,
    /// The submission was sent and its outcome is unknown. It may have been written, or may still
    /// be.
    Unknown,
}

/// Submits writes to the commit loop.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: Arc<Queue>,
    state: MembershipState,
    scope: Option<Scope>,
}

impl Handle {
    /// Creates the queue and its commit loop. The loop does not run yet.
    pub(crate) fn open(
        client: Client,
        state: MembershipState,
        settings: &Settings,
    ) -> (Self, Loop) {
        let queue = Arc::new(Queue::open(settings.limits.uncommitted_bytes));
        let handle = Self {
            queue: Arc::clone(&queue),
            state: state.clone(),
            scope: None,
        };
        let runner = Loop::new(client, queue, state, settings);
        (handle, runner)
    }

    /// Returns a handle whose writes are sent only while this instance owns `partition` in `term`.
    ///
    /// After that, they fail with [`Failure::Fenced`].
    #[must_use]
    pub fn scoped_to(&self, partition: id::Partition, term: id::Term) -> Self {
        Self {
            scope: Some(Scope { partition, term }),
            ..self.clone()
        }
    }

    /// Writes all rows or none, and waits without a timeout until they are durable.
    ///
    /// Waits for space if the queue is full.
    ///
    /// # Errors
    ///
    /// Never returns [`Failure::Withdrawn`]. Returns [`Failure::Unknown`] only if the instance was
    /// fenced before the outcome was known and the outcome can't be determined.
    pub async fn submit(&self, writes: Vec<Write>) -> Result<(), Failure> {
        let permit = self.queue.acquire_permit(queue::size_bytes(&writes)).await;
        let (_, response) = self.push(writes, permit)?;
        response.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Writes all rows or none, and waits at most `timeout_ms` milliseconds for the outcome.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Withdrawn`] if the timeout elapses before the submission is sent, and
    /// immediately if the queue is full. Returns [`Failure::Unknown`] if the timeout elapses while
    /// it is being sent.
    pub async fn submit_with_timeout(
        &self,
        writes: Vec<Write>,
        timeout_ms: u64,
    ) -> Result<(), Failure> {
        let (number, mut response) = self.try_push(writes)?;
        let timeout = Duration::from_millis(timeout_ms);
        if let Ok(outcome) = tokio::time::timeout(timeout, &mut response).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(number) {
            return Err(Failure::Withdrawn);
        }
        response.try_recv().unwrap_or(Err(Failure::Unknown))
    }

    /// Writes all rows or none, and waits at most `timeout_ms` milliseconds for them to be sent.
    ///
    /// Once the submission is being sent, waits for its outcome without a timeout.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Handle::submit`], and [`Failure::Withdrawn`] if the timeout elapses
    /// before the submission is sent or the queue is full.
    pub async fn submit_with_queue_timeout(
        &self,
        writes: Vec<Write>,
        timeout_ms: u64,
    ) -> Result<(), Failure> {
        let (number, mut response) = self.try_push(writes)?;
        let timeout = Duration::from_millis(timeout_ms);
        if let Ok(outcome) = tokio::time::timeout(timeout, &mut response).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(number) {
            return Err(Failure::Withdrawn);
        }
        response.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Returns the statistics of the commit loop.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.queue.stats()
    }

    /// Wakes the loop so that it checks the instance's state again.
    pub(crate) fn wake(&self) {
        self.queue.wake();
    }

    fn try_push(&self, writes: Vec<Write>) -> Result<(u64, Response), Failure> {
        let permit = self.queue.try_acquire_permit(queue::size_bytes(&writes));
        let permit = permit.ok_or(Failure::Withdrawn)?;
        self.push(writes, permit)
    }

    fn push(&self, writes: Vec<Write>, permit: queue::Permit) -> Result<(u64, Response), Failure> {
        if writes.len() > MAX_WRITES {
            return Err(Failure::Conflict);
        }
        let incarnation = self.state.incarnation().ok_or(Failure::Fenced)?;
        let (sender, response) = oneshot::channel();
        let entry = queue::Entry::new(writes, incarnation, self.scope, sender, permit);
        let number = self.queue.push(entry).ok_or(Failure::Fenced)?;
        Ok((number, response))
    }
}

type Response = oneshot::Receiver<Result<(), Failure>>;

/// Space in the queue that is reserved for one submission.
#[derive(Debug)]
pub(crate) struct QueuePermit(queue::Permit);

/// Writes that are queued. Writes of the same row are made in the order in which they were queued.
#[derive(Debug)]
pub(crate) struct Submission {
    queue: Arc<Queue>,
    number: u64,
    response: Response,
}

impl Handle {
    /// Waits for queue space for writes of `bytes` bytes.
    pub(crate) async fn acquire_permit(&self, bytes: usize) -> QueuePermit {
        QueuePermit(self.queue.acquire_permit(bytes).await)
    }

    /// Queues writes in space that was reserved before.
    pub(crate) fn enqueue(
        &self,
        writes: Vec<Write>,
        permit: QueuePermit,
    ) -> Result<Submission, Failure> {
        let (number, response) = self.push(writes, permit.0)?;
        Ok(Submission {
            queue: Arc::clone(&self.queue),
            number,
            response,
        })
    }

    /// Queues writes without waiting. Fails with [`Failure::Withdrawn`] if the queue is full.
    pub(crate) fn try_enqueue(&self, writes: Vec<Write>) -> Result<Submission, Failure> {
        let permit = self.queue.try_acquire_permit(queue::size_bytes(&writes));
        let permit = permit.ok_or(Failure::Withdrawn)?;
        self.enqueue(writes, QueuePermit(permit))
    }
}

impl Submission {
    /// Waits without a timeout until the writes are durable, like [`Handle::submit`].
    pub(crate) async fn wait(self) -> Result<(), Failure> {
        self.response.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Waits at most `timeout_ms` milliseconds, like [`Handle::submit_with_timeout`].
    pub(crate) async fn wait_with_timeout(mut self, timeout_ms: u64) -> Result<(), Failure> {
        let timeout = Duration::from_millis(timeout_ms);
        if let Ok(outcome) = tokio::time::timeout(timeout, &mut self.response).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(self.number) {
            return Err(Failure::Withdrawn);
        }
        self.response.try_recv().unwrap_or(Err(Failure::Unknown))
    }
}
