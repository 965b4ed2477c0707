//! Quarantine of requests that crash their upstreams.
//!
//! The crash of an upstream makes suspects of all requests that were in flight there. A suspect that
//! completes is cleared. One that crashes further upstreams first has to run as a trial, one copy at
//! a time, and is quarantined in the end.

mod table;
mod target;

use crate::history::Digest;
use crate::id;

pub use table::{Change, Listed, Table};

/// Numbers of crashes from which on a request is restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// From this number on, the request runs only as a trial.
    pub trial: usize,
    /// From this number on, the request is quarantined.
    pub quarantine: usize,
}

impl Limits {
    /// For requests whose owner records a crash before it sends them again.
    pub const OWNED: Self = Self {
        trial: 1,
        quarantine: 2,
    };

    /// For requests that any instance sends, many of them beside others at the same upstream.
    pub const SHARED: Self = Self {
        trial: 2,
        quarantine: 3,
    };
}

/// A request that was in flight when an upstream crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspect {
    /// Upstreams that crashed with the request in flight, the latest last.
    pub crashed: Vec<id::Upstream>,
    /// The upstream of the current trial.
    pub trial: Option<id::Upstream>,
    /// Digest of the request's target, until another request for it completes.
    pub target: Option<Digest>,
    /// Whether an upstream crashed during a trial.
    pub has_failed_trial: bool,
}

/// How a suspect request may proceed, in the order of restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The request may run like any other.
    Unrestricted,
    /// The request may run as a trial.
    Trial,
    /// A trial is in progress; the request must not be sent again until it ends.
    Busy,
    /// The request must not run again.
    Quarantined,
}

impl Suspect {
    /// Returns the state after `upstream` crashed with the request in flight.
    ///
    /// The crash of an upstream counts once, even if several copies of the request were in flight
    /// there.
    #[must_use]
    pub fn with_crash(known: Option<Self>, upstream: &id::Upstream) -> Self {
        let mut suspect = known.unwrap_or_default();
        let was_trial = suspect.trial.as_ref() == Some(upstream);
        if was_trial || !suspect.crashed.contains(upstream) {
            suspect.crashed.push(upstream.clone());
            suspect.trial = None;
        }
        suspect
    }

    /// Returns the state after a trial starts at `upstream`.
    #[must_use]
    pub fn with_trial(self, upstream: &id::Upstream) -> Self {
        Self {
            trial: Some(upstream.clone()),
            ..self
        }
    }

    /// Returns the state after a trial ends without an outcome.
    #[must_use]
    pub fn without_trial(self) -> Self {
        Self {
            trial: None,
            ..self
        }
    }

    /// Returns how the request may proceed.
    #[must_use]
    pub fn verdict(&self, limits: Limits) -> Verdict {
        let crashes = self.crashed.len();
        if crashes >= limits.quarantine {
            Verdict::Quarantined
        } else if self.trial.is_some() {
            Verdict::Busy
        } else if crashes >= limits.trial {
            Verdict::Trial
        } else {
            Verdict::Unrestricted
        }
    }
}
