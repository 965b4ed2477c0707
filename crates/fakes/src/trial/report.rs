//! What a trial found.

use std::collections::BTreeMap;
use std::fmt;

use super::Fault;

/// What one or more trials found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Trials run.
    pub trials: u64,
    /// Histories checked, by promise.
    pub histories: BTreeMap<&'static str, u64>,
    /// Operations recorded.
    pub operations: u64,
    /// Outcomes of operations, by kind.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// How often each fault really hit.
    pub hits: BTreeMap<Fault, u64>,
    /// Promises broken.
    pub violations: Vec<String>,
    /// Log lines of the instances, if a promise was broken.
    pub logs: Vec<String>,
}

impl Report {
    /// Adds what another trial found.
    pub fn merge(&mut self, other: Self) {
        self.trials += other.trials;
        self.operations += other.operations;
        self.violations.extend(other.violations);
        self.logs.extend(other.logs);
        for (promise, count) in other.histories {
            *self.histories.entry(promise).or_default() += count;
        }
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        for (fault, count) in other.hits {
            *self.hits.entry(fault).or_default() += count;
        }
    }

    /// Returns the faults that were applied and never hit.
    #[must_use]
    pub fn faults_without_hits(&self) -> Vec<Fault> {
        let without_hits = self.hits.iter().filter(|(_, hits)| **hits == 0);
        without_hits.map(|(fault, _)| *fault).collect()
    }

    /// Tells whether every promise was kept and every fault hit.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.violations.is_empty() && self.faults_without_hits().is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "trials: {}", self.trials)?;
        writeln!(f, "operations: {}", self.operations)?;
        writeln!(f, "histories checked:")?;
        for (promise, count) in &self.histories {
            writeln!(f, "  {promise}: {count}")?;
        }
        writeln!(f, "outcomes:")?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome}: {count}")?;
        }
        writeln!(f, "faults that hit:")?;
        for (fault, hits) in &self.hits {
            writeln!(f, "  {fault}: {hits}")?;
        }
        writeln!(f, "violations: {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
