//! Whether a new program is let in while engines are slower than its callers can bear.
//!
//! The load it answers: several times the usual arrivals for some seconds. Engines then read
//! prompts without end, every turn of every program slows down, and all programs end late. Only a
//! whole program counts, so new ones are turned away before anything of them has run, in
//! proportion to how much slower turns have become, and programs under way are carried on.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;

/// Slowdown of turns at which the first new programs are refused. Callers allow programs two to
/// three times their time on idle engines, of which turns are the larger part.
const REJECTION_START_SLOWDOWN: f64 = 2.6;

/// Slowdown at which nearly all new programs are refused: those let in would mostly end late.
const REJECTION_FULL_SLOWDOWN: f64 = 4.0;

/// The most that a single turn counts: one that met a frozen instance or a slow reader says
/// little of its engine.
const MAX_TURN_SLOWDOWN: f64 = 6.0;

/// The largest share that is refused: those that are let in show when engines are fast again.
const MAX_REJECTED_SHARE: f64 = 0.9;

/// Weight of one more turn in what is known of a service: the last ten or so count, which a
/// loaded instance sees within a second.
const SMOOTHING: f64 = 0.1;

/// Growth of the least time between events with each turn, so that an engine that was fast once
/// is forgotten after some thousand turns.
const MIN_GROWTH: f64 = 1.000_5;

/// Time after which what was last_seen of a service says nothing of it any more: a few turns.
const STALE_MS: u64 = 1_500;

/// Turns that have to be last_seen before anything is refused.
const MIN_TURNS: u32 = 20;

/// The shortest time after which a refused program may come back: several turns of those under
/// way end until then.
const MIN_RETRY_MS: u64 = 400;

/// How much longer the time to come back may be, so that not all return at once.
const RETRY_SPREAD_MS: u64 = 1_000;

/// What turns of each service took of late.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: BTreeMap<Arc<str>, ServiceLatency>,
}

/// A turn that ended as it should.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnTiming {
    /// Prompt tokens that its engine had to read.
    pub unread_tokens: u64,
    /// From its placement to its first event, in milliseconds.
    pub first_event_ms: f64,
    /// From its first event to its last, in milliseconds.
    pub streaming_ms: f64,
    /// Its events.
    pub events: u64,
}

/// How fast the turns of a service are.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLatency {
    /// Running mean of a turn's time over that on an idle engine.
    slowdown: f64,
    /// Least time to read a token, in milliseconds.
    read_ms: f64,
    /// Least time of an event, in milliseconds.
    event_ms: f64,
    turns: u32,
    last_seen: Time,
}

impl AdmissionControl {
    /// Notes how fast a turn of a service was.
    pub fn record(&mut self, service: &Arc<str>, turn: TurnTiming, now: Time) {
        if turn.unread_tokens == 0 || turn.events < 2 {
            return;
        }
        let latency = self.services.entry(Arc::clone(service)).or_default();
        latency.record(turn, now);
    }

    /// Returns how much slower turns of a service are than on idle engines; 1 if not known.
    #[must_use]
    pub fn slowdown(&self, service: &str, now: Time) -> f64 {
        let latency = self.services.get(service);
        let known = latency.filter(|latency| {
            latency.turns >= MIN_TURNS && now.since(latency.last_seen) < STALE_MS
        });
        known.map_or(1.0, |latency| latency.slowdown.max(1.0))
    }

    /// Decides on a new program. Returns when it may come back if it is refused.
    ///
    /// The program's id decides, so that all instances mostly decide alike: which programs are
    /// let in is settled with their first attempt, and none is let in at its last. `draw` is a
    /// random number from 0 to 1.
    #[must_use]
    pub fn rejection_delay_ms(
        &self,
        service: &str,
        program: &str,
        draw: f64,
        now: Time,
    ) -> Option<u64> {
        let slowdown = self.slowdown(service, now);
        let excess = (slowdown - REJECTION_START_SLOWDOWN)
            / (REJECTION_FULL_SLOWDOWN - REJECTION_START_SLOWDOWN);
        let share = excess.clamp(0.0, MAX_REJECTED_SHARE);
        let rank = xxh3_64(program.as_bytes()) as f64 / u64::MAX as f64;
        if rank >= share {
            return None;
        }
        Some(MIN_RETRY_MS + (draw * RETRY_SPREAD_MS as f64) as u64)
    }
}

impl ServiceLatency {
    fn record(&mut self, turn: TurnTiming, now: Time) {
        let read_ms = turn.first_event_ms / turn.unread_tokens as f64;
        let event_ms = turn.streaming_ms / (turn.events - 1) as f64;
        if self.turns == 0 {
            (self.read_ms, self.event_ms) = (read_ms, event_ms);
        }
        self.read_ms = read_ms.min(self.read_ms * MIN_GROWTH);
        self.event_ms = event_ms.min(self.event_ms * MIN_GROWTH);
        let idle_ms = self.read_ms * turn.unread_tokens as f64 + self.event_ms * turn.events as f64;
        let slowdown = (turn.first_event_ms + turn.streaming_ms) / idle_ms.max(1.0);
        let slowdown = slowdown.min(MAX_TURN_SLOWDOWN);
        if self.turns == 0 {
            self.slowdown = slowdown;
        }
        self.slowdown += (slowdown - self.slowdown) * SMOOTHING;
        self.turns = self.turns.saturating_add(1);
        self.last_seen = now;
    }
}
