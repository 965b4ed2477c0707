//! What callers are told when a request is refused.

use basilramp_core::budget::Exceeded;
use basilramp_core::tree::Refusal;
use basilramp_wire::error::{Error, Kind, Ran};

use crate::commit;

/// When a caller that met an outage of the store should try again.
const STORE_RETRY_DELAY_MS: u64 = 1_000;

/// Returns what a caller is told of a rejection.
pub(crate) fn from_tree(rejection: Refusal) -> Error {
    match rejection {
        Refusal::Missing => not_found(),
        Refusal::Ended => Error::new(Kind::Ended, "the program has ended"),
        Refusal::Conflict => Error::new(
            Kind::RequestConflict,
            "the request id stands for another body",
        ),
        Refusal::InProgress => Error::new(Kind::InProgress, "the same request is being run"),
        Refusal::OutOfOrder(next) => {
            let message = format!("the next position is {next}, after the calls under way");
            Error::new(Kind::OutOfOrder, message)
        }
        Refusal::Behind(next) => {
            let message = format!("turns were not kept; send them again from position {next}");
            Error::new(Kind::HistoryBehind, message)
        }
        Refusal::Doubt => Error::new(
            Kind::InDoubt,
            "the call was sent and its outcome is not known",
        ),
        Refusal::Blocked(position) => {
            let message = format!("the call at position {position} is in doubt; settle it first");
            Error::new(Kind::OutOfOrder, message)
        }
        Refusal::Withdrawing => Error::new(
            Kind::StoreUnavailable,
            "an earlier call that was not sent is being withdrawn",
        )
        .retry_after(STORE_RETRY_DELAY_MS),
        Refusal::Exceeded(exceeded) => {
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
pub(crate) fn not_found() -> Error {
    Error::new(Kind::NotFound, "no such program")
}

/// Returns what is said of a request that was part-way when its program was lost here.
pub(crate) fn program_lost() -> Error {
    Error::new(Kind::Interrupted, "this instance lost the program")
}

/// Returns what is said if the store is out of reach before anything was sent.
pub(crate) fn store_unavailable() -> Error {
    Error::new(Kind::StoreUnavailable, "the store did not answer in time")
        .retry_after(STORE_RETRY_DELAY_MS)
}

/// Returns what is said if a write that must come before the call failed, so nothing was sent.
pub(crate) fn from_write_failure(failure: &commit::Failure) -> Error {
    match failure {
        commit::Failure::Fenced => {
            Error::new(Kind::OwnerUnavailable, "this instance lost the program")
        }
        commit::Failure::Withdrawn | commit::Failure::Unknown => store_unavailable(),
        commit::Failure::Conflict => {
            let mut error = Error::new(Kind::Internal, "a row is not as it was left");
            error.ran = Ran::No;
            error
        }
    }
}
