//! Rejected programs that may come back, and when.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::tolerance::Need;
use crate::clock::Time;

/// Minimum retry delay of a rejected program. Several running turns end within it.
const MIN_RETRY_MS: u64 = 400;

/// Minimum width of the random part of the retry delay, which keeps rejected programs from returning
/// all at once.
const MIN_RETRY_SPREAD_MS: f64 = 1_000.0;

/// Maximum width of the random part of the retry delay: the duration of the longest bursts.
const MAX_RETRY_SPREAD_MS: f64 = 10_000.0;

/// Part of a program's remaining time up to which callers honour a retry delay.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Part of a program's spare time that a retry delay takes at most. The way back takes some time too.
const MAX_SPARE_SHARE: f64 = 0.9;

/// Maximum number of remembered programs. An instance rejects some tens in a second.
const MAX_PROGRAMS: usize = 2_048;

/// Age after which a rejected program is forgotten.
const MAX_AGE_MS: u64 = 15_000;

/// Growth of the slowdown up to which the load counts as unchanged: the scatter of its measurement at
/// an instance with few turns.
const UNCHANGED_FACTOR: f64 = 1.1;

/// Rejected programs by id.
#[derive(Debug, Default)]
pub(super) struct RejectedPrograms {
    programs: BTreeMap<Arc<str>, RejectedProgram>,
}

/// A program that was rejected.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedProgram {
    at: Time,
    retry_at: Time,
    slowdown: f64,
    /// Milliseconds until the program's deadline at its first request.
    pub(super) remaining_ms: Option<u64>,
}

impl RejectedProgram {
    /// Returns whether the program waited as long as it was told and the load has not grown.
    pub(super) fn may_return(&self, slowdown: f64, now: Time) -> bool {
        now >= self.retry_at && slowdown <= self.slowdown * UNCHANGED_FACTOR
    }
}

impl RejectedPrograms {
    /// Returns what is known of a program that was rejected a while ago.
    pub(super) fn find(&self, program: &str, now: Time) -> Option<RejectedProgram> {
        let known = self.programs.get(program).copied();
        known.filter(|known| now.since(known.at) < MAX_AGE_MS)
    }

    /// Forgets a program, which is admitted.
    pub(super) fn remove(&mut self, program: &str) {
        self.programs.remove(program);
    }

    /// Remembers a rejected program. What it stated at its first request is kept.
    pub(super) fn insert(
        &mut self,
        program: &Arc<str>,
        retry_ms: u64,
        slowdown: f64,
        remaining_ms: Option<u64>,
        now: Time,
    ) {
        let earlier = self.find(program, now);
        if earlier.is_none() && self.programs.len() >= MAX_PROGRAMS {
            self.programs
                .retain(|_, known| now.since(known.at) < MAX_AGE_MS);
            if self.programs.len() >= MAX_PROGRAMS {
                return;
            }
        }
        let rejected = RejectedProgram {
            at: now,
            retry_at: now.after(retry_ms),
            slowdown,
            remaining_ms: earlier.map_or(remaining_ms, |earlier| earlier.remaining_ms),
        };
        self.programs.insert(Arc::clone(program), rejected);
    }
}

/// Returns the retry delay of a rejected program: spread over the time in which the work above the
/// threshold drains, so that what returns finds room. Programs in progress at slowdown `s` have `s`
/// times the work of an idle service, so a part of (s - threshold) / s of them has to end first.
pub(super) fn retry_delay_ms(
    remaining_ms: Option<u64>,
    need: Option<&Need>,
    slowdown: f64,
    threshold: f64,
    draw: f64,
) -> u64 {
    let excess = ((slowdown - threshold) / slowdown).max(0.0);
    let drain_ms = need.map_or(0.0, |need| need.ms(slowdown) * excess);
    let spread_ms = drain_ms.clamp(MIN_RETRY_SPREAD_MS, MAX_RETRY_SPREAD_MS);
    let delay_ms = MIN_RETRY_MS as f64 + draw * spread_ms;
    let Some(remaining_ms) = remaining_ms else {
        return delay_ms as u64;
    };
    let remaining_ms = remaining_ms as f64;
    // A program that waits longer could not end in time at the present slowdown or, if it can't at all,
    // at one below the threshold.
    let spare_ms = need.map_or(f64::MAX, |need| {
        let spare_ms = |slowdown| remaining_ms * (1.0 - need.share(slowdown)) * MAX_SPARE_SHARE;
        let present_ms = spare_ms(slowdown);
        if present_ms >= MIN_RETRY_MS as f64 {
            present_ms
        } else {
            spare_ms(f64::midpoint(1.0, threshold))
        }
    });
    let limit_ms = spare_ms
        .max(MIN_RETRY_MS as f64)
        .min(remaining_ms * MAX_RETRY_SHARE);
    // The limit is spread too, as most programs of a route have the same.
    let spread_limit_ms = limit_ms - (1.0 - draw) * (limit_ms - MIN_RETRY_MS as f64).max(0.0);
    delay_ms.min(spread_limit_ms) as u64
}
