//! One upstream at its home or standby.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Answer, Ask, Authority, Digest, Effect, GRANT_MS, LAG_MS, LOST_MS, Refusal, Report,
    SHARE_DIVISOR, Ticket, Waiter,
};
use crate::clock::Time;
use crate::id;
use crate::queue::{Place, Queue, Rank};

/// Weight of the newest sample in the mean time that a slot is held, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// The time that a slot is expected to be held before any was, in milliseconds.
const FIRST_HOLD_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) struct Entry {
    authority: Authority,
    since: Time,
    slots: u32,
    foreign: u32,
    counted: bool,
    leaving: bool,
    hold_ms: u64,
    grants: BTreeMap<Ticket, Time>,
    granted: BTreeSet<(Time, Ticket)>,
    missing: Option<Missing>,
    queue: Queue<Waiter>,
    waiting: BTreeMap<Waiter, Wait>,
    deadlines: BTreeSet<(Time, Waiter)>,
    backlogs: BTreeMap<id::Account, u32>,
}

/// Grants that no report shows, at least this many since then.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Time,
    grants: u32,
}

#[derive(Debug)]
struct Wait {
    place: Place,
    deadline: Time,
    account: id::Account,
}

impl Entry {
    pub(super) fn new(now: Time, authority: Authority) -> Self {
        Self {
            authority,
            since: now,
            slots: 0,
            foreign: 0,
            counted: true,
            leaving: false,
            hold_ms: FIRST_HOLD_MS,
            grants: BTreeMap::new(),
            granted: BTreeSet::new(),
            missing: None,
            queue: Queue::default(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            backlogs: BTreeMap::new(),
        }
    }

    pub(super) const fn authority(&self) -> Authority {
        self.authority
    }

    /// Changes the authority; what others granted meanwhile has to show again.
    ///
    /// Returns whether it did change.
    pub(super) fn change(&mut self, now: Time, authority: Authority) -> bool {
        if self.authority == authority {
            return false;
        }
        self.authority = authority;
        self.since = now;
        self.slots = 0;
        self.foreign = 0;
        true
    }

    pub(super) fn report(&mut self, now: Time, report: Report) {
        let share = report.slots / SHARE_DIVISOR;
        self.slots = match self.authority {
            Authority::Home => report.slots - share,
            Authority::Standby => share,
        };
        self.leaving = report.leaving;
        self.counted = report.calls.is_some();
        let calls = match self.authority {
            Authority::Home => report.calls.unwrap_or(0),
            Authority::Standby => 0,
        };
        self.foreign = self.foreign_calls(now, calls);
        if let Some(calls) = report.calls {
            self.note_missing(now, calls);
        }
    }

    /// Voids grants that no report has shown for a while, since their holder must have died.
    fn note_missing(&mut self, now: Time, calls: u32) {
        let grants = self.shown(now).saturating_sub(calls);
        if grants == 0 {
            self.missing = None;
            return;
        }
        let missing = self.missing.get_or_insert(Missing { since: now, grants });
        missing.grants = missing.grants.min(grants);
        if now.since(missing.since) < LOST_MS {
            return;
        }
        for _ in 0..missing.grants {
            self.granted
                .pop_first()
                .map(|(_, ticket)| self.grants.remove(&ticket));
        }
        self.missing = None;
    }

    /// Returns the number of own grants that a report must show by now.
    fn shown(&self, now: Time) -> u32 {
        let old = self.granted.iter();
        old.take_while(|(at, _)| now.since(*at) >= LAG_MS).count() as u32
    }

    /// Returns the calls that a former home granted, as far as a report shows them.
    ///
    /// Own grants younger than the lag may be missing from the report, so they are not taken off
    /// it. Once everything had time to show, the number only falls.
    fn foreign_calls(&self, now: Time, calls: u32) -> u32 {
        let age = now.since(self.since);
        if age >= GRANT_MS {
            return 0;
        }
        let others = calls.saturating_sub(self.shown(now));
        if self.is_settling(now) {
            self.foreign.max(others)
        } else {
            self.foreign.min(others)
        }
    }

    /// Tells whether calls that a former home granted may not have shown yet.
    fn is_settling(&self, now: Time) -> bool {
        self.counted && self.authority == Authority::Home && now.since(self.since) < LAG_MS
    }

    fn taken(&self) -> u32 {
        self.grants.len() as u32 + self.foreign
    }

    fn free(&self, now: Time) -> u32 {
        if self.is_settling(now) {
            return 0;
        }
        self.slots.saturating_sub(self.taken())
    }

    /// Returns the milliseconds until a new request would be served.
    fn wait_ms(&self) -> u64 {
        if self.slots > self.taken() && self.queue.is_empty() {
            return 0;
        }
        let ahead = self.queue.len() as u64 + 1;
        ahead * self.hold_ms / u64::from(self.slots.max(1))
    }

    pub(super) fn ask(&mut self, now: Time, ask: &Ask, last: &mut u64) -> Answer {
        if self.leaving || (self.authority == Authority::Standby && self.slots == 0) {
            return Answer::Refused(Refusal::Closed);
        }
        *last += 1;
        if self.free(now) > 0 && self.queue.is_empty() {
            let ticket = Ticket(*last);
            self.grant(now, ticket);
            return Answer::Granted(ticket);
        }
        let wait_ms = self.wait_ms();
        if ask.wait_ms == 0 || wait_ms > ask.wait_ms {
            return Answer::Refused(Refusal::Busy(wait_ms));
        }
        let waiter = Waiter(*last);
        self.enqueue(now, waiter, ask);
        Answer::Queued(waiter)
    }

    fn grant(&mut self, now: Time, ticket: Ticket) {
        self.grants.insert(ticket, now);
        self.granted.insert((now, ticket));
    }

    fn enqueue(&mut self, now: Time, waiter: Waiter, ask: &Ask) {
        let backlog = self.backlogs.entry(ask.account.clone()).or_default();
        let rank = Rank {
            arrived: now.before(ask.waited_ms),
            attained: ask.attained,
            cached: ask.cached,
            backlog: *backlog,
        };
        *backlog += 1;
        let wait = Wait {
            place: self.queue.push(rank, waiter),
            deadline: now.after(ask.wait_ms),
            account: ask.account.clone(),
        };
        self.deadlines.insert((wait.deadline, waiter));
        self.waiting.insert(waiter, wait);
    }

    pub(super) fn give_back(&mut self, now: Time, ticket: Ticket) {
        let Some(since) = self.grants.remove(&ticket) else {
            self.foreign = self.foreign.saturating_sub(1);
            return;
        };
        self.granted.remove(&(since, ticket));
        let sample = now.since(since);
        self.hold_ms = (self.hold_ms * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR;
    }

    pub(super) fn withdraw(&mut self, waiter: Waiter) -> bool {
        let place = self.forget(waiter);
        place.is_some_and(|place| self.queue.remove(place).is_some())
    }

    /// Grants free slots to those who wait; refuses them all if the upstream is leaving.
    pub(super) fn serve(&mut self, now: Time, last: &mut u64) -> Vec<Effect> {
        if self.leaving {
            return self.refuse_all();
        }
        let mut effects = Vec::new();
        while self.free(now) > 0 {
            let Some(waiter) = self.next() else {
                break;
            };
            *last += 1;
            let ticket = Ticket(*last);
            self.grant(now, ticket);
            effects.push(Effect::Granted(waiter, ticket));
        }
        effects
    }

    pub(super) fn close(mut self) -> Vec<Effect> {
        self.refuse_all()
    }

    fn refuse_all(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(waiter) = self.next() {
            effects.push(Effect::Refused(waiter, Refusal::Closed));
        }
        effects
    }

    fn next(&mut self) -> Option<Waiter> {
        let waiter = self.queue.pop()?;
        self.forget(waiter);
        Some(waiter)
    }

    /// Drops what is kept of a waiter besides its place in the queue.
    fn forget(&mut self, waiter: Waiter) -> Option<Place> {
        let wait = self.waiting.remove(&waiter)?;
        self.deadlines.remove(&(wait.deadline, waiter));
        if let Some(backlog) = self.backlogs.get_mut(&wait.account) {
            *backlog -= 1;
            if *backlog == 0 {
                self.backlogs.remove(&wait.account);
            }
        }
        Some(wait.place)
    }

    pub(super) fn expire_grants(&mut self, now: Time) {
        while let Some(&(since, ticket)) = self.granted.first() {
            if now.since(since) < GRANT_MS {
                break;
            }
            self.granted.pop_first();
            self.grants.remove(&ticket);
        }
    }

    pub(super) fn expire_waits(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(&(deadline, waiter)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.withdraw(waiter);
            let refusal = Refusal::Busy(self.wait_ms());
            effects.push(Effect::Refused(waiter, refusal));
        }
        effects
    }

    pub(super) fn digest(&self) -> Digest {
        Digest {
            slots: self.slots,
            taken: self.taken(),
            waiting: self.queue.len(),
            wait_ms: self.wait_ms(),
            leaving: self.leaving,
        }
    }
}
