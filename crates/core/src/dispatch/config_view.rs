//! How certain it is that an instance's configuration is the newest one.
//!
//! A configuration has to be in force everywhere a short time after the store has it. An instance that the
//! store does not answer, or that was suspended, can't know whether there is a newer one, and relies on
//! none of what a newer one may change if that can do harm.

/// Age up to which the knowledge that there is no newer configuration counts, in milliseconds. It is
/// below the 2,000 ms within which a configuration has to be in force.
pub const MAX_AGE_MS: u64 = 1_900;

/// How certain it is that there is no newer configuration than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// There was none a short time ago.
    Confirmed,
    /// There may be one, but no instance that was asked has heard of the store lately either. In such an
    /// outage the operator hardly reaches it.
    Outage,
    /// There may be one. Neither the store nor another instance answers.
    Isolated,
}

impl Certainty {
    /// Returns whether the configuration in force decides alone.
    #[must_use]
    pub const fn is_confirmed(self) -> bool {
        matches!(self, Self::Confirmed)
    }

    /// Returns the number of upstreams that may run a request for which the configuration in force allows
    /// `max_attempts`. A newer configuration may forbid to repeat it.
    #[must_use]
    pub const fn limit_attempts(self, max_attempts: u32) -> u32 {
        match self {
            Self::Confirmed => max_attempts,
            Self::Outage | Self::Isolated => 1,
        }
    }

    /// Returns whether a turn may run on a route that retains nothing of it. A newer configuration may
    /// retain it, and then its caller counts on that.
    #[must_use]
    pub const fn allows_unretained_turns(self) -> bool {
        !matches!(self, Self::Isolated)
    }

    /// Returns the label in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Outage => "outage",
            Self::Isolated => "isolated",
        }
    }
}
