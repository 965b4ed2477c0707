//! Retry decisions after a failed attempt at an upstream.

use super::config::RouteKind;
use super::request::Rejection;

/// Why an attempt ended without a response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent to the upstream.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// A different upstream has the address, and it did not run the request.
    OtherUpstream,
    /// The request was sent and may have run.
    Unknown,
    /// The connection ended under the request, which may have run.
    Interrupted,
}

impl Failure {
    /// Returns whether it is certain that the request did not run.
    #[must_use]
    pub const fn did_not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::Interrupted)
    }
}

/// Counts the failed attempts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts in which the request may have run.
    pub possibly_ran: u32,
    /// Attempts in which the request certainly did not run.
    pub not_run: u32,
}

/// Maximum number of attempts that did not run a request. Each costs a round trip, and when this
/// many upstreams are full, the others are likely to be full too.
const MAX_NOT_RUN: u32 = 4;

/// Minimum remaining time for another attempt, in milliseconds. No upstream responds faster than
/// this.
const MIN_REMAINING_MS: u64 = 10;

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry at another upstream.
    Retry,
    /// Reject the request.
    Reject(Rejection),
}

impl Attempts {
    /// Records a failed attempt.
    pub const fn record(&mut self, failure: Failure) {
        if failure.did_not_run() {
            self.not_run += 1;
        } else {
            self.possibly_ran += 1;
        }
    }

    /// Decides whether to retry after a recorded failure. `retry_after_ms` is the retry delay sent
    /// to the caller if the request is rejected and did not run.
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

    /// Returns the rejection to send when the next attempt is rejected. A request that may have run
    /// is not reported as not run.
    #[must_use]
    pub const fn after(&self, rejection: Rejection) -> Rejection {
        match rejection {
            Rejection::NotRun(ms) => self.rejection(ms),
            Rejection::OverQuota(_) if self.possibly_ran > 0 => Rejection::Unknown,
            other => other,
        }
    }

    /// Returns the rejection to send when there is no further attempt.
    #[must_use]
    pub const fn rejection(&self, retry_after_ms: u64) -> Rejection {
        if self.possibly_ran == 0 {
            Rejection::NotRun(retry_after_ms)
        } else {
            Rejection::Unknown
        }
    }
}
