//! Events of retained turns in the store, so that a turn that is taken up at another instance is stored
//! as a whole.
//!
//! Only routes whose turns are retained and whose streams can be resumed need them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::store::{
    Client, Error, MAX_VALUE_BYTES, PartitionKey, Row as StoreRow, Transaction,
};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::config::{Route, RouteKind};
use basilramp_core::dispatch::event_log::{EventLog, LoggedEvent};
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::retention::Retention;
use basilramp_process::event;
use serde::{Deserialize, Serialize};

use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::state::{Backoff, State, StoreCall, lock, partition_key};

/// Table of the logs; the row key is the scoped attempt id of the request that began the stream.
const TABLE: &str = "events";

/// How long events wait until they are stored, in milliseconds. After that they are sent nevertheless: a
/// late event costs the caller more than the small chance that the stream can't be taken up.
const MAX_WAIT_MS: u64 = 100;

/// Retry delay sent to a caller whose stream can't be taken up, in milliseconds. The caller's further
/// tries end soon, and then it sends the turn again from its start.
const UNKNOWN_EVENTS_RETRY_MS: u64 = 100;

/// Rows that this instance wrote.
#[derive(Debug, Default)]
pub(crate) struct StreamLogs {
    retention: Mutex<Retention>,
}

/// Another request has taken the stream up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TakenOver;

/// The log of a stream that this instance sends.
#[derive(Debug)]
pub(crate) struct StreamLog {
    state: Arc<State>,
    /// Scoped attempt id of the request that began the stream.
    begun_by: Arc<str>,
    log: EventLog,
    row_version: u64,
    span_ms: u64,
    /// Bytes of the data of the events.
    data_bytes: usize,
    /// Whether the events don't fit in a row any more. The log is no longer kept then.
    is_overflown: bool,
    /// Whether the row is known to hold this owner's events, up to those not written yet.
    is_written: bool,
}

/// Content of a row, with data of type `D`.
#[derive(Serialize, Deserialize)]
struct Row<D> {
    owner: u64,
    events: Vec<(Option<u64>, D)>,
}

impl<'a> From<&'a EventLog> for Row<&'a [u8]> {
    fn from(log: &'a EventLog) -> Self {
        let events = log.events.iter();
        Self {
            owner: log.owner,
            events: events.map(|event| (event.id, &*event.data)).collect(),
        }
    }
}

impl From<Row<Vec<u8>>> for EventLog {
    fn from(row: Row<Vec<u8>>) -> Self {
        let events = row.events.into_iter();
        Self {
            owner: row.owner,
            events: events.map(|(id, data)| LoggedEvent { id, data }).collect(),
        }
    }
}

/// Opens the log of a request's stream, with the events that its caller has. Returns `None` if the
/// stream needs none.
///
/// # Errors
///
/// Returns a rejection if not all events that the caller has are known, or the store does not respond
/// in time.
pub(crate) async fn open(
    request: &ActiveRequest,
    route: &Route,
) -> Result<Option<StreamLog>, Rejection> {
    if route.retention_ms.is_none() || route.kind != RouteKind::ResumableStream {
        return Ok(None);
    }
    let state = &request.state;
    let last_event = request.headers.last_event;
    let resumed = request.headers.resumed_attempt.as_ref();
    let begun_by = resumed.filter(|_| last_event.is_some());
    let mut stream_log = StreamLog {
        state: Arc::clone(state),
        begun_by: request.scoped(begun_by.unwrap_or(&request.attempt_id)),
        log: EventLog::begin(rand::random()),
        row_version: 0,
        span_ms: request.stream_span_ms,
        data_bytes: 0,
        is_overflown: false,
        is_written: false,
    };
    let Some(last) = last_event else {
        return Ok(Some(stream_log));
    };
    let ids = request.readable(begun_by.unwrap_or(&request.attempt_id));
    for id in ids {
        stream_log.begun_by = id;
        if stream_log.take_up(last, request.deadline).await? {
            return Ok(Some(stream_log));
        }
    }
    if state.allows_log_line(Event::EventsUnknown) {
        event!(
            state.log,
            Event::EventsUnknown,
            "request" => &*request.attempt_id,
            "begun_by" => begun_by.map_or("", |begun_by| &**begun_by),
            "after" => last
        );
    }
    Err(Rejection::NotRun(UNKNOWN_EVENTS_RETRY_MS))
}

impl StreamLog {
    /// Returns the events so far.
    pub(crate) fn events(&self) -> &[LoggedEvent] {
        &self.log.events
    }

