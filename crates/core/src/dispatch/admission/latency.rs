//! Present slowdown of a service's turns, from completed turns and from those that still run.
//!
//! The slowdown is the time that turns spend running, divided by the time that idle engines would take
//! for the progress that they make. Running turns count with every event and while they wait for one,
//! so a surge shows before its turns complete, and its end shows with the first events that are fast
//! again. An instance with six turns in a second has more than a hundred events.

use std::collections::BTreeMap;

use super::TurnTiming;
use super::decay::DecayingSum;
use crate::clock::Time;

/// Upper limit of a single turn's slowdown. A higher value comes from a frozen instance or a slow
/// reader rather than from the engine.
const MAX_TURN_SLOWDOWN: f64 = 6.0;

/// Multiple of its expected duration up to which a running turn counts. It is above the upper limit, so
/// that fast turns in the same second do not hide an overload.
const MAX_RUNNING_SLOWDOWN: f64 = 12.0;

/// Time constant with which time and progress lose their weight. It is a few turns long: shorter ones
/// scatter at instances with few turns, longer ones follow a surge too late.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Weight of the assumption that engines are idle, in turns. It decides when there are no turns.
const IDLE_WEIGHT: f64 = 0.3;

/// Growth factor per turn of the minimum read and event times, so that an engine that was fast once
/// stops counting after some thousand turns.
const MIN_GROWTH: f64 = 1.000_5;

/// The same while the service is overloaded, when no turn is fast. The slowdown would seem to fall.
const OVERLOADED_MIN_GROWTH: f64 = 1.000_1;

/// Age after which completed turns are ignored: the duration of a few turns.
const STALE_MS: u64 = 1_500;

/// Minimum number of measured turns before programs are rejected.
const MIN_TURNS: u32 = 20;

/// EWMA weight of a new turn's number of events and duration.
const MEAN_WEIGHT: f64 = 0.02;

/// EWMA weight of the slowdown at a new program's arrival in the usual slowdown. A burst of some seconds
/// has a small part in it.
const USUAL_WEIGHT: f64 = 0.02;

/// Maximum number of running turns that are tracked.
const MAX_RUNNING: usize = 4_096;

/// Turn latency of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceLatency {
    /// Minimum time to read a prompt token, in milliseconds.
    read_ms: f64,
    /// Minimum time between two events, in milliseconds.
    event_ms: f64,
    /// Mean number of events.
    events: f64,
    /// Mean duration of a turn on an idle engine, in milliseconds.
    idle_ms: f64,
    /// Time that turns spent running, in milliseconds.
    time: DecayingSum,
    /// Time that idle engines would have taken for their progress, in milliseconds.
    progress: DecayingSum,
    /// Time up to which `time` includes the running turns.
    counted_until: Time,
    turns: u32,
    last_seen: Time,
    running: BTreeMap<u64, Running>,
}

/// A turn that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    unread_tokens: u64,
    started: Time,
    /// Progress that was counted, in milliseconds on an idle engine.
    progress_ms: f64,
}

impl ServiceLatency {
    /// Records that a turn starts.
    pub(super) fn start(&mut self, key: u64, unread_tokens: u64, now: Time) {
        self.count_running(now);
        // The progress of turns can't be told before the first one has completed.
        if self.turns == 0 || self.running.len() >= MAX_RUNNING {
            return;
        }
        let running = Running {
            unread_tokens,
            started: now,
            progress_ms: 0.0,
        };
        self.running.insert(key, running);
    }

    /// Records the number of events that a running turn has had so far.
    pub(super) fn record_events(&mut self, key: u64, events: u64, now: Time) {
        self.count_running(now);
        let (read_ms, event_ms) = (self.read_ms, self.event_ms);
        if let Some(running) = self.running.get_mut(&key) {
            let progress_ms = read_ms * running.unread_tokens as f64 + event_ms * events as f64;
            let added_ms = progress_ms - running.progress_ms;
            running.progress_ms = progress_ms;
            self.progress.add(added_ms, TIME_CONSTANT_MS, now);
        }
    }

    /// Records that a turn has ended.
    pub(super) fn end(&mut self, key: u64, now: Time) {
        self.count_running(now);
        self.running.remove(&key);
    }

