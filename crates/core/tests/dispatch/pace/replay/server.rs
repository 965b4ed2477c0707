//! Upstreams of a replay, and the requests in progress there.

use std::collections::BTreeSet;

use basilramp_core::dispatch::fleet::UpstreamKey;
use basilramp_core::dispatch::placement::ExpectedTime;
use basilramp_core::dispatch::request::PromptPart;

#[derive(Debug)]
pub(super) struct Server {
    pub(super) is_up: bool,
    pub(super) speed: f64,
    pub(super) started_ms: u64,
    pub(super) cache: BTreeSet<(u64, u32)>,
    pub(super) running: Vec<Running>,
    pub(super) overloaded_ms: u64,
}

#[derive(Debug)]
pub(super) struct Running {
    pub(super) instance: usize,
    pub(super) key: UpstreamKey,
    pub(super) turn: Turn,
    pub(super) read_ms: f64,
    pub(super) stream_ms: f64,
    pub(super) sent_ms: u64,
    pub(super) first_ms: Option<u64>,
    pub(super) expected_time: ExpectedTime,
    pub(super) unread_tokens: u64,
    pub(super) queued_tokens: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Turn {
    pub(super) program: u64,
    pub(super) number: u32,
    pub(super) previous: Option<usize>,
    pub(super) arrived_ms: u64,
    pub(super) tried: usize,
}

impl Server {
    /// Caches a part of a prompt. Returns the tokens that have to be read for that.
    pub(super) fn read(&mut self, part: PromptPart) -> u32 {
        let known = self.cache.range((part.id, 0)..=(part.id, u32::MAX));
        let known = known.map(|(_, tokens)| *tokens).max().unwrap_or_default();
        self.cache.insert((part.id, part.tokens));
        part.tokens.saturating_sub(known)
    }
}

impl Running {
    /// Does some work. Returns whether the request is done.
    pub(super) fn advance(mut self, work_ms: f64, now_ms: u64) -> (Self, bool) {
        self.read_ms -= work_ms;
        if self.read_ms <= 0.0 {
            self.first_ms.get_or_insert(now_ms);
            self.stream_ms += self.read_ms;
            self.read_ms = 0.0;
        }
        let is_done = self.stream_ms <= 0.0;
        (self, is_done)
    }
}
