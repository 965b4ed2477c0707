//! Messages by which an instance gets a permit of an account's quota from another one.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// Marks a request for a permit among the requests between instances.
const PERMIT: HeaderName = HeaderName::from_static("relay-permit");

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the account.
    pub account: Arc<str>,
    /// Number of the account's row.
    pub row: u32,
    /// Rate of the quota, in thousandths of a request per second.
    pub milli_per_s: u64,
    /// Burst of the quota.
    pub burst: u32,
    /// Version of the configuration that has this quota.
    pub version: u64,
    /// Name of the route.
    pub route: Arc<str>,
    /// Hash of the program's id.
    pub program: Option<u64>,
    /// Whether the request would begin a program.
    pub begins: bool,
    /// Whether the request had a permit before.
    pub is_repeated: bool,
    /// Milliseconds until the request's deadline.
    pub limit_ms: u64,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The permit, by its first slot and the first one in which it is no longer valid.
    Granted {
        /// First slot.
        slot: u64,
        /// Slot of the end.
        until: u64,
    },
    /// The quota is used up for this many milliseconds.
    Full {
        /// Milliseconds.
        retry_ms: u64,
    },
    /// The instance can't reserve permits.
    Unavailable,
}

/// Marks a request as one for a permit.
pub fn mark(headers: &mut HeaderMap) {
    headers.insert(PERMIT, HeaderValue::from_static("1"));
}

/// Returns whether a request is one for a permit.
#[must_use]
pub fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(PERMIT)
}

/// Removes the mark from a caller's request.
pub fn unmark(headers: &mut HeaderMap) {
    headers.remove(PERMIT);
}
