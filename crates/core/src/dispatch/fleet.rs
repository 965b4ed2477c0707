//! Which upstreams take work, and what this instance knows of each.

mod prefix_cache;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use prefix_cache::PrefixCache;
use slotmap::{SlotMap, new_key_type};

use super::request::PromptPart;
use crate::clock::Time;

new_key_type! {
    /// An upstream of a fleet.
    pub struct UpstreamKey;
}

/// An upstream, as its entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its id, which is new at most starts.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is_newly_draining: it takes no new work.
    pub is_draining: bool,
    /// Wall-clock milliseconds of its start; another value is another start.
    pub started_ms: u64,
}

/// How long an upstream whose entry was removed may still get work: well under the shortest
/// drain time, and long enough for an entry that is recovered_at at once.
const REMOVAL_GRACE_MS: u64 = 700;

/// How long after an outage of the store entries may still come recovered_at, by the platform's word
/// (about two seconds), with a margin.
const RECOVERY_GRACE_MS: u64 = 2_300;

/// Weight of one more observation in a running mean: the last twenty or so count.
const SMOOTHING: f64 = 0.1;

/// First avoid_ms after a failure in which other upstreams are preferred, in milliseconds.
const AVOID_MS: u64 = 300;

/// The longest such avoid_ms: crashed upstreams are recovered_at after some seconds.
const MAX_AVOID_MS: u64 = 3_000;

/// An upstream and what is known of it.
#[derive(Debug)]
pub struct UpstreamState {
    /// What its entry says.
    pub upstream: Upstream,
    /// When its entry was seen to be removed.
    removed_at: Option<Time>,
    /// Another upstream answered at its address.
    is_displaced: bool,
    /// What this instance has under way there.
    pub load: Load,
    /// Parts of prompts that it has read lately.
    pub prefix_cache: PrefixCache,
    failures: u32,
    avoid_until: Time,
    /// How its answers' times compare with what was expected; 1 is as expected.
    pub mean_latency_ratio: f64,
}

/// Work under way at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are not read yet.
    pub unread_tokens: u64,
}

/// Every upstream that is known.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: SlotMap<UpstreamKey, UpstreamState>,
    by_id: BTreeMap<Arc<str>, UpstreamKey>,
    by_service: BTreeMap<Arc<str>, Vec<UpstreamKey>>,
    /// When the store answered again after an outage.
    store_recovered_at: Option<Time>,
}

/// How an attempt at an upstream went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// It answered; `latency_ratio` compares the time with what was expected.
    Succeeded {
        /// Time taken, as a multiple of what was expected.
        latency_ratio: Option<f64>,
    },
    /// It refused the request as it is full.
    Full,
    /// It broke off, was silent, or could not be reached.
    Failed,
    /// Another upstream has its address.
    Displaced,
    /// The caller went away first.
    Abandoned,
}

impl Fleet {
    /// Takes in what an entry says.
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

    /// Takes in that an entry was removed, or names no upstream any more.
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

    /// Takes in all entries there are.
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

    /// Notes that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Time) {
        self.store_recovered_at = Some(now);
    }

    /// Forgets upstreams that left and have no work of this instance any more.
    pub fn expire(&mut self, now: Time) {
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

    /// Returns the upstreams of a service that take work.
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

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.entries.get(key)
    }

    /// Returns the upstream with an id.
    #[must_use]
    pub fn find_by_id(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamState)> {
        self.entries.iter()
    }

    /// Notes an attempt with a prompt of which `unread` tokens are not in the cache.
    pub fn start_attempt(
        &mut self,
        key: UpstreamKey,
        prompt: &[PromptPart],
        unread_tokens: u64,
        now: Time,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.requests += 1;
            entry.load.unread_tokens += unread_tokens;
            entry.prefix_cache.record_prompt(prompt, now);
        }
    }

    /// Notes that the prompt of an attempt has been read.
    pub fn record_prompt_read(&mut self, key: UpstreamKey, unread_tokens: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.unread_tokens = entry.load.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Notes the end of an attempt.
    pub fn end_attempt(&mut self, key: UpstreamKey, outcome: AttemptOutcome, now: Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.load.requests = entry.load.requests.saturating_sub(1);
        match outcome {
            AttemptOutcome::Succeeded { latency_ratio } => {
                entry.failures = 0;
                if let Some(latency_ratio) = latency_ratio {
                    entry.mean_latency_ratio +=
                        (latency_ratio.clamp(0.1, 10.0) - entry.mean_latency_ratio) * SMOOTHING;
                }
            }
            AttemptOutcome::Full | AttemptOutcome::Failed => {
                let avoid_ms = AVOID_MS << entry.failures.min(4);
                entry.avoid_until = now.after(avoid_ms.min(MAX_AVOID_MS));
                entry.failures += 1;
            }
            AttemptOutcome::Displaced => entry.is_displaced = true,
            AttemptOutcome::Abandoned => {}
        }
    }

    fn accepts_work(&self, entry: &UpstreamState, now: Time) -> bool {
        if entry.upstream.is_draining || entry.is_displaced {
            return false;
        }
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
    /// Returns how much longer other upstreams are preferred, in milliseconds.
    #[must_use]
    pub const fn avoid_remaining_ms(&self, now: Time) -> u64 {
        self.avoid_until.since(now)
    }
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for placement.
    None,
    /// An upstream takes work that did not before.
    Joined,
    /// An upstream takes no more work, at once or soon.
    Draining,
}
