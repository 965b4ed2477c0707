//! How fast an upstream works.

use crate::clock::Time;

/// The pace of a reference engine.
const REFERENCE_PERMILLE: u64 = 1_000;

/// The slowest pace that is told apart.
const SLOWEST_PERMILLE: u64 = 20_000;

/// Weight of the newest sample in the mean, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// Milliseconds without a sample after which the pace begins to be forgotten.
const QUIET_MS: u64 = 10_000;

/// Milliseconds over which it is forgotten, so that an upstream that was slow is tried again.
const FORGET_MS: u64 = 10_000;

/// Mean time that calls take, in thousandths of the time that their work takes at a reference
/// engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    permille: u64,
    at: Time,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            permille: REFERENCE_PERMILLE,
            at: Time::ZERO,
        }
    }
}

impl Pace {
    /// Notes that work of `work_ms` took `took_ms`.
    pub(super) fn note(&mut self, now: Time, took_ms: u64, work_ms: u64) {
        let sample = took_ms * 1_000 / work_ms.max(1);
        let sample = sample.min(SLOWEST_PERMILLE);
        let known = self.permille(now) * (MEAN_DIVISOR - 1);
        self.permille = (known + sample) / MEAN_DIVISOR;
        self.at = now;
    }

    /// Returns the pace, which nears the reference once no samples come.
    pub(super) fn permille(self, now: Time) -> u64 {
        let age = now.since(self.at.after(QUIET_MS)).min(FORGET_MS);
        let kept = self.permille * (FORGET_MS - age) + REFERENCE_PERMILLE * age;
        kept / FORGET_MS
    }
}
