//! Selection of an upstream for a call.
//!
//! The cost of an upstream, in milliseconds, is the sum of:
//!
//! - the expected wait,
//! - the slowdown from the current load,
//! - the prefill of the prompt tokens that are not cached there,
//! - the cache weight times the prefill that the choice wastes: the tokens that it evicts, and the
//!   prefix that stays unused at the program's previous upstream.
//!
//! Only the previous upstream and a few of the least loaded ones are compared, so the cost of a
//! decision grows with the logarithm of the number of upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// Prefill speed of an engine, in prompt tokens per millisecond.
pub const PREFILL_TOKENS_PER_MS: u64 = 4;

/// Time that a call takes longer at full load than on an idle engine, in milliseconds.
pub const FULL_LOAD_MS: u64 = 400;

/// Least loaded upstreams compared for each call.
const MAX_COMPARED: usize = 8;

/// Programs whose last upstream is stored.
const MAX_PROGRAMS: usize = 16_384;

new_key_type! {
    /// Identifies an upstream within a [`Placer`].
    pub struct Key;
}

/// The last known state of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Loaded models, or the names of the plain service.
    pub offers: Vec<Arc<str>>,
    /// Maximum concurrent calls.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Expected wait of a new request, in milliseconds.
    pub wait_ms: u64,
    /// Tokens in the cache.
    pub cached_tokens: u64,
    /// Capacity of the cache in tokens; zero if there is no cache.
    pub cache_tokens: u64,
}

/// A call to place.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The program that makes the call.
    pub program: id::Program,
    /// The model or service name that the upstream must offer.
    pub offer: &'a str,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Upstreams that must not be selected.
    pub excluded: &'a [id::Upstream],
}

/// An upstream with its cost for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Total cost in milliseconds.
    pub cost_ms: u64,
    /// Prefill time saved by the cached prefix, in milliseconds.
    pub cached_prefill_ms: u64,
    /// Expected wait at the upstream, in milliseconds.
    pub wait_ms: u64,
}

/// Total capacity of the upstreams with an offer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of upstreams.
    pub upstreams: u32,
    /// Maximum concurrent calls.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Sum of the expected waits, in milliseconds.
    pub wait_ms: u64,
}

/// Ranks upstreams for calls by their state and by the last upstream of each program.
#[derive(Debug)]
pub struct Placer {
    cache_weight: f64,
    upstreams: SlotMap<Key, UpstreamEntry>,
    keys: BTreeMap<id::Upstream, Key>,
    offers: BTreeMap<Arc<str>, BTreeSet<LoadOrder>>,
    programs: BTreeMap<id::Program, LastPlacement>,
    /// Programs in the order of their last placement, for eviction.
    recent: BTreeSet<(u64, id::Program)>,
    sequence: u64,
}

#[derive(Debug)]
struct UpstreamEntry {
    id: id::Upstream,
    state: UpstreamState,
}

/// Sort key of the upstreams with the same offer, least loaded first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadOrder {
    wait_ms: u64,
    load_permille: u32,
    key: Key,
}

#[derive(Clone, Debug)]
struct LastPlacement {
    upstream: id::Upstream,
    /// Length of the cached prefix in tokens.
    tokens: u64,
    sequence: u64,
}

