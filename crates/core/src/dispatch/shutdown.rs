//! Which requests an instance takes after a stop signal, and until when they have their responses.
//!
//! What can't end in time is not taken, and what was taken ends or gets an error response before the
//! process exits.

use crate::clock::Time;

/// Time after a stop signal in which the platform's load balancer still sends new connections, in
/// milliseconds: it needs two probes, one second apart, and a third one is allowed for.
const REROUTE_MS: u64 = 3_000;

/// Share of the whole shutdown after which no requests are taken, if that is less, in percent.
const ACCEPT_PERCENT: u64 = 38;

/// Divisor of the time that is left for the exit of the process (one twelfth).
const EXIT_DIVISOR: u64 = 12;

/// Time for the last responses to leave, in milliseconds; at most one twelfth of the shutdown too.
const RESPONSE_MS: u64 = 150;

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    began: Time,
    stop_ms: u64,
}

impl Shutdown {
    /// Begins a shutdown that ends by force after `stop_ms` milliseconds.
    #[must_use]
    pub const fn begin(stop_ms: u64, now: Time) -> Self {
        Self {
            began: now,
            stop_ms,
        }
    }

    /// Returns until when the process stays at least, so that new connections are not refused.
    #[must_use]
    pub fn stay_until(self) -> Time {
        self.began.after(REROUTE_MS.min(self.stop_ms / 2))
    }

    /// Returns until when requests are taken.
    #[must_use]
    pub fn accept_until(self) -> Time {
        let share_ms = self.stop_ms * ACCEPT_PERCENT / 100;
        self.began.after(REROUTE_MS.min(share_ms))
    }

    /// Returns when the process exits at the latest.
    #[must_use]
    pub const fn exit_at(self) -> Time {
        self.began.after(self.stop_ms - self.stop_ms / EXIT_DIVISOR)
    }

    /// Returns when requests without a response get an error.
    #[must_use]
    pub fn respond_by(self) -> Time {
        let margin_ms = RESPONSE_MS.min(self.stop_ms / EXIT_DIVISOR);
        self.exit_at().before(margin_ms)
    }

    /// Returns whether a request that has not run may be sent to an upstream. Without a response in
    /// time, one that must not be repeated would be lost to its caller.
    #[must_use]
    pub fn may_send(self, deadline: Time, is_repeatable: bool, now: Time) -> bool {
        now < self.respond_by() && (is_repeatable || deadline <= self.respond_by())
    }
}
