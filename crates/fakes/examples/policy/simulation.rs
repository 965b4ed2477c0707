//! Discrete-time simulation of programs that arrive, call, pause and end under one policy.

use std::collections::BTreeSet;

use basilramp_core::id;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::core_scheduler::CoreScheduler;
use crate::engine::{Engine, EngineCall, SLOTS};
use crate::policy::Policy;
use crate::workload::{Deployment, Turn};

const ENGINES: usize = 20;
const STEP_MS: u64 = 10;

/// Time before the first program, in which the homes get their first load reports.
const WARM_UP_MS: u64 = 5_000;

/// Time for which programs arrive.
const ARRIVALS_MS: u64 = 600_000;

/// Maximum simulated time of a run.
const MAX_RUN_MS: u64 = 3_600_000;

/// Start and end of the disturbance, after the first program.
const PEAK_MS: std::ops::Range<u64> = 120_000..360_000;

/// Number of the account that floods.
const FLOODING_ACCOUNT: u32 = 1_000;

/// Number of retries of a rejected caller.
const MAX_RETRIES: u32 = 5;

/// Load scenario of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Situation {
    /// The planned load.
    Ordinary,
    /// Three times the planned load for four minutes.
    Peak,
    /// A third of the engines run at a fifth of their speed for four minutes.
    Slow,
    /// One account adds twice the planned load for four minutes; only programs of the other
    /// accounts are measured.
    Flood,
}

impl Situation {
    pub(crate) const ALL: [Self; 4] = [Self::Ordinary, Self::Peak, Self::Slow, Self::Flood];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Peak => "peak",
            Self::Slow => "slow",
            Self::Flood => "flood",
        }
    }
}

/// Results of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Time from a program's first call to its last response, in milliseconds.
    pub(crate) latency_ms: Histogram<u64>,
    /// Prompt tokens that were computed more than once.
    pub(crate) recomputed_tokens: u64,
    /// Number of programs that ended.
    pub(crate) finished: u64,
    /// Number of rejected attempts to start a program.
    pub(crate) rejected: u64,
    /// Number of programs abandoned after all retries.
    pub(crate) abandoned: u64,
    /// Percentage of slots in use while programs arrived.
    pub(crate) busy_percent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { arrival: u64, attempts: u32 },
    Call(usize),
}

const FIRST: Event = Event::Arrive {
    arrival: 0,
    attempts: 0,
};

#[derive(Debug)]
struct Program {
    id: id::Program,
    arrival: u64,
    account: u32,
    turns: Vec<Turn>,
    next: usize,
    context: u64,
    attained: u64,
    started_ms: u64,
    parent: Option<usize>,
}

struct Simulation {
    deployment: Deployment,
    situation: Situation,
    now: u64,
    events: BTreeSet<(u64, u64, Event)>,
    sequence: u64,
    programs: Vec<Program>,
    calls: Vec<usize>,
    engines: Vec<Engine>,
    scheduler: Scheduler,
    seed: u64,
    arrivals: ChaCha8Rng,
    jitter: ChaCha8Rng,
    outcome: Outcome,
}

enum Scheduler {
    RoundRobin(usize),
    LeastLoaded(usize),
    Sticky(Vec<Option<usize>>),
    Core(Box<CoreScheduler>),
}

/// Runs one policy under one load.
pub(crate) fn run(
    policy: Policy,
    deployment: Deployment,
    situation: Situation,
    seed: u64,
) -> Outcome {
    let scheduler = match policy {
        Policy::RoundRobin => Scheduler::RoundRobin(0),
        Policy::LeastLoaded => Scheduler::LeastLoaded(0),
        Policy::Sticky => Scheduler::Sticky(Vec::new()),
        Policy::Core(_) | Policy::Open(_) => {
            let weight = deployment.cache_weight();
            Scheduler::Core(Box::new(CoreScheduler::new(policy, ENGINES, weight, seed)))
        }
    };
    let mut simulation = Simulation {
        deployment,
        situation,
        now: 0,
        events: BTreeSet::new(),
        sequence: 0,
        programs: Vec::new(),
        calls: Vec::new(),
        engines: (0..ENGINES).map(|_| Engine::new()).collect(),
        scheduler,
        seed,
        arrivals: ChaCha8Rng::seed_from_u64(seed),
        jitter: ChaCha8Rng::seed_from_u64(seed),
        outcome: Outcome {
            latency_ms: Histogram::new(3).expect("a histogram"),
            recomputed_tokens: 0,
            finished: 0,
            rejected: 0,
            abandoned: 0,
            busy_percent: 0,
        },
    };
    simulation.schedule(WARM_UP_MS, FIRST);
    while simulation.now < MAX_RUN_MS && !simulation.is_over() {
        simulation.step();
    }
    simulation.outcome.recomputed_tokens = simulation
        .engines
        .iter()
        .map(|engine| engine.recomputed)
        .sum();
    simulation.outcome
}

