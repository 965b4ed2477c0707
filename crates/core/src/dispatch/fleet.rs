//! State of the upstreams, as this instance knows it from their discovery entries and from its own
//! attempts.

mod attempts;
mod leaving;
mod prefix_cache;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

pub use attempts::{AttemptOutcome, HealthChange};
use leaving::Leaving;
use prefix_cache::PrefixCache;
use slotmap::{SlotMap, new_key_type};

use super::outlier::{FailureRate, Health};
use super::rate_limit::{RateLimits, RequestClass};
use super::speed::ServiceSpeed;
use crate::clock::Time;
use crate::id;

new_key_type! {
    /// Key of an upstream in a [`Fleet`].
    pub struct UpstreamKey;
}

/// An upstream, as described by its discovery entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Id of the upstream. Most restarts get a new id.
    pub id: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and takes no new requests.
    pub is_draining: bool,
    /// Wall-clock start time in milliseconds. A different value means a restart.
    pub started_ms: u64,
}

impl Upstream {
    /// Returns the name of this run of the upstream's process, which may start again under its id.
    #[must_use]
    pub fn incarnation(&self) -> id::Upstream {
        id::Upstream::new(format!("{}@{}", self.id, self.started_ms))
    }
}

/// How long an upstream still gets requests after its entry was removed: well below the shortest
/// drain time, and long enough for an entry that is restored immediately.
const REMOVAL_GRACE_MS: u64 = 700;

/// How long after a store outage removed entries may reappear. The platform states about two
/// seconds; the rest is margin.
const RECOVERY_GRACE_MS: u64 = 2_300;

/// An upstream and what this instance has observed of it.
#[derive(Debug)]
pub struct UpstreamState {
    /// Content of its discovery entry.
    pub upstream: Upstream,
    /// When the removal of its entry was observed.
    removed_at: Option<Time>,
    /// Whether a different upstream responded at its address.
    is_displaced: bool,
    /// Requests of this instance in progress there.
    pub load: Load,
    /// Prompt parts that the upstream has read recently.
    pub prefix_cache: PrefixCache,
    /// Attempts since the last success that failed or were rejected.
    failures: u32,
    avoid_until: Time,
    health: Health,
    /// Smoothed mean (EWMA) of observed to expected response time; 1 is as expected.
    pub mean_latency_ratio: f64,
}

/// Load of this instance at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests in progress.
    pub requests: u32,
    /// Prompt tokens that the upstream has not read yet.
    pub unread_tokens: u64,
    /// Number of suspects among the requests in progress.
    pub suspects: u32,
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: SlotMap<UpstreamKey, UpstreamState>,
    by_id: BTreeMap<Arc<str>, UpstreamKey>,
    by_service: BTreeMap<Arc<str>, Vec<UpstreamKey>>,
    services: BTreeMap<Arc<str>, ServiceState>,
    rate_limits: RateLimits,
    leaving: Leaving,
    /// When the store recovered from its latest outage.
    store_recovered_at: Option<Time>,
}

/// What this instance has observed of a service as a whole.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    failure_rate: FailureRate,
    speed: ServiceSpeed,
}

impl Fleet {
    /// Applies the current content of a discovery entry.
    pub fn observe(&mut self, upstream: Upstream, now: Time) -> Change {
        let Some(&key) = self.by_id.get(&upstream.id) else {
            self.insert_entry(upstream, now);
            return Change::Joined;
        };
        let entry = &mut self.entries[key];
        let known = &entry.upstream;
        if known.started_ms != upstream.started_ms
            || known.address != upstream.address
            || known.service != upstream.service
            || known.version != upstream.version
        {
            self.remove_entry(key);
            self.insert_entry(upstream, now);
            return Change::Joined;
        }
        entry.removed_at = None;
        let is_newly_draining = upstream.is_draining && !known.is_draining;
        entry.upstream = upstream;
        if is_newly_draining {
            Change::Draining
        } else {
            Change::None
        }
    }

    /// Records that an entry was removed or no longer describes a valid upstream.
    pub fn remove(&mut self, id: &str, now: Time) -> Change {
        let Some(&key) = self.by_id.get(id) else {
            return Change::None;
        };
        let entry = &mut self.entries[key];
        if entry.removed_at.is_some() {
            return Change::None;
        }
        entry.removed_at = Some(now);
        Change::Draining
    }

    /// Applies a full list of the entries. Known upstreams that it does not contain count as
    /// removed.
    pub fn replace_all(&mut self, upstreams: Vec<Upstream>, now: Time) {
        let ids: Vec<_> = self.by_id.keys().cloned().collect();
        for id in ids {
            if !upstreams.iter().any(|upstream| upstream.id == id) {
                self.remove(&id, now);
            }
        }
        for upstream in upstreams {
            self.observe(upstream, now);
        }
    }

    /// Records that the store recovered from an outage.
    pub fn record_store_recovery(&mut self, now: Time) {
        self.store_recovered_at = Some(now);
    }

