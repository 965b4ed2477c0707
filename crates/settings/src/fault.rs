//! Faults found in a settings file.

use std::fmt;

/// A fault with its position and setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// One-based line.
    pub line: usize,
    /// One-based column in characters.
    pub column: usize,
    /// Path of the setting, such as `timing.lease_ms` or `operators[0].name`; empty for the whole
    /// file.
    pub path: String,
    /// Description of the fault.
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

/// All faults of a settings file, ordered by position.
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
