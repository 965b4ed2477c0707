//! Slowdown of turns at which the programs of a route just end in time.
//!
//! Callers state at each request how much time their program has left. An instance may see all turns
//! of a program or only one, as any instance serves any turn. So programs are not followed one by one:
//! the sums over first turns and later turns of a route are enough. With n turns in a program, of which
//! each takes one step (turn and pause), the time left at the later turns is lower than at the first
//! one by (n - 1) n / 2 steps in sum. Programs of a route differ in length; their deadlines are assumed
//! proportional to their number of turns.

use std::collections::VecDeque;

use crate::clock::Time;

/// Turns after which an observation has lost most of its weight.
const WINDOW: f64 = 600.0;

/// First turns beyond the minimum in which the thresholds that hold before anything is known lose most
/// of their weight.
const PRIOR_PROGRAMS: f64 = 4.0;

/// Part of a program's stated time after which its first turn is counted. Later turns follow the first
/// one by half a program on average; without the delay, programs would seem shorter while an instance
/// has only seen the beginning of many.
const FIRST_TURN_DELAY: f64 = 0.4;

/// Maximum number of first turns that are not counted yet.
const MAX_PENDING: usize = 512;

/// First turns of a route whose measurement weighs as much as that of all routes of the service.
const POOLED_PROGRAMS: f64 = 8.0;

/// Minimum of first and of later turns before anything is learned.
const MIN_PROGRAMS: f64 = 10.0;

/// Slowdown at which the first programs are rejected if nothing is known of a route. Callers accept two
/// to three times a program's duration on idle engines, and turns are most of that duration. It is also
/// the highest such slowdown.
const DEFAULT_START: f64 = 2.6;

/// Slowdown at which the rejected share would reach one if nothing is known of a route. Most programs
/// admitted at this slowdown would finish late.
const DEFAULT_FULL: f64 = 4.0;

/// Part of the tolerated slowdown above 1 at which rejection starts at the earliest. The slowdown goes
/// on growing after it was measured, as programs that were admitted before run for several more turns.
const START_MARGIN: f64 = 0.3;

/// Part of the tolerated slowdown above 1 at which rejection starts at the latest, however slow turns
/// usually are.
const MAX_START_MARGIN: f64 = 0.6;

/// Part of the tolerated slowdown above 1 at which the rejected share would reach one. It is below the
/// tolerated slowdown for the same reason as the start.
const FULL_MARGIN: f64 = 0.8;

/// Growth of the start and of the end of rejection for each unit by which the tolerated slowdown exceeds
/// two. From a tolerated slowdown of 3.3, the default thresholds hold.
const START_MARGIN_GROWTH: f64 = 0.7;
const FULL_MARGIN_GROWTH: f64 = 0.9;

/// Lowest tolerated slowdown. Below it, measurements are too uneven to tell a load from another.
const MIN_TOLERANCE: f64 = 1.2;

/// Share of programs that is rejected, as a function of the slowdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Thresholds {
    /// Slowdown at which the share is zero.
    pub(super) start: f64,
    /// Slowdown at which the share would be one.
    pub(super) full: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Self {
            start: DEFAULT_START,
            full: DEFAULT_FULL,
        }
    }
}

impl Thresholds {
    /// Returns the share of the requested work that is rejected.
    #[must_use]
    pub(super) fn share(&self, slowdown: f64) -> f64 {
        let excess = (slowdown - self.start) / (self.full - self.start);
        excess.clamp(0.0, super::MAX_REJECTED_SHARE)
    }
}

/// Time that the programs of a route need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Need {
    /// Mean number of turns.
    pub(super) turns: f64,
    /// Mean time that a program states until its deadline, in milliseconds.
    deadline_ms: f64,
    /// Standard deviation of that time.
    deadline_spread_ms: f64,
    /// Mean time outside turns, in milliseconds.
    outside_ms: f64,
    /// Mean time of all turns on idle engines, in milliseconds.
    idle_ms: f64,
    /// First turns that this is based on.
    programs: f64,
}

impl Need {
    /// Returns the mean duration of a program at a slowdown, in milliseconds.
    #[must_use]
    pub(super) fn ms(&self, slowdown: f64) -> f64 {
        self.outside_ms + self.idle_ms * slowdown
    }

    /// Returns the duration of a program at a slowdown as a part of the time that it states.
    #[must_use]
    pub(super) fn share(&self, slowdown: f64) -> f64 {
        self.ms(slowdown) / self.deadline_ms
    }

    /// Returns the time that even a short program of the route needs, in milliseconds: one turn, or
    /// what those with a deadline far below the mean need. Above the tolerated slowdown nearly all
    /// programs would need more time than they have; which of them are rejected then is decided by
    /// account and priority, so the slowdown counts only up to there.
    #[must_use]
    pub(super) fn min_ms(&self, slowdown: f64) -> f64 {
        let short_ms = (self.deadline_ms - 2.0 * self.deadline_spread_ms).max(0.0);
        let turn_ms = self.idle_ms / self.turns * slowdown;
        turn_ms.max(short_ms * self.share(slowdown).min(1.0))
    }

