//! Rate limits based on token buckets.

use crate::clock::Time;

/// Bucket units per token. With millionths of a token, a rate of one thousandth of a token per
/// second adds one unit per millisecond.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Capacity of a bucket, as the time in which it fills, in milliseconds.
const BURST_MS: u64 = 2_000;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_milli_per_s: u64,
    level_micro: u64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    ///
    /// `rate_milli_per_s` is the rate in thousandths of a token per second. The bucket holds the
    /// tokens of two seconds, but at least one token.
    #[must_use]
    pub fn new(now: Time, rate_milli_per_s: u64) -> Self {
        Self {
            rate_milli_per_s,
            level_micro: burst_micro(rate_milli_per_s),
            refilled_at: now,
        }
    }

    /// Changes the rate, in thousandths of a token per second. Tokens in the bucket are kept, up to
    /// the new capacity.
    pub fn set_rate(&mut self, now: Time, rate_milli_per_s: u64) {
        self.refill(now);
        self.rate_milli_per_s = rate_milli_per_s;
        self.level_micro = self.level_micro.min(burst_micro(rate_milli_per_s));
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until a token is available.
    pub fn try_take(&mut self, now: Time) -> Result<(), u64> {
        self.refill(now);
        if self.level_micro >= MICRO_PER_TOKEN {
            self.level_micro -= MICRO_PER_TOKEN;
            return Ok(());
        }
        let missing = MICRO_PER_TOKEN - self.level_micro;
        Err(missing.div_ceil(self.rate_milli_per_s.max(1)))
    }

    fn refill(&mut self, now: Time) {
        let gained = now
            .since(self.refilled_at)
            .saturating_mul(self.rate_milli_per_s);
        let level = self.level_micro.saturating_add(gained);
        self.level_micro = level.min(burst_micro(self.rate_milli_per_s));
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn burst_micro(rate_milli_per_s: u64) -> u64 {
    rate_milli_per_s
        .saturating_mul(BURST_MS)
        .max(MICRO_PER_TOKEN)
}
