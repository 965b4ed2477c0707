//! Errors for callers whose request is rejected or interrupted.

use basilramp_core::budget::Exceeded;
use basilramp_core::tree::Rejection;
use basilramp_wire::error::{Error, Executed, Kind};

use crate::commit;

/// Retry delay for callers during an outage of the store.
const STORE_RETRY_DELAY_MS: u64 = 1_000;

/// Converts a rejection by the program tree into an error for the caller.
pub(crate) fn from_tree(reason: Rejection) -> Error {
    match reason {
        Rejection::NotFound => not_found(),
        Rejection::Ended => Error::new(Kind::Ended, "the program has ended"),
        Rejection::Conflict => Error::new(
            Kind::RequestConflict,
            "the request id was used for a different request body",
        ),
        Rejection::InProgress => Error::new(Kind::InProgress, "the same request is in progress"),
        Rejection::OutOfOrder(next) => {
            let message = format!("the next position is {next}, after the calls in progress");
            Error::new(Kind::OutOfOrder, message)
        }
        Rejection::HistoryBehind(next) => {
            let message = format!("turns were not recorded; resend them from position {next}");
            Error::new(Kind::HistoryBehind, message)
        }
        Rejection::InDoubt => Error::new(
            Kind::InDoubt,
            "the call was sent and its outcome is unknown",
        ),
        Rejection::Blocked(position) => {
            let message =
                format!("the call at position {position} is in doubt and must be settled first");
            Error::new(Kind::OutOfOrder, message)
        }
        Rejection::Withdrawing => Error::new(
            Kind::StoreUnavailable,
            "the intent of an earlier call that was not sent is being deleted",
        )
        .retry_after(STORE_RETRY_DELAY_MS),
        Rejection::Exceeded(exceeded) => {
            let message = match exceeded {
                Exceeded::Tokens => "the remaining tokens do not cover the call",
                Exceeded::Turns => "the limit of calls is reached",
                Exceeded::Wall => "the time limit is reached",
                Exceeded::Depth => "the depth limit of sub-agents is reached",
            };
            Error::new(Kind::BudgetExceeded, message)
        }
    }
}

/// Returns the error for a program that does not exist or belongs to another account.
pub(crate) fn not_found() -> Error {
    Error::new(Kind::NotFound, "no such program")
}

/// Returns the error for a request in progress whose program this instance no longer owns.
pub(crate) fn program_lost() -> Error {
    Error::new(
        Kind::Interrupted,
        "this instance no longer owns the program",
    )
}

/// Returns the error for a store that is unavailable before anything was sent.
pub(crate) fn store_unavailable() -> Error {
    Error::new(
        Kind::StoreUnavailable,
        "the store did not respond within the timeout",
    )
    .retry_after(STORE_RETRY_DELAY_MS)
}

/// Converts the failure of a write that precedes the call, so that nothing was sent.
pub(crate) fn from_write_failure(failure: &commit::Failure) -> Error {
    match failure {
        commit::Failure::Fenced => Error::new(
            Kind::OwnerUnavailable,
            "this instance no longer owns the program",
        ),
        commit::Failure::Withdrawn | commit::Failure::Unknown => store_unavailable(),
        commit::Failure::Conflict => {
            let mut error = Error::new(
                Kind::Internal,
                "a row in the store was changed unexpectedly",
            );
            error.ran = Executed::No;
            error
        }
    }
}
