//! The queue of submissions for the commit loop, bounded by bytes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::batch::{self, Bounds};
use basilramp_core::id;
use basilramp_platform::table::{Action, Key, Write};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};

use super::stats::{Counters, Stats};
use super::{Failure, MAX_WRITES};

const MAX_BATCH_BYTES: usize = 3 * 1024 * 1024;
const ROW_OVERHEAD_BYTES: usize = 128;

/// The share of the queue's byte capacity that a submission occupies until its outcome is reported.
pub(super) type Permit = OwnedSemaphorePermit;

/// The partition and term in which a submission must be owned to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Scope {
    pub(super) partition: id::Partition,
    pub(super) term: id::Term,
}

/// A queued submission.
#[derive(Debug)]
pub(super) struct Entry {
    number: u64,
    pub(super) writes: Vec<Write>,
    pub(super) incarnation: id::Incarnation,
    pub(super) scope: Option<Scope>,
    bytes: usize,
    responder: oneshot::Sender<Result<(), Failure>>,
    _permit: Permit,
}

impl Entry {
    pub(super) fn new(
        writes: Vec<Write>,
        incarnation: id::Incarnation,
        scope: Option<Scope>,
        responder: oneshot::Sender<Result<(), Failure>>,
        permit: Permit,
    ) -> Self {
        Self {
            number: 0,
            bytes: size_bytes(&writes),
            writes,
            incarnation,
            scope,
            responder,
            _permit: permit,
        }
    }

    /// Reports the outcome to the submitter.
    pub(super) fn respond(self, outcome: Result<(), Failure>) {
        // The send fails if the submitter stopped waiting.
        let _ = self.responder.send(outcome);
    }

    fn batch_entry(&self) -> batch::Submission<Key> {
        batch::Submission {
            keys: self.writes.iter().map(|write| write.key.clone()).collect(),
            bytes: self.bytes,
        }
    }
}

/// Returns the estimated size of writes in bytes, with a fixed overhead per row.
pub(super) fn size_bytes(writes: &[Write]) -> usize {
    let sizes = writes.iter().map(|write| {
        let body = match &write.action {
            Action::Put { body, .. } => body.len(),
            Action::Delete | Action::Check => 0,
        };
        ROW_OVERHEAD_BYTES + write.key.partition.len() + write.key.sort.len() + body
    });
    sizes.sum()
}

#[derive(Debug, Default)]
struct QueueState {
    entries: VecDeque<Entry>,
    last_number: u64,
    closed: bool,
}

/// The queue between the submitters and the commit loop.
#[derive(Debug)]
pub(super) struct Queue {
    state: Mutex<QueueState>,
    semaphore: Arc<Semaphore>,
    capacity: usize,
    notify: Notify,
    pub(super) counters: Counters,
}

impl Queue {
    pub(super) fn open(capacity: usize) -> Self {
        let capacity = capacity.clamp(1, u32::MAX as usize);
        Self {
            state: Mutex::default(),
            semaphore: Arc::new(Semaphore::new(capacity)),
            capacity,
            notify: Notify::new(),
            counters: Counters::default(),
        }
    }

    /// Waits for space for a submission of `bytes` bytes.
    ///
    /// A submission larger than the queue takes the whole capacity.
    pub(super) async fn acquire_permit(&self, bytes: usize) -> Permit {
        let count = self.permit_count(bytes);
        let permit = Arc::clone(&self.semaphore).acquire_many_owned(count).await;
        permit.expect("the semaphore is never closed")
    }

    /// Reserves space for a submission of `bytes` bytes, or returns `None` if the queue is full.
    pub(super) fn try_acquire_permit(&self, bytes: usize) -> Option<Permit> {
        let count = self.permit_count(bytes);
        Arc::clone(&self.semaphore)
            .try_acquire_many_owned(count)
            .ok()
    }

    /// Appends a submission and returns its number, or `None` if the queue is closed.
    pub(super) fn push(&self, mut entry: Entry) -> Option<u64> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        state.last_number += 1;
        let number = state.last_number;
        entry.number = number;
        state.entries.push_back(entry);
        drop(state);
        self.wake();
        Some(number)
    }

    /// Removes a submission that is still queued. Returns false if it is being sent or done.
    pub(super) fn withdraw(&self, number: u64) -> bool {
        let mut state = self.lock();
        let index = state.entries.iter().position(|e| e.number == number);
        index
            .and_then(|index| state.entries.remove(index))
            .is_some()
    }

    /// Removes and returns the next batch, at most `limit` submissions.
    ///
    /// Submissions that `may_send` rejects fail with [`Failure::Fenced`].
    pub(super) fn take_batch(&self, limit: usize, may_send: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let mut state = self.lock();
        let entries = std::mem::take(&mut state.entries);
        let (entries, rejected): (Vec<_>, Vec<_>) = entries.into_iter().partition(may_send);
        let bounds = Bounds {
            max_rows: MAX_WRITES,
            max_bytes: MAX_BATCH_BYTES,
        };
        let selected = batch::select(entries.iter().map(Entry::batch_entry), bounds);
        let selected = &selected[..selected.len().min(limit)];
        let mut batch = Vec::with_capacity(selected.len());
        for (index, entry) in entries.into_iter().enumerate() {
            if selected.binary_search(&index).is_ok() {
                batch.push(entry);
            } else {
                state.entries.push_back(entry);
            }
        }
        drop(state);
        for entry in rejected {
            entry.respond(Err(Failure::Fenced));
        }
        batch
    }

    /// Returns submissions to the front of the queue. None of them may have taken effect.
    pub(super) fn requeue(&self, batch: impl DoubleEndedIterator<Item = Entry>) {
        let mut state = self.lock();
        for entry in batch.rev() {
            state.entries.push_front(entry);
        }
    }

    /// Fails every queued submission.
    pub(super) fn fail_all(&self, failure: &Failure) {
        let entries = std::mem::take(&mut self.lock().entries);
        for entry in entries {
            entry.respond(Err(failure.clone()));
        }
    }

    /// Fails every queued submission with [`Failure::Fenced`] and accepts no more.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.fail_all(&Failure::Fenced);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lock().entries.is_empty()
    }

    /// Wakes the commit loop.
    pub(super) fn wake(&self) {
        self.notify.notify_one();
    }

    /// Waits until [`Queue::wake`] is called.
    pub(super) async fn notified(&self) {
        self.notify.notified().await;
    }

    pub(super) fn stats(&self) -> Stats {
        let queued = self.lock().entries.len() as u64;
        let reserved = self.capacity - self.semaphore.available_permits();
        Stats {
            queued,
            queued_bytes: reserved as u64,
            ..self.counters.read()
        }
    }

    fn permit_count(&self, bytes: usize) -> u32 {
        bytes.min(self.capacity) as u32
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
