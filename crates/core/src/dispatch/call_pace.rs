//! Paces the calls of the store while it accepts fewer than the instances make.
//!
//! The store accepts a number of calls per second from all instances together and rejects the others.
//! Under overload every rejected call is repeated, so that most calls are repetitions and each turn
//! waits for several of them. Each instance therefore limits its own rate: a rejection lowers the limit,
//! and each accepted call raises it (multiplicative decrease and increase), until the store accepts nearly
//! all calls again.

use crate::clock::Time;

/// Factors of the limit after a rejection and after an accepted call. Together they keep the share of
/// rejected calls near one in six under overload: fewer would leave a part of the store's rate unused.
/// An instance that was turned away is back at its rate within some sixty calls.
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 1.02;

/// Minimum limit, in calls per second: an instance of a large fleet gets about that.
const MIN_RATE: f64 = 5.0;

/// Maximum delay of a call, in milliseconds. Beyond it, calls are better rejected by the store than held
/// until their requests are over.
const MAX_DELAY_MS: f64 = 400.0;

/// Limit, as a multiple of the present rate, from which on it has no effect and is dropped.
const UNLIMITED_FACTOR: f64 = 4.0;

/// Time constant of the measured rate, in milliseconds.
const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Rate of an instance's calls and the limit on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallPace {
    /// Limit in calls per second, if there is one.
    limit: Option<f64>,
    /// Calls that count for the present rate, each with a weight that decays.
    recent: f64,
    recent_at: Time,
    /// When the next call may start, in milliseconds.
    next_ms: f64,
}

impl CallPace {
    /// Books a call and returns the milliseconds until it may start.
    pub fn book(&mut self, now: Time) -> u64 {
        self.recent = self.rate(now) + 1_000.0 / RATE_TIME_CONSTANT_MS;
        self.recent_at = now;
        let Some(limit) = self.limit else {
            return 0;
        };
        let now_ms = now.as_ms() as f64;
        let start_ms = self.next_ms.clamp(now_ms, now_ms + MAX_DELAY_MS);
        self.next_ms = start_ms + 1_000.0 / limit;
        (start_ms - now_ms) as u64
    }

    /// Records that the store rejected a call for its rate.
    pub fn record_rejection(&mut self, now: Time) {
        let present = self.limit.unwrap_or_else(|| self.rate(now));
        self.limit = Some((present * DECREASE).max(MIN_RATE));
    }

    /// Records that the store accepted a call.
    pub fn record_acceptance(&mut self, now: Time) {
        let Some(limit) = self.limit else {
            return;
        };
        let raised = limit * INCREASE;
        let bound = self.rate(now).max(MIN_RATE) * UNLIMITED_FACTOR;
        self.limit = (raised < bound).then_some(raised);
    }

    /// Returns the limit in calls per second, if there is one.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the present rate in calls per second.
    fn rate(&self, now: Time) -> f64 {
        let age_ms = now.since(self.recent_at) as f64;
        self.recent * (-age_ms / RATE_TIME_CONSTANT_MS).exp()
    }
}
