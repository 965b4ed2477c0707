//! Rates that overloaded upstreams accept from all instances together, as far as this instance
//! knows them.
//!
//! An upstream names its limit in its responses for as long as the limit holds. An observation that
//! allows fewer requests takes effect at once. One that allows more has to come from a request that
//! was sent after the present limit was last named: an older response may arrive late, for example
//! at an instance that was suspended.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// A number of requests per unit of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate {
    milli_per_s: u64,
}

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli_per_s(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }
}

/// What a response says about the rate that its upstream accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// The upstream names no limit.
    Unlimited,
    /// The upstream accepts at most this rate.
    Limited(Rate),
    /// The upstream names a limit that can't be read, so that the known one stays.
    Unreadable,
}

/// Rate limits by the id of their upstream. They are kept while an upstream restarts.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<Arc<str>, Limit>,
}

/// What is known of an upstream's limit.
#[derive(Clone, Copy, Debug, Default)]
struct Limit {
    rate: Option<Rate>,
    /// When the limit was last named.
    named_at: Time,
}

impl RateLimits {
    /// Returns the limit of an upstream, or `None` if it has none.
    #[must_use]
    pub fn rate(&self, upstream: &str) -> Option<Rate> {
        self.limits.get(upstream)?.rate
    }

    /// Records what the response to a request that was sent at `sent_at` says. Returns whether it
    /// changes the limit.
    pub fn observe(
        &mut self,
        upstream: &Arc<str>,
        announcement: Announcement,
        sent_at: Time,
        now: Time,
    ) -> bool {
        let rate = match announcement {
            Announcement::Unreadable => return false,
            Announcement::Unlimited => None,
            Announcement::Limited(rate) => Some(rate),
        };
        if rate.is_none() && self.rate(upstream).is_none() {
            return false;
        }
        let limit = self.limits.entry(Arc::clone(upstream)).or_default();
        let is_stricter = allows_less(rate, limit.rate);
        if !is_stricter && rate != limit.rate && sent_at <= limit.named_at {
            return false;
        }
        if rate.is_some() {
            limit.named_at = now;
        }
        let is_changed = limit.rate != rate;
        limit.rate = rate;
        is_changed
    }
}

/// Returns whether a limit allows fewer requests than another one; `None` is no limit.
fn allows_less(rate: Option<Rate>, other: Option<Rate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