impl Simulation {
    fn is_over(&self) -> bool {
        let idle = self.engines.iter().all(|engine| engine.calls() == 0);
        self.now > WARM_UP_MS + ARRIVALS_MS && idle && self.events.is_empty()
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence, event));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.set_speeds();
        while let Some((at, _, event)) = self.events.first().copied() {
            if at > self.now {
                break;
            }
            self.events.pop_first();
            self.handle(event);
        }
        for number in 0..ENGINES {
            for job in self.engines[number].step(STEP_MS) {
                self.finish_call(&job);
            }
        }
        if let Scheduler::Core(core) = &mut self.scheduler {
            for start in core.tick(self.now, &mut self.engines) {
                self.engines[start.engine].submit(start.job);
            }
        }
        if self.now == WARM_UP_MS + ARRIVALS_MS {
            let busy: u64 = self.engines.iter().map(|engine| engine.busy_ms).sum();
            let slots = (ENGINES * SLOTS) as u64;
            self.outcome.busy_percent = busy * 100 / (slots * ARRIVALS_MS);
        }
    }

    fn is_peak(&self) -> bool {
        PEAK_MS.contains(&self.now.saturating_sub(WARM_UP_MS))
    }

    fn set_speeds(&mut self) {
        let slow = self.situation == Situation::Slow && self.is_peak();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            engine.slowness = if slow && number % 3 == 0 { 5.0 } else { 1.0 };
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { arrival, attempts } => {
                if attempts == 0 {
                    self.next_arrival(arrival + 1);
                }
                self.arrive(arrival, attempts);
            }
            Event::Call(program) => self.submit_call(program),
        }
    }

    fn next_arrival(&mut self, arrival: u64) {
        let adds_load = matches!(self.situation, Situation::Peak | Situation::Flood);
        let peak = adds_load && self.is_peak();
        let rate = self.deployment.planned_per_s() * if peak { 3.0 } else { 1.0 };
        let uniform: f64 = self.arrivals.random_range(0.000_001..1.0);
        let gap_ms = (-uniform.ln() / rate * 1_000.0) as u64;
        let at = self.now + gap_ms;
        if at < WARM_UP_MS + ARRIVALS_MS {
            self.schedule(
                at,
                Event::Arrive {
                    arrival,
                    attempts: 0,
                },
            );
        }
    }

    fn arrive(&mut self, arrival: u64, attempts: u32) {
        if let Scheduler::Core(core) = &mut self.scheduler
            && let Err(wait_ms) = core.admit(self.now)
        {
            self.outcome.rejected += 1;
            if attempts == MAX_RETRIES {
                self.outcome.abandoned += 1;
                return;
            }
            let jitter_ms = self.jitter.random_range(0..=wait_ms / 2);
            let at = self.now + wait_ms + jitter_ms;
            let attempts = attempts + 1;
            self.schedule(at, Event::Arrive { arrival, attempts });
            return;
        }
        let (account, turns) = self.deployment.program(self.seed, arrival);
        let floods = self.situation == Situation::Flood && self.is_peak();
        let account = if floods && !arrival.is_multiple_of(3) {
            FLOODING_ACCOUNT
        } else {
            account
        };
        self.start_program(arrival, turns, account, None);
    }

    fn start_program(
        &mut self,
        arrival: u64,
        turns: Vec<Turn>,
        account: u32,
        parent: Option<usize>,
    ) {
        let number = self.programs.len();
        let request = id::Request::new(number.to_string());
        let account_id = id::Account::new(account.to_string());
        self.programs.push(Program {
            id: id::Program::root(&account_id, &request),
            arrival,
            account,
            turns,
            next: 0,
            context: 0,
            attained: 0,
            started_ms: self.now,
            parent,
        });
        self.submit_call(number);
    }

    fn submit_call(&mut self, number: usize) {
        let program = &self.programs[number];
        let turn = program.turns[program.next];
        let job = EngineCall {
            call: self.calls.len(),
            program: program.id,
            prompt: program.context + turn.added,
            output: turn.output,
            known: program.context,
        };
        let (account, attained) = (program.account, program.attained);
        self.calls.push(number);
        let calls = self.engines.iter().map(Engine::calls);
        let engine = match &mut self.scheduler {
            Scheduler::Core(core) => {
                core.submit(self.now, job, account, attained);
                return;
            }
            Scheduler::RoundRobin(next) => {
                *next = (*next + 1) % ENGINES;
                *next
            }
            Scheduler::LeastLoaded(first) => {
                *first += 1;
                engine_with_fewest_calls(calls, *first)
            }
            Scheduler::Sticky(pinned) => {
                pinned.resize(self.programs.len(), None);
                *pinned[number].get_or_insert_with(|| engine_with_fewest_calls(calls, number))
            }
        };
        self.engines[engine].submit(job);
    }

    fn finish_call(&mut self, job: &EngineCall) {
        if let Scheduler::Core(core) = &mut self.scheduler {
            core.finish(self.now, job);
        }
        let number = self.calls[job.call];
        let program = &mut self.programs[number];
        let turn = program.turns[program.next];
        program.context = job.prompt + job.output;
        program.attained += job.prompt + job.output;
        program.next += 1;
        if program.next == program.turns.len() {
            self.end_program(number);
            return;
        }
        let account = program.account;
        if turn.sub_turns > 0 {
            let (arrival, turns) = (program.arrival, turn.sub_turns);
            let turns = Deployment::sub_agent(self.seed, arrival, program.next, turns);
            self.start_program(arrival, turns, account, Some(number));
            return;
        }
        self.schedule(self.now + turn.pause_ms, Event::Call(number));
    }

    fn end_program(&mut self, number: usize) {
        let program = &self.programs[number];
        for engine in &mut self.engines {
            engine.release(program.id);
        }
        match program.parent {
            Some(parent) => self.schedule(self.now, Event::Call(parent)),
            None if program.account == FLOODING_ACCOUNT => {}
            None => {
                self.outcome.finished += 1;
                let latency_ms = self.now - program.started_ms;
                self.outcome
                    .latency_ms
                    .record(latency_ms)
                    .expect("a latency in range");
            }
        }
    }
}

/// Returns the engine with the fewest calls; ties go to the first one in a rotated order.
fn engine_with_fewest_calls(calls: impl Iterator<Item = usize>, first: usize) -> usize {
    let all = calls.enumerate();
    let engine = all.min_by_key(|(number, calls)| (*calls, (number + first) % ENGINES));
    engine.map_or(0, |(number, _)| number)
}
