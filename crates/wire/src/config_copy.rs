//! Request by which an instance gets the configuration document of another one.
//!
//! The response holds the document as it is in the store, or status 404 if there is none yet.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Marks the request among those between instances.
const CONFIG_COPY: HeaderName = HeaderName::from_static("relay-config-copy");

/// Marks a request as one for the configuration document.
pub fn mark(headers: &mut HeaderMap) {
    headers.insert(CONFIG_COPY, HeaderValue::from_static("1"));
}

/// Returns whether a request is one for the configuration document.
#[must_use]
pub fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(CONFIG_COPY)
}

/// Removes the mark from a caller's request.
pub fn unmark(headers: &mut HeaderMap) {
    headers.remove(CONFIG_COPY);
}
