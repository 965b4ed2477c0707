//! The demand of an account at an instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::SLOT_MS;
use crate::clock::Time;

/// Requests of a program of a route of which no program has ended yet.
const INITIAL_REQUESTS: f64 = 4.0;

/// Duration of such a program, in milliseconds.
const INITIAL_DURATION_MS: f64 = 1_000.0;

/// EWMA weight of the latest program of a route.
const PROGRAM_WEIGHT: f64 = 0.1;

/// Time constant of the rate of requests without a program, in milliseconds. Permits are reserved for
/// up to 6 s.
const RATE_TIME_CONSTANT_MS: f64 = 4_000.0;

/// Limits on the time without a request after which a program is over, in milliseconds, and that time
/// as a multiple of the mean interval between its requests.
const MIN_IDLE_MS: f64 = 500.0;
const MAX_IDLE_MS: f64 = 4_000.0;
const IDLE_INTERVALS: f64 = 4.0;

/// Number of requests from which on a program's own rate is used.
const MIN_MEASURED_REQUESTS: u32 = 4;

/// Time that a program in progress is expected to last at least, as a fraction of the mean duration on its
/// route or of the time for which it has lasted longer than that.
const MIN_REMAINING: f64 = 0.25;

/// Intervals without a request after which a program may be over, and after which it probably is.
const MIN_INTERVALS: f64 = 1.5;
const MAX_INTERVALS: f64 = 3.0;

/// Maximum number of programs of an account that are tracked.
const MAX_PROGRAMS: usize = 1_000;

/// What the programs of a route are like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgramShape {
    /// Mean number of requests.
    pub requests: f64,
    /// Mean time from the first to the last request, in milliseconds.
    pub duration_ms: f64,
    /// Number of programs that have ended.
    ended: u32,
}

impl Default for ProgramShape {
    fn default() -> Self {
        Self {
            requests: INITIAL_REQUESTS,
            duration_ms: INITIAL_DURATION_MS,
            ended: 0,
        }
    }
}

impl ProgramShape {
    fn record(&mut self, requests: f64, duration_ms: f64) {
        self.ended = self.ended.saturating_add(1);
        let weight = PROGRAM_WEIGHT.max(1.0 / f64::from(self.ended));
        self.requests += (requests - self.requests) * weight;
        self.duration_ms += (duration_ms - self.duration_ms) * weight;
    }

    /// Returns the mean interval between requests in milliseconds.
    fn interval_ms(&self) -> f64 {
        self.duration_ms / (self.requests - 1.0).max(1.0)
    }
}

/// What the programs are like, by route. Learned from programs of all accounts.
#[derive(Clone, Debug, Default)]
pub struct ProgramShapes(BTreeMap<Arc<str>, ProgramShape>);

impl ProgramShapes {
    /// Returns what the programs of a route are like.
    #[must_use]
    pub fn get(&self, route: &str) -> ProgramShape {
        self.0.get(route).copied().unwrap_or_default()
    }
}

/// A program in progress.
#[derive(Clone, Debug)]
struct Program {
    /// Route of its first request.
    route: Arc<str>,
    began: Time,
    latest: Time,
    requests: u32,
}

impl Program {
    fn idle_limit_ms(&self, shape: ProgramShape) -> u64 {
        let interval_ms = shape.interval_ms().max(self.mean_interval_ms());
        (interval_ms * IDLE_INTERVALS).clamp(MIN_IDLE_MS, MAX_IDLE_MS) as u64
    }

    fn mean_interval_ms(&self) -> f64 {
        let intervals = self.requests.saturating_sub(1).max(1);
        self.latest.since(self.began) as f64 / f64::from(intervals)
    }

