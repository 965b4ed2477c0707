//! Linearizability checkers for recorded histories, one per guarantee of the scheduler.
//!
//! An operation with an unknown outcome gets its response at the end of the history. Its
//! specification allows it to take effect at any point after its call, or never, which equals
//! taking effect last.

mod at_most_once;
mod budget;
mod config;
mod program;

use std::time::Instant;

use todc_utils::{Action, History, Specification, WGLChecker};

pub use at_most_once::{CallOperation, CallRegister, check_at_most_once};
pub use budget::{BudgetCounter, BudgetOperation, check_budget};
pub use config::{ConfigOperation, ConfigRegister, check_config};
pub use program::{AppendList, HistoryOperation, TurnRecord, check_program};

/// An operation and the interval in which it took effect.
#[derive(Clone, Debug)]
pub struct TimedOperation<T> {
    /// The operation with its outcome.
    pub operation: T,
    /// When the request was sent.
    pub started_at: Instant,
    /// When the response arrived; `None` if the outcome is unknown.
    pub completed_at: Option<Instant>,
}

/// Returns whether the operations are linearizable under a specification.
#[must_use]
pub fn is_linearizable<S: Specification>(operations: &[TimedOperation<S::Operation>]) -> bool {
    if operations.is_empty() {
        return true;
    }
    WGLChecker::<S>::is_linearizable(history::<S>(operations))
}

/// Sorts calls and responses by time; at equal times, calls come before responses.
fn history<S: Specification>(operations: &[TimedOperation<S::Operation>]) -> History<S::Operation> {
    let mut actions = Vec::with_capacity(2 * operations.len());
    let mut open = Vec::new();
    for (process, timed) in operations.iter().enumerate() {
        let call = Action::Call(timed.operation.clone());
        let response = Action::Response(timed.operation.clone());
        actions.push(((timed.started_at, 0), (process, call)));
        match timed.completed_at {
            Some(completed_at) => {
                actions.push(((completed_at.max(timed.started_at), 1), (process, response)))
            }
            None => open.push((process, response)),
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    let closed = actions.into_iter().map(|(_, action)| action);
    History::from_actions(closed.chain(open).collect())
}
