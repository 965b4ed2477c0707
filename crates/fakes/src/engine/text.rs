//! Token counts and deterministic completions of the engine.

use basilramp_wire::engine::Message;

use crate::digest;

/// Bytes of text per token.
const TOKEN_BYTES: usize = 4;

/// Number of words at the start of a completion that depend on the last message only.
const PROMPT_WORDS: usize = 4;

/// Minimum number of tokens of a completion that `max_tokens` does not limit.
const MIN_COMPLETION_TOKENS: u64 = 8;

/// Number of different completion lengths.
const COMPLETION_LENGTHS: u64 = 24;

/// Alphabet of the words.
const LETTERS: &[u8; 32] = b"abcdefghijkmnopqrstuvwxyz2345678";

/// Returns the number of tokens of a text: one for each four bytes, rounded up.
#[must_use]
pub fn count_tokens(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// Returns the number of tokens of all messages of a prompt.
#[must_use]
pub fn count_prompt_tokens(messages: &[Message]) -> u64 {
    messages
        .iter()
        .map(|message| count_tokens(&message.content))
        .sum()
}

/// Returns the tokens of a completion, in order.
///
/// The first four depend on the seed and the last message, the others on the seed and the
/// contents of all messages in order. Roles and model do not matter. The completion has 8 to 31
/// tokens, or `max_tokens` if that is less.
#[must_use]
pub fn completion_tokens(seed: u64, contents: &[&str], max_tokens: u32) -> Vec<String> {
    let seed = seed.to_string();
    let last = contents.last().copied().unwrap_or_default();
    let prompt = digest::hash_texts([seed.as_str(), last]);
    let all = digest::hash_texts([seed.as_str()].into_iter().chain(contents.iter().copied()));
    let length = (MIN_COMPLETION_TOKENS + prompt % COMPLETION_LENGTHS).min(u64::from(max_tokens));
    (0..length as usize)
        .map(|index| {
            let source = if index < PROMPT_WORDS { prompt } else { all };
            let word = word(source, index);
            if index == 0 { word } else { format!(" {word}") }
        })
        .collect()
}

/// Returns the text of a completion; see [`completion_tokens`].
#[must_use]
pub fn completion_text(seed: u64, contents: &[&str], max_tokens: u32) -> String {
    completion_tokens(seed, contents, max_tokens).concat()
}

/// Returns the start of a completion, which depends on the last message only.
#[must_use]
pub fn completion_start(seed: u64, prompt: &str, max_tokens: u32) -> String {
    let tokens = completion_tokens(seed, &[prompt], max_tokens);
    tokens[..tokens.len().min(PROMPT_WORDS)].concat()
}

/// Returns the three-letter word at an index of a completion.
fn word(source: u64, index: usize) -> String {
    let index = index.to_string();
    let hash = digest::hash_texts([source.to_string().as_str(), index.as_str()]);
    let letter = |shift: u64| char::from(LETTERS[(hash >> shift) as usize % LETTERS.len()]);
    [letter(0), letter(8), letter(16)].iter().collect()
}
