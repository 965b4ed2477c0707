//! Monotonic time of the process, and wall-clock time.

use std::time::Instant;

use basilramp_core::clock::Time;

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

/// Returns the milliseconds since the Unix epoch, for display and for wall-clock budgets.
#[must_use]
pub fn unix_time_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
