//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

const INITIAL_DELAY_MS: u64 = 50;
const MAX_DELAY_MS: u64 = 1_000;

/// The delay before the next attempt of a sequence of failed attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    max_delay_ms: u64,
}

impl Backoff {
    /// Creates a backoff that starts at the initial delay.
    pub(crate) const fn new() -> Self {
        Self {
            max_delay_ms: INITIAL_DELAY_MS,
        }
    }

    /// Returns a random delay between half of the current maximum and the maximum, and doubles the
    /// maximum up to [`MAX_DELAY_MS`].
    pub(crate) fn next_delay(&mut self) -> Duration {
        let max_ms = self.max_delay_ms;
        self.max_delay_ms = (max_ms * 2).min(MAX_DELAY_MS);
        let delay_ms = rand::rng().random_range(max_ms / 2..=max_ms);
        Duration::from_millis(delay_ms)
    }

    /// Sleeps for the next delay.
    pub(crate) async fn wait(&mut self) {
        tokio::time::sleep(self.next_delay()).await;
    }
}
