//! The state of the homes: slots, queues, engine loads, caches and queued requests.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::cache;
use basilramp_core::clock::Time;
use basilramp_core::home::{Authority, Effect, Home, Rejection, Report, Ticket, Waiter};
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::engine::{CacheEvent, Holders, LoadReport};
use basilramp_wire::frame;
use tokio::sync::oneshot;

/// Slots assumed for a plain service, which reports no slot count.
const PLAIN_SERVICE_SLOTS: u32 = 64;

/// Consecutive failed polls after which an engine receives no new work.
const MAX_MISSED_POLLS: u32 = 3;

/// The result of a queued request.
pub(super) type Outcome = Result<Ticket, Rejection>;

#[derive(Debug)]
pub(super) struct HomeState {
    pub(super) home: Home,
    pub(super) engines: BTreeMap<id::Upstream, EngineStatus>,
    /// Engines with a poll in progress.
    pub(super) polling: BTreeSet<id::Upstream>,
    waiters: BTreeMap<Waiter, oneshot::Sender<Outcome>>,
}

/// The last reported status of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineStatus {
    pub(super) load: LoadReport,
    pub(super) cache: cache::View,
    /// Whether any poll has succeeded.
    reported: bool,
    /// Consecutive failed polls.
    missed_polls: u32,
}

impl HomeState {
    pub(super) fn new(first_ticket: u64) -> Self {
        Self {
            home: Home::new(first_ticket),
            engines: BTreeMap::new(),
            polling: BTreeSet::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// Registers a queued request and returns the receiver of its outcome.
    pub(super) fn register_waiter(&mut self, waiter: Waiter) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        receiver
    }

    /// Cancels a queued request.
    pub(super) fn cancel_waiter(&mut self, upstream: &id::Upstream, waiter: Waiter) {
        self.home.cancel(upstream, waiter);
        self.waiters.remove(&waiter);
    }

    /// Sends queued requests their outcomes.
    pub(super) fn notify_waiters(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let (waiter, outcome) = match effect {
                Effect::Granted(waiter, ticket) => (waiter, Ok(ticket)),
                Effect::Rejected(waiter, rejection) => (waiter, Err(rejection)),
            };
            if let Some(sender) = self.waiters.remove(&waiter) {
                // A dropped receiver is a request that is being cancelled; its drop releases the slot.
                let _ = sender.send(outcome);
            }
        }
    }

    /// Removes an upstream that this instance is no longer the home or standby of, and rejects its
    /// queued requests.
    pub(super) fn drop_authority(&mut self, upstream: &id::Upstream) {
        self.engines.remove(upstream);
        let effects = self.home.drop_authority(upstream);
        self.notify_waiters(effects);
    }

    /// Records the load from a poll of an engine, or `None` for a failed poll.
    ///
    /// Returns whether this poll is the one after which the engine counts as down.
    pub(super) fn record_load(
        &mut self,
        upstream: &id::Upstream,
        load: Option<LoadReport>,
    ) -> bool {
        let engine = self.engines.entry(upstream.clone()).or_default();
        let Some(load) = load else {
            engine.missed_polls += 1;
            return engine.missed_polls == MAX_MISSED_POLLS;
        };
        engine.missed_polls = 0;
        engine.reported = true;
        engine.cache.observe_epoch(load.epoch);
        engine.load = load;
        false
    }

    /// Applies an engine's cache events. Events whose holder is not a program id are skipped.
    pub(super) fn apply_cache_events(
        &mut self,
        now: Time,
        upstream: &id::Upstream,
        events: &[CacheEvent],
    ) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        for event in events {
            let Ok(program) = event.holder.parse() else {
                continue;
            };
            let event = cache::Event {
                sequence: event.sequence,
                program,
                tokens: event.tokens,
            };
            engine.cache.apply(now, event);
        }
    }

    /// Replaces the view of an engine's cache with its list of holders.
    pub(super) fn replace_cache_holders(&mut self, upstream: &id::Upstream, holders: &Holders) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let holders = holders.holders.iter();
        let cached = holders.filter_map(|entry| Some((entry.holder.parse().ok()?, entry.tokens)));
        engine.cache.replace(cached);
    }

    /// Returns whether an engine is believed to cache a program's prefix.
    pub(super) fn is_cached(
        &self,
        now: Time,
        upstream: &id::Upstream,
        program: id::Program,
    ) -> bool {
        let engine = self.engines.get(upstream);
        engine.is_some_and(|engine| engine.cache.tokens(now, program) > 0)
    }

    /// Returns an engine's last load, unless the last poll failed.
    pub(super) fn last_load(&self, upstream: &id::Upstream) -> Option<&LoadReport> {
        let engine = self.engines.get(upstream)?;
        let is_responding = engine.reported && engine.missed_polls == 0;
        is_responding.then_some(&engine.load)
    }

    /// Updates an upstream's home with the slots and load that are known, and notifies queued
    /// requests of the effects.
    pub(super) fn update_home(&mut self, now: Time, listing: &Listing, accepts_work: bool) {
        let report = match (listing.role, self.engines.get(&listing.id)) {
            (Role::Service, _) => Report {
                slots: PLAIN_SERVICE_SLOTS,
                calls: None,
                draining: !accepts_work,
            },
            (Role::Engine, Some(engine)) if engine.reported => Report {
                slots: engine.load.slots,
                calls: Some(engine.load.running + engine.load.waiting),
                draining: !accepts_work || engine.missed_polls >= MAX_MISSED_POLLS,
            },
            (Role::Engine, _) => return,
        };
        let effects = self.home.apply_report(now, &listing.id, report);
        self.notify_waiters(effects);
    }

    /// Returns a digest of each upstream homed here.
    pub(super) fn digests(&self) -> Vec<frame::UpstreamDigest> {
        let homed = self.home.upstreams();
        let homed = homed.filter(|(_, authority)| *authority == Authority::Home);
        homed
            .filter_map(|(upstream, _)| self.digest(upstream))
            .collect()
    }

    fn digest(&self, upstream: &id::Upstream) -> Option<frame::UpstreamDigest> {
        let home_digest = self.home.digest(upstream)?;
        let load = self.engines.get(upstream).map(|engine| &engine.load);
        Some(frame::UpstreamDigest {
            upstream: upstream.to_string(),
            models: load.map(|load| load.models.clone()).unwrap_or_default(),
            slots: home_digest.slots,
            free: home_digest.slots.saturating_sub(home_digest.in_use),
            wait_ms: home_digest.wait_ms,
            cached_tokens: load.map_or(0, |load| load.cached_tokens),
            cache_tokens: load.map_or(0, |load| load.cache_tokens),
            leaving: home_digest.draining,
        })
    }
}
