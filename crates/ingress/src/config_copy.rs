//! Copies of the configuration that instances get from each other.
//!
//! An instance that the store does not answer may have an older configuration than the instance whose
//! requests it handles, or the one that handles its requests. The one that is behind gets the document
//! from the other, so that the requests of a caller are handled according to one version.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::config_view::{Certainty, MAX_AGE_MS};
use basilramp_process::event;
use basilramp_wire::config_copy;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::handler::Body;
use crate::log_event::Event;
use crate::state::{State, lock};
use crate::{feed, peer_connection};

/// Time limit for a copy. Requests wait for it.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed copy within which no other one is tried, in milliseconds.
const RETRY_MS: u64 = 300;

/// Maximum length of a document in bytes, several times what a row of the store holds.
const MAX_DOCUMENT_BYTES: usize = 1_024 * 1_024;

/// What is known of configurations that are newer than the one in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopies {
    newest: Mutex<Option<Newest>>,
    /// When the latest copy failed. Held while one is made.
    failed_at: tokio::sync::Mutex<Option<Time>>,
    /// When the latest read of the store began that confirmed the version in force. Held while one is
    /// made.
    confirmed_at: tokio::sync::Mutex<Option<Time>>,
    /// When it was last found out that there may be a newer configuration, and the result. Held while
    /// that is found out.
    assessed: tokio::sync::Mutex<Option<(Time, Certainty)>>,
}

/// The newest version that is known, and an instance that has it.
#[derive(Clone, Debug)]
struct Newest {
    version: u64,
    holder: Arc<str>,
}

/// Returns the version of the configuration that requests of this instance's callers need at least:
/// an upstream may have seen its effect.
pub(crate) fn required_version(state: &State) -> u64 {
    let newest = lock(&state.config_copies.newest);
    let known = newest.as_ref().map_or(0, |newest| newest.version);
    known.max(state.config_version())
}

/// Returns whether the configuration in force is older than the required one.
pub(crate) fn is_outdated(state: &State) -> bool {
    state.config_version() < required_version(state)
}

/// Records that an instance which handled a request has a version, and gets it if it is newer.
pub(crate) fn require(state: &Arc<State>, version: u64, holder: &Arc<str>) {
    if version <= required_version(state) {
        return;
    }
    *lock(&state.config_copies.newest) = Some(Newest {
        version,
        holder: Arc::clone(holder),
    });
    let state = Arc::clone(state);
    tokio::spawn(async move { catch_up(&state).await });
}

/// Gets the required version, if it is newer than the one in force.
pub(crate) async fn catch_up(state: &Arc<State>) {
    let newest = lock(&state.config_copies.newest).clone();
    if let Some(newest) = newest {
        ensure(state, newest.version, &newest.holder).await;
    }
}

/// Returns whether a version or a newer one is in force, after getting it from an instance that has it
/// if necessary.
pub(crate) async fn ensure(state: &Arc<State>, version: u64, holder: &Arc<str>) -> bool {
    if state.config_version() >= version {
        return true;
    }
    let mut failed_at = state.config_copies.failed_at.lock().await;
    // Another request may have got it meanwhile.
    if state.config_version() >= version {
        return true;
    }
    if failed_at.is_some_and(|at| state.now().since(at) < RETRY_MS) {
        return false;
    }
    let document = tokio::time::timeout(COPY_TIMEOUT, copy(state, holder)).await;
    let error = match document {
        Ok(Some(document)) => match feed::apply_config(state, document, Some(holder)) {
            Ok(()) => None,
            Err(error) => Some(error.to_string()),
        },
        Ok(None) => Some("no document".to_owned()),
        Err(_) => Some("no answer in time".to_owned()),
    };
    let is_in_force = state.config_version() >= version;
    *failed_at = (!is_in_force).then(|| state.now());
    if !is_in_force && state.allows_log_line(Event::ConfigNotCopied) {
        event!(
            state.log,
            Event::ConfigNotCopied,
            "version" => version,
            "from" => holder.to_string(),
            "error" => error
        );
    }
    is_in_force
}

/// Returns how certain it is that there is no newer configuration than the one in force, after looking for
/// one if the instance has not heard of the store for long.
pub(crate) async fn assess(state: &State, deadline: Time) -> Certainty {
    if is_known_newest(state) {
        return Certainty::Confirmed;
    }
    let mut assessed = state.config_copies.assessed.lock().await;
    // Another request may have found one meanwhile.
    if is_known_newest(state) {
        return Certainty::Confirmed;
    }
    if let Some((at, certainty)) = *assessed
        && state.now().since(at) < RETRY_MS
    {
        return certainty;
    }
    let age_ms = state.config_view_age_ms();
    if !state.is_store_down() {
        // The state records what a failed call means for the store's health.
        let _ = feed::read_config(state, deadline).await;
    }
    let certainty = if is_known_newest(state) {
        Certainty::Confirmed
    } else {
        Certainty::Unconfirmed
    };
    *assessed = Some((state.now(), certainty));
    if state.allows_log_line(Event::ConfigAssessed) {
        event!(
            state.log,
            Event::ConfigAssessed,
            "version" => state.config_version(),
            "age_ms" => age_ms,
            "certainty" => certainty.label()
        );
    }
    certainty
}

/// Returns whether the configuration in force was the newest one a short time ago.
fn is_known_newest(state: &State) -> bool {
    state.config_view_age_ms() <= MAX_AGE_MS && !is_outdated(state)
}

/// Returns whether no newer configuration than the one in force existed at `time`, after reading it from
/// the store if necessary.
pub(crate) async fn confirm(state: &State, time: Time, deadline: Time) -> bool {
    if state.is_store_down() {
        return false;
    }
    let mut confirmed_at = state.config_copies.confirmed_at.lock().await;
    if confirmed_at.is_some_and(|at| at >= time) {
        return true;
    }
    let began = state.now();
    if began >= deadline {
        return false;
    }
    let is_read = feed::read_config(state, deadline).await.is_ok();
    if is_read {
        *confirmed_at = Some(began);
    }
    is_read
}

async fn copy(state: &Arc<State>, holder: &Arc<str>) -> Option<Bytes> {
    let mut request = Request::new(Full::default());
    config_copy::mark(request.headers_mut());
    peer_connection::call(state, holder, request, MAX_DOCUMENT_BYTES).await
}

/// Answers another instance that asks for the document.
pub(crate) fn respond(state: &State) -> Response<Body> {
    let document = state.config_document();
    let status = if document.is_some() {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let body = Full::new(document.unwrap_or_default());
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}
