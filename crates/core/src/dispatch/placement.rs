//! Selects the upstream of an attempt by estimated cost in time.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, UpstreamKey, UpstreamState};
use super::request::PromptPart;
use crate::clock::Time;

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
    /// Upstreams that were already tried.
    pub tried: &'a [UpstreamKey],
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
    /// Prompt tokens that the upstream has not cached.
    pub unread_tokens: u64,
    /// Estimated cost, in milliseconds.
    pub cost_ms: f64,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
}

/// Prompt tokens that an engine reads per millisecond; the lower end of the common rates.
const READ_TOKENS_PER_MS: f64 = 30.0;

/// Tokens of a turn's new input. The rest of the prompt is cached at the upstream of the previous
/// turn.
const NEW_TOKENS: u64 = 800;

/// Delay that each request in a batch adds to another one, in milliseconds: about forty steps, each
/// longer by some hundredths of a millisecond.
const BATCH_MS: f64 = 1.5;

/// Duration of a request at a plain service, in milliseconds.
const PLAIN_MS: f64 = 60.0;

/// Cost of an upstream in another failure domain, in milliseconds: network latency plus a share for
/// the price of the transferred bytes.
const CROSS_DOMAIN_MS: f64 = 3.0;

/// Cost reduction for the upstream that the affinity key prefers, in milliseconds: the time to read
/// a short prompt again.
const AFFINITY_MS: f64 = 15.0;

/// Cost per remaining millisecond for which a failing or full upstream is avoided.
const AVOID_COST_PER_MS: f64 = 1.0;

/// Selects the upstream with the lowest cost, or `None` if all upstreams of the service were tried.
///
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
    let mut best: Option<(Placement, u64)> = None;
    for (key, entry) in fleet.serving_upstreams(request.service, now) {
        if request.tried.contains(&key) {
            continue;
        }
        let placement = estimate_cost(key, entry, request, preferred == Some(key), now);
        let rank = xxh3_64_with_seed(entry.upstream.id.as_bytes(), draw);
        let is_better = best.as_ref().is_none_or(|(other, other_rank)| {
            (placement.cost_ms, rank) < (other.cost_ms, *other_rank)
        });
        if is_better {
            best = Some((placement, rank));
        }
    }
    best.map(|(placement, _)| placement)
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
    now: Time,
) -> Placement {
    let load = entry.load;
    let (unread_tokens, work_ms) = match request.prompt {
        Some(prompt) => {
            let known = entry.prefix_cache.cached_tokens(prompt.parts);
            let is_previous = request.previous_upstream == Some(&*entry.upstream.id);
            let cached = if is_previous {
                known.max(previous_turn_tokens(prompt))
            } else {
                known
            };
            let unread_tokens = prompt.tokens.saturating_sub(cached);
            let queue = load.unread_tokens as f64 / READ_TOKENS_PER_MS;
            let batch = f64::from(load.requests) * BATCH_MS;
            let full = queue_ms(load.requests, entry.upstream.slots, 300.0);
            (
                unread_tokens,
                queue + unread_tokens as f64 / READ_TOKENS_PER_MS + batch + full,
            )
        }
        None => {
            let share = f64::from(load.requests) / f64::from(entry.upstream.slots.max(1));
            (
                0,
                PLAIN_MS * (1.0 + share) + queue_ms(load.requests, entry.upstream.slots, PLAIN_MS),
            )
        }
    };
    let expected_ms = work_ms + 5.0;
    let mut cost_ms = expected_ms * entry.mean_latency_ratio.max(0.5);
    if &*entry.upstream.failure_domain != request.failure_domain {
        cost_ms += CROSS_DOMAIN_MS;
    }
    if is_preferred {
        cost_ms -= AFFINITY_MS;
    }
    cost_ms += entry.avoid_remaining_ms(now) as f64 * AVOID_COST_PER_MS;
    Placement {
        key,
        id: Arc::clone(&entry.upstream.id),
        unread_tokens,
        cost_ms,
        expected_ms,
    }
}

/// Returns the number of prompt tokens that the upstream of the previous turn has read or
/// generated.
const fn previous_turn_tokens(prompt: Prompt<'_>) -> u64 {
    prompt.tokens.saturating_sub(NEW_TOKENS)
}

/// Returns the expected wait for a slot, in milliseconds. It is 0 if a slot is free; `work_ms` is
/// the duration of each running request.
fn queue_ms(requests: u32, slots: u32, work_ms: f64) -> f64 {
    let waiting = (requests + 1).saturating_sub(slots);
    f64::from(waiting) * work_ms / f64::from(slots.max(1))
}
