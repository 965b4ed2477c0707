//! Admission control: rejects new programs while model engines are overloaded.
//!
//! When arrivals reach several times the normal rate for some seconds, engines spend their time
//! reading prompts, every turn of every program slows down, and all programs finish late. Only a
//! finished program is of use to its caller, so new programs are rejected before any of their turns
//! has run, in proportion to the measured slowdown. Programs that have already started continue.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;

/// Slowdown of turns at which the first new programs are rejected. Callers accept two to three
/// times a program's duration on idle engines, and turns are most of that duration.
const REJECTION_START_SLOWDOWN: f64 = 2.6;

/// Slowdown at which the rejected share would reach one; [`MAX_REJECTED_SHARE`] caps it. Most
/// programs admitted at this slowdown would finish late.
const REJECTION_FULL_SLOWDOWN: f64 = 4.0;

/// Upper limit of a single turn's slowdown. A higher value comes from a frozen instance or a slow
/// reader rather than from the engine.
const MAX_TURN_SLOWDOWN: f64 = 6.0;

/// Maximum share of new programs that is rejected. The turns of the admitted ones show when engines
/// have recovered.
const MAX_REJECTED_SHARE: f64 = 0.9;

/// EWMA weight of a new turn. About the last ten turns count, which a loaded instance sees within a
/// second.
const EWMA_WEIGHT: f64 = 0.1;

/// Growth factor per turn of the minimum read and event times, so that an engine that was fast once
/// stops counting after some thousand turns.
const MIN_GROWTH: f64 = 1.000_5;

/// Age after which measurements of a service are ignored: the duration of a few turns.
const STALE_MS: u64 = 1_500;

/// Minimum number of measured turns before programs are rejected.
const MIN_TURNS: u32 = 20;

/// Minimum retry delay of a rejected program. Several running turns end within it.
const MIN_RETRY_MS: u64 = 400;

/// Width of the random part of the retry delay, which keeps rejected programs from returning all at
/// once.
const RETRY_SPREAD_MS: u64 = 1_000;

/// Measures the slowdown of turns per service and decides whether new programs are admitted.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: BTreeMap<Arc<str>, ServiceLatency>,
}

/// Timing of a turn that completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnTiming {
    /// Prompt tokens that the engine had to read because they were not cached.
    pub unread_tokens: u64,
    /// Milliseconds from placement to the first event.
    pub first_event_ms: f64,
    /// Milliseconds from the first event to the last.
    pub streaming_ms: f64,
    /// Number of events.
    pub events: u64,
}

/// Smoothed turn latency of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLatency {
    /// Smoothed ratio (EWMA) of a turn's duration to its estimated duration on an idle engine.
    slowdown: f64,
    /// Minimum time to read a prompt token, in milliseconds.
    read_ms: f64,
    /// Minimum time between two events, in milliseconds.
    event_ms: f64,
    turns: u32,
    last_seen: Time,
}

impl AdmissionControl {
    /// Records the timing of a completed turn. Turns without unread tokens or with fewer than two
    /// events are ignored.
    pub fn record(&mut self, service: &Arc<str>, turn: TurnTiming, now: Time) {
        if turn.unread_tokens == 0 || turn.events < 2 {
            return;
        }
        let latency = self.services.entry(Arc::clone(service)).or_default();
        latency.record(turn, now);
    }

    /// Returns the smoothed slowdown of a service's turns relative to idle engines. Returns 1 if
    /// there are too few recent measurements.
    #[must_use]
    pub fn slowdown(&self, service: &str, now: Time) -> f64 {
        let latency = self.services.get(service);
        let known = latency.filter(|latency| {
            latency.turns >= MIN_TURNS && now.since(latency.last_seen) < STALE_MS
        });
        known.map_or(1.0, |latency| latency.slowdown.max(1.0))
    }

    /// Returns the retry delay in milliseconds if a new program is rejected, or `None` if it is
    /// admitted.
    ///
    /// The decision depends on a hash of the program id, so that instances with similar
    /// measurements decide alike. A program is thus admitted or rejected at its first attempt, and
    /// retries elsewhere do not get it admitted late. `draw` is a random number from 0 to 1 that
    /// spreads the retry delay.
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
        self.slowdown += (slowdown - self.slowdown) * EWMA_WEIGHT;
        self.turns = self.turns.saturating_add(1);
        self.last_seen = now;
    }
}
