//! Findings of a configuration check.

use std::fmt;
use std::sync::Arc;

use super::MIN_PROGRAM_REQUESTS;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Part of the configuration has no effect, or probably not the intended one.
    Warning,
    /// Every request that the entry concerns is rejected, or the whole version is not applied.
    Error,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// The part of a configuration that a finding or a difference is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The document as a whole.
    Document,
    /// The limits.
    Limits,
    /// The route with this name.
    Route(Arc<str>),
    /// The service with this name.
    Service(Arc<str>),
    /// The account with this name.
    Account(Arc<str>),
}

impl Subject {
    /// Returns the kind of the entry.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Limits => "limits",
            Self::Route(_) => "route",
            Self::Service(_) => "service",
            Self::Account(_) => "account",
        }
    }

    /// Returns the name of the entry, if its kind has one.
    #[must_use]
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Document | Self::Limits => None,
            Self::Route(name) | Self::Service(name) | Self::Account(name) => Some(name),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind())?;
        self.name().map_or(Ok(()), |name| write!(f, " {name}"))
    }
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// An earlier route, named here, has the same host and prefix.
    ShadowedRoute(Arc<str>),
    /// Another route has the same name.
    RepeatedRouteName,
    /// The host has a port, which is removed from a request's host before the comparison.
    HostWithPort,
    /// The prefix, given here, does not begin with a slash as every path does.
    PrefixWithoutSlash(Arc<str>),
    /// The route has no target with a weight above zero.
    NoTarget,
    /// The target with this name has a weight of zero.
    UnusedTarget(Arc<str>),
    /// The target with this name is not in the list of services.
    UnlistedService(Arc<str>),
    /// No route refers to the service.
    UnusedService,
    /// The service's engine has no slots or no KV cache.
    EngineWithoutCapacity,
    /// The account has no key.
    AccountWithoutKey,
    /// All routes are public, so that no request belongs to an account.
    OnlyPublicRoutes,
    /// The timeout is zero.
    NoTimeout,
    /// The latency objective is above the timeout. Both are in milliseconds.
    ObjectiveAboveTimeout(u64, u64),
    /// The gap between events is above the timeout. Both are in milliseconds.
    GapAboveTimeout(u64, u64),
    /// A gap between events is stated for responses without events.
    GapWithoutStream,
    /// More than one attempt for requests that run at most once.
    UnusedAttempts(u32),
    /// The retention is below the timeout. Both are in milliseconds.
    RetentionBelowTimeout(u64, u64),
    /// The quota allows this many requests, fewer than a program has, within this time in
    /// milliseconds.
    QuotaBelowProgram(u64, u64),
    /// The limit with this name is zero.
    ZeroLimit(&'static str),
    /// The version is not above the version in force, given here.
    VersionNotNewer(u64),
}

impl Problem {
    /// Returns how serious the problem is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::NoTarget | Self::NoTimeout | Self::VersionNotNewer(_) => Severity::Error,
            _ => Severity::Warning,
        }
    }

    /// Returns a name of the problem that stays the same between releases.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::ShadowedRoute(_) => "shadowed-route",
            Self::RepeatedRouteName => "repeated-route-name",
            Self::HostWithPort => "host-with-port",
            Self::PrefixWithoutSlash(_) => "prefix-without-slash",
            Self::NoTarget => "no-target",
            Self::UnusedTarget(_) => "unused-target",
            Self::UnlistedService(_) => "unlisted-service",
            Self::UnusedService => "unused-service",
            Self::EngineWithoutCapacity => "engine-without-capacity",
            Self::AccountWithoutKey => "account-without-key",
            Self::OnlyPublicRoutes => "only-public-routes",
            Self::NoTimeout => "no-timeout",
            Self::ObjectiveAboveTimeout(..) => "objective-above-timeout",
            Self::GapAboveTimeout(..) => "gap-above-timeout",
            Self::GapWithoutStream => "gap-without-stream",
            Self::UnusedAttempts(_) => "unused-attempts",
            Self::RetentionBelowTimeout(..) => "retention-below-timeout",
            Self::QuotaBelowProgram(..) => "quota-below-program",
            Self::ZeroLimit(_) => "zero-limit",
            Self::VersionNotNewer(_) => "version-not-newer",
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShadowedRoute(first) => {
                write!(
                    f,
                    "never matches: route {first} has the same host and prefix"
                )
            }
            Self::RepeatedRouteName => f.write_str("another route has the same name"),
            Self::HostWithPort => {
                f.write_str("never matches: the host has a port, which is ignored in requests")
            }
            Self::PrefixWithoutSlash(prefix) => {
                write!(
                    f,
                    "never matches: the prefix {prefix:?} does not begin with a slash"
                )
            }
            Self::NoTarget => f.write_str("no target has a weight of 1 or more"),
            Self::UnusedTarget(service) => {
                write!(
                    f,
                    "service {service} receives nothing: its weight is below 1"
                )
            }
            Self::UnlistedService(service) => write!(f, "service {service} is not listed"),
            Self::UnusedService => f.write_str("no route refers to it"),
            Self::EngineWithoutCapacity => f.write_str("the engine has no slots or no KV cache"),
            Self::AccountWithoutKey => f.write_str("has no key, so no request belongs to it"),
            Self::OnlyPublicRoutes => {
                f.write_str("the accounts have no effect: every route is public")
            }
            Self::NoTimeout => f.write_str("the timeout is 0 ms"),
            Self::ObjectiveAboveTimeout(objective, timeout) => write!(
                f,
                "the latency objective of {objective} ms is above the timeout of {timeout} ms"
            ),
            Self::GapAboveTimeout(gap, timeout) => write!(
                f,
                "the gap target of {gap} ms is above the timeout of {timeout} ms"
            ),
            Self::GapWithoutStream => {
                f.write_str("the gap target has no effect: the responses are not streams")
            }
            Self::UnusedAttempts(attempts) => write!(
                f,
                "{attempts} attempts have no effect: the requests run at most once"
            ),
            Self::RetentionBelowTimeout(retention, timeout) => write!(
                f,
                "the retention of {retention} ms is below the timeout of {timeout} ms"
            ),
            Self::QuotaBelowProgram(requests, span) => write!(
                f,
                "the quota allows {requests} requests in {span} ms, fewer than the \
                 {MIN_PROGRAM_REQUESTS} of the smallest program"
            ),
            Self::ZeroLimit(name) => write!(f, "{name} is 0"),
            Self::VersionNotNewer(active) => write!(
                f,
                "is never applied: its version is not above {active}, the version in force"
            ),
        }
    }
}

/// A problem of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The entry.
    pub subject: Subject,
    /// What is wrong with it.
    pub problem: Problem,
}
