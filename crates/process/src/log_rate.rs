//! Bounds how many log lines of a kind are written in a second.

use std::collections::BTreeMap;

use basilramp_core::clock::Time;

/// Lines of each kind in the present second.
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

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// It is written.
    pub is_written: bool,
    /// Lines of its kind that were left out of the last second with any.
    pub suppressed: u32,
}

impl LogRateLimiter {
    /// Makes a quota of so many lines of each kind in a second.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            windows: BTreeMap::new(),
        }
    }

    /// Decides on a line.
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
