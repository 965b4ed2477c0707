//! Slot accounting and request queues of upstreams, at the instance that grants their slots.
//!
//! The home of an upstream counts the grants that it issued itself, because load reports lag
//! behind. Grants of a former home are visible only in load reports. They are added to the count
//! until reports or returned tickets show that they have ended. A new home grants nothing until
//! reports have had time to include them.
//!
//! Each upstream also has a standby. It grants a small fixed share of the slots to instances that
//! cannot reach the home. The home never grants that share, so the two together cannot exceed the
//! slots of the upstream.

mod upstream_slots;

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

use upstream_slots::UpstreamSlots;

/// Lifetime of a grant that is not returned, in milliseconds.
pub const GRANT_TTL_MS: u64 = 120_000;

/// Time within which a call appears in the upstream's load reports, in milliseconds.
pub const REPORT_LAG_MS: u64 = 2_000;

/// Time after which a grant that is missing from all reports is revoked, in milliseconds.
pub const LOST_GRANT_MS: u64 = 8_000;

/// The standby grants one of this many slots.
pub const STANDBY_SHARE_DIVISOR: u32 = 16;

/// Identifies a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// The part of an upstream's slots that this instance grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Grants all slots except the standby's share.
    Home,
    /// Grants only the standby's share.
    Standby,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The program that makes the call.
    pub program: id::Program,
    /// The account of the program.
    pub account: id::Account,
    /// Tokens that the program has used so far, for least-attained-service scheduling.
    pub attained: u64,
    /// Whether the upstream has the program's prompt prefix in its cache.
    pub cached: bool,
    /// Maximum wait in milliseconds; zero never queues the request.
    pub wait_ms: u64,
    /// Time already waited at other upstreams, in milliseconds.
    pub waited_ms: u64,
}

/// The immediate response to a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResponse {
    /// A slot is granted.
    Granted(Ticket),
    /// The request is queued; a later [`Effect`] decides it.
    Queued(Waiter),
    /// No slot is granted.
    Rejected(Rejection),
}

/// Why a slot request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The upstream is draining or is not managed by this instance.
    Closed,
    /// No slot becomes free within the wait. Holds the expected wait in milliseconds.
    Busy(u64),
}

/// The outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A slot is granted.
    Granted(Waiter, Ticket),
    /// No slot is granted.
    Rejected(Waiter, Rejection),
}

/// A load report of an upstream, or the assumed load of one that does not report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Maximum concurrent calls.
    pub slots: u32,
    /// Calls that run or wait at the upstream; `None` if the upstream does not count them.
    pub calls: Option<u32>,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// A summary of an upstream's slots and queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Maximum concurrent grants under this instance's authority.
    pub slots: u32,
    /// Slots in use, including those granted by a former home.
    pub in_use: u32,
    /// Queued requests.
    pub waiting: usize,
    /// Expected wait of a new request, in milliseconds.
    pub wait_ms: u64,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// The upstreams for which this instance is the home or the standby.
#[derive(Debug)]
pub struct Home {
    upstreams: BTreeMap<id::Upstream, UpstreamSlots>,
    last_number: u64,
}

impl Home {
    /// Creates a home without upstreams.
    ///
    /// Tickets are numbered from `first_ticket`. The ticket ranges of two homes must not overlap.
    #[must_use]
    pub const fn new(first_ticket: u64) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            last_number: first_ticket,
        }
    }

    /// Assumes an authority for an upstream, with no slots until its first report.
    ///
    /// A change between home and standby retains the grants that this instance issued. Returns
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

    /// Drops the authority for an upstream and rejects its queued requests.
    pub fn drop_authority(&mut self, upstream: &id::Upstream) -> Vec<Effect> {
        let removed = self.upstreams.remove(upstream);
        removed.map_or_else(Vec::new, UpstreamSlots::close)
    }

    /// Applies a load report and grants the slots that it frees to queued requests.
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

    /// Requests a slot.
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

    /// Releases a slot and grants it to the next queued request.
    ///
    /// A ticket that this instance did not issue is counted as one of a former home.
    pub fn release(&mut self, now: Time, upstream: &id::Upstream, ticket: Ticket) -> Vec<Effect> {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        entry.release(now, ticket);
        entry.serve(now, &mut self.last_number)
    }

    /// Cancels a queued request and returns whether it was still queued.
    ///
    /// If the request was granted in the meantime, the caller must release its ticket.
    pub fn cancel(&mut self, upstream: &id::Upstream, waiter: Waiter) -> bool {
        let entry = self.upstreams.get_mut(upstream);
        entry.is_some_and(|entry| entry.cancel(waiter))
    }

    /// Revokes expired grants and rejects queued requests past their deadline.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for entry in self.upstreams.values_mut() {
            entry.expire_grants(now);
            effects.extend(entry.serve(now, &mut self.last_number));
            effects.extend(entry.expire_waits(now));
        }
        effects
    }

    /// Returns the summary of an upstream, or `None` if it is not managed here.
    #[must_use]
    pub fn digest(&self, upstream: &id::Upstream) -> Option<Digest> {
        self.upstreams.get(upstream).map(UpstreamSlots::digest)
    }

    /// Returns the managed upstreams with the authority for each.
    pub fn upstreams(&self) -> impl Iterator<Item = (&id::Upstream, Authority)> {
        let entries = self.upstreams.iter();
        entries.map(|(upstream, entry)| (upstream, entry.authority()))
    }
}
