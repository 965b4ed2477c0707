//! Histories of the services' software versions in the store, one row per service.
//!
//! An instance that notices a change writes it, unless another one was faster. Instances read the rows
//! at their start, before they write, and when a stream without a record is taken up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Row, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::software_version::{History, max_view_age_ms};
use basilramp_process::event;
use basilramp_wire::version;
use rand::Rng;
use tokio::sync::Notify;

use crate::feed;
use crate::log_event::Event;
use crate::state::{Backoff, State, StoreCall, lock};

/// Table of the histories; the row key is the service's name.
const TABLE: &str = "version";

const PARTITION: PartitionKey<'static> = PartitionKey {
    table: TABLE,
    partition: "",
};

/// Time limit for a call of the store by the writer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum delay before a change is written, in milliseconds. All instances notice it at about the
/// same time, and most of them then find it written.
const MAX_WRITE_DELAY_MS: u64 = 500;

/// Age up to which rows need not be read again for a request, in milliseconds.
const MAX_ROWS_AGE_MS: u64 = 500;

/// Multiple of a route's timeout for which a stream and the requests that take it up again last. A
/// caller's tries share its deadline, and an instance may learn of a new version late.
const STREAM_SPAN_FACTOR: u64 = 2;

/// Returns the longest time for which a stream and the requests that take it up again last, in
/// milliseconds, on a route with a timeout.
pub(crate) const fn stream_span_ms(timeout_ms: u64) -> u64 {
    timeout_ms.saturating_mul(STREAM_SPAN_FACTOR)
}

/// The histories as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct VersionHistories {
    /// Versions of each service's upstreams when these were last read.
    present: Mutex<BTreeMap<Arc<str>, Present>>,
    stored: Mutex<BTreeMap<Arc<str>, Stored>>,
    /// When the rows were read.
    read: tokio::sync::Mutex<Option<Time>>,
    /// Wakes the writer of changes.
    view_changed: Notify,
}

/// Versions that a service has, and since when they are the same.
#[derive(Clone, Debug)]
struct Present {
    versions: BTreeSet<Arc<str>>,
    since: Time,
}

/// A history and the version of its row.
#[derive(Clone, Debug, Default)]
struct Stored {
    history: History,
    row_version: u64,
}

/// Records which versions the services have, after the upstreams were read, and wakes the writer.
pub(crate) fn record_view(state: &State) {
    let now = state.now();
    let found = state.fleet().versions(now);
    let histories = &state.version_histories;
    {
        let mut present = lock(&histories.present);
        let known = std::mem::take(&mut *present);
        let found = found.into_iter().map(|(service, versions)| {
            let same = known
                .get(&service)
                .filter(|known| known.versions == versions);
            let since = same.map_or(now, |known| known.since);
            (service, Present { versions, since })
        });
        present.extend(found);
    }
    histories.view_changed.notify_one();
}

