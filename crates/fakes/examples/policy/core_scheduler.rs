//! Schedules calls with `basilramp-core`, in the same order of decisions as the daemon.

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

use crate::engine::{CACHE_TOKENS, Engine, EngineCall, SLOTS};
use crate::policy::{DisabledRule, Policy};

const MODEL: &str = "base@1";

/// Delay until a change of load appears in a report.
const LOAD_LAG_MS: u64 = 1_000;

/// Interval between two polls of the engines.
const POLL_INTERVAL_MS: u64 = 500;

/// Fraction of cache events that are lost.
const LOST_EVENT_SHARE: f64 = 0.01;

/// Time after which a caller retries a waiting call.
const CALL_TIMEOUT_MS: u64 = 30_000;

/// Upstreams to try before the call queues at the best one.
const MAX_IMMEDIATE_ATTEMPTS: usize = 3;
const MAX_QUEUE_WAIT_MS: u64 = 2_000;
const RETRY_DELAY_MS: u64 = 100;
/// Wait added to the estimate of an upstream that rejected the call.
const REJECTION_PENALTY_MS: u64 = 50;
const EXPIRY_INTERVAL_MS: u64 = 50;
const ADMISSION_INTERVAL_MS: u64 = 200;
const HEADROOM_PERCENT: u32 = 10;

/// A call without a slot.
#[derive(Debug)]
struct PendingCall {
    job: EngineCall,
    account: id::Account,
    attained: u64,
    since: Time,
    candidates: Vec<Candidate>,
    next: usize,
    best: Option<(u64, usize)>,
    queued: bool,
}

/// A call that starts on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    /// The engine.
    pub(crate) engine: usize,
    /// The call.
    pub(crate) job: EngineCall,
}

/// Combines the homes of all engines with the instance that requests slots from them.
#[derive(Debug)]
pub(crate) struct CoreScheduler {
    policy: Policy,
    home: Home,
    placer: Placer,
    gate: Gate,
    ids: Vec<id::Upstream>,
    views: Vec<cache::View>,
    sequences: Vec<u64>,
    loads: Vec<VecDeque<(u64, u32)>>,
    pending: BTreeMap<usize, PendingCall>,
    waiters: BTreeMap<Waiter, (usize, usize)>,
    retries: BTreeMap<u64, Vec<usize>>,
    tickets: BTreeMap<usize, (usize, Ticket)>,
    random: ChaCha8Rng,
    starts: Vec<Start>,
}

fn at(now: u64) -> Time {
    Time::from_ms(now)
}

impl CoreScheduler {
    pub(crate) fn new(policy: Policy, engines: usize, weight: f64, seed: u64) -> Self {
        let weight = if policy.is_enabled(DisabledRule::Weight) {
            weight
        } else {
            0.0
        };
        let ids = (0..engines).map(|number| id::Upstream::new(format!("engine-{number}")));
        let mut core = Self {
            policy,
            home: Home::new(0),
            placer: Placer::new(weight),
            gate: Gate::default(),
            ids: ids.collect(),
            views: vec![cache::View::default(); engines],
            sequences: vec![0; engines],
            loads: vec![VecDeque::new(); engines],
            pending: BTreeMap::new(),
            waiters: BTreeMap::new(),
            retries: BTreeMap::new(),
            tickets: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            starts: Vec::new(),
        };
        for upstream in &core.ids {
            core.home
                .set_authority(Time::ZERO, upstream, Authority::Home);
        }
        core
    }

    /// Admits a program, or returns the time in milliseconds after which to retry.
    pub(crate) fn admit(&mut self, now: u64) -> Result<(), u64> {
        if !self.policy.limits_admission() {
            return Ok(());
        }
        self.gate.admit(at(now), HEADROOM_PERCENT, 1)
    }

    /// Submits a call.
    pub(crate) fn submit(&mut self, now: u64, job: EngineCall, account: u32, attained: u64) {
        let account = if self.policy.is_enabled(DisabledRule::Backlog) {
            account as usize
        } else {
            job.call
        };
        let pending = PendingCall {
            job,
            account: id::Account::new(format!("account-{account}")),
            attained: if self.policy.is_enabled(DisabledRule::Levels) {
                attained
            } else {
                0
            },
            since: at(now),
            candidates: Vec::new(),
            next: 0,
            best: None,
            queued: false,
        };
        self.pending.insert(job.call, pending);
        self.rank_candidates(job.call);
        self.advance(now, job.call);
    }

    /// Records a completed call and releases its slot.
    pub(crate) fn finish(&mut self, now: u64, job: &EngineCall) {
        let Some((engine, ticket)) = self.tickets.remove(&job.call) else {
            return;
        };
        self.record_served_call(job, engine);
        let upstream = self.ids[engine].clone();
        let effects = self.home.release(at(now), &upstream, ticket);
        self.apply_effects(now, effects);
    }

    /// Runs the periodic tasks that are due, and returns the calls that start.
    pub(crate) fn tick(&mut self, now: u64, engines: &mut [Engine]) -> Vec<Start> {
        if now.is_multiple_of(POLL_INTERVAL_MS) {
            self.poll(now, engines);
        }
        if now.is_multiple_of(EXPIRY_INTERVAL_MS) {
            let effects = self.home.expire(at(now));
            self.apply_effects(now, effects);
        }
        if now.is_multiple_of(ADMISSION_INTERVAL_MS) {
            self.observe_load(now);
        }
        while let Some(entry) = self.retries.first_entry() {
            if *entry.key() > now {
                break;
            }
            for call in entry.remove() {
                self.rank_candidates(call);
                self.advance(now, call);
            }
        }
        std::mem::take(&mut self.starts)
    }

