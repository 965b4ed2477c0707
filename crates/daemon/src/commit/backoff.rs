//! Waits between attempts that grow, with jitter.

use std::time::Duration;

use rand::Rng;

const FIRST_MS: u64 = 50;
const LAST_MS: u64 = 1_000;

/// The next wait of a sequence of failed attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    next_ms: u64,
}

impl Backoff {
    /// Starts a sequence.
    pub(crate) const fn new() -> Self {
        Self { next_ms: FIRST_MS }
    }

    /// Returns a wait between half of the sequence's next value and the whole.
    pub(crate) fn next(&mut self) -> Duration {
        let longest = self.next_ms;
        self.next_ms = (longest * 2).min(LAST_MS);
        let wait_ms = rand::rng().random_range(longest / 2..=longest);
        Duration::from_millis(wait_ms)
    }

    /// Waits before the next attempt.
    pub(crate) async fn wait(&mut self) {
        tokio::time::sleep(self.next()).await;
    }
}
