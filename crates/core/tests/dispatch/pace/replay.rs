//! Replay of instances before upstreams that serve their requests in processor-sharing manner. Each
//! instance knows only its own requests, and sees changes of the table up to 1.5 s late.

mod report;
mod server;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{AttemptOutcome, Fleet, TurnTimes, Upstream};
use basilramp_core::dispatch::placement::{Placement, PlacementRequest, Prompt, select_upstream};
use basilramp_core::dispatch::request::PromptPart;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use report::{Action, Report, Setup};
use server::{Running, Server, Turn};

use crate::fleet::upstream;

const TICK_MS: u64 = 10;
pub(crate) const SLOTS: u32 = 24;
const TURNS: u32 = 4;
const DOMAINS: usize = 3;
const THINK_MS: u64 = 100;
const MAX_VIEW_DELAY_MS: u64 = 1_500;
const MAX_ATTEMPTS: usize = 3;
const SHARED_PROMPTS: u64 = 16;
const SHARED_TOKENS: u32 = 2_560;
const NEW_TOKENS: u32 = 550;

/// Work of a request, in milliseconds of a slot at speed 1.
const READ_MS: f64 = 1.0 / 30.0;
const BASE_MS: f64 = 20.0;
const STREAM_MS: f64 = 250.0;
const MEAN_WORK_MS: f64 = 300.0;

/// A change of an entry that an instance has yet to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct View {
    at: u64,
    instance: usize,
    index: usize,
    is_draining: bool,
    started_ms: u64,
}

struct Replay<'a> {
    setup: &'a Setup,
    rng: StdRng,
    fleets: Vec<Fleet>,
    servers: Vec<Server>,
    /// Changes that instances have yet to see.
    views: BinaryHeap<Reverse<View>>,
    waiting: Vec<(u64, Turn)>,
    programs: u64,
    report: Report,
}

/// Runs a replay.
pub(crate) fn run(setup: &Setup) -> Report {
    let mut replay = Replay::new(setup);
    let mut arrivals = 0.0;
    let slots = f64::from(SLOTS) * setup.upstreams as f64;
    let capacity: f64 = (0..setup.upstreams).map(|index| setup.speed(index)).sum();
    let mean_speed = capacity / setup.upstreams as f64;
    let rate = setup.utilisation * slots * mean_speed / MEAN_WORK_MS;
    for now_ms in (0..setup.duration_ms).step_by(TICK_MS as usize) {
        replay.act(now_ms);
        arrivals += rate / f64::from(TURNS) * TICK_MS as f64;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            replay.programs += 1;
            let turn = Turn {
                program: replay.programs,
                number: 0,
                previous: None,
                arrived_ms: now_ms,
                tried: 0,
            };
            replay.send(turn, now_ms);
        }
        let (due, waiting) = std::mem::take(&mut replay.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        replay.waiting = waiting;
        for (_, turn) in due {
            replay.send(turn, now_ms);
        }
        replay.serve(now_ms);
        replay.measure();
    }
    replay.report
}

fn start_attempt(fleet: &mut Fleet, placement: &Placement, parts: &[PromptPart], now: Time) {
    let (key, tokens) = (placement.key, placement.unread_tokens);
    if placement.is_bound {
        fleet.start_bound_attempt(key, parts, tokens, now);
    } else {
        fleet.start_attempt(key, parts, tokens, now);
    }
}

fn entry(index: usize, started_ms: u64, is_draining: bool) -> Upstream {
    Upstream {
        slots: SLOTS,
        started_ms,
        is_draining,
        ..upstream(&format!("u{index}"), &format!("z{}", index % DOMAINS))
    }
}