impl Placer {
    /// Creates a placer without upstreams.
    ///
    /// `cache_weight` is the cost of one millisecond of wasted prefill, relative to one millisecond
    /// of waiting.
    #[must_use]
    pub fn new(cache_weight: f64) -> Self {
        Self {
            cache_weight,
            upstreams: SlotMap::with_key(),
            keys: BTreeMap::new(),
            offers: BTreeMap::new(),
            programs: BTreeMap::new(),
            recent: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Sets the state of an upstream.
    pub fn set(&mut self, upstream: &id::Upstream, state: UpstreamState) {
        if self.state(upstream) == Some(&state) {
            return;
        }
        self.remove(upstream);
        let order = state.order();
        let offers = state.offers.clone();
        let entry = UpstreamEntry {
            id: upstream.clone(),
            state,
        };
        let key = self.upstreams.insert(entry);
        self.keys.insert(upstream.clone(), key);
        for offer in offers {
            let order = LoadOrder { key, ..order };
            self.offers.entry(offer).or_default().insert(order);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &id::Upstream) {
        let Some(key) = self.keys.remove(upstream) else {
            return;
        };
        let Some(entry) = self.upstreams.remove(key) else {
            return;
        };
        let order = LoadOrder {
            key,
            ..entry.state.order()
        };
        for offer in &entry.state.offers {
            self.remove_from_offer(offer, &order);
        }
    }

    fn remove_from_offer(&mut self, offer: &str, order: &LoadOrder) {
        let Some(orders) = self.offers.get_mut(offer) else {
            return;
        };
        orders.remove(order);
        if orders.is_empty() {
            self.offers.remove(offer);
        }
    }

    /// Removes the upstreams for which `is_listed` returns `false`.
    pub fn retain(&mut self, is_listed: impl Fn(&id::Upstream) -> bool) {
        let removed: Vec<_> = self
            .keys
            .keys()
            .filter(|id| !is_listed(id))
            .cloned()
            .collect();
        for upstream in removed {
            self.remove(&upstream);
        }
    }

    /// Records that an upstream serves a program and caches a prefix of `tokens` tokens for it.
    pub fn record_served(&mut self, program: id::Program, upstream: &id::Upstream, tokens: u64) {
        self.remove_program(program);
        self.sequence += 1;
        let last = LastPlacement {
            upstream: upstream.clone(),
            tokens,
            sequence: self.sequence,
        };
        self.recent.insert((last.sequence, program));
        self.programs.insert(program, last);
        if self.programs.len() > MAX_PROGRAMS {
            self.evict_oldest_program();
        }
    }

    /// Updates free slots and wait after a slot request, until the next report of the upstream's
    /// home.
    pub fn observe_wait(&mut self, upstream: &id::Upstream, free: u32, wait_ms: u64) {
        let key = self.keys.get(upstream);
        let Some(entry) = key.and_then(|key| self.upstreams.get(*key)) else {
            return;
        };
        let state = UpstreamState {
            free,
            wait_ms,
            ..entry.state.clone()
        };
        self.set(upstream, state);
    }

    /// Removes the record of a program's last upstream.
    pub fn remove_program(&mut self, program: id::Program) {
        if let Some(last) = self.programs.remove(&program) {
            self.recent.remove(&(last.sequence, program));
        }
    }

    fn evict_oldest_program(&mut self) {
        if let Some((_, program)) = self.recent.pop_first() {
            self.programs.remove(&program);
        }
    }

    /// Returns the last known state of an upstream.
    #[must_use]
    pub fn state(&self, upstream: &id::Upstream) -> Option<&UpstreamState> {
        let key = self.keys.get(upstream)?;
        self.upstreams.get(*key).map(|entry| &entry.state)
    }

    /// Returns the candidates for a call, cheapest first.
    #[must_use]
    pub fn rank(&self, call: &PlacementRequest<'_>) -> Vec<Candidate> {
        let Some(orders) = self.offers.get(call.offer) else {
            return Vec::new();
        };
        let last = self.programs.get(&call.program);
        let least_loaded = orders
            .iter()
            .filter_map(|order| self.upstreams.get(order.key));
        let least_loaded = least_loaded.filter(|entry| !call.excluded.contains(&entry.id));
        let mut compared: Vec<_> = least_loaded.take(MAX_COMPARED).collect();
        let previous = last.and_then(|last| self.last_upstream(last, call));
        let previous = previous.filter(|entry| !compared.iter().any(|other| other.id == entry.id));
        compared.extend(previous);
        let mut candidates: Vec<_> = compared
            .into_iter()
            .map(|entry| self.candidate(entry, last, call))
            .collect();
        candidates.sort_by_cached_key(|candidate| {
            (candidate.cost_ms, tie_break_hash(call.program, candidate))
        });
        candidates
    }

    /// Returns the total capacity of the upstreams with this offer.
    #[must_use]
    pub fn capacity(&self, offer: &str) -> Capacity {
        let mut capacity = Capacity::default();
        let orders = self.offers.get(offer).into_iter().flatten();
        for entry in orders.filter_map(|order| self.upstreams.get(order.key)) {
            capacity.upstreams += 1;
            capacity.slots += entry.state.slots;
            capacity.free += entry.state.free;
            capacity.wait_ms += entry.state.wait_ms;
        }
        capacity
    }

    /// Returns the program's last upstream if it is eligible for the call.
    fn last_upstream(
        &self,
        last: &LastPlacement,
        call: &PlacementRequest<'_>,
    ) -> Option<&UpstreamEntry> {
        let key = self.keys.get(&last.upstream)?;
        let entry = self.upstreams.get(*key)?;
        let offered = entry
            .state
            .offers
            .iter()
            .any(|offer| **offer == *call.offer);
        let allowed = offered && !call.excluded.contains(&entry.id);
        allowed.then_some(entry)
    }

    fn candidate(
        &self,
        entry: &UpstreamEntry,
        last: Option<&LastPlacement>,
        call: &PlacementRequest<'_>,
    ) -> Candidate {
        let prefix = last.map_or(0, |last| last.tokens.min(call.prompt));
        let is_last = last.is_some_and(|last| last.upstream == entry.id);
        let (cached, left) = if is_last { (prefix, 0) } else { (0, prefix) };
        let state = &entry.state;
        let added = call.prompt - cached;
        let wasted = state.evicted_tokens(added) + left;
        let weighted = self.cache_weight * prefill_ms(wasted) as f64;
        let load_ms = u64::from(state.load_permille()) * FULL_LOAD_MS / 1_000;
        Candidate {
            upstream: entry.id.clone(),
            cost_ms: state.wait_ms + load_ms + prefill_ms(added) + weighted as u64,
            cached_prefill_ms: prefill_ms(cached),
            wait_ms: state.wait_ms,
        }
    }
}

impl UpstreamState {
    fn load_permille(&self) -> u32 {
        let slots = self.slots.max(1);
        let in_use = slots.saturating_sub(self.free);
        in_use * 1_000 / slots
    }

    /// Returns the cached tokens that are evicted to store `added` tokens.
    fn evicted_tokens(&self, added: u64) -> u64 {
        if self.cache_tokens == 0 {
            return 0;
        }
        let wanted = self.cached_tokens + added;
        wanted.saturating_sub(self.cache_tokens).min(added)
    }

    fn order(&self) -> LoadOrder {
        LoadOrder {
            wait_ms: self.wait_ms,
            load_permille: self.load_permille(),
            key: Key::default(),
        }
    }
}

/// Returns the duration of the prefill of `tokens` tokens.
const fn prefill_ms(tokens: u64) -> u64 {
    tokens / PREFILL_TOKENS_PER_MS
}

/// Returns a hash that orders candidates of equal cost. It spreads programs over them and gives the
/// same order at every instance.
fn tie_break_hash(program: id::Program, candidate: &Candidate) -> u64 {
    let seed = xxh3_64_with_seed(program.to_string().as_bytes(), 0);
    xxh3_64_with_seed(candidate.upstream.as_str().as_bytes(), seed)
}
