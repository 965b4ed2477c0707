//! Copies of the configuration that instances get from each other.
//!
//! An instance that the store does not answer may have an older configuration than the instance whose
//! requests it handles, or the one that handles its requests. The one that is behind gets the document
//! from the other, so that the requests of a caller are handled according to one version.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::config_view::{Certainty, MAX_AGE_MS};
use basilramp_process::clock::boot_time;
use basilramp_process::event;
use basilramp_wire::{config_copy, relay};
use futures_util::future::{self, Either};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

use crate::handler::Body;
use crate::log_event::Event;
use crate::state::{State, lock};
use crate::{feed, peer_connection};

/// Time limit for an answer of another instance. Requests wait for it.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed copy within which no other one is tried, in milliseconds.
const RETRY_MS: u64 = 300;

/// Number of instances that are asked at the same time whether there is a newer configuration. If a third
/// of all instances does not reach the store, hardly ever none of these does.
const MAX_ASKED: usize = 5;

/// Time between two searches in an outage, in milliseconds. The feeds notice its end by themselves.
const OUTAGE_SEARCH_INTERVAL_MS: u64 = 1_000;

/// Time for which the result of a search counts while the next one goes on, in milliseconds. A search ends
/// sooner.
const MAX_SEARCH_MS: u64 = 1_500;

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
    /// Result of the latest search for a newer configuration, and when that ended.
    assessed: Mutex<Option<(Time, Certainty)>>,
    /// The instances that answered in the latest search. They are asked again, as connections to them are open.
    answering: Mutex<Vec<Arc<str>>>,
    /// Held while a newer configuration is searched for.
    search: tokio::sync::Mutex<()>,
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
    let result = copy(state, holder).await;
    let is_in_force = state.config_version() >= version;
    *failed_at = (!is_in_force).then(|| state.now());
    if !is_in_force {
        let error = result.err();
        let error = error.map_or_else(|| "no document".into(), |error| error.text);
        log_failure(state, version, holder, &error);
    }
    is_in_force
}

fn log_failure(state: &State, version: u64, holder: &Arc<str>, error: &str) {
    if state.allows_log_line(Event::ConfigNotCopied) {
        event!(
            state.log,
            Event::ConfigNotCopied,
            "version" => version,
            "from" => holder.to_string(),
            "error" => error.to_owned()
        );
    }
}

