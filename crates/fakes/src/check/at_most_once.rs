//! Checks that a non-repeatable call takes effect at most once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Outcome};

/// An operation on the register of one call.
#[derive(Clone, Debug)]
pub enum CallOperation {
    /// The call took effect at its service, with this output.
    Effect(Arc<str>),
    /// A caller received this output.
    Response(Arc<str>),
    /// The caller does not know whether the call ran.
    Unknown,
    /// No attempt ran, according to every response.
    NotRun,
}

/// Sequential specification of a write-once register that holds the call's output.
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

/// Checks the attempts of one non-repeatable call against its effects at the service.
///
/// An error with `ran: no` only covers its own attempt. It is compared with the effects only if
/// every attempt returned such an error; the call must then have no effect in the whole history.
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