/// Writes the changes of versions to their rows. Never returns.
pub(crate) async fn write_changes(state: Arc<State>) {
    let histories = &state.version_histories;
    loop {
        histories.view_changed.notified().await;
        if state.is_store_down() {
            continue;
        }
        // The rows are read before the first change is looked for, as a history goes on.
        if histories.read.lock().await.is_none()
            && let Err(error) = refresh(&state, call_deadline(&state)).await
        {
            log_failure(&state, "read", &error);
            continue;
        }
        if changes(&state).is_empty() {
            continue;
        }
        let ms = rand::rng().random_range(0..=MAX_WRITE_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        if let Err(error) = refresh(&state, call_deadline(&state)).await {
            log_failure(&state, "read", &error);
            continue;
        }
        for (service, change) in changes(&state) {
            write(&state, &service, change).await;
        }
    }
}

/// Returns the version at which a stream of a service may begin without a record, or `None` if there is
/// none. `is_store_lost` tells whether no instance seems to reach the store.
pub(crate) fn unrecorded_start(
    state: &State,
    service: &str,
    span_ms: u64,
    is_store_lost: bool,
) -> Option<Arc<str>> {
    let now_ms = state.store.now_ms()?;
    if state.fleet_view_age_ms() > max_view_age_ms(span_ms) && !is_store_lost {
        return None;
    }
    let present = lock(&state.version_histories.present)
        .get(service)
        .cloned()?;
    let changed_ms = now_ms.saturating_sub(state.now().since(present.since));
    let stored = lock(&state.version_histories.stored);
    let history = &stored.get(service)?.history;
    history.unrecorded_start(&present.versions, changed_ms, span_ms, now_ms)
}

/// Returns the version of a stream without a record that a request takes up, or `None` if it is
/// unknown.
///
/// # Errors
///
/// Returns a rejection if the history can't be read in time.
pub(crate) async fn unrecorded_version(
    state: &State,
    service: &Arc<str>,
    span_ms: u64,
    deadline: Time,
) -> Result<Option<Arc<str>>, Rejection> {
    let began = state.now();
    let mut backoff = Backoff::default();
    loop {
        state.wait_until_available(TABLE, began, deadline).await?;
        // The state records what a failed call means for the store's health.
        match refresh(state, deadline).await {
            Ok(()) => break,
            Err(_) => backoff.wait().await,
        }
    }
    let now_ms = state.store.now_ms().unwrap_or_default();
    let present = present_versions(state, service);
    let history = lock(&state.version_histories.stored)
        .get(service)
        .map(|stored| stored.history.clone())
        .unwrap_or_default();
    let history = history.update(&present, span_ms, now_ms).unwrap_or(history);
    Ok(history.unrecorded(now_ms).cloned())
}

/// Returns the versions of a service's upstreams when these were last read.
pub(crate) fn present_versions(state: &State, service: &str) -> BTreeSet<Arc<str>> {
    let present = lock(&state.version_histories.present);
    let present = present.get(service);
    present
        .map(|present| present.versions.clone())
        .unwrap_or_default()
}

/// Returns the changes that the rows lack, by service.
fn changes(state: &State) -> BTreeMap<Arc<str>, Stored> {
    let (Some(table), Some(now_ms)) = (state.table(), state.store.now_ms()) else {
        return BTreeMap::new();
    };
    let present = lock(&state.version_histories.present).clone();
    let stored = lock(&state.version_histories.stored);
    let changes = present.into_iter().filter_map(|(service, present)| {
        // Without streams that can be resumed, the versions don't matter.
        let span_ms = stream_span_ms(table.resumable_timeout_ms(&service)?);
        let known = stored.get(&service).cloned().unwrap_or_default();
        let history = known.history.update(&present.versions, span_ms, now_ms)?;
        let change = Stored {
            history,
            row_version: known.row_version,
        };
        Some((service, change))
    });
    changes.collect()
}

/// Reads the rows, unless they were read just before.
async fn refresh(state: &State, deadline: Time) -> Result<(), Error> {
    let histories = &state.version_histories;
    let mut read_at = histories.read.lock().await;
    let now = state.now();
    if read_at.is_some_and(|at| now.since(at) < MAX_ROWS_AGE_MS) {
        return Ok(());
    }
    let call =
        async |store: &Client, limit_ms| store.read_range(PARTITION, None, None, limit_ms).await;
    // The partition has the name of the watched tables' one, whose health is another matter.
    let page: Page = state.call(StoreCall::Read, TABLE, deadline, call).await?;
    *read_at = Some(now);
    for row in &page.rows {
        apply_row(state, row);
    }
    Ok(())
}

fn apply_row(state: &State, row: &Row) {
    let value = row.value.as_deref().unwrap_or_default();
    let history = match serde_json::from_slice::<version::History>(value) {
        Ok(content) => content.into(),
        Err(error) => {
            feed::log_unreadable(state, TABLE, row, &error.to_string());
            History::default()
        }
    };
    let mut stored = lock(&state.version_histories.stored);
    let known = stored.entry(Arc::clone(&row.key)).or_default();
    if known.row_version <= row.version {
        *known = Stored {
            history,
            row_version: row.version,
        };
    }
}

async fn write(state: &State, service: &Arc<str>, change: Stored) {
    let content = version::History::from(&change.history);
    let value = match serde_json::to_vec(&content) {
        Ok(value) => value,
        Err(error) => return log_failure(state, "write", &Error::Malformed(error.to_string())),
    };
    let transaction = Transaction::default()
        .require_version(PARTITION, service, change.row_version)
        .write(PARTITION, service, &value);
    let call = async |store: &Client, limit_ms| store.commit(&transaction, limit_ms).await;
    let deadline = call_deadline(state);
    match state.call(StoreCall::Write, TABLE, deadline, call).await {
        Ok(row_version) => {
            event!(
                state.log,
                Event::VersionsRecorded,
                "service" => &**service,
                "versions" => String::from_utf8_lossy(&value).into_owned()
            );
            let mut stored = lock(&state.version_histories.stored);
            let known = stored.entry(Arc::clone(service)).or_default();
            if known.row_version < row_version {
                *known = Stored {
                    row_version,
                    ..change
                };
            }
        }
        Err(Error::Conflict(page)) => {
            for row in page.rows.iter().filter(|row| row.key == *service) {
                apply_row(state, row);
            }
        }
        // The rows are read again before the next write.
        Err(error) => log_failure(state, "write", &error),
    }
}

fn call_deadline(state: &State) -> Time {
    state.now().after(2 * CALL_TIMEOUT_MS)
}

fn log_failure(state: &State, step: &'static str, error: &Error) {
    if state.allows_log_line(Event::VersionsFailed) {
        event!(
            state.log,
            Event::VersionsFailed,
            "step" => step,
            "error" => format!("{error:?}")
        );
    }
}
