//! Asks the core where each call goes, in the order in which the daemon does.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use basilramp_core::admission::{Gate, Load};
use basilramp_core::cache;
use basilramp_core::clock::Time;
use basilramp_core::home::{
    Authority, Effect, Home, Rejection, Report, SlotRequest, SlotResponse, Ticket, Waiter,
};
use basilramp_core::id;
use basilramp_core::placement::{Candidate, PlacementRequest, Placer, UpstreamState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{CACHE_TOKENS, Engine, Job, SLOTS};
use crate::policy::{Off, Policy};

const MODEL: &str = "base@1";

/// Milliseconds before a change of load shows in a report.
const LOAD_LAG_MS: u64 = 1_000;

/// Time between two polls of the engines, in milliseconds.
const POLL_MS: u64 = 500;

/// Part of the cache events that are lost.
const LOST_EVENTS: f64 = 0.01;

/// Milliseconds that a call waits before its caller sends it again.
const WAIT_MS: u64 = 30_000;

const FREE_TRIES: usize = 3;
const STAY_MS: u64 = 2_000;
const LOOK_AGAIN_MS: u64 = 100;
const REFUSED_MS: u64 = 50;
const EXPIRY_MS: u64 = 50;
const GATE_MS: u64 = 200;
const HEADROOM_PERCENT: u32 = 10;

/// A call that has no slot yet.
#[derive(Debug)]
struct Pending {
    job: Job,
    account: id::Account,
    attained: u64,
    since: Time,
    choices: Vec<Candidate>,
    next: usize,
    best: Option<(u64, usize)>,
    queued: bool,
}

/// A call that starts at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    /// The engine.
    pub(crate) engine: usize,
    /// The call.
    pub(crate) job: Job,
}

/// The homes, and the side that asks them.
#[derive(Debug)]
pub(crate) struct Core {
    policy: Policy,
    home: Home,
    board: Placer,
    gate: Gate,
    ids: Vec<id::Upstream>,
    views: Vec<cache::View>,
    sequences: Vec<u64>,
    loads: Vec<VecDeque<(u64, u32)>>,
    pending: BTreeMap<usize, Pending>,
    waiters: BTreeMap<Waiter, (usize, usize)>,
    again: BTreeMap<u64, Vec<usize>>,
    held: BTreeMap<usize, (usize, Ticket)>,
    random: ChaCha8Rng,
    starts: Vec<Start>,
}

fn at(now: u64) -> Time {
    Time::from_ms(now)
}

impl Core {
    pub(crate) fn new(policy: Policy, engines: usize, weight: f64, seed: u64) -> Self {
        let weight = if policy.has(Off::Weight) { weight } else { 0.0 };
        let ids = (0..engines).map(|number| id::Upstream::new(format!("engine-{number}")));
        let mut core = Self {
            policy,
            home: Home::new(0),
            board: Placer::new(weight),
            gate: Gate::default(),
            ids: ids.collect(),
            views: vec![cache::View::default(); engines],
            sequences: vec![0; engines],
            loads: vec![VecDeque::new(); engines],
            pending: BTreeMap::new(),
            waiters: BTreeMap::new(),
            again: BTreeMap::new(),
            held: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            starts: Vec::new(),
        };
        for upstream in &core.ids {
            core.home
                .set_authority(Time::ZERO, upstream, Authority::Home);
        }
        core
    }

    /// Takes on a program, or tells when to come back.
    pub(crate) fn admit(&mut self, now: u64) -> Result<(), u64> {
        if !self.policy.admits() {
            return Ok(());
        }
        self.gate.admit(at(now), HEADROOM_PERCENT, 1)
    }

    /// Takes a call.
    pub(crate) fn submit(&mut self, now: u64, job: Job, account: u32, attained: u64) {
        let account = if self.policy.has(Off::Backlog) {
            account as usize
        } else {
            job.call
        };
        let pending = Pending {
            job,
            account: id::Account::new(format!("account-{account}")),
            attained: if self.policy.has(Off::Levels) {
                attained
            } else {
                0
            },
            since: at(now),
            choices: Vec::new(),
            next: 0,
            best: None,
            queued: false,
        };
        self.pending.insert(job.call, pending);
        self.rank(job.call);
        self.advance(now, job.call);
    }

