//! The configuration as a register whose version only rises, at every instance.

use std::collections::BTreeMap;

use basilramp_wire::error::Kind;
use todc_utils::Specification;

use super::{Timed, is_linearizable};
use crate::history::{Entry, Operation, Outcome};

/// An operation on the configuration.
#[derive(Clone, Copy, Debug)]
pub enum Version {
    /// A change from a version was accepted as the next one.
    Applied {
        /// The version it was made from.
        base: u64,
        /// The version it made.
        version: u64,
    },
    /// A change from a version was refused as stale.
    Stale {
        /// The version it was made from.
        base: u64,
    },
    /// Whether a change from a version was accepted is not known.
    Unknown {
        /// The version it was made from.
        base: u64,
    },
    /// An instance reported the version in force there.
    Read {
        /// The instance.
        instance: usize,
        /// The version.
        version: u64,
    },
}

/// The specification of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic;

impl Specification for Monotonic {
    /// The accepted version, and the last one read at each instance.
    type State = (u64, BTreeMap<usize, u64>);
    type Operation = Version;

    fn init() -> Self::State {
        (1, BTreeMap::new())
    }

    fn apply(operation: &Version, state: &Self::State) -> (bool, Self::State) {
        let (head, seen) = state;
        let changed = |head| (head, seen.clone());
        match operation {
            Version::Applied { base, version } => {
                (head == base && *version == base + 1, changed(*version))
            }
            Version::Stale { base } => (head != base, state.clone()),
            Version::Unknown { base } if head == base => (true, changed(base + 1)),
            Version::Unknown { .. } => (true, state.clone()),
            Version::Read { instance, version } => {
                let before = seen.get(instance).copied().unwrap_or(0);
                let mut seen = seen.clone();
                seen.insert(*instance, *version);
                (before <= *version && version <= head, (*head, seen))
            }
        }
    }
}

fn operation(entry: &Entry) -> Option<Version> {
    match (&entry.operation, &entry.outcome) {
        (Operation::Apply { base }, Outcome::Version(version)) => Some(Version::Applied {
            base: *base,
            version: *version,
        }),
        (Operation::Apply { base }, outcome) if outcome.kind() == Some(Kind::StaleVersion) => {
            Some(Version::Stale { base: *base })
        }
        (Operation::Apply { .. }, outcome) if outcome.is_not_run() => None,
        (Operation::Apply { base }, _) => Some(Version::Unknown { base: *base }),
        (Operation::Version { instance }, Outcome::Version(version)) => Some(Version::Read {
            instance: *instance,
            version: *version,
        }),
        _ => None,
    }
}

/// Checks the entries that concern the configuration, from version 1.
#[must_use]
pub fn check_config(entries: &[&Entry]) -> bool {
    let operations: Vec<Timed<Version>> = entries
        .iter()
        .filter_map(|entry| {
            let operation = operation(entry)?;
            let known = !matches!(operation, Version::Unknown { .. });
            Some(Timed {
                operation,
                began: entry.began,
                ended: known.then_some(entry.ended),
            })
        })
        .collect();
    is_linearizable::<Monotonic>(&operations)
}
