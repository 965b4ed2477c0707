//! Which programs are rejected first: those of accounts above their share, then less urgent ones, then
//! by the hash of their id.
//!
//! An account's share is half an equal part and half its usual part of the work at this instance, so
//! that a burst of all accounts does not fall on the largest alone, while an account that suddenly
//! asks for several times its usual work is above its share. It is measured against the present work of
//! the other accounts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::Cause;
use super::decay::DecayingSum;
use crate::clock::Time;

/// Maximum share of the programs of any group that is rejected. The rest shows when engines have
/// recovered, and no group is starved.
pub(super) const MAX_REJECTED_SHARE: f64 = 0.9;

/// Time constant of the present work: about the duration of a program.
const RECENT_MS: f64 = 6_000.0;

/// Time constant of the usual work.
const USUAL_MS: f64 = 60_000.0;

/// Multiple of its share up to which an account is not above it. Smaller excesses are chance.
const ABOVE_FACTOR: f64 = 1.25;

/// Factor by which accounts above their share are rejected faster than the load requires. Their excess
/// is the cause of the load, and others should not wait until the service is at its limit.
const ACCOUNT_GAIN: f64 = 8.0;

/// Part of its share below which an account is well below it.
const BELOW_FACTOR: f64 = 0.5;

/// Part of an account's share that follows its usual work; the rest is equal for all.
const USUAL_PART: f64 = 0.5;

/// Turns that any account may have without being above its share: those of a program.
const FREE_TURNS: f64 = 5.0;

/// Maximum number of accounts that are tracked: more than the platform is built for.
const MAX_ACCOUNTS: usize = 4_096;

/// Part of a mean turn below which the usual work of an account is forgotten.
const FORGOTTEN_TURNS: f64 = 0.01;

/// Work that is requested of a service.
#[derive(Debug, Default)]
pub(super) struct Demand {
    accounts: BTreeMap<Arc<str>, AccountDemand>,
    /// Recent new programs by group, in the order in which groups are rejected.
    groups: BTreeMap<Group, DecayingSum>,
    /// Mean work of a turn, in milliseconds.
    turn_ms: f64,
}

/// Work that an account requests, in milliseconds on idle engines.
#[derive(Clone, Copy, Debug, Default)]
struct AccountDemand {
    /// Present work, with that of rejected programs.
    recent: DecayingSum,
    /// Work while the service was not overloaded.
    usual: DecayingSum,
}

/// Programs that are equal but for the hash of their id. Groups are ordered as they are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    /// Whether the priority is the most urgent of several, or the account is well below its share.
    is_protected: bool,
    priority: Reverse<u8>,
}

/// Work of all accounts, in milliseconds on idle engines.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    accounts: f64,
    recent: f64,
    usual: f64,
    /// Work that any account may have without being above its share.
    free: f64,
}

/// An account's position relative to its share.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    /// The account's present work.
    work: f64,
    /// Part of the account's work that is above its share.
    above: f64,
    is_below: bool,
}

impl Demand {
    /// Records the work of a turn that starts.
    pub(super) fn record_work(
        &mut self,
        account: &Arc<str>,
        work_ms: f64,
        is_overloaded: bool,
        now: Time,
    ) {
        let weight = if self.turn_ms > 0.0 { 0.02 } else { 1.0 };
        self.turn_ms += (work_ms - self.turn_ms) * weight;
        let Some(entry) = self.entry(account, now) else {
            return;
        };
        entry.recent.add(work_ms, RECENT_MS, now);
        if !is_overloaded {
            entry.usual.add(work_ms, USUAL_MS, now);
        }
    }

    /// Records the work of a program that is rejected, so that the account's demand does not seem to
    /// fall.
    pub(super) fn record_rejection(&mut self, account: &Arc<str>, work_ms: f64, now: Time) {
        if let Some(entry) = self.entry(account, now) {
            entry.recent.add(work_ms, RECENT_MS, now);
        }
    }

    /// Records a new program and returns its group.
    pub(super) fn record_arrival(&mut self, account: &Arc<str>, priority: u8, now: Time) -> Group {
        let priorities = self.groups.keys().map(|group| group.priority.0);
        let (least, most) = priorities.fold((priority, priority), |(least, most), other| {
            (least.min(other), most.max(other))
        });
        let is_most_urgent = least < most && priority == least;
        let group = Group {
            is_protected: is_most_urgent || self.position(account, now).is_below,
            priority: Reverse(priority),
        };
        self.groups
            .retain(|_, programs| programs.get(RECENT_MS, now) > 0.01);
        let programs = self.groups.entry(group).or_default();
        programs.add(1.0, RECENT_MS, now);
        group
    }

