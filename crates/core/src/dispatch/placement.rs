//! Selects the upstream of an attempt by estimated cost in time.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, UpstreamKey, UpstreamState};
use super::rate_limit::RequestClass;
use super::request::PromptPart;
use super::speed::ServiceSpeed;
use crate::clock::Time;
use crate::id;

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Prompt of the request, if the service is a model engine.
    pub prompt: Option<Prompt<'a>>,
    /// Requests with the same key go to the same upstream if nothing else decides.
    pub affinity_key: Option<&'a str>,
    /// Id of the upstream that ran the previous turn and has it cached.
    pub previous_upstream: Option<&'a str>,
    /// Failure domain of this instance.
    pub failure_domain: &'a str,
    /// Software version that the upstream must have, if the request continues a stream.
    pub version: Option<&'a str>,
    /// Upstreams that were already tried.
    pub tried: &'a [UpstreamKey],
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request is the first one of its program.
    pub starts_program: bool,
    /// Upstreams at which suspects are on trial, if the request is a suspect itself. It runs apart from
    /// other suspects if possible, so that the next crash tells them apart.
    pub trials: Option<&'a [id::Upstream]>,
    /// Whether upstreams with a rate limit are considered.
    pub may_use_limited: bool,
}

impl PlacementRequest<'_> {
    /// Returns the class of the request at an upstream.
    fn class_at(&self, upstream: &str) -> RequestClass {
        if self.prompt.is_none() || self.previous_upstream == Some(upstream) {
            RequestClass::Resident
        } else if self.starts_program {
            RequestClass::Start
        } else {
            RequestClass::Moved
        }
    }
}

/// Prompt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Total number of tokens.
    pub tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
}

/// The upstream selected for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Version of the upstream's software.
    pub version: Arc<str>,
    /// Prompt tokens that the upstream has not cached.
    pub unread_tokens: u64,
    /// Prompt tokens of the session that are new since its previous turn, if this instance placed
    /// that turn at this upstream.
    pub new_tokens: Option<u64>,
    /// Prompt tokens of this instance's other requests that the upstream has to read before.
    pub queued_tokens: u64,
    /// Class of the request at the upstream.
    pub class: RequestClass,
    /// Estimated cost, in milliseconds.
    pub cost_ms: f64,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
}

/// Tokens that a turn adds to its previous one, until they were measured. The rest of the prompt is
/// cached at the upstream of the previous turn.
const INITIAL_NEW_TOKENS: u64 = 800;

/// Cost of an upstream in another failure domain, in milliseconds: network latency plus a share for
/// the price of the transferred bytes.
const CROSS_DOMAIN_MS: f64 = 3.0;

/// Cost reduction for the engine that the affinity key prefers, in tokens to read: a short prompt.
const AFFINITY_TOKENS: f64 = 450.0;

/// Cost reduction for the plain service's upstream that the affinity key prefers, as a share of a
/// request's duration.
const AFFINITY_SHARE: f64 = 0.25;

/// Cost per remaining millisecond for which a failing or full upstream is avoided.
const AVOID_COST_PER_MS: f64 = 1.0;

/// Selects the upstream with the lowest cost, or `None` if all upstreams of the service were tried
/// or have no permit for another request.
///
/// Upstreams whose health does not admit the request are selected only if there is no other.
/// `draw` is a random number that breaks ties.
#[must_use]
pub fn select_upstream(
    fleet: &Fleet,
    request: &PlacementRequest<'_>,
    now: Time,
    draw: u64,
) -> Option<Placement> {
    // Use the affinity key only if the previous upstream is unknown or accepts no requests.
    let affinity_key = request
        .affinity_key
        .filter(|_| !previous_upstream_serves(fleet, request, now));
    let preferred =
        affinity_key.and_then(|affinity_key| preferred_upstream(fleet, request, affinity_key, now));
    let speed = fleet.speed(request.service);
    let mut best: Option<(Placement, Rank)> = None;
    for (key, entry) in fleet.serving_upstreams(request.service, now) {
        let id = &entry.upstream.id;
        let limits = fleet.rate_limits();
        let is_limited = limits.rate(id).is_some();
        if request.tried.contains(&key)
            || !has_version(entry, request.version)
            || (is_limited && !request.may_use_limited)
            || limits.blocked_ms(id, request.class_at(id), now) > 0
        {
            continue;
        }
        let mut placement = estimate_cost(key, entry, request, preferred == Some(key), &speed, now);
        if is_limited {
            placement.cost_ms += limits.permit_ms();
        }
        let rank = Rank {
            is_unhealthy: !entry.health().admits(request.is_repeatable, now),
            meets_suspect: meets_suspect(entry, request.trials),
            cost_ms: placement.cost_ms,
            draw: xxh3_64_with_seed(entry.upstream.id.as_bytes(), draw),
        };
        if best.as_ref().is_none_or(|(_, other)| rank < *other) {
            best = Some((placement, rank));
        }
    }
    best.map(|(placement, _)| placement)
}

