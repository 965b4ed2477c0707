//! Targets whose requests crash upstreams, each of them a few.
//!
//! What triggers a fault of an engine may be part of many requests, with different bodies and callers,
//! so that each of them is a suspect of its own. Their target is held against them once several of them
//! have met crashes while no request for it has completed. What a quarantined request explains does not
//! count, unless several requests for the target are quarantined.

use std::collections::BTreeSet;

use super::{Suspect, Verdict};
use crate::clock::Time;
use crate::id;

/// Suspects with a target from which on it is held against them. With a single one, the fault is in the
/// request.
const MIN_SUSPECTS: usize = 2;

/// Crashes under these suspects from which on requests for the target run only as trials.
const TRIAL_CRASHES: usize = 3;

/// Crashes from which on the target is quarantined, after enough failed trials.
const QUARANTINE_CRASHES: usize = 5;

/// Suspects of which a trial ended with a crash before the target is quarantined. An upstream may crash
/// under a single trial for a reason of its own.
const FAILED_TRIALS: usize = 2;

/// Time after the last crash at which a quarantined target may have a trial again, in milliseconds. It
/// doubles with each further crash, so that a sound target returns soon.
const FIRST_QUARANTINE_MS: u64 = 10_000;

/// Maximum of that time, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 10 * 60_000;

/// What the suspects with one target tell of it.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    suspects: usize,
    crashed: BTreeSet<id::Upstream>,
    failed_trials: usize,
    is_on_trial: bool,
    changed_at: Time,
}

impl Evidence {
    /// Adds a suspect, which changed last at a time. `is_on_trial` tells whether it is on trial now.
    pub(super) fn add(&mut self, suspect: Suspect, is_on_trial: bool, changed_at: Time) {
        self.is_on_trial |= is_on_trial;
        if suspect.crashed.is_empty() {
            return;
        }
        self.suspects += 1;
        self.crashed.extend(suspect.crashed);
        self.failed_trials += usize::from(suspect.has_failed_trial);
        self.changed_at = self.changed_at.max(changed_at);
    }

    /// Returns how a request for the target may proceed.
    pub(super) fn verdict(&self, now: Time) -> Verdict {
        if self.suspects < MIN_SUSPECTS || self.crashed.len() < TRIAL_CRASHES {
            return Verdict::Unrestricted;
        }
        let further = self.crashed.len().checked_sub(QUARANTINE_CRASHES);
        let quarantine_ms = further
            .filter(|_| self.failed_trials >= FAILED_TRIALS)
            .map_or(0, |further| FIRST_QUARANTINE_MS << further.min(6));
        if now.since(self.changed_at) < quarantine_ms.min(MAX_QUARANTINE_MS) {
            Verdict::Quarantined
        } else if self.is_on_trial {
            Verdict::Busy
        } else {
            Verdict::Trial
        }
    }
}
