//! Software versions of streams in the store, so that any instance can continue a stream at an
//! upstream of the version that began it.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::config::RouteKind;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::retention::Retention;
use basilramp_process::event;

use crate::active_request::{ActiveRequest, NO_VERSION_RETRY_MS};
use crate::log_event::Event;
use crate::state::{Backoff, State, StoreCall, lock, partition_key};
use crate::version_history;

/// Table of the versions; the row key is the scoped attempt id of the request that began the stream.
const TABLE: &str = "stream";

/// How long the first event of a stream waits for its record, in milliseconds. It is shorter than
/// the pause after which callers abandon a stream.
const RECORD_TIMEOUT_MS: u64 = 1_500;

/// Records that this instance wrote.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    retention: Mutex<Retention>,
}

/// Returns the version that began the stream which a request takes up, or the one at which the stream has
/// to begin. Returns `None` if it may begin at any.
///
/// # Errors
///
/// Returns a rejection if the version is not known or the store does not respond in time.
pub(crate) async fn load(request: &ActiveRequest) -> Result<Option<Arc<str>>, Rejection> {
    if request.kind != RouteKind::ResumableStream || request.headers.last_event.is_none() {
        return Ok(request.version.clone());
    }
    let state = &request.state;
    let find_recorded = async {
        match &request.headers.resumed_attempt {
            Some(attempt) => {
                for id in request.readable(attempt) {
                    let found = find(state, &id, request.deadline).await?;
                    if found.is_some() {
                        return Ok(found);
                    }
                }
                Ok(None)
            }
            None => Ok(None),
        }
    };
    let find_unrecorded = version_history::unrecorded_version(
        state,
        &request.service,
        request.stream_span_ms,
        request.deadline,
    );
    // Both are read at the same time, as the store may be slow.
    let (recorded, unrecorded) = tokio::try_join!(find_recorded, find_unrecorded)?;
    let version = recorded.or(unrecorded);
    if version.is_none() && state.allows_log_line(Event::VersionUnknown) {
        event!(
            state.log,
            Event::VersionUnknown,
            "request" => &*request.attempt_id,
            "service" => &*request.service,
            "begun_by" => request.headers.resumed_attempt.as_deref(),
            "ms" => request.elapsed_ms()
        );
    }
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(Rejection::NotRun(NO_VERSION_RETRY_MS)),
    }
}

/// Returns whether a stream can't begin or go on at this instance at present, as its version can be
/// neither stored nor looked up. While calls of the store fail, a stream begins at the version that needs
/// no record.
pub(crate) fn lacks_store(request: &mut ActiveRequest) -> bool {
    if request.kind != RouteKind::ResumableStream {
        return false;
    }
    let state = Arc::clone(&request.state);
    let is_down = state.is_store_down();
    if request.headers.last_event.is_some() {
        return is_down;
    }
    let versions = version_history::present_versions(&state, &request.service);
    if is_down && versions.len() != 1 {
        // Another instance may store the version.
        return true;
    }
    let begins = (is_down || state.is_store_failing()) && begin_unrecorded(request);
    is_down && !begins
}

/// Lets a stream begin at the version that needs no record, or waits until the store is available for
/// the record of another one.
///
/// # Errors
///
/// Returns a rejection if the request should not wait any longer.
pub(crate) async fn await_store(request: &mut ActiveRequest) -> Result<(), Rejection> {
    if request.headers.last_event.is_some() || begin_unrecorded(request) {
        // The version of a stream that is taken up is looked up later, which waits.
        return Ok(());
    }
    let state = &request.state;
    let partition = partition_key(&request.scoped(&request.attempt_id));
    let began = state.now();
    state
        .wait_until_available(&partition, began, request.deadline)
        .await
}