    /// Returns the slowdown of its turns at which a program just ends in time.
    #[must_use]
    pub(super) fn tolerated_slowdown(&self) -> f64 {
        (self.deadline_ms - self.outside_ms) / self.idle_ms
    }
}

/// Sums over the recent turns of a route's programs.
#[derive(Clone, Debug, Default)]
pub(super) struct Tolerance {
    /// First turns that are not counted yet: when they will be, and their time left.
    pending: VecDeque<(Time, f64)>,
    /// First turns: their number, their time left, and its square.
    programs: f64,
    deadline: f64,
    deadline_squared: f64,
    /// Later turns: their number and their time left.
    later_turns: f64,
    remaining: f64,
    /// All turns: their number, their duration, and that on idle engines.
    turns: f64,
    turn_ms: f64,
    idle_ms: f64,
}

impl Tolerance {
    /// Records a completed turn, which took `ms` and would have taken `idle_ms` on an idle engine.
    pub(super) fn record(
        &mut self,
        is_first: bool,
        remaining_ms: f64,
        ms: f64,
        idle_ms: f64,
        now: Time,
    ) {
        for sum in [
            &mut self.programs,
            &mut self.deadline,
            &mut self.deadline_squared,
            &mut self.later_turns,
            &mut self.remaining,
            &mut self.turns,
            &mut self.turn_ms,
            &mut self.idle_ms,
        ] {
            *sum *= 1.0 - 1.0 / WINDOW;
        }
        self.turns += 1.0;
        self.turn_ms += ms;
        self.idle_ms += idle_ms;
        if is_first {
            let due = now.after((remaining_ms * FIRST_TURN_DELAY) as u64);
            self.pending.push_back((due, remaining_ms));
        } else {
            self.later_turns += 1.0;
            self.remaining += remaining_ms;
        }
        while let Some(&(due, remaining_ms)) = self.pending.front()
            && (due <= now || self.pending.len() > MAX_PENDING)
        {
            self.pending.pop_front();
            self.programs += 1.0;
            self.deadline += remaining_ms;
            self.deadline_squared += remaining_ms * remaining_ms;
        }
    }

    /// Returns what the route's programs need, if enough of them were seen.
    pub(super) fn need(&self) -> Option<Need> {
        if self.programs < MIN_PROGRAMS || self.later_turns < MIN_PROGRAMS || self.deadline <= 0.0 {
            return None;
        }
        let all_turns = self.programs + self.later_turns;
        let turns = all_turns / self.programs;
        let deadline_ms = self.deadline / self.programs;
        let variance = self.deadline_squared / self.programs - deadline_ms * deadline_ms;
        let turns_per_ms = turns / deadline_ms;
        // Time that the later turns would have left if no time passed within a program.
        let stated = turns_per_ms * self.deadline_squared - self.deadline;
        let steps = (turns_per_ms * turns_per_ms * self.deadline_squared
            - turns_per_ms * self.deadline)
            / 2.0;
        let step_ms = (stated - self.remaining) / steps;
        if !step_ms.is_finite() || step_ms <= 0.0 {
            return None;
        }
        let turn_ms = self.turn_ms / self.turns;
        // Turns of a program that overlap take less than their sum.
        let path = (step_ms / turn_ms).min(1.0);
        let pause_ms = (step_ms - turn_ms).max(0.0);
        Some(Need {
            turns,
            deadline_ms,
            deadline_spread_ms: variance.max(0.0).sqrt(),
            outside_ms: pause_ms * (turns - 1.0),
            idle_ms: (self.idle_ms / self.turns * turns * path).max(1.0),
            programs: self.programs,
        })
    }

    /// Returns the slowdowns between which programs are rejected. They approach the learned ones as
    /// more programs are seen, and are never above the default ones. While few programs of the route
    /// were seen, those of all routes of the `service` count more. `usual` is the highest slowdown
    /// without overload. Rejection starts above it as long as programs end in time at it.
    pub(super) fn thresholds(&self, service: &Self, usual: f64) -> Thresholds {
        let default = Thresholds::default();
        let Some(pooled) = service.need() else {
            return default;
        };
        let mut tolerance = pooled.tolerated_slowdown();
        if let Some(own) = self.need() {
            let weight = own.programs / (own.programs + POOLED_PROGRAMS);
            tolerance += (own.tolerated_slowdown() - tolerance) * weight;
        }
        let tolerance = tolerance.max(MIN_TOLERANCE) - 1.0;
        let beyond = (tolerance - 1.0).max(0.0);
        let earliest = 1.0 + tolerance * START_MARGIN + beyond * START_MARGIN_GROWTH;
        let start = usual.min(1.0 + tolerance * MAX_START_MARGIN).max(earliest);
        let full = 1.0 + tolerance * FULL_MARGIN + beyond * FULL_MARGIN_GROWTH;
        let weight = 1.0 - (-(pooled.programs - MIN_PROGRAMS) / PRIOR_PROGRAMS).exp();
        let mix = |learned: f64, default: f64| default + (learned - default).min(0.0) * weight;
        Thresholds {
            start: mix(start, default.start),
            full: mix(full, default.full),
        }
    }
}
