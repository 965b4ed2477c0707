//! Polls the engines homed here.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::home::Authority;
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use tokio::sync::Semaphore;
use tokio::time::{MissedTickBehavior, interval};

use super::{Handle, authority};
use crate::log::{Event, event};

/// Engines that are polled at once.
const POLLS_AT_ONCE: usize = 32;

/// Time between two looks at waits and grants that have run out.
const EXPIRY: Duration = Duration::from_millis(50);

/// Takes and gives up authorities, and polls the engines, every `poll_ms` milliseconds.
pub(super) async fn run(handle: Handle, poll_ms: u64) {
    let permits = Arc::new(Semaphore::new(POLLS_AT_ONCE));
    let mut ticks = interval(Duration::from_millis(poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for listing in handle.adopt() {
            if handle.table().polling.insert(listing.id.clone()) {
                tokio::spawn(poll(handle.clone(), listing, Arc::clone(&permits)));
            }
        }
    }
}

/// Ends waits and voids grants whose time has run out.
pub(super) async fn expire(handle: Handle) {
    let mut ticks = interval(EXPIRY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = handle.shared.clock.now();
        let mut table = handle.table();
        let effects = table.home.expire(now);
        table.tell(effects);
    }
}

/// Polls one engine once.
async fn poll(handle: Handle, listing: Listing, permits: Arc<Semaphore>) {
    let _permit = permits.acquire_owned().await;
    handle.poll_load(&listing).await;
    handle.poll_cache(&listing).await;
    handle.table().polling.remove(&listing.id);
}

impl Handle {
    /// Takes the authorities that fell to this instance, gives up the others, and returns the engines
    /// that it holds one for.
    fn adopt(&self) -> Vec<Listing> {
        let listed = self.shared.upstreams.read(|view| {
            let all = view.iter();
            let all = all.map(|listing| (listing.clone(), view.accepts_work(&listing.id)));
            all.collect::<Vec<_>>()
        });
        let members = &self.shared.members;
        let held = listed.into_iter().filter_map(|(listing, open)| {
            let authority = authority::own(members, &listing.id)?;
            Some((listing, open, authority))
        });
        let held: Vec<_> = held.collect();
        self.give_up(&held.iter().map(|(listing, ..)| &listing.id).collect());
        let now = self.shared.clock.now();
        let mut table = self.table();
        for (listing, open, authority) in &held {
            if table.home.set_authority(now, &listing.id, *authority) {
                self.gained(listing, *authority);
            }
            table.report(now, listing, *open);
        }
        drop(table);
        let listings = held.into_iter().map(|(listing, ..)| listing);
        listings
            .filter(|listing| listing.role == Role::Engine)
            .collect()
    }

    /// Takes note of a new authority. What a former home said of a plain service is forgotten, since
    /// the service itself says nothing.
    fn gained(&self, listing: &Listing, authority: Authority) {
        if authority != Authority::Home {
            return;
        }
        if listing.role == Role::Service {
            self.shared.upstreams.report(&listing.id, false);
        }
        event!(self.shared.log, Event::HomeGained, "upstream" => listing.id.to_string());
    }

    fn give_up(&self, held: &std::collections::BTreeSet<&id::Upstream>) {
        let mut table = self.table();
        let known = table.home.upstreams().map(|(upstream, _)| upstream);
        let gone: Vec<_> = known
            .filter(|upstream| !held.contains(upstream))
            .cloned()
            .collect();
        for upstream in gone {
            table.abandon(&upstream);
            event!(self.shared.log, Event::HomeLost, "upstream" => upstream.to_string());
        }
    }

    async fn poll_load(&self, listing: &Listing) {
        let load = self.shared.client.load(listing.address).await.ok();
        if let Some(load) = &load {
            self.shared.upstreams.report(&listing.id, load.leaving);
        }
        let open = self
            .shared
            .upstreams
            .read(|view| view.accepts_work(&listing.id));
        let now = self.shared.clock.now();
        let mut table = self.table();
        if table.note_load(&listing.id, load) {
            event!(self.shared.log, Event::UpstreamDown, "upstream" => listing.id.to_string());
        }
        table.report(now, listing, open);
    }

    /// Reads the new cache events, and everything that is held if some were missed.
    async fn poll_cache(&self, listing: &Listing) {
        let engine = self.table().engines.get(&listing.id).cloned();
        let Some(engine) = engine else {
            return;
        };
        let after = engine.cache.sequence();
        let events = self.shared.client.events(listing.address, after).await;
        if let Ok(events) = events {
            let now = self.shared.clock.now();
            self.table().note_events(now, &listing.id, &events.events);
        }
        let stale = |engine: &super::table::Engine| engine.cache.is_stale();
        if !self.table().engines.get(&listing.id).is_some_and(stale) {
            return;
        }
        event!(self.shared.log, Event::CacheViewStale, "upstream" => listing.id.to_string());
        if let Ok(holders) = self.shared.client.holders(listing.address).await {
            self.table().note_holders(&listing.id, &holders);
        }
    }
}
