//! API representations of programs and turns.

use basilramp_core::history::{State, Turn};
use basilramp_core::id;
use basilramp_core::tree::{Key, Tree};
use basilramp_wire::api;
use basilramp_wire::error::{Error, Kind};

use super::rejection;

/// Returns the representation of a program. With `None` as account, as operators use, the program
/// may belong to any account.
pub(crate) fn program(
    tree: &Tree,
    account: Option<&id::Account>,
    program: id::Program,
) -> Result<api::Program, Error> {
    let is_other_account = account.is_some_and(|account| account != tree.account());
    let key = tree.key(program.number()).filter(|_| !is_other_account);
    let key = key.ok_or_else(rejection::not_found)?;
    let origin = tree.origin(key).ok_or_else(rejection::not_found)?;
    let history = tree.history(key).ok_or_else(rejection::not_found)?;
    let parent = origin.parent.map(|parent| tree.root().member(parent));
    let turns = history.turns().iter().enumerate();
    let turns: Vec<api::Turn> = turns
        .map(|(position, turn)| turn_view(position as u32, turn))
        .collect();
    Ok(api::Program {
        id: program.to_string(),
        parent: parent.map(|parent| parent.to_string()),
        state: state_name(tree, key).to_owned(),
        next_position: history.next_position(),
        budget: tree.budget().into(),
        spent: tree.ledger().spent(),
        turns,
    })
}

/// Returns the last event of a call from its recorded turn.
pub(crate) fn recorded_event(
    tree: &Tree,
    key: Key,
    program: id::Program,
    position: u32,
) -> api::Event {
    let history = tree.history(key);
    let turn = history.and_then(|history| history.turns().get(position as usize));
    let Some(turn) = turn else {
        return api::Event::Error(rejection::program_lost());
    };
    if turn.outcome.state == State::Failed {
        let error = Error::new(Kind::UpstreamFailed, &*turn.outcome.output);
        return api::Event::Error(error);
    }
    api::Event::Final(api::FinalEvent {
        program: program.to_string(),
        position,
        output: turn.outcome.output.to_string(),
        usage: turn.outcome.usage.into(),
        hash: hash_text(turn),
        provisional: !tree.is_durable(key, position),
        recorded: false,
    })
}

fn state_name(tree: &Tree, key: Key) -> &'static str {
    if tree.is_ended(key) {
        return "ended";
    }
    "running"
}

fn turn_view(position: u32, turn: &Turn) -> api::Turn {
    let state = match turn.outcome.state {
        State::Intent => "in_doubt",
        State::Done => "done",
        State::Failed => "failed",
    };
    api::Turn {
        position,
        request_id: turn.request.id.to_string(),
        service: turn.request.service.to_string(),
        state: state.to_owned(),
        input: turn.request.input.to_string(),
        output: turn.outcome.output.to_string(),
        usage: turn.outcome.usage.into(),
        hash: hash_text(turn),
    }
}

fn hash_text(turn: &Turn) -> String {
    turn.hash.map(|hash| hash.to_string()).unwrap_or_default()
}
