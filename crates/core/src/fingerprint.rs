//! Identifies a request by its content, independent of its sender and ids.

use crate::history::Digest;
use crate::id;

/// Returns the fingerprint of a call: the digest of service and input.
///
/// Account, program and request ids, limits and earlier turns are not included, so the same input
/// has the same fingerprint in every program.
#[must_use]
pub fn compute(service: &id::Service, input: &str) -> Digest {
    Digest::from_parts([service.as_str().as_bytes(), input.as_bytes()])
}
