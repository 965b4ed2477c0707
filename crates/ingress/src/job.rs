//! A request under way: what is known of it, and what its attempts came to.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use basilramp_core::clock::Time;
use basilramp_core::dispatch::attempt::{Failure, Next, Tries};
use basilramp_core::dispatch::call::Head;
use basilramp_core::dispatch::config::{Engine, Kind};
use basilramp_core::dispatch::fleet::Key;
use basilramp_core::dispatch::place::{self, Ask, Choice, Prompt};
use basilramp_process::event;
use bytes::Bytes;
use http::request::Parts;

use crate::log_event::Event;
use crate::metric::Outcome;
use crate::state::State;

/// When a caller may come back that was refused since no upstream took its request.
pub(crate) const FULL_RETRY_MS: u64 = 250;

/// Time after which a repeatable request is sent to another upstream, in milliseconds: several
/// times what the slowest plain call takes at a sound one.
const REPEAT_AFTER_MS: u64 = 400;

/// Time after which a resumable stream without its first event goes to another upstream, beyond
/// twice what was expected.
const RESUME_AFTER_MS: u64 = 1_200;

/// A request under way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) state: Arc<State>,
    /// The head to pass on, without what concerns one connection.
    pub(crate) parts: Parts,
    pub(crate) call: Head,
    pub(crate) attempt: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) kind: Kind,
    pub(crate) max_attempts: u32,
    /// How long its turn can be continued, in milliseconds; 0 if it is not kept.
    pub(crate) retention_ms: u64,
    pub(crate) service: Arc<str>,
    pub(crate) engine: Option<Engine>,
    pub(crate) arrived: Time,
    pub(crate) ends: Time,
    /// How urgent its route is; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) tries: Tries,
    pub(crate) tried: Vec<Key>,
    /// The upstream of the turn before.
    pub(crate) last: Option<Arc<str>>,
    pub(crate) times: Times,
    /// Its end is in the log.
    pub(crate) is_told: AtomicBool,
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.is_told.load(Ordering::Relaxed) {
            return;
        }
        let ms = self.elapsed_ms();
        self.state
            .metrics
            .request(&self.service, Outcome::CallerLeft, ms);
        if self.state.admits(Event::CallerLeft) {
            event!(
                self.state.log,
                Event::CallerLeft,
                "request" => &*self.attempt,
                "attempts" => self.tried.len(),
                "ms" => ms
            );
        }
    }
}

/// When the steps of a request were done, in milliseconds from its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// The program's budget and the turns before were at hand.
    pub(crate) loaded: u64,
    /// The last attempt was placed.
    pub(crate) placed: u64,
    /// The first event came.
    pub(crate) first: u64,
    /// The last event came.
    pub(crate) last: u64,
}

impl Job {
    /// Returns the milliseconds that are left to the caller.
    pub(crate) fn left_ms(&self) -> u64 {
        self.ends.since(self.state.now())
    }

    /// Returns the milliseconds since the request arrived.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.state.now().since(self.arrived)
    }

    /// Notes that the log says how the request ended.
    pub(crate) fn told(&self) {
        self.is_told.store(true, Ordering::Relaxed);
    }

    /// Logs that the caller has its whole answer.
    pub(crate) fn answered(&self, choice: &Choice, status: u16, events: u64) {
        self.told();
        self.state
            .metrics
            .request(&self.service, Outcome::Answered, self.elapsed_ms());
        if !self.state.admits(Event::Answered) {
            return;
        }
        let program = self.call.program.as_ref();
        event!(
            self.state.log,
            Event::Answered,
            "request" => &*self.attempt,
            "program" => program.map_or("", |program| &*program.id),
            "service" => &*self.service,
            "rank" => self.rank,
            "upstream" => &*choice.id,
            "status" => status,
            "attempts" => self.tried.len(),
            "prompt_tokens" => self.call.prompt_tokens,
            "unread_tokens" => choice.unread,
            "expected_ms" => choice.expected_ms,
            "events" => events,
            "loaded_ms" => self.times.loaded,
            "placed_ms" => self.times.placed,
            "first_ms" => self.times.first,
            "last_ms" => self.times.last,
            "ms" => self.elapsed_ms()
        );
    }

    /// Picks the upstream of the next attempt.
    pub(crate) fn pick(&mut self) -> Option<Choice> {
        let program = self.call.program.as_ref();
        let ask = Ask {
            service: &self.service,
            prompt: self.engine.as_ref().map(|_| Prompt {
                tokens: u64::from(self.call.prompt_tokens),
                parts: &self.call.prompt,
            }),
            subject: match self.engine {
                Some(_) => program.map(|program| &*program.id),
                None => self.call.affinity.as_deref(),
            },
            last: self.last.as_deref(),
            failure_domain: &self.state.settings.failure_domain,
            tried: &self.tried,
        };
        let now = self.state.now();
        let choice = place::pick(&self.state.fleet(), &ask, now, rand::random())?;
        self.tried.push(choice.key);
        self.times.placed = self.elapsed_ms();
        Some(choice)
    }

    /// Notes a failed attempt, and returns what follows.
    pub(crate) fn after(&mut self, failure: Failure) -> Next {
        self.tries.note(failure);
        let left_ms = self.left_ms();
        self.tries
            .next(self.kind, self.max_attempts, left_ms, FULL_RETRY_MS)
    }

    /// Returns how long an attempt may take until another one is better.
    pub(crate) fn patience_ms(&self, choice: &Choice) -> u64 {
        let may_repeat = self.tries.ran + 1 < self.max_attempts;
        match self.kind {
            Kind::Safe if may_repeat => REPEAT_AFTER_MS,
            Kind::ResumableStream if may_repeat => RESUME_AFTER_MS + 2 * choice.expected_ms as u64,
            _ => u64::MAX,
        }
    }
}
