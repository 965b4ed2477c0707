//! The earlier decision, as a baseline for replays: fixed thresholds on the mean slowdown of the
//! latest completed turns.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::TurnTiming;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug, Default)]
pub(super) struct FixedThreshold {
    slowdown: f64,
    read_ms: f64,
    event_ms: f64,
    turns: u32,
    last_seen: Time,
}

impl FixedThreshold {
    pub(super) fn record(&mut self, turn: TurnTiming, now: Time) {
        let read_ms = turn.first_event_ms / turn.unread_tokens as f64;
        let event_ms = turn.streaming_ms / (turn.events - 1) as f64;
        if self.turns == 0 {
            (self.read_ms, self.event_ms) = (read_ms, event_ms);
        }
        self.read_ms = read_ms.min(self.read_ms * 1.000_5);
        self.event_ms = event_ms.min(self.event_ms * 1.000_5);
        let idle_ms = self.read_ms * turn.unread_tokens as f64 + self.event_ms * turn.events as f64;
        let slowdown = (turn.first_event_ms + turn.streaming_ms) / idle_ms.max(1.0);
        let slowdown = slowdown.min(6.0);
        if self.turns == 0 {
            self.slowdown = slowdown;
        }
        self.slowdown += (slowdown - self.slowdown) * 0.1;
        self.turns = self.turns.saturating_add(1);
        self.last_seen = now;
    }

    pub(super) fn rejection_delay_ms(&self, program: &str, draw: f64, now: Time) -> Option<u64> {
        let is_known = self.turns >= 20 && now.since(self.last_seen) < 1_500;
        let slowdown = if is_known {
            self.slowdown.max(1.0)
        } else {
            1.0
        };
        let share = ((slowdown - 2.6) / (4.0 - 2.6)).clamp(0.0, 0.9);
        let rank = xxh3_64(program.as_bytes()) as f64 / u64::MAX as f64;
        (rank < share).then(|| 400 + (draw * 1_000.0) as u64)
    }
}
