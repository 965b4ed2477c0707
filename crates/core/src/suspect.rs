//! Quarantine of requests that may crash their upstream.

use crate::id;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;

/// A request that was in flight when an upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Number of upstreams that crashed with the request in flight.
    pub crashes: u32,
    /// The upstream that crashed last.
    pub upstream: id::Upstream,
    /// The upstream of the current trial, which runs the request in isolation.
    pub trial: Option<id::Upstream>,
}

/// How a suspect request may proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run in isolation.
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
        let Some(known) = known else {
            return Self {
                crashes: 1,
                upstream: upstream.clone(),
                trial: None,
            };
        };
        let was_trial = known.trial.as_ref() == Some(upstream);
        if !was_trial && known.upstream == *upstream {
            return known;
        }
        Self {
            crashes: known.crashes + 1,
            upstream: upstream.clone(),
            trial: None,
        }
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
    pub fn verdict(&self) -> Verdict {
        if self.crashes >= QUARANTINE_CRASHES {
            Verdict::Quarantined
        } else if self.trial.is_some() {
            Verdict::Busy
        } else {
            Verdict::Trial
        }
    }
}
