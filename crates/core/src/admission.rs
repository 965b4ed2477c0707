//! Admission control for new programs.
//!
//! A [`Gate`] compares the slots of a service's ready upstreams with those in use and reserves the
//! planned headroom for running programs. The load is smoothed, because programs pause between
//! calls. Programs admitted since the last observation count immediately, so that a burst between
//! two observations is not admitted unchecked.
//!
//! [`ProgramCounts`] counts the programs of an account at the account's home from the reports of
//! their owners. Nothing has to be stored or handed over when the home changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;
use crate::id;

/// Smoothing time for rising load, in milliseconds.
pub const RISE_SMOOTHING_MS: u64 = 500;

/// Smoothing time for falling load, in milliseconds.
pub const FALL_SMOOTHING_MS: u64 = 2_000;

/// Expected slots in use per new program, in thousandths. It is less than one slot because a program
/// pauses for tools and starts gradually within an observation interval.
pub const SLOTS_PER_PROGRAM_PERMILLE: u64 = 250;

/// Window over which admissions and rejections are counted, in milliseconds.
pub const RATE_WINDOW_MS: u64 = 10_000;

/// Range of the retry delay returned for rejected programs, in milliseconds.
pub const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Time for which an owner's report of its programs is valid, in milliseconds.
pub const REPORT_TTL_MS: u64 = 5_000;

const PERMILLE: u64 = 1_000;

/// Load of a service at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots of the ready upstreams.
    pub slots: u32,
    /// Slots in use plus queued requests; may exceed `slots`.
    pub in_use: u32,
}

/// Admission control for the new programs of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    slots: u32,
    load_permille: u64,
    observed_at: Time,
    admitted: u32,
    window: Window,
}

/// Admissions and rejections of the current window, plus half of those before it.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Time,
    admitted: u64,
    rejected: u64,
}

impl Gate {
    /// Updates the smoothed load with a new observation.
    pub fn observe(&mut self, now: Time, load: Load) {
        let current = u64::from(load.in_use) * PERMILLE / u64::from(load.slots.max(1));
        let is_rising = current > self.load_permille;
        let span = if is_rising {
            RISE_SMOOTHING_MS
        } else {
            FALL_SMOOTHING_MS
        };
        let elapsed = now.since(self.observed_at).min(span);
        let remaining = span - elapsed;
        self.load_permille = (self.load_permille * remaining + current * elapsed) / span;
        self.slots = load.slots;
        self.observed_at = now;
        self.admitted = 0;
    }

    /// Admits a program, if the load allows it.
    ///
    /// `instances` is the number of instances that admit programs independently of each other.
    ///
    /// # Errors
    ///
    /// Returns the delay in milliseconds after which a retry is useful.
    pub fn admit(&mut self, now: Time, headroom_percent: u32, instances: u32) -> Result<(), u64> {
        self.window.advance(now);
        let limit = PERMILLE.saturating_sub(u64::from(headroom_percent) * 10);
        let added =
            u64::from(self.admitted + 1) * u64::from(instances) * SLOTS_PER_PROGRAM_PERMILLE;
        let added = added / u64::from(self.slots.max(1));
        let idle = self.load_permille == 0 && self.admitted == 0;
        if self.slots > 0 && (idle || self.load_permille + added <= limit) {
            self.admitted += 1;
            self.window.admitted += 1;
            return Ok(());
        }
        self.window.rejected += 1;
        Err(self.window.retry_ms())
    }
}

impl Window {
    fn advance(&mut self, now: Time) {
        if now.since(self.started) < RATE_WINDOW_MS {
            return;
        }
        *self = Self {
            started: now,
            admitted: self.admitted / 2,
            rejected: self.rejected / 2,
        };
    }

    /// Estimates when the rejected programs could be admitted at the current rate.
    fn retry_ms(&self) -> u64 {
        let rounds = self.rejected / (self.admitted + 1);
        let ms = RETRY_AFTER_MS.start() * (rounds + 1);
        ms.min(*RETRY_AFTER_MS.end())
    }
}

/// Counts the programs of the accounts whose home is this instance.
///
/// Programs are identified by id. A program that is both admitted and reported, or reported by two
/// owners during a handover, counts once.
#[derive(Debug, Default)]
pub struct ProgramCounts {
    accounts: BTreeMap<id::Account, AccountCount>,
}

#[derive(Debug, Default)]
struct AccountCount {
    reports: BTreeMap<id::Instance, Report>,
    admitted: BTreeMap<id::Program, Time>,
}

#[derive(Debug)]
struct Report {
    received: Time,
    programs: BTreeSet<id::Program>,
}

impl ProgramCounts {
    /// Records the programs of an account that an instance owns.
    pub fn record_owned(
        &mut self,
        now: Time,
        instance: &id::Instance,
        account: &id::Account,
        programs: impl IntoIterator<Item = id::Program>,
    ) {
        let count = self.accounts.entry(account.clone()).or_default();
        let programs = programs.into_iter().collect();
        let report = Report {
            received: now,
            programs,
        };
        count.reports.insert(instance.clone(), report);
    }

    /// Admits a program if fewer than `limit` other programs of the account are running.
    pub fn admit(
        &mut self,
        now: Time,
        account: &id::Account,
        program: id::Program,
        limit: u32,
    ) -> bool {
        let count = self.accounts.entry(account.clone()).or_default();
        count.expire(now);
        if count.count_others(program) >= limit as usize {
            return false;
        }
        count.admitted.insert(program, now);
        true
    }

    /// Removes accounts without a recent report or admission.
    pub fn expire(&mut self, now: Time) {
        for count in self.accounts.values_mut() {
            count.expire(now);
        }
        self.accounts.retain(|_, count| !count.is_empty());
    }
}

impl AccountCount {
    /// Removes expired reports and admissions. By then, reports include the admitted programs.
    fn expire(&mut self, now: Time) {
        let fresh = |at: Time| now.since(at) < REPORT_TTL_MS;
        self.reports.retain(|_, report| fresh(report.received));
        self.admitted.retain(|_, at| fresh(*at));
    }

    fn count_others(&self, program: id::Program) -> usize {
        let reported = self.reports.values().flat_map(|report| &report.programs);
        let all: BTreeSet<_> = reported.chain(self.admitted.keys()).collect();
        all.into_iter().filter(|other| **other != program).count()
    }

    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.admitted.is_empty()
    }
}
