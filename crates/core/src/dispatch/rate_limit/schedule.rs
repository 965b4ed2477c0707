//! Schedule of the requests to an upstream with a rate limit (generic cell rate algorithm).

use super::Rate;

/// Lowest rate that is used, in thousandths of a request per second. Without any request, no
/// instance would learn that the limit has ended.
const MIN_MILLI_PER_S: u64 = 250;

/// How far a schedule may run ahead of the time for a request of the first class, in microseconds.
const BURST_US: u64 = 500_000;

/// Which requests of an upstream get a permit first while permits are scarce, the first class first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Continues work whose prompt the upstream has cached, or needs no prompt. Elsewhere the prompt
    /// would have to be read again.
    Resident,
    /// Continues work that another upstream has cached.
    Moved,
    /// Starts a program.
    Start,
}

impl RequestClass {
    /// Number of classes.
    pub(super) const COUNT: usize = 3;

    const fn burst_us(self) -> u64 {
        match self {
            Self::Resident => BURST_US,
            Self::Moved => BURST_US / 2,
            Self::Start => 0,
        }
    }
}

/// When the next request of the upstream is due, in microseconds of the store's clock. Any instance
/// may move it, so it must only be used with the rate that is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    next_us: u64,
}

impl Schedule {
    /// Creates a schedule whose next request is due at `next_us`.
    #[must_use]
    pub const fn from_us(next_us: u64) -> Self {
        Self { next_us }
    }

    /// Returns when the next request is due, in microseconds of the store's clock.
    #[must_use]
    pub const fn next_us(self) -> u64 {
        self.next_us
    }

    /// Takes a permit at `now_ms` of the store's clock. Returns the schedule after it.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until a permit is available.
    pub fn take(self, rate: Rate, class: RequestClass, now_ms: u64) -> Result<Self, u64> {
        let now_us = now_ms * 1_000;
        let due_us = self.next_us.saturating_sub(class.burst_us());
        if now_us < due_us {
            return Err((due_us - now_us).div_ceil(1_000));
        }
        Ok(Self {
            next_us: self.next_us.max(now_us) + interval_us(rate),
        })
    }
}

/// Returns the time between two requests, in milliseconds.
pub(super) fn interval_ms(rate: Rate) -> u64 {
    interval_us(rate) / 1_000
}

fn interval_us(rate: Rate) -> u64 {
    1_000_000_000 / rate.milli_per_s().max(MIN_MILLI_PER_S)
}
