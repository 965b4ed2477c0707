//! Values whose changes become visible with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value whose changes become visible to readers after a lag.
#[derive(Debug)]
pub(crate) struct DelayedValue<T> {
    lag: Duration,
    /// Values with the time at which each becomes visible, in the order of `set`.
    values: VecDeque<(Instant, T)>,
}

impl<T: Clone + Default> DelayedValue<T> {
    /// Creates a value that is visible at once, with no lag.
    pub(crate) fn new(value: T) -> Self {
        Self {
            lag: Duration::ZERO,
            values: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the lag in milliseconds of later changes.
    pub(crate) fn set_lag(&mut self, ms: u64) {
        self.lag = Duration::from_millis(ms);
    }

    /// Sets the value; it becomes visible after the lag.
    pub(crate) fn set(&mut self, value: T) {
        self.drop_replaced();
        self.values.push_back((Instant::now() + self.lag, value));
    }

    /// Returns the value that was set last, visible or not.
    pub(crate) fn latest(&self) -> T {
        self.values
            .back()
            .map_or_else(T::default, |(_, value)| value.clone())
    }

    /// Returns the value that is visible now.
    pub(crate) fn visible(&mut self) -> T {
        self.drop_replaced();
        self.values
            .front()
            .map_or_else(T::default, |(_, value)| value.clone())
    }

    /// Removes values that a newer visible one has replaced.
    fn drop_replaced(&mut self) {
        let now = Instant::now();
        let visible = self.values.iter().rposition(|(due, _)| *due <= now);
        self.values.drain(..visible.unwrap_or(0));
    }
}
