//! Points in time with millisecond resolution.

use std::fmt;

/// A point in time, in milliseconds since an origin chosen by the process.
///
/// Values of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the point `ms` milliseconds after the origin.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the origin.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the point `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the point `ms` milliseconds earlier, saturating at the origin.
    #[must_use]
    pub const fn before(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
