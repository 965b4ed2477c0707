//! Admission control: rejects new programs while model engines are overloaded.
//!
//! When arrivals reach several times the normal rate for some seconds, engines spend their time
//! reading prompts, every turn of every program slows down, and all programs finish late. Only a
//! finished program is of use to its caller, so new programs are rejected before any of their turns
//! has run. Programs that have already started continue.
//!
//! - `latency` measures the present slowdown of a service's turns.
//! - `tolerance` learns the slowdown at which a route's programs just end in time.
//! - `demand` orders the programs to reject by account, priority and hash.
//! - `returning` remembers rejected programs until they come back.

mod decay;
mod demand;
mod latency;
mod returning;
mod tolerance;

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use self::demand::{Demand, MAX_REJECTED_SHARE};
use self::latency::{ServiceLatency, UsualSlowdown};
use self::returning::{RejectedPrograms, retry_delay_ms};
use self::tolerance::{Need, Thresholds, Tolerance};
use crate::clock::Time;

/// Time after the last moment above the threshold in which a service still counts as overloaded. What
/// runs then was slowed down by the overload, so nothing is learned from it.
const OVERLOAD_HOLD_MS: u64 = 3_000;

/// Standard deviations above the mean up to which a slowdown is usual.
const USUAL_DEVIATIONS: f64 = 2.5;

/// The same while the service is overloaded. With one threshold, a part of the instances would admit all
/// programs during an overload, as the slowdown scatters at instances with few turns.
const OVERLOADED_DEVIATIONS: f64 = 0.5;

/// Turns of a program of which nothing is known yet, as the work that its rejection avoids.
const DEFAULT_PROGRAM_TURNS: f64 = 5.0;

/// Maximum number of services and of routes for each service. A configuration has a few dozens; names
/// that left it stay here until the process ends.
const MAX_NAMES: usize = 1_024;

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

/// What a completed turn tells about the program that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgramTurn<'a> {
    /// Name of the route.
    pub route: &'a Arc<str>,
    /// Whether the turn is the first one of its program.
    pub is_first: bool,
    /// Milliseconds until the program's deadline when the request arrived.
    pub remaining_ms: u64,
}

/// The first request of a program.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram<'a> {
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// Name of the route.
    pub route: &'a Arc<str>,
    /// Id of the program.
    pub program: &'a Arc<str>,
    /// Name of the client account; empty if callers need no key.
    pub account: &'a Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Milliseconds until the program's deadline, if the caller states it.
    pub remaining_ms: Option<u64>,
}

/// Why a program is admitted or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The service is not overloaded.
    Idle,
    /// The program is not in the rejected share.
    Share,
    /// The program was rejected before and has returned.
    Returned,
    /// Its account asks for more than its share.
    Account,
    /// More urgent programs take precedence.
    Priority,
    /// The hash of its id is in the rejected share.
    Hash,
    /// It could not end before its deadline.
    Late,
}

impl Cause {
    /// Returns the label of the cause in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Share => "share",
            Self::Returned => "returned",
            Self::Account => "account",
            Self::Priority => "priority",
            Self::Hash => "hash",
            Self::Late => "late",
        }
    }
}

/// Decision on a new program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Retry delay in milliseconds if the program is rejected.
    pub retry_ms: Option<u64>,
    /// Why.
    pub cause: Cause,
    /// Present slowdown of the service's turns.
    pub slowdown: f64,
    /// Slowdown from which programs of the route are rejected.
    pub threshold: f64,
}

/// Present load of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Arc<str>,
    /// Present slowdown of its turns.
    pub slowdown: f64,
    /// Lowest slowdown from which programs of one of its routes are rejected.
    pub threshold: f64,
}

/// A running turn of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTurn {
    service: Arc<str>,
    key: u64,
}

/// Measures the slowdown of turns per service and decides whether new programs are admitted.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: BTreeMap<Arc<str>, Service>,
    returning: RejectedPrograms,
    next_turn: u64,
}

/// What is known of a service.
#[derive(Debug, Default)]
struct Service {
    latency: ServiceLatency,
    demand: Demand,
    routes: BTreeMap<Arc<str>, Tolerance>,
    /// What is learned from the programs of all routes.
    all_routes: Tolerance,
    usual: UsualSlowdown,
    /// When the slowdown was last above the threshold of a route.
    overloaded_at: Option<Time>,
}