impl<'a> Replay<'a> {
    fn new(setup: &'a Setup) -> Self {
        let present: Vec<_> = (0..setup.upstreams)
            .filter(|index| !setup.absent.contains(index))
            .collect();
        let mut fleets = Vec::new();
        for instance in 0..setup.instances {
            let mut fleet = Fleet::with_pace_seed(setup.seed * 1_000 + instance as u64);
            let entries = present.iter().map(|index| entry(*index, 1, false));
            fleet.replace_all(entries.collect(), Time::ZERO);
            fleets.push(fleet);
        }
        let servers = (0..setup.upstreams).map(|index| Server {
            is_up: present.contains(&index),
            speed: setup.speed(index),
            started_ms: 1,
            cache: BTreeSet::new(),
            running: Vec::new(),
            overloaded_ms: 0,
        });
        Self {
            setup,
            rng: StdRng::seed_from_u64(setup.seed),
            fleets,
            servers: servers.collect(),
            views: BinaryHeap::new(),
            waiting: Vec::new(),
            programs: setup.seed * 1_000_000,
            report: Report {
                busy: vec![Vec::new(); setup.upstreams],
                overload_ms: vec![0; setup.upstreams],
                completed: vec![0; setup.upstreams],
                ..Report::default()
            },
        }
    }

    fn act(&mut self, now_ms: u64) {
        let setup = self.setup;
        let due = setup.actions.iter().filter(|(at, ..)| *at == now_ms);
        for (_, index, action) in due {
            let server = &mut self.servers[*index];
            match action {
                Action::Fail => {
                    server.is_up = false;
                    self.break_off(*index, now_ms);
                }
                Action::Heal => server.is_up = true,
                Action::Speed(speed) => server.speed = *speed,
                Action::EmptyCache => server.cache.clear(),
                Action::Join => {
                    server.is_up = true;
                    server.started_ms = now_ms + 2;
                    server.cache.clear();
                    self.announce(*index, false, now_ms);
                }
                Action::Drain => self.announce(*index, true, now_ms),
            }
        }
        while self.views.peek().is_some_and(|view| view.0.at <= now_ms) {
            let Some(Reverse(view)) = self.views.pop() else {
                break;
            };
            let change = entry(view.index, view.started_ms, view.is_draining);
            self.fleets[view.instance].observe(change, Time::from_ms(now_ms));
        }
        if now_ms.is_multiple_of(500) {
            for fleet in &mut self.fleets {
                fleet.expire(Time::from_ms(now_ms));
            }
        }
    }

    fn announce(&mut self, index: usize, is_draining: bool, now_ms: u64) {
        let started_ms = self.servers[index].started_ms;
        for instance in 0..self.setup.instances {
            let view = View {
                at: now_ms + self.rng.random_range(0..MAX_VIEW_DELAY_MS),
                instance,
                index,
                is_draining,
                started_ms,
            };
            self.views.push(Reverse(view));
        }
    }

    fn break_off(&mut self, index: usize, now_ms: u64) {
        for running in std::mem::take(&mut self.servers[index].running) {
            self.end(&running, AttemptOutcome::Broken, now_ms);
            self.retry(running.turn, now_ms);
        }
    }

    fn retry(&mut self, mut turn: Turn, now_ms: u64) {
        self.report.failed_attempts += 1;
        turn.tried += 1;
        if turn.tried < MAX_ATTEMPTS {
            self.waiting.push((now_ms + TICK_MS, turn));
        } else {
            self.report.failed += 1;
        }
    }

    fn end(&mut self, running: &Running, outcome: AttemptOutcome, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        let fleet = &mut self.fleets[running.instance];
        if running.first_ms.is_none() {
            fleet.record_prompt_read(running.key, running.unread_tokens);
        }
        let change = fleet.end_attempt(running.key, outcome, now);
        let is_ejected = |change| {
            matches!(
                change,
                basilramp_core::dispatch::fleet::HealthChange::Ejected { .. }
            )
        };
        self.report.ejections += u32::from(change.is_some_and(is_ejected));
    }