/// Returns whether [`select_upstream`] would find an upstream that was not tried yet, without
/// comparing all of them.
#[must_use]
pub fn has_candidate(
    fleet: &Fleet,
    service: &str,
    version: Option<&str>,
    tried: &[UpstreamKey],
    now: Time,
) -> bool {
    fleet.serving_upstreams(service, now).any(|(key, entry)| {
        let id = &entry.upstream.id;
        let blocked_ms = fleet.rate_limits().blocked_ms(id, RequestClass::Moved, now);
        blocked_ms == 0 && has_version(entry, version) && !tried.contains(&key)
    })
}

fn has_version(entry: &UpstreamState, version: Option<&str>) -> bool {
    version.is_none_or(|version| *entry.upstream.version == *version)
}

fn meets_suspect(entry: &UpstreamState, trials: Option<&[id::Upstream]>) -> bool {
    trials.is_some_and(|trials| {
        entry.load.suspects > 0 || trials.contains(&entry.upstream.incarnation())
    })
}

/// Order of the upstreams for a request; the first is selected.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    is_unhealthy: bool,
    meets_suspect: bool,
    cost_ms: f64,
    draw: u64,
}

/// Returns whether the upstream of the previous turn accepts requests.
fn previous_upstream_serves(fleet: &Fleet, request: &PlacementRequest<'_>, now: Time) -> bool {
    let is_previous =
        |entry: &UpstreamState| request.previous_upstream == Some(&*entry.upstream.id);
    fleet
        .serving_upstreams(request.service, now)
        .any(|(_, entry)| is_previous(entry))
}

/// Returns the upstream that an affinity key prefers, by rendezvous hashing.
fn preferred_upstream(
    fleet: &Fleet,
    request: &PlacementRequest<'_>,
    affinity_key: &str,
    now: Time,
) -> Option<UpstreamKey> {
    let weight = |entry: &UpstreamState| {
        let seed = xxh3_64_with_seed(affinity_key.as_bytes(), 0);
        xxh3_64_with_seed(entry.upstream.id.as_bytes(), seed)
    };
    let serving = fleet.serving_upstreams(request.service, now);
    serving
        .max_by_key(|(_, entry)| weight(entry))
        .map(|(key, _)| key)
}

fn estimate_cost(
    key: UpstreamKey,
    entry: &UpstreamState,
    request: &PlacementRequest<'_>,
    is_preferred: bool,
    speed: &ServiceSpeed,
    now: Time,
) -> Placement {
    let load = entry.load;
    let slots = entry.upstream.slots;
    let mut new_tokens = None;
    let (unread_tokens, expected_ms) = match request.prompt {
        Some(prompt) => {
            let known = entry.prefix_cache.cached_tokens(prompt.parts);
            let is_previous = request.previous_upstream == Some(&*entry.upstream.id);
            new_tokens = (is_previous && entry.prefix_cache.knows_session(prompt.parts))
                .then(|| prompt.tokens.saturating_sub(known));
            let cached = if is_previous {
                known.max(previous_turn_tokens(prompt, speed))
            } else {
                known
            };
            let unread_tokens = prompt.tokens.saturating_sub(cached);
            let read = (load.unread_tokens + unread_tokens) as f64 * speed.read_ms();
            let batch = f64::from(load.requests) * speed.batch_ms();
            let queue = queue_ms(load.requests, slots, speed.turn_ms());
            (unread_tokens, speed.base_ms() + read + batch + queue)
        }
        None => {
            let share = f64::from(load.requests) / f64::from(slots.max(1));
            let plain_ms = speed.plain_ms();
            let queue = queue_ms(load.requests, slots, plain_ms);
            (0, plain_ms * (1.0 + share) + queue)
        }
    };
    let mut cost_ms = expected_ms * entry.mean_latency_ratio.max(0.5);
    if &*entry.upstream.failure_domain != request.failure_domain {
        cost_ms += CROSS_DOMAIN_MS;
    }
    if is_preferred {
        cost_ms -= match request.prompt {
            Some(_) => AFFINITY_TOKENS * speed.read_ms(),
            None => AFFINITY_SHARE * speed.plain_ms(),
        };
    }
    cost_ms += entry.health().slow_start_cost_ms(now);
    cost_ms += entry.avoid_remaining_ms(now) as f64 * AVOID_COST_PER_MS;
    Placement {
        key,
        id: Arc::clone(&entry.upstream.id),
        version: Arc::clone(&entry.upstream.version),
        unread_tokens,
        new_tokens,
        queued_tokens: load.unread_tokens,
        class: request.class_at(&entry.upstream.id),
        cost_ms,
        expected_ms,
    }
}

/// Returns the number of prompt tokens that the upstream of the previous turn has read or
/// generated.
fn previous_turn_tokens(prompt: Prompt<'_>, speed: &ServiceSpeed) -> u64 {
    let new_tokens = speed.new_tokens().unwrap_or(INITIAL_NEW_TOKENS);
    prompt.tokens.saturating_sub(new_tokens)
}

/// Returns the expected wait for a slot, in milliseconds. It is 0 if a slot is free; `work_ms` is
/// the duration of each running request.
fn queue_ms(requests: u32, slots: u32, work_ms: f64) -> f64 {
    let waiting = (requests + 1).saturating_sub(slots);
    f64::from(waiting) * work_ms / f64::from(slots.max(1))
}