impl AdmissionControl {
    /// Records that a turn is sent to an engine. It counts as running until [`Self::end_turn`].
    /// Returns `None` for turns without unread tokens, whose duration is not expected.
    pub fn start_turn(
        &mut self,
        service: &Arc<str>,
        account: &Arc<str>,
        unread_tokens: u64,
        now: Time,
    ) -> Option<RunningTurn> {
        if unread_tokens == 0 {
            return None;
        }
        let key = self.next_turn;
        self.next_turn += 1;
        let state = self.service_mut(service)?;
        state.latency.start(key, unread_tokens, now);
        let work_ms = state.latency.expected_ms(unread_tokens);
        let is_overloaded = state.is_overloaded(now);
        state
            .demand
            .record_work(account, work_ms, is_overloaded, now);
        Some(RunningTurn {
            service: Arc::clone(service),
            key,
        })
    }

    /// Records the number of events that a running turn has had so far.
    pub fn record_events(&mut self, turn: &RunningTurn, events: u64, now: Time) {
        if let Some(state) = self.services.get_mut(&turn.service) {
            state.latency.record_events(turn.key, events, now);
        }
    }

    /// Records that a running turn has ended, completely or not.
    pub fn end_turn(&mut self, turn: &RunningTurn, now: Time) {
        if let Some(state) = self.services.get_mut(&turn.service) {
            state.latency.end(turn.key, now);
        }
    }

    /// Records the timing of a completed turn. Turns without unread tokens or with fewer than two
    /// events are ignored. `running` is given if the turn was counted while it ran, and `program` for
    /// turns of programs that state their deadline.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        turn: TurnTiming,
        running: Option<&RunningTurn>,
        program: Option<ProgramTurn<'_>>,
        now: Time,
    ) {
        if turn.unread_tokens == 0 || turn.events < 2 {
            return;
        }
        let Some(state) = self.service_mut(service) else {
            return;
        };
        let is_overloaded = state.is_overloaded(now);
        let idle_ms =
            state
                .latency
                .record(turn, running.map(|running| running.key), is_overloaded, now);
        let Some(program) = program.filter(|_| !is_overloaded) else {
            return;
        };
        if let Some(tolerance) = entry(&mut state.routes, program.route) {
            let ms = turn.first_event_ms + turn.streaming_ms;
            let remaining_ms = program.remaining_ms as f64;
            tolerance.record(program.is_first, remaining_ms, ms, idle_ms, now);
            let all_routes = &mut state.all_routes;
            all_routes.record(program.is_first, remaining_ms, ms, idle_ms, now);
        }
    }

    /// Returns the present slowdown of a service's turns relative to idle engines. Returns 1 if there
    /// are too few recent measurements.
    #[must_use]
    pub fn slowdown(&self, service: &str, now: Time) -> f64 {
        let state = self.services.get(service);
        state.map_or(1.0, |state| state.latency.slowdown(now))
    }

    /// Returns the present load of all services.
    #[must_use]
    pub fn loads(&self, now: Time) -> Vec<ServiceLoad> {
        let load = |(service, state): (&Arc<str>, &Service)| ServiceLoad {
            service: Arc::clone(service),
            slowdown: state.latency.slowdown(now),
            threshold: state
                .routes
                .values()
                .map(|route| {
                    state
                        .thresholds(Some(route), state.is_overloaded(now))
                        .start
                })
                .fold(Thresholds::default().start, f64::min),
        };
        self.services.iter().map(load).collect()
    }

    /// Decides on the first request of a program. `draw` is a random number from 0 to 1 that spreads
    /// the retry delay.
    ///
    /// Within its group the program is selected by a hash of its id, so that instances with similar
    /// measurements decide alike.
    pub fn decide(&mut self, new: &NewProgram<'_>, draw: f64, now: Time) -> Decision {
        let unknown = Decision {
            retry_ms: None,
            cause: Cause::Idle,
            slowdown: 1.0,
            threshold: Thresholds::default().start,
        };
        let Some(state) = entry(&mut self.services, new.service) else {
            return unknown;
        };
        let slowdown = state.latency.slowdown(now);
        let route = state.routes.get(new.route);
        let need = route.and_then(Tolerance::need);
        if slowdown > state.thresholds(route, false).start {
            state.overloaded_at = Some(now);
        }
        let thresholds = state.thresholds(route, state.is_overloaded(now));
        let share = thresholds.share(slowdown);
        if !state.is_overloaded(now) {
            state.usual.record(slowdown);
        }
        let group = state.demand.record_arrival(new.account, new.priority, now);
        let rank = xxh3_64(new.program.as_bytes()) as f64 / u64::MAX as f64;
        let returned = self.returning.find(new.program, now);
        // For an account above its share, the load has grown whatever the slowdown is.
        let may_return = returned.is_some_and(|rejected| rejected.may_return(slowdown, now))
            && state.demand.is_within_share(new.account, now);
        let stated_ms = returned.and_then(|rejected| rejected.remaining_ms);
        let is_late = is_late(new.remaining_ms, stated_ms, need.as_ref(), slowdown);
        let cause = if share <= 0.0 {
            Cause::Idle
        } else if is_late && rank < MAX_REJECTED_SHARE {
            Cause::Late
        } else if may_return {
            Cause::Returned
        } else {
            state
                .demand
                .select(new.account, group, share, rank, now)
                .unwrap_or(Cause::Share)
        };
        let is_rejected = matches!(
            cause,
            Cause::Account | Cause::Priority | Cause::Hash | Cause::Late
        );
        let mut decision = Decision {
            retry_ms: None,
            cause,
            slowdown,
            threshold: thresholds.start,
        };
        if !is_rejected {
            self.returning.remove(new.program);
            return decision;
        }
        let turns = need.map_or(DEFAULT_PROGRAM_TURNS, |need| need.turns);
        let avoided_ms = turns * state.latency.mean_turn_ms();
        state.demand.record_rejection(new.account, avoided_ms, now);
        let retry_ms = retry_delay_ms(
            new.remaining_ms,
            need.as_ref(),
            slowdown,
            thresholds.start,
            draw,
        );
        self.returning
            .insert(new.program, retry_ms, slowdown, new.remaining_ms, now);
        decision.retry_ms = Some(retry_ms);
        decision
    }

    fn service_mut(&mut self, service: &Arc<str>) -> Option<&mut Service> {
        entry(&mut self.services, service)
    }
}