    fn observe_load(&mut self, now: u64) {
        let capacity = self.placer.capacity(MODEL);
        let load = Load {
            slots: capacity.slots,
            in_use: capacity.slots.saturating_sub(capacity.free),
        };
        self.gate.observe(at(now), load);
    }

    /// Reads loads and cache events as the homes do, and updates the placer.
    fn poll(&mut self, now: u64, engines: &mut [Engine]) {
        for (number, engine) in engines.iter_mut().enumerate() {
            self.read_cache(now, number, engine);
            let calls = self.delayed_call_count(now, number, engine);
            let report = Report {
                slots: SLOTS as u32,
                calls: Some(calls),
                draining: false,
            };
            let upstream = self.ids[number].clone();
            let effects = self.home.apply_report(at(now), &upstream, report);
            self.apply_effects(now, effects);
            self.update_placer(number, engine);
        }
    }

    fn delayed_call_count(&mut self, now: u64, number: usize, engine: &Engine) -> u32 {
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
            if self.random.random_bool(LOST_EVENT_SHARE) {
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
            view.replace(engine.cached_prefixes());
        }
    }

    fn update_placer(&mut self, number: usize, engine: &Engine) {
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
        self.placer.set(upstream, state);
    }

    fn rank_candidates(&mut self, call: usize) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        let request = PlacementRequest {
            program: pending.job.program,
            offer: MODEL,
            prompt: pending.job.prompt,
            excluded: &[],
        };
        pending.candidates = self.placer.rank(&request);
        pending.next = 0;
        pending.best = None;
        pending.queued = false;
    }

    /// Requests a slot from one upstream after another until one is granted or the call is queued.
    fn advance(&mut self, now: u64, call: usize) {
        while let Some(pending) = self.pending.get_mut(&call) {
            let waited_ms = at(now).since(pending.since) % CALL_TIMEOUT_MS;
            let left_ms = CALL_TIMEOUT_MS - waited_ms;
            let tries = pending.candidates.len().min(MAX_IMMEDIATE_ATTEMPTS);
            let (index, wait_ms) = if pending.next < tries {
                let candidate = &pending.candidates[pending.next];
                (pending.next, candidate.cached_prefill_ms.min(left_ms))
            } else if let (Some((_, index)), false) = (pending.best, pending.queued) {
                pending.queued = true;
                (index, left_ms.min(MAX_QUEUE_WAIT_MS))
            } else {
                self.retries
                    .entry(now + RETRY_DELAY_MS)
                    .or_default()
                    .push(call);
                return;
            };
            pending.next += 1;
            let upstream = pending.candidates[index].upstream.clone();
            match self.request_slot(now, call, &upstream, wait_ms, waited_ms) {
                SlotResponse::Granted(ticket) => return self.start(call, &upstream, ticket),
                SlotResponse::Queued(waiter) => {
                    self.waiters.insert(waiter, (call, index));
                    return;
                }
                SlotResponse::Rejected(rejection) => self.record_rejection(call, index, rejection),
            }
        }
    }

    fn request_slot(
        &mut self,
        now: u64,
        call: usize,
        upstream: &id::Upstream,
        wait_ms: u64,
        waited_ms: u64,
    ) -> SlotResponse {
        let number = self.engine_index(upstream);
        let pending = &self.pending[&call];
        let tokens = self.views[number].tokens(at(now), pending.job.program);
        let request = SlotRequest {
            program: pending.job.program,
            account: pending.account.clone(),
            attained: pending.attained,
            cached: tokens > 0 && self.policy.is_enabled(DisabledRule::CachedStep),
            wait_ms,
            waited_ms,
        };
        self.home.request_slot(at(now), upstream, &request)
    }

    fn engine_index(&self, upstream: &id::Upstream) -> usize {
        let found = self.ids.iter().position(|id| id == upstream);
        found.expect("a known engine")
    }

    fn start(&mut self, call: usize, upstream: &id::Upstream, ticket: Ticket) {
        let Some(pending) = self.pending.remove(&call) else {
            return;
        };
        let engine = self.engine_index(upstream);
        self.tickets.insert(call, (engine, ticket));
        let state = self.placer.state(upstream);
        let free = state.map_or(0, |state| state.free.saturating_sub(1));
        let wait_ms = state.map_or(0, |state| state.wait_ms);
        self.placer.observe_wait(upstream, free, wait_ms);
        self.record_served_call(&pending.job, engine);
        self.starts.push(Start {
            engine,
            job: pending.job,
        });
    }

    fn record_served_call(&mut self, job: &EngineCall, engine: usize) {
        if self.policy.is_enabled(DisabledRule::Prefix) {
            let tokens = job.prompt + job.output;
            self.placer
                .record_served(job.program, &self.ids[engine], tokens);
        }
    }

    fn record_rejection(&mut self, call: usize, index: usize, rejection: Rejection) {
        let Some(pending) = self.pending.get_mut(&call) else {
            return;
        };
        let Rejection::Busy(ms) = rejection else {
            return;
        };
        self.placer.observe_wait(
            &pending.candidates[index].upstream,
            0,
            ms + REJECTION_PENALTY_MS,
        );
        if pending.best.is_none_or(|(least, _)| ms < least) {
            pending.best = Some((ms, index));
        }
    }

    fn apply_effects(&mut self, now: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Granted(waiter, ticket) => {
                    let Some((call, index)) = self.waiters.remove(&waiter) else {
                        continue;
                    };
                    let upstream = self.pending[&call].candidates[index].upstream.clone();
                    self.start(call, &upstream, ticket);
                }
                Effect::Rejected(waiter, rejection) => {
                    if let Some((call, index)) = self.waiters.remove(&waiter) {
                        self.record_rejection(call, index, rejection);
                        self.advance(now, call);
                    }
                }
            }
        }
    }
}
