//! Parts of prompts that an upstream has read lately.

use std::collections::BTreeMap;

use super::super::call::Part;
use crate::clock::Time;

/// Parts that are remembered of an upstream: more than its memory holds at the usual sizes.
const MAX_PARTS: usize = 1_024;

/// Parts, with the tokens read of each and when. The last part of a line's prompt grows from
/// turn to turn under one id.
#[derive(Debug, Default)]
pub struct Set {
    parts: BTreeMap<u64, (u32, Time)>,
}

impl Set {
    /// Notes that a prompt is read.
    pub fn insert(&mut self, prompt: &[Part], now: Time) {
        for part in prompt {
            let (tokens, read) = self.parts.entry(part.id).or_default();
            *tokens = part.tokens.max(*tokens);
            *read = now;
        }
        if self.parts.len() > MAX_PARTS {
            self.halve();
        }
    }

    /// Returns the tokens at the start of a prompt that were read lately.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &[Part]) -> u64 {
        let mut cached = 0;
        for part in prompt {
            let known = self.parts.get(&part.id).map_or(0, |(tokens, _)| *tokens);
            cached += u64::from(known.min(part.tokens));
            if known < part.tokens {
                break;
            }
        }
        cached
    }

    /// Forgets the half that was not read for the longest time.
    fn halve(&mut self) {
        let mut times: Vec<_> = self.parts.values().map(|(_, read)| *read).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, (_, read)| *read > median);
    }
}
