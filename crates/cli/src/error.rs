//! Errors of a run and their exit codes.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use basilramp_wire::error::{self, Executed, Kind};

/// Reason why a run failed.
#[derive(Debug)]
pub enum Error {
    /// An argument or environment variable is missing or invalid.
    Usage(String),
    /// An input file is invalid or unreadable. Nothing was changed.
    InvalidInput {
        /// File name, or the name of the input.
        file: String,
        /// One line per error.
        errors: Vec<String>,
    },
    /// The connection to the instance failed; nothing was sent.
    Unreachable {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The response was lost or is unusable; the request may have been executed.
    ResponseLost {
        /// Advice to the user.
        hint: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The instance returned an error.
    Rejected(error::Error),
    /// The change is based on an outdated version. Nothing was changed.
    StaleBase {
        /// Version that the change is based on.
        base: u64,
        /// One line per edit made since `base`.
        changes: Vec<String>,
    },
    /// The requested item or version does not exist.
    NotFound(String),
    /// The compared items differ.
    DifferencesFound,
    /// The checked configuration has findings.
    FindingsFound,
    /// A configuration document is unreadable or not valid. Holds the file, the position and the
    /// reason.
    UnreadableConfig(String),
    /// The output could not be written, or a runtime could not be started.
    Output(io::Error),
}

impl Error {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NotFound(_) | Self::Output(_) | Self::FindingsFound => 1,
            Self::Usage(_) | Self::UnreadableConfig(_) => 2,
            Self::InvalidInput { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::ResponseLost { .. } => 5,
            Self::StaleBase { .. } => 6,
            Self::DifferencesFound => 8,
            Self::Rejected(error) => match error.ran {
                _ if error.kind == Kind::StaleVersion => 6,
                Executed::No => 1,
                Executed::Unknown => 5,
                Executed::Yes => 7,
            },
        }
    }

    /// Returns whether no message is needed: the exit code suffices, or the reader is gone.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        match self {
            Self::DifferencesFound | Self::FindingsFound => true,
            Self::Output(error) => error.kind() == io::ErrorKind::BrokenPipe,
            _ => false,
        }
    }

    /// Creates the error of an input file with a single error.
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
            Self::Usage(message) | Self::NotFound(message) | Self::UnreadableConfig(message) => {
                f.write_str(message)
            }
            Self::InvalidInput { file, errors } => {
                write!(f, "{file} is invalid; nothing was changed")?;
                write_lines(f, errors)
            }
            Self::Unreachable { address, reason } => {
                write!(f, "cannot connect to {address}, nothing was sent: {reason}")
            }
            Self::ResponseLost { hint, reason } => {
                write!(f, "the response was lost: {reason}\n{hint}")
            }
            Self::Rejected(error) => write_rejection(f, error),
            Self::StaleBase { base, changes } => {
                write!(f, "the change is based on version {base}, ")?;
                f.write_str("but newer changes exist; nothing was changed")?;
                write_lines(f, changes)
            }
            Self::DifferencesFound => f.write_str("there are differences"),
            Self::FindingsFound => f.write_str("there are findings"),
            Self::Output(error) => write!(f, "cannot write the output: {error}"),
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
        Executed::No => "it was not run",
        Executed::Yes => "it was run",
        Executed::Unknown => "it may have been run",
    };
    write!(f, "{} ({}; {execution})", error.message, error.kind)?;
    if let Some(ms) = error.retry_after_ms {
        write!(f, "; retry after {ms} ms")?;
    }
    write_lines(f, &error.details)
}

fn write_lines(f: &mut fmt::Formatter<'_>, lines: &[String]) -> fmt::Result {
    for line in lines {
        write!(f, "\n  {line}")?;
    }
    Ok(())
}
