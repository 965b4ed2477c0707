//! What a model is asked: the history and the new input.

use basilramp_core::history::{History, State, Turn};
use basilramp_core::id;
use basilramp_wire::engine::Message;

/// Tokens that an engine may add for each message.
const MESSAGE_TOKENS: u64 = 16;

/// A prompt.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// The messages, oldest first.
    pub(crate) messages: Vec<Message>,
    /// The most tokens that the prompt can have.
    pub(crate) bound: u64,
}

/// Builds the prompt of a call to a model service.
pub(crate) fn build(history: &History, service: &id::Service, input: &str) -> Prompt {
    let mut messages = Vec::new();
    let mut bound = MESSAGE_TOKENS;
    for turn in history.turns() {
        let from = messages.len();
        push(&mut messages, turn);
        bound = match known(turn, service) {
            Some(tokens) => tokens + MESSAGE_TOKENS,
            None => bound + messages[from..].iter().map(most_tokens).sum::<u64>(),
        };
    }
    let last = message("user", input);
    bound += most_tokens(&last);
    messages.push(last);
    Prompt { messages, bound }
}

/// Returns the tokens of the history up to and with a turn, if the same service counted them.
fn known(turn: &Turn, service: &id::Service) -> Option<u64> {
    let usage = turn.outcome.usage;
    let counted = turn.request.service == *service && usage.prompt > 0;
    counted.then(|| usage.charged())
}

/// Returns the most tokens of a message: every token has at least one byte.
fn most_tokens(message: &Message) -> u64 {
    message.content.len() as u64 + MESSAGE_TOKENS
}

fn push(messages: &mut Vec<Message>, turn: &Turn) {
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
