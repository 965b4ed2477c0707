//! Parts of prompts that an upstream has read lately.

use std::collections::BTreeMap;

use super::super::request::PromptPart;
use crate::clock::Time;

/// Parts that are remembered of an upstream: more than its memory holds at the usual sizes.
const MAX_PARTS: usize = 1_024;

/// Parts, with the tokens read of each and when. The last part of a line's prompt grows from
/// turn to turn under one id.
#[derive(Debug, Default)]
pub struct PrefixCache {
    parts: BTreeMap<u64, (u32, Time)>,
}

impl PrefixCache {
    /// Notes that a prompt is read.
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

    /// Returns the tokens at the start of a prompt that were read lately.
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

    /// Forgets the half that was not read for the longest time.
    fn evict_older_half(&mut self) {
        let mut times: Vec<_> = self.parts.values().map(|(_, read)| *read).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, (_, read)| *read > median);
    }
}
