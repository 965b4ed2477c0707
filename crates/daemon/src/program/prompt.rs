//! Builds the prompt of a model call from the history and the new input.

use basilramp_core::history::{History, State, Turn};
use basilramp_core::id;
use basilramp_wire::engine::Message;

/// Tokens that an engine may add to each message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// A prompt and an upper bound on its tokens.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// The messages, oldest first.
    pub(crate) messages: Vec<Message>,
    /// Upper bound on the tokens of the prompt.
    pub(crate) max_tokens: u64,
}

/// Builds the prompt of a call to a model service.
///
/// The bound uses the token counts that the same service reported for earlier turns, and the byte
/// length of later messages.
pub(crate) fn build(history: &History, service: &id::Service, input: &str) -> Prompt {
    let mut messages = Vec::new();
    let mut max_tokens = MESSAGE_OVERHEAD_TOKENS;
    for turn in history.turns() {
        let first_new = messages.len();
        push_turn(&mut messages, turn);
        max_tokens = match counted_tokens(turn, service) {
            Some(tokens) => tokens + MESSAGE_OVERHEAD_TOKENS,
            None => {
                max_tokens
                    + messages[first_new..]
                        .iter()
                        .map(max_message_tokens)
                        .sum::<u64>()
            }
        };
    }
    let last = message("user", input);
    max_tokens += max_message_tokens(&last);
    messages.push(last);
    Prompt {
        messages,
        max_tokens,
    }
}

/// Returns the tokens of the history up to and including a turn, if the same service counted them.
fn counted_tokens(turn: &Turn, service: &id::Service) -> Option<u64> {
    let usage = turn.outcome.usage;
    let counted = turn.request.service == *service && usage.prompt > 0;
    counted.then(|| usage.charged())
}

/// Returns an upper bound on the tokens of a message, as every token has at least one byte.
fn max_message_tokens(message: &Message) -> u64 {
    message.content.len() as u64 + MESSAGE_OVERHEAD_TOKENS
}

fn push_turn(messages: &mut Vec<Message>, turn: &Turn) {
    let output = &*turn.outcome.output;
    let from_model = turn.outcome.usage.prompt > 0;
    match turn.outcome.state {
        State::Done if from_model => {
            messages.push(message("user", &turn.request.input));
            messages.push(message("assistant", output));
        }
        State::Done | State::Failed => messages.push(message("tool", output)),
        State::Intent => {}
    }
}

fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: content.to_owned(),
    }
}
