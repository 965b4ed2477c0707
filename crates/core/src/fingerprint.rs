//! Recognises a request by its content, whoever sends it and under whatever name.

use crate::history::Digest;
use crate::id;

/// Returns the fingerprint of a call: of the service called and the input.
///
/// Ids of accounts, programs and requests, limits and earlier turns do not count, so the same
/// input has the same fingerprint in every program.
#[must_use]
pub fn compute(service: &id::Service, input: &str) -> Digest {
    Digest::from_parts([service.as_str().as_bytes(), input.as_bytes()])
}
