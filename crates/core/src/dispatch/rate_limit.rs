//! Rates that overloaded upstreams accept from all instances together.
//!
//! An upstream names its limit in its responses for as long as the limit holds. The instances share
//! two things through the store, so that the limit holds for their sum whatever their number:
//!
//! - The limit itself: a row that an instance writes when a response tells it something new, and that
//!   all instances follow. Most instances send so rarely to one upstream that its responses alone
//!   would tell them too late.
//! - The [`Schedule`] of the upstream: each request needs a permit, which moves the schedule by one
//!   interval. The row's version decides between instances that take a permit at the same time.
//!
//! An observation that allows fewer requests takes effect at once. One that allows more has to come
//! from a request that was sent after the present limit was last named: an older response may arrive
//! late, for example at an instance that was suspended.

mod schedule;
mod service_permits;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use schedule::{RequestClass, Schedule};
use service_permits::ServicePermits;

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

    /// Returns whether the rates differ by so little that other instances need not know.
    const fn is_close_to(self, other: Self) -> bool {
        let difference = self.milli_per_s.abs_diff(other.milli_per_s);
        difference.saturating_mul(100) <= other.milli_per_s.saturating_mul(UNSHARED_CHANGE_PERCENT)
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

/// Change of a limit that is not shared, in percent. A limit that follows the load of its upstream
/// may change with every response.
const UNSHARED_CHANGE_PERCENT: u64 = 10;

/// Time after which a change that could not be shared is tried again, in milliseconds.
const SHARE_RETRY_MS: u64 = 500;

/// Time after which the limit of an upstream without an entry is dropped, in milliseconds. An
/// upstream that crashed restarts within some seconds.
const ORPHAN_MS: u64 = 15_000;

/// Age from which the known schedule of an upstream is read again before a permit is taken, in
/// milliseconds. Another instance has probably moved it, and a failed write costs more than a read.
const SCHEDULE_MAX_AGE_MS: u64 = 100;

/// Maximum backoff after a denied permit, in milliseconds. It bounds how long an instance takes to
/// notice that permits are no longer scarce.
const MAX_BACKOFF_MS: u64 = 10_000;

/// Cost of a permit until it was measured, in milliseconds: one write of the store.
const INITIAL_PERMIT_MS: f64 = 10.0;

/// EWMA weight of the latest duration of a permit.
const PERMIT_WEIGHT: f64 = 0.1;

/// Rate limits by the id of their upstream. They are kept while an upstream restarts.
#[derive(Debug)]
pub struct RateLimits {
    limits: BTreeMap<Arc<str>, Limit>,
    services: BTreeMap<Arc<str>, ServicePermits>,
    permit_ms: f64,
}

/// What is known of an upstream's limit.
#[derive(Clone, Copy, Debug, Default)]
struct Limit {
    rate: Option<Rate>,
    /// When the limit was last named.
    named_at: Time,
    row: Option<Rate>,
    /// Version of the latest change of the row.
    row_version: u64,
    /// When the next attempt to share a change may start.
    share_at: Time,
    schedule: Schedule,
    schedule_version: u64,
    /// Version of the schedule's row that this instance wrote for its latest permit.
    permit_version: u64,
    schedule_read_at: Option<Time>,
    /// Until when requests of each class get no permit, by the number of the class.
    blocked_until: [Time; RequestClass::COUNT],
    /// Since when the upstream has had no entry.
    absent_since: Option<Time>,
}

/// A change of a limit to write to its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// New content of the row; `None` removes it.
    pub rate: Option<Rate>,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            limits: BTreeMap::new(),
            services: BTreeMap::new(),
            permit_ms: INITIAL_PERMIT_MS,
        }
    }
}

impl RateLimits {
    /// Returns the limit of an upstream, or `None` if it has none.
    #[must_use]
    pub fn rate(&self, upstream: &str) -> Option<Rate> {
        self.limits.get(upstream)?.rate
    }

    /// Returns for how many more milliseconds an upstream gets no request of a class from this
    /// instance; 0 if a permit may be available.
    #[must_use]
    pub fn blocked_ms(&self, upstream: &str, class: RequestClass, now: Time) -> u64 {
        let limit = self.limits.get(upstream);
        limit
            .filter(|limit| limit.rate.is_some())
            .map_or(0, |limit| limit.blocked_until[class as usize].since(now))
    }

    /// Returns the mean time that a request waits for a permit, in milliseconds.
    #[must_use]
    pub const fn permit_ms(&self) -> f64 {
        self.permit_ms
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
        limit.set_rate(rate, now)
    }

    /// Records a version of an upstream's row. Returns whether it changes the limit.
    pub fn record_row(
        &mut self,
        upstream: &Arc<str>,
        rate: Option<Rate>,
        version: u64,
        now: Time,
    ) -> bool {
        if rate.is_none() && !self.limits.contains_key(upstream) {
            return false;
        }
        let limit = self.limits.entry(Arc::clone(upstream)).or_default();
        if version <= limit.row_version {
            return false;
        }
        limit.row = rate;
        limit.row_version = version;
        limit.set_rate(rate, now)
    }

    /// Returns the upstreams whose rows are missing from a full table as of `version`.
    #[must_use]
    pub fn missing_rows(&self, table: &[Arc<str>], version: u64) -> Vec<Arc<str>> {
        let limits = self.limits.iter();
        let missing = limits.filter(|(upstream, limit)| {
            limit.row.is_some() && limit.row_version <= version && !table.contains(upstream)
        });
        missing.map(|(upstream, _)| Arc::clone(upstream)).collect()
    }

