//! Checks that configuration versions increase by one per change and never go back at an instance.

use std::collections::BTreeMap;

use basilramp_wire::error::Kind;
use todc_utils::Specification;

use super::{TimedOperation, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// An operation on the configuration.
#[derive(Clone, Copy, Debug)]
pub enum ConfigOperation {
    /// A change was accepted and created the next version.
    Applied {
        /// The version that the change was based on.
        base: u64,
        /// The version that the change created.
        version: u64,
    },
    /// A change was rejected because its base version was stale.
    Stale {
        /// The version that the change was based on.
        base: u64,
    },
    /// The outcome of a change is unknown.
    Unknown {
        /// The version that the change was based on.
        base: u64,
    },
    /// An instance reported its active version.
    Read {
        /// Number of the instance's start.
        instance: usize,
        /// The reported version.
        version: u64,
    },
}

/// Sequential specification of the configuration version.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRegister;

impl Specification for ConfigRegister {
    /// The latest accepted version, and the last version read at each instance.
    type State = (u64, BTreeMap<usize, u64>);
    type Operation = ConfigOperation;

    fn init() -> Self::State {
        (1, BTreeMap::new())
    }

    fn apply(operation: &ConfigOperation, state: &Self::State) -> (bool, Self::State) {
        let (head, last_read) = state;
        let changed = |head| (head, last_read.clone());
        match operation {
            ConfigOperation::Applied { base, version } => {
                (head == base && *version == base + 1, changed(*version))
            }
            ConfigOperation::Stale { base } => (head != base, state.clone()),
            ConfigOperation::Unknown { base } if head == base => (true, changed(base + 1)),
            ConfigOperation::Unknown { .. } => (true, state.clone()),
            ConfigOperation::Read { instance, version } => {
                let previous = last_read.get(instance).copied().unwrap_or(0);
                let mut last_read = last_read.clone();
                last_read.insert(*instance, *version);
                (previous <= *version && version <= head, (*head, last_read))
            }
        }
    }
}

fn to_operation(entry: &Entry) -> Option<ConfigOperation> {
    match (&entry.operation, &entry.outcome) {
        (Operation::Apply { base }, Outcome::Version(version)) => Some(ConfigOperation::Applied {
            base: *base,
            version: *version,
        }),
        (Operation::Apply { base }, outcome)
            if outcome.error_kind() == Some(Kind::StaleVersion) =>
        {
            Some(ConfigOperation::Stale { base: *base })
        }
        (Operation::Apply { .. }, outcome) if outcome.is_not_run() => None,
        (Operation::Apply { base }, _) => Some(ConfigOperation::Unknown { base: *base }),
        (Operation::ReadVersion { instance }, Outcome::Version(version)) => {
            Some(ConfigOperation::Read {
                instance: *instance,
                version: *version,
            })
        }
        _ => None,
    }
}

/// Checks the configuration changes and reads of a history that starts at version 1.
#[must_use]
pub fn check_config(entries: &[&Entry]) -> bool {
    let operations: Vec<TimedOperation<ConfigOperation>> = entries
        .iter()
        .filter_map(|entry| {
            let operation = to_operation(entry)?;
            let known = !matches!(operation, ConfigOperation::Unknown { .. });
            Some(TimedOperation {
                operation,
                started_at: entry.started_at,
                completed_at: known.then_some(entry.completed_at),
            })
        })
        .collect();
    is_linearizable::<ConfigRegister>(&operations)
}