    /// Records a completed turn, which ran under `key` if that is given. Returns its estimated duration
    /// on an idle engine, in milliseconds.
    pub(super) fn record(
        &mut self,
        turn: TurnTiming,
        key: Option<u64>,
        is_overloaded: bool,
        now: Time,
    ) -> f64 {
        let now = now.max(self.last_seen);
        let read_ms = turn.first_event_ms / turn.unread_tokens as f64;
        let event_ms = turn.streaming_ms / (turn.events - 1) as f64;
        let events = turn.events as f64;
        if self.turns == 0 {
            (self.read_ms, self.event_ms, self.events) = (read_ms, event_ms, events);
        }
        let growth = if is_overloaded {
            OVERLOADED_MIN_GROWTH
        } else {
            MIN_GROWTH
        };
        self.read_ms = read_ms.min(self.read_ms * growth);
        self.event_ms = event_ms.min(self.event_ms * growth);
        self.events += (events - self.events) * MEAN_WEIGHT;
        let idle_ms = self.read_ms * turn.unread_tokens as f64 + self.event_ms * events;
        let idle_ms = idle_ms.max(1.0);
        if self.turns == 0 {
            self.idle_ms = idle_ms;
        }
        self.idle_ms += (idle_ms - self.idle_ms) * MEAN_WEIGHT;
        self.count_running(now);
        let running = key.and_then(|key| self.running.remove(&key));
        let counted_ms = running.map_or(0.0, |running| running.progress_ms);
        self.progress
            .add(idle_ms - counted_ms, TIME_CONSTANT_MS, now);
        if running.is_none() {
            let ms = turn.first_event_ms + turn.streaming_ms;
            let ms = ms.min(idle_ms * MAX_TURN_SLOWDOWN);
            self.time.add(ms, TIME_CONSTANT_MS, now);
        }
        self.turns = self.turns.saturating_add(1);
        self.last_seen = now;
        idle_ms
    }

    /// Returns the mean duration of a turn on an idle engine, in milliseconds.
    pub(super) const fn mean_turn_ms(&self) -> f64 {
        self.idle_ms
    }

    /// Returns the expected duration of a turn on an idle engine, in milliseconds.
    pub(super) fn expected_ms(&self, unread_tokens: u64) -> f64 {
        self.read_ms * unread_tokens as f64 + self.event_ms * self.events
    }

    /// Returns the present slowdown. Returns 1 if there are too few recent measurements.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        let is_stale = self.running.is_empty() && now.since(self.last_seen) >= STALE_MS;
        if self.turns < MIN_TURNS || is_stale {
            return 1.0;
        }
        let idle_ms = IDLE_WEIGHT * self.idle_ms;
        let time_ms = self.time.get(TIME_CONSTANT_MS, now) + self.uncounted_ms(now);
        let progress_ms = self.progress.get(TIME_CONSTANT_MS, now);
        let slowdown = (time_ms + idle_ms) / (progress_ms + idle_ms).max(1.0);
        slowdown.clamp(1.0, MAX_TURN_SLOWDOWN)
    }

    /// Adds the time that the running turns took since it was last counted.
    fn count_running(&mut self, now: Time) {
        let ms = self.uncounted_ms(now);
        self.time.add(ms, TIME_CONSTANT_MS, now);
        self.counted_until = self.counted_until.max(now);
    }

    /// Returns the time of the running turns that is not counted yet, each part with the weight that its
    /// age leaves it. The time of a turn is limited, so that one at a failing engine is no overload.
    fn uncounted_ms(&self, now: Time) -> f64 {
        let weighted_ms = |from: Time, until: Time| {
            let end = (-(now.since(until) as f64) / TIME_CONSTANT_MS).exp();
            let start = (-(now.since(from) as f64) / TIME_CONSTANT_MS).exp();
            TIME_CONSTANT_MS * (end - start)
        };
        let uncounted = self.running.values().map(|running| {
            let limit_ms = self.expected_ms(running.unread_tokens) * MAX_RUNNING_SLOWDOWN;
            let until = now.min(running.started.after(limit_ms as u64));
            let from = running.started.max(self.counted_until);
            if from < until {
                weighted_ms(from, until)
            } else {
                0.0
            }
        });
        uncounted.sum()
    }
}

/// Distribution of the slowdown outside of overload.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsualSlowdown {
    values: f64,
    mean: f64,
    variance: f64,
}

impl UsualSlowdown {
    /// Records the slowdown at the arrival of a new program.
    pub(super) fn record(&mut self, slowdown: f64) {
        self.values += 1.0;
        let weight = (1.0 / self.values).max(USUAL_WEIGHT);
        let deviation = slowdown - self.mean;
        self.mean += deviation * weight;
        self.variance += (deviation * deviation * (1.0 - weight) - self.variance) * weight;
    }

    /// Returns the slowdown that is rarely exceeded without overload.
    pub(super) fn max(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.variance.sqrt()
    }
}