    /// Drops removed upstreams that get no new work and have no requests of this instance in
    /// progress.
    pub fn expire(&mut self, now: Time) {
        self.leaving.expire(now);
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.removed_at.is_some() && entry.load.requests == 0)
            .filter(|(_, entry)| !self.accepts_work(entry, now))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.remove_entry(key);
        }
    }

    /// Returns the upstreams of a service that accept requests.
    pub fn serving_upstreams(
        &self,
        service: &str,
        now: Time,
    ) -> impl Iterator<Item = (UpstreamKey, &UpstreamState)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .map(|key| (*key, &self.entries[*key]))
            .filter(move |(_, entry)| self.accepts_work(entry, now))
    }

    /// Returns the state of an upstream, or `None` if it was dropped.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.entries.get(key)
    }

    /// Returns the key of the upstream with an id.
    #[must_use]
    pub fn find_by_id(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamState)> {
        self.entries.iter()
    }

    /// Returns the measured speed of a service.
    #[must_use]
    pub fn speed(&self, service: &str) -> ServiceSpeed {
        let state = self.services.get(service);
        state.map(|state| state.speed).unwrap_or_default()
    }

    /// Returns the speed of a service, to record a measurement.
    pub fn speed_mut(&mut self, service: &Arc<str>) -> &mut ServiceSpeed {
        let state = self.services.entry(Arc::clone(service)).or_default();
        &mut state.speed
    }

    /// Drops the rate limits of upstreams that are gone. Returns these upstreams, whose rows have to
    /// be removed.
    pub fn expire_rate_limits(&mut self, now: Time) -> Vec<Arc<str>> {
        let by_id = &self.by_id;
        self.rate_limits.expire(|id| by_id.contains_key(id), now)
    }

    /// Returns the time until one of a service's upstreams may have a permit for a request, in
    /// milliseconds. Returns `None` if none of them keeps requests waiting for its rate limit.
    #[must_use]
    pub fn permit_wait_ms(&self, service: &str, class: RequestClass, now: Time) -> Option<u64> {
        let serving = self.serving_upstreams(service, now);
        let limited =
            serving.filter(|(_, entry)| self.rate_limits.rate(&entry.upstream.id).is_some());
        let waits = limited.map(|(_, entry)| {
            let id = &entry.upstream.id;
            self.rate_limits.blocked_ms(id, class, now)
        });
        waits.min()
    }

    /// Returns the rate limits of the upstreams.
    #[must_use]
    pub const fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Returns the rate limits of the upstreams, to record what is observed of them.
    pub const fn rate_limits_mut(&mut self) -> &mut RateLimits {
        &mut self.rate_limits
    }

    /// Returns the services with the software versions of their upstreams, whether these accept
    /// requests or are draining.
    #[must_use]
    pub fn versions(&self, now: Time) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut services = BTreeMap::<_, BTreeSet<_>>::new();
        let entries = self.entries.values();
        for entry in entries.filter(|entry| self.is_listed(entry, now)) {
            let versions = services.entry(Arc::clone(&entry.upstream.service));
            let versions = versions.or_default();
            versions.insert(Arc::clone(&entry.upstream.version));
        }
        services
    }

    /// Returns whether an upstream of a service with a software version accepts requests.
    #[must_use]
    pub fn serves_version(&self, service: &str, version: &str, now: Time) -> bool {
        self.serving_upstreams(service, now)
            .any(|(_, entry)| *entry.upstream.version == *version)
    }

    /// Returns whether an upstream accepts requests.
    #[must_use]
    pub fn is_serving(&self, key: UpstreamKey, now: Time) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| self.accepts_work(entry, now))
    }

    fn accepts_work(&self, entry: &UpstreamState, now: Time) -> bool {
        let has_left = entry.upstream.is_draining
            || entry.is_displaced
            || self.leaving.contains(&entry.upstream);
        !has_left && self.is_listed(entry, now)
    }

    /// Returns whether an upstream has an entry, or may have one again soon.
    fn is_listed(&self, entry: &UpstreamState, now: Time) -> bool {
        let Some(removed_at) = entry.removed_at else {
            return true;
        };
        let may_return = self.store_recovered_at.is_some_and(|recovered_at| {
            now.since(recovered_at) < RECOVERY_GRACE_MS
                && removed_at.after(RECOVERY_GRACE_MS) >= recovered_at
        });
        may_return || now.since(removed_at) < REMOVAL_GRACE_MS
    }

    fn insert_entry(&mut self, upstream: Upstream, now: Time) {
        let id = Arc::clone(&upstream.id);
        let service = Arc::clone(&upstream.service);
        let key = self.entries.insert(UpstreamState {
            upstream,
            removed_at: None,
            is_displaced: false,
            load: Load::default(),
            prefix_cache: PrefixCache::default(),
            failures: 0,
            avoid_until: now,
            health: Health::default(),
            mean_latency_ratio: 1.0,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn remove_entry(&mut self, key: UpstreamKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.by_id.remove(&entry.upstream.id);
        if let Some(keys) = self.by_service.get_mut(&entry.upstream.service) {
            keys.retain(|other| *other != key);
        }
    }
}

impl UpstreamState {
    /// Returns for how many more milliseconds other upstreams are preferred.
    #[must_use]
    pub const fn avoid_remaining_ms(&self, now: Time) -> u64 {
        self.avoid_until.since(now)
    }

    /// Returns the upstream's health.
    #[must_use]
    pub const fn health(&self) -> &Health {
        &self.health
    }
}

/// Effect of an entry on the upstreams that accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect on placement.
    None,
    /// A new upstream accepts requests.
    Joined,
    /// An upstream stops accepting requests, immediately or after its grace period.
    Draining,
}