    /// Returns the expected requests per slot, and for how many slots.
    fn expected(&self, shape: ProgramShape, now: Time) -> (f64, f64) {
        let age_ms = now.since(self.began) as f64;
        let interval_ms = if self.requests >= MIN_MEASURED_REQUESTS {
            self.mean_interval_ms()
        } else {
            shape.interval_ms()
        };
        let interval_ms = interval_ms.max(1.0);
        let rest_ms = shape.duration_ms - age_ms;
        let min_rest_ms = shape.duration_ms.max(-rest_ms) * MIN_REMAINING;
        let remaining_ms = rest_ms.max(min_rest_ms);
        let idle = now.since(self.latest) as f64 / interval_ms;
        let in_progress =
            ((MAX_INTERVALS - idle) / (MAX_INTERVALS - MIN_INTERVALS)).clamp(0.0, 1.0);
        let slot_ms = SLOT_MS as f64;
        (slot_ms / interval_ms * in_progress, remaining_ms / slot_ms)
    }
}

/// Demand of an account at an instance. Updated by its requests.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// By the hash of their ids.
    programs: BTreeMap<u64, Program>,
    /// Requests without a program per millisecond, smoothed.
    rate: f64,
    rate_at: Time,
}

impl Demand {
    /// Records a request. `program` is the hash of its program's id, if it has one. Returns whether it
    /// is the first one of its program at this instance.
    pub fn record(
        &mut self,
        program: Option<u64>,
        route: &Arc<str>,
        shapes: &mut ProgramShapes,
        now: Time,
    ) -> bool {
        self.end_programs(shapes, now);
        let Some(id) = program else {
            self.rate = self.rate_at(now) + 1.0 / RATE_TIME_CONSTANT_MS;
            self.rate_at = now;
            return false;
        };
        if let Some(program) = self.programs.get_mut(&id) {
            program.latest = now;
            program.requests += 1;
            return false;
        }
        if self.programs.len() < MAX_PROGRAMS {
            let program = Program {
                route: Arc::clone(route),
                began: now,
                latest: now,
                requests: 1,
            };
            self.programs.insert(id, program);
        }
        true
    }

    /// Forgets a program one of whose requests was rejected.
    pub fn cancel(&mut self, program: u64, shapes: &mut ProgramShapes) {
        let Some(program) = self.programs.remove(&program) else {
            return;
        };
        if program.requests > 1 {
            // It would have had more requests. If only those that end by themselves were learned, the
            // expectation would shrink under overload.
            let shape = shapes.0.entry(Arc::clone(&program.route)).or_default();
            let requests = f64::from(program.requests).max(shape.requests);
            let duration_ms = program.latest.since(program.began) as f64;
            shape.record(requests, duration_ms.max(shape.duration_ms));
        }
    }

    /// Returns whether programs are in progress.
    #[must_use]
    pub fn has_programs(&self) -> bool {
        !self.programs.is_empty()
    }

    /// Returns the requests that are expected of programs in progress, in each of the next slots.
    #[must_use]
    pub fn of_programs<const SLOTS: usize>(
        &self,
        shapes: &ProgramShapes,
        now: Time,
    ) -> [f64; SLOTS] {
        let mut need = [0.0; SLOTS];
        for program in self.programs.values() {
            let shape = shapes.get(&program.route);
            let (per_slot, slots) = program.expected(shape, now);
            for (index, need) in need.iter_mut().enumerate() {
                *need += per_slot * (slots - index as f64).clamp(0.0, 1.0);
            }
        }
        need
    }

    /// Returns the mean number of requests without a program per slot in the last seconds.
    #[must_use]
    pub fn others_per_slot(&self, now: Time) -> f64 {
        self.rate_at(now) * SLOT_MS as f64
    }

    fn rate_at(&self, now: Time) -> f64 {
        let age_ms = now.since(self.rate_at) as f64;
        self.rate * (-age_ms / RATE_TIME_CONSTANT_MS).exp()
    }

    /// Ends programs that are idle, and learns from them.
    pub fn end_programs(&mut self, shapes: &mut ProgramShapes, now: Time) {
        self.programs.retain(|_, program| {
            let shape = shapes.get(&program.route);
            let is_over = now.since(program.latest) >= program.idle_limit_ms(shape);
            if is_over {
                let duration_ms = program.latest.since(program.began) as f64;
                let shape = shapes.0.entry(Arc::clone(&program.route)).or_default();
                shape.record(f64::from(program.requests), duration_ms);
            }
            !is_over
        });
    }
}
