//! Chooses between upstreams whose costs are known.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::fleet::{Fleet, UpstreamState};
use super::super::speed::MeanRatio;
use super::{AFFINITY_TOKENS, CROSS_DOMAIN_MS, Placement};
use crate::clock::Time;

/// Separate the random numbers for speeds and offers from those that break ties.
const SPEED_DRAW: u64 = 0x9e37_79b9_7f4a_7c15;
const OFFER_DRAW: u64 = 0xc2b2_ae3d_27d4_eb4f;

/// Order of the upstreams for a request; the first is selected.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) is_unhealthy: bool,
    /// Requests beyond the upstream's pace.
    pub(super) lack: f64,
    pub(super) meets_suspect: bool,
    pub(super) cost_ms: f64,
    pub(super) draw: u64,
}

/// Returns whether an upstream is drawn with a probability.
pub(super) fn is_drawn(id: &str, probability: f64, draw: u64) -> bool {
    let hash = xxh3_64_with_seed(id.as_bytes(), draw ^ OFFER_DRAW);
    (hash as f64) < u64::MAX as f64 * probability
}

/// An upstream that may be selected.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) placement: Placement,
    pub(super) rank: Rank,
    pub(super) slots: u32,
    /// Requests of this instance in progress there.
    pub(super) load: u32,
    /// Whether others are preferred, as it failed or rejected a request just now.
    pub(super) is_avoided: bool,
}

impl Candidate {
    /// Returns whether another upstream is better because it has more of the prompt cached, and not
    /// because this one is loaded. `read_ms` is the time to read a token.
    fn loses_by_cache(&self, best: &Self, read_ms: f64) -> bool {
        let unread_tokens = self.placement.unread_tokens;
        let more_tokens = unread_tokens.saturating_sub(best.placement.unread_tokens);
        let forgiven_ms = (more_tokens as f64 + AFFINITY_TOKENS) * read_ms + CROSS_DOMAIN_MS;
        let (own_ms, best_ms) = (self.rank.cost_ms, best.rank.cost_ms);
        more_tokens > 0 && own_ms > best_ms && own_ms - forgiven_ms <= best_ms
    }

    const fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }
}

/// Whether an upstream gets a request although others may be better for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Offer {
    None,
    /// The pace of the upstream has credit for it.
    Due,
    /// The upstream has begun lately. Holds the time to read a token, in milliseconds.
    DespiteCache(f64),
}

/// The best of the upstreams that were considered.
#[derive(Debug, Default)]
pub(super) struct Choice {
    /// Best one within its pace.
    best: Option<Candidate>,
    /// Best one beyond its pace.
    beyond: Option<Candidate>,
    due: Option<Candidate>,
    /// One that is drawn to be offered a request despite its cold cache, and the time to read a
    /// token.
    cold: Option<(Candidate, f64)>,
}

impl Choice {
    pub(super) fn consider(&mut self, candidate: Candidate, offer: Offer) {
        let is_first =
            |best: &Option<Candidate>| best.as_ref().is_none_or(|best| candidate.rank < best.rank);
        match offer {
            Offer::None => {}
            Offer::Due if is_first(&self.due) => self.due = Some(candidate.clone()),
            Offer::Due => {}
            Offer::DespiteCache(read_ms) => self.cold = Some((candidate.clone(), read_ms)),
        }
        let best = match candidate.rank.lack > 0.0 {
            true => &mut self.beyond,
            false => &mut self.best,
        };
        if best.as_ref().is_none_or(|best| candidate.rank < best.rank) {
            *best = Some(candidate);
        }
    }

    pub(super) fn decide(self) -> Option<Placement> {
        let Some(best) = self.best else {
            return self.beyond.map(|beyond| beyond.placement);
        };
        let is_apart =
            |candidate: &Candidate| !candidate.rank.meets_suspect || best.rank.meets_suspect;
        if let Some(due) = self.due.filter(is_apart) {
            return Some(due.placement);
        }
        if let Some((cold, read_ms)) = self.cold
            && is_apart(&cold)
            && cold.loses_by_cache(&best, read_ms)
        {
            return Some(cold.placement);
        }
        match self.beyond {
            Some(beyond) if is_better_beyond(&beyond, &best) => Some(beyond.placement),
            _ => Some(best.placement),
        }
    }
}

/// Returns whether an upstream beyond its pace is better than the best of the others, as that one is
/// unhealthy, has just failed or has no free slot.
const fn is_better_beyond(beyond: &Candidate, best: &Candidate) -> bool {
    if beyond.rank.is_unhealthy {
        return false;
    }
    best.rank.is_unhealthy
        || (best.is_avoided && !beyond.is_avoided)
        || (!best.has_free_slot() && beyond.has_free_slot())
}

/// Measured speeds of a service's upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speeds {
    mean: MeanRatio,
    /// Time factor of the fastest upstream.
    min_factor: f64,
}

impl Speeds {
    pub(super) fn of(fleet: &Fleet, service: &str, now: Time) -> Self {
        let mean = fleet.mean_ratio(service, now);
        let serving = fleet.serving_upstreams(service, now);
        let factors = serving.map(|(_, entry)| mean.time_factor(entry.speed(), now));
        Self {
            mean,
            min_factor: factors.fold(1.0, f64::min),
        }
    }

    pub(super) fn time_factor(&self, entry: &UpstreamState, now: Time) -> f64 {
        self.mean.time_factor(entry.speed(), now)
    }

    /// Returns the factor of an upstream's cost. A lower cost at the faster upstream would send it
    /// every request of every instance, as none of them knows the others' requests. Instead, an
    /// upstream competes at the speed of the fastest one in a share of the selections, and at its own
    /// speed in the others. The share is the square of its speed relative to the fastest one: its
    /// slots in use are then in proportion to its speed, so that most requests are at fast upstreams
    /// while these have room. The share of an upstream that is slower than the mean falls with the
    /// fourth power, as only some of the instances have seen that it is slow.
    pub(super) fn cost_factor(&self, placement: &Placement, draw: u64) -> f64 {
        let relative = placement.time_factor / self.min_factor;
        let inverse_share = (relative * placement.time_factor.max(1.0)).powi(2);
        let hash = xxh3_64_with_seed(placement.id.as_bytes(), draw ^ SPEED_DRAW);
        let is_equal = hash as f64 / u64::MAX as f64 * inverse_share < 1.0;
        if is_equal { 1.0 } else { relative }
    }
}
