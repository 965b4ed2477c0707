//! Request by which an instance asks another one for the newest configuration that it knows.
//!
//! The response holds the document as it is in the store if it is newer than what the asking instance has,
//! status 204 if it is not, and status 404 if there is none yet.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Marks the request among those between instances.
const CONFIG_COPY: HeaderName = HeaderName::from_static("relay-config-copy");

/// Version that the asking instance has.
const KNOWN: HeaderName = HeaderName::from_static("relay-config-known");

/// In a response, the age of the knowledge that there is no newer configuration, in milliseconds.
const AGE: HeaderName = HeaderName::from_static("relay-config-age");

/// Marks a request as one for a configuration that is newer than the version `known`.
pub fn mark(headers: &mut HeaderMap, known: u64) {
    headers.insert(CONFIG_COPY, HeaderValue::from_static("1"));
    headers.insert(KNOWN, HeaderValue::from(known));
}

/// Returns whether a request is one for a configuration.
#[must_use]
pub fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(CONFIG_COPY)
}

/// Removes the mark from a caller's request.
pub fn unmark(headers: &mut HeaderMap) {
    headers.remove(CONFIG_COPY);
    headers.remove(KNOWN);
}

/// Returns the version that the asking instance has; 0 if it does not say so.
#[must_use]
pub fn known_version(headers: &HeaderMap) -> u64 {
    get_number(headers, &KNOWN).unwrap_or_default()
}

/// Sets the age of the knowledge that there is no newer configuration, in milliseconds.
pub fn insert_age_ms(headers: &mut HeaderMap, ms: u64) {
    headers.insert(AGE, HeaderValue::from(ms));
}

/// Returns the age of the knowledge that there is no newer configuration, in milliseconds. Returns `None`
/// if the answering instance runs a build that does not say so.
#[must_use]
pub fn age_ms(headers: &HeaderMap) -> Option<u64> {
    get_number(headers, &AGE)
}

fn get_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
