//! The commit loop: gathers writes and sends them as transactions.
//!
//! Every transaction is conditional on the version of this instance's lease row
//! and raises it, so a fenced instance can write nothing.

mod backoff;
mod guard;
mod queue;
mod run;
mod settle;
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
pub(crate) use run::{INSTANCES, Loop};
pub use stats::Stats;

/// The most rows that one submission may touch; the lease row takes one of the transaction's.
pub const MAX_WRITES: usize = basilramp_wire::table::MAX_TRANSACT_ITEMS - 1;

/// Why writes were not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The instance was fenced; nothing was written and never will be.
    Fenced,
    /// A check failed; nothing was written and never will be.
    Conflict,
    /// The time ran out before they were sent, or there was no room for them; they were taken back
    /// and never will be sent.
    Withdrawn,
    /// They were sent and their outcome is not known; they may have been written or may still be.
    Unknown,
}

/// Gives writes to the commit loop.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: Arc<Queue>,
    state: MembershipState,
    scope: Option<Scope>,
}

impl Handle {
    /// Opens the queue of a commit loop that is not running yet.
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

    /// Returns a handle whose writes are made only while this instance owns `partition` under
    /// `term`; once it does not, they fail with [`Failure::Fenced`].
    #[must_use]
    pub fn under(&self, partition: id::Partition, term: id::Term) -> Self {
        Self {
            scope: Some(Scope { partition, term }),
            ..self.clone()
        }
    }

    /// Writes all or none, and returns once they are durable, however long that takes.
    ///
    /// Waits for room if too many bytes are queued.
    ///
    /// # Errors
    ///
    /// Never [`Failure::Withdrawn`]. [`Failure::Unknown`] only if the instance was fenced while
    /// the outcome was open and it can't be learnt.
    pub async fn submit(&self, writes: Vec<Write>) -> Result<(), Failure> {
        let room = self.queue.room(queue::size(&writes)).await;
        let (_, answer) = self.push(writes, room)?;
        answer.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Writes all or none, and gives up after `wait_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// [`Failure::Withdrawn`] at once if too many bytes are queued.
    pub async fn submit_within(&self, writes: Vec<Write>, wait_ms: u64) -> Result<(), Failure> {
        let (number, mut answer) = self.push_now(writes)?;
        let wait = Duration::from_millis(wait_ms);
        if let Ok(outcome) = tokio::time::timeout(wait, &mut answer).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(number) {
            return Err(Failure::Withdrawn);
        }
        answer.try_recv().unwrap_or(Err(Failure::Unknown))
    }

    /// Writes all or none; gives up after `wait_ms` milliseconds if they were not sent, and waits
    /// for the outcome if they were.
    ///
    /// # Errors
    ///
    /// As [`Handle::submit`], and [`Failure::Withdrawn`].
    pub async fn submit_settled(&self, writes: Vec<Write>, wait_ms: u64) -> Result<(), Failure> {
        let (number, mut answer) = self.push_now(writes)?;
        let wait = Duration::from_millis(wait_ms);
        if let Ok(outcome) = tokio::time::timeout(wait, &mut answer).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(number) {
            return Err(Failure::Withdrawn);
        }
        answer.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Returns what the loop has done so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.queue.stats()
    }

    /// Has the loop look at its state again.
    pub(crate) fn wake(&self) {
        self.queue.wake();
    }

    fn push_now(&self, writes: Vec<Write>) -> Result<(u64, Answer), Failure> {
        let room = self.queue.room_now(queue::size(&writes));
        let room = room.ok_or(Failure::Withdrawn)?;
        self.push(writes, room)
    }

    fn push(&self, writes: Vec<Write>, room: queue::Room) -> Result<(u64, Answer), Failure> {
        if writes.len() > MAX_WRITES {
            return Err(Failure::Conflict);
        }
        let incarnation = self.state.incarnation().ok_or(Failure::Fenced)?;
        let (sender, answer) = oneshot::channel();
        let entry = queue::Entry::new(writes, incarnation, self.scope, sender, room);
        let number = self.queue.push(entry).ok_or(Failure::Fenced)?;
        Ok((number, answer))
    }
}

type Answer = oneshot::Receiver<Result<(), Failure>>;

/// Room in the queue for one submission.
#[derive(Debug)]
pub(crate) struct Room(queue::Room);

/// Writes that are queued. Those that touch the same row are made in the order of queueing.
#[derive(Debug)]
pub(crate) struct Submission {
    queue: Arc<Queue>,
    number: u64,
    answer: Answer,
}

impl Handle {
    /// Waits for room for writes of so many bytes.
    pub(crate) async fn reserve(&self, bytes: usize) -> Room {
        Room(self.queue.room(bytes).await)
    }

    /// Queues writes at once.
    pub(crate) fn enqueue(&self, writes: Vec<Write>, room: Room) -> Result<Submission, Failure> {
        let (number, answer) = self.push(writes, room.0)?;
        Ok(Submission {
            queue: Arc::clone(&self.queue),
            number,
            answer,
        })
    }

    /// Queues writes at once, unless too many bytes are queued.
    pub(crate) fn enqueue_now(&self, writes: Vec<Write>) -> Result<Submission, Failure> {
        let room = self.queue.room_now(queue::size(&writes));
        let room = room.ok_or(Failure::Withdrawn)?;
        self.enqueue(writes, Room(room))
    }
}

impl Submission {
    /// Returns once the writes are durable, as [`Handle::submit`].
    pub(crate) async fn settled(self) -> Result<(), Failure> {
        self.answer.await.unwrap_or(Err(Failure::Fenced))
    }

    /// Gives up after `wait_ms` milliseconds, as [`Handle::submit_within`].
    pub(crate) async fn within(mut self, wait_ms: u64) -> Result<(), Failure> {
        let wait = Duration::from_millis(wait_ms);
        if let Ok(outcome) = tokio::time::timeout(wait, &mut self.answer).await {
            return outcome.unwrap_or(Err(Failure::Fenced));
        }
        if self.queue.withdraw(self.number) {
            return Err(Failure::Withdrawn);
        }
        self.answer.try_recv().unwrap_or(Err(Failure::Unknown))
    }
}