    /// Takes note of a call that is done.
    pub(crate) fn finish(&mut self, now: u64, job: &Job) {
        let Some((engine, ticket)) = self.held.remove(&job.call) else {
            return;
        };
        self.note_served(job, engine);
        let upstream = self.ids[engine].clone();
        let effects = self.home.release(at(now), &upstream, ticket);
        self.apply(now, effects);
    }

    /// Does what is due, and returns the calls that start.
    pub(crate) fn tick(&mut self, now: u64, engines: &mut [Engine]) -> Vec<Start> {
        if now.is_multiple_of(POLL_MS) {
            self.poll(now, engines);
        }
        if now.is_multiple_of(EXPIRY_MS) {
            let effects = self.home.expire(at(now));
            self.apply(now, effects);
        }
        if now.is_multiple_of(GATE_MS) {
            self.observe(now);
        }
        while let Some(entry) = self.again.first_entry() {
            if *entry.key() > now {
                break;
            }
            for call in entry.remove() {
                self.rank(call);
                self.advance(now, call);
            }
        }
        std::mem::take(&mut self.starts)
    }

    fn observe(&mut self, now: u64) {
        let capacity = self.board.capacity(MODEL);
        let load = Load {
            slots: capacity.slots,
            in_use: capacity.slots.saturating_sub(capacity.free),
        };
        self.gate.observe(at(now), load);
    }

    /// Reads loads and cache events as the homes do, and refreshes the board.
    fn poll(&mut self, now: u64, engines: &mut [Engine]) {
        for (number, engine) in engines.iter_mut().enumerate() {
            self.read_cache(now, number, engine);
            let calls = self.lagging_calls(now, number, engine);
            let report = Report {
                slots: SLOTS as u32,
                calls: Some(calls),
                draining: false,
            };
            let upstream = self.ids[number].clone();
            let effects = self.home.apply_report(at(now), &upstream, report);
            self.apply(now, effects);
            self.refresh(number, engine);
        }
    }

    fn lagging_calls(&mut self, now: u64, number: usize, engine: &Engine) -> u32 {
        let loads = &mut self.loads[number];
        loads.push_back((now, engine.calls() as u32));
        while loads
            .get(1)
            .is_some_and(|(then, _)| then + LOAD_LAG_MS <= now)
        {
            loads.pop_front();
        }
        loads.front().map_or(0, |(_, calls)| *calls)
    }

    fn read_cache(&mut self, now: u64, number: usize, engine: &mut Engine) {
        let view = &mut self.views[number];
        for (program, tokens) in std::mem::take(&mut engine.events) {
            self.sequences[number] += 1;
            if self.random.random_bool(LOST_EVENTS) {
                continue;
            }
            let event = cache::Event {
                sequence: self.sequences[number],
                program,
                tokens,
            };
            view.apply(at(now), event);
        }
        if view.is_stale() {
            view.replace(engine.holdings());
        }
    }

    fn refresh(&mut self, number: usize, engine: &Engine) {
        let upstream = &self.ids[number];
        let Some(digest) = self.home.digest(upstream) else {
            return;
        };
        let state = UpstreamState {
            offers: vec![Arc::from(MODEL)],
            slots: digest.slots,
            free: digest.slots.saturating_sub(digest.in_use),
            wait_ms: digest.wait_ms,
            cached_tokens: engine.cached_tokens(),
            cache_tokens: CACHE_TOKENS,
        };
        self.board.set(upstream, state);
    }