/// Returns how certain it is that there is no newer configuration than the one in force, after looking for
/// one if the instance has not heard of the store for long.
pub(crate) async fn assess(state: &State, deadline: Time) -> Certainty {
    if is_known_newest(state) {
        return Certainty::Confirmed;
    }
    if let Some(certainty) = assessed(state, 0) {
        return certainty;
    }
    let copies = &state.config_copies;
    let search = match copies.search.try_lock() {
        Ok(search) => search,
        Err(_) => {
            if let Some(certainty) = assessed(state, MAX_SEARCH_MS) {
                return certainty;
            }
            copies.search.lock().await
        }
    };
    // Another request may have searched meanwhile.
    if is_known_newest(state) {
        return Certainty::Confirmed;
    }
    if let Some(certainty) = assessed(state, 0) {
        return certainty;
    }
    let age_ms = state.config_view_age_ms();
    let is_running = look_for_newer(state, deadline).await;
    let certainty = if is_known_newest(state) {
        Certainty::Confirmed
    } else if is_running || has_nobody_to_ask(state) {
        Certainty::Outage
    } else {
        Certainty::Isolated
    };
    *lock(&copies.assessed) = Some((state.now(), certainty));
    drop(search);
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

/// Returns the result of the latest search for a newer configuration unless the next one has been due for
/// `overdue_ms` milliseconds.
fn assessed(state: &State, overdue_ms: u64) -> Option<Certainty> {
    let (at, certainty) = (*lock(&state.config_copies.assessed))?;
    let interval_ms = match certainty {
        Certainty::Outage => OUTAGE_SEARCH_INTERVAL_MS,
        Certainty::Confirmed | Certainty::Isolated => RETRY_MS,
    };
    (state.now().since(at) < interval_ms + overdue_ms).then_some(certainty)
}

/// Asks the store and other instances for a newer configuration, until it is known whether there is one.
/// Returns whether any of the other instances runs.
async fn look_for_newer(state: &State, deadline: Time) -> bool {
    let asking = std::pin::pin!(ask_others(state));
    if state.is_store_down() {
        return asking.await;
    }
    // The state records what a failed call means for the store's health.
    let reading = std::pin::pin!(feed::read_config(state, deadline));
    match future::select(asking, reading).await {
        Either::Left((is_running, reading)) => {
            if !is_known_newest(state) {
                let _ = reading.await;
            }
            is_running
        }
        Either::Right((_, asking)) => is_known_newest(state) || asking.await,
    }
}

/// Asks some other instances for a newer configuration, until one knows whether there is one. Returns
/// whether any of them runs.
async fn ask_others(state: &State) -> bool {
    let answering = &state.config_copies.answering;
    let mut others = std::mem::take(&mut *lock(answering));
    // One place is for an instance that was not asked before, which may know more.
    others.truncate(MAX_ASKED - 1);
    let mut drawn = state.membership.sample(MAX_ASKED);
    drawn.retain(|id| !others.contains(id));
    others.extend(drawn.into_iter().take(MAX_ASKED - others.len()));
    let copies = others.into_iter().map(|other| async move {
        let result = copy(state, &other).await;
        if let Err(error) = &result {
            log_failure(state, state.config_version(), &other, &error.text);
        }
        (other, result)
    });
    let mut copies: FuturesUnordered<_> = copies.collect();
    let mut is_running = false;
    while let Some((other, result)) = copies.next().await {
        is_running |= result
            .as_ref()
            .map_or_else(|error| error.is_running, |()| true);
        if is_known_newest(state) {
            // The one that knows is asked first of all next time.
            lock(answering).insert(0, other);
            break;
        }
        if result.is_ok() {
            lock(answering).push(other);
        }
    }
    is_running
}

/// Returns whether this instance knows of no other one, or is not set up to reach others.
fn has_nobody_to_ask(state: &State) -> bool {
    state.peer_address().is_none() || state.membership.sample(1).is_empty()
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

/// Why an instance gave no configuration.
struct CopyError {
    text: String,
    /// Whether it runs and is reached. It may accept no requests of this one, as it can't look up its
    /// certificate in the store.
    is_running: bool,
}

impl CopyError {
    fn unreached(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            is_running: false,
        }
    }
}

/// Asks an instance for a newer configuration and applies it. It may answer that it has none.
async fn copy(state: &State, holder: &Arc<str>) -> Result<(), CopyError> {
    let end = Instant::now() + COPY_TIMEOUT;
    let opening = tokio::time::timeout_at(end, peer_connection::open(state, holder)).await;
    let connection = opening.map_err(|_| CopyError::unreached("no connection in time"))?;
    let connection = connection.map_err(CopyError::unreached)?;
    let unanswered = CopyError {
        text: "no answer".into(),
        is_running: connection.is_new,
    };
    let mut request = Request::new(Full::default());
    config_copy::mark(request.headers_mut(), state.config_version());
    let asked_at = boot_time();
    let exchange = connection.exchange(state, holder, request, MAX_DOCUMENT_BYTES);
    let response = tokio::time::timeout_at(end, exchange).await;
    let response = response.unwrap_or_default().ok_or(unanswered)?;
    let (head, document) = response.into_parts();
    if head.status == StatusCode::OK {
        feed::apply_config(state, document, Some(holder)).map_err(|error| CopyError {
            text: error.to_string(),
            is_running: true,
        })?;
    }
    let version = relay::config_version(&head.headers);
    if let (Some(version), Some(age_ms)) = (version, config_copy::age_ms(&head.headers))
        && version <= state.config_version()
    {
        state.record_config_view(asked_at.before(age_ms));
    }
    Ok(())
}

/// Answers another instance that asks for a newer configuration.
pub(crate) fn respond(state: &State, headers: &HeaderMap) -> Response<Body> {
    // The age is read first, so that it holds for the version and the document.
    let age_ms = state.config_view_age_ms();
    let version = state.config_version();
    let document = state.config_document();
    let status = match &document {
        None => StatusCode::NOT_FOUND,
        Some(_) if version <= config_copy::known_version(headers) => StatusCode::NO_CONTENT,
        Some(_) => StatusCode::OK,
    };
    let body = document.filter(|_| status == StatusCode::OK);
    let body = Full::new(body.unwrap_or_default());
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    relay::insert_config_version(response.headers_mut(), version);
    config_copy::insert_age_ms(response.headers_mut(), age_ms);
    response
}
