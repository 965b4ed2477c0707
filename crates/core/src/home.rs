//! The home of upstreams: their slots, and who waits for one.
//!
//! The home counts the grants that it made itself, since reports of load lag.
//! What a former home granted shows in the reports only; it is counted on top
//! until the reports say that it is gone.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;
use crate::id;
use crate::queue::{Place, Queue, Rank};

/// Milliseconds after which an unreturned grant is void.
pub const GRANT_MS: u64 = 120_000;

/// Milliseconds for which a new home trusts that a former home's grants may still show up.
pub const SETTLE_MS: u64 = 3_000;

/// Weight of the newest sample in the mean time that a slot is held, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// The time that a slot is expected to be held before any was, in milliseconds.
const FIRST_HOLD_MS: u64 = 1_000;

/// Names a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The program.
    pub program: id::Program,
    /// Tokens of service that the program has had.
    pub attained: u64,
    /// Milliseconds that it waits; with zero it is granted or refused at once.
    pub wait_ms: u64,
}

/// What becomes of a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It has a slot.
    Granted(Ticket),
    /// It waits; an [`Effect`] follows.
    Queued(Waiter),
    /// It gets none.
    Refused(Refusal),
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream is leaving or not known here.
    Closed,
    /// No slot comes free within the wait; one is expected after this many milliseconds.
    Busy(u64),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It has a slot.
    Granted(Waiter, Ticket),
    /// It gets none.
    Refused(Waiter, Refusal),
}

/// What an upstream reports of itself, or what is assumed of one that reports nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The most calls at once.
    pub slots: u32,
    /// Calls at the upstream, running or waiting there.
    pub calls: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The upstreams homed here.
#[derive(Debug, Default)]
pub struct Home {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    last: u64,
}

#[derive(Debug)]
struct Upstream {
    since: Time,
    slots: u32,
    foreign: u32,
    leaving: bool,
    hold_ms: u64,
    grants: BTreeMap<Ticket, Held>,
    expiries: BTreeSet<(Time, Ticket)>,
    queue: Queue<Waiting>,
    places: BTreeMap<Waiter, (Place, Time)>,
    deadlines: BTreeSet<(Time, Waiter)>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    since: Time,
    expires: Time,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    waiter: Waiter,
}

/// What the home knows of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The most calls at once.
    pub slots: u32,
    /// Slots that are taken.
    pub taken: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Milliseconds until a new request would be served.
    pub wait_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Home {
    /// Makes the home of an upstream known here, with no slots until it reports.
    pub fn adopt(&mut self, now: Time, upstream: &id::Upstream) {
        if !self.upstreams.contains_key(upstream) {
            self.upstreams.insert(upstream.clone(), Upstream::new(now));
        }
    }

    /// Stops being the home of an upstream; those who wait there are refused.
    pub fn abandon(&mut self, upstream: &id::Upstream) -> Vec<Effect> {
        let Some(mut gone) = self.upstreams.remove(upstream) else {
            return Vec::new();
        };
        gone.leaving = true;
        gone.close()
    }

    /// Notes a report of an upstream and serves those who wait for what it frees.
    pub fn report(&mut self, now: Time, upstream: &id::Upstream, report: Report) -> Vec<Effect> {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        entry.note(now, report);
        entry.serve(now, &mut self.last)
    }

    /// Asks for a slot.
    pub fn ask(&mut self, now: Time, upstream: &id::Upstream, ask: &Ask, cached: bool) -> Answer {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Answer::Refused(Refusal::Closed);
        };
        if entry.leaving {
            return Answer::Refused(Refusal::Closed);
        }
        self.last += 1;
        if entry.free() > 0 && entry.queue.is_empty() {
            let ticket = Ticket(self.last);
            entry.grant(now, ticket);
            return Answer::Granted(ticket);
        }
        let wait_ms = entry.wait_ms();
        if wait_ms > ask.wait_ms || ask.wait_ms == 0 {
            return Answer::Refused(Refusal::Busy(wait_ms));
        }
        let waiter = Waiter(self.last);
        entry.enqueue(now, waiter, ask, cached);
        Answer::Queued(waiter)
    }

    /// Takes a slot back and serves who waits next.
    pub fn give_back(&mut self, now: Time, upstream: &id::Upstream, ticket: Ticket) -> Vec<Effect> {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        entry.give_back(now, ticket);
        entry.serve(now, &mut self.last)
    }

    /// Withdraws a request that waits.
    ///
    /// A request that was granted meanwhile is not found; its ticket has to be given back.
    pub fn withdraw(&mut self, upstream: &id::Upstream, waiter: Waiter) -> bool {
        let entry = self.upstreams.get_mut(upstream);
        entry.is_some_and(|entry| entry.withdraw(waiter))
    }

    /// Voids grants and ends waits whose time has run out.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for entry in self.upstreams.values_mut() {
            entry.expire_grants(now);
            effects.extend(entry.serve(now, &mut self.last));
            effects.extend(entry.expire_waits(now));
        }
        effects
    }

    /// Returns what is known of an upstream homed here.
    #[must_use]
    pub fn digest(&self, upstream: &id::Upstream) -> Option<Digest> {
        self.upstreams.get(upstream).map(Upstream::digest)
    }

    /// Returns the upstreams homed here.
    pub fn upstreams(&self) -> impl Iterator<Item = &id::Upstream> {
        self.upstreams.keys()
    }
}

