//! A program's history as an append-only list.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_wire::api;
use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// A line of the list: who asked, and the answer once it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TurnRecord {
    /// The request id.
    pub request_id: Arc<str>,
    /// The answer; nothing while the call is in doubt.
    pub output: Option<Arc<str>>,
}

/// An operation on the list.
#[derive(Clone, Debug)]
pub enum HistoryOperation {
    /// The caller was given the answer at a position.
    Append {
        /// The position.
        position: usize,
        /// The line.
        record: TurnRecord,
    },
    /// The caller does not know whether its request was appended at a position.
    Unknown {
        /// The position.
        position: usize,
        /// The request id.
        request_id: Arc<str>,
    },
    /// A call in doubt at a position turned out not to have run, at some time or never.
    Withdraw {
        /// The position.
        position: usize,
        /// The request id.
        request_id: Arc<str>,
    },
    /// The caller read the whole list.
    Read(Vec<TurnRecord>),
}

/// The specification of the list.
#[derive(Clone, Copy, Debug)]
pub struct AppendList;

impl Specification for AppendList {
    type State = Vec<TurnRecord>;
    type Operation = HistoryOperation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &HistoryOperation, state: &Vec<TurnRecord>) -> (bool, Vec<TurnRecord>) {
        match operation {
            HistoryOperation::Append { position, record } => append(*position, record, state),
            HistoryOperation::Unknown {
                position,
                request_id,
            } => {
                let record = TurnRecord {
                    request_id: Arc::clone(request_id),
                    output: None,
                };
                let (appended, next) = append(*position, &record, state);
                (true, if appended { next } else { state.clone() })
            }
            HistoryOperation::Withdraw {
                position,
                request_id,
            } => (true, withdraw(*position, request_id, state)),
            HistoryOperation::Read(records) => apply_read(records, state),
        }
    }
}

/// Appends a line, or finds it where an earlier request of the same id put it.
fn append(position: usize, record: &TurnRecord, state: &[TurnRecord]) -> (bool, Vec<TurnRecord>) {
    let mut next = state.to_vec();
    if position == state.len() {
        next.push(record.clone());
        return (true, next);
    }
    match next.get_mut(position) {
        Some(old) if old.request_id == record.request_id => (merge_output(old, record), next),
        _ => (false, next),
    }
}

/// Takes the last line away, if it is this request's and has no answer.
fn withdraw(position: usize, request_id: &Arc<str>, state: &[TurnRecord]) -> Vec<TurnRecord> {
    let mut next = state.to_vec();
    let last = next.last();
    let in_doubt =
        last.is_some_and(|record| record.request_id == *request_id && record.output.is_none());
    if in_doubt && position + 1 == state.len() {
        next.pop();
    }
    next
}

/// Compares the list with what was read, and learns the answers that were not known.
fn apply_read(records: &[TurnRecord], state: &[TurnRecord]) -> (bool, Vec<TurnRecord>) {
    let mut next = state.to_vec();
    let same = records.len() == state.len()
        && next
            .iter_mut()
            .zip(records)
            .all(|(old, record)| old.request_id == record.request_id && merge_output(old, record));
    (same, next)
}

/// Learns an answer; an answer once known never changes and is never unknown again.
fn merge_output(old: &mut TurnRecord, record: &TurnRecord) -> bool {
    match (&old.output, &record.output) {
        (None, None) => true,
        (None, Some(_)) => {
            old.output.clone_from(&record.output);
            true
        }
        (Some(old), Some(new)) => old == new,
        (Some(_), None) => false,
    }
}

/// Returns the line that a turn stands for; a failed turn's answer is its state.
fn to_record(turn: &api::Turn) -> TurnRecord {
    let output = match turn.state.as_str() {
        "done" => Some(turn.output.as_str()),
        "failed" => Some("\u{0}failed"),
        _ => None,
    };
    TurnRecord {
        request_id: turn.request_id.as_str().into(),
        output: output.map(Into::into),
    }
}

/// Returns the operation on the list that an entry of one program stands for, if it is one.
///
/// A provisional answer may be lost, as one of unknown outcome.
fn to_operation(entry: &Entry) -> Option<HistoryOperation> {
    match (&entry.operation, &entry.outcome) {
        (Operation::Call { call, .. }, Outcome::Final(last)) if !last.provisional => {
            Some(HistoryOperation::Append {
                position: call.position as usize,
                record: TurnRecord {
                    request_id: call.request_id.as_str().into(),
                    output: Some(last.output.as_str().into()),
                },
            })
        }
        (Operation::Call { call, .. }, outcome) if !outcome.is_not_run() => {
            Some(HistoryOperation::Unknown {
                position: call.position as usize,
                request_id: call.request_id.as_str().into(),
            })
        }
        (_, Outcome::Program(program)) => Some(HistoryOperation::Read(
            program.turns.iter().map(to_record).collect(),
        )),
        _ => None,
    }
}

/// Returns the requests that some read showed without an answer.
fn requests_read_in_doubt(entries: &[&Entry]) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for entry in entries {
        if let Outcome::Program(program) = &entry.outcome {
            let turns = program.turns.iter();
            let in_doubt = turns.filter(|turn| to_record(turn).output.is_none());
            seen.extend(in_doubt.map(|turn| turn.request_id.clone()));
        }
    }
    seen
}

/// Returns the operations that a call seen in doubt may go through besides its answer.
///
/// Its line is there before its answer. An operator's word, or a failure to send it, takes the
/// line away again.
fn in_doubt_operations(position: usize, request_id: &Arc<str>) -> [HistoryOperation; 2] {
    let request_id = || Arc::clone(request_id);
    [
        HistoryOperation::Unknown {
            position,
            request_id: request_id(),
        },
        HistoryOperation::Withdraw {
            position,
            request_id: request_id(),
        },
    ]
}

/// Checks the entries of one program.
///
/// Requests of unknown outcome with one id and position count once, from the first of them on:
/// each adds its line at most once, and the number of open operations stays small.
#[must_use]
pub fn check_program(entries: &[&Entry]) -> bool {
    let in_doubt = requests_read_in_doubt(entries);
    let mut pending = BTreeSet::new();
    let mut operations = Vec::new();
    for entry in entries {
        let timed = |operation, completed_at| TimedOperation {
            operation,
            started_at: entry.started_at,
            completed_at,
        };
        if let Operation::Call { call, .. } = &entry.operation
            && in_doubt.contains(&call.request_id)
            && pending.insert((call.position, call.request_id.as_str()))
        {
            let request_id = call.request_id.as_str().into();
            let steps = in_doubt_operations(call.position as usize, &request_id);
            operations.extend(steps.map(|step| timed(step, None)));
        }
        match to_operation(entry) {
            Some(HistoryOperation::Unknown {
                position,
                request_id,
            }) => {
                if let Operation::Call { call, .. } = &entry.operation
                    && pending.insert((call.position, call.request_id.as_str()))
                {
                    let unknown = HistoryOperation::Unknown {
                        position,
                        request_id,
                    };
                    operations.push(timed(unknown, None));
                }
            }
            Some(operation) => operations.push(timed(operation, Some(entry.completed_at))),
            None => {}
        }
    }
    is_linearizable::<AppendList>(&operations)
}
