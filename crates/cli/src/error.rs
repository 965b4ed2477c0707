//! Why a run failed, and its exit code.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use basilramp_wire::error::{self, Kind, Ran};

/// Why a run failed.
#[derive(Debug)]
pub enum Error {
    /// The command line lacks something.
    Usage(String),
    /// A file that was given is faulty or can't be read; one line for each fault.
    InvalidInput {
        /// The file.
        file: String,
        /// Its faults.
        errors: Vec<String>,
    },
    /// The instance could not be reached; nothing was sent.
    Unreachable {
        /// The instance's listener.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The answer was lost; the request may have taken effect.
    ResponseLost {
        /// What to do now.
        hint: String,
        /// What went wrong.
        reason: String,
    },
    /// The instance refused.
    Rejected(error::Error),
    /// Another change came first; one line for each change that came in between.
    StaleBase {
        /// The version that the change was made from.
        base: u64,
        /// What the other changes did.
        changes: Vec<String>,
    },
    /// There is no such item.
    NotFound(String),
    /// The compared things differ.
    DifferencesFound,
    /// The output can't be written.
    Output(io::Error),
}

impl Error {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NotFound(_) | Self::Output(_) => 1,
            Self::Usage(_) => 2,
            Self::InvalidInput { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::ResponseLost { .. } => 5,
            Self::StaleBase { .. } => 6,
            Self::DifferencesFound => 8,
            Self::Rejected(error) => match error.ran {
                _ if error.kind == Kind::StaleVersion => 6,
                Ran::No => 1,
                Ran::Unknown => 5,
                Ran::Yes => 7,
            },
        }
    }

    /// Tells whether there is nothing to say: the exit code alone tells it.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        match self {
            Self::DifferencesFound => true,
            Self::Output(error) => error.kind() == io::ErrorKind::BrokenPipe,
            _ => false,
        }
    }

    /// Makes the error of a file with one fault.
    pub(crate) fn invalid_input(file: impl Into<String>, error: impl fmt::Display) -> Self {
        Self::InvalidInput {
            file: file.into(),
            errors: vec![error.to_string()],
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::NotFound(message) => f.write_str(message),
            Self::InvalidInput { file, errors } => {
                write!(f, "{file} is faulty; nothing was changed")?;
                write_lines(f, errors)
            }
            Self::Unreachable { address, reason } => {
                write!(f, "can't reach {address}, nothing was sent: {reason}")
            }
            Self::ResponseLost { hint, reason } => {
                write!(f, "the answer was lost: {reason}\n{hint}")
            }
            Self::Rejected(error) => write_rejection(f, error),
            Self::StaleBase { base, changes } => {
                write!(f, "the change was made from version {base}, ")?;
                f.write_str("and others came first; nothing was changed")?;
                write_lines(f, changes)
            }
            Self::DifferencesFound => f.write_str("they differ"),
            Self::Output(error) => write!(f, "can't write: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

fn write_rejection(f: &mut fmt::Formatter<'_>, error: &error::Error) -> fmt::Result {
    let execution = match error.ran {
        Ran::No => "it was not run",
        Ran::Yes => "it was run",
        Ran::Unknown => "it may have been run",
    };
    write!(f, "{} ({}; {execution})", error.message, error.kind)?;
    if let Some(ms) = error.retry_after_ms {
        write!(f, "; try again in {ms} ms")?;
    }
    write_lines(f, &error.details)
}

fn write_lines(f: &mut fmt::Formatter<'_>, lines: &[String]) -> fmt::Result {
    for line in lines {
        write!(f, "\n  {line}")?;
    }
    Ok(())
}
