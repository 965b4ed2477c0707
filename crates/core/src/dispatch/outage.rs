//! Detects store outages and decides how long requests wait for the store.
//!
//! The store may be unavailable as a whole, only for this instance, or in some of its partitions.
//! An unavailable partition is unavailable to every instance, so sending callers to another
//! instance does not help.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// Time without a response after which a partition counts as unavailable: several times the slowest
/// normal response.
const DOWN_MS: u64 = 250;

/// Partition key for calls on the watched tables. Their outcome stands for the store as a whole.
pub const FEED_PARTITION: &str = "";

/// Consecutive failed calls after which the watched tables are queried. A single failure may come
/// from a broken connection.
const SUSPECT_FAILURES: u32 = 2;

/// Interval between two calls to an unavailable partition. It is a fraction of the time for which
/// requests are held, so that they see the recovery.
const PROBE_INTERVAL_MS: u64 = 150;

/// Outage duration after which the load balancer has seen that an instance is not ready and sends
/// callers elsewhere: two probes, one second apart. Until then another instance may still reach the
/// store. After that, remaining callers have no better instance to go to.
const REROUTE_MS: u64 = 2_000;

/// Retry delay for callers that may reach an instance with a working store. A turn's two attempts
/// and two repeats then last until the load balancer sends callers elsewhere.
const RETRY_MS: u64 = 400;

/// Share of a caller's remaining time, in percent, for which its request is held once no instance
/// seems to reach the store. More than half remains for the next attempt at another instance.
const HOLD_PERCENT: u64 = 45;

/// Minimum timeout of a call: many times the response time of a healthy store.
const MIN_TIMEOUT_MS: u64 = 400;

/// Maximum timeout of a call: about the response time of a store that is slow but usable.
const MAX_TIMEOUT_MS: u64 = 2_000;

/// What to do with a request that needs the store during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Reject it immediately, with a retry delay in milliseconds.
    Reject(u64),
    /// Hold it for at most this many milliseconds, then reject it.
    Hold(u64),
}

/// What is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The whole store, at least for this instance, for this many milliseconds.
    Store(u64),
    /// The partition that a request needs, while other partitions respond.
    Partition,
}

/// Decides whether to hold a request that has `remaining_ms` left.
#[must_use]
pub const fn decide_wait(unavailable: Unavailable, remaining_ms: u64) -> Wait {
    match unavailable {
        Unavailable::Store(ms) if ms < REROUTE_MS => Wait::Reject(RETRY_MS),
        Unavailable::Store(_) | Unavailable::Partition => {
            Wait::Hold(remaining_ms * HOLD_PERCENT / 100)
        }
    }
}

/// Health of the store, derived from the outcomes of recent calls.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Time of the first failure since the last successful call.
    since: Option<Time>,
    /// Number of failed calls since the last successful one.
    failures: u32,
    /// Whether the current outage was reported.
    is_reported: bool,
    /// Failing partitions, with the start of each outage.
    partitions: BTreeMap<Arc<str>, PartitionOutage>,
}

#[derive(Clone, Copy, Debug)]
struct PartitionOutage {
    since: Time,
    last_attempt: Time,
}

/// Change in the health of the whole store caused by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// No change.
    None,
    /// Calls fail. Calls on the watched tables decide whether the store is down.
    Suspected,
    /// The store is down.
    Down,
    /// The store responds again after this many milliseconds.
    Recovered(u64),
}

impl StoreHealth {
    /// Records a successful call to a partition that started at `began`.
    pub fn record_success(&mut self, partition: &str, began: Time, now: Time) -> Transition {
        // The response to a call from before the outage may arrive during it.
        if self
            .partitions
            .get(partition)
            .is_some_and(|outage| began >= outage.since)
        {
            self.partitions.remove(partition);
        }
        let Some(since) = self.since.filter(|since| began >= *since) else {
            return Transition::None;
        };
        self.since = None;
        self.failures = 0;
        if !std::mem::take(&mut self.is_reported) {
            return Transition::None;
        }
        Transition::Recovered(now.since(since))
    }

    /// Records a failed call to a partition.
    pub fn record_failure(&mut self, partition: &str, now: Time) -> Transition {
        self.since.get_or_insert(now);
        match self.partitions.get_mut(partition) {
            Some(outage) => outage.last_attempt = now,
            None => {
                let outage = PartitionOutage {
                    since: now,
                    last_attempt: now,
                };
                self.partitions.insert(partition.into(), outage);
            }
        }
        self.failures += 1;
        if self.is_reported {
            return Transition::None;
        }
        if self.outage_ms(now) > 0 {
            self.is_reported = true;
            return Transition::Down;
        }
        if self.failures == SUSPECT_FAILURES && partition != FEED_PARTITION {
            return Transition::Suspected;
        }
        Transition::None
    }

    /// Returns whether calls have failed since the latest one that succeeded.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.since.is_some()
    }

    /// Returns for how many milliseconds the whole store has been unavailable; 0 if it is
    /// available.
    #[must_use]
    pub fn outage_ms(&self, now: Time) -> u64 {
        let ms = self.since.map_or(0, |since| now.since(since));
        // Without a failing feed, the failing partitions may be the only ones that fail.
        if ms >= DOWN_MS && self.partitions.contains_key(FEED_PARTITION) {
            ms
        } else {
            0
        }
    }

    /// Returns what is unavailable for a request to a partition, or `None` if the call should be
    /// made.
    ///
    /// At intervals, one request may call an unavailable partition, which detects its recovery.
    pub fn check_availability(&mut self, partition: &str, now: Time) -> Option<Unavailable> {
        let outage_ms = self.outage_ms(now);
        if outage_ms > 0 {
            return Some(Unavailable::Store(outage_ms));
        }
        let outage = self.partitions.get_mut(partition)?;
        let is_due = now.since(outage.last_attempt) >= PROBE_INTERVAL_MS;
        if now.since(outage.since) < DOWN_MS || is_due {
            outage.last_attempt = now;
            return None;
        }
        Some(Unavailable::Partition)
    }
}

/// Returns the retry delay for a caller whose request was held until its limit.
#[must_use]
pub const fn retry_after_hold_ms() -> u64 {
    RETRY_MS
}

/// Smoothed latency of store calls, from which their timeout is derived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallLatency {
    mean_ms: f64,
}

impl CallLatency {
    /// Records the duration of a successful call.
    pub fn record(&mut self, ms: u64) {
        self.mean_ms += (ms as f64 - self.mean_ms) * 0.2;
    }

    /// Records a call that timed out after `ms`. The next timeout becomes longer, in case the store
    /// is slow rather than unavailable.
    pub const fn record_timeout(&mut self, ms: u64) {
        self.mean_ms = self.mean_ms.max(ms as f64 / 2.0);
    }

    /// Returns the timeout of the next call, in milliseconds.
    #[must_use]
    pub fn timeout_ms(&self) -> u64 {
        ((self.mean_ms * 4.0) as u64).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
