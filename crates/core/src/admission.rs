//! Whether a new program is taken on.
//!
//! A [`Gate`] compares the slots of a service's ready upstreams with those that
//! are taken, and keeps the plan's headroom for the turns of programs under way.
//! The load is smoothed, since programs pause; what was admitted since the last
//! reading counts at once, so that a burst doesn't slip through between two
//! readings. [`Programs`] counts an account's programs at the account's home,
//! from what the owners report, so nothing has to be written or handed over.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;
use crate::id;

/// Time over which a rise of the load is smoothed, in milliseconds.
pub const RISE_SMOOTHING_MS: u64 = 500;

/// Time over which a fall of the load is smoothed, in milliseconds.
pub const FALL_SMOOTHING_MS: u64 = 2_000;

/// Slots that a new program is expected to take, in thousandths: it pauses for tools, and it
/// starts over the time of a reading.
pub const SLOTS_PER_PROGRAM_PERMILLE: u64 = 250;

/// Time over which refusals and admissions are counted, in milliseconds.
pub const RATE_WINDOW_MS: u64 = 10_000;

/// Bounds of the time after which a refused program may try again, in milliseconds.
pub const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Milliseconds for which an owner's report of programs counts.
pub const REPORT_TTL_MS: u64 = 5_000;

const PERMILLE: u64 = 1_000;

/// What a gate compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots of the ready upstreams.
    pub slots: u32,
    /// Slots that are taken, and requests that wait.
    pub in_use: u32,
}

/// Takes on new programs of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    slots: u32,
    load_permille: u64,
    observed: Time,
    admitted: u32,
    window: Window,
}

/// Admissions and refusals of the window under way and of the one before.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Time,
    admitted: u64,
    refused: u64,
}

impl Gate {
    /// Notes a reading.
    pub fn observe(&mut self, now: Time, load: Load) {
        let reading = u64::from(load.in_use) * PERMILLE / u64::from(load.slots.max(1));
        let rises = reading > self.load_permille;
        let span = if rises {
            RISE_SMOOTHING_MS
        } else {
            FALL_SMOOTHING_MS
        };
        let elapsed = now.since(self.observed).min(span);
        let kept = span - elapsed;
        self.load_permille = (self.load_permille * kept + reading * elapsed) / span;
        self.slots = load.slots;
        self.observed = now;
        self.admitted = 0;
    }

    /// Takes on a program, at one of `instances` that do so.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which another try makes sense.
    pub fn admit(&mut self, now: Time, headroom_percent: u32, instances: u32) -> Result<(), u64> {
        self.window.turn(now);
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
        self.window.refused += 1;
        Err(self.window.retry_ms())
    }
}

impl Window {
    fn turn(&mut self, now: Time) {
        if now.since(self.since) < RATE_WINDOW_MS {
            return;
        }
        *self = Self {
            since: now,
            admitted: self.admitted / 2,
            refused: self.refused / 2,
        };
    }

    /// Returns the time in which those refused would be admitted at the rate seen.
    fn retry_ms(&self) -> u64 {
        let rounds = self.refused / (self.admitted + 1);
        let ms = RETRY_AFTER_MS.start() * (rounds + 1);
        ms.min(*RETRY_AFTER_MS.end())
    }
}

/// Counts the programs of the accounts that are homed at this instance.
///
/// Programs are told apart by id, so one that is both admitted and reported, or reported by two
/// owners during a move, counts once.
#[derive(Debug, Default)]
pub struct ProgramCounts {
    accounts: BTreeMap<id::Account, Count>,
}

#[derive(Debug, Default)]
struct Count {
    reports: BTreeMap<id::Instance, Report>,
    admitted: BTreeMap<id::Program, Time>,
}

#[derive(Debug)]
struct Report {
    at: Time,
    programs: BTreeSet<id::Program>,
}

impl ProgramCounts {
    /// Notes which programs of an account an instance owns.
    pub fn record_owned(
        &mut self,
        now: Time,
        instance: &id::Instance,
        account: &id::Account,
        programs: impl IntoIterator<Item = id::Program>,
    ) {
        let count = self.accounts.entry(account.clone()).or_default();
        let programs = programs.into_iter().collect();
        let report = Report { at: now, programs };
        count.reports.insert(instance.clone(), report);
    }

    /// Takes on a program if the account has fewer than `limit` others under way.
    pub fn admit(
        &mut self,
        now: Time,
        account: &id::Account,
        program: id::Program,
        limit: u32,
    ) -> bool {
        let count = self.accounts.entry(account.clone()).or_default();
        count.expire(now);
        if count.others(program) >= limit as usize {
            return false;
        }
        count.admitted.insert(program, now);
        true
    }

    /// Forgets the accounts of which nothing was heard of late.
    pub fn expire(&mut self, now: Time) {
        for count in self.accounts.values_mut() {
            count.expire(now);
        }
        self.accounts.retain(|_, count| !count.is_empty());
    }
}

impl Count {
    /// Drops reports and admissions that are too old; by then reports include what was admitted.
    fn expire(&mut self, now: Time) {
        let fresh = |at: Time| now.since(at) < REPORT_TTL_MS;
        self.reports.retain(|_, report| fresh(report.at));
        self.admitted.retain(|_, at| fresh(*at));
    }

    fn others(&self, program: id::Program) -> usize {
        let reported = self.reports.values().flat_map(|report| &report.programs);
        let all: BTreeSet<_> = reported.chain(self.admitted.keys()).collect();
        all.into_iter().filter(|other| **other != program).count()
    }

    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.admitted.is_empty()
    }
}
