//! How long work waits for the store, and what follows when it does not answer.

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

/// Decides on a request with `left_ms` of its time left, the store not answering this instance
/// for `down_ms`.
#[must_use]
pub const fn wait(down_ms: u64, left_ms: u64) -> Wait {
    if down_ms < REROUTED_MS {
        return Wait::Refuse(RETRY_MS);
    }
    Wait::Hold(left_ms * HOLD_PERCENT / 100)
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