    /// Returns the change that other instances have to learn of, if there is one. The caller writes
    /// it and records the outcome with [`Self::record_row`].
    pub fn unshared_change(&mut self, upstream: &str, now: Time) -> Option<RowChange> {
        let limit = self.limits.get_mut(upstream)?;
        let is_shared = match (limit.rate, limit.row) {
            (Some(rate), Some(row)) => rate.is_close_to(row),
            (None, None) => true,
            _ => false,
        };
        if is_shared || now < limit.share_at {
            return None;
        }
        limit.share_at = now.after(SHARE_RETRY_MS);
        Some(RowChange {
            rate: limit.rate,
            version: limit.row.map_or(0, |_| limit.row_version),
        })
    }

    /// Returns the limit of an upstream, its schedule as last known and the version of the
    /// schedule's row.
    #[must_use]
    pub fn schedule(&self, upstream: &str) -> Option<(Rate, Schedule, u64)> {
        let limit = self.limits.get(upstream)?;
        Some((limit.rate?, limit.schedule, limit.schedule_version))
    }

    /// Returns whether the schedule of an upstream has to be read before a permit is taken.
    #[must_use]
    pub fn is_schedule_stale(&self, upstream: &str, now: Time) -> bool {
        let limit = self.limits.get(upstream);
        let read_at = limit.and_then(|limit| limit.schedule_read_at);
        read_at.is_none_or(|read_at| now.since(read_at) >= SCHEDULE_MAX_AGE_MS)
    }

    /// Records the content of a schedule's row; version 0 stands for a missing row.
    pub fn record_schedule(&mut self, upstream: &str, schedule: Schedule, version: u64, now: Time) {
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.schedule = schedule;
            limit.schedule_version = version;
            limit.schedule_read_at = Some(now);
        }
    }

    /// Records that this instance took a permit, which moved the schedule.
    pub fn record_permit(&mut self, upstream: &str, schedule: Schedule, version: u64, now: Time) {
        self.record_schedule(upstream, schedule, version, now);
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.permit_version = version;
        }
    }

    /// Records that a request to an upstream of `service` got a permit, for which it waited since
    /// `began`.
    pub fn record_grant(&mut self, service: &Arc<str>, began: Time, now: Time) {
        self.permit_ms += (now.since(began) as f64 - self.permit_ms) * PERMIT_WEIGHT;
        self.service_mut(service).record_grant(now);
    }

    /// Records that no permit was available for a request to an upstream of `service`, and none will
    /// be for `wait_ms`. Requests of its class and of those behind it try again after a random time
    /// beyond that, which grows with the share of tries that fail for permits of other instances.
    /// `draw` is a random number.
    pub fn record_denial(
        &mut self,
        upstream: &str,
        service: &Arc<str>,
        class: RequestClass,
        wait_ms: u64,
        draw: u64,
        now: Time,
    ) {
        let limit = self.limits.get(upstream);
        let is_own_permit = limit.is_some_and(|limit| {
            limit.permit_version > 0 && limit.permit_version == limit.schedule_version
        });
        let permits = self.service_mut(service);
        if !is_own_permit {
            permits.record_denial();
        }
        let contention = permits.contention();
        let Some(limit) = self.limits.get_mut(upstream) else {
            return;
        };
        let interval_ms = limit.rate.map_or(1, schedule::interval_ms).max(1);
        let backoff_ms = ((interval_ms as f64 * contention) as u64).clamp(1, MAX_BACKOFF_MS);
        let until = now.after(wait_ms + draw % backoff_ms);
        for blocked_until in &mut limit.blocked_until[class as usize..] {
            *blocked_until = until.max(*blocked_until);
        }
    }

    /// Returns when the caller of a rejected request may come back, in milliseconds from now. A
    /// permit may be available after `wait_ms`; callers return one after the other, at the rate at
    /// which this instance gets permits for the service.
    pub fn book_return(&mut self, service: &Arc<str>, wait_ms: u64, now: Time) -> u64 {
        self.service_mut(service).book_return(wait_ms, now)
    }

    fn service_mut(&mut self, service: &Arc<str>) -> &mut ServicePermits {
        self.services.entry(Arc::clone(service)).or_default()
    }

    /// Drops the limits of upstreams that have had no entry for a while. Returns these upstreams;
    /// their rows have to be removed.
    pub(super) fn expire(&mut self, is_known: impl Fn(&str) -> bool, now: Time) -> Vec<Arc<str>> {
        let mut expired = Vec::new();
        for (upstream, limit) in &mut self.limits {
            if is_known(upstream) {
                limit.absent_since = None;
                continue;
            }
            let absent_since = *limit.absent_since.get_or_insert(now);
            if limit.rate.is_some() && now.since(absent_since) >= ORPHAN_MS {
                limit.rate = None;
                expired.push(Arc::clone(upstream));
            }
        }
        self.limits.retain(|_, limit| {
            limit.rate.is_some() || limit.row.is_some() || limit.absent_since.is_none()
        });
        expired
    }
}

impl Limit {
    fn set_rate(&mut self, rate: Option<Rate>, now: Time) -> bool {
        if rate.is_some() {
            self.named_at = now;
        }
        let is_changed = self.rate != rate;
        self.rate = rate;
        if is_changed {
            self.blocked_until = [now; RequestClass::COUNT];
        }
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
