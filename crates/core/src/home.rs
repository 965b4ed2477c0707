//! The home of upstreams: their slots, and who waits for one.
//!
//! The home counts the grants that it made itself, since reports of load lag.
//! What a former home granted shows in the reports only. It is counted on top
//! until reports or the holders themselves say that it is gone; until it had
//! time to show, the home grants nothing.
//!
//! Each upstream also has a standby, which grants a small fixed share of the
//! slots to those who can't reach the home. The home leaves that share alone,
//! so both together never grant more than the upstream has.

mod upstream_slots;

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

use upstream_slots::UpstreamSlots;

/// Milliseconds after which an unreturned grant is void.
pub const GRANT_TTL_MS: u64 = 120_000;

/// Milliseconds within which an upstream's reports show a call.
pub const REPORT_LAG_MS: u64 = 2_000;

/// Milliseconds after which a grant that no report shows is void.
pub const LOST_GRANT_MS: u64 = 8_000;

/// One slot in this many is the standby's.
pub const STANDBY_SHARE_DIVISOR: u32 = 16;

/// Names a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// What this instance is to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It grants all slots but the standby's share.
    Home,
    /// It grants the standby's share.
    Standby,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The program.
    pub program: id::Program,
    /// Its account.
    pub account: id::Account,
    /// Tokens of service that the program has had.
    pub attained: u64,
    /// Whether the upstream holds the program's prefix.
    pub cached: bool,
    /// Milliseconds that it waits; with zero it is granted or refused at once.
    pub wait_ms: u64,
    /// Milliseconds that it has waited elsewhere before.
    pub waited_ms: u64,
}

/// What becomes of a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResponse {
    /// It has a slot.
    Granted(Ticket),
    /// It waits; an [`Effect`] follows.
    Queued(Waiter),
    /// It gets none.
    Rejected(Rejection),
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
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
    Rejected(Waiter, Rejection),
}

/// What an upstream reports of itself, or what is assumed of one that reports nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The most calls at once.
    pub slots: u32,
    /// Calls at the upstream, running or waiting there; nothing if it does not count them.
    pub calls: Option<u32>,
    /// Whether it is leaving.
    pub draining: bool,
}

/// What the home knows of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The most calls that are granted at once.
    pub slots: u32,
    /// Slots that are taken.
    pub in_use: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Milliseconds until a new request would be served.
    pub wait_ms: u64,
    /// Whether it is leaving.
    pub draining: bool,
}

/// The upstreams homed here, and those that this instance is the standby of.
#[derive(Debug)]
pub struct Home {
    upstreams: BTreeMap<id::Upstream, UpstreamSlots>,
    last_number: u64,
}

impl Home {
    /// Makes a home without upstreams.
    ///
    /// Tickets are numbered from `first`, which must differ between homes by more than either
    /// will grant.
    #[must_use]
    pub const fn new(first: u64) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            last_number: first,
        }
    }

    /// Takes an authority for an upstream, with no slots until it reports.
    ///
    /// A standby that becomes the home, or the reverse, keeps the grants that it made. Returns
    /// whether the authority is new.
    pub fn set_authority(
        &mut self,
        now: Time,
        upstream: &id::Upstream,
        authority: Authority,
    ) -> bool {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            return entry.set_authority(now, authority);
        }
        let entry = UpstreamSlots::new(now, authority);
        self.upstreams.insert(upstream.clone(), entry);
        true
    }

    /// Gives the authority up; those who wait there are refused.
    pub fn drop_authority(&mut self, upstream: &id::Upstream) -> Vec<Effect> {
        let removed = self.upstreams.remove(upstream);
        removed.map_or_else(Vec::new, UpstreamSlots::close)
    }

    /// Notes a report of an upstream and serves those who wait for what it frees.
    pub fn apply_report(
        &mut self,
        now: Time,
        upstream: &id::Upstream,
        report: Report,
    ) -> Vec<Effect> {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        entry.apply_report(now, report);
        entry.serve(now, &mut self.last_number)
    }

    /// Asks for a slot.
    pub fn request_slot(
        &mut self,
        now: Time,
        upstream: &id::Upstream,
        request: &SlotRequest,
    ) -> SlotResponse {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return SlotResponse::Rejected(Rejection::Closed);
        };
        entry.request_slot(now, request, &mut self.last_number)
    }

    /// Takes a slot back and serves who waits next.
    ///
    /// A ticket that was not granted here is a former home's.
    pub fn release(&mut self, now: Time, upstream: &id::Upstream, ticket: Ticket) -> Vec<Effect> {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        entry.release(now, ticket);
        entry.serve(now, &mut self.last_number)
    }

    /// Withdraws a request that waits and tells whether it still did.
    ///
    /// The ticket of a request that was granted meanwhile has to be given back.
    pub fn cancel(&mut self, upstream: &id::Upstream, waiter: Waiter) -> bool {
        let entry = self.upstreams.get_mut(upstream);
        entry.is_some_and(|entry| entry.cancel(waiter))
    }

    /// Voids grants and ends waits whose time has run out.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for entry in self.upstreams.values_mut() {
            entry.expire_grants(now);
            effects.extend(entry.serve(now, &mut self.last_number));
            effects.extend(entry.expire_waits(now));
        }
        effects
    }

    /// Returns what is known of an upstream homed here.
    #[must_use]
    pub fn digest(&self, upstream: &id::Upstream) -> Option<Digest> {
        self.upstreams.get(upstream).map(UpstreamSlots::digest)
    }

    /// Returns the upstreams known here, with the authority held.
    pub fn upstreams(&self) -> impl Iterator<Item = (&id::Upstream, Authority)> {
        let entries = self.upstreams.iter();
        entries.map(|(upstream, entry)| (upstream, entry.authority()))
    }
}