    /// Appends an event that is sent next.
    pub(crate) fn push(&mut self, id: Option<u64>, data: &[u8]) {
        self.data_bytes += data.len();
        self.is_overflown |= self.data_bytes > MAX_VALUE_BYTES;
        if self.is_overflown {
            self.log.events = Vec::new();
        } else {
            self.log.push(id, data);
        }
    }

    /// Stores the events before they are sent, if the store responds soon.
    ///
    /// # Errors
    ///
    /// Fails if another request has taken the stream up, so that no caller waits for these events.
    pub(crate) async fn flush(&mut self) -> Result<(), TakenOver> {
        let deadline = self.state.now().after(2 * MAX_WAIT_MS);
        let limit = Duration::from_millis(MAX_WAIT_MS);
        // What is not stored now is part of the next write.
        tokio::time::timeout(limit, self.write(deadline))
            .await
            .unwrap_or(Ok(()))
    }

    async fn write(&mut self, deadline: Time) -> Result<(), TakenOver> {
        if self.is_overflown || self.state.is_store_down() {
            return Ok(());
        }
        loop {
            match self.commit(deadline).await {
                Ok(()) => return Ok(()),
                Err(Error::Conflict(page)) => {
                    let Some((row, version)) = self.find_row(page.rows) else {
                        // The row has expired.
                        return Ok(());
                    };
                    if row.owner != self.log.owner {
                        return Err(TakenOver);
                    }
                    // An earlier write was done, and its response was lost.
                    self.row_version = version;
                }
                Err(_) => return Ok(()),
            }
        }
    }

    /// Takes over the row for a caller that has the events up to the one with the id `last`. Returns
    /// whether all of them are known.
    async fn take_up(&mut self, last: u64, deadline: Time) -> Result<bool, Rejection> {
        let state = Arc::clone(&self.state);
        let partition = partition_key(&self.begun_by);
        let began = state.now();
        let mut backoff = Backoff::default();
        let mut previous_owner = None;
        loop {
            state
                .wait_until_available(&partition, began, deadline)
                .await?;
            let Ok(found) = self.read(deadline).await else {
                backoff.wait().await;
                continue;
            };
            let Some((row, version)) = found else {
                return Ok(false);
            };
            if row.owner == self.log.owner {
                // The response to the write was lost.
                self.row_version = version;
                return Ok(true);
            }
            // The caller's tries follow each other: if another one owns the row meanwhile, this is
            // not the latest.
            if *previous_owner.get_or_insert(row.owner) != row.owner {
                return Ok(false);
            }
            let Some(log) = row.take_up(self.log.owner, last) else {
                return Ok(false);
            };
            self.data_bytes = log.events.iter().map(|event| event.data.len()).sum();
            self.log = log;
            self.row_version = version;
            match self.commit(deadline).await {
                Ok(()) => return Ok(true),
                Err(Error::Conflict(_)) => {}
                Err(_) => backoff.wait().await,
            }
        }
    }

    async fn commit(&mut self, deadline: Time) -> Result<(), Error> {
        let value = postcard::to_stdvec(&Row::from(&self.log))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::Malformed("the events do not fit in a row".into()));
        }
        let state = Arc::clone(&self.state);
        let partition = partition_key(&self.begun_by);
        let place = place(&partition);
        let mut change = Transaction::default()
            .require_version(place, &self.begun_by, self.row_version)
            .write(place, &self.begun_by, &value);
        if !self.is_written {
            let expired = lock(&state.stream_logs.retention).take_expired(&partition, state.now());
            for stored in &expired {
                change = change.remove(place, &stored.attempt);
            }
        }
        let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
        self.row_version = state
            .call(StoreCall::Write, &partition, deadline, call)
            .await?;
        if !std::mem::replace(&mut self.is_written, true) {
            lock(&state.stream_logs.retention).record(
                &partition,
                Arc::clone(&self.begun_by),
                1,
                self.span_ms,
                state.now(),
            );
        }
        Ok(())
    }

    async fn read(&self, deadline: Time) -> Result<Option<(EventLog, u64)>, Error> {
        let partition = partition_key(&self.begun_by);
        let place = place(&partition);
        let page = self.state.read_row(place, &self.begun_by, deadline).await?;
        Ok(self.find_row(page.rows))
    }

    fn find_row(&self, rows: Vec<StoreRow>) -> Option<(EventLog, u64)> {
        let row = rows.into_iter().find(|row| row.key == self.begun_by)?;
        let content = postcard::from_bytes::<Row<Vec<u8>>>(&row.value?).ok()?;
        Some((content.into(), row.version))
    }
}

const fn place(partition: &str) -> PartitionKey<'_> {
    PartitionKey {
        table: TABLE,
        partition,
    }
}