impl Upstream {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            slots: 0,
            foreign: 0,
            leaving: false,
            hold_ms: FIRST_HOLD_MS,
            grants: BTreeMap::new(),
            expiries: BTreeSet::new(),
            queue: Queue::default(),
            places: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    fn note(&mut self, now: Time, report: Report) {
        self.slots = report.slots;
        self.leaving = report.leaving;
        let own = self.grants.len() as u32;
        let foreign = report.calls.saturating_sub(own);
        let settling = now.since(self.since) < SETTLE_MS;
        self.foreign = if settling {
            self.foreign.max(foreign)
        } else {
            self.foreign.min(foreign)
        };
    }

    fn taken(&self) -> u32 {
        self.grants.len() as u32 + self.foreign
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.taken())
    }

    /// Returns the milliseconds until a new request would be served.
    fn wait_ms(&self) -> u64 {
        if self.free() > 0 && self.queue.is_empty() {
            return 0;
        }
        let ahead = self.queue.len() as u64 + 1;
        ahead * self.hold_ms / u64::from(self.slots.max(1))
    }

    fn grant(&mut self, now: Time, ticket: Ticket) {
        let expires = now.after(GRANT_MS);
        let held = Held {
            since: now,
            expires,
        };
        self.grants.insert(ticket, held);
        self.expiries.insert((expires, ticket));
    }

    fn enqueue(&mut self, now: Time, waiter: Waiter, ask: &Ask, cached: bool) {
        let rank = Rank {
            arrived: now,
            attained: ask.attained,
            cached,
        };
        let deadline = now.after(ask.wait_ms);
        let place = self.queue.push(rank, Waiting { waiter });
        self.places.insert(waiter, (place, deadline));
        self.deadlines.insert((deadline, waiter));
    }

    fn give_back(&mut self, now: Time, ticket: Ticket) {
        let Some(held) = self.grants.remove(&ticket) else {
            return;
        };
        self.expiries.remove(&(held.expires, ticket));
        let sample = now.since(held.since);
        self.hold_ms = (self.hold_ms * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR;
    }

    fn withdraw(&mut self, waiter: Waiter) -> bool {
        let Some((place, deadline)) = self.places.remove(&waiter) else {
            return false;
        };
        self.deadlines.remove(&(deadline, waiter));
        self.queue.remove(place).is_some()
    }

    /// Grants free slots to those who wait; refuses them all if the upstream is leaving.
    fn serve(&mut self, now: Time, last: &mut u64) -> Vec<Effect> {
        if self.leaving {
            return self.close();
        }
        let mut effects = Vec::new();
        while self.free() > 0 {
            let Some(next) = self.next() else {
                break;
            };
            *last += 1;
            let ticket = Ticket(*last);
            self.grant(now, ticket);
            effects.push(Effect::Granted(next, ticket));
        }
        effects
    }

    fn close(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(next) = self.next() {
            effects.push(Effect::Refused(next, Refusal::Closed));
        }
        effects
    }

    fn next(&mut self) -> Option<Waiter> {
        let waiter = self.queue.pop()?.waiter;
        if let Some((_, deadline)) = self.places.remove(&waiter) {
            self.deadlines.remove(&(deadline, waiter));
        }
        Some(waiter)
    }

    fn expire_grants(&mut self, now: Time) {
        while let Some(&(expires, ticket)) = self.expiries.first() {
            if expires > now {
                break;
            }
            self.expiries.pop_first();
            self.grants.remove(&ticket);
        }
    }

    fn expire_waits(&mut self, now: Time) -> Vec<Effect> {
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

    fn digest(&self) -> Digest {
        Digest {
            slots: self.slots,
            taken: self.taken(),
            waiting: self.queue.len(),
            wait_ms: self.wait_ms(),
            leaving: self.leaving,
        }
    }
}
