//! Rejected programs that may come back.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// Maximum number of remembered programs. An instance rejects some tens in a second.
const MAX_PROGRAMS: usize = 2_048;

/// Age after which a rejected program is forgotten.
const MAX_AGE_MS: u64 = 15_000;

/// Growth of the slowdown up to which the load counts as unchanged: the scatter of its measurement at
/// an instance with few turns.
const UNCHANGED_FACTOR: f64 = 1.1;

/// Rejected programs by id.
#[derive(Debug, Default)]
pub(super) struct RejectedPrograms {
    programs: BTreeMap<Arc<str>, RejectedProgram>,
}

/// A program that was rejected.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedProgram {
    at: Time,
    retry_at: Time,
    slowdown: f64,
    /// Milliseconds until the program's deadline at its first request.
    pub(super) remaining_ms: Option<u64>,
}

impl RejectedProgram {
    /// Returns whether the program waited as long as it was told and the load has not grown.
    pub(super) fn may_return(&self, slowdown: f64, now: Time) -> bool {
        now >= self.retry_at && slowdown <= self.slowdown * UNCHANGED_FACTOR
    }
}

impl RejectedPrograms {
    /// Returns what is known of a program that was rejected a while ago.
    pub(super) fn find(&self, program: &str, now: Time) -> Option<RejectedProgram> {
        let known = self.programs.get(program).copied();
        known.filter(|known| now.since(known.at) < MAX_AGE_MS)
    }

    /// Forgets a program, which is admitted.
    pub(super) fn remove(&mut self, program: &str) {
        self.programs.remove(program);
    }

    /// Remembers a rejected program. What it stated at its first request is kept.
    pub(super) fn insert(
        &mut self,
        program: &Arc<str>,
        retry_ms: u64,
        slowdown: f64,
        remaining_ms: Option<u64>,
        now: Time,
    ) {
        let earlier = self.find(program, now);
        if earlier.is_none() && self.programs.len() >= MAX_PROGRAMS {
            self.programs
                .retain(|_, known| now.since(known.at) < MAX_AGE_MS);
            if self.programs.len() >= MAX_PROGRAMS {
                return;
            }
        }
        let rejected = RejectedProgram {
            at: now,
            retry_at: now.after(retry_ms),
            slowdown,
            remaining_ms: earlier.map_or(remaining_ms, |earlier| earlier.remaining_ms),
        };
        self.programs.insert(Arc::clone(program), rejected);
    }
}
