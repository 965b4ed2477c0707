//! Slots, grants and queue of a single upstream.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Authority, Digest, Effect, GRANT_TTL_MS, LOST_GRANT_MS, REPORT_LAG_MS, Rejection, Report,
    STANDBY_SHARE_DIVISOR, SlotRequest, SlotResponse, Ticket, Waiter,
};
use crate::clock::Time;
use crate::id;
use crate::queue::{Key, Queue, Rank};

/// Divisor of the smoothed mean (EWMA) of the time that a slot is held: the newest sample weighs
/// one in this many.
const HOLD_EWMA_DIVISOR: u64 = 8;

/// Expected hold time of a slot before the first sample, in milliseconds.
const INITIAL_HOLD_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) struct UpstreamSlots {
    authority: Authority,
    authority_since: Time,
    /// Slots that this instance may grant under its authority.
    slots: u32,
    /// Estimated number of running calls that a former home granted.
    former_grants: u32,
    /// Whether the upstream's reports include its number of calls.
    reports_calls: bool,
    draining: bool,
    mean_hold_ms: u64,
    grants: BTreeMap<Ticket, Time>,
    /// The same grants, oldest first.
    grants_by_age: BTreeSet<(Time, Ticket)>,
    missing: Option<MissingGrants>,
    queue: Queue<Waiter>,
    waiting: BTreeMap<Waiter, Wait>,
    deadlines: BTreeSet<(Time, Waiter)>,
    /// Number of queued requests by account.
    backlogs: BTreeMap<id::Account, u32>,
}

/// The lowest number of grants missing from every report since `since`.
#[derive(Clone, Copy, Debug)]
struct MissingGrants {
    since: Time,
    grants: u32,
}

#[derive(Debug)]
struct Wait {
    key: Key,
    deadline: Time,
    account: id::Account,
}

