//! Sums that decay with time.

use crate::clock::Time;

/// Sum whose parts lose their weight exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    value: f64,
    at: Time,
}

impl DecayingSum {
    /// Adds a value.
    pub(super) fn add(&mut self, value: f64, time_constant_ms: f64, now: Time) {
        self.value = self.get(time_constant_ms, now) + value;
        self.at = self.at.max(now);
    }

    /// Returns the sum at a time.
    pub(super) fn get(&self, time_constant_ms: f64, now: Time) -> f64 {
        self.value * (-(now.since(self.at) as f64) / time_constant_ms).exp()
    }
}
