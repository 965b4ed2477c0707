//! What callers and operators asked and what they were told, in order.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use basilramp_wire::api::{Call, FinalEvent, Program};
use basilramp_wire::error::{Error, Executed, Kind};

use crate::request::Failure;

/// What was asked.
#[derive(Clone, Debug)]
pub enum Operation {
    /// A call of a program.
    Call {
        /// The program.
        program: String,
        /// The body.
        call: Call,
    },
    /// A read of a program.
    Read {
        /// The program.
        program: String,
    },
    /// The end of a program.
    End {
        /// The program.
        program: String,
    },
    /// A change of configuration, made from a version.
    Apply {
        /// The version.
        base: u64,
    },
    /// A read of the configuration's version at an instance.
    ReadVersion {
        /// The instance and its start, as the test numbers them.
        instance: usize,
    },
}

/// What came back.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A call's answer.
    Final(FinalEvent),
    /// A program.
    Program(Program),
    /// A configuration version.
    Version(u64),
    /// A refusal, with its word on whether the request was run.
    Rejected(Error),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The answer broke off or never came.
    Lost(String),
}

impl Outcome {
    /// Returns the outcome of a failed request.
    #[must_use]
    pub fn from_failure(failure: Failure) -> Self {
        match failure {
            Failure::Refused(error) => Self::Rejected(error),
            Failure::Unreached => Self::NotSent,
            Failure::Broken(why) | Failure::Malformed(why) => Self::Lost(why.to_string()),
        }
    }

    /// Tells whether the sender knows that the request was not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent => true,
            Self::Rejected(error) => error.ran == Executed::No,
            Self::Final(_) | Self::Program(_) | Self::Version(_) | Self::Lost(_) => false,
        }
    }

    /// Returns the kind of the refusal, if it is one.
    #[must_use]
    pub fn error_kind(&self) -> Option<Kind> {
        match self {
            Self::Rejected(error) => Some(error.kind),
            _ => None,
        }
    }

    /// Returns a short name for counting.
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

/// An operation with its beginning, its end and its outcome.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What was asked.
    pub operation: Operation,
    /// When it was asked.
    pub started_at: Instant,
    /// When it came back.
    pub completed_at: Instant,
    /// What came back.
    pub outcome: Outcome,
    /// The text that was streamed before the end.
    pub streamed: String,
}

/// Records operations of concurrent tasks.
#[derive(Debug, Default)]
pub struct Recorder {
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Adds an operation that has come back.
    pub fn record(&self, entry: Entry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(entry);
    }

    /// Returns everything recorded, in the order of its beginning.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut entries = entries.clone();
        entries.sort_by_key(|entry| entry.started_at);
        entries
    }
}
