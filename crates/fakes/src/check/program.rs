//! A program's history as an append-only list.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_wire::api;
use todc_utils::Specification;

use super::{Timed, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// A line of the list: who asked, and the answer once it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Line {
    /// The request id.
    pub request: Arc<str>,
    /// The answer; nothing while the call is in doubt.
    pub output: Option<Arc<str>>,
}

/// An operation on the list.
#[derive(Clone, Debug)]
pub enum Turns {
    /// The caller was given the answer at a position.
    Append {
        /// The position.
        position: usize,
        /// The line.
        line: Line,
    },
    /// The caller does not know whether its request was appended at a position.
    Unknown {
        /// The position.
        position: usize,
        /// The request id.
        request: Arc<str>,
    },
    /// A call in doubt at a position turned out not to have run, at some time or never.
    Withdraw {
        /// The position.
        position: usize,
        /// The request id.
        request: Arc<str>,
    },
    /// The caller read the whole list.
    Read(Vec<Line>),
}

/// The specification of the list.
#[derive(Clone, Copy, Debug)]
pub struct AppendList;

impl Specification for AppendList {
    type State = Vec<Line>;
    type Operation = Turns;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &Turns, state: &Vec<Line>) -> (bool, Vec<Line>) {
        match operation {
            Turns::Append { position, line } => append(*position, line, state),
            Turns::Unknown { position, request } => {
                let line = Line {
                    request: Arc::clone(request),
                    output: None,
                };
                let (appended, next) = append(*position, &line, state);
                (true, if appended { next } else { state.clone() })
            }
            Turns::Withdraw { position, request } => (true, withdraw(*position, request, state)),
            Turns::Read(lines) => read(lines, state),
        }
    }
}

/// Appends a line, or finds it where an earlier request of the same id put it.
fn append(position: usize, line: &Line, state: &[Line]) -> (bool, Vec<Line>) {
    let mut next = state.to_vec();
    if position == state.len() {
        next.push(line.clone());
        return (true, next);
    }
    match next.get_mut(position) {
        Some(old) if old.request == line.request => (settle(old, line), next),
        _ => (false, next),
    }
}

/// Takes the last line away, if it is this request's and has no answer.
fn withdraw(position: usize, request: &Arc<str>, state: &[Line]) -> Vec<Line> {
    let mut next = state.to_vec();
    let last = next.last();
    let doubted = last.is_some_and(|line| line.request == *request && line.output.is_none());
    if doubted && position + 1 == state.len() {
        next.pop();
    }
    next
}

/// Compares the list with what was read, and learns the answers that were not known.
fn read(lines: &[Line], state: &[Line]) -> (bool, Vec<Line>) {
    let mut next = state.to_vec();
    let same = lines.len() == state.len()
        && next
            .iter_mut()
            .zip(lines)
            .all(|(old, line)| old.request == line.request && settle(old, line));
    (same, next)
}

/// Learns an answer; an answer once known never changes and is never unknown again.
fn settle(old: &mut Line, line: &Line) -> bool {
    match (&old.output, &line.output) {
        (None, None) => true,
        (None, Some(_)) => {
            old.output.clone_from(&line.output);
            true
        }
        (Some(old), Some(new)) => old == new,
        (Some(_), None) => false,
    }
}

/// Returns the line that a turn stands for; a failed turn's answer is its state.
fn line(turn: &api::Turn) -> Line {
    let output = match turn.state.as_str() {
        "done" => Some(turn.output.as_str()),
        "failed" => Some("\u{0}failed"),
        _ => None,
    };
    Line {
        request: turn.request_id.as_str().into(),
        output: output.map(Into::into),
    }
}

/// Returns the operation on the list that an entry of one program stands for, if it is one.
///
/// A provisional answer may be lost, as one of unknown outcome.
fn operation(entry: &Entry) -> Option<Turns> {
    match (&entry.operation, &entry.outcome) {
        (Operation::Call { call, .. }, Outcome::Final(last)) if !last.provisional => {
            Some(Turns::Append {
                position: call.position as usize,
                line: Line {
                    request: call.request_id.as_str().into(),
                    output: Some(last.output.as_str().into()),
                },
            })
        }
        (Operation::Call { call, .. }, outcome) if !outcome.is_not_run() => Some(Turns::Unknown {
            position: call.position as usize,
            request: call.request_id.as_str().into(),
        }),
        (_, Outcome::Program(program)) => {
            Some(Turns::Read(program.turns.iter().map(line).collect()))
        }
        _ => None,
    }
}

/// Returns the requests that some read showed without an answer.
fn seen_in_doubt(entries: &[&Entry]) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for entry in entries {
        if let Outcome::Program(program) = &entry.outcome {
            let turns = program.turns.iter();
            let doubted = turns.filter(|turn| line(turn).output.is_none());
            seen.extend(doubted.map(|turn| turn.request_id.clone()));
        }
    }
    seen
}

/// Returns the operations that a call seen in doubt may go through besides its answer.
///
/// Its line is there before its answer. An operator's word, or a failure to send it, takes the
/// line away again.
fn doubt(position: usize, request: &Arc<str>) -> [Turns; 2] {
    let request = || Arc::clone(request);
    [
        Turns::Unknown {
            position,
            request: request(),
        },
        Turns::Withdraw {
            position,
            request: request(),
        },
    ]
}

/// Checks the entries of one program.
///
/// Requests of unknown outcome with one id and position count once, from the first of them on:
/// each adds its line at most once, and the number of open operations stays small.
#[must_use]
pub fn check_program(entries: &[&Entry]) -> bool {
    let doubted = seen_in_doubt(entries);
    let mut open = BTreeSet::new();
    let mut operations = Vec::new();
    for entry in entries {
        let timed = |operation, ended| Timed {
            operation,
            began: entry.began,
            ended,
        };
        if let Operation::Call { call, .. } = &entry.operation
            && doubted.contains(&call.request_id)
            && open.insert((call.position, call.request_id.as_str()))
        {
            let request = call.request_id.as_str().into();
            let steps = doubt(call.position as usize, &request);
            operations.extend(steps.map(|step| timed(step, None)));
        }
        match operation(entry) {
            Some(Turns::Unknown { position, request }) => {
                if let Operation::Call { call, .. } = &entry.operation
                    && open.insert((call.position, call.request_id.as_str()))
                {
                    let unknown = Turns::Unknown { position, request };
                    operations.push(timed(unknown, None));
                }
            }
            Some(operation) => operations.push(timed(operation, Some(entry.ended))),
            None => {}
        }
    }
    is_linearizable::<AppendList>(&operations)
}
