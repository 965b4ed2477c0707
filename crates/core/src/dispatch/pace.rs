//! Pacing: limits what this instance sends to an upstream that has started or recovered.
//!
//! Instances do not share a view of the upstreams, so a limit in requests per instance would add up
//! to a flood where there are hundreds of instances. The limit is therefore a share of the rate at
//! which an upstream of the service gets requests from this instance on average. This share yields
//! credit for requests, beginning at a random part of a request. As soon as there is credit for a
//! request, the next suitable one is sent there, and none before. Over all instances, an upstream at
//! share `s` thus gets `s` times the mean rate of an upstream, whatever the number of instances and
//! whatever makes the upstream look better or worse than others.
//!
//! The share grows with each answer that came in time. It also grows with time, as most instances
//! send an upstream less than a request per second and would otherwise leave it idle, but only while
//! no request of this instance is overdue there. A failure or a slow answer halves it, and it
//! grows more slowly from then on. At [`FULL_SHARE`] the limit ends.

use crate::clock::Time;

/// Share at which an upstream begins. Requests to a cold cache take up to three times the usual
/// work, so that it is below the usual load then as well.
const FIRST_SHARE: f64 = 0.25;

/// Share of an ejected upstream that is probed. Its probes run one at a time at each instance.
const PROBE_SHARE: f64 = 0.5;

/// Share at which an upstream is no longer limited.
const FULL_SHARE: f64 = 1.0;

/// Growth of the share with each answer in time.
const ANSWER_GROWTH: f64 = 0.25;

/// Shortest and longest time in which the share grows from its first to its full value without an
/// answer, in milliseconds. Each instance has its own, so that they do not grow in lockstep.
const MIN_RAMP_MS: f64 = 1_500.0;
const MAX_RAMP_MS: f64 = 2_500.0;

/// Time after a reduction of the share in which it is not reduced again and does not grow, in
/// milliseconds. Requests that were sent together fail together, and are one observation.
const HOLD_MS: u64 = 500;

/// Factor of the growth after a reduction. It does not fall further, so that the limit ends within
/// seconds once the upstream responds in time, whatever was before.
const REDUCED_GROWTH: f64 = 0.5;

/// Multiple of the expected time from which on an answer is slow. Upstreams at 0.6 of the usual
/// speed are healthy and take 1.7 times as long.
pub const SLOW_RATIO: f64 = 2.5;

/// Time in which a demand is averaged, in milliseconds. A small instance sends some tens of requests
/// to a service in it.
const DEMAND_WINDOW_MS: f64 = 4_000.0;

/// Time after its begin in which an upstream is offered requests although others have their prompts
/// cached, in milliseconds. Otherwise these would keep all requests with a common beginning until
/// they queue. In this time the upstream gets some requests with each of the common prompts.
const OFFER_MS: u64 = 30_000;

/// Why an upstream is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceCause {
    /// It joined while this instance was running.
    Start,
    /// It was ejected.
    Recovery,
}

/// Change in the pace of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The upstream is limited from now on, or from the end of its ejection.
    Began(PaceCause),
    /// A failure or a slow answer has reduced the share to this value.
    Reduced(f64),
    /// The upstream is no longer limited.
    Full {
        /// Time since the limit began, in milliseconds.
        ms: u64,
    },
}

/// What an upstream of a service gets from this instance on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairLoad {
    /// Share of the service's requests, by the number of its upstreams.
    pub share: f64,
    /// Requests per millisecond.
    pub rate: f64,
    /// Requests per millisecond that do not continue a session at the upstream of its previous turn.
    /// Only these are counted against the limit, as sessions follow the upstream of their begin, at
    /// any instance.
    pub free_rate: f64,
    /// Duration of a request, in milliseconds.
    pub request_ms: f64,
}

/// Rate of this instance's requests to a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    count: f64,
    at: Time,
}

impl Demand {
    /// Records that a request is sent.
    pub fn record(&mut self, now: Time) {
        self.count = self.count_at(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns the requests per millisecond.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        self.count_at(now) / DEMAND_WINDOW_MS
    }

    fn count_at(&self, now: Time) -> f64 {
        self.count * (-(now.since(self.at) as f64) / DEMAND_WINDOW_MS).exp()
    }
}

/// Limit of an incarnation of an upstream. The default is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    ramp: Option<Ramp>,
}

#[derive(Clone, Copy, Debug)]
struct Ramp {
    began: Time,
    share: f64,
    /// Requests that the share yields and that were not sent yet.
    credit: f64,
    /// Whether the limit has ended.
    is_full: bool,
    /// Growth of the share per millisecond without answers.
    growth: f64,
    /// Factor of all growth.
    growth_factor: f64,
    updated: Time,
    held_until: Time,
    /// When the oldest of the requests in progress is overdue.
    overdue: Option<Time>,
}

impl Pace {
    /// Returns the pace of an upstream that accepts requests from `began` on. `draw` is a random
    /// number that differs between instances; it selects the time of the first request and the
    /// growth.
    #[must_use]
    pub fn limited(began: Time, draw: u64) -> Self {
        let first = f64::from((draw >> 32) as u32) / f64::from(u32::MAX);
        let second = f64::from(draw as u32) / f64::from(u32::MAX);
        let ramp_ms = MIN_RAMP_MS + (MAX_RAMP_MS - MIN_RAMP_MS) * second;
        let ramp = Ramp {
            began,
            share: FIRST_SHARE,
            credit: first,
            is_full: false,
            growth: (FULL_SHARE - FIRST_SHARE) / ramp_ms,
            growth_factor: 1.0,
            updated: began,
            held_until: began,
            overdue: None,
        };
        Self { ramp: Some(ramp) }
    }

