//! Monotonic time of the process, and wall-clock time.

use std::time::Instant;

use basilramp_core::clock::Time;
use rustix::time::{ClockId, clock_gettime};

/// Measures monotonic time from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start, in whole milliseconds.
    #[must_use]
    pub fn now(self) -> Time {
        let elapsed = self.origin.elapsed().as_millis();
        Time::from_ms(elapsed as u64)
    }
}

/// Returns the time since the machine was started, in whole milliseconds. It continues while the machine
/// or the process is suspended.
#[must_use]
pub fn boot_time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let ms = now.tv_sec.saturating_mul(1_000) + now.tv_nsec / 1_000_000;
    Time::from_ms(u64::try_from(ms).unwrap_or_default())
}

/// Returns the milliseconds since the Unix epoch, for display and for wall-clock budgets.
#[must_use]
pub fn unix_time_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
