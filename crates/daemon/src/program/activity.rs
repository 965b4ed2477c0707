//! Counts the requests and background tasks in progress per partition.
//!
//! A partition is handed over only once it is idle.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::id;
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Inner {
    counts: Mutex<BTreeMap<id::Partition, usize>>,
    changed: Notify,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<id::Partition, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts the operations in progress per partition.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActivityTracker {
    inner: Arc<Inner>,
}

/// An operation in progress. It ends when dropped.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    inner: Arc<Inner>,
    partition: id::Partition,
}

impl ActivityTracker {
    /// Records the start of an operation in a partition.
    pub(crate) fn start(&self, partition: id::Partition) -> ActivityGuard {
        *self.inner.lock().entry(partition).or_default() += 1;
        ActivityGuard {
            inner: Arc::clone(&self.inner),
            partition,
        }
    }

    /// Waits until no operation is in progress in a partition.
    pub(crate) async fn wait_idle(&self, partition: id::Partition) {
        loop {
            let changed = self.inner.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.inner.lock().contains_key(&partition) {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut counts = self.inner.lock();
        let Some(count) = counts.get_mut(&self.partition) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.partition);
            self.inner.changed.notify_waiters();
        }
    }
}
