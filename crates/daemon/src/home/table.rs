//! The state of the homes: slots and queues, loads, caches, and who waits.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::cache;
use basilramp_core::clock::Time;
use basilramp_core::home::{Authority, Effect, Home, Rejection, Report, Ticket, Waiter};
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::engine::{CacheEvent, Holders, Load};
use basilramp_wire::frame;
use tokio::sync::oneshot;

/// Slots of a plain service, which reports none.
const SERVICE_SLOTS: u32 = 64;

/// Consecutive polls without an answer after which an engine is given no new work.
const MISSED_POLLS: u32 = 3;

/// What became of a request that waited.
pub(super) type Outcome = Result<Ticket, Rejection>;

#[derive(Debug)]
pub(super) struct Table {
    pub(super) home: Home,
    pub(super) engines: BTreeMap<id::Upstream, Engine>,
    pub(super) polling: BTreeSet<id::Upstream>,
    waiters: BTreeMap<Waiter, oneshot::Sender<Outcome>>,
}

/// What an engine said of itself.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) load: Load,
    pub(super) cache: cache::View,
    reported: bool,
    missed: u32,
}

impl Table {
    pub(super) fn new(first_ticket: u64) -> Self {
        Self {
            home: Home::new(first_ticket),
            engines: BTreeMap::new(),
            polling: BTreeSet::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// Registers a request that waits.
    pub(super) fn expect(&mut self, waiter: Waiter) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        receiver
    }

    /// Withdraws a request that waits.
    pub(super) fn withdraw(&mut self, upstream: &id::Upstream, waiter: Waiter) {
        self.home.cancel(upstream, waiter);
        self.waiters.remove(&waiter);
    }

    /// Tells those who waited what became of their requests.
    pub(super) fn tell(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let (waiter, outcome) = match effect {
                Effect::Granted(waiter, ticket) => (waiter, Ok(ticket)),
                Effect::Rejected(waiter, refusal) => (waiter, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(&waiter) {
                // Whoever is gone takes care of its request, and of its grant, when it goes.
                let _ = sender.send(outcome);
            }
        }
    }

    /// Gives an authority up.
    pub(super) fn abandon(&mut self, upstream: &id::Upstream) {
        self.engines.remove(upstream);
        let effects = self.home.drop_authority(upstream);
        self.tell(effects);
    }

    /// Notes an engine's load, or that it did not tell.
    ///
    /// Returns whether the engine has just been found down.
    pub(super) fn note_load(&mut self, upstream: &id::Upstream, load: Option<Load>) -> bool {
        let engine = self.engines.entry(upstream.clone()).or_default();
        let Some(load) = load else {
            engine.missed += 1;
            return engine.missed == MISSED_POLLS;
        };
        engine.missed = 0;
        engine.reported = true;
        engine.cache.observe_epoch(load.epoch);
        engine.load = load;
        false
    }

    /// Notes an engine's cache events.
    pub(super) fn note_events(
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

    /// Notes everything that an engine holds.
    pub(super) fn note_holders(&mut self, upstream: &id::Upstream, holders: &Holders) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let holding = holders.holders.iter();
        let held = holding.filter_map(|held| Some((held.holder.parse().ok()?, held.tokens)));
        engine.cache.replace(held);
    }

    /// Tells whether an engine is believed to hold a program's prefix.
    pub(super) fn holds(&self, now: Time, upstream: &id::Upstream, program: id::Program) -> bool {
        let engine = self.engines.get(upstream);
        engine.is_some_and(|engine| engine.cache.tokens(now, program) > 0)
    }

    /// Returns an engine's last load, if it still answers.
    pub(super) fn load(&self, upstream: &id::Upstream) -> Option<&Load> {
        let engine = self.engines.get(upstream)?;
        let answers = engine.reported && engine.missed == 0;
        answers.then_some(&engine.load)
    }

    /// Passes what is known of an upstream on to its home.
    pub(super) fn report(&mut self, now: Time, listing: &Listing, open: bool) {
        let report = match (listing.role, self.engines.get(&listing.id)) {
            (Role::Service, _) => Report {
                slots: SERVICE_SLOTS,
                calls: None,
                draining: !open,
            },
            (Role::Engine, Some(engine)) if engine.reported => Report {
                slots: engine.load.slots,
                calls: Some(engine.load.running + engine.load.waiting),
                draining: !open || engine.missed >= MISSED_POLLS,
            },
            (Role::Engine, _) => return,
        };
        let effects = self.home.apply_report(now, &listing.id, report);
        self.tell(effects);
    }

    /// Returns what is known of the upstreams homed here.
    pub(super) fn digests(&self) -> Vec<frame::Digest> {
        let homed = self.home.upstreams();
        let homed = homed.filter(|(_, authority)| *authority == Authority::Home);
        homed
            .filter_map(|(upstream, _)| self.digest(upstream))
            .collect()
    }

    fn digest(&self, upstream: &id::Upstream) -> Option<frame::Digest> {
        let known = self.home.digest(upstream)?;
        let load = self.engines.get(upstream).map(|engine| &engine.load);
        Some(frame::Digest {
            upstream: upstream.to_string(),
            models: load.map(|load| load.models.clone()).unwrap_or_default(),
            slots: known.slots,
            free: known.slots.saturating_sub(known.in_use),
            wait_ms: known.wait_ms,
            cached_tokens: load.map_or(0, |load| load.cached_tokens),
            cache_tokens: load.map_or(0, |load| load.cache_tokens),
            leaving: known.draining,
        })
    }
}
