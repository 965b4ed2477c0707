//! Checks that the history of a program is a linearizable append-only list of turns.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_wire::api;
use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// An element of the list: a request and its output once that is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TurnRecord {
    /// The request id.
    pub request_id: Arc<str>,
    /// The output; `None` while the call is in doubt.
    pub output: Option<Arc<str>>,
}

/// An operation on the list.
#[derive(Clone, Debug)]
pub enum HistoryOperation {
    /// The caller received the output of the turn at a position.
    Append {
        /// Position in the history.
        position: usize,
        /// The turn.
        record: TurnRecord,
    },
    /// The caller does not know whether its request was appended at a position.
    Unknown {
        /// Position in the history.
        position: usize,
        /// The request id.
        request_id: Arc<str>,
    },
    /// A call in doubt at a position may be removed at some time because it did not run.
    Withdraw {
        /// Position in the history.
        position: usize,
        /// The request id.
        request_id: Arc<str>,
    },
    /// The caller read the whole history.
    Read(Vec<TurnRecord>),
}

/// Sequential specification of the history.
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

/// Appends a turn, or merges it with the turn that an earlier request of the same id appended.
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

/// Removes the last turn if it belongs to this request and has no output.
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

/// Compares the history with the turns that were read, and fills in outputs that were unknown.
fn apply_read(records: &[TurnRecord], state: &[TurnRecord]) -> (bool, Vec<TurnRecord>) {
    let mut next = state.to_vec();
    let same = records.len() == state.len()
        && next
            .iter_mut()
            .zip(records)
            .all(|(old, record)| old.request_id == record.request_id && merge_output(old, record));
    (same, next)
}

/// Fills in an output. A known output must never change or become unknown again.
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

/// Converts a turn; the output of a failed turn is a marker that no real output equals.
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

/// Converts an entry to an operation on the history, if it is one.
///
/// A provisional output may be lost, so its call counts as one with an unknown outcome.
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

/// Returns the ids of requests that any read returned without an output.
fn requests_read_in_doubt(entries: &[&Entry]) -> BTreeSet<String> {
    let mut request_ids = BTreeSet::new();
    for entry in entries {
        if let Outcome::Program(program) = &entry.outcome {
            let turns = program.turns.iter();
            let in_doubt = turns.filter(|turn| to_record(turn).output.is_none());
            request_ids.extend(in_doubt.map(|turn| turn.request_id.clone()));
        }
    }
    request_ids
}

/// Returns the operations that a call read in doubt may perform besides its final append.
///
/// Its turn is stored before its output. The turn is removed again if an operator settles the
/// call as not run, or if sending it fails.
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

/// Checks the history of one program.
///
/// Requests with an unknown outcome and the same id and position count as one operation that
/// starts with the first of them. Together they append at most one turn, and few pending
/// operations keep the search small.
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
