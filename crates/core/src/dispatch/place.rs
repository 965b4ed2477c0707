//! The upstream of one attempt: the one where it costs the least time.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::call::Part;
use super::fleet::{Entry, Fleet, Key};
use crate::clock::Time;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Its prompt, for model engines.
    pub prompt: Option<Prompt<'a>>,
    /// Requests with the same subject go to the same upstream when nothing else decides.
    pub subject: Option<&'a str>,
    /// The upstream that has what the request goes on from.
    pub last: Option<&'a str>,
    /// The failure domain of this instance.
    pub failure_domain: &'a str,
    /// Upstreams that were tried.
    pub tried: &'a [Key],
}

/// A prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// All its tokens.
    pub tokens: u64,
    /// Its parts.
    pub parts: &'a [Part],
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub key: Key,
    /// Its id.
    pub id: Arc<str>,
    /// Prompt tokens that it has to read.
    pub unread: u64,
    /// What the choice costs, in milliseconds.
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
const DISTANCE_MS: f64 = 3.0;

/// What staying where a subject's other requests go is worth: reading a short prompt again.
const SUBJECT_MS: f64 = 15.0;

/// What a failing or full upstream costs for each millisecond in which others are preferred.
const AVOID_SHARE: f64 = 1.0;

/// Picks the upstream with the least cost, or none if the service has none left.
///
/// `draw` is a random number that decides among equals.
#[must_use]
pub fn pick(fleet: &Fleet, ask: &Ask<'_>, now: Time, draw: u64) -> Option<Choice> {
    // Hashing stands in for what the store or the cache does not tell.
    let subject = ask.subject.filter(|_| !knows_last(fleet, ask, now));
    let home = subject.and_then(|subject| home(fleet, ask, subject, now));
    let mut best: Option<(Choice, u64)> = None;
    for (key, entry) in fleet.serving(ask.service, now) {
        if ask.tried.contains(&key) {
            continue;
        }
        let choice = appraise(key, entry, ask, home == Some(key), now);
        let rank = xxh3_64_with_seed(entry.upstream.id.as_bytes(), draw);
        let is_better = best.as_ref().is_none_or(|(other, other_rank)| {
            (choice.cost_ms, rank) < (other.cost_ms, *other_rank)
        });
        if is_better {
            best = Some((choice, rank));
        }
    }
    best.map(|(choice, _)| choice)
}

/// Tells whether the upstream that has what the request goes on from takes work.
fn knows_last(fleet: &Fleet, ask: &Ask<'_>, now: Time) -> bool {
    let is_last = |entry: &Entry| ask.last == Some(&*entry.upstream.id);
    fleet
        .serving(ask.service, now)
        .any(|(_, entry)| is_last(entry))
}

/// Returns the upstream that a subject prefers, by rendezvous hashing.
fn home(fleet: &Fleet, ask: &Ask<'_>, subject: &str, now: Time) -> Option<Key> {
    let weigh = |entry: &Entry| {
        let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
        xxh3_64_with_seed(entry.upstream.id.as_bytes(), seed)
    };
    let serving = fleet.serving(ask.service, now);
    serving
        .max_by_key(|(_, entry)| weigh(entry))
        .map(|(key, _)| key)
}

fn appraise(key: Key, entry: &Entry, ask: &Ask<'_>, is_home: bool, now: Time) -> Choice {
    let load = entry.load;
    let (unread, work_ms) = match ask.prompt {
        Some(prompt) => {
            let known = entry.prefixes.cached_tokens(prompt.parts);
            let is_last = ask.last == Some(&*entry.upstream.id);
            let cached = if is_last {
                known.max(earlier_tokens(prompt))
            } else {
                known
            };
            let unread = prompt.tokens.saturating_sub(cached);
            let queue = load.unread_tokens as f64 / READ_TOKENS_PER_MS;
            let batch = f64::from(load.requests) * BATCH_MS;
            let full = queue_ms(load.requests, entry.upstream.slots, 300.0);
            (
                unread,
                queue + unread as f64 / READ_TOKENS_PER_MS + batch + full,
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
    let mut cost_ms = expected_ms * entry.slowness.max(0.5);
    if &*entry.upstream.failure_domain != ask.failure_domain {
        cost_ms += DISTANCE_MS;
    }
    if is_home {
        cost_ms -= SUBJECT_MS;
    }
    cost_ms += entry.avoided_ms(now) as f64 * AVOID_SHARE;
    Choice {
        key,
        id: Arc::clone(&entry.upstream.id),
        unread,
        cost_ms,
        expected_ms,
    }
}

/// Returns the tokens of a prompt that the upstream of the turn before has read or made.
const fn earlier_tokens(prompt: Prompt<'_>) -> u64 {
    prompt.tokens.saturating_sub(NEW_TOKENS)
}

/// Returns the wait for a slot when all are taken, each for `work_ms`.
fn queue_ms(requests: u32, slots: u32, work_ms: f64) -> f64 {
    let waiting = (requests + 1).saturating_sub(slots);
    f64::from(waiting) * work_ms / f64::from(slots.max(1))
}
