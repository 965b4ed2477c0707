//! Limits the copies of a request in flight until one of them has completed.
//!
//! If the request crashes upstreams, only a few of them are affected.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::history::Digest;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Copies of a request that may be in flight on this instance before one has completed.
const MAX_COPIES_IN_FLIGHT: u32 = 2;

/// Completed requests that are remembered; the oldest is evicted first.
const MAX_COMPLETED_REQUESTS: usize = 16_384;

#[derive(Debug, Default)]
struct State {
    in_flight: BTreeMap<Digest, u32>,
    completed: BTreeSet<Digest>,
    completed_order: VecDeque<Digest>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Notify,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts the copies of requests in flight on this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCopies {
    inner: Arc<Inner>,
}

/// A copy in flight. It ends when dropped.
#[derive(Debug)]
pub(crate) struct InFlightCopy {
    inner: Arc<Inner>,
    fingerprint: Digest,
}

impl InFlightCopies {
    /// Waits until another copy of a request may be in flight. Returns `None` after `wait_ms`
    /// milliseconds.
    pub(crate) async fn start_copy(
        &self,
        fingerprint: Digest,
        wait_ms: u64,
    ) -> Option<InFlightCopy> {
        let waiting = async {
            loop {
                let changed = self.inner.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if let Some(copy) = self.try_start_copy(fingerprint) {
                    return copy;
                }
                changed.await;
            }
        };
        timeout(Duration::from_millis(wait_ms), waiting).await.ok()
    }

    fn try_start_copy(&self, fingerprint: Digest) -> Option<InFlightCopy> {
        let mut state = self.inner.lock();
        let is_completed = state.completed.contains(&fingerprint);
        let copies = state.in_flight.entry(fingerprint).or_default();
        if !is_completed && *copies >= MAX_COPIES_IN_FLIGHT {
            return None;
        }
        *copies += 1;
        Some(InFlightCopy {
            inner: Arc::clone(&self.inner),
            fingerprint,
        })
    }
}

impl InFlightCopy {
    /// Returns the request's fingerprint.
    pub(crate) fn fingerprint(&self) -> Digest {
        self.fingerprint
    }

    /// Records that the request completed, which lifts the limit on its copies.
    pub(crate) fn record_completion(&self) {
        let mut state = self.inner.lock();
        if state.completed.insert(self.fingerprint) {
            state.completed_order.push_back(self.fingerprint);
        }
        if state.completed_order.len() > MAX_COMPLETED_REQUESTS
            && let Some(oldest) = state.completed_order.pop_front()
        {
            state.completed.remove(&oldest);
        }
    }
}

impl InFlightCopy {
    /// Records that the request crashed an upstream, which limits its copies again.
    pub(crate) fn record_crash(&self) {
        let mut state = self.inner.lock();
        if state.completed.remove(&self.fingerprint) {
            state
                .completed_order
                .retain(|known| *known != self.fingerprint);
        }
    }
}

impl Drop for InFlightCopy {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        let copies = state.in_flight.entry(self.fingerprint).or_default();
        *copies = copies.saturating_sub(1);
        if *copies == 0 {
            state.in_flight.remove(&self.fingerprint);
        }
        drop(state);
        self.inner.changed.notify_waiters();
    }
}
