//! Estimate of the prompt parts in an upstream's prefix cache.

use std::collections::BTreeMap;

use super::super::request::PromptPart;
use crate::clock::Time;

/// Maximum number of parts per upstream: more than its memory holds at typical part sizes.
const MAX_PARTS: usize = 1_024;

/// Recently read prompt parts, with the number of tokens read and the time of the last read. The
/// last part of a session's prompt grows from turn to turn under the same id.
#[derive(Debug, Default)]
pub struct PrefixCache {
    parts: BTreeMap<u64, (u32, Time)>,
}

impl PrefixCache {
    /// Records that the upstream reads a prompt.
    pub fn record_prompt(&mut self, prompt: &[PromptPart], now: Time) {
        for part in prompt {
            let (tokens, read) = self.parts.entry(part.id).or_default();
            *tokens = part.tokens.max(*tokens);
            *read = now;
        }
        if self.parts.len() > MAX_PARTS {
            self.evict_older_half();
        }
    }

    /// Returns the number of leading prompt tokens that were recently read.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let mut cached = 0;
        for part in prompt {
            let cached_part = self.parts.get(&part.id).map_or(0, |(tokens, _)| *tokens);
            cached += u64::from(cached_part.min(part.tokens));
            if cached_part < part.tokens {
                break;
            }
        }
        cached
    }

    /// Returns whether a shorter version of a prompt's last part, which belongs to its session, was
    /// recently read.
    #[must_use]
    pub fn knows_session(&self, prompt: &[PromptPart]) -> bool {
        prompt
            .last()
            .is_some_and(|part| self.parts.contains_key(&part.id))
    }

    /// Evicts the half of the parts that was read the longest time ago.
    fn evict_older_half(&mut self) {
        let mut times: Vec<_> = self.parts.values().map(|(_, read)| *read).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, (_, read)| *read > median);
    }
}