/// Lets a stream begin at the version that needs no record, if there is one with upstreams. Returns
/// whether it does.
pub(crate) fn begin_unrecorded(request: &mut ActiveRequest) -> bool {
    let state = &request.state;
    let version = unrecorded_start(request).filter(|version| {
        let fleet = state.fleet();
        fleet.serves_version(&request.service, version, state.now())
    });
    request.begins_unrecorded = version.is_some();
    request.version = version;
    request.begins_unrecorded
}

/// Returns the version at which the stream may begin without a record, if there is one.
fn unrecorded_start(request: &ActiveRequest) -> Option<Arc<str>> {
    let state = &request.state;
    let versions = version_history::present_versions(state, &request.service);
    if request.may_have_begun && versions.len() > 1 {
        return None;
    }
    let is_store_lost = state.relays().is_store_lost();
    let span_ms = request.stream_span_ms;
    version_history::unrecorded_start(state, &request.service, span_ms, is_store_lost)
}

/// Stores the version of a stream before its first event is sent, if other instances could not tell
/// it otherwise.
///
/// # Errors
///
/// Returns the store's last error when the time is over.
pub(crate) async fn record(request: &ActiveRequest, version: &str) -> Result<(), Error> {
    let is_begun = request.headers.last_event.is_some();
    if request.kind != RouteKind::ResumableStream
        || is_begun
        || request.begins_unrecorded
        || unrecorded_start(request).as_deref() == Some(version)
    {
        return Ok(());
    }
    let state = &request.state;
    let attempt = &request.scoped(&request.attempt_id);
    let partition = partition_key(attempt);
    let place = place(&partition);
    let deadline = request.deadline.min(state.now().after(RECORD_TIMEOUT_MS));
    // A record is never replaced. Another instance may have written one for the same attempt, if that
    // was relayed to both.
    let change = Transaction::default()
        .require_version(place, attempt, 0)
        .write(place, attempt, version.as_bytes());
    let mut expired = lock(&state.stream_versions.retention).take_expired(&partition, state.now());
    let mut backoff = Backoff::default();
    loop {
        // If a row is already gone, the removal may fail the write.
        let change = std::mem::take(&mut expired)
            .iter()
            .fold(change.clone(), |change, stored| {
                change.remove(place, &stored.attempt)
            });
        let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
        let result = state
            .call(StoreCall::Write, &partition, deadline, call)
            .await;
        let error = match result {
            Ok(_) => break,
            Err(error) => error,
        };
        if state.now() >= deadline {
            return Err(error);
        }
        if !matches!(error, Error::Conflict(_)) {
            backoff.wait().await;
        }
        // The response to a write that was done may be lost.
        match read(state, attempt, deadline).await {
            Ok(Some(stored)) if *stored == *version => break,
            Ok(Some(_)) => return Err(error),
            Ok(None) | Err(_) => {}
        }
    }
    lock(&state.stream_versions.retention).record(
        &partition,
        Arc::clone(attempt),
        1,
        request.stream_span_ms,
        state.now(),
    );
    Ok(())
}

/// Returns the recorded version of the stream that an attempt began.
async fn find(state: &State, attempt: &str, deadline: Time) -> Result<Option<Arc<str>>, Rejection> {
    let began = state.now();
    let partition = partition_key(attempt);
    let mut backoff = Backoff::default();
    loop {
        state
            .wait_until_available(&partition, began, deadline)
            .await?;
        // The state records what a failed call means for the store's health.
        if let Ok(version) = read(state, attempt, deadline).await {
            return Ok(version);
        }
        backoff.wait().await;
    }
}

async fn read(state: &State, attempt: &str, deadline: Time) -> Result<Option<Arc<str>>, Error> {
    let partition = partition_key(attempt);
    let page = state.read_row(place(&partition), attempt, deadline).await?;
    let row = page.rows.into_iter().find(|row| &*row.key == attempt);
    let text = row.and_then(|row| String::from_utf8(row.value?).ok());
    Ok(text.map(Arc::from))
}

const fn place(partition: &str) -> PartitionKey<'_> {
    PartitionKey {
        table: TABLE,
        partition,
    }
}
