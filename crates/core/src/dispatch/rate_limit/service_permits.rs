//! What an instance experiences with the permits of a service's upstreams.

use crate::clock::Time;

/// Time between two permits until it was measured, in milliseconds.
const INITIAL_INTERVAL_MS: f64 = 250.0;

/// Bounds of the time between two permits, in milliseconds.
const MIN_INTERVAL_MS: f64 = 1.0;
const MAX_INTERVAL_MS: f64 = 4_000.0;

/// EWMA weight of the latest time between two permits.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Change of the contention per granted or denied permit, as an exponent of two.
const CONTENTION_STEP: f64 = 0.25;

/// Maximum exponent of the contention: that of a thousand busy instances.
const MAX_CONTENTION: f64 = 10.0;

/// Permits of a service, as experienced by this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServicePermits {
    last_grant: Option<Time>,
    /// Mean time between two permits of this instance.
    interval_ms: f64,
    /// Binary logarithm of the number of instances that seem to compete for the permits.
    contention: f64,
    /// When the latest rejected caller returns.
    last_return: Time,
}

impl Default for ServicePermits {
    fn default() -> Self {
        Self {
            last_grant: None,
            interval_ms: INITIAL_INTERVAL_MS,
            contention: 0.0,
            last_return: Time::ZERO,
        }
    }
}

impl ServicePermits {
    /// Records that a request got a permit.
    pub(super) fn record_grant(&mut self, now: Time) {
        self.contention = (self.contention - CONTENTION_STEP).max(0.0);
        if let Some(last) = self.last_grant.replace(now) {
            let observed_ms = (now.since(last) as f64).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
            self.interval_ms += (observed_ms - self.interval_ms) * INTERVAL_WEIGHT;
        }
    }

    /// Records that a request got none.
    pub(super) fn record_denial(&mut self) {
        self.contention = (self.contention + CONTENTION_STEP).min(MAX_CONTENTION);
    }

    /// Returns by how many intervals of an upstream tries should be spread, so that about half of
    /// them succeed.
    pub(super) fn contention(&self) -> f64 {
        self.contention.exp2()
    }

    /// Returns when the next rejected caller may return, in milliseconds from now: not before
    /// `wait_ms`, and one after the other at the rate of this instance's permits.
    pub(super) fn book_return(&mut self, wait_ms: u64, now: Time) -> u64 {
        let interval_ms = self.interval_ms as u64;
        let after_last = self.last_return.after(interval_ms);
        self.last_return = now.after(wait_ms.max(interval_ms)).max(after_last);
        self.last_return.since(now)
    }
}
