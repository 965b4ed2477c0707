//! Scheduling policies to compare.

/// A scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Round robin over the engines.
    RoundRobin,
    /// The engine with the fewest calls, known without delay.
    LeastLoaded,
    /// The engine that had the fewest calls when the program began.
    Sticky,
    /// The policy of `basilramp-core`, with at most one rule disabled.
    Core(DisabledRule),
    /// As `Core`, but without admission control.
    Open(DisabledRule),
}

/// The rule of the core's policy that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisabledRule {
    /// No rule is disabled.
    None,
    /// Placement ignores where the program was served before.
    Prefix,
    /// The cache weight is zero.
    Weight,
    /// The queue ignores the service that programs have attained.
    Levels,
    /// Cached prefixes do not raise the priority in the queue.
    CachedStep,
    /// Every call counts as an account of its own.
    Backlog,
}

impl Policy {
    pub(crate) const ALL: [Self; 13] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Sticky,
        Self::Core(DisabledRule::None),
        Self::Core(DisabledRule::Prefix),
        Self::Core(DisabledRule::Weight),
        Self::Core(DisabledRule::Levels),
        Self::Core(DisabledRule::CachedStep),
        Self::Core(DisabledRule::Backlog),
        Self::Open(DisabledRule::None),
        Self::Open(DisabledRule::Levels),
        Self::Open(DisabledRule::CachedStep),
        Self::Open(DisabledRule::Backlog),
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::Sticky => "sticky session",
            Self::Core(DisabledRule::None) => "basilramp",
            Self::Core(DisabledRule::Prefix) => "- prefix",
            Self::Core(DisabledRule::Weight) => "- cache weight",
            Self::Core(DisabledRule::Levels) => "- levels",
            Self::Core(DisabledRule::CachedStep) => "- cached step",
            Self::Core(DisabledRule::Backlog) => "- backlog step",
            Self::Open(DisabledRule::None) => "- admission",
            Self::Open(DisabledRule::Prefix) => "- admission, prefix",
            Self::Open(DisabledRule::Weight) => "- admission, cache weight",
            Self::Open(DisabledRule::Levels) => "- admission, levels",
            Self::Open(DisabledRule::CachedStep) => "- admission, cached step",
            Self::Open(DisabledRule::Backlog) => "- admission, backlog step",
        }
    }

    /// Returns whether a rule of the core's policy is enabled.
    pub(crate) fn is_enabled(self, rule: DisabledRule) -> bool {
        matches!(self, Self::Core(off) | Self::Open(off) if off != rule)
    }

    /// Returns whether new programs are rejected under high load.
    pub(crate) const fn limits_admission(self) -> bool {
        matches!(self, Self::Core(_))
    }
}
