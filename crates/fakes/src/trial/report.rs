//! Results of trials.

use std::collections::BTreeMap;
use std::fmt;

use super::Fault;

/// Results of one or more trials.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of trials.
    pub trials: u64,
    /// Number of histories checked, by guarantee.
    pub histories: BTreeMap<&'static str, u64>,
    /// Number of operations recorded.
    pub operations: u64,
    /// Number of outcomes, by kind.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Number of operations or streams that each fault affected.
    pub hits: BTreeMap<Fault, u64>,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Log lines of the instances, if a guarantee was violated.
    pub logs: Vec<String>,
}

impl Report {
    /// Adds the results of another report.
    pub fn merge(&mut self, other: Self) {
        self.trials += other.trials;
        self.operations += other.operations;
        self.violations.extend(other.violations);
        self.logs.extend(other.logs);
        for (guarantee, count) in other.histories {
            *self.histories.entry(guarantee).or_default() += count;
        }
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        for (fault, count) in other.hits {
            *self.hits.entry(fault).or_default() += count;
        }
    }

    /// Returns the faults that were injected but affected nothing.
    #[must_use]
    pub fn faults_without_hits(&self) -> Vec<Fault> {
        let without_hits = self.hits.iter().filter(|(_, hits)| **hits == 0);
        without_hits.map(|(fault, _)| *fault).collect()
    }

    /// Returns whether no guarantee was violated and every fault had an effect.
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
        for (guarantee, count) in &self.histories {
            writeln!(f, "  {guarantee}: {count}")?;
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
