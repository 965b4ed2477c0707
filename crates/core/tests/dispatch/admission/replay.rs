//! Replay of a service under changing load: instances that decide on their own, engines that share
//! their speed among running turns, and callers with deadlines.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::{
    AdmissionControl, NewProgram, ProgramTurn, RunningTurn, TurnTiming,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fixed_threshold::FixedThreshold;

const INSTANCES: usize = 86;
const ENGINES: usize = 44;
const SLOTS: usize = 8;
const STEP_MS: u64 = 10;

/// Time to read a prompt token and to generate an event on an idle engine, in milliseconds.
const READ_MS: f64 = 0.1;
const EVENT_MS: f64 = 10.0;

/// Part of an engine's speed that each further running turn takes from a turn.
const SHARING: f64 = 0.12;

/// Mean duration of a pause between two turns, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Programs per second at normal load: about seven tenths of what the engines can run.
const NORMAL_PER_S: f64 = 58.0;

/// Retries of a rejected program by its caller.
const RETRIES: u32 = 1;

/// Which decision the instances use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// All programs are admitted.
    Open,
    /// Fixed thresholds on the slowdown of completed turns, as before accounts existed.
    Fixed,
    /// [`AdmissionControl`].
    Learned,
}

/// A span of time with a multiple of the normal rate of an account, or of all.
#[derive(Clone, Copy, Debug)]
pub(super) struct Surge {
    pub(super) from_ms: u64,
    pub(super) until_ms: u64,
    pub(super) factor: f64,
    pub(super) account: Option<usize>,
}

/// What is replayed.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) policy: Policy,
    /// Duration of the arrivals, in milliseconds.
    pub(super) ms: u64,
    /// Multiple of the normal rate of arrivals.
    pub(super) rate: f64,
    pub(super) surge: Option<Surge>,
    /// Deadlines as multiples of the duration on idle engines, for programs of 4 and of 11 turns.
    pub(super) deadlines: [f64; 2],
    /// Number of accounts, of Zipf-like size. One stands for callers without accounts.
    pub(super) accounts: usize,
    pub(super) priorities: u8,
    /// Whether all turns of a program reach the same instance.
    pub(super) is_sticky: bool,
    /// Whether both lengths of programs share a route.
    pub(super) is_one_route: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: Policy::Learned,
            ms: 90_000,
            rate: 1.0,
            surge: None,
            deadlines: [1.6, 1.4],
            accounts: 1,
            priorities: 1,
            is_sticky: true,
            is_one_route: false,
        }
    }
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    InTime,
    Late,
    Rejected,
}

/// A program and its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) arrived: u64,
    pub(super) account: usize,
    pub(super) priority: u8,
    pub(super) turns: usize,
    pub(super) end: End,
    /// Whether its first try was rejected.
    pub(super) was_rejected: bool,
}

/// Counts of ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) programs: usize,
    pub(super) in_time: usize,
    pub(super) late: usize,
    pub(super) rejected: usize,
}

impl Counts {
    /// Counts the programs that match.
    pub(super) fn of(outcomes: &[Outcome], filter: impl Fn(&Outcome) -> bool) -> Self {
        let mut counts = Self::default();
        for outcome in outcomes.iter().filter(|outcome| filter(outcome)) {
            counts.programs += 1;
            match outcome.end {
                End::InTime => counts.in_time += 1,
                End::Late => counts.late += 1,
                End::Rejected => counts.rejected += 1,
            }
        }
        counts
    }

    /// Returns the share of programs that ended in time.
    pub(super) fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.programs.max(1) as f64
    }
}

/// Returns the seconds after `from_ms` from which on nine of ten programs of each second end in time.
pub(super) fn seconds_to_recover(outcomes: &[Outcome], from_ms: u64) -> u64 {
    let last = outcomes.iter().map(|outcome| outcome.arrived).max();
    let seconds = (last.unwrap_or_default() - from_ms) / 1_000;
    let is_bad = |second: &u64| {
        let span = from_ms + second * 1_000..from_ms + (second + 1) * 1_000;
        Counts::of(outcomes, |outcome| span.contains(&outcome.arrived)).share_in_time() < 0.9
    };
    (0..seconds)
        .rev()
        .find(is_bad)
        .map_or(0, |second| second + 1)
}

struct Program {
    id: Arc<str>,
    outcome: Outcome,
    deadline: u64,
    instance: usize,
    turn: usize,
    retries_left: u32,
    pauses: Vec<u64>,
    sizes: Vec<(u64, u64)>,
    state: State,
}

enum State {
    /// Arrives, returns or sends its next turn at this time.
    Waiting(u64),
    Running(Turn),
    Ended,
}

