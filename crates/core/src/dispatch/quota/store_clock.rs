//! Estimate of the store's time.

use crate::clock::Time;

/// Reciprocal of the maximum rate by which two clocks differ.
const DRIFT_DIVISOR: u64 = 1_000;

/// Error of a difference of two times in whole milliseconds.
const ROUNDING_MS: u64 = 1;

/// Bounds of the store's time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTime {
    /// It is at least this.
    pub lower_ms: u64,
    /// It is at most this.
    pub upper_ms: u64,
}

/// Estimates the store's time from its responses. All local times are of a clock that continues while
/// the instance is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    /// Response that gives the best lower bound: when it arrived and what it said.
    lower: Option<(Time, u64)>,
    /// Response that gives the best upper bound: when its call was sent and what it said.
    upper: Option<(Time, u64)>,
}

impl StoreClock {
    /// Records that the response to a call contained the store's time.
    pub fn record(&mut self, sent: Time, received: Time, now_ms: u64) {
        let sample = Self {
            lower: Some((received, now_ms)),
            upper: Some((sent, now_ms)),
        };
        let known = self.now(received).zip(sample.now(received));
        let Some((known, new)) = known else {
            *self = sample;
            return;
        };
        if new.lower_ms > known.upper_ms || new.upper_ms < known.lower_ms {
            // One of the clocks was set.
            *self = sample;
            return;
        }
        if new.lower_ms >= known.lower_ms {
            self.lower = sample.lower;
        }
        if new.upper_ms <= known.upper_ms {
            self.upper = sample.upper;
        }
    }

    /// Returns the bounds of the store's time, or `None` before the first response.
    #[must_use]
    pub fn now(&self, now: Time) -> Option<StoreTime> {
        let (received, lower_ms) = self.lower?;
        let (sent, upper_ms) = self.upper?;
        let since_received = now.since(received);
        let since_received = since_received - since_received.div_ceil(DRIFT_DIVISOR);
        let since_sent = now.since(sent);
        let since_sent = since_sent + since_sent.div_ceil(DRIFT_DIVISOR);
        Some(StoreTime {
            lower_ms: lower_ms + since_received.saturating_sub(ROUNDING_MS),
            // The store's time is in whole milliseconds, too.
            upper_ms: upper_ms + since_sent + 2 * ROUNDING_MS,
        })
    }
}
