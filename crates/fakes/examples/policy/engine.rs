//! Simulated engine with continuous batching and a prefix cache of limited size.

use std::collections::{BTreeMap, VecDeque};

use basilramp_core::id;

/// Maximum number of calls in the batch.
pub(crate) const SLOTS: usize = 16;

/// Capacity of the prefix cache in tokens.
pub(crate) const CACHE_TOKENS: u64 = 200_000;

/// Prompt tokens computed per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 4.0;

/// Base time per output token.
const DECODE_MS: f64 = 15.0;

/// Additional time per output token for each call in the batch.
const DECODE_CALL_MS: f64 = 1.0;

/// Fraction of the decoding speed that remains while a prompt is computed.
const DECODE_SHARE: f64 = 0.5;

/// A call at the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineCall {
    /// Index of the call.
    pub(crate) call: usize,
    /// Program that the prefix belongs to.
    pub(crate) program: id::Program,
    /// Tokens of the prompt.
    pub(crate) prompt: u64,
    /// Tokens to generate.
    pub(crate) output: u64,
    /// Prompt tokens that were already computed for earlier calls of the program.
    pub(crate) known: u64,
}

#[derive(Debug)]
struct Active {
    job: EngineCall,
    prefill: f64,
    decode: f64,
}

#[derive(Clone, Copy, Debug)]
struct Prefix {
    tokens: u64,
    used: u64,
}

/// A simulated engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    batch: Vec<Active>,
    waiting: VecDeque<EngineCall>,
    cache: BTreeMap<id::Program, Prefix>,
    cached: u64,
    uses: u64,
    /// Divisor of the engine's speed.
    pub(crate) slowness: f64,
    /// Cache events since the last poll: the program and the length of its prefix.
    pub(crate) events: Vec<(id::Program, u64)>,
    /// Prompt tokens that were computed more than once.
    pub(crate) recomputed: u64,
    /// Sum of the time that slots were in use.
    pub(crate) busy_ms: u64,
}

impl Engine {
    pub(crate) fn new() -> Self {
        Self {
            slowness: 1.0,
            ..Self::default()
        }
    }

    /// Returns the number of running and waiting calls.
    pub(crate) fn calls(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Returns the number of cached tokens.
    pub(crate) const fn cached_tokens(&self) -> u64 {
        self.cached
    }

    /// Returns the cached prefixes.
    pub(crate) fn cached_prefixes(&self) -> Vec<(id::Program, u64)> {
        let held = self.cache.iter();
        held.map(|(program, prefix)| (*program, prefix.tokens))
            .collect()
    }

    /// Queues a call and starts it if a slot is free.
    pub(crate) fn submit(&mut self, job: EngineCall) {
        self.waiting.push_back(job);
        self.fill_batch();
    }

    /// Removes a program's prefix from the cache.
    pub(crate) fn release(&mut self, program: id::Program) {
        if let Some(prefix) = self.cache.remove(&program) {
            self.cached -= prefix.tokens;
            self.events.push((program, 0));
        }
    }

    /// Advances by `ms` milliseconds and returns the completed calls.
    pub(crate) fn step(&mut self, ms: u64) -> Vec<EngineCall> {
        self.busy_ms += ms * self.batch.len() as u64;
        let work_ms = ms as f64 / self.slowness;
        let computes = self.batch.iter_mut().find(|active| active.prefill > 0.0);
        let share = match computes {
            Some(active) => {
                active.prefill -= work_ms * PREFILL_TOKENS_PER_MS;
                DECODE_SHARE
            }
            None => 1.0,
        };
        let token_ms = DECODE_MS + DECODE_CALL_MS * self.batch.len() as f64;
        let tokens = work_ms * share / token_ms;
        for active in self.batch.iter_mut().filter(|active| active.prefill <= 0.0) {
            active.decode -= tokens;
        }
        let is_done = |active: &mut Active| active.prefill <= 0.0 && active.decode <= 0.0;
        let done: Vec<_> = self.batch.extract_if(.., is_done).collect();
        for active in &done {
            self.cache_prefix(active.job.program, active.job.prompt + active.job.output);
        }
        self.fill_batch();
        done.into_iter().map(|active| active.job).collect()
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < SLOTS {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let held = self
                .cache
                .get(&job.program)
                .map_or(0, |prefix| prefix.tokens);
            let cached = held.min(job.prompt);
            self.recomputed += job.known.saturating_sub(cached);
            self.batch.push(Active {
                job,
                prefill: (job.prompt - cached) as f64,
                decode: job.output as f64,
            });
            self.cache_prefix(job.program, job.prompt);
        }
    }

    fn cache_prefix(&mut self, program: id::Program, tokens: u64) {
        self.uses += 1;
        let prefix = Prefix {
            tokens,
            used: self.uses,
        };
        let old = self.cache.insert(program, prefix);
        self.cached += tokens;
        self.cached -= old.map_or(0, |old| old.tokens);
        self.events.push((program, tokens));
        while self.cached > CACHE_TOKENS {
            let Some(oldest) = self.least_recently_used(program) else {
                return;
            };
            self.release(oldest);
        }
    }

    /// Returns the least recently used prefix that no call in the batch needs.
    fn least_recently_used(&self, except: id::Program) -> Option<id::Program> {
        let in_use = |program| {
            self.batch
                .iter()
                .any(|active| active.job.program == program)
        };
        let free = self.cache.iter();
        let free = free.filter(|(program, _)| **program != except && !in_use(**program));
        let oldest = free.min_by_key(|(_, prefix)| prefix.used);
        oldest.map(|(program, _)| *program)
    }
}