    fn rank(&mut self, call: usize) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        let wanted = PlacementRequest {
            program: pending.job.program,
            offer: MODEL,
            prompt: pending.job.prompt,
            excluded: &[],
        };
        pending.choices = self.board.rank(&wanted);
        pending.next = 0;
        pending.best = None;
        pending.queued = false;
    }

    /// Asks one upstream after the other until the call has a slot or waits for one.
    fn advance(&mut self, now: u64, call: usize) {
        while let Some(pending) = self.pending.get_mut(&call) {
            let waited_ms = at(now).since(pending.since) % WAIT_MS;
            let left_ms = WAIT_MS - waited_ms;
            let tries = pending.choices.len().min(FREE_TRIES);
            let (index, wait_ms) = if pending.next < tries {
                let choice = &pending.choices[pending.next];
                (pending.next, choice.cached_prefill_ms.min(left_ms))
            } else if let (Some((_, index)), false) = (pending.best, pending.queued) {
                pending.queued = true;
                (index, left_ms.min(STAY_MS))
            } else {
                self.again
                    .entry(now + LOOK_AGAIN_MS)
                    .or_default()
                    .push(call);
                return;
            };
            pending.next += 1;
            let upstream = pending.choices[index].upstream.clone();
            match self.ask(now, call, &upstream, wait_ms, waited_ms) {
                SlotResponse::Granted(ticket) => return self.start(call, &upstream, ticket),
                SlotResponse::Queued(waiter) => {
                    self.waiters.insert(waiter, (call, index));
                    return;
                }
                SlotResponse::Rejected(refusal) => self.refuse(call, index, refusal),
            }
        }
    }

    fn ask(
        &mut self,
        now: u64,
        call: usize,
        upstream: &id::Upstream,
        wait_ms: u64,
        waited_ms: u64,
    ) -> SlotResponse {
        let number = self.number(upstream);
        let pending = &self.pending[&call];
        let tokens = self.views[number].tokens(at(now), pending.job.program);
        let ask = SlotRequest {
            program: pending.job.program,
            account: pending.account.clone(),
            attained: pending.attained,
            cached: tokens > 0 && self.policy.has(Off::CachedStep),
            wait_ms,
            waited_ms,
        };
        self.home.request_slot(at(now), upstream, &ask)
    }

    fn number(&self, upstream: &id::Upstream) -> usize {
        let found = self.ids.iter().position(|id| id == upstream);
        found.expect("a known engine")
    }

    fn start(&mut self, call: usize, upstream: &id::Upstream, ticket: Ticket) {
        let Some(pending) = self.pending.remove(&call) else {
            return;
        };
        let engine = self.number(upstream);
        self.held.insert(call, (engine, ticket));
        let state = self.board.state(upstream);
        let free = state.map_or(0, |state| state.free.saturating_sub(1));
        let wait_ms = state.map_or(0, |state| state.wait_ms);
        self.board.observe_wait(upstream, free, wait_ms);
        self.note_served(&pending.job, engine);
        self.starts.push(Start {
            engine,
            job: pending.job,
        });
    }

    fn note_served(&mut self, job: &Job, engine: usize) {
        if self.policy.has(Off::Prefix) {
            let tokens = job.prompt + job.output;
            self.board
                .record_served(job.program, &self.ids[engine], tokens);
        }
    }

    fn refuse(&mut self, call: usize, index: usize, refusal: Rejection) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        let Rejection::Busy(ms) = refusal else {
            return;
        };
        self.board
            .observe_wait(&pending.choices[index].upstream, 0, ms + REFUSED_MS);
        if pending.best.is_none_or(|(least, _)| ms < least) {
            pending.best = Some((ms, index));
        }
    }

    fn apply(&mut self, now: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Granted(waiter, ticket) => {
                    let Some((call, index)) = self.waiters.remove(&waiter) else {
                        continue;
                    };
                    let upstream = self.pending[&call].choices[index].upstream.clone();
                    self.start(call, &upstream, ticket);
                }
                Effect::Rejected(waiter, refusal) => {
                    if let Some((call, index)) = self.waiters.remove(&waiter) {
                        self.refuse(call, index, refusal);
                        self.advance(now, call);
                    }
                }
            }
        }
    }
}
