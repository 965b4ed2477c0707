//! Requests that were in flight when their upstream crashed.

use crate::id;

/// Crashes after which a request is not run again.
pub const QUARANTINE_CRASHES: u32 = 2;

/// What is known of a suspect request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Upstreams that crashed with it in flight.
    pub crashes: u32,
    /// The upstream that crashed last.
    pub upstream: id::Upstream,
    /// Where it is tried alone now.
    pub trial: Option<id::Upstream>,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be tried alone.
    Trial,
    /// It is being tried; it may not be sent a second time meanwhile.
    Busy,
    /// It is not run again.
    Quarantined,
}

impl Suspect {
    /// Returns what is known of a request after `upstream` crashed with it in flight.
    ///
    /// Copies that were in flight at one upstream count its crash once.
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

    /// Returns what is known once the request is tried alone at `upstream`.
    #[must_use]
    pub fn with_trial(self, upstream: &id::Upstream) -> Self {
        Self {
            trial: Some(upstream.clone()),
            ..self
        }
    }

    /// Returns what is known once a trial was given up without an outcome.
    #[must_use]
    pub fn without_trial(self) -> Self {
        Self {
            trial: None,
            ..self
        }
    }

    /// Returns what may be done with the request.
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