impl Service {
    /// Returns whether the slowdown was above the threshold a moment ago.
    fn is_overloaded(&self, now: Time) -> bool {
        self.overloaded_at
            .is_some_and(|at| now.since(at) < OVERLOAD_HOLD_MS)
    }

    /// Returns the slowdowns between which programs of a route are rejected.
    fn thresholds(&self, route: Option<&Tolerance>, is_overloaded: bool) -> Thresholds {
        let deviations = if is_overloaded {
            OVERLOADED_DEVIATIONS
        } else {
            USUAL_DEVIATIONS
        };
        route.map_or_else(Thresholds::default, |route| {
            route.thresholds(&self.all_routes, self.usual.max(deviations))
        })
    }
}

/// Returns the entry of a name, unless there are too many names.
fn entry<'a, T: Default>(map: &'a mut BTreeMap<Arc<str>, T>, name: &Arc<str>) -> Option<&'a mut T> {
    if !map.contains_key(name) && map.len() >= MAX_NAMES {
        return None;
    }
    Some(map.entry(Arc::clone(name)).or_default())
}

/// Returns whether a program can't end before its deadline at the present slowdown. `stated_ms` is the
/// time that it had at its first request, if that is known.
fn is_late(
    remaining_ms: Option<u64>,
    stated_ms: Option<u64>,
    need: Option<&Need>,
    slowdown: f64,
) -> bool {
    let (Some(remaining_ms), Some(need)) = (remaining_ms, need) else {
        return false;
    };
    let needed_ms = match stated_ms {
        Some(stated_ms) => need.share(slowdown) * stated_ms as f64,
        None => need.min_ms(slowdown),
    };
    (remaining_ms as f64) < needed_ms
}
