//! Records the requests of callers and operators with their outcomes, ordered by start time.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use basilramp_wire::api::{Call, FinalEvent, Program};
use basilramp_wire::error::{Error, Executed, Kind};

use crate::request::Failure;

/// A request of a caller or an operator.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Runs a call of a program.
    Call {
        /// Id of the program.
        program: String,
        /// Request body.
        call: Call,
    },
    /// Reads a program.
    Read {
        /// Id of the program.
        program: String,
    },
    /// Ends a program.
    End {
        /// Id of the program.
        program: String,
    },
    /// Applies a configuration change to a base version.
    Apply {
        /// The base version.
        base: u64,
    },
    /// Reads the active configuration version of an instance.
    ReadVersion {
        /// Number of the instance's start; every start of an instance gets a new one.
        instance: usize,
    },
}

/// Result of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The final event of a call.
    Final(FinalEvent),
    /// The state of a program.
    Program(Program),
    /// A configuration version.
    Version(u64),
    /// An error response, which states whether the request ran.
    Rejected(Error),
    /// The connection failed, so nothing was sent.
    NotSent,
    /// The response was incomplete or never arrived.
    Lost(String),
}

impl Outcome {
    /// Converts the failure of a request.
    #[must_use]
    pub fn from_failure(failure: Failure) -> Self {
        match failure {
            Failure::Rejected(error) => Self::Rejected(error),
            Failure::NotSent => Self::NotSent,
            Failure::Broken(why) | Failure::Malformed(why) => Self::Lost(why.to_string()),
        }
    }

    /// Returns whether the sender knows that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent => true,
            Self::Rejected(error) => error.ran == Executed::No,
            Self::Final(_) | Self::Program(_) | Self::Version(_) | Self::Lost(_) => false,
        }
    }

    /// Returns the kind of the error response, if it is one.
    #[must_use]
    pub fn error_kind(&self) -> Option<Kind> {
        match self {
            Self::Rejected(error) => Some(error.kind),
            _ => None,
        }
    }

    /// Returns the name under which reports count this outcome.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Final(last) if last.provisional => "provisional answer",
            Self::Final(last) if last.recorded => "recorded answer",
            Self::Final(_) => "answer",
            Self::Program(_) => "program",
            Self::Version(_) => "version",
            Self::Rejected(error) => error.kind.code(),
            Self::NotSent => "unreached",
            Self::Lost(_) => "lost",
        }
    }
}

/// A request with its start time, end time and outcome.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub operation: Operation,
    /// When the request was sent.
    pub started_at: Instant,
    /// When the response arrived or the request failed.
    pub completed_at: Instant,
    /// The result.
    pub outcome: Outcome,
    /// Text that was streamed before the final event.
    pub streamed: String,
}

/// Records the requests of concurrent tasks.
#[derive(Debug, Default)]
pub struct Recorder {
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Adds a completed request.
    pub fn record(&self, entry: Entry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(entry);
    }

    /// Returns all entries, sorted by start time.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut entries = entries.clone();
        entries.sort_by_key(|entry| entry.started_at);
        entries
    }
}
