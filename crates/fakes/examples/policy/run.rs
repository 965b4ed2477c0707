//! One run: programs arrive, call, pause and end, under one policy.

use std::collections::BTreeSet;

use basilramp_core::id;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::core_policy::Core;
use crate::engine::{Engine, Job, SLOTS};
use crate::policy::Policy;
use crate::shape::{Deployment, Turn};

const ENGINES: usize = 20;
const STEP_MS: u64 = 10;

/// Milliseconds before the first program, for the homes to settle.
const START_MS: u64 = 5_000;

/// Milliseconds for which programs arrive.
const ARRIVALS_MS: u64 = 600_000;

/// Milliseconds after which a run is cut off.
const LIMIT_MS: u64 = 3_600_000;

/// When the peak begins and ends, in milliseconds after the first program.
const PEAK_MS: std::ops::Range<u64> = 120_000..360_000;

/// The account that floods.
const FLOODER: u32 = 1_000;

/// Times that a refused caller tries again.
const RETRIES: u32 = 5;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Situation {
    /// The planned load.
    Ordinary,
    /// Three times the planned load for four minutes.
    Peak,
    /// A third of the engines slow to a fifth for four minutes.
    Slow,
    /// One account sends twice the planned load on top, for four minutes; the others' programs
    /// are measured.
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

/// What came of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// From a program's first call to its last answer, in milliseconds.
    pub(crate) latency_ms: Histogram<u64>,
    /// Prompt tokens that were computed again.
    pub(crate) refilled_tokens: u64,
    /// Programs that ended.
    pub(crate) finished: u64,
    /// Refusals of new programs.
    pub(crate) refused: u64,
    /// Programs whose callers gave up.
    pub(crate) given_up: u64,
    /// Part of all slots that were in use while programs arrived.
    pub(crate) busy_percent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { arrival: u64, tries: u32 },
    Call(usize),
}

const FIRST: Event = Event::Arrive {
    arrival: 0,
    tries: 0,
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
    began: u64,
    parent: Option<usize>,
}

struct World {
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
    Core(Box<Core>),
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
            Scheduler::Core(Box::new(Core::new(policy, ENGINES, weight, seed)))
        }
    };
    let mut world = World {
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
            refilled_tokens: 0,
            finished: 0,
            refused: 0,
            given_up: 0,
            busy_percent: 0,
        },
    };
    world.schedule(START_MS, FIRST);
    while world.now < LIMIT_MS && !world.is_over() {
        world.step();
    }
    world.outcome.refilled_tokens = world.engines.iter().map(|engine| engine.refilled).sum();
    world.outcome
}

impl World {
    fn is_over(&self) -> bool {
        let idle = self.engines.iter().all(|engine| engine.calls() == 0);
        self.now > START_MS + ARRIVALS_MS && idle && self.events.is_empty()
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
                self.finish(&job);
            }
        }
        if let Scheduler::Core(core) = &mut self.scheduler {
            for start in core.tick(self.now, &mut self.engines) {
                self.engines[start.engine].submit(start.job);
            }
        }
        if self.now == START_MS + ARRIVALS_MS {
            let busy: u64 = self.engines.iter().map(|engine| engine.busy_ms).sum();
            let slots = (ENGINES * SLOTS) as u64;
            self.outcome.busy_percent = busy * 100 / (slots * ARRIVALS_MS);
        }
    }

    fn is_peak(&self) -> bool {
        PEAK_MS.contains(&self.now.saturating_sub(START_MS))
    }

    fn set_speeds(&mut self) {
        let slow = self.situation == Situation::Slow && self.is_peak();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            engine.slowness = if slow && number % 3 == 0 { 5.0 } else { 1.0 };
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { arrival, tries } => {
                if tries == 0 {
                    self.next_arrival(arrival + 1);
                }
                self.arrive(arrival, tries);
            }
            Event::Call(program) => self.call(program),
        }
    }

    fn next_arrival(&mut self, arrival: u64) {
        let more = matches!(self.situation, Situation::Peak | Situation::Flood);
        let peak = more && self.is_peak();
        let rate = self.deployment.planned_per_s() * if peak { 3.0 } else { 1.0 };
        let uniform: f64 = self.arrivals.random_range(0.000_001..1.0);
        let gap_ms = (-uniform.ln() / rate * 1_000.0) as u64;
        let at = self.now + gap_ms;
        if at < START_MS + ARRIVALS_MS {
            self.schedule(at, Event::Arrive { arrival, tries: 0 });
        }
    }

    fn arrive(&mut self, arrival: u64, tries: u32) {
        if let Scheduler::Core(core) = &mut self.scheduler
            && let Err(wait_ms) = core.admit(self.now)
        {
            self.outcome.refused += 1;
            if tries == RETRIES {
                self.outcome.given_up += 1;
                return;
            }
            let jitter_ms = self.jitter.random_range(0..=wait_ms / 2);
            let at = self.now + wait_ms + jitter_ms;
            let tries = tries + 1;
            self.schedule(at, Event::Arrive { arrival, tries });
            return;
        }
        let (account, turns) = self.deployment.program(self.seed, arrival);
        let floods = self.situation == Situation::Flood && self.is_peak();
        let account = if floods && !arrival.is_multiple_of(3) {
            FLOODER
        } else {
            account
        };
        self.begin(arrival, turns, account, None);
    }

    fn begin(&mut self, arrival: u64, turns: Vec<Turn>, account: u32, parent: Option<usize>) {
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
            began: self.now,
            parent,
        });
        self.call(number);
    }

    fn call(&mut self, number: usize) {
        let program = &self.programs[number];
        let turn = program.turns[program.next];
        let job = Job {
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
                least(calls, *first)
            }
            Scheduler::Sticky(pinned) => {
                pinned.resize(self.programs.len(), None);
                *pinned[number].get_or_insert_with(|| least(calls, number))
            }
        };
        self.engines[engine].submit(job);
    }

    fn finish(&mut self, job: &Job) {
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
            self.end(number);
            return;
        }
        let account = program.account;
        if turn.sub_turns > 0 {
            let (arrival, turns) = (program.arrival, turn.sub_turns);
            let turns = Deployment::sub_agent(self.seed, arrival, program.next, turns);
            self.begin(arrival, turns, account, Some(number));
            return;
        }
        self.schedule(self.now + turn.pause_ms, Event::Call(number));
    }

    fn end(&mut self, number: usize) {
        let program = &self.programs[number];
        for engine in &mut self.engines {
            engine.release(program.id);
        }
        match program.parent {
            Some(parent) => self.schedule(self.now, Event::Call(parent)),
            None if program.account == FLOODER => {}
            None => {
                self.outcome.finished += 1;
                let latency_ms = self.now - program.began;
                self.outcome
                    .latency_ms
                    .record(latency_ms)
                    .expect("a latency in range");
            }
        }
    }
}

/// Returns the engine with the fewest calls, from `first` on among equals.
fn least(calls: impl Iterator<Item = usize>, first: usize) -> usize {
    let all = calls.enumerate();
    let least = all.min_by_key(|(number, calls)| (*calls, (number + first) % ENGINES));
    least.map_or(0, |(number, _)| number)
}
