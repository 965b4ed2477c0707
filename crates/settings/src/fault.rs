//! Faults in a settings file.

use std::fmt;

/// One fault and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
    /// The setting, as in `timing.lease_ms` or `operators[0].name`; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// Every fault of a settings file, by place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(f, "{count} {noun}")?;
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
