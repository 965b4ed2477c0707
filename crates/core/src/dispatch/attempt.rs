//! What follows an attempt at an upstream that failed.

use super::config::RouteKind;
use super::request::Rejection;

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
    pub const fn did_not_run(self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

/// What was tried for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Upstreams that may have run it.
    pub possibly_ran: u32,
    /// Upstreams that surely did not run it.
    pub not_run: u32,
}

/// Attempts at upstreams that did not run a request, after which it is refused: every one costs a
/// round trip, and when so many are full, the others mostly are too.
const MAX_NOT_RUN: u32 = 4;

/// Time left below which another attempt is not worth its cost, in milliseconds: no answer of
/// an upstream comes sooner.
const MIN_REMAINING_MS: u64 = 10;

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another upstream.
    Retry,
    /// The final answer.
    Reject(Rejection),
}

impl Attempts {
    /// Notes a failed attempt.
    pub const fn record(&mut self, failure: Failure) {
        if failure.did_not_run() {
            self.not_run += 1;
        } else {
            self.possibly_ran += 1;
        }
    }

    /// Decides after a failed attempt was noted. `retry_after_ms` is for a caller that is told
    /// to come back.
    #[must_use]
    pub const fn decide(
        &self,
        kind: RouteKind,
        max_attempts: u32,
        remaining_ms: u64,
        retry_after_ms: u64,
    ) -> Decision {
        let can_retry =
            self.possibly_ran == 0 || (kind.is_idempotent() && self.possibly_ran < max_attempts);
        if can_retry && self.not_run < MAX_NOT_RUN && remaining_ms >= MIN_REMAINING_MS {
            return Decision::Retry;
        }
        Decision::Reject(self.rejection(retry_after_ms))
    }

    /// Returns the final answer if there is no further attempt.
    #[must_use]
    pub const fn rejection(&self, retry_after_ms: u64) -> Rejection {
        if self.possibly_ran == 0 {
            Rejection::NotRun(retry_after_ms)
        } else {
            Rejection::Unknown
        }
    }
}