struct Turn {
    engine: usize,
    started: u64,
    remaining_at_start: u64,
    first_event_ms: Option<u64>,
    /// Remaining time on an idle engine, in milliseconds: to the first event, and to the last.
    to_first_ms: f64,
    to_last_ms: f64,
    running: Option<RunningTurn>,
}

impl Program {
    fn new(scenario: &Scenario, index: usize, account: usize, now: u64, rng: &mut StdRng) -> Self {
        let kind = rng.random_range(0..2);
        let turns = [4, 11][kind];
        let sizes: Vec<(u64, u64)> = (0..turns)
            .map(|_| (rng.random_range(400..1_600), rng.random_range(12..28)))
            .collect();
        let pauses: Vec<u64> = (0..turns)
            .map(|_| rng.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2))
            .collect();
        let idle_ms: f64 = sizes.iter().map(|size| idle_ms(*size)).sum();
        let pause_ms: u64 = pauses[1..].iter().sum();
        let deadline_ms = (idle_ms + pause_ms as f64) * scenario.deadlines[kind];
        Self {
            id: format!("p{}-{index}", scenario.seed).into(),
            outcome: Outcome {
                arrived: now,
                account,
                priority: rng.random_range(0..scenario.priorities),
                turns,
                end: End::Rejected,
                was_rejected: false,
            },
            deadline: now + deadline_ms as u64,
            instance: rng.random_range(0..INSTANCES),
            turn: 0,
            retries_left: RETRIES,
            pauses,
            sizes,
            state: State::Waiting(now),
        }
    }
}

fn idle_ms((tokens, events): (u64, u64)) -> f64 {
    tokens as f64 * READ_MS + events as f64 * EVENT_MS
}

/// All instances and engines.
struct Site<'a> {
    scenario: &'a Scenario,
    service: Arc<str>,
    routes: [Arc<str>; 2],
    accounts: Vec<Arc<str>>,
    controls: Vec<AdmissionControl>,
    fixed: Vec<FixedThreshold>,
    /// Turns at each engine.
    loads: Vec<usize>,
    rng: StdRng,
}

impl Site<'_> {
    fn route_index(&self, program: &Program) -> usize {
        usize::from(program.outcome.turns > 4 && !self.scenario.is_one_route)
    }

    /// Returns the retry delay if the program is rejected.
    fn decide(&mut self, program: &Program, now: u64) -> Option<u64> {
        let draw = self.rng.random();
        let route = self.route_index(program);
        let new = NewProgram {
            service: &self.service,
            route: &self.routes[route],
            program: &program.id,
            account: &self.accounts[program.outcome.account],
            priority: program.outcome.priority,
            remaining_ms: Some(program.deadline.saturating_sub(now)),
        };
        let now = Time::from_ms(now);
        let instance = program.instance;
        match self.scenario.policy {
            Policy::Open => None,
            Policy::Fixed => self.fixed[instance].rejection_delay_ms(&program.id, draw, now),
            Policy::Learned => self.controls[instance].decide(&new, draw, now).retry_ms,
        }
    }

    /// Sends the program's next turn, or handles its rejection.
    fn send(&mut self, program: &mut Program, now: u64) {
        if !self.scenario.is_sticky {
            program.instance = self.rng.random_range(0..INSTANCES);
        }
        let left = program.deadline.saturating_sub(now);
        if program.turn == 0
            && let Some(retry_ms) = self.decide(program, now)
        {
            program.outcome.was_rejected = true;
            let honours = retry_ms <= left / 3 && program.retries_left > 0;
            program.retries_left = program.retries_left.saturating_sub(1);
            program.state = if honours {
                State::Waiting(now + retry_ms.max(STEP_MS))
            } else {
                State::Ended
            };
            return;
        }
        let choices = [0; 2].map(|_| self.rng.random_range(0..ENGINES));
        let engine = choices
            .into_iter()
            .min_by_key(|engine| self.loads[*engine])
            .unwrap();
        self.loads[engine] += 1;
        let (tokens, events) = program.sizes[program.turn];
        let account = &self.accounts[program.outcome.account];
        let control = &mut self.controls[program.instance];
        program.state = State::Running(Turn {
            engine,
            started: now,
            remaining_at_start: left,
            first_event_ms: None,
            to_first_ms: tokens as f64 * READ_MS,
            to_last_ms: events as f64 * EVENT_MS,
            running: control.start_turn(&self.service, account, tokens, Time::from_ms(now)),
        });
    }

    /// Returns the speed of a turn at an engine. Turns beyond the slots share the slots.
    fn speed(&self, engine: usize) -> f64 {
        let load = self.loads[engine];
        let running = load.min(SLOTS) as f64;
        running / load as f64 / (1.0 + SHARING * (running - 1.0))
    }

    /// Records a completed turn and starts the pause after it.
    fn complete(&mut self, program: &mut Program, now: u64) {
        let State::Running(turn) = std::mem::replace(&mut program.state, State::Ended) else {
            return;
        };
        self.loads[turn.engine] -= 1;
        let (unread_tokens, events) = program.sizes[program.turn];
        let first_event_ms = turn.first_event_ms.unwrap_or_default();
        let timing = TurnTiming {
            unread_tokens,
            first_event_ms: first_event_ms as f64,
            streaming_ms: (now - turn.started).saturating_sub(first_event_ms) as f64,
            events,
        };
        let time = Time::from_ms(now);
        let of_program = ProgramTurn {
            route: &self.routes[self.route_index(program)],
            is_first: program.turn == 0,
            remaining_ms: turn.remaining_at_start,
        };
        let control = &mut self.controls[program.instance];
        let running = turn.running.as_ref();
        control.record(&self.service, timing, running, Some(of_program), time);
        self.fixed[program.instance].record(timing, time);
        program.turn += 1;
        if program.turn < program.sizes.len() {
            program.state = State::Waiting(now + program.pauses[program.turn]);
        } else if now <= program.deadline {
            program.outcome.end = End::InTime;
        } else {
            program.outcome.end = End::Late;
        }
    }
}

