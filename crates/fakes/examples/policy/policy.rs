//! The policies that are compared.

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the fewest calls, by a report without lag.
    LeastLoaded,
    /// The engine that had the fewest calls when the program began.
    Sticky,
    /// The core's decisions, with a rule switched off or none.
    Core(Off),
    /// The same, but all programs are taken on.
    Open(Off),
}

/// A rule of the core that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Off {
    /// None.
    Nothing,
    /// Placement does not know where the program was served.
    Prefix,
    /// The cache weight is zero.
    Weight,
    /// All programs rank as if they had had no service.
    Levels,
    /// Cached prefixes take no step up in the queue.
    CachedStep,
    /// Every program counts as an account of its own.
    Backlog,
}

impl Policy {
    pub(crate) const ALL: [Self; 13] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Sticky,
        Self::Core(Off::Nothing),
        Self::Core(Off::Prefix),
        Self::Core(Off::Weight),
        Self::Core(Off::Levels),
        Self::Core(Off::CachedStep),
        Self::Core(Off::Backlog),
        Self::Open(Off::Nothing),
        Self::Open(Off::Levels),
        Self::Open(Off::CachedStep),
        Self::Open(Off::Backlog),
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::Sticky => "sticky session",
            Self::Core(Off::Nothing) => "basilramp",
            Self::Core(Off::Prefix) => "- prefix",
            Self::Core(Off::Weight) => "- cache weight",
            Self::Core(Off::Levels) => "- levels",
            Self::Core(Off::CachedStep) => "- cached step",
            Self::Core(Off::Backlog) => "- backlog step",
            Self::Open(Off::Nothing) => "- admission",
            Self::Open(Off::Prefix) => "- admission, prefix",
            Self::Open(Off::Weight) => "- admission, cache weight",
            Self::Open(Off::Levels) => "- admission, levels",
            Self::Open(Off::CachedStep) => "- admission, cached step",
            Self::Open(Off::Backlog) => "- admission, backlog step",
        }
    }

    /// Tells whether a rule of the core is in force.
    pub(crate) fn has(self, rule: Off) -> bool {
        matches!(self, Self::Core(off) | Self::Open(off) if off != rule)
    }

    /// Tells whether new programs are refused when the load is high.
    pub(crate) const fn admits(self) -> bool {
        matches!(self, Self::Core(_))
    }
}
