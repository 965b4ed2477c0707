//! Checkers of histories, each for one promise.
//!
//! An operation whose outcome is not known is closed at the end of its history; its
//! specification lets it take effect wherever it fits, or not at all by coming last.

mod budget;
mod config;
mod once;
mod program;

use std::time::Instant;

use todc_utils::{Action, History, Specification, WGLChecker};

pub use budget::{Counter, Spend, check_budget};
pub use config::{Monotonic, Version, check_config};
pub use once::{Once, Register, check_once};
pub use program::{AppendList, Line, Turns, check_program};

/// An operation with the time between whose ends it took effect.
#[derive(Clone, Debug)]
pub struct Timed<T> {
    /// The operation with its outcome.
    pub operation: T,
    /// When it was asked.
    pub began: Instant,
    /// When it came back; nothing if its outcome is not known.
    pub ended: Option<Instant>,
}

/// Tells whether operations have an order that a specification allows.
#[must_use]
pub fn is_linearizable<S: Specification>(operations: &[Timed<S::Operation>]) -> bool {
    if operations.is_empty() {
        return true;
    }
    WGLChecker::<S>::is_linearizable(history::<S>(operations))
}

/// Orders beginnings and ends by time; beginnings come first among equals.
fn history<S: Specification>(operations: &[Timed<S::Operation>]) -> History<S::Operation> {
    let mut actions = Vec::with_capacity(2 * operations.len());
    let mut open = Vec::new();
    for (process, timed) in operations.iter().enumerate() {
        let call = Action::Call(timed.operation.clone());
        let response = Action::Response(timed.operation.clone());
        actions.push(((timed.began, 0), (process, call)));
        match timed.ended {
            Some(ended) => actions.push(((ended.max(timed.began), 1), (process, response))),
            None => open.push((process, response)),
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    let closed = actions.into_iter().map(|(_, action)| action);
    History::from_actions(closed.chain(open).collect())
}