    fn send(&mut self, turn: Turn, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        let instance = self.rng.random_range(0..self.setup.instances);
        let parts = [
            PromptPart {
                id: match self.setup.shares_prompts {
                    true => turn.program % SHARED_PROMPTS,
                    false => (1 << 40) + turn.program,
                },
                tokens: SHARED_TOKENS,
            },
            PromptPart {
                id: 1_000 + turn.program,
                tokens: NEW_TOKENS * (turn.number + 1),
            },
        ];
        let program = format!("p{}", turn.program);
        let previous = turn.previous.map(|index| format!("u{index}"));
        let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
        let request = PlacementRequest {
            service: "engine",
            prompt: Some(Prompt {
                tokens,
                parts: &parts,
            }),
            affinity_key: Some(&program),
            previous_upstream: previous.as_deref(),
            failure_domain: ["z0", "z1", "z2"][instance % DOMAINS],
            version: None,
            tried: &[],
            is_repeatable: true,
            starts_program: turn.number == 0,
            trials: None,
            may_use_limited: true,
        };
        let draw = self.rng.random();
        let fleet = &mut self.fleets[instance];
        let Some(placement) = select_upstream(fleet, &request, now, draw) else {
            self.report.failed += 1;
            return;
        };
        let index: usize = placement.id[1..].parse().unwrap();
        if let Some(tokens) = placement.new_tokens {
            fleet.speed_mut(&"engine".into()).record_new_tokens(tokens);
        }
        start_attempt(fleet, &placement, &parts, now);
        let server = &mut self.servers[index];
        let read = parts.iter().map(|part| server.read(*part)).sum::<u32>();
        let running = Running {
            instance,
            key: placement.key,
            turn,
            read_ms: BASE_MS + f64::from(read) * READ_MS,
            stream_ms: STREAM_MS,
            sent_ms: now_ms,
            first_ms: None,
            expected_time: placement.expected_time(),
            unread_tokens: placement.unread_tokens,
            queued_tokens: placement.queued_tokens,
        };
        if server.is_up {
            server.running.push(running);
        } else {
            self.end(&running, AttemptOutcome::Unreachable, now_ms);
            self.retry(running.turn, now_ms);
        }
    }

    fn serve(&mut self, now_ms: u64) {
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let share = (f64::from(SLOTS) / server.running.len().max(1) as f64).min(1.0);
            let work_ms = TICK_MS as f64 * server.speed * share;
            let mut done = Vec::new();
            let mut read = Vec::new();
            for running in std::mem::take(&mut server.running) {
                match running.advance(work_ms, now_ms + TICK_MS) {
                    (running, true) => done.push(running),
                    (running, false) => server.running.push(running),
                }
            }
            for running in server.running.iter().chain(&done) {
                if running.first_ms == Some(now_ms + TICK_MS) {
                    read.push((running.instance, running.key, running.unread_tokens));
                }
            }
            for (instance, key, tokens) in read {
                self.fleets[instance].record_prompt_read(key, tokens);
            }
            for running in done {
                self.complete(index, &running, now_ms + TICK_MS);
            }
        }
    }

    fn complete(&mut self, index: usize, running: &Running, now_ms: u64) {
        let first_ms = running.first_ms.unwrap_or(now_ms) - running.sent_ms;
        let outcome = AttemptOutcome::Succeeded {
            latency_ratio: running.expected_time.ratio(first_ms as f64),
        };
        self.end(running, outcome, now_ms);
        let times = TurnTimes {
            first_event_ms: first_ms as f64,
            turn_ms: (now_ms - running.sent_ms) as f64,
            slowdown: 1.0,
        };
        let tokens = running.unread_tokens + running.queued_tokens;
        let now = Time::from_ms(now_ms);
        let fleet = &mut self.fleets[running.instance];
        fleet.record_turn(&"engine".into(), running.key, tokens, times, now);
        self.report.turns += 1;
        self.report.completed[index] += 1;
        self.report
            .latency_ms
            .push(now_ms - running.turn.arrived_ms);
        if running.turn.number + 1 < TURNS {
            let at = now_ms + THINK_MS;
            let next = Turn {
                number: running.turn.number + 1,
                previous: Some(index),
                arrived_ms: at,
                tried: 0,
                ..running.turn
            };
            self.waiting.push((at, next));
        }
    }

    fn measure(&mut self) {
        let room = self.servers.iter().any(|server| {
            server.is_up && server.speed > 0.0 && server.running.len() < SLOTS as usize
        });
        for (index, server) in self.servers.iter_mut().enumerate() {
            let requests = server.running.len() as u32;
            self.report.busy[index].push(requests.min(SLOTS));
            if requests > SLOTS && room {
                server.overloaded_ms += TICK_MS;
            } else {
                server.overloaded_ms = 0;
            }
            if self.report.busy[index].len() as u64 * TICK_MS < self.setup.measured_from_ms {
                continue;
            }
            let longest = &mut self.report.overload_ms[index];
            *longest = server.overloaded_ms.max(*longest);
        }
    }
}
