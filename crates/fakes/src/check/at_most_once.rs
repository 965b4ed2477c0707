//! An unrepeatable call as a register that is set at most once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Outcome};

/// An operation on the register.
#[derive(Clone, Debug)]
pub enum CallOperation {
    /// The call took effect at its service.
    Effect(Arc<str>),
    /// A caller was given the answer.
    Response(Arc<str>),
    /// A caller does not know.
    Unknown,
    /// Every caller was told that it was not run.
    NotRun,
}

/// The specification of the register.
#[derive(Clone, Copy, Debug)]
pub struct CallRegister;

impl Specification for CallRegister {
    type State = Option<Arc<str>>;
    type Operation = CallOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &CallOperation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            CallOperation::Effect(output) => (state.is_none(), Some(Arc::clone(output))),
            CallOperation::Response(output) => (state.as_ref() == Some(output), state.clone()),
            CallOperation::Unknown => (true, state.clone()),
            CallOperation::NotRun => (state.is_none(), state.clone()),
        }
    }
}

/// Checks the entries of one unrepeatable call, and its effects with their answers.
///
/// A refusal that says `ran: no` speaks of its own attempt, so it is held against the effects
/// only where no other attempt may have run; it then holds until the end of the history.
#[must_use]
pub fn check_at_most_once(entries: &[&Entry], effects: &[(Instant, Arc<str>)]) -> bool {
    let never_run = entries.iter().all(|entry| entry.outcome.is_not_run());
    let last = effects.iter().map(|(at, _)| *at).max();
    let after_effects = last.map(|at| at + Duration::from_nanos(1));
    let callers = entries.iter().map(|entry| {
        let operation = match &entry.outcome {
            Outcome::Final(response) => CallOperation::Response(response.output.as_str().into()),
            _ if never_run => CallOperation::NotRun,
            _ => CallOperation::Unknown,
        };
        let started_at = match after_effects {
            Some(after_effects) if never_run => after_effects.max(entry.started_at),
            _ => entry.started_at,
        };
        let known = matches!(operation, CallOperation::Response(_));
        TimedOperation {
            operation,
            started_at,
            completed_at: known.then_some(entry.completed_at),
        }
    });
    let effects = effects.iter().map(|(at, output)| TimedOperation {
        operation: CallOperation::Effect(Arc::clone(output)),
        started_at: *at,
        completed_at: Some(*at),
    });
    let operations: Vec<TimedOperation<CallOperation>> = effects.chain(callers).collect();
    is_linearizable::<CallRegister>(&operations)
}
