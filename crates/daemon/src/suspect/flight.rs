//! Keeps copies of a request few at a time until one of them was answered whole.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::history::Digest;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Copies of a request that may be under way here before one was answered whole.
const COPIES: u32 = 2;

/// Requests that are remembered as answered whole.
const KNOWN: usize = 16_384;

#[derive(Debug, Default)]
struct Table {
    flying: BTreeMap<Digest, u32>,
    answered: BTreeSet<Digest>,
    order: VecDeque<Digest>,
}

#[derive(Debug, Default)]
struct Inner {
    table: Mutex<Table>,
    changed: Notify,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts the copies of requests that are under way here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flights {
    inner: Arc<Inner>,
}

/// A copy that is under way; over once dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    inner: Arc<Inner>,
    fingerprint: Digest,
}

impl Flights {
    /// Waits until a copy of a request may be under way, for at most `wait_ms` milliseconds.
    pub(crate) async fn enter(&self, fingerprint: Digest, wait_ms: u64) -> Option<Flight> {
        let waiting = async {
            loop {
                let changed = self.inner.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if let Some(flight) = self.try_enter(fingerprint) {
                    return flight;
                }
                changed.await;
            }
        };
        timeout(Duration::from_millis(wait_ms), waiting).await.ok()
    }

    fn try_enter(&self, fingerprint: Digest) -> Option<Flight> {
        let mut table = self.inner.lock();
        let known = table.answered.contains(&fingerprint);
        let copies = table.flying.entry(fingerprint).or_default();
        if !known && *copies >= COPIES {
            return None;
        }
        *copies += 1;
        Some(Flight {
            inner: Arc::clone(&self.inner),
            fingerprint,
        })
    }
}

impl Flight {
    /// Returns the request's fingerprint.
    pub(crate) fn fingerprint(&self) -> Digest {
        self.fingerprint
    }

    /// Notes that the request was answered whole.
    pub(crate) fn answered(&self) {
        let mut table = self.inner.lock();
        if table.answered.insert(self.fingerprint) {
            table.order.push_back(self.fingerprint);
        }
        if table.order.len() > KNOWN
            && let Some(oldest) = table.order.pop_front()
        {
            table.answered.remove(&oldest);
        }
    }
}

impl Flight {
    /// Notes that the request crashed an upstream: its copies are kept few again.
    pub(crate) fn crashed(&self) {
        let mut table = self.inner.lock();
        if table.answered.remove(&self.fingerprint) {
            table.order.retain(|known| *known != self.fingerprint);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut table = self.inner.lock();
        let copies = table.flying.entry(self.fingerprint).or_default();
        *copies = copies.saturating_sub(1);
        if *copies == 0 {
            table.flying.remove(&self.fingerprint);
        }
        drop(table);
        self.inner.changed.notify_waiters();
    }
}
