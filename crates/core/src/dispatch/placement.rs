//! The upstream of one attempt: the one where it costs the least time.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, UpstreamKey, UpstreamState};
use super::request::PromptPart;
use crate::clock::Time;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Its prompt, for model engines.
    pub prompt: Option<Prompt<'a>>,
    /// Requests with the same affinity_key go to the same upstream when nothing else decides.
    pub affinity_key: Option<&'a str>,
    /// The upstream that has what the request goes on from.
    pub previous_upstream: Option<&'a str>,
    /// The failure domain of this instance.
    pub failure_domain: &'a str,
    /// Upstreams that were tried.
    pub tried: &'a [UpstreamKey],
}

/// A prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// All its tokens.
    pub tokens: u64,
    /// Its parts.
    pub parts: &'a [PromptPart],
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub key: UpstreamKey,
    /// Its id.
    pub id: Arc<str>,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// What the placement costs, in milliseconds.
    pub cost_ms: f64,
    /// The time to the first byte that is expected, in milliseconds.
    pub expected_ms: f64,
}

/// Prompt tokens that an engine reads in a millisecond: the slower of the usual ones.
const READ_TOKENS_PER_MS: f64 = 30.0;

/// The new input of a turn, in tokens; what goes on from the turn before is cached there.
const NEW_TOKENS: u64 = 800;

/// What each request in a batch adds to the time of another one, in milliseconds: some forty
/// steps, each longer by some hundredths of a millisecond.
const BATCH_MS: f64 = 1.5;

/// The time of a request at a plain service, in milliseconds.
const PLAIN_MS: f64 = 60.0;

/// What the way to another failure domain costs: its time, and a share for the priced bytes.
const CROSS_DOMAIN_MS: f64 = 3.0;

/// What staying where a affinity_key's other requests go is worth: reading a short prompt again.
const AFFINITY_MS: f64 = 15.0;

/// What a failing or full upstream costs for each millisecond in which others are preferred.
const AVOID_COST_PER_MS: f64 = 1.0;

/// Picks the upstream with the least cost, or none if the service has none left.
///
/// `draw` is a random number that decides among equals.
#[must_use]
pub fn select_upstream(
    fleet: &Fleet,
    request: &PlacementRequest<'_>,
    now: Time,
    draw: u64,
) -> Option<Placement> {
    // Hashing stands in for what the store or the cache does not tell.
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

/// Tells whether the upstream that has what the request goes on from takes work.
fn previous_upstream_serves(fleet: &Fleet, request: &PlacementRequest<'_>, now: Time) -> bool {
    let is_previous =
        |entry: &UpstreamState| request.previous_upstream == Some(&*entry.upstream.id);
    fleet
        .serving_upstreams(request.service, now)
        .any(|(_, entry)| is_previous(entry))
}

/// Returns the upstream that a affinity_key prefers, by rendezvous hashing.
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

/// Returns the tokens of a prompt that the upstream of the turn before has read or made.
const fn previous_turn_tokens(prompt: Prompt<'_>) -> u64 {
    prompt.tokens.saturating_sub(NEW_TOKENS)
}

/// Returns the wait for a slot when all are taken, each for `work_ms`.
fn queue_ms(requests: u32, slots: u32, work_ms: f64) -> f64 {
    let waiting = (requests + 1).saturating_sub(slots);
    f64::from(waiting) * work_ms / f64::from(slots.max(1))
}
