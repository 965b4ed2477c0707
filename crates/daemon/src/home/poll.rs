//! Updates the authorities of this instance, and polls the engines that it has one for.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::home::Authority;
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use tokio::sync::Semaphore;
use tokio::time::{MissedTickBehavior, interval};

use super::{Handle, authority};
use crate::log::{Event, event};

/// Maximum number of engines polled concurrently.
const MAX_CONCURRENT_POLLS: usize = 32;

/// Time between two checks for expired waits and grants.
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// Updates the authorities and polls the engines every `poll_ms` milliseconds.
pub(super) async fn run(handle: Handle, poll_ms: u64) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS));
    let mut ticks = interval(Duration::from_millis(poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for listing in handle.update_authorities() {
            if handle.state().polling.insert(listing.id.clone()) {
                tokio::spawn(poll_engine(handle.clone(), listing, Arc::clone(&permits)));
            }
        }
    }
}

/// Ends queued requests and grants whose time has expired, periodically.
pub(super) async fn run_expiry(handle: Handle) {
    let mut ticks = interval(EXPIRY_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = handle.shared.clock.now();
        let mut state = handle.state();
        let effects = state.home.expire(now);
        state.notify_waiters(effects);
    }
}

/// Polls an engine's load and cache once.
async fn poll_engine(handle: Handle, listing: Listing, permits: Arc<Semaphore>) {
    let _permit = permits.acquire_owned().await;
    handle.poll_load(&listing).await;
    handle.poll_cache(&listing).await;
    handle.state().polling.remove(&listing.id);
}

impl Handle {
    /// Sets the authority for each upstream that this instance is the home or standby of, drops the
    /// others, and returns the engines among the upstreams that remain.
    fn update_authorities(&self) -> Vec<Listing> {
        let listed = self.shared.upstreams.query(|view| {
            let listings = view.iter();
            let listings =
                listings.map(|listing| (listing.clone(), view.accepts_work(&listing.id)));
            listings.collect::<Vec<_>>()
        });
        let members = &self.shared.members;
        let current = listed.into_iter().filter_map(|(listing, accepts_work)| {
            let authority = authority::own_authority(members, &listing.id)?;
            Some((listing, accepts_work, authority))
        });
        let current: Vec<_> = current.collect();
        self.drop_lost_authorities(&current.iter().map(|(listing, ..)| &listing.id).collect());
        let now = self.shared.clock.now();
        let mut state = self.state();
        for (listing, accepts_work, authority) in &current {
            if state.home.set_authority(now, &listing.id, *authority) {
                self.on_authority_gained(listing, *authority);
            }
            state.update_home(now, listing, *accepts_work);
        }
        drop(state);
        let listings = current.into_iter().map(|(listing, ..)| listing);
        listings
            .filter(|listing| listing.role == Role::Engine)
            .collect()
    }

    /// Handles a new authority over an upstream.
    ///
    /// As the home of a plain service, clears the draining state that the former home reported, since
    /// the service itself reports none.
    fn on_authority_gained(&self, listing: &Listing, authority: Authority) {
        if authority != Authority::Home {
            return;
        }
        if listing.role == Role::Service {
            self.shared.upstreams.set_draining(&listing.id, false);
        }
        event!(self.shared.log, Event::HomeGained, "upstream" => listing.id.to_string());
    }

    fn drop_lost_authorities(&self, current: &std::collections::BTreeSet<&id::Upstream>) {
        let mut state = self.state();
        let upstreams = state.home.upstreams().map(|(upstream, _)| upstream);
        let lost: Vec<_> = upstreams
            .filter(|upstream| !current.contains(upstream))
            .cloned()
            .collect();
        for upstream in lost {
            state.drop_authority(&upstream);
            event!(self.shared.log, Event::HomeLost, "upstream" => upstream.to_string());
        }
    }

    async fn poll_load(&self, listing: &Listing) {
        let load = self.shared.client.fetch_load(listing.address).await.ok();
        if let Some(load) = &load {
            self.shared
                .upstreams
                .set_draining(&listing.id, load.leaving);
        }
        let accepts_work = self
            .shared
            .upstreams
            .query(|view| view.accepts_work(&listing.id));
        let now = self.shared.clock.now();
        let mut state = self.state();
        if state.record_load(&listing.id, load) {
            event!(self.shared.log, Event::UpstreamDown, "upstream" => listing.id.to_string());
        }
        state.update_home(now, listing, accepts_work);
    }

    /// Reads the new cache events. If some were missed, reads the whole list of cache holders.
    async fn poll_cache(&self, listing: &Listing) {
        let engine = self.state().engines.get(&listing.id).cloned();
        let Some(engine) = engine else {
            return;
        };
        let after = engine.cache.sequence();
        let events = self
            .shared
            .client
            .fetch_cache_events(listing.address, after)
            .await;
        if let Ok(events) = events {
            let now = self.shared.clock.now();
            self.state()
                .apply_cache_events(now, &listing.id, &events.events);
        }
        let stale = |engine: &super::state::EngineStatus| engine.cache.is_stale();
        if !self.state().engines.get(&listing.id).is_some_and(stale) {
            return;
        }
        event!(self.shared.log, Event::CacheViewStale, "upstream" => listing.id.to_string());
        if let Ok(holders) = self.shared.client.fetch_holders(listing.address).await {
            self.state().replace_cache_holders(&listing.id, &holders);
        }
    }
}
