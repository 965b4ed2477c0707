//! How long work waits for the store, and what follows when it does not answer.
//!
//! The store may be away as a whole, for this instance alone, or in some of its parts. A part
//! that is away is away for every instance, so there is no use in sending callers elsewhere.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// Time without an answer after which a part counts as away: several times what the slowest
/// usual answer takes.
const DOWN_MS: u64 = 250;

/// The part of the tables that are followed: what is noted of it holds for the store itself.
pub const FEED_PART: &str = "";

/// Calls that fail one after the other before the tables that are followed are asked: one alone
/// may have met a connection that broke.
const DOUBTFUL_CALLS: u32 = 2;

/// Time between two calls of a part that is away: often enough that its return is met within a
/// fraction of the time that requests are held.
const PROBE_MS: u64 = 150;

/// Time without an answer in which the balancer notices that an instance is not ready and sends
/// callers elsewhere: two probes, a second apart. Until then another instance may well reach
/// the store; later, callers that still come have nowhere better to go.
const REROUTED_MS: u64 = 2_000;

/// When a caller may come back that may meet an instance which reaches the store. Two tries and
/// two repetitions of a turn then last until callers are sent elsewhere.
const RETRY_MS: u64 = 400;

/// Share of a caller's time, in percent, for which its request is held once no instance seems
/// to reach the store. More than half is left for its next try at another instance.
const HOLD_PERCENT: u64 = 45;

/// The shortest limit of a call: many times what the store takes when it is well.
const LEAST_LIMIT_MS: u64 = 400;

/// The longest limit of a call: about what a store that is slow, yet of use, takes.
const MOST_LIMIT_MS: u64 = 2_000;

/// What to do with a request that needs the store while it does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Refuse it at once; it may come back after so many milliseconds.
    Refuse(u64),
    /// Hold it for up to so many milliseconds, then refuse it.
    Hold(u64),
}

/// What does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    /// The store, to this instance at least, for so many milliseconds.
    Store(u64),
    /// The part that a request needs, while others answer.
    Part,
}

/// Decides on a request with `left_ms` of its time left.
#[must_use]
pub const fn wait(away: Away, left_ms: u64) -> Wait {
    match away {
        Away::Store(ms) if ms < REROUTED_MS => Wait::Refuse(RETRY_MS),
        Away::Store(_) | Away::Part => Wait::Hold(left_ms * HOLD_PERCENT / 100),
    }
}

/// What calls of the store came to lately.
#[derive(Debug, Default)]
pub struct Health {
    /// When the first call failed of those after the last answer.
    since: Option<Time>,
    /// Calls that failed since the last answer.
    failures: u32,
    /// Its absence is known.
    is_told: bool,
    /// Parts that fail, and when each began to.
    parts: BTreeMap<Arc<str>, Absence>,
}

#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Time,
    tried: Time,
}

/// What a call showed of the store as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// Nothing new.
    Nothing,
    /// Calls fail; the tables that are followed tell whether it is away.
    Doubt,
    /// It is away.
    Down,
    /// It answers again, after so many milliseconds.
    Up(u64),
}

impl Health {
    /// Notes a call of a part that began at `began` and was answered.
    pub fn answered(&mut self, part: &str, began: Time, now: Time) -> Shown {
        // A call from before the outage may be answered within it.
        if self
            .parts
            .get(part)
            .is_some_and(|absence| began >= absence.since)
        {
            self.parts.remove(part);
        }
        let Some(since) = self.since.filter(|since| began >= *since) else {
            return Shown::Nothing;
        };
        self.since = None;
        self.failures = 0;
        if !std::mem::take(&mut self.is_told) {
            return Shown::Nothing;
        }
        Shown::Up(now.since(since))
    }

    /// Notes a call of a part that failed.
    pub fn failed(&mut self, part: &str, now: Time) -> Shown {
        self.since.get_or_insert(now);
        match self.parts.get_mut(part) {
            Some(absence) => absence.tried = now,
            None => {
                let absence = Absence {
                    since: now,
                    tried: now,
                };
                self.parts.insert(part.into(), absence);
            }
        }
        self.failures += 1;
        if self.is_told {
            return Shown::Nothing;
        }
        if self.down_ms(now) > 0 {
            self.is_told = true;
            return Shown::Down;
        }
        if self.failures == DOUBTFUL_CALLS && part != FEED_PART {
            return Shown::Doubt;
        }
        Shown::Nothing
    }

    /// Returns for how long the store as a whole has not answered; 0 if it does.
    #[must_use]
    pub fn down_ms(&self, now: Time) -> u64 {
        let ms = self.since.map_or(0, |since| now.since(since));
        // Other parts that fail may be the only ones.
        if ms >= DOWN_MS && self.parts.contains_key(FEED_PART) {
            ms
        } else {
            0
        }
    }

    /// Returns what is away of that which a request needs; none if a call is worth its while.
    ///
    /// Now and then one request tries a part that is away, and so finds out when it is back.
    pub fn away(&mut self, part: &str, now: Time) -> Option<Away> {
        let down_ms = self.down_ms(now);
        if down_ms > 0 {
            return Some(Away::Store(down_ms));
        }
        let absence = self.parts.get_mut(part)?;
        let is_due = now.since(absence.tried) >= PROBE_MS;
        if now.since(absence.since) < DOWN_MS || is_due {
            absence.tried = now;
            return None;
        }
        Some(Away::Part)
    }
}

/// Returns when a caller may come back whose request was held in vain.
#[must_use]
pub const fn retry_after_hold_ms() -> u64 {
    RETRY_MS
}

/// How long calls of the store take, as a running mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    mean_ms: f64,
}

impl Pace {
    /// Notes the time of a call that was answered.
    pub fn note(&mut self, ms: u64) {
        self.mean_ms += (ms as f64 - self.mean_ms) * 0.2;
    }

    /// Notes a call that was given up after `ms`: the next one gets more time, in case the store
    /// is slow and not away.
    pub const fn give_up(&mut self, ms: u64) {
        self.mean_ms = self.mean_ms.max(ms as f64 / 2.0);
    }

    /// Returns how long a call may take, in milliseconds.
    #[must_use]
    pub fn limit_ms(&self) -> u64 {
        ((self.mean_ms * 4.0) as u64).clamp(LEAST_LIMIT_MS, MOST_LIMIT_MS)
    }
}
