//! The process's source of monotonic time.

use std::time::Instant;

use basilramp_core::clock::Time;

/// Tells the time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Opens a source whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(self) -> Time {
        let elapsed = self.origin.elapsed().as_millis();
        Time::from_ms(elapsed as u64)
    }
}

/// Returns wall-clock milliseconds, for people to read and for budgets of wall-clock time.
#[must_use]
pub fn unix_time_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
