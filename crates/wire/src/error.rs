//! Error kinds with their codes and HTTP statuses, and the error body.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request was not executed and will not be.
    No,
    /// The request was executed.
    Yes,
    /// The request may have been executed.
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $status:literal, $ran:ident;)+) => {
        /// Kinds of errors that are sent to callers, operators and peers.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $variant,)+
        }

        impl Kind {
            /// All kinds, in order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the code that is written into responses.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the HTTP status of the response.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)+
                }
            }

            /// Returns whether a request that failed with this kind was executed.
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
    /// The API key or token is missing or unknown.
    Unauthorized = "unauthorized", 401, No;
    /// The API key is valid but does not permit the request.
    Forbidden = "forbidden", 403, No;
    /// The program, service or path does not exist for this account.
    NotFound = "not_found", 404, No;
    /// The path does not support the HTTP method.
    MethodNotAllowed = "method_not_allowed", 405, No;
    /// The body exceeds the maximum size.
    TooLarge = "too_large", 413, No;
    /// The request id was used before with a different body.
    RequestConflict = "request_conflict", 409, No;
    /// The position of the call is not the program's next position.
    OutOfOrder = "out_of_order", 409, No;
    /// The caller has turns that were not stored; it has to send them again.
    HistoryBehind = "history_behind", 409, No;
    /// The program has ended.
    Ended = "ended", 410, No;
    /// A budget of the program does not cover the call.
    BudgetExceeded = "budget_exceeded", 422, No;
    /// The request crashed upstreams before and is not executed again.
    Quarantined = "quarantined", 422, No;
    /// The change is based on an outdated configuration version.
    StaleVersion = "stale_version", 409, No;
    /// The sheet or change is invalid; nothing was changed.
    Invalid = "invalid", 422, No;
    /// The account exceeded its request rate.
    RateLimited = "rate_limited", 429, No;
    /// The account has reached its maximum number of running programs.
    TooManyPrograms = "too_many_programs", 429, No;
    /// No capacity is available; the response says when to retry.
    Overloaded = "overloaded", 503, No;
    /// The instance is starting or stopping.
    NotReady = "not_ready", 503, No;
    /// The platform's store is unavailable and the request can't be executed without it.
    StoreUnavailable = "store_unavailable", 503, No;
    /// The program's owner is unknown or unreachable; nothing was sent to it.
    OwnerUnavailable = "owner_unavailable", 503, No;
    /// No upstream is available for the request; nothing was sent.
    UpstreamUnavailable = "upstream_unavailable", 503, No;
    /// The same request is being executed.
    InProgress = "in_progress", 409, Unknown;
    /// The upstream failed while it executed the request.
    UpstreamFailed = "upstream_failed", 502, Unknown;
    /// The upstream did not respond in time.
    TimedOut = "timed_out", 504, Unknown;
    /// A call that must not be repeated was sent and its outcome is unknown; it is not sent again.
    InDoubt = "in_doubt", 409, Unknown;
    /// The connection to the owner broke, or the owner lost the program, during the request.
    Interrupted = "interrupted", 503, Unknown;
    /// An internal error.
    Internal = "internal", 500, Unknown;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// The JSON body of an error response, or the data of a stream's `error` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind of the error; written as its code.
    pub kind: Kind,
    /// Whether the request was executed.
    pub ran: Executed,
    /// Human-readable description.
    pub message: String,
    /// Milliseconds after which to retry.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// One line for each fault; for a stale change, one line for each newer change.
    #[serde(default)]
    pub details: Vec<String>,
}

impl Error {
    /// Creates an error; `ran` is set to the default of its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            ran: kind.ran(),
            message: message.into(),
            retry_after_ms: None,
            details: Vec::new(),
        }
    }

    /// Sets the time after which to retry, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the details, one line for each fault.
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
