//! The closed list of error kinds, and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was not run, and nothing will run it later.
    No,
    /// It was run.
    Yes,
    /// It may have been run.
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $status:literal, $ran:ident;)+) => {
        /// Every kind of error that a caller, an operator or a peer can be told.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $variant,)+
        }

        impl Kind {
            /// All kinds, in the table's order.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the code that stands in answers.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the HTTP status of the answer.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)+
                }
            }

            /// Tells whether the refused request was run.
            #[must_use]
            pub const fn ran(self) -> Executed {
                match self {
                    $(Self::$variant => Executed::$ran,)+
                }
            }
        }
    };
}

kinds! {
    /// The body or a parameter is malformed.
    BadRequest = "bad_request", 400, No;
    /// The key or token is missing or unknown.
    Unauthorized = "unauthorized", 401, No;
    /// The key is known but may not do this.
    Forbidden = "forbidden", 403, No;
    /// No such program, service or path for this account.
    NotFound = "not_found", 404, No;
    /// The path does not take this method.
    MethodNotAllowed = "method_not_allowed", 405, No;
    /// The body is larger than allowed.
    TooLarge = "too_large", 413, No;
    /// The request id was used before with another body.
    RequestConflict = "request_conflict", 409, No;
    /// The call's position is not the program's next one.
    OutOfOrder = "out_of_order", 409, No;
    /// The caller holds turns that were not kept; it sends them again.
    HistoryBehind = "history_behind", 409, No;
    /// The program has ended.
    Ended = "ended", 410, No;
    /// A budget of the program does not cover the call.
    BudgetExceeded = "budget_exceeded", 422, No;
    /// The request crashed upstreams before and is not run again.
    Quarantined = "quarantined", 422, No;
    /// The change was made from an older configuration version.
    StaleVersion = "stale_version", 409, No;
    /// The sheet or change has faults; nothing was changed.
    Invalid = "invalid", 422, No;
    /// The account's rate is used up.
    RateLimited = "rate_limited", 429, No;
    /// The account has as many programs under way as it may.
    TooManyPrograms = "too_many_programs", 429, No;
    /// No capacity now; the answer says when to try again.
    Overloaded = "overloaded", 503, No;
    /// The instance is stopping or not ready yet.
    NotReady = "not_ready", 503, No;
    /// The platform's store is out of reach and the request needs it first.
    StoreUnavailable = "store_unavailable", 503, No;
    /// The program's owner is not known or not reachable; nothing was sent to it.
    OwnerUnavailable = "owner_unavailable", 503, No;
    /// No upstream serves this now; nothing was sent.
    UpstreamUnavailable = "upstream_unavailable", 503, No;
    /// The same request is being run now.
    InProgress = "in_progress", 409, Unknown;
    /// The upstream failed while it ran the request.
    UpstreamFailed = "upstream_failed", 502, Unknown;
    /// The upstream did not answer in time.
    TimedOut = "timed_out", 504, Unknown;
    /// An unrepeatable call was sent and its outcome is not known; it is not sent again.
    InDoubt = "in_doubt", 409, Unknown;
    /// The connection to the owner broke, or the owner lost the program, part-way.
    Interrupted = "interrupted", 503, Unknown;
    /// A fault of the system itself.
    Internal = "internal", 500, Unknown;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// An error as it is sent: the JSON body of a refusal, or the `error` event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind's code.
    pub kind: Kind,
    /// Whether the request was run.
    pub ran: Executed,
    /// What went wrong, for a person to read.
    pub message: String,
    /// Milliseconds after which another try makes sense.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// One line for each fault, or for each change that a stale change did not know.
    #[serde(default)]
    pub details: Vec<String>,
}

impl Error {
    /// Makes an error of `kind` with the kind's own word on whether it was run.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            ran: kind.ran(),
            message: message.into(),
            retry_after_ms: None,
            details: Vec::new(),
        }
    }

    /// Adds when another try makes sense.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Adds one line for each fault.
    #[must_use]
    pub fn with_details(mut self, details: Vec<String>) -> Self {
        self.details = details;
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}
