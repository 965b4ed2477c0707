//! What follows an attempt at an upstream that failed.

use super::call::Refusal;
use super::config::Kind;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing reached the upstream.
    NotSent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// Another upstream has the address and did not run the request.
    OtherUpstream,
    /// It was sent and may have run.
    Unknown,
}

impl Failure {
    /// Tells whether the request has surely not run.
    #[must_use]
    pub const fn is_harmless(self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

/// What was tried for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tries {
    /// Upstreams that may have run it.
    pub ran: u32,
    /// Upstreams that surely did not run it.
    pub harmless: u32,
}

/// Tries at upstreams that did not run a request, after which it is refused: every one costs a
/// round trip, and when so many are full, the others mostly are too.
const MAX_HARMLESS: u32 = 4;

/// Time left below which another attempt is not worth its cost, in milliseconds: no answer of
/// an upstream comes sooner.
const LEAST_LEFT_MS: u64 = 10;

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another upstream.
    Retry,
    /// The final answer.
    Give(Refusal),
}

impl Tries {
    /// Notes a failed attempt.
    pub const fn note(&mut self, failure: Failure) {
        if failure.is_harmless() {
            self.harmless += 1;
        } else {
            self.ran += 1;
        }
    }

    /// Decides after a failed attempt was noted. `retry_after_ms` is for a caller that is told
    /// to come back.
    #[must_use]
    pub const fn next(
        &self,
        kind: Kind,
        max_attempts: u32,
        left_ms: u64,
        retry_after_ms: u64,
    ) -> Next {
        let may_repeat = self.ran == 0 || (kind.is_idempotent() && self.ran < max_attempts);
        if may_repeat && self.harmless < MAX_HARMLESS && left_ms >= LEAST_LEFT_MS {
            return Next::Retry;
        }
        Next::Give(self.refusal(retry_after_ms))
    }

    /// Returns the final answer if there is no further attempt.
    #[must_use]
    pub const fn refusal(&self, retry_after_ms: u64) -> Refusal {
        if self.ran == 0 {
            Refusal::NotRun(retry_after_ms)
        } else {
            Refusal::Unknown
        }
    }
}