    /// Returns the cause if a program is rejected, given the share of all requested work that has to be
    /// rejected. `rank` is a number from 0 to 1 that is fixed for the program.
    pub(super) fn select(
        &self,
        account: &Arc<str>,
        group: Group,
        share: f64,
        rank: f64,
        now: Time,
    ) -> Option<Cause> {
        let totals = self.totals(now);
        let above: f64 = self
            .accounts
            .values()
            .map(|demand| totals.position(demand, now))
            .map(|position| position.work * position.above)
            .sum();
        let above_share = if totals.recent > 0.0 {
            above / totals.recent
        } else {
            0.0
        };
        let own = self.position(account, now).above;
        let by_account = if above_share > 0.0 {
            (own * ACCOUNT_GAIN * share / above_share).min(MAX_REJECTED_SHARE)
        } else {
            0.0
        };
        if rank < by_account.min(MAX_REJECTED_SHARE) {
            return Some(Cause::Account);
        }
        let rest = ((share - above_share) / (1.0 - above_share).max(f64::MIN_POSITIVE)).max(0.0);
        let programs = |groups: &mut dyn Iterator<Item = (&Group, &DecayingSum)>| -> f64 {
            groups.map(|(_, sum)| sum.get(RECENT_MS, now)).sum()
        };
        let all = programs(&mut self.groups.iter());
        let before = programs(&mut self.groups.range(..group));
        let own_programs = programs(&mut self.groups.range(group..=group)).max(f64::MIN_POSITIVE);
        let by_group = ((rest * all - before) / own_programs).clamp(0.0, 1.0);
        let rejected = by_account + (1.0 - by_account) * by_group;
        if rank >= rejected.min(MAX_REJECTED_SHARE) {
            return None;
        }
        let mut groups = self.groups.keys();
        let has_more_urgent = groups.any(|other| other.priority.0 < group.priority.0);
        Some(if has_more_urgent {
            Cause::Priority
        } else {
            Cause::Hash
        })
    }

    /// Returns whether an account's present work is within its share.
    pub(super) fn is_within_share(&self, account: &Arc<str>, now: Time) -> bool {
        self.position(account, now).above <= 0.0
    }

    /// Compares an account's present work with its share.
    fn position(&self, account: &Arc<str>, now: Time) -> Position {
        let demand = self.accounts.get(account).copied().unwrap_or_default();
        self.totals(now).position(&demand, now)
    }

    fn totals(&self, now: Time) -> Totals {
        let mut totals = Totals {
            accounts: self.accounts.len() as f64,
            free: FREE_TURNS * self.turn_ms,
            ..Totals::default()
        };
        for demand in self.accounts.values() {
            totals.recent += demand.recent.get(RECENT_MS, now);
            totals.usual += demand.usual.get(USUAL_MS, now);
        }
        totals
    }

    /// Returns the entry of an account, unless there are too many.
    fn entry(&mut self, account: &Arc<str>, now: Time) -> Option<&mut AccountDemand> {
        if !self.accounts.contains_key(account) && self.accounts.len() >= MAX_ACCOUNTS {
            let least = FORGOTTEN_TURNS * self.turn_ms;
            self.accounts
                .retain(|_, demand| demand.usual.get(USUAL_MS, now) > least);
            if self.accounts.len() >= MAX_ACCOUNTS {
                return None;
            }
        }
        Some(self.accounts.entry(Arc::clone(account)).or_default())
    }
}

impl Totals {
    /// Compares an account's present work with its share.
    fn position(&self, demand: &AccountDemand, now: Time) -> Position {
        let work = demand.recent.get(RECENT_MS, now);
        // One account alone, or callers without accounts, have no share to compare with.
        if self.accounts < 2.0 {
            return Position::default();
        }
        let equal_part = 1.0 / self.accounts;
        let usual_part = if self.usual > 0.0 {
            demand.usual.get(USUAL_MS, now) / self.usual
        } else {
            equal_part
        };
        let part = USUAL_PART * usual_part + (1.0 - USUAL_PART) * equal_part;
        let fair = part / (1.0 - part).max(f64::MIN_POSITIVE) * (self.recent - work);
        let excess = work - fair * ABOVE_FACTOR - self.free;
        Position {
            work,
            above: if excess > 0.0 { excess / work } else { 0.0 },
            is_below: work < fair * BELOW_FACTOR,
        }
    }
}
