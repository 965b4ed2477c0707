//! Limits the rate of log lines of each kind.

use std::collections::BTreeMap;

use basilramp_core::clock::Time;

/// Limits the log lines of each kind per second, in fixed windows of one second.
#[derive(Debug)]
pub struct LogRateLimiter {
    per_second: u32,
    windows: BTreeMap<&'static str, Window>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    suppressed: u32,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the line is written.
    pub is_written: bool,
    /// Lines of this kind that were suppressed in the previous window; set for the first line of a
    /// window only.
    pub suppressed: u32,
}

impl LogRateLimiter {
    /// Creates a limiter that admits `per_second` lines of each kind in a second.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a line of a kind and decides whether it is written.
    pub fn admit(&mut self, kind: &'static str, now: Time) -> Decision {
        let window = self.windows.entry(kind).or_default();
        let second = now.as_ms() / 1_000;
        let mut suppressed = 0;
        if window.second != second {
            suppressed = window.suppressed;
            *window = Window {
                second,
                ..Window::default()
            };
        }
        let is_written = window.written < self.per_second;
        if is_written {
            window.written += 1;
        } else {
            window.suppressed += 1;
        }
        Decision {
            is_written,
            suppressed,
        }
    }
}