    /// Limits the probes of an ejected upstream, from the end of its ejection at `began` on.
    pub fn limit_probes(&mut self, began: Time, draw: u64) {
        self.restart(began, PROBE_SHARE, draw);
    }

    /// Begins at the first share after an ejection.
    pub fn begin_recovery(&mut self, now: Time, draw: u64) {
        self.restart(now, FIRST_SHARE, draw);
    }

    fn restart(&mut self, began: Time, share: f64, draw: u64) {
        let was_reduced = self.ramp.is_some_and(|ramp| ramp.growth_factor < 1.0);
        *self = Self::limited(began, draw);
        if let Some(ramp) = &mut self.ramp {
            ramp.share = share;
            if was_reduced {
                ramp.growth_factor = REDUCED_GROWTH;
            }
        }
    }

    /// Returns whether the limit has not ended yet.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        matches!(self.ramp, Some(ramp) if !ramp.is_full)
    }

    /// Returns the share, or `None` if the upstream is not limited.
    #[must_use]
    pub fn share(&self, now: Time) -> Option<f64> {
        let ramp = self.ramp.filter(|ramp| !ramp.is_full)?;
        let share = ramp.share_at(now);
        (share < FULL_SHARE).then_some(share)
    }

    /// Returns whether the upstream has begun lately, so that it is offered requests although its
    /// cache is cold.
    #[must_use]
    pub const fn has_begun_lately(&self) -> bool {
        self.ramp.is_some()
    }

    /// Returns how many requests more than `requests` in progress may be sent, less one; the limit
    /// admits a request if this is not negative. `is_free` tells whether the request is counted
    /// against the limit. Returns `None` if the upstream is not limited.
    #[must_use]
    pub fn room(&self, requests: u32, is_free: bool, fair: FairLoad, now: Time) -> Option<f64> {
        let share = self.share(now)?;
        let ramp = self.ramp?;
        let concurrent = (share * fair.rate * fair.request_ms).ceil().max(1.0);
        let room = concurrent - f64::from(requests) - 1.0;
        if !is_free {
            return Some(room);
        }
        Some((ramp.credit_at(fair, now) - 1.0).min(room))
    }

    /// Records that a request is sent, whose prompt takes `read_ms` to read.
    pub fn start_attempt(&mut self, is_free: bool, read_ms: f64, fair: FairLoad, now: Time) {
        let Some(ramp) = &mut self.ramp else {
            return;
        };
        ramp.advance(fair, now);
        if is_free {
            // A request beyond the limit delays the next ones, but not for long.
            ramp.credit = (ramp.credit - 1.0).max(-1.0);
        }
        if ramp.overdue.is_none() {
            ramp.overdue = Some(overdue_at(read_ms, fair, now));
        }
    }

    /// Records that a request ended, with `requests` of them still in progress, whose prompts take
    /// `read_ms` to read.
    pub fn end_attempt(&mut self, requests: u32, read_ms: f64, fair: FairLoad, now: Time) {
        if let Some(ramp) = &mut self.ramp {
            ramp.advance(fair, now);
            ramp.overdue = (requests > 0).then(|| overdue_at(read_ms, fair, now));
        }
    }

    /// Records an answer that came in time.
    pub fn record_timely_answer(&mut self, now: Time) {
        if let Some(ramp) = &mut self.ramp
            && now >= ramp.began.max(ramp.held_until)
        {
            ramp.share += ANSWER_GROWTH * ramp.growth_factor;
        }
    }

    /// Records a failure or a slow answer. Returns the reduced share, or `None` if it is not
    /// reduced.
    pub fn record_trouble(&mut self, now: Time) -> Option<f64> {
        let ramp = self.ramp.as_mut()?;
        if ramp.is_full || now < ramp.began.max(ramp.held_until) || ramp.share_at(now) >= FULL_SHARE
        {
            return None;
        }
        ramp.share = (ramp.share_at(now) / 2.0).max(FIRST_SHARE);
        ramp.growth_factor = REDUCED_GROWTH;
        ramp.credit = ramp.credit.min(0.0);
        ramp.updated = ramp.updated.max(now);
        ramp.held_until = now.after(HOLD_MS);
        Some(ramp.share)
    }

    /// Ends the limit if the share is full. Returns the time since it began, in milliseconds.
    pub fn finish(&mut self, now: Time) -> Option<u64> {
        let ramp = self.ramp.as_mut()?;
        let ms = now.since(ramp.began);
        let ends = !ramp.is_full && ramp.share_at(now) >= FULL_SHARE;
        ramp.is_full |= ends;
        if ramp.is_full && ms >= OFFER_MS {
            self.ramp = None;
        }
        ends.then_some(ms)
    }
}

impl Ramp {
    fn share_at(&self, now: Time) -> f64 {
        let from = self.updated.max(self.held_until);
        let until = self.overdue.map_or(now, |overdue| overdue.min(now));
        self.share + until.since(from) as f64 * self.growth * self.growth_factor
    }

    fn credit_at(&self, fair: FairLoad, now: Time) -> f64 {
        let mean_share = (self.share + self.share_at(now)) / 2.0;
        let earned = mean_share * fair.free_rate * now.since(self.updated) as f64;
        let concurrent = self.share * fair.free_rate * fair.request_ms;
        (self.credit + earned)
            .min(concurrent.max(1.0))
            .max(self.credit)
    }

    fn advance(&mut self, fair: FairLoad, now: Time) {
        self.credit = self.credit_at(fair, now);
        self.share = self.share_at(now);
        self.updated = self.updated.max(now);
    }
}

fn overdue_at(read_ms: f64, fair: FairLoad, now: Time) -> Time {
    now.after(((fair.request_ms + read_ms) * SLOW_RATIO) as u64)
}