impl UpstreamSlots {
    pub(super) fn new(now: Time, authority: Authority) -> Self {
        Self {
            authority,
            authority_since: now,
            slots: 0,
            former_grants: 0,
            reports_calls: true,
            draining: false,
            mean_hold_ms: INITIAL_HOLD_MS,
            grants: BTreeMap::new(),
            grants_by_age: BTreeSet::new(),
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

    /// Changes the authority and returns whether it differs from the previous one.
    ///
    /// Slots and former grants are reset, since other instances may have granted slots in the
    /// meantime.
    pub(super) fn set_authority(&mut self, now: Time, authority: Authority) -> bool {
        if self.authority == authority {
            return false;
        }
        self.authority = authority;
        self.authority_since = now;
        self.slots = 0;
        self.former_grants = 0;
        true
    }

    pub(super) fn apply_report(&mut self, now: Time, report: Report) {
        let share = report.slots / STANDBY_SHARE_DIVISOR;
        self.slots = match self.authority {
            Authority::Home => report.slots - share,
            Authority::Standby => share,
        };
        self.draining = report.draining;
        self.reports_calls = report.calls.is_some();
        let calls = match self.authority {
            Authority::Home => report.calls.unwrap_or(0),
            Authority::Standby => 0,
        };
        self.former_grants = self.estimate_former_grants(now, calls);
        if let Some(calls) = report.calls {
            self.observe_missing(now, calls);
        }
    }

    /// Revokes the oldest grants if reports have lacked them for [`LOST_GRANT_MS`]: their holders
    /// must have died.
    fn observe_missing(&mut self, now: Time, calls: u32) {
        let grants = self.reportable_grants(now).saturating_sub(calls);
        if grants == 0 {
            self.missing = None;
            return;
        }
        let missing = self
            .missing
            .get_or_insert(MissingGrants { since: now, grants });
        missing.grants = missing.grants.min(grants);
        if now.since(missing.since) < LOST_GRANT_MS {
            return;
        }
        for _ in 0..missing.grants {
            self.grants_by_age
                .pop_first()
                .map(|(_, ticket)| self.grants.remove(&ticket));
        }
        self.missing = None;
    }

    /// Returns the number of own grants that are old enough to be included in every report.
    fn reportable_grants(&self, now: Time) -> u32 {
        let grants = self.grants_by_age.iter();
        grants
            .take_while(|(at, _)| now.since(*at) >= REPORT_LAG_MS)
            .count() as u32
    }

    /// Estimates the calls granted by a former home from a report of `calls`.
    ///
    /// Only own grants older than the report lag are subtracted, because younger ones may not be
    /// reported yet. After the report lag has passed, the estimate only decreases.
    fn estimate_former_grants(&self, now: Time, calls: u32) -> u32 {
        let age = now.since(self.authority_since);
        if age >= GRANT_TTL_MS {
            return 0;
        }
        let unaccounted = calls.saturating_sub(self.reportable_grants(now));
        if self.is_settling(now) {
            self.former_grants.max(unaccounted)
        } else {
            self.former_grants.min(unaccounted)
        }
    }

    /// Returns whether calls granted by a former home may still be missing from reports.
    fn is_settling(&self, now: Time) -> bool {
        self.reports_calls
            && self.authority == Authority::Home
            && now.since(self.authority_since) < REPORT_LAG_MS
    }

    fn in_use(&self) -> u32 {
        self.grants.len() as u32 + self.former_grants
    }

    fn free(&self, now: Time) -> u32 {
        if self.is_settling(now) {
            return 0;
        }
        self.slots.saturating_sub(self.in_use())
    }

    /// Returns the expected wait of a new request in milliseconds.
    fn wait_ms(&self) -> u64 {
        if self.slots > self.in_use() && self.queue.is_empty() {
            return 0;
        }
        let queued = self.queue.len() as u64 + 1;
        queued * self.mean_hold_ms / u64::from(self.slots.max(1))
    }

    pub(super) fn request_slot(
        &mut self,
        now: Time,
        request: &SlotRequest,
        last_number: &mut u64,
    ) -> SlotResponse {
        if self.draining || (self.authority == Authority::Standby && self.slots == 0) {
            return SlotResponse::Rejected(Rejection::Closed);
        }
        *last_number += 1;
        if self.free(now) > 0 && self.queue.is_empty() {
            let ticket = Ticket(*last_number);
            self.grant(now, ticket);
            return SlotResponse::Granted(ticket);
        }
        let wait_ms = self.wait_ms();
        if request.wait_ms == 0 || wait_ms > request.wait_ms {
            return SlotResponse::Rejected(Rejection::Busy(wait_ms));
        }
        let waiter = Waiter(*last_number);
        self.enqueue(now, waiter, request);
        SlotResponse::Queued(waiter)
    }

    fn grant(&mut self, now: Time, ticket: Ticket) {
        self.grants.insert(ticket, now);
        self.grants_by_age.insert((now, ticket));
    }

    fn enqueue(&mut self, now: Time, waiter: Waiter, request: &SlotRequest) {
        let backlog = self.backlogs.entry(request.account.clone()).or_default();
        let rank = Rank {
            arrived: now.before(request.waited_ms),
            attained: request.attained,
            cached: request.cached,
            backlog: *backlog,
        };
        *backlog += 1;
        let wait = Wait {
            key: self.queue.push(rank, waiter),
            deadline: now.after(request.wait_ms),
            account: request.account.clone(),
        };
        self.deadlines.insert((wait.deadline, waiter));
        self.waiting.insert(waiter, wait);
    }

    pub(super) fn release(&mut self, now: Time, ticket: Ticket) {
        let Some(since) = self.grants.remove(&ticket) else {
            self.former_grants = self.former_grants.saturating_sub(1);
            return;
        };
        self.grants_by_age.remove(&(since, ticket));
        let sample = now.since(since);
        self.mean_hold_ms =
            (self.mean_hold_ms * (HOLD_EWMA_DIVISOR - 1) + sample) / HOLD_EWMA_DIVISOR;
    }

    pub(super) fn cancel(&mut self, waiter: Waiter) -> bool {
        let key = self.remove_waiter(waiter);
        key.is_some_and(|key| self.queue.remove(key).is_some())
    }

    /// Grants free slots to queued requests, or rejects all of them if the upstream is draining.
    pub(super) fn serve(&mut self, now: Time, last_number: &mut u64) -> Vec<Effect> {
        if self.draining {
            return self.reject_all();
        }
        let mut effects = Vec::new();
        while self.free(now) > 0 {
            let Some(waiter) = self.pop_waiter() else {
                break;
            };
            *last_number += 1;
            let ticket = Ticket(*last_number);
            self.grant(now, ticket);
            effects.push(Effect::Granted(waiter, ticket));
        }
        effects
    }

    pub(super) fn close(mut self) -> Vec<Effect> {
        self.reject_all()
    }

    fn reject_all(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(waiter) = self.pop_waiter() {
            effects.push(Effect::Rejected(waiter, Rejection::Closed));
        }
        effects
    }

    fn pop_waiter(&mut self) -> Option<Waiter> {
        let waiter = self.queue.pop()?;
        self.remove_waiter(waiter);
        Some(waiter)
    }

    /// Removes the data of a queued request and returns its key in the queue.
    fn remove_waiter(&mut self, waiter: Waiter) -> Option<Key> {
        let wait = self.waiting.remove(&waiter)?;
        self.deadlines.remove(&(wait.deadline, waiter));
        if let Some(backlog) = self.backlogs.get_mut(&wait.account) {
            *backlog -= 1;
            if *backlog == 0 {
                self.backlogs.remove(&wait.account);
            }
        }
        Some(wait.key)
    }

    pub(super) fn expire_grants(&mut self, now: Time) {
        while let Some(&(since, ticket)) = self.grants_by_age.first() {
            if now.since(since) < GRANT_TTL_MS {
                break;
            }
            self.grants_by_age.pop_first();
            self.grants.remove(&ticket);
        }
    }

    pub(super) fn expire_waits(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(&(deadline, waiter)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.cancel(waiter);
            let rejection = Rejection::Busy(self.wait_ms());
            effects.push(Effect::Rejected(waiter, rejection));
        }
        effects
    }

    pub(super) fn digest(&self) -> Digest {
        Digest {
            slots: self.slots,
            in_use: self.in_use(),
            waiting: self.queue.len(),
            wait_ms: self.wait_ms(),
            draining: self.draining,
        }
    }
}
