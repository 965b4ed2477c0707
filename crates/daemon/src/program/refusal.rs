//! What callers are told when a request is refused.

use basilramp_core::budget::Exceeded;
use basilramp_core::tree::Rejection;
use basilramp_wire::error::{Error, Executed, Kind};

use crate::commit;

/// When a caller that met an outage of the store should try again.
const STORE_RETRY_MS: u64 = 1_000;

/// Returns what a caller is told of a refusal.
pub(crate) fn error(refusal: Rejection) -> Error {
    match refusal {
        Rejection::NotFound => missing(),
        Rejection::Ended => Error::new(Kind::Ended, "the program has ended"),
        Rejection::Conflict => Error::new(
            Kind::RequestConflict,
            "the request id stands for another body",
        ),
        Rejection::InProgress => Error::new(Kind::InProgress, "the same request is being run"),
        Rejection::OutOfOrder(next) => {
            let message = format!("the next position is {next}, after the calls under way");
            Error::new(Kind::OutOfOrder, message)
        }
        Rejection::HistoryBehind(next) => {
            let message = format!("turns were not kept; send them again from position {next}");
            Error::new(Kind::HistoryBehind, message)
        }
        Rejection::InDoubt => Error::new(
            Kind::InDoubt,
            "the call was sent and its outcome is not known",
        ),
        Rejection::Blocked(position) => {
            let message = format!("the call at position {position} is in doubt; settle it first");
            Error::new(Kind::OutOfOrder, message)
        }
        Rejection::Withdrawing => Error::new(
            Kind::StoreUnavailable,
            "an earlier call that was not sent is being withdrawn",
        )
        .retry_after(STORE_RETRY_MS),
        Rejection::Exceeded(exceeded) => {
            let message = match exceeded {
                Exceeded::Tokens => "the tokens left do not cover the call",
                Exceeded::Turns => "no calls are left",
                Exceeded::Wall => "the time is used up",
                Exceeded::Depth => "sub-agents may not lie deeper",
            };
            Error::new(Kind::BudgetExceeded, message)
        }
    }
}

/// Returns what is said of a program that the account does not have.
pub(crate) fn missing() -> Error {
    Error::new(Kind::NotFound, "no such program")
}

/// Returns what is said of a request that was part-way when its program was lost here.
pub(crate) fn lost() -> Error {
    Error::new(Kind::Interrupted, "this instance lost the program")
}

/// Returns what is said if the store is out of reach before anything was sent.
pub(crate) fn store() -> Error {
    Error::new(Kind::StoreUnavailable, "the store did not answer in time")
        .retry_after(STORE_RETRY_MS)
}

/// Returns what is said if a write that must come before the call failed, so nothing was sent.
pub(crate) fn unsent(failure: &commit::Failure) -> Error {
    match failure {
        commit::Failure::Fenced => {
            Error::new(Kind::OwnerUnavailable, "this instance lost the program")
        }
        commit::Failure::Withdrawn | commit::Failure::Unknown => store(),
        commit::Failure::Conflict => {
            let mut error = Error::new(Kind::Internal, "a row is not as it was left");
            error.ran = Executed::No;
            error
        }
    }
}
