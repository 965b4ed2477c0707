//! Checks that the token usage of a program tree never exceeds its budget.

use std::collections::BTreeSet;

use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// An operation on the usage counter.
#[derive(Clone, Copy, Debug)]
pub enum BudgetOperation {
    /// A call used tokens.
    Charge {
        /// Number of tokens.
        tokens: u64,
        /// The budget of the tree in tokens.
        limit: u64,
    },
    /// A caller read the number of tokens spent or reserved.
    Read {
        /// Number of tokens.
        spent: u64,
        /// The budget of the tree in tokens.
        limit: u64,
    },
}

/// Sequential specification of a usage counter with a limit.
#[derive(Clone, Copy, Debug)]
pub struct BudgetCounter;

impl Specification for BudgetCounter {
    type State = u64;
    type Operation = BudgetOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &BudgetOperation, state: &u64) -> (bool, u64) {
        match operation {
            BudgetOperation::Charge { tokens, limit } => (state + tokens <= *limit, state + tokens),
            BudgetOperation::Read { spent, limit } => (state <= spent && spent <= limit, *state),
        }
    }
}

/// Checks the history of one program tree against its budget in tokens.
///
/// Each call is charged once, even if its recorded response was returned several times.
#[must_use]
pub fn check_budget(entries: &[&Entry], limit: u64) -> bool {
    let mut counted_calls = BTreeSet::new();
    let mut operations = Vec::new();
    for entry in entries {
        let operation = match (&entry.operation, &entry.outcome) {
            (Operation::Call { program, call }, Outcome::Final(last)) => {
                if !counted_calls.insert((program.clone(), call.request_id.clone())) {
                    continue;
                }
                BudgetOperation::Charge {
                    tokens: last.usage.charged(),
                    limit,
                }
            }
            (_, Outcome::Program(program)) => BudgetOperation::Read {
                spent: program.spent,
                limit,
            },
            _ => continue,
        };
        operations.push(TimedOperation {
            operation,
            started_at: entry.started_at,
            completed_at: Some(entry.completed_at),
        });
    }
    is_linearizable::<BudgetCounter>(&operations)
}
