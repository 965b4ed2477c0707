//! How long work waits for the store, and what follows when it does not answer.
//!
//! The store may be unavailable as a whole, for this instance alone, or in some of its partitions. A partition
//! that is unavailable is unavailable for every instance, so there is no use in sending callers elsewhere.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// Time without an answer after which a partition counts as unavailable: several times what the slowest
/// usual answer takes.
const DOWN_MS: u64 = 250;

/// The partition of the tables that are followed: what is noted of it holds for the store itself.
pub const FEED_PARTITION: &str = "";

/// Calls that fail one after the other before the tables that are followed are asked: one alone
/// may have met a connection that broke.
const SUSPECT_FAILURES: u32 = 2;

/// Time between two calls of a partition that is unavailable: often enough that its return is met within a
/// fraction of the time that requests are held.
const PROBE_INTERVAL_MS: u64 = 150;

/// Time without an answer in which the balancer notices that an instance is not ready and sends
/// callers elsewhere: two probes, a second apart. Until then another instance may well reach
/// the store; later, callers that still come have nowhere better to go.
const REROUTE_MS: u64 = 2_000;

/// When a caller may come back that may meet an instance which reaches the store. Two tries and
/// two repetitions of a turn then last until callers are sent elsewhere.
const RETRY_MS: u64 = 400;

/// Share of a caller's time, in percent, for which its request is held once no instance seems
/// to reach the store. More than half is left for its next try at another instance.
const HOLD_PERCENT: u64 = 45;

/// The shortest limit of a call: many times what the store takes when it is well.
const MIN_TIMEOUT_MS: u64 = 400;

/// The longest limit of a call: about what a store that is slow, yet of use, takes.
const MAX_TIMEOUT_MS: u64 = 2_000;

/// What to do with a request that needs the store while it does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Refuse it at once; it may come back after so many milliseconds.
    Reject(u64),
    /// Hold it for up to so many milliseconds, then refuse it.
    Hold(u64),
}

/// What does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The store, to this instance at least, for so many milliseconds.
    Store(u64),
    /// The partition that a request needs, while others answer.
    Partition,
}

/// Decides on a request with `remaining_ms` of its time left.
#[must_use]
pub const fn decide_wait(unavailable: Unavailable, remaining_ms: u64) -> Wait {
    match unavailable {
        Unavailable::Store(ms) if ms < REROUTE_MS => Wait::Reject(RETRY_MS),
        Unavailable::Store(_) | Unavailable::Partition => {
            Wait::Hold(remaining_ms * HOLD_PERCENT / 100)
        }
    }
}

/// What calls of the store came to lately.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the first call failed of those after the last answer.
    since: Option<Time>,
    /// Calls that failed since the last answer.
    failures: u32,
    /// Its outage is known.
    is_reported: bool,
    /// Parts that fail, and when each began to.
    partitions: BTreeMap<Arc<str>, PartitionOutage>,
}

#[derive(Clone, Copy, Debug)]
struct PartitionOutage {
    since: Time,
    last_attempt: Time,
}

/// What a call showed of the store as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing new.
    None,
    /// Calls fail; the tables that are followed tell whether it is unavailable.
    Suspected,
    /// It is unavailable.
    Down,
    /// It answers again, after so many milliseconds.
    Recovered(u64),
}

impl StoreHealth {
    /// Notes a call of a partition that began at `began` and was answered.
    pub fn record_success(&mut self, partition: &str, began: Time, now: Time) -> Transition {
        // A call from before the outage may be answered within it.
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

    /// Notes a call of a partition that failed.
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

    /// Returns for how long the store as a whole has not answered; 0 if it does.
    #[must_use]
    pub fn outage_ms(&self, now: Time) -> u64 {
        let ms = self.since.map_or(0, |since| now.since(since));
        // Other partitions that fail may be the only ones.
        if ms >= DOWN_MS && self.partitions.contains_key(FEED_PARTITION) {
            ms
        } else {
            0
        }
    }

    /// Returns what is unavailable of that which a request needs; none if a call is worth its while.
    ///
    /// Now and then one request tries a partition that is unavailable, and so finds out when it is back.
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

/// Returns when a caller may come back whose request was held in vain.
#[must_use]
pub const fn retry_after_hold_ms() -> u64 {
    RETRY_MS
}

/// How long calls of the store take, as a running mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallLatency {
    mean_ms: f64,
}

impl CallLatency {
    /// Notes the time of a call that was answered.
    pub fn record(&mut self, ms: u64) {
        self.mean_ms += (ms as f64 - self.mean_ms) * 0.2;
    }

    /// Notes a call that was given up after `ms`: the next one gets more time, in case the store
    /// is slow and not unavailable.
    pub const fn record_timeout(&mut self, ms: u64) {
        self.mean_ms = self.mean_ms.max(ms as f64 / 2.0);
    }

    /// Returns how long a call may take, in milliseconds.
    #[must_use]
    pub fn timeout_ms(&self) -> u64 {
        ((self.mean_ms * 4.0) as u64).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
