//! An unrepeatable call as a register that is set at most once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use todc_utils::Specification;

use super::{Timed, is_linearizable};
use crate::history::{Entry, Outcome};

/// An operation on the register.
#[derive(Clone, Debug)]
pub enum Once {
    /// The call took effect at its service.
    Effect(Arc<str>),
    /// A caller was given the answer.
    Answer(Arc<str>),
    /// A caller does not know.
    Unknown,
    /// Every caller was told that it was not run.
    NotRun,
}

/// The specification of the register.
#[derive(Clone, Copy, Debug)]
pub struct Register;

impl Specification for Register {
    type State = Option<Arc<str>>;
    type Operation = Once;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Once, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Once::Effect(output) => (state.is_none(), Some(Arc::clone(output))),
            Once::Answer(output) => (state.as_ref() == Some(output), state.clone()),
            Once::Unknown => (true, state.clone()),
            Once::NotRun => (state.is_none(), state.clone()),
        }
    }
}

/// Checks the entries of one unrepeatable call, and its effects with their answers.
///
/// A refusal that says `ran: no` speaks of its own attempt, so it is held against the effects
/// only where no other attempt may have run; it then holds until the end of the history.
#[must_use]
pub fn check_once(entries: &[&Entry], effects: &[(Instant, Arc<str>)]) -> bool {
    let none_ran = entries.iter().all(|entry| entry.outcome.is_not_run());
    let last = effects.iter().map(|(at, _)| *at).max();
    let after = last.map(|at| at + Duration::from_nanos(1));
    let callers = entries.iter().map(|entry| {
        let operation = match &entry.outcome {
            Outcome::Final(last) => Once::Answer(last.output.as_str().into()),
            _ if none_ran => Once::NotRun,
            _ => Once::Unknown,
        };
        let began = match after {
            Some(after) if none_ran => after.max(entry.began),
            _ => entry.began,
        };
        let known = matches!(operation, Once::Answer(_));
        Timed {
            operation,
            began,
            ended: known.then_some(entry.ended),
        }
    });
    let effects = effects.iter().map(|(at, output)| Timed {
        operation: Once::Effect(Arc::clone(output)),
        began: *at,
        ended: Some(*at),
    });
    let operations: Vec<Timed<Once>> = effects.chain(callers).collect();
    is_linearizable::<Register>(&operations)
}