/// Replays a scenario. Returns all programs.
pub(super) fn replay(scenario: &Scenario) -> Vec<Outcome> {
    let weights: Vec<f64> = (0..scenario.accounts)
        .map(|rank| 1.0 / (rank + 1) as f64)
        .collect();
    let total_weight: f64 = weights.iter().sum();
    let names = (0..scenario.accounts).map(|index| match scenario.accounts {
        1 => "".into(),
        _ => format!("account-{index}").into(),
    });
    let mut site = Site {
        scenario,
        service: "engine".into(),
        routes: ["short".into(), "long".into()],
        accounts: names.collect(),
        controls: (0..INSTANCES)
            .map(|_| AdmissionControl::default())
            .collect(),
        fixed: (0..INSTANCES).map(|_| FixedThreshold::default()).collect(),
        loads: vec![0; ENGINES],
        rng: StdRng::seed_from_u64(scenario.seed),
    };
    // Arrivals and programs have their own numbers, so that all policies see the same ones.
    let mut arrivals = StdRng::seed_from_u64(scenario.seed ^ 0x5eed);
    let mut programs: Vec<Program> = Vec::new();
    let mut outcomes = Vec::new();
    let mut index = 0;
    let mut now = 0;
    while now < scenario.ms || !programs.is_empty() {
        for (account, weight) in weights.iter().enumerate() {
            let surge = scenario.surge.filter(|surge| {
                (surge.from_ms..surge.until_ms).contains(&now)
                    && surge.account.is_none_or(|only| only == account)
            });
            let factor = surge.map_or(1.0, |surge| surge.factor);
            let mean = NORMAL_PER_S * scenario.rate * factor * weight / total_weight
                * STEP_MS as f64
                / 1_000.0;
            // A step is short enough that few accounts have more than one arrival in it.
            let count = mean as usize + usize::from(arrivals.random_bool(mean.fract()));
            for _ in 0..if now < scenario.ms { count } else { 0 } {
                programs.push(Program::new(scenario, index, account, now, &mut arrivals));
                index += 1;
            }
        }
        for program in &mut programs {
            match &mut program.state {
                State::Waiting(at) if *at <= now => site.send(program, now),
                State::Running(turn) => {
                    let advance = STEP_MS as f64 * site.speed(turn.engine);
                    if turn.first_event_ms.is_none() {
                        turn.to_first_ms -= advance;
                        if turn.to_first_ms <= 0.0 {
                            turn.first_event_ms = Some(now - turn.started);
                            turn.to_last_ms += turn.to_first_ms;
                        }
                    } else {
                        turn.to_last_ms -= advance;
                    }
                    let missing = (turn.to_last_ms / EVENT_MS).max(0.0) as u64;
                    let events = program.sizes[program.turn].1.saturating_sub(missing);
                    if turn.first_event_ms.is_some()
                        && let Some(running) = &turn.running
                    {
                        let control = &mut site.controls[program.instance];
                        control.record_events(running, events.max(1), Time::from_ms(now));
                    }
                    if turn.first_event_ms.is_some() && turn.to_last_ms <= 0.0 {
                        site.complete(program, now);
                    }
                }
                _ => {}
            }
        }
        programs.retain(|program| {
            let has_ended = matches!(program.state, State::Ended);
            if has_ended {
                outcomes.push(program.outcome);
            }
            !has_ended
        });
        now += STEP_MS;
    }
    outcomes
}
